package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/shelfcrank/shelfcrank/internal/experiment"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const defaultBenchBasePort = 23000

func newBench(e *env) *ffcli.Command {
	fs := newFlags("shelfcrank bench", e)
	o := experiment.BenchOptions{}
	fs.StringVar(&o.Deployment, "deployment", "voltra", "voltra or bazaarline")
	fs.StringVar(&o.Scenario, "scenario", "steady", experiment.ScenarioNames())
	fs.StringVar(&o.Policy, "policy", "default", "default, round-robin, least-loaded, session-hash or on-demand-only")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of traffic and faults")
	fs.IntVar(&o.Seconds, "seconds", 20, "duration of the traffic in seconds")
	fs.Float64Var(&o.Scale, "scale", 1, "factor applied to the deployment's request rates")
	fs.IntVar(&o.Entries, "entries", 0, "number of entry instances; 0 for the deployment's")
	fs.IntVar(&o.Engines, "engines", 0, "number of engines of the first model; 0 for the deployment's")
	fs.IntVar(&o.Base, "base", defaultBenchBasePort, "first port")
	fs.StringVar(&o.KeepLogs, "logs", "", "directory for settings and logs of the processes; empty for a temporary one")
	set := fs.String("set", "", "cells to set in the table's default row, as COLUMN=VALUE,…")
	asJSON := fs.Bool("json", false, "print JSON")
	report := fs.String("report", "", "plot the JSON reports given as arguments into this PNG file instead of running an experiment")
	return &ffcli.Command{
		Name:       "bench",
		ShortUsage: "shelfcrank bench -deployment voltra|bazaarline -scenario NAME [-policy NAME] [-seed N] [-seconds N] [-json]",
		ShortHelp:  "Run an experiment in separate processes on loopback and print its measurements.",
		FlagSet:    fs,
		Options:    fromEnv(),
		Exec: func(ctx context.Context, args []string) error {
			if *report != "" {
				return plotReports(*report, args)
			}
			var err error
			if o.Set, err = parseCells(*set); err != nil {
				return err
			}
			r, err := experiment.Bench(ctx, o)
			if err != nil {
				return err
			}
			if *asJSON {
				return e.printJSON(r)
			}
			printBench(e, r)
			return nil
		},
	}
}

func plotReports(file string, args []string) error {
	if len(args) == 0 {
		return usagef("-report needs JSON files of earlier runs as arguments")
	}
	reports, err := experiment.ReadReports(args)
	if err != nil {
		return usageError{err}
	}
	return experiment.Plot(file, reports)
}

// parseCells parses a comma-separated list of COLUMN=VALUE and checks each value
// against its column.
func parseCells(s string) ([]table.Cell, error) {
	var cells []table.Cell
	for part := range strings.SplitSeq(s, ",") {
		if part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		col, ok := table.FindColumn(name)
		if !ok {
			return nil, usagef("-set: no column %s", name)
		}
		if err := col.Check(value); err != nil {
			return nil, usagef("-set: %s: %w", name, err)
		}
		cells = append(cells, table.Cell{Column: name, Value: value})
	}
	return cells, nil
}

func printBench(e *env, r *experiment.Report) {
	fmt.Fprintf(e.out, "%s %s %s seed %d, %d s, %d entry instances\n", r.Deployment, r.Scenario, r.Policy, r.Seed, r.Seconds, r.Entries)
	fmt.Fprintf(e.out, "  sent %d: answered %d, late %d, failed %d (refused %d, may have run %d)\n", r.Sent, r.Answered, r.Late, r.Failed, r.RefusedNotRun, r.Unknown)
	fmt.Fprintf(e.out, "  lost %d, doubled %d, wrong %d, cut by a planned stop %d, sent to leaving %d, reverts %d\n", r.Lost, r.Doubled, r.WrongAnswer, r.CutByPlannedStop, r.SentToLeaving, r.TableReverts)
	fmt.Fprintf(e.out, "  first token ms %.1f/%.1f/%.1f, service ms %.1f/%.1f, overhead ms p50 %.2f p99 %.2f\n", r.TTFT.P50, r.TTFT.P95, r.TTFT.P99, r.Service.P50, r.Service.P99, r.Overhead.P50, r.Overhead.P99)
	fmt.Fprintf(e.out, "  tokens: prompt %d, recomputed %d, output %d; KV moves %d\n", r.TokensPrompt, r.TokensRecomputed, r.TokensOutput, r.KVMoves)
	fmt.Fprintf(e.out, "  cost %.4f, per 1,000 on time %.4f; table in force ms p50 %.1f p99 %.1f max %.1f\n", r.Cost, r.CostPer1000OnTime, r.TableInForce.P50, r.TableInForce.P99, r.TableInForce.Max)
	fmt.Fprintf(e.out, "  by instance: control %.4f of a core and %.0f bytes/s; under traffic %.3f of a core; %.0f MB; store %.1f reads/s %.2f writes/s\n", r.ControlCPU, r.ControlBytes, r.CPU, r.MemoryMB, r.StoreCalls.Read, r.StoreCalls.Write)
	for _, line := range r.Errors {
		fmt.Fprintln(e.out, "   ", line)
	}
}
