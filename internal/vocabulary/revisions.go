package vocabulary

import (
	"go/ast"
	"go/types"
	"slices"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Revisions reports variables, fields, parameters and results of type int64 whose name is that of a
// revision or a fencing token of the store. They have to be of type store.Revision, because only
// that is ordered across restores of the store from a backup.
var Revisions = &analysis.Analyzer{
	Name: "revisions",
	Doc:  "check that revisions of the store are of type store.Revision",
	Run:  runRevisions,
}

// numberPackages handle the store's raw revision numbers and are not checked.
var numberPackages = []string{"platform", "internal/store", "internal/storetest", "internal/peerpb"}

// revisionWords are the words that mark a name as that of a revision or a fencing token.
var revisionWords = []string{"revision", "rev", "fence"}

func runRevisions(pass *analysis.Pass) (any, error) {
	path := strings.TrimPrefix(pass.Pkg.Path(), modulePath)
	for _, p := range numberPackages {
		if path == p || strings.HasPrefix(path, p+"/") {
			return nil, nil
		}
	}
	for id, object := range pass.TypesInfo.Defs {
		v, ok := object.(*types.Var)
		if !ok || v.Type() != types.Typ[types.Int64] || ast.IsGenerated(fileOf(pass, id.Pos())) {
			continue
		}
		if slices.ContainsFunc(words(id.Name), func(w string) bool { return slices.Contains(revisionWords, w) }) {
			pass.Reportf(id.Pos(), "%s is an int64: use store.Revision", id.Name)
		}
	}
	return nil, nil
}
