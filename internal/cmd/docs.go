package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func newDocs(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank docs", e)
	dir := fs.String("dir", "docs", "output directory")
	return &ffcli.Command{
		Name:       "docs",
		ShortUsage: "shelfcrank docs [-dir DIR]",
		ShortHelp:  "Write the documentation pages that are generated from the code.",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			for name, text := range generatedDocs() {
				file := filepath.Join(*dir, name)
				if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
					return err
				}
				fmt.Fprintln(e.out, file)
			}
			return nil
		},
	}
}
