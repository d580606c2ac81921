package cmd

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/experiment"
)

const (
	demoBasePortVoltra     = 21000
	demoBasePortBazaarline = 22000
)

func newDemo(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank demo", e)
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "shelfcrank demo [-json]",
		ShortHelp:  "Run both users' deployments in one process with stand-ins and reclaim a hall midway.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			reports, err := runDemos(ctx)
			if err != nil {
				return err
			}
			ok := true
			for _, r := range reports {
				ok = ok && r.OK()
				if err := printDemo(e, r, *asJSON); err != nil {
					return err
				}
			}
			if !ok {
				return errors.New("a request was lost, executed twice or answered wrongly")
			}
			return nil
		},
	}
}

// runDemos runs both users' deployments concurrently and returns their reports
// in a fixed order.
func runDemos(ctx context.Context) ([]experiment.DemoReport, error) {
	demos := []struct {
		name string
		base int
	}{{"voltra", demoBasePortVoltra}, {"bazaarline", demoBasePortBazaarline}}
	reports := make([]experiment.DemoReport, len(demos))
	errs := make([]error, len(demos))
	var wait sync.WaitGroup
	for i, d := range demos {
		wait.Go(func() { reports[i], errs[i] = experiment.Demo(ctx, d.name, d.base, zap.NewNop()) })
	}
	wait.Wait()
	return reports, errors.Join(errs...)
}

func printDemo(e *env, r experiment.DemoReport, asJSON bool) error {
	if asJSON {
		return e.printJSON(r)
	}
	fmt.Fprint(e.out, r.Text())
	for _, line := range r.Errors {
		fmt.Fprintln(e.out, "   ", line)
	}
	return nil
}
