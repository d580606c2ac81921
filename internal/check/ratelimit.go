package check

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the rule LIMIT.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5                      // requests
	rateNotice = 500 * time.Millisecond // from an answer that names a limit until it binds the instance that passed it on
)

// RateLimits checks the rule LIMIT: from some time after an endpoint first named a rate limit,
// the instances that had passed on such an answer send it no more than the limit allows.
type RateLimits struct {
	contact   time.Duration
	endpoints map[string]*rateHistory
	excused   map[string][]span // by instance
}

// rateHistory is what happened at one endpoint.
type rateHistory struct {
	limits   []rateChange // in the order of time
	requests []arrival    // in the order of time
	passed   map[string][]time.Time
}

type rateChange struct {
	at      time.Time
	limited bool
	rate    float64 // requests a second
}

type arrival struct {
	instance string
	at       time.Time
}

// NewRateLimits returns a checker for which a limit binds a time after it was first named.
func NewRateLimits(contact time.Duration) *RateLimits {
	return &RateLimits{contact: contact, endpoints: make(map[string]*rateHistory), excused: make(map[string][]span)}
}

func (c *RateLimits) endpoint(id string) *rateHistory {
	h := c.endpoints[id]
	if h == nil {
		h = &rateHistory{passed: make(map[string][]time.Time)}
		c.endpoints[id] = h
	}
	return h
}

// Named records that an endpoint names a limit from now on.
func (c *RateLimits) Named(endpoint string, rate float64, at time.Time) {
	h := c.endpoint(endpoint)
	h.limits = append(h.limits, rateChange{at, true, rate})
}

// Lifted records that an endpoint names no limit from now on, or started again.
func (c *RateLimits) Lifted(endpoint string, at time.Time) {
	h := c.endpoint(endpoint)
	h.limits = append(h.limits, rateChange{at: at})
}

// Passed records that an instance got an answer that names the endpoint's limit.
func (c *RateLimits) Passed(endpoint, instance string, at time.Time) {
	h := c.endpoint(endpoint)
	h.passed[instance] = append(h.passed[instance], at)
}

// Arrived records a request that an instance sent to an endpoint.
func (c *RateLimits) Arrived(endpoint, instance string, at time.Time) {
	h := c.endpoint(endpoint)
	h.requests = append(h.requests, arrival{instance, at})
}

// Excuse records that an instance was restarted, frozen or cut off.
func (c *RateLimits) Excuse(instance string, from, to time.Time) {
	c.excused[instance] = append(c.excused[instance], span{from, to})
}

// Violations returns the first violation of each endpoint.
func (c *RateLimits) Violations() []Violation {
	var out []Violation
	for id, h := range c.endpoints {
		if v, ok := c.check(id, h); ok {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, byTime)
	return out
}

func (c *RateLimits) check(id string, h *rateHistory) (Violation, bool) {
	var counted []time.Time
	for _, r := range h.requests {
		period, limited := h.periodAt(r.at)
		if !limited || !c.bound(h, r, period) {
			continue
		}
		counted = append(counted, r.at)
		for !counted[0].After(r.at.Add(-rateWindow)) {
			counted = counted[1:]
		}
		if r.at.Before(period.Add(c.contact)) {
			continue
		}
		rate := h.highest(r.at.Add(-rateWindow), r.at)
		allowed := rateFactor*rate*rateWindow.Seconds() + rateSlack
		if float64(len(counted)) > allowed {
			return Violation{"LIMIT", r.at, fmt.Sprintf("%s named a limit of %v a second and got %d requests in %s; allowed %d", id, rate, len(counted), rateWindow, int(allowed))}, true
		}
	}
	return Violation{}, false
}

// periodAt returns since when the endpoint has named limits without a pause, if it does.
func (h *rateHistory) periodAt(at time.Time) (since time.Time, limited bool) {
	for _, l := range h.limits {
		if l.at.After(at) {
			break
		}
		if l.limited && !limited {
			since = l.at
		}
		limited = l.limited
	}
	return since, limited
}

// highest returns the highest rate that was named within a time, or in force at its start.
func (h *rateHistory) highest(from, to time.Time) float64 {
	rate := 0.0
	for i, l := range h.limits {
		if l.at.After(to) {
			break
		}
		replaced := i+1 < len(h.limits) && !h.limits[i+1].at.After(from)
		if l.limited && !replaced {
			rate = max(rate, l.rate)
		}
	}
	return rate
}

// bound reports whether a limit named since a time binds the instance that sent a request.
func (c *RateLimits) bound(h *rateHistory, r arrival, since time.Time) bool {
	for _, s := range c.excused[r.instance] {
		if s.contains(r.at) {
			return false
		}
	}
	for _, at := range h.passed[r.instance] {
		if !at.Before(since) && !at.After(r.at.Add(-rateNotice)) {
			return true
		}
	}
	return false
}
