package cmd

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/experiment"
)

func newCompare(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank compare", e)
	o := experiment.CompareOptions{}
	fs.StringVar(&o.Bench, "bench", "", "path of the external bench program")
	fs.IntVar(&o.Parallel, "parallel", 4, "number of cases run concurrently")
	fs.StringVar(&o.Reason, "why", "two versions compared", "reason that the bench program records with each run")
	sites := fs.String("sites", "", "comma-separated paths of site descriptions (TOML)")
	days := fs.String("days", "trouble-1,trouble-2,scale-1", "comma-separated names of the bench program's standard days, or paths of day descriptions (TOML)")
	seeds := fs.String("seeds", "1,2,3", "comma-separated seeds")
	return &ffcli.Command{
		Name:       "compare",
		ShortUsage: "shelfcrank compare -bench PROGRAM -sites FILE,… [-days NAME,…] [-seeds N,…] [-parallel N] BEFORE AFTER",
		ShortHelp:  "Run the same days with the versions in two directories and print the difference and its spread.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 || o.Bench == "" || *sites == "" {
				return usagef("-bench, -sites and the directories of two versions are needed")
			}
			var err error
			if o.Cases, err = parseCases(*sites, *days, *seeds); err != nil {
				return err
			}
			o.Before, o.After = args[0], args[1]
			if o.Bench, err = filepath.Abs(o.Bench); err != nil { // the bench program is started in other directories
				return usagef("-bench: %w", err)
			}
			return compareVersions(ctx, e, o)
		},
	}
}

// parseCases returns every combination of site, day and seed. Paths are made
// absolute, as the bench program is started in other directories.
func parseCases(sites, days, seeds string) ([]experiment.Case, error) {
	var cases []experiment.Case
	for site := range strings.SplitSeq(sites, ",") {
		sheet, err := filepath.Abs(site)
		if err != nil {
			return nil, usagef("-sites: %w", err)
		}
		for day := range strings.SplitSeq(days, ",") {
			if strings.HasSuffix(day, ".toml") {
				if day, err = filepath.Abs(day); err != nil {
					return nil, usagef("-days: %w", err)
				}
			}
			for seed := range strings.SplitSeq(seeds, ",") {
				n, err := strconv.ParseInt(seed, 10, 64)
				if err != nil {
					return nil, usagef("-seeds: %w", err)
				}
				cases = append(cases, experiment.Case{Site: sheet, Day: day, Seed: n})
			}
		}
	}
	return cases, nil
}

// compareVersions prints the result of each case as it ends, then the summary of
// all. It prints the summary also if some cases failed.
func compareVersions(ctx context.Context, e *env, o experiment.CompareOptions) error {
	var results []experiment.CaseResult
	err := experiment.Compare(ctx, o, func(r experiment.CaseResult) {
		results = append(results, r)
		fmt.Fprintf(e.out, "%-40s %6.3f %6.3f %+6.3f\n", r.Case, r.Before, r.After, r.After-r.Before)
	})
	s := experiment.Summarize(results)
	fmt.Fprintf(e.out, "%-40s %6.3f %6.3f %+6.3f, spread %.3f, standard error %.3f\n",
		fmt.Sprintf("mean of %d", s.Cases), s.Before, s.After, s.After-s.Before, s.Spread, s.Error)
	return err
}
