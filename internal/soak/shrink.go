package soak

import (
	"context"
	"slices"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// Shrink leaves out faults while a violation of the same rule remains, in so many runs at the
// most. It returns the faults that remain, and how many runs it took.
func Shrink(ctx context.Context, o Options, r *Report, most int) (actions []Action, runs int) {
	rule := r.Violations[0].Rule
	actions = r.Actions
	for part := len(actions) / 2; part >= 1; part /= 2 {
		for from := 0; from < len(actions); {
			if runs >= most || ctx.Err() != nil {
				return actions, runs
			}
			fewer := slices.Delete(slices.Clone(actions), from, min(from+part, len(actions)))
			o.Actions = fewer
			runs++
			if again, err := Run(ctx, o); err == nil && breaks(again, rule) {
				actions = fewer
			} else {
				from += part
			}
		}
	}
	return actions, runs
}

func breaks(r *Report, rule string) bool {
	return slices.ContainsFunc(r.Violations, func(v check.Violation) bool { return v.Rule == rule })
}
