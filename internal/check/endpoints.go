package check

import (
	"fmt"
	"time"
)

// Bounds of what an endpoint asks for in its answers.
const (
	restNotice = 500 * time.Millisecond // from the answer until it binds the instance
	restOver   = 2                      // requests that may still come
	deadlyEnds = 3                      // endpoints that end under a request before it is stopped
	deadlyOver = 3                      // sent after that
)

// drainStore: an endpoint whose leaving the store acknowledged gets no new work.
func drainStore(x *index) (out []Violation) {
	left := make(map[string]time.Time)
	for _, l := range x.Leavings {
		if _, known := left[l.Endpoint]; !known && !x.disrupted("", l.AckedAt, l.AckedAt) {
			left[l.Endpoint] = l.AckedAt
		}
	}
	for _, r := range x.ordered {
		at, leaving := left[r.Endpoint]
		sender := x.sender(r.Request)
		if leaving && r.At.Sub(at) > x.Bounds.Drain && x.inTouch(sender, at, r.At) && !x.heldUp(r) {
			out = append(out, Violation{"DRAIN store", r.At, fmt.Sprintf("%s reached %s from %s, %s after its leaving was acknowledged", r.Request, r.Endpoint, sender, r.At.Sub(at))})
		}
	}
	return out
}

type pair struct{ endpoint, instance string }

// drainAnswer: an endpoint that announced to an instance that it leaves gets no new work from it.
func drainAnswer(x *index) (out []Violation) {
	said := make(map[pair]time.Time)
	for _, s := range x.Statements {
		p := pair{s.Endpoint, s.Instance}
		if _, known := said[p]; s.Leaving && !known {
			said[p] = s.At
		}
	}
	for _, r := range x.ordered {
		sender := x.sender(r.Request)
		at, leaving := said[pair{r.Endpoint, sender}]
		if leaving && r.At.Sub(at) > x.Bounds.Drain && !x.disrupted(sender, at, r.At) && !x.heldUp(r) {
			out = append(out, Violation{"DRAIN answer", r.At, fmt.Sprintf("%s reached %s from %s, %s after its answer", r.Request, r.Endpoint, sender, r.At.Sub(at))})
		}
	}
	return out
}

// budgetRest: an endpoint that asked an instance for rest gets it.
func budgetRest(x *index) (out []Violation) {
	for _, s := range x.Statements {
		if s.RestUntil.IsZero() {
			continue
		}
		n := 0
		for _, r := range x.ordered {
			if r.Endpoint != s.Endpoint || !r.At.After(s.At.Add(restNotice)) || !r.At.Before(s.RestUntil) {
				continue
			}
			if sender := x.sender(r.Request); sender != s.Instance || x.disrupted(sender, s.At, r.At) || x.heldUp(r) {
				continue
			}
			if n++; n > restOver {
				out = append(out, Violation{"BUDGET rest", r.At, fmt.Sprintf("%s got a %d. request from %s while it rests until %s", s.Endpoint, n, s.Instance, s.RestUntil.Format("15:04:05.000"))})
				break
			}
		}
	}
	return out
}

// content identifies a request whatever its id.
type content struct {
	uri, account string
	body         uint64
}

// budgetDeadly: a request under which endpoints end is stopped after the third.
func budgetDeadly(x *index) (out []Violation) {
	ends, after, thirdAt := make(map[content]int), make(map[content]int), make(map[content]time.Time)
	for _, r := range x.ordered {
		c := content{r.URI, r.Account, r.BodySum}
		if at, stopped := thirdAt[c]; stopped && r.At.Sub(at) > x.Bounds.Contact && x.inTouch(x.sender(r.Request), at, r.At) {
			if after[c]++; after[c] == deadlyOver+1 {
				out = append(out, Violation{"BUDGET deadly", r.At, fmt.Sprintf("%s %s was sent more than %d times after three endpoints had ended under it", r.Method, r.URI, deadlyOver)})
			}
		}
		if r.Crashed {
			if ends[c]++; ends[c] == deadlyEnds {
				thirdAt[c] = r.EndedAt
			}
		}
	}
	return out
}

// limit: see RateLimits.
func limit(x *index) []Violation {
	c := NewRateLimits(x.Bounds.Contact)
	for _, l := range x.RateChanges {
		if l.Limited {
			c.Named(l.Endpoint, l.Rate, l.At)
		} else {
			c.Lifted(l.Endpoint, l.At)
		}
	}
	for _, s := range x.Statements {
		if s.RateLimit {
			c.Passed(s.Endpoint, s.Instance, s.At)
		}
	}
	for _, d := range x.Disruptions {
		if d.Instance != "" {
			c.Excuse(d.Instance, d.From, d.To.Add(x.Bounds.Contact))
		}
	}
	for _, r := range x.ordered {
		if x.heldUp(r) {
			continue
		}
		c.Arrived(r.Endpoint, x.sender(r.Request), r.At)
	}
	return c.Violations()
}
