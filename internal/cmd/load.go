package cmd

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/shelfcrank/shelfcrank/internal/metrics"
)

func newLoad(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank load", e)
	addr := addMetricsAddressFlag(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "shelfcrank load [-addr ADDR] [-json]",
		ShortHelp:  "Show the requests that one instance refused for lack of capacity, by service, route and client account.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			text, err := callMetrics(ctx, http.MethodGet, *addr, "/metrics")
			if err != nil {
				return err
			}
			rows, err := parseLoad(text)
			if err != nil {
				return err
			}
			if *asJSON {
				return e.printJSON(rows)
			}
			return printLoad(e, rows)
		},
	}
}

// loadRow holds the counters of overload control of one service, route and client account since the
// start of an instance.
type loadRow struct {
	Service           string `json:"service"`
	Route             string `json:"route"`
	Account           string `json:"account"`
	Refused           int64  `json:"refused"`
	Returned          int64  `json:"returned"`
	ServedAfterReturn int64  `json:"served_after_return"`
}

// parseLoad returns the counters of overload control among metrics in the Prometheus text format,
// ordered by service, route and account.
func parseLoad(text []byte) ([]loadRow, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("decode the metrics: %w", err)
	}
	rows := make(map[metrics.Source]*loadRow)
	for name, counter := range map[string]func(*loadRow) *int64{
		metrics.CapacityRefusals:  func(r *loadRow) *int64 { return &r.Refused },
		metrics.CapacityReturns:   func(r *loadRow) *int64 { return &r.Returned },
		metrics.ServedAfterReturn: func(r *loadRow) *int64 { return &r.ServedAfterReturn },
	} {
		for _, m := range families[name+"_total"].GetMetric() {
			labels := make(map[string]string)
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			source := metrics.Source{Service: labels["service"], Route: labels["route"], Account: labels["account"]}
			row := rows[source]
			if row == nil {
				row = &loadRow{Service: source.Service, Route: source.Route, Account: source.Account}
				rows[source] = row
			}
			*counter(row) = int64(m.GetCounter().GetValue())
		}
	}
	out := make([]loadRow, 0, len(rows))
	for _, row := range rows {
		out = append(out, *row)
	}
	slices.SortFunc(out, func(a, b loadRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
	})
	return out, nil
}

func printLoad(e *env, rows []loadRow) error {
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tROUTE\tACCOUNT\tREFUSED\tRETURNED\tSERVED AFTER RETURN")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\n", r.Service, r.Route, r.Account, r.Refused, r.Returned, r.ServedAfterReturn)
	}
	return w.Flush()
}
