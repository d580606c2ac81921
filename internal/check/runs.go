package check

import (
	"fmt"
	"time"
)

// checkUnasked checks the rule UNASKED: endpoints receive only requests that callers sent,
// unchanged and for the client account of the caller's key.
func checkUnasked(x *index) (out []Violation) {
	for _, r := range x.ordered {
		a := x.attempts[r.Request]
		why := ""
		switch {
		case a == nil:
			why = "no caller sent this request"
		case a.Method != r.Method || a.URI != r.URI || a.BodySum != r.BodySum:
			why = fmt.Sprintf("%s %s was changed to %s %s, or its body", a.Method, a.URI, r.Method, r.URI)
		case a.Account != r.Account:
			why = fmt.Sprintf("account %q instead of %q", r.Account, a.Account)
		}
		if why != "" {
			out = append(out, Violation{"UNASKED", r.At, fmt.Sprintf("%s at %s: %s", r.Request, r.Endpoint, why)})
		}
	}
	return out
}

// checkTwice checks the rule TWICE: a request that is not idempotent is executed at most once.
func checkTwice(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if n := x.runs(a.ID); !a.Idempotent && n > 1 {
			out = append(out, Violation{"TWICE", a.SentAt, fmt.Sprintf("%s by %s was executed %d times", a.ID, a.Instance, n)})
		}
	}
	return out
}

// checkRoute checks the rule ROUTE: a request is executed by the service of its route.
func checkRoute(x *index) (out []Violation) {
	for _, r := range x.ordered {
		if a := x.attempts[r.Request]; a != nil && r.Ran && a.Service != r.Service {
			out = append(out, Violation{"ROUTE", r.At, fmt.Sprintf("%s for %s was executed by %s", a.ID, a.Service, r.Service)})
		}
	}
	return out
}

// Tolerances of the rules BUDGET attempts, BUDGET deadline and GONE: numbers and shares of requests
// that may be late or over budget, and how late.
const (
	attemptsAllowance = 3
	deadlineAllowance = 20
	deadlineShare     = 0.2
	deadlineSlack     = 500 * time.Millisecond
	goneAllowance     = 3
	goneShare         = 0.25
	goneAfter         = 500 * time.Millisecond
)

// checkBudgetAttempts checks the rule BUDGET attempts: a request is executed by no more endpoints
// than its route allows, not counting endpoints that crashed.
func checkBudgetAttempts(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		ran := make(map[string]bool)
		for _, r := range x.arrivals[a.ID] {
			if r.Ran && !r.Crashed && !r.Stopped { // the rule does not count endpoints that ended meanwhile
				ran[r.Endpoint] = true
			}
		}
		if len(ran) > a.MaxAttempts {
			out = append(out, Violation{"BUDGET attempts", a.SentAt, fmt.Sprintf("%s by %s was executed by %d endpoints, allowed %d", a.ID, a.Instance, len(ran), a.MaxAttempts)})
		}
	}
	if len(out) <= attemptsAllowance {
		return nil
	}
	return out
}

// checkBudgetDeadline checks the rule BUDGET deadline: the deadline passed to an endpoint is no
// longer than the time that the caller has left.
func checkBudgetDeadline(x *index) []Violation {
	var late []Violation
	all := 0
	for _, r := range x.ordered {
		a := x.attempts[r.Request]
		if a == nil || !x.inTouch(a.Instance, a.SentAt, r.At) || x.maybeDelayed(r) {
			continue
		}
		all++
		if left := a.Deadline - r.At.Sub(a.SentAt); r.Deadline < 0 || r.Deadline > left+deadlineSlack {
			late = append(late, Violation{"BUDGET deadline", r.At, fmt.Sprintf("%s had a deadline of %s at %s, but only %s left", a.ID, r.Deadline, r.Endpoint, left)})
		}
	}
	if len(late) <= deadlineAllowance || float64(len(late)) <= deadlineShare*float64(all) {
		return nil
	}
	return late
}

// checkBudgetRetries checks the rule BUDGET retries: retries at a service stay within the common
// retry budget of all instances.
func checkBudgetRetries(x *index) (out []Violation) {
	sent := make(map[string][]time.Time)
	for i := range x.Attempts {
		a := &x.Attempts[i]
		sent[a.Service] = append(sent[a.Service], a.SentAt)
	}
	repeats := make(map[string][]time.Time)
	seen := make(map[string]bool)
	for _, r := range x.ordered {
		if seen[r.Request] {
			repeats[r.Service] = append(repeats[r.Service], r.At)
		}
		seen[r.Request] = true
	}
	window := x.Bounds.RetryWindow
	for service, at := range repeats {
		for i, end := range at {
			n := countWithin(at[:i+1], end.Add(-window), end)
			requests := 0
			for _, back := range []time.Duration{0, window / 2, window} {
				requests = max(requests, countWithin(sent[service], end.Add(-window-back), end.Add(-back)))
			}
			if allowed := x.Bounds.RetryRatio*float64(requests) + x.Bounds.RetrySlack; float64(n) > allowed {
				out = append(out, Violation{"BUDGET retries", end, fmt.Sprintf("%s received %d retries in %s, allowed %d", service, n, window, int(allowed))})
				break
			}
		}
	}
	return out
}

// countWithin counts the times after from, up to and including to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkGone checks the rule GONE: a request that its caller has abandoned reaches no endpoint
// afterwards, and endpoints stop executing it if it is idempotent or a stream.
func checkGone(x *index) (out []Violation) {
	var late []Violation
	overran, running := 0, 0
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.AbandonedAt.IsZero() || !x.inTouch(a.Instance, a.SentAt, a.AbandonedAt.Add(goneAfter)) {
			continue
		}
		bound := a.AbandonedAt.Add(goneAfter)
		for _, r := range x.arrivals[a.ID] {
			if x.maybeDelayed(r) {
				continue
			}
			if r.At.After(bound) {
				late = append(late, Violation{"GONE", r.At, fmt.Sprintf("%s reached %s %s after its caller had abandoned it", a.ID, r.Endpoint, r.At.Sub(a.AbandonedAt))})
			}
			if !a.Idempotent && !a.Stream || !r.Ran || r.At.After(a.AbandonedAt) || !r.EndedAt.IsZero() && r.EndedAt.Before(a.AbandonedAt) {
				continue
			}
			running++
			if r.EndedAt.IsZero() || r.EndedAt.After(bound) {
				overran++
			}
		}
	}
	if len(late) > goneAllowance {
		out = append(out, late...)
	}
	if running > goneAllowance && float64(overran) > goneShare*float64(running) {
		out = append(out, Violation{"GONE", x.EndedAt, fmt.Sprintf("endpoints still executed %d of %d abandoned requests", overran, running)})
	}
	return out
}
