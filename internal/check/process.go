package check

import (
	"fmt"
	"time"
)

// checkLost checks the rule LOST: a planned stop of an instance interrupts no request that the
// instance has forwarded and that was sent to it before Bounds.Grace ended.
func checkLost(x *index) (out []Violation) {
	for _, d := range x.Disruptions {
		if !d.Planned {
			continue
		}
		end := d.From.Add(x.Bounds.Grace)
		for i := range x.Attempts {
			a := &x.Attempts[i]
			if a.Instance != d.Instance || a.SentAt.After(end) || a.EndedAt.Before(d.From) || !x.interrupted(a) || x.disruptedOtherwise(a, d) {
				continue
			}
			out = append(out, Violation{"LOST", a.EndedAt, fmt.Sprintf("%s was interrupted by the planned stop of %s at %s", a.ID, d.Instance, d.From.Format("15:04:05.000"))})
		}
	}
	return out
}

// interrupted reports whether an attempt was forwarded and ended without a complete response,
// although the caller did not abandon it, its deadline had not passed and no endpoint or link fault
// explains it.
func (x *index) interrupted(a *Attempt) bool {
	if a.Status != 0 && a.Complete || !a.AbandonedAt.IsZero() || a.EndedAt.Sub(a.SentAt) >= a.Deadline {
		return false
	}
	for _, r := range x.arrivals[a.ID] {
		if r.Aborted || r.Crashed || x.maybeDelayed(r) || x.resetWhile(x.sender(r), a) || x.senderFailed(r, a) {
			return false
		}
	}
	return len(x.arrivals[a.ID]) > 0
}

// senderFailed reports whether an unplanned disruption struck the instance that had sent an attempt's request to
// its endpoint for another one, before the attempt ended. The rule counts no request with an unplanned
// disruption until its end.
func (x *index) senderFailed(r *Arrival, a *Attempt) bool {
	sender := x.sender(r)
	for _, d := range x.Disruptions {
		if sender != a.Instance && d.Instance == sender && !d.Planned && d.From.After(r.At) && d.From.Before(a.EndedAt) {
			return true
		}
	}
	return false
}

// disruptedOtherwise reports whether an unplanned disruption other than stop affected the instance
// or the store during an attempt.
func (x *index) disruptedOtherwise(a *Attempt, stop Disruption) bool {
	for _, d := range x.Disruptions {
		if d != stop && !d.Planned && (d.Instance == a.Instance || d.Instance == "") && d.From.Before(a.EndedAt) && a.SentAt.Before(d.To.Add(x.Bounds.Contact)) {
			return true
		}
	}
	return false
}

// minServedShare is the fraction of requests that must succeed for the rule RECOVER.
const minServedShare = 0.25

// checkRecover checks the rule RECOVER: requests succeed again from Bounds.Recover after the end of
// the last fault.
func checkRecover(x *index) []Violation {
	var last time.Time
	for _, d := range x.Disruptions {
		if d.To.After(last) {
			last = d.To
		}
	}
	from := last.Add(x.Bounds.Recover)
	sent, served := 0, 0
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if last.IsZero() || a.SentAt.Before(from) {
			continue
		}
		sent++
		if success(a.Status) && a.Complete {
			served++
		}
	}
	if sent == 0 || float64(served) >= minServedShare*float64(sent) {
		return nil
	}
	return []Violation{{"RECOVER", from, fmt.Sprintf("only %d of %d requests were served from %s after the last fault on", served, sent, x.Bounds.Recover)}}
}

// checkFault checks the rule FAULT: no process ends unexpectedly or reports a violated invariant.
func checkFault(x *index) (out []Violation) {
	for _, e := range x.Exits {
		out = append(out, Violation{"FAULT", e.At, e.Instance + ": " + e.Text})
	}
	return out
}
