// Package loadreport keeps what endpoints report about their load in their answers.
//
// Table is safe for concurrent use; the package reads no clock.
package loadreport

import (
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

// State is what is known of an endpoint's load at a moment.
type State struct {
	Report
	Known bool          // whether the endpoint has reported its load
	Age   time.Duration // since the answer with the report arrived
}

// Table holds the latest report of each endpoint.
type Table struct {
	mu     sync.Mutex
	latest map[string]entry // by endpoint ID; guarded by mu
}

type entry struct {
	Report
	service string
	at      time.Time
}

// New returns an empty table.
func New() *Table { return &Table{latest: make(map[string]entry)} }

// Observe records a report that arrived at a time.
func (t *Table) Observe(endpoint *registry.Endpoint, r Report, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.Before(t.latest[endpoint.ID].at) {
		return
	}
	t.latest[endpoint.ID] = entry{r, endpoint.Service, at}
}

// State returns what is known of an endpoint now.
func (t *Table) State(endpoint string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.latest[endpoint]
	if !known {
		return State{}
	}
	return State{Report: e.Report, Known: true, Age: now.Sub(e.at)}
}

// reportingFor is how long after its endpoints' last report with a slowdown a service counts as
// one whose endpoints report it.
const reportingFor = 10 * time.Second

// Reporting reports whether endpoints of a service report their slowdown.
func (t *Table) Reporting(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.latest {
		if e.service == service && e.Slowdown > 0 && now.Sub(e.at) <= reportingFor {
			return true
		}
	}
	return false
}

// Forget drops the reports of endpoints that are gone.
func (t *Table) Forget(wanted func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.latest {
		if !wanted(id) {
			delete(t.latest, id)
		}
	}
}
