// Command vocabulary runs the analyzers of package vocabulary on the given packages.
package main

import (
	"golang.org/x/tools/go/analysis/multichecker"

	"github.com/shelfcrank/shelfcrank/internal/vocabulary"
)

func main() { multichecker.Main(vocabulary.Analyzer, vocabulary.Revisions) }
