// Command vocabulary runs the vocabulary analyzer on packages.
package main

import (
	"golang.org/x/tools/go/analysis/singlechecker"

	"github.com/shelfcrank/shelfcrank/internal/vocabulary"
)

func main() { singlechecker.Main(vocabulary.Analyzer) }
