package check

import (
	"fmt"
	"time"
)

// Tolerances of the rules BUDGET rest and BUDGET deadly.
const (
	pauseNotice    = 500 * time.Millisecond // from the response that asks for a pause until the pause binds the instance
	pauseAllowance = 2                      // requests tolerated during a pause
	crashLimit     = 3                      // endpoint crashes during a request after which it must be blocked
	partCrashLimit = 5                      // endpoints that may crash under one part of prompts
	fatalAllowance = 3                      // requests tolerated after that
)

// checkDrainStore checks the rule DRAIN store: an endpoint gets no new requests once Bounds.Drain
// has passed since the store acknowledged that it is leaving.
func checkDrainStore(x *index) (out []Violation) {
	leavingSince := make(map[string]time.Time)
	for _, l := range x.Leavings {
		if _, known := leavingSince[l.Endpoint]; !known && !x.disrupted("", l.AckedAt, l.AckedAt) {
			leavingSince[l.Endpoint] = l.AckedAt
		}
	}
	for _, r := range x.ordered {
		at, leaving := leavingSince[r.Endpoint]
		sender := x.sender(r)
		if leaving && r.At.Sub(at) > x.Bounds.Drain && x.inTouch(sender, at, r.At) && !x.maybeDelayed(r) {
			out = append(out, Violation{"DRAIN store", r.At, fmt.Sprintf("%s reached %s from %s, %s after its leaving was acknowledged", r.Request, r.Endpoint, sender, r.At.Sub(at))})
		}
	}
	return out
}

// endpointInstance identifies an endpoint together with an instance that sends to it.
type endpointInstance struct{ endpoint, instance string }

// checkDrainResponse checks the rule DRAIN answer: an instance sends an endpoint no new requests
// once Bounds.Drain has passed since the endpoint announced to it in a response that it is leaving.
func checkDrainResponse(x *index) (out []Violation) {
	announcedAt := make(map[endpointInstance]time.Time)
	for _, s := range x.Announcements {
		p := endpointInstance{s.Endpoint, s.Instance}
		if _, known := announcedAt[p]; s.Leaving && !known {
			announcedAt[p] = s.At
		}
	}
	for _, r := range x.ordered {
		sender := x.sender(r)
		at, leaving := announcedAt[endpointInstance{r.Endpoint, sender}]
		if leaving && r.At.Sub(at) > x.Bounds.Drain && !x.disrupted(sender, at, r.At) && !x.maybeDelayed(r) {
			out = append(out, Violation{"DRAIN answer", r.At, fmt.Sprintf("%s reached %s from %s, %s after the response that announced its leaving", r.Request, r.Endpoint, sender, r.At.Sub(at))})
		}
	}
	return out
}

// checkBudgetRest checks the rule BUDGET rest: an instance that an endpoint asked to pause sends it
// no requests until the end of the pause.
func checkBudgetRest(x *index) (out []Violation) {
	for _, s := range x.Announcements {
		if s.BackoffUntil.IsZero() {
			continue
		}
		n := 0
		for _, r := range x.ordered {
			if r.Endpoint != s.Endpoint || !r.At.After(s.At.Add(pauseNotice)) || !r.At.Before(s.BackoffUntil) {
				continue
			}
			if sender := x.sender(r); sender != s.Instance || x.disrupted(sender, s.At, r.At) || x.maybeDelayed(r) {
				continue
			}
			if n++; n > pauseAllowance {
				out = append(out, Violation{"BUDGET rest", r.At, fmt.Sprintf("%s received request number %d from %s during the pause that it asked for, until %s", s.Endpoint, n, s.Instance, s.BackoffUntil.Format("15:04:05.000"))})
				break
			}
		}
	}
	return out
}

// requestContent identifies requests with the same URI, account and body, whatever their ids.
type requestContent struct {
	uri, account string
	body         uint64
}

// checkBudgetDeadly checks the rule BUDGET deadly: a request during which three endpoints crashed is
// not sent to any more endpoints.
func checkBudgetDeadly(x *index) []Violation {
	return checkCrashes(x, "BUDGET deadly", crashLimit, func(r *Arrival) (requestContent, bool) {
		return requestContent{r.URI, r.Account, r.BodySum}, r.DeadlyPart == ""
	})
}

// checkBudgetPart checks the rule BUDGET part: requests with a part of their prompt under which five endpoints
// crashed are not sent to any more endpoints.
func checkBudgetPart(x *index) []Violation {
	return checkCrashes(x, "BUDGET part", partCrashLimit, func(r *Arrival) (part string, ok bool) {
		return r.DeadlyPart, r.DeadlyPart != ""
	})
}

// checkCrashes checks that arrivals with the same content are not sent to endpoints after a number of endpoints
// crashed under them, later than updates take. content returns false for arrivals that do not count.
func checkCrashes[C comparable](x *index, rule string, limit int, content func(r *Arrival) (C, bool)) (out []Violation) {
	crashes, after, limitAt := make(map[C]int), make(map[C]int), make(map[C]time.Time)
	for _, r := range x.ordered {
		c, ok := content(r)
		if !ok {
			continue
		}
		if at, blocked := limitAt[c]; blocked && r.At.Sub(at) > x.Bounds.Contact && x.inTouch(x.sender(r), at, r.At) {
			if after[c]++; after[c] == fatalAllowance+1 {
				out = append(out, Violation{rule, r.At, fmt.Sprintf("%s %s (%v) was sent more than %d times after %d endpoints had crashed while running it", r.Method, r.URI, c, fatalAllowance, limit)})
			}
		}
		if r.Crashed {
			if crashes[c]++; crashes[c] == limit {
				limitAt[c] = r.EndedAt
			}
		}
	}
	return out
}

// checkRateLimit checks the rule LIMIT with RateLimits.
func checkRateLimit(x *index) []Violation {
	c := NewRateLimits(x.Bounds.Contact)
	for _, l := range x.RateChanges {
		if l.Limited {
			c.Announced(l.Endpoint, l.Rate, l.At)
		} else {
			c.Removed(l.Endpoint, l.At)
		}
	}
	for _, s := range x.Announcements {
		if s.RateLimit {
			c.Forwarded(s.Endpoint, s.Instance, s.At)
		}
	}
	for _, d := range x.Disruptions {
		if d.Instance != "" {
			c.Exempt(d.Instance, d.From, d.To.Add(x.Bounds.Contact))
		}
	}
	for _, r := range x.ordered {
		if x.maybeDelayed(r) {
			continue
		}
		c.Received(r.Endpoint, x.sender(r), r.At)
	}
	return c.Violations()
}
