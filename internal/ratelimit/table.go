// Package ratelimit keeps requests within the rate limits that endpoints name.
//
// A limit holds for all instances together. Time of day is cut into slots, and each slot
// has as many grants as the limit bears. Rendezvous hashing over the live instances decides
// who holds a grant, so that instances divide a limit without a message for each request.
// Instances that disagree for a moment on the members or the time of day hold a few
// grants twice or not at all.
//
// Table is safe for concurrent use.
package ratelimit

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNoGrant says that this instance holds no grant of an endpoint's rate limit now.
var ErrNoGrant = errors.New("the endpoint's rate limit has no grant for this instance now")

// Options configure a Table.
type Options struct {
	Self      string                          // name of this instance
	Instances func() []string                 // names of the live instances, in any order; Self may be missing. nil for Self alone
	TimeOfDay func(now time.Time) time.Time   // roughly the same at all instances; nil for the moment itself
	Changed   func(endpoint string, c Change) // called for each change of a limit, without locks held; may be nil
}

// Change is a change of the limit in force for an endpoint.
type Change struct {
	From, To Limit
	Own      bool // observed in an answer to this instance, not reported by another one
}

// Table holds the limits of endpoints, by the ids of their incarnations.
type Table struct {
	options Options
	named   atomic.Int64 // endpoints with a limit in force

	mu      sync.Mutex
	entries map[string]*entry // guarded by mu
}

// entry is what is known of one endpoint. One whose limit was lifted is kept for liftedFor, so
// that an older report from another instance does not put the limit in force again.
type entry struct {
	limit  Limit     // None or Named
	asOf   time.Time // the limit was in force then
	own    bool      // observed in an answer to this instance
	grants grants
}

// liftedFor is how long a lifted limit is remembered and reported.
const liftedFor = 10 * time.Second

// New returns a table without limits.
func New(o Options) *Table {
	if o.TimeOfDay == nil {
		o.TimeOfDay = func(now time.Time) time.Time { return now }
	}
	if o.Instances == nil {
		o.Instances = func() []string { return nil }
	}
	return &Table{options: o, entries: make(map[string]*entry)}
}

// Observe takes what an answer says about the limit of its endpoint, with the times at which
// the request was sent and the answer was read.
func (t *Table) Observe(endpoint string, said Limit, sent, read time.Time) {
	if said.Kind == Unknown || said.Kind == None && !t.Any() {
		return
	}
	t.changed(endpoint, t.observe(endpoint, said, sent, read))
}

// observe is Observe for a limit that is known. A looser limit is as old as the request: the
// answer may have been made before a stricter one that overtook it.
func (t *Table) observe(endpoint string, said Limit, sent, read time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil {
		e = &entry{}
	}
	asOf, looser := read, said.looserThan(e.limit)
	if looser {
		asOf = sent
	}
	if said.Kind == None && !looser || asOf.Before(e.asOf) || looser && asOf.Equal(e.asOf) {
		return Change{}
	}
	c := Change{From: e.limit, To: said, Own: true}
	e.own = true
	t.entries[endpoint] = e
	t.set(e, said, asOf, read)
	return c
}

// set puts a limit in force. Under a stricter one, grants of the limit before are void.
// t.mu is held.
func (t *Table) set(e *entry, l Limit, asOf, now time.Time) {
	if e.limit.looserThan(l) {
		e.grants = newGrants(slotAt(t.options.TimeOfDay(now)))
	}
	if e.limit.Kind != l.Kind {
		if l.Kind == Named {
			t.named.Add(1)
		} else {
			t.named.Add(-1)
		}
	}
	e.limit, e.asOf = l, asOf
}

// changed reports a change, if it is one.
func (t *Table) changed(endpoint string, c Change) {
	if c.From != c.To && t.options.Changed != nil {
		t.options.Changed(endpoint, c)
	}
}

// Any reports whether any endpoint has a limit.
func (t *Table) Any() bool { return t.named.Load() > 0 }

// Exhausted returns the endpoints that have a limit of which this instance holds no grant now;
// nil while no endpoint has a limit.
func (t *Table) Exhausted(now time.Time) map[string]bool {
	if !t.Any() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]bool)
	for id, e := range t.entries {
		if e.limit.Kind == Named && !t.fill(id, e, now).any() {
			out[id] = true
		}
	}
	return out
}

// Allows reports whether this instance may send a request to an endpoint now.
func (t *Table) Allows(endpoint string, now time.Time) bool {
	if !t.Any() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	return e == nil || e.limit.Kind != Named || t.fill(endpoint, e, now).any()
}

// Take uses a grant for a request that is sent now. It returns ErrNoGrant if the endpoint has
// a limit and this instance holds none.
func (t *Table) Take(endpoint string, now time.Time) error {
	if !t.Any() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil || e.limit.Kind != Named {
		return nil
	}
	if !t.fill(endpoint, e, now).take() {
		return ErrNoGrant
	}
	return nil
}

// fill adds the grants of the slots that have begun since the last call. t.mu is held.
func (t *Table) fill(endpoint string, e *entry, now time.Time) *grants {
	current := slotAt(t.options.TimeOfDay(now))
	if current == e.grants.slot {
		return &e.grants
	}
	names := t.options.Instances()
	e.grants.advance(current, func(slot int64) int {
		return Rendezvous(Slot{Endpoint: endpoint, Rate: e.limit.Rate, Index: slot}, t.options.Self, names)
	})
	return &e.grants
}

// nextMost bounds how far ahead Next looks.
const nextMost = 2 * time.Second

// Next returns when this instance may next send a request to an endpoint, at the most
// nextMost from now.
func (t *Table) Next(endpoint string, now time.Time) time.Time {
	if t.Allows(endpoint, now) {
		return now
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil {
		return now
	}
	wall := t.options.TimeOfDay(now)
	names := t.options.Instances()
	for slot := slotAt(wall) + 1; ; slot++ {
		in := slotStart(slot).Sub(wall)
		if in >= nextMost || Rendezvous(Slot{Endpoint: endpoint, Rate: e.limit.Rate, Index: slot}, t.options.Self, names) > 0 {
			return now.Add(min(in, nextMost))
		}
	}
}

// Expire drops lifted limits after a while, and endpoints that are gone.
func (t *Table) Expire(listed func(endpoint string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if listed(id) && (e.limit.Kind == Named || now.Sub(e.asOf) < liftedFor) {
			continue
		}
		t.set(e, Limit{}, e.asOf, now)
		delete(t.entries, id)
	}
}

// Report is what one instance reports to others about the limit of an endpoint.
type Report struct {
	Endpoint string
	Limit    Limit         // None or Named
	Age      time.Duration // since the limit was in force
}

// maxReports bounds the reports in one message.
const maxReports = 64

// Reports returns what this instance observed itself, the newest first.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for id, e := range t.entries {
		if e.own {
			out = append(out, Report{Endpoint: id, Limit: e.limit, Age: max(0, now.Sub(e.asOf))})
		}
	}
	return Newest(out)
}

// Newest returns the newest report on each endpoint, at the most as many as fit into a message.
func Newest(reports []Report) []Report {
	slices.SortStableFunc(reports, func(a, b Report) int { return int(a.Age - b.Age) })
	seen := make(map[string]bool, len(reports))
	var out []Report
	for _, r := range reports {
		if !seen[r.Endpoint] && len(out) < maxReports {
			seen[r.Endpoint] = true
			out = append(out, r)
		}
	}
	return out
}

// Apply takes the reports of another instance. The newest one on an endpoint holds.
func (t *Table) Apply(reports []Report, now time.Time) {
	for _, r := range reports {
		if r.Limit.Kind != Unknown && r.Age >= 0 {
			t.changed(r.Endpoint, t.apply(r, now))
		}
	}
}

func (t *Table) apply(r Report, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[r.Endpoint]
	if e == nil {
		e = &entry{}
	}
	asOf := now.Add(-r.Age)
	if r.Limit.Kind == None && e.limit.Kind == None || !asOf.After(e.asOf) {
		return Change{}
	}
	c := Change{From: e.limit, To: r.Limit}
	e.own = e.own && c.From == c.To
	t.entries[r.Endpoint] = e
	t.set(e, r.Limit, asOf, now)
	return c
}
