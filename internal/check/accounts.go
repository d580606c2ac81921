package check

import (
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// checkQuota checks the rule QUOTA: the units of the executed requests of a client account stay
// within its rate limit.
func checkQuota(x *index) (out []Violation) {
	for _, account := range x.Accounts {
		if account.Rate <= 0 {
			continue
		}
		if v, broken := x.quotaViolation(account); broken {
			out = append(out, v)
		}
	}
	return out
}

// quotaViolation returns the first window in which an account exceeded its limit, if there is one.
func (x *index) quotaViolation(account Account) (Violation, bool) {
	window := x.Bounds.QuotaWindow
	allowed := (account.Rate*window.Seconds() + account.Burst) * (1 + x.Bounds.QuotaTolerance)
	type use struct {
		at    time.Time
		units float64
	}
	var within []use
	sum := 0.0
	seen := make(map[string]bool)
	for _, r := range x.ordered {
		a := x.attempts[r.Request]
		if a == nil || a.Account != account.Name || !r.Ran || seen[r.Request] {
			continue
		}
		seen[r.Request] = true
		within = append(within, use{r.At, a.Units})
		sum += a.Units
		for !within[0].at.After(r.At.Add(-window)) {
			sum -= within[0].units
			within = within[1:]
		}
		if sum > allowed {
			return Violation{"QUOTA", r.At, fmt.Sprintf("%s used %v units in %s, allowed %v", account.Name, sum, window, allowed)}, true
		}
	}
	return Violation{}, false
}

// maxDelayAfterDisruption is how long after the end of an instance's disruption a call that it had
// already sent may still arrive.
const maxDelayAfterDisruption = 300 * time.Millisecond

// delayedByDisruption reports whether a call may have been delayed by a disruption of its holder.
func (x *index) delayedByDisruption(c DutyCall) bool {
	for _, d := range x.Disruptions {
		if d.Instance == c.Holder && d.From.Before(c.At) && c.At.Before(d.To.Add(maxDelayAfterDisruption)) {
			return true
		}
	}
	return false
}

// checkSingleHolder checks the rule ONE: all reports of the usage in a window have the same counts, a
// fencing token is used by one holder only, and fencing tokens never decrease.
func checkSingleHolder(x *index) (out []Violation) {
	counts := make(map[int64]string)
	holders := make(map[store.Revision]string)
	highest := store.Revision(0)
	for _, c := range x.DutyCalls {
		if old, known := counts[c.Window]; known && old != c.Counts {
			out = append(out, Violation{"ONE", c.At, fmt.Sprintf("window %d was reported as %s and as %s", c.Window, old, c.Counts)})
		}
		counts[c.Window] = c.Counts
		if old, known := holders[c.Fence]; known && old != c.Holder {
			out = append(out, Violation{"ONE", c.At, fmt.Sprintf("fence %d was sent by %s and by %s", c.Fence, old, c.Holder)})
		}
		holders[c.Fence] = c.Holder
		if c.Fence < highest && !x.delayedByDisruption(c) {
			out = append(out, Violation{"ONE", c.At, fmt.Sprintf("%s sent fence %d after %d", c.Holder, c.Fence, highest)})
		}
		highest = max(highest, c.Fence)
	}
	return out
}
