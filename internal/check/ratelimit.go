package check

import (
	"fmt"
	"slices"
	"time"
)

// Tolerances of the rule LIMIT.
const (
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5                      // requests
	rateNotice = 500 * time.Millisecond // from a response with a limit until the limit binds the instance that forwarded the response
)

// RateLimits checks the rule LIMIT: from a contact time after an endpoint first announced a rate
// limit, the instances that have forwarded a response with the limit together send the endpoint no
// more requests than it allows.
type RateLimits struct {
	contact    time.Duration
	endpoints  map[string]*rateHistory
	exemptions map[string][]span // by instance
}

// rateHistory is the history of one endpoint: its limits and the requests that it received.
type rateHistory struct {
	limits      []rateChange // in time order
	requests    []arrival    // in time order
	forwardedAt map[string][]time.Time
}

// rateChange is the announcement of a limit, or its removal if limited is false.
type rateChange struct {
	at      time.Time
	limited bool
	rate    float64 // requests per second
}

// arrival is a request from an instance.
type arrival struct {
	instance string
	at       time.Time
}

// NewRateLimits returns a checker that enforces a limit from contact after it was first announced.
func NewRateLimits(contact time.Duration) *RateLimits {
	return &RateLimits{contact: contact, endpoints: make(map[string]*rateHistory), exemptions: make(map[string][]span)}
}

// endpoint returns the history of an endpoint, which it creates if necessary.
func (c *RateLimits) endpoint(id string) *rateHistory {
	h := c.endpoints[id]
	if h == nil {
		h = &rateHistory{forwardedAt: make(map[string][]time.Time)}
		c.endpoints[id] = h
	}
	return h
}

// Announced records that an endpoint announces a limit, in requests per second, from at on.
func (c *RateLimits) Announced(endpoint string, rate float64, at time.Time) {
	h := c.endpoint(endpoint)
	h.limits = append(h.limits, rateChange{at, true, rate})
}

// Removed records that an endpoint announces no limit from at on, or that it restarted.
func (c *RateLimits) Removed(endpoint string, at time.Time) {
	h := c.endpoint(endpoint)
	h.limits = append(h.limits, rateChange{at: at})
}

// Forwarded records that an instance forwarded a response with the endpoint's limit.
func (c *RateLimits) Forwarded(endpoint, instance string, at time.Time) {
	h := c.endpoint(endpoint)
	h.forwardedAt[instance] = append(h.forwardedAt[instance], at)
}

// Received records that an endpoint received a request from an instance.
func (c *RateLimits) Received(endpoint, instance string, at time.Time) {
	h := c.endpoint(endpoint)
	h.requests = append(h.requests, arrival{instance, at})
}

// Exempt records that an instance was restarted, paused or partitioned during an interval, which
// exempts the requests that it sent then.
func (c *RateLimits) Exempt(instance string, from, to time.Time) {
	c.exemptions[instance] = append(c.exemptions[instance], span{from, to})
}

// Violations returns the first violation at each endpoint, in time order.
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

// check returns the first violation at an endpoint, if there is one.
func (c *RateLimits) check(id string, h *rateHistory) (Violation, bool) {
	var counted []time.Time
	for _, r := range h.requests {
		period, limited := h.periodAt(r.at)
		if !limited || !c.binding(h, r, period) {
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
			return Violation{"LIMIT", r.at, fmt.Sprintf("%s announced a limit of %v per second and received %d requests in %s; allowed %d", id, rate, len(counted), rateWindow, int(allowed))}, true
		}
	}
	return Violation{}, false
}

// periodAt returns whether the endpoint announces a limit at a time, and since when it has done so
// without interruption.
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

// highest returns the highest rate that was in force at any time between from and to.
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

// binding reports whether a limit announced since the given time binds the instance that sent a
// request: it has forwarded the limit early enough before and is not exempt.
func (c *RateLimits) binding(h *rateHistory, r arrival, since time.Time) bool {
	for _, s := range c.exemptions[r.instance] {
		if s.contains(r.at) {
			return false
		}
	}
	for _, at := range h.forwardedAt[r.instance] {
		if !at.Before(since) && !at.After(r.at.Add(-rateNotice)) {
			return true
		}
	}
	return false
}
