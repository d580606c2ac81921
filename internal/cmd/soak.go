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

// errViolations is returned for a soak run with violations of the checked rules.
var errViolations = errors.New("the run violated one or more rules")

func newSoak(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank soak", e)
	file := fs.String("scenario", "", "scenario file (TOML); empty for the default scenario")
	seed := fs.Uint64("seed", 0, "seed of the faults; 0 for a random one")
	seconds := fs.Int("seconds", 0, "duration of the traffic in seconds; 0 for the scenario's")
	instances := fs.Int("instances", 0, "number of front instances; 0 for the scenario's")
	endpoints := fs.Int("endpoints", 0, "number of endpoints of each service; 0 for the scenario's")
	only := fs.String("only", "", "comma-separated kinds of faults to inject; empty for all")
	without := fs.String("without", "", "comma-separated kinds of faults to leave out")
	program := fs.String("program", "", "program of the instances, such as that of an earlier version; empty for this one")
	logs := fs.String("logs", "", "directory for settings and logs; empty for a temporary one")
	asJSON := fs.Bool("json", false, "print the report as JSON")
	plot := fs.String("plot", "", "plot served, refused and failed attempts and the faults over time into this PNG or SVG file")
	shrink := fs.Int("shrink", 0, "after a violation, remove faults as long as it still occurs, in at most this many further runs")
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
			overrideInt(&s.Seconds, *seconds)
			overrideInt(&s.Instances, *instances)
			overrideInt(&s.Engines, *endpoints)
			overrideInt(&s.Services, *endpoints)
			s.Select(parseKinds(*only), parseKinds(*without))
			if *seed == 0 {
				*seed = uint64(rand.Uint32())
			}
			dir, remove, err := soakDir(*logs)
			if err != nil {
				return err
			}
			defer remove()
			o := soak.Options{Scenario: s, Seed: *seed, Dir: dir, Program: *program, Progress: e.err}
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

// overrideInt sets *to to given if given is positive.
func overrideInt(to *int, given int) {
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

// soakDir returns the directory of a run and a function to call after the run,
// which removes the directory if it is a temporary one.
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
	fmt.Fprintf(e.out, "seed %d: %d attempts, %d arrivals, %d served, %d refused (%d for lack of capacity), %d failed, %d of %d streams taken up gone on, %d faults, %d violations\n",
		r.Seed, r.Attempts, r.Arrivals, r.Served, r.Refused, r.Overload, r.Failed, r.TakeUps.GoneOn, r.TakeUps.Streams, len(r.Actions), len(r.Violations))
	return soak.Explain(e.out, r)
}

func (e *env) printShrunk(actions []soak.Action, runs int) {
	fmt.Fprintf(e.out, "remaining faults after %d more runs:\n", runs)
	for _, a := range actions {
		fmt.Fprintln(e.out, a)
	}
}
