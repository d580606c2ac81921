package cmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/settings"
)

func newCheck(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank check", e)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "shelfcrank check [-json] FILE",
		ShortHelp:  "Validate a settings file and print every fault with its line and key.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("check takes one settings file")
			}
			err := validateFile(args[0])
			var faults *settings.FaultsError
			if *asJSON {
				list := []settings.Fault{}
				if errors.As(err, &faults) {
					list = faults.Faults
				}
				if perr := e.printJSON(list); perr != nil {
					return perr
				}
			}
			if err != nil {
				return usageError{err}
			}
			if !*asJSON {
				fmt.Fprintf(e.out, "%s: no faults\n", args[0])
			}
			return nil
		},
	}
}

// validateFile checks the settings of a front instance or of an entry instance,
// whichever the file holds.
func validateFile(file string) error {
	if settings.IsFront(file) {
		_, err := settings.LoadFront(file)
		return err
	}
	_, err := settings.LoadEntry(file)
	return err
}
