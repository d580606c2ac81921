package soak

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// recorder collects the events of a run for the checker. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	history check.History // guarded by mu
}

func (r *recorder) attempt(a check.Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Attempts = append(r.history.Attempts, a)
}

// arrival records a request that reached an endpoint, and returns its index for updateArrival.
func (r *recorder) arrival(a check.Arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Arrivals = append(r.history.Arrivals, a)
	return len(r.history.Arrivals) - 1
}

func (r *recorder) updateArrival(arrival int, f func(a *check.Arrival)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.history.Arrivals[arrival])
}

func (r *recorder) statement(s check.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Announcements = append(r.history.Announcements, s)
}

func (r *recorder) rateChange(c check.RateChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.RateChanges = append(r.history.RateChanges, c)
}

func (r *recorder) config(c check.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Configs = append(r.history.Configs, c)
}

func (r *recorder) leaving(endpoint string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Leavings = append(r.history.Leavings, check.Leaving{Endpoint: endpoint, AckedAt: at})
}

func (r *recorder) dutyCall(c check.DutyCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.DutyCalls = append(r.history.DutyCalls, c)
}

func (r *recorder) exit(instance, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Exits = append(r.history.Exits, check.Exit{Instance: instance, At: time.Now(), Text: text})
}

// beginDisruption records a disruption that starts now: of one instance, or of all if instance is
// empty. Calling end records its end.
func (r *recorder) beginDisruption(instance string, kind Kind, planned bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.history.Disruptions)
	now := time.Now()
	r.history.Disruptions = append(r.history.Disruptions, check.Disruption{Instance: instance, Kind: string(kind), Planned: planned, From: now, To: now.Add(time.Hour)})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Disruptions[n].To = time.Now()
	}
}

// lastDisruption returns the end of the disruption that ended last; zero if there was none.
func (r *recorder) lastDisruption() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, d := range r.history.Disruptions {
		if d.To.After(last) {
			last = d.To
		}
	}
	return last
}

// beginLinkFault records that a fault is active on the link to an endpoint from now on. Calling end
// records its end.
func (r *recorder) beginLinkFault(endpoint string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.history.LinkFaults)
	now := time.Now()
	r.history.LinkFaults = append(r.history.LinkFaults, check.LinkFault{Endpoint: endpoint, From: now, To: now.Add(time.Hour)})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.LinkFaults[n].To = time.Now()
	}
}

// beginPartition records that instances have no path to any endpoint from now on. Calling reset
// records that all their open connections have been reset, and end the end.
func (r *recorder) beginPartition(instances []string) (reset, end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.history.Partitions)
	now := time.Now()
	r.history.Partitions = append(r.history.Partitions, check.Partition{Instances: instances, From: now, To: now.Add(time.Hour)})
	set := func(f func(p *check.Partition)) func() {
		return func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			f(&r.history.Partitions[n])
		}
	}
	return set(func(p *check.Partition) { p.ResetBy = time.Now() }), set(func(p *check.Partition) { p.To = time.Now() })
}

// endpointStarted records that an endpoint serves from now on.
func (r *recorder) endpointStarted(endpoint, service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Endpoints = append(r.history.Endpoints, check.EndpointLife{Endpoint: endpoint, Service: service, Version: version, From: time.Now()})
}

// endpointEnds records that an endpoint leaves or has ended.
func (r *recorder) endpointEnds(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.history.Endpoints {
		if e := &r.history.Endpoints[i]; e.Endpoint == endpoint && e.To.IsZero() {
			e.To = time.Now()
		}
	}
}

// beginOverload records that the callers of a client account, or of all if it is empty, send more
// requests to a service than it can serve from now on. Calling end records the end.
func (r *recorder) beginOverload(service, account string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.history.Overloads)
	now := time.Now()
	r.history.Overloads = append(r.history.Overloads, check.Overload{Service: service, Account: account, From: now, To: now.Add(time.Hour)})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Overloads[n].To = time.Now()
	}
}

// refusedForCapacity records which requests an instance refused for lack of capacity.
func (r *recorder) refusedForCapacity(requests map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.history.Attempts {
		a := &r.history.Attempts[i]
		a.RefusedForCapacity = a.RefusedForCapacity || requests[a.ID]
	}
}

// finish returns the recorded history, with the bounds and accounts to check it against.
func (r *recorder) finish(bounds check.Bounds, accounts []check.Account) *check.History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Bounds, h.Accounts, h.EndedAt = bounds, accounts, time.Now()
	return &h
}
