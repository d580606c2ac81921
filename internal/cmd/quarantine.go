package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/front"
)

func newQuarantine(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank quarantine", e)
	return &ffcli.Command{
		Name:        "quarantine",
		ShortUsage:  "shelfcrank quarantine list|lift",
		ShortHelp:   "Show requests and parts of prompts suspected of crashing endpoints, or allow one to run again.",
		FlagSet:     fs,
		Options:     fromEnv(),
		Subcommands: []*ffcli.Command{newQuarantineList(e), newQuarantineLift(e)},
		Exec:        func(context.Context, []string) error { return usagef("list or lift is missing") },
	}
}

func addMetricsAddressFlag(fs *flag.FlagSet) *string {
	return fs.String("addr", "127.0.0.1:9464", "metrics address of an instance")
}

func newQuarantineList(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank quarantine list", e)
	addr := addMetricsAddressFlag(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "shelfcrank quarantine list [-addr ADDR] [-json]",
		ShortHelp:  "Show the requests and parts of prompts that one instance suspects of crashing endpoints.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			body, err := callMetrics(ctx, http.MethodGet, *addr, front.QuarantinePath)
			if err != nil {
				return err
			}
			var all []front.SuspectStatus
			if err := json.Unmarshal(body, &all); err != nil {
				return fmt.Errorf("decode the quarantine list: %w", err)
			}
			if *asJSON {
				return e.printJSON(all)
			}
			return printSuspects(e, all)
		},
	}
}

func newQuarantineLift(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank quarantine lift", e)
	addr := addMetricsAddressFlag(fs)
	return &ffcli.Command{
		Name:       "lift",
		ShortUsage: "shelfcrank quarantine lift [-addr ADDR] FINGERPRINT",
		ShortHelp:  "Allow a request, or requests with a part, to run again on all instances. A prefix of the fingerprint is enough, or the ID of the part.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("one fingerprint is needed")
			}
			_, err := callMetrics(ctx, http.MethodDelete, *addr, front.QuarantinePath+"/"+args[0])
			return err
		},
	}
}

// callMetrics sends a request to the metrics address of an instance and returns
// the response body. A status of 300 or above is an error.
func callMetrics(ctx context.Context, method, addr, path string) ([]byte, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, usagef("-addr: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read the response of %s: %w", at, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func printSuspects(e *env, all []front.SuspectStatus) error {
	w := tabwriter.NewWriter(e.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "FINGERPRINT\tPART\tACCOUNT\tSTATE\tCRASHED ENDPOINTS")
	for _, s := range all {
		endpoints := lo.Keys(s.Ends)
		slices.Sort(endpoints)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Fingerprint, s.Part, s.Account, describeState(s, time.Now()), strings.Join(endpoints, " "))
	}
	return w.Flush()
}

// describeState returns a description of whether a suspected request may run at
// the time now.
func describeState(s front.SuspectStatus, now time.Time) string {
	switch {
	case s.Until != nil && now.Before(*s.Until):
		return "quarantined until " + s.Until.Format(time.RFC3339)
	case s.Until != nil:
		return "on probation: the outcome of one run decides"
	case len(s.Ends) == 0 && s.ClearedAt != nil:
		return "cleared"
	}
	return "suspect"
}
