package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/soak"
)

// errViolations says that a soak broke a rule.
var errViolations = errors.New("rules were broken")

func newSoak(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank soak", e)
	file := fs.String("scenario", "", "scenario file (TOML), instead of the default one")
	seed := fs.Uint64("seed", 0, "seed of the faults; 0 draws one")
	seconds := fs.Int("seconds", 0, "length of the traffic, instead of the scenario's")
	instances := fs.Int("instances", 0, "front instances, instead of the scenario's")
	endpoints := fs.Int("endpoints", 0, "endpoints of each service, instead of the scenario's")
	only := fs.String("only", "", "kinds of faults to play, separated by commas; empty for all")
	without := fs.String("without", "", "kinds of faults to leave out")
	logs := fs.String("logs", "", "folder to keep settings and logs in")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	plot := fs.String("plot", "", "draw served, refused and failed attempts and the faults over time into this PNG or SVG file")
	shrink := fs.Int("shrink", 0, "after a violation, leave out faults while it remains, in so many runs at the most")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "shelfcrank soak [-seconds N] [-seed N] [-instances N] [-only KINDS] [-without KINDS]",
		ShortHelp:  "Run real instances against stand-ins under overlapping faults and check every rule.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, _ []string) error {
			s, err := loadScenario(*file)
			if err != nil {
				return usageError{err}
			}
			override(&s.Seconds, *seconds)
			override(&s.Instances, *instances)
			override(&s.Engines, *endpoints)
			override(&s.Services, *endpoints)
			s.Select(parseKinds(*only), parseKinds(*without))
			if *seed == 0 {
				*seed = uint64(rand.Uint32())
			}
			dir, remove, err := soakDir(*logs)
			if err != nil {
				return err
			}
			defer remove()
			o := soak.Options{Scenario: s, Seed: *seed, Dir: dir, Progress: e.err}
			fmt.Fprintf(e.err, "seed %d, %d s, %d instances\n", *seed, s.Seconds, s.Instances)
			r, err := soak.Run(ctx, o)
			if err != nil {
				return err
			}
			if *plot != "" {
				if err := soak.Plot(*plot, r); err != nil {
					return err
				}
			}
			if err := e.printSoak(r, *asJSON); err != nil {
				return err
			}
			if len(r.Violations) == 0 {
				return nil
			}
			if *shrink > 0 {
				e.printShrunk(soak.Shrink(ctx, o, r, *shrink))
			}
			return errViolations
		},
	}
}

func loadScenario(file string) (soak.Scenario, error) {
	if file == "" {
		return soak.Default()
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return soak.Scenario{}, err
	}
	return soak.Parse(text)
}

// override sets a value if it was given.
func override(to *int, given int) {
	if given > 0 {
		*to = given
	}
}

func parseKinds(list string) []soak.Kind {
	var out []soak.Kind
	for name := range strings.SplitSeq(list, ",") {
		if name = strings.TrimSpace(name); name != "" {
			out = append(out, soak.Kind(name))
		}
	}
	return out
}

// soakDir returns the folder of a run, and what removes one that is not to be kept.
func soakDir(keep string) (string, func(), error) {
	if keep == "" {
		return soak.TempDir()
	}
	return keep, func() {}, os.MkdirAll(keep, 0o700)
}

func (e *env) printSoak(r *soak.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(e.out).Encode(r)
	}
	fmt.Fprintf(e.out, "seed %d: %d attempts, %d arrivals, %d served, %d refused, %d failed, %d faults, %d violations\n",
		r.Seed, r.Attempts, r.Arrivals, r.Served, r.Refused, r.Failed, len(r.Actions), len(r.Violations))
	return soak.Explain(e.out, r)
}

func (e *env) printShrunk(actions []soak.Action, runs int) {
	fmt.Fprintf(e.out, "after %d more runs these faults remain:\n", runs)
	for _, a := range actions {
		fmt.Fprintln(e.out, a)
	}
}
