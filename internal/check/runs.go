package check

import (
	"fmt"
	"time"
)

// unasked: endpoints get what callers sent, for the account of the key.
func unasked(x *index) (out []Violation) {
	for _, r := range x.ordered {
		a := x.attempts[r.Request]
		why := ""
		switch {
		case a == nil:
			why = "no caller sent it"
		case a.Method != r.Method || a.URI != r.URI || a.BodySum != r.BodySum:
			why = fmt.Sprintf("%s %s was changed to %s %s, or its body", a.Method, a.URI, r.Method, r.URI)
		case a.Account != r.Account:
			why = fmt.Sprintf("account %q in place of %q", r.Account, a.Account)
		}
		if why != "" {
			out = append(out, Violation{"UNASKED", r.At, fmt.Sprintf("%s at %s: %s", r.Request, r.Endpoint, why)})
		}
	}
	return out
}

// twice: a request that is not idempotent runs at most once.
func twice(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if n := x.runs(a.ID); !a.Idempotent && n > 1 {
			out = append(out, Violation{"TWICE", a.SentAt, fmt.Sprintf("%s by %s ran %d times", a.ID, a.Instance, n)})
		}
	}
	return out
}

// routed: a request runs at the service of its route.
func routed(x *index) (out []Violation) {
	for _, r := range x.ordered {
		if a := x.attempts[r.Request]; a != nil && r.Ran && a.Service != r.Service {
			out = append(out, Violation{"ROUTE", r.At, fmt.Sprintf("%s for %s ran at %s", a.ID, a.Service, r.Service)})
		}
	}
	return out
}

// Requests that may break a rule before it counts as broken.
const (
	attemptsOver  = 3
	deadlineOver  = 20
	deadlineShare = 0.2
	deadlineSlack = 500 * time.Millisecond
	goneOver      = 3
	goneShare     = 0.25
	goneAfter     = 500 * time.Millisecond
)

// budgetAttempts: a request is sent to no more endpoints than its route allows.
func budgetAttempts(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		ran := make(map[string]bool)
		for _, r := range x.arrivals[a.ID] {
			if r.Ran && !r.Crashed {
				ran[r.Endpoint] = true
			}
		}
		if len(ran) > a.MaxAttempts {
			out = append(out, Violation{"BUDGET attempts", a.SentAt, fmt.Sprintf("%s by %s ran at %d endpoints, allowed %d", a.ID, a.Instance, len(ran), a.MaxAttempts)})
		}
	}
	if len(out) <= attemptsOver {
		return nil
	}
	return out
}

// budgetDeadline: endpoints are given no more time than is left.
func budgetDeadline(x *index) []Violation {
	var late []Violation
	all := 0
	for _, r := range x.ordered {
		a := x.attempts[r.Request]
		if a == nil || !x.inTouch(a.Instance, a.SentAt, r.At) || x.heldUp(r) {
			continue
		}
		all++
		if left := a.Deadline - r.At.Sub(a.SentAt); r.Deadline < 0 || r.Deadline > left+deadlineSlack {
			late = append(late, Violation{"BUDGET deadline", r.At, fmt.Sprintf("%s was given %s at %s, %s were left", a.ID, r.Deadline, r.Endpoint, left)})
		}
	}
	if len(late) <= deadlineOver || float64(len(late)) <= deadlineShare*float64(all) {
		return nil
	}
	return late
}

// budgetRetries: repeats at a service stay within the budget of all instances.
func budgetRetries(x *index) (out []Violation) {
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
				out = append(out, Violation{"BUDGET retries", end, fmt.Sprintf("%s got %d repeats in %s, allowed %d", service, n, window, int(allowed))})
				break
			}
		}
	}
	return out
}

// countWithin counts the times after from, up to and including to. times are in order.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// gone: what a caller has given up reaches no endpoint later, and work on it ends.
func gone(x *index) (out []Violation) {
	var late []Violation
	working, lasting := 0, 0
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.LeftAt.IsZero() || !x.inTouch(a.Instance, a.SentAt, a.LeftAt.Add(goneAfter)) {
			continue
		}
		bound := a.LeftAt.Add(goneAfter)
		for _, r := range x.arrivals[a.ID] {
			if x.heldUp(r) {
				continue
			}
			if r.At.After(bound) {
				late = append(late, Violation{"GONE", r.At, fmt.Sprintf("%s reached %s %s after its caller had left", a.ID, r.Endpoint, r.At.Sub(a.LeftAt))})
			}
			if !a.Idempotent && !a.Stream || !r.Ran || r.At.After(a.LeftAt) || !r.EndedAt.IsZero() && r.EndedAt.Before(a.LeftAt) {
				continue
			}
			lasting++
			if r.EndedAt.IsZero() || r.EndedAt.After(bound) {
				working++
			}
		}
	}
	if len(late) > goneOver {
		out = append(out, late...)
	}
	if lasting > goneOver && float64(working) > goneShare*float64(lasting) {
		out = append(out, Violation{"GONE", x.EndedAt, fmt.Sprintf("endpoints still worked on %d of %d requests that were given up", working, lasting)})
	}
	return out
}
