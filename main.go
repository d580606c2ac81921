// Command shelfcrank runs the instances of a serving system for reclaimable
// instances, the operators' commands, and the system's experiments.
package main

import (
	"os"

	"github.com/shelfcrank/shelfcrank/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
