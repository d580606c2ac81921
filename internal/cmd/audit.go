package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/table"
)

func newAudit(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank audit", e)
	f := addOperatorFlags(fs)
	limit := fs.Int("limit", 50, "maximum number of edits to show")
	return &ffcli.Command{
		Name:       "audit",
		ShortUsage: "shelfcrank audit [-limit N] [-json]",
		ShortHelp:  "Show the accepted edits of the table, newest first.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			return printHistory(ctx, e, f, *limit)
		},
	}
}

// printHistory prints the latest accepted edits, at most limit of them, as
// reported by an entry instance.
func printHistory(ctx context.Context, e *env, f operatorFlags, limit int) error {
	var edits []table.Accepted
	if err := f.call(ctx, http.MethodGet, "/operator/history?limit="+strconv.Itoa(limit), nil, &edits); err != nil {
		return err
	}
	if *f.json {
		return e.printJSON(edits)
	}
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tAT\tBY\tOP\tROW\tCOLUMN\tOLD\tNEW")
	for _, a := range edits {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", a.Revision, a.At.Format(time.RFC3339), a.Edit.By, a.Edit.Op, a.Edit.Row, a.Edit.Column, a.Old, a.Edit.Value)
	}
	return w.Flush()
}
