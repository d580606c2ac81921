package cmd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

func newTable(e *env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "table",
		ShortUsage: "shelfcrank table <get|set|add|remove|history|import|export>",
		ShortHelp:  "Read and edit the operators' table.",
		FlagSet:    newFlags("shelfcrank table", e),
		Subcommands: []*ffcli.Command{
			newTableGet(e), newTableSet(e), newTableAdd(e), newTableRemove(e), newTableHistory(e), newTableExport(e), newTableImport(e),
		},
		Exec: func(context.Context, []string) error {
			return usagef("table needs a subcommand; see shelfcrank table -h")
		},
	}
}

func newTableGet(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table get", e)
	f := addOperatorFlags(fs)
	return &ffcli.Command{
		Name: "get", ShortUsage: "shelfcrank table get [ROW [COLUMN]]", ShortHelp: "Show the table, a row or a cell.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			var d table.Document
			if err := f.call(ctx, http.MethodGet, "/operator/table", nil, &d); err != nil {
				return err
			}
			return printTable(e, *f.json, &d, args)
		},
	}
}

func printTable(e *env, asJSON bool, d *table.Document, args []string) error {
	rows := d.Rows
	if len(args) > 0 {
		r, ok := d.Find(args[0])
		if !ok {
			return fmt.Errorf("no row %s", args[0])
		}
		if len(args) > 1 {
			if _, ok := table.FindColumn(args[1]); !ok {
				return usagef("no column %s", args[1])
			}
			fmt.Fprintln(e.out, r.Get(args[1]))
			return nil
		}
		rows = []table.Row{r}
	}
	if asJSON {
		return e.printJSON(rows)
	}
	fmt.Fprintf(e.out, "revision %d\n", d.Revision)
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ROW\tCELLS")
	for _, r := range rows {
		var cells []string
		for _, c := range r.Cells {
			cells = append(cells, c.Column+"="+c.Value)
		}
		fmt.Fprintf(w, "%s\t%s\n", r.Name, strings.Join(cells, " "))
	}
	return w.Flush()
}

// editFlags holds the flags shared by commands that edit the table.
type editFlags struct {
	operatorFlags
	was   *string
	force *bool
	id    *string
	fs    *flag.FlagSet
}

func addEditFlags(fs *flag.FlagSet) editFlags {
	return editFlags{
		operatorFlags: addOperatorFlags(fs),
		was:           fs.String("was", "", "expected current value; the edit is rejected if the cell has another one"),
		force:         fs.Bool("force", false, "allow an edit that locks everyone out or makes all weights zero"),
		id:            fs.String("edit-id", "", "ID of the edit; to retry an edit whose outcome is unknown, give the ID printed with it"),
		fs:            fs,
	}
}

// positional returns the first n arguments and parses the remaining ones as
// flags, so that flags may also follow the arguments.
func (f editFlags) positional(args []string, n int) ([]string, error) {
	if len(args) < n {
		return nil, usagef("%d arguments are needed", n)
	}
	if err := f.fs.Parse(args[n:]); err != nil {
		return nil, usageError{err}
	}
	if f.fs.NArg() > 0 {
		return nil, usagef("unexpected %q", f.fs.Args())
	}
	return args[:n], nil
}

// hasWas reports whether -was was given; its value may be empty.
func (f editFlags) hasWas() bool {
	given := false
	f.fs.Visit(func(fl *flag.Flag) { given = given || fl.Name == "was" })
	return given
}

const editIDLength = 8

// send posts an edit and prints its outcome. An edit without -edit-id gets a
// random ID, which is part of the error message so that the edit can be retried
// under the same ID.
func (f editFlags) send(ctx context.Context, e *env, edit table.Edit) error {
	edit.ID, edit.Force = *f.id, *f.force
	if edit.ID == "" {
		var b [editIDLength]byte
		_, _ = rand.Read(b[:]) // never fails
		edit.ID = hex.EncodeToString(b[:])
	}
	edit.Expected, edit.HasExpected = *f.was, f.hasWas()
	var a gateway.EditAnswer
	if err := f.call(ctx, http.MethodPost, "/operator/edits", gateway.NewEditRequest(edit), &a); err != nil {
		return fmt.Errorf("edit %s: %w", edit.ID, err)
	}
	if *f.json {
		return e.printJSON(a)
	}
	fmt.Fprintf(e.out, "accepted as revision %d (was %q)\n", a.Accepted.Revision, a.Accepted.Old)
	return nil
}

func newTableSet(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table set", e)
	f := addEditFlags(fs)
	return &ffcli.Command{
		Name: "set", ShortUsage: "shelfcrank table set ROW COLUMN VALUE [-was OLD]", ShortHelp: "Change one cell; an empty value clears it.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			p, err := f.positional(args, 3)
			if err != nil {
				return err
			}
			return f.send(ctx, e, table.Edit{Op: table.OpSet, Row: p[0], Column: p[1], Value: p[2]})
		},
	}
}

func newTableAdd(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table add", e)
	f := addEditFlags(fs)
	return &ffcli.Command{
		Name: "add", ShortUsage: "shelfcrank table add ROW account|class", ShortHelp: "Add a row.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			p, err := f.positional(args, 2)
			if err != nil {
				return err
			}
			return f.send(ctx, e, table.Edit{Op: table.OpAdd, Row: p[0], Kind: p[1]})
		},
	}
}

func newTableRemove(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table remove", e)
	f := addEditFlags(fs)
	return &ffcli.Command{
		Name: "remove", ShortUsage: "shelfcrank table remove ROW", ShortHelp: "Remove a row.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			p, err := f.positional(args, 1)
			if err != nil {
				return err
			}
			return f.send(ctx, e, table.Edit{Op: table.OpRemove, Row: p[0]})
		},
	}
}

func newTableHistory(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table history", e)
	f := addOperatorFlags(fs)
	limit := fs.Int("limit", 50, "maximum number of edits to show")
	return &ffcli.Command{
		Name: "history", ShortUsage: "shelfcrank table history [-limit N]", ShortHelp: "Show the accepted edits, newest first.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, _ []string) error { return printHistory(ctx, e, f, *limit) },
	}
}

// tableFile is the TOML form of an exported table.
type tableFile struct {
	Revision uint64      `toml:"revision"`
	Rows     []table.Row `toml:"rows"`
}

func newTableExport(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table export", e)
	f := addOperatorFlags(fs)
	return &ffcli.Command{
		Name: "export", ShortUsage: "shelfcrank table export", ShortHelp: "Print the table as TOML.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			var d table.Document
			if err := f.call(ctx, http.MethodGet, "/operator/table", nil, &d); err != nil {
				return err
			}
			return toml.NewEncoder(e.out).Encode(tableFile{d.Revision, d.Rows})
		},
	}
}

func newTableImport(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank table import", e)
	f := addEditFlags(fs)
	return &ffcli.Command{
		Name: "import", ShortUsage: "shelfcrank table import FILE", ShortHelp: "Apply the edits that turn the table in force into the one in a TOML file, one by one.",
		FlagSet: fs, Options: fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			p, err := f.positional(args, 1)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(p[0])
			if err != nil {
				return usageError{err}
			}
			var want tableFile
			if err := toml.Unmarshal(b, &want); err != nil {
				return usageError{err}
			}
			var d table.Document
			if err := f.call(ctx, http.MethodGet, "/operator/table", nil, &d); err != nil {
				return err
			}
			for _, edit := range table.Diff(&d, want.Rows) {
				if err := f.send(ctx, e, edit); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
