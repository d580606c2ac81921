// Command shelfcrank is a serving system on reclaimable instances.
package main

import (
	"os"

	"github.com/shelfcrank/shelfcrank/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
