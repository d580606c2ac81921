package vocabulary

import (
	"go/ast"
	"go/types"
	"slices"
	"strings"

	"golang.org/x/tools/go/analysis"
)

// Revisions reports variables, fields, parameters and results that are named like a revision or
// a fencing token of the store and are plain integers: only store.Revision is ordered across
// restores of the store.
var Revisions = &analysis.Analyzer{
	Name: "revisions",
	Doc:  "check that revisions of the store are of type store.Revision",
	Run:  runRevisions,
}

// numberPackages deal with the store's own numbers.
var numberPackages = []string{"platform", "internal/store", "internal/storetest", "internal/peerpb"}

// revisionWords begin or end the names of revisions.
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
