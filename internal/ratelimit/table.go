// Package ratelimit keeps requests within the rate limits that endpoints state in their answers.
//
// A limit applies to all instances together. The time of day is divided into slots, and each slot
// has as many grants as the limit allows requests. Rendezvous hashing over the live instances
// decides which instance holds a grant, so that instances divide a limit without a message for
// each request. While instances disagree on the members or the time of day, some grants are held
// twice or not at all.
package ratelimit

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNoGrant is returned while this instance holds no grant for an endpoint with a rate limit.
var ErrNoGrant = errors.New("this instance has no grant left under the rate limit of the endpoint")

// Options configure a Table.
type Options struct {
	Self      string                          // name of this instance
	Instances func() []string                 // names of the live instances, in any order; Self may be missing. nil for Self alone
	TimeOfDay func(now time.Time) time.Time   // time of day, roughly the same at all instances; nil to use now itself
	OnChange  func(endpoint string, c Change) // called for each change of a limit, without locks held; may be nil
}

// Change is a change of the limit in force for an endpoint.
type Change struct {
	From, To Limit
	Local    bool // observed in an answer to this instance, not reported by another one
}

// Table holds the limits of endpoints, by the ids of their incarnations. It is safe for concurrent
// use.
type Table struct {
	options      Options
	limitedCount atomic.Int64 // endpoints with a limit in force

	mu      sync.Mutex
	entries map[string]*entry // guarded by mu
}

// entry is the state of one endpoint. One whose limit was lifted is kept for liftedRetention, so
// that an older report from another instance does not put the limit in force again.
type entry struct {
	limit  Limit     // never Unknown
	asOf   time.Time // when the limit was known to be in force
	own    bool      // observed in an answer to this instance
	grants grants
}

// liftedRetention is how long a lifted limit is remembered and reported.
const liftedRetention = 10 * time.Second

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

// Observe applies the limit that an answer states for its endpoint. sent and read are the times at
// which the request was sent and the answer was read.
func (t *Table) Observe(endpoint string, stated Limit, sent, read time.Time) {
	if stated.Kind == Unknown || stated.Kind == Unlimited && !t.HasLimits() {
		return
	}
	t.notifyChange(endpoint, t.observe(endpoint, stated, sent, read))
}

// observe implements Observe for a limit that is not Unknown. A looser limit is dated back to when
// the request was sent: its answer may be older than one with a stricter limit that overtook it.
func (t *Table) observe(endpoint string, stated Limit, sent, read time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil {
		e = &entry{}
	}
	asOf, looser := read, stated.looserThan(e.limit)
	if looser {
		asOf = sent
	}
	if stated.Kind == Unlimited && !looser || asOf.Before(e.asOf) || looser && asOf.Equal(e.asOf) {
		return Change{}
	}
	c := Change{From: e.limit, To: stated, Local: true}
	e.own = true
	t.entries[endpoint] = e
	t.setLimit(e, stated, asOf, read)
	return c
}

// setLimit puts a limit in force. If it is stricter than the previous one, grants that were made
// under that are discarded. t.mu must be held.
func (t *Table) setLimit(e *entry, l Limit, asOf, now time.Time) {
	if e.limit.looserThan(l) {
		e.grants = emptyGrants(slotAt(t.options.TimeOfDay(now)))
	}
	if e.limit.Kind != l.Kind {
		if l.Kind == Limited {
			t.limitedCount.Add(1)
		} else {
			t.limitedCount.Add(-1)
		}
	}
	e.limit, e.asOf = l, asOf
}

// notifyChange calls Options.OnChange if the limit changed.
func (t *Table) notifyChange(endpoint string, c Change) {
	if c.From != c.To && t.options.OnChange != nil {
		t.options.OnChange(endpoint, c)
	}
}

// HasLimits reports whether any endpoint has a limit.
func (t *Table) HasLimits() bool { return t.limitedCount.Load() > 0 }

// Exhausted returns the endpoints with a limit for which this instance holds no grant now. It
// returns nil while no endpoint has a limit.
func (t *Table) Exhausted(now time.Time) map[string]bool {
	if !t.HasLimits() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]bool)
	for id, e := range t.entries {
		if e.limit.Kind == Limited && !t.refillGrants(id, e, now).available() {
			out[id] = true
		}
	}
	return out
}

// Allows reports whether this instance may send a request to an endpoint now.
func (t *Table) Allows(endpoint string, now time.Time) bool {
	if !t.HasLimits() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	return e == nil || e.limit.Kind != Limited || t.refillGrants(endpoint, e, now).available()
}

// Take uses a grant for a request that is sent now. It returns ErrNoGrant if the endpoint has a
// limit and this instance holds no grant for it.
func (t *Table) Take(endpoint string, now time.Time) error {
	if !t.HasLimits() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[endpoint]
	if e == nil || e.limit.Kind != Limited {
		return nil
	}
	if !t.refillGrants(endpoint, e, now).take() {
		return ErrNoGrant
	}
	return nil
}

// refillGrants adds the grants of the slots that have begun since the last call. t.mu must be held.
func (t *Table) refillGrants(endpoint string, e *entry, now time.Time) *grants {
	current := slotAt(t.options.TimeOfDay(now))
	if current == e.grants.slot {
		return &e.grants
	}
	names := t.options.Instances()
	e.grants.advance(current, func(slot int64) int {
		return GrantsOf(Slot{Endpoint: endpoint, Rate: e.limit.Rate, Index: slot}, t.options.Self, names)
	})
	return &e.grants
}

// maxNextWait bounds how far ahead NextAllowed looks.
const maxNextWait = 2 * time.Second

// NextAllowed returns when this instance may next send a request to an endpoint, at most
// maxNextWait from now.
func (t *Table) NextAllowed(endpoint string, now time.Time) time.Time {
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
		if in >= maxNextWait || GrantsOf(Slot{Endpoint: endpoint, Rate: e.limit.Rate, Index: slot}, t.options.Self, names) > 0 {
			return now.Add(min(in, maxNextWait))
		}
	}
}

// Expire removes limits that were lifted more than liftedRetention ago, and endpoints for which
// listed returns false.
func (t *Table) Expire(listed func(endpoint string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if listed(id) && (e.limit.Kind == Limited || now.Sub(e.asOf) < liftedRetention) {
			continue
		}
		t.setLimit(e, Limit{}, e.asOf, now)
		delete(t.entries, id)
	}
}

// Report is what one instance reports to others about the limit of an endpoint.
type Report struct {
	Endpoint string
	Limit    Limit         // never Unknown
	Age      time.Duration // since the limit was known to be in force
}

// maxReports bounds the reports in one message.
const maxReports = 64

// Reports returns the newest maxReports limits that this instance observed itself, newest first.
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

// Newest returns the newest report on each endpoint, at most maxReports of them, newest first. It
// sorts reports in place.
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

// Apply applies the reports of another instance. The newest observation of an endpoint takes effect.
func (t *Table) Apply(reports []Report, now time.Time) {
	for _, r := range reports {
		if r.Limit.Kind != Unknown && r.Age >= 0 {
			t.notifyChange(r.Endpoint, t.apply(r, now))
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
	if r.Limit.Kind == Unlimited && e.limit.Kind == Unlimited || !asOf.After(e.asOf) {
		return Change{}
	}
	c := Change{From: e.limit, To: r.Limit}
	e.own = e.own && c.From == c.To
	t.entries[r.Endpoint] = e
	t.setLimit(e, r.Limit, asOf, now)
	return c
}
