// Package loadreport keeps what endpoints report about their load in their answers.
//
// Table is safe for concurrent use; the package reads no clock.
package loadreport

import (
	"math"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Report is what an endpoint stated about its load in one answer.
type Report struct {
	Running  int // requests
	Waiting  int // requests that wait for a slot
	Slots    int
	Slowdown float64 // ratio of the time that work takes to the usual; 0 if the endpoint did not state it
}

// State is what is known of an endpoint's load at a moment. Its Slowdown has decayed towards 1 since
// the report; the other values are as reported.
type State struct {
	Report
	Known bool          // whether the endpoint has reported its load
	Age   time.Duration // since the answer with the report arrived
}

// Table holds the latest report of each endpoint. Reports are kept by endpoint ID, which differs
// between incarnations of an endpoint.
type Table struct {
	mu       sync.RWMutex
	latest   map[string]*entry        // by endpoint ID; guarded by mu
	services map[string]*serviceState // by name; guarded by mu
}

type entry struct {
	Report
	service *serviceState
	name    string // of the service
	at      time.Time
}

// serviceState is what is known of the reports of a service's endpoints.
type serviceState struct {
	slowdownAt time.Time // of the newest report with a slowdown
	halfLife   float64   // nanoseconds
}

// New returns an empty table.
func New() *Table {
	return &Table{latest: make(map[string]*entry), services: make(map[string]*serviceState)}
}

// Observe records a report that arrived at a time. A report that is older than the latest one of the
// endpoint is ignored.
func (t *Table) Observe(endpoint *registry.Endpoint, r Report, at time.Time) {
	r.Running, r.Waiting, r.Slots = min(r.Running, maxRequests), min(r.Waiting, maxRequests), min(r.Slots, maxRequests)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[endpoint.Service]
	if s == nil {
		s = &serviceState{halfLife: float64(initialHalfLife)}
		t.services[endpoint.Service] = s
	}
	e := t.latest[endpoint.ID]
	switch {
	case e == nil:
		e = &entry{}
		t.latest[endpoint.ID] = e
	case at.Before(e.at):
		return
	case e.Slowdown > 0 && r.Slowdown > 0:
		s.compare(e.Slowdown, r.Slowdown, at.Sub(e.at))
	}
	*e = entry{r, s, endpoint.Service, at}
	if r.Slowdown > 0 && at.After(s.slowdownAt) {
		s.slowdownAt = at
	}
}

// maxRequests bounds the numbers of a report, so that sums and times computed from them do not overflow.
const maxRequests = 1 << 20

// Parameters of the decay of a reported slowdown.
const (
	// A disturbance of 600 ms that is observed at a random moment lasts for another 300 ms on average.
	initialHalfLife = 300 * time.Millisecond
	// Reports reach a hub after some 10 ms. With a shorter half-life they would have no effect.
	minHalfLife = 100 * time.Millisecond
	// An endpoint that gets few requests, because it reported a large slowdown, must get requests again
	// soon enough to show that it has recovered.
	maxHalfLife = 2 * time.Second
	// halfLifeStep is the largest relative change of the half-life by one pair of reports. Smaller steps
	// need more pairs to adapt; larger ones make the half-life vary by more than a tenth by chance.
	halfLifeStep = 0.02
	// Pairs that begin with a smaller deviation from 1 don't count: it may be rounding.
	minDeviation = 0.1
)

// compare adapts the half-life to two successive reports of an endpoint. The part of the deviation
// from 1 that was lost between them is compared with the part that the half-life predicts; the
// half-life at which both are equal on average is found by stochastic approximation. All endpoints of
// a service contribute, since an instance of a large fleet sees few reports of a single one.
func (s *serviceState) compare(before, after float64, interval time.Duration) {
	deviation := before - 1
	if math.Abs(deviation) < minDeviation {
		return
	}
	lost := min(max((before-after)/deviation, -1), 1)
	predicted := 1 - math.Exp2(-float64(interval)/s.halfLife)
	s.halfLife *= math.Exp(halfLifeStep * (predicted - lost))
	s.halfLife = min(max(s.halfLife, float64(minHalfLife)), float64(maxHalfLife))
}

// State returns what is known of an endpoint now.
func (t *Table) State(endpoint string, now time.Time) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.latest[endpoint]
	if e == nil {
		return State{}
	}
	state := State{Report: e.Report, Known: true, Age: max(0, now.Sub(e.at))}
	if e.Slowdown > 0 && e.Slowdown != 1 {
		state.Slowdown = 1 + (e.Slowdown-1)*math.Exp2(-float64(state.Age)/e.service.halfLife)
	}
	return state
}

// Latest returns the latest report of an endpoint as it was stated, and when it arrived. The last
// result is false if there is none.
func (t *Table) Latest(endpoint string) (Report, time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.latest[endpoint]
	if e == nil {
		return Report{}, time.Time{}, false
	}
	return e.Report, e.at, true
}

// reportingFor is how long after its endpoints' last report with a slowdown a service counts as
// one whose endpoints report it.
const reportingFor = 10 * time.Second

// Reporting reports whether endpoints of a service report their slowdown.
func (t *Table) Reporting(service string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := t.services[service]
	return s != nil && !s.slowdownAt.IsZero() && now.Sub(s.slowdownAt) <= reportingFor
}

// Forget drops the reports of endpoints that are gone, and the state of services without endpoints.
func (t *Table) Forget(wanted func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	used := make(map[string]bool, len(t.services))
	for id, e := range t.latest {
		if wanted(id) {
			used[e.name] = true
		} else {
			delete(t.latest, id)
		}
	}
	for name := range t.services {
		if !used[name] {
			delete(t.services, name)
		}
	}
}
