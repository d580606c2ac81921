package soak

import (
	"context"
	"slices"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// Shrink minimizes the faults that reproduce the first violation of a report. It repeats the run
// with ever smaller groups of faults left out, and keeps a group out if the same rule is violated
// again. It makes maxRuns runs at most, and returns the remaining faults and the number of runs made.
func Shrink(ctx context.Context, o Options, r *Report, maxRuns int) (actions []Action, runs int) {
	rule := r.Violations[0].Rule
	actions = r.Actions
	for part := len(actions) / 2; part >= 1; part /= 2 {
		for from := 0; from < len(actions); {
			if runs >= maxRuns || ctx.Err() != nil {
				return actions, runs
			}
			fewer := slices.Delete(slices.Clone(actions), from, min(from+part, len(actions)))
			o.Actions = fewer
			runs++
			if again, err := Run(ctx, o); err == nil && violates(again, rule) {
				actions = fewer
			} else {
				from += part
			}
		}
	}
	return actions, runs
}

func violates(r *Report, rule string) bool {
	return slices.ContainsFunc(r.Violations, func(v check.Violation) bool { return v.Rule == rule })
}
