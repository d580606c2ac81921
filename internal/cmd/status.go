package cmd

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/gateway"
)

func newStatus(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank status", e)
	f := addOperatorFlags(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "shelfcrank status [-addr ADDR] [-json]",
		ShortHelp:  "Show the members with their halls and table revisions, and the endpoints.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			var s gateway.Status
			if err := f.call(ctx, http.MethodGet, "/operator/status", nil, &s); err != nil {
				return err
			}
			if *f.json {
				return e.printJSON(s)
			}
			return printStatus(e, s)
		},
	}
}

func printStatus(e *env, s gateway.Status) error {
	fmt.Fprintf(e.out, "%s in %s: table revision %d, view %d, %d records, %d claims\n\n", s.Instance, s.Hall, s.Revision, s.Epoch, s.Records, s.Claims)
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tHALL\tSTATE\tREVISION\tLAST SEEN")
	for _, m := range s.Members {
		state := m.State
		if m.Leaving {
			state += ", leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s ago\n", m.ID, m.Hall, state, m.Revision, time.Since(m.SeenAt).Round(time.Millisecond))
	}
	fmt.Fprintln(w, "\t\t\t\t\nENDPOINT\tHALL\tSERVES\tRUNNING\tOPEN HERE")
	slices.SortFunc(s.Endpoints, func(a, b gateway.StatusEndpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, p := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", p.ID, p.Hall, p.Serves, p.Running, p.Open)
	}
	return w.Flush()
}
