// Package vocabulary checks that declared names use the terms of docs/glossary.md.
//
// It rejects two kinds of words in the names of functions, types, constants, variables and fields:
// terms that the glossary has replaced, and terms of the users' platform outside of package
// platform, the adapter to it. allow.txt holds the number of existing names to be replaced, by
// package and word; the number may only decrease.
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
	replacement  string
	platformTerm bool // a term of the platform, allowed in package platform
}

//go:embed words.txt
var wordText string

// terms maps each rejected word to its replacement.
var terms = parseTerms(wordText)

// parseTerms parses lines of kind, word and replacement. It skips comments.
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

// Analyzer reports the declared names of a package that use a rejected word if there are more of them
// than allow.txt permits, and counts in allow.txt that are too high.
var Analyzer = &analysis.Analyzer{
	Name: "vocabulary",
	Doc:  "check that declared names use the terms of docs/glossary.md",
	Run:  run,
}

//go:embed allow.txt
var allowText string

// packageWord is a rejected word in the names of one package.
type packageWord struct{ pkg, word string }

// parseAllowed parses lines of package, word and count. It skips comments.
func parseAllowed(text string) (map[packageWord]int, error) {
	out := make(map[packageWord]int)
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
		out[packageWord{f[0], f[1]}] = n
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
		if len(names) <= allowed[packageWord{path, word}] {
			continue
		}
		for _, id := range names {
			pass.Reportf(id.Pos(), "%s uses %q: say %s (%d such names in %s, %d allowed)", id.Name, word, terms[word].replacement, len(names), path, allowed[packageWord{path, word}])
		}
	}
	return nil, nil
}

// uses returns the declared names of a package that use a rejected word, grouped by word and sorted
// by position.
func uses(pass *analysis.Pass) map[string][]*ast.Ident {
	found := make(map[string][]*ast.Ident)
	for id, object := range pass.TypesInfo.Defs {
		if !isDeclared(pass, object) || ast.IsGenerated(fileOf(pass, id.Pos())) {
			continue
		}
		for _, word := range words(id.Name) {
			if isRejected(pass, word) {
				found[word] = append(found[word], id)
			}
		}
	}
	for _, ids := range found {
		slices.SortFunc(ids, func(a, b *ast.Ident) int { return int(a.Pos() - b.Pos()) })
	}
	return found
}

// fileOf returns the file of the package that contains a position, or its first file if none does.
func fileOf(pass *analysis.Pass, pos token.Pos) *ast.File {
	for _, f := range pass.Files {
		if f.FileStart <= pos && pos < f.FileEnd {
			return f
		}
	}
	return pass.Files[0]
}

// isDeclared reports whether an object is declared at package level, or is a method or a field.
func isDeclared(pass *analysis.Pass, o types.Object) bool {
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

// isRejected reports whether names of a package must not use a word. Terms of the platform are
// allowed in package platform and below.
func isRejected(pass *analysis.Pass, word string) bool {
	t, ok := terms[word]
	return ok && !(t.platformTerm && strings.HasPrefix(strings.TrimPrefix(pass.Pkg.Path(), modulePath), "platform"))
}

// words splits a name in camel case or with underscores into its words, in lower case.
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
