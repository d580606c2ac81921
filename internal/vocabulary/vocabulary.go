// Package vocabulary checks that declared names use the terms of docs/glossary.md.
//
// Two lists of words are rejected in the names of functions, types, constants, variables and
// fields: terms that the glossary replaced, and words of the users' platform outside of the
// package that speaks to it. Names that are still to be replaced are counted by package and word
// in allow.txt; a count may only fall.
package vocabulary

import (
	_ "embed"
	"fmt"
	"go/ast"
	"go/token"
	"go/types"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"golang.org/x/tools/go/analysis"
)

// term is a rejected word with the term to use.
type term struct {
	use      string
	platform bool // the package that speaks to the platform may use it
}

//go:embed words.txt
var wordText string

// terms are the rejected words.
var terms = parseTerms(wordText)

// parseTerms reads lines of kind, word and term. It leaves out comments.
func parseTerms(text string) map[string]term {
	out := make(map[string]term)
	for line := range strings.Lines(text) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		if word, use, ok := strings.Cut(rest, " "); ok && kind != "#" {
			out[word] = term{use, kind == "platform"}
		}
	}
	return out
}

// Analyzer reports declared names that use a rejected word more often than allow.txt lets them.
var Analyzer = &analysis.Analyzer{
	Name: "vocabulary",
	Doc:  "check that declared names use the terms of docs/glossary.md",
	Run:  run,
}

//go:embed allow.txt
var allowText string

// use is a word in the names of one package.
type use struct{ pkg, word string }

// parseAllowed reads lines of package, word and count.
func parseAllowed(text string) (map[use]int, error) {
	out := make(map[use]int)
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		if len(f) != 3 {
			return nil, fmt.Errorf("allowed names: %q is not a package, a word and a count", line)
		}
		n, err := strconv.Atoi(f[2])
		if err != nil {
			return nil, fmt.Errorf("allowed names: %w", err)
		}
		out[use{f[0], f[1]}] = n
	}
	return out, nil
}

const modulePath = "github.com/shelfcrank/shelfcrank/"

func run(pass *analysis.Pass) (any, error) {
	allowed, err := parseAllowed(allowText)
	if err != nil {
		return nil, err
	}
	path := strings.TrimPrefix(pass.Pkg.Path(), modulePath)
	found := uses(pass)
	for key, most := range allowed {
		if key.pkg == path && len(found[key.word]) < most {
			pass.Reportf(pass.Files[0].Package, "allow.txt allows %d names with %q in %s, and %d are left: lower the count", most, key.word, path, len(found[key.word]))
		}
	}
	for _, word := range slices.Sorted(maps.Keys(found)) {
		names := found[word]
		if len(names) <= allowed[use{path, word}] {
			continue
		}
		for _, id := range names {
			pass.Reportf(id.Pos(), "%s uses %q: say %s (%d such names in %s, %d allowed)", id.Name, word, terms[word].use, len(names), path, allowed[use{path, word}])
		}
	}
	return nil, nil
}

// uses returns the declared names of a package that use a rejected word, by word.
func uses(pass *analysis.Pass) map[string][]*ast.Ident {
	found := make(map[string][]*ast.Ident)
	for id, object := range pass.TypesInfo.Defs {
		if !declared(pass, object) || ast.IsGenerated(fileOf(pass, id.Pos())) {
			continue
		}
		for _, word := range words(id.Name) {
			if rejected(pass, word) {
				found[word] = append(found[word], id)
			}
		}
	}
	for _, ids := range found {
		slices.SortFunc(ids, func(a, b *ast.Ident) int { return int(a.Pos() - b.Pos()) })
	}
	return found
}

func fileOf(pass *analysis.Pass, pos token.Pos) *ast.File {
	for _, f := range pass.Files {
		if f.FileStart <= pos && pos < f.FileEnd {
			return f
		}
	}
	return pass.Files[0]
}

// declared reports whether an object is declared at the level of the package, or a method or a
// field.
func declared(pass *analysis.Pass, o types.Object) bool {
	switch o := o.(type) {
	case nil, *types.PkgName:
		return false
	case *types.Var:
		return o.IsField() || o.Parent() == pass.Pkg.Scope()
	case *types.Func:
		return true
	}
	return o.Parent() == pass.Pkg.Scope()
}

// rejected reports whether names of a package may not use a word. The package that speaks to the
// platform has its words.
func rejected(pass *analysis.Pass, word string) bool {
	t, ok := terms[word]
	return ok && !(t.platform && strings.HasPrefix(strings.TrimPrefix(pass.Pkg.Path(), modulePath), "platform"))
}

// words splits a name at its capitals and returns the parts in lower case.
func words(name string) []string {
	var out []string
	var word []rune
	flush := func() {
		if len(word) > 0 {
			out = append(out, strings.ToLower(string(word)))
			word = nil
		}
	}
	runes := []rune(name)
	for i, r := range runes {
		starts := unicode.IsUpper(r) && (i == 0 || unicode.IsLower(runes[i-1]) || i+1 < len(runes) && unicode.IsLower(runes[i+1]))
		if starts || r == '_' {
			flush()
		}
		if r != '_' {
			word = append(word, r)
		}
	}
	flush()
	return out
}
