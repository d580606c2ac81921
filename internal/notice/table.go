// Package notice keeps what endpoints announce in their answers: that they are leaving, and until
// when they want no more requests from this instance.
//
// An answer is the first indication that an endpoint is leaving, and while the store does not accept
// writes it is the only one for seconds.
package notice

import (
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Notice is what an endpoint announces in one answer. The zero value is no announcement.
type Notice struct {
	Leaving bool          // it is leaving and must get no new requests
	Backoff time.Duration // time from the answer on in which it wants no requests from this instance; 0 if none
}

// endpointState holds the latest notices of an endpoint.
type endpointState struct {
	leavingAt          time.Time // time of day of its last notice that it leaves; zero if there was none
	backoffRequestedAt time.Time // time of day of its last notice that requests a backoff
	backoffUntil       time.Time
	observedAt         time.Time // time of its last notice
}

// leaves reports whether the incarnation that started at the given time of day announced that it
// leaves. An answer does not identify the incarnation that gave it, and a restarted endpoint may
// answer for seconds before its entry is read: a notice counts for every incarnation that started
// before it was observed.
func (s *endpointState) leaves(started time.Time) bool {
	return !s.leavingAt.IsZero() && !s.leavingAt.Before(started)
}

// inBackoff reports whether the incarnation that started at the given time of day wants no requests
// now.
func (s *endpointState) inBackoff(started, now time.Time) bool {
	return now.Before(s.backoffUntil) && !s.backoffRequestedAt.Before(started)
}

// unlistedRetention is how long notices of an endpoint that is not listed are kept. A leaving endpoint
// runs on for some seconds after its entry was removed, and while the store is unreliable an entry may
// expire and be written again.
const unlistedRetention = 10 * time.Minute

// Options configure a Table. Each field may be nil.
type Options struct {
	// OnChange is called without locks held for each notice that changes the state of an
	// endpoint. until is the end of the requested backoff.
	OnChange func(endpoint registry.Endpoint, n Notice, until time.Time)
	// TimeOfDay converts a time to the time of day, which is compared with the start times of
	// endpoints. If it is nil, the time itself is used.
	TimeOfDay func(now time.Time) time.Time
}

// Table holds the notices of endpoints, by the id that all incarnations of an endpoint share. It is
// safe for concurrent use, and reading it takes no lock.
type Table struct {
	options Options

	mu     sync.Mutex                               // held while writing
	states atomic.Pointer[map[string]endpointState] // the map is never modified, only replaced
}

// New returns an empty table.
func New(o Options) *Table {
	t := &Table{options: o}
	t.states.Store(&map[string]endpointState{})
	return t
}

// Observe applies the notice in an answer that was read at the given time. That an incarnation
// leaves is never taken back. A backoff lasts until the latest end that was requested: an answer that
// was in flight meanwhile and requests less does not shorten it.
func (t *Table) Observe(endpoint registry.Endpoint, n Notice, at time.Time) {
	if n == (Notice{}) {
		return
	}
	until := at.Add(n.Backoff)
	if t.record(endpoint, n, until, at) && t.options.OnChange != nil {
		t.options.OnChange(endpoint, n, until)
	}
}

// record stores a notice, and reports whether it changes the state of the endpoint.
func (t *Table) record(endpoint registry.Endpoint, n Notice, until, at time.Time) (changed bool) {
	wall := at
	if t.options.TimeOfDay != nil {
		wall = t.options.TimeOfDay(at)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.states.Load()
	s := old[endpoint.StoreID()]
	s.observedAt = at
	if n.Leaving {
		changed = !s.leaves(endpoint.StartedAt)
		s.leavingAt = wall
	}
	if n.Backoff > 0 {
		wasInBackoff := s.inBackoff(endpoint.StartedAt, at)
		changed = changed || !wasInBackoff
		s.backoffRequestedAt = wall
		if !wasInBackoff || until.After(s.backoffUntil) {
			s.backoffUntil = until
		}
	}
	next := maps.Clone(old)
	next[endpoint.StoreID()] = s
	t.states.Store(&next)
	return changed
}

// Errors that Allows returns.
var (
	ErrLeaving = errors.New("the endpoint announced that it is leaving")
	ErrBackoff = errors.New("the endpoint requested a backoff that has not ended")
)

// Allows returns nil if an endpoint may be sent a request, and otherwise ErrLeaving or ErrBackoff.
func (t *Table) Allows(endpoint *registry.Endpoint, now time.Time) error {
	s := (*t.states.Load())[endpoint.StoreID()]
	switch {
	case s.leaves(endpoint.StartedAt):
		return ErrLeaving
	case s.inBackoff(endpoint.StartedAt, now):
		return ErrBackoff
	}
	return nil
}

// Leaves reports whether an endpoint announced that it leaves.
func (t *Table) Leaves(endpoint *registry.Endpoint) bool {
	s := (*t.states.Load())[endpoint.StoreID()]
	return s.leaves(endpoint.StartedAt)
}

// Unavailable returns the ids of those endpoints that may not be sent requests now, and the time when
// the first of them accepts requests again, zero if there is none that will. It returns at once
// while there are no notices.
func (t *Table) Unavailable(endpoints []registry.Endpoint, now time.Time) (ids []string, availableAt time.Time) {
	states := *t.states.Load()
	if len(states) == 0 {
		return nil, time.Time{}
	}
	for i := range endpoints {
		e := &endpoints[i]
		s, ok := states[e.StoreID()]
		if !ok {
			continue
		}
		leaves, backsOff := s.leaves(e.StartedAt), s.inBackoff(e.StartedAt, now)
		if leaves || backsOff {
			ids = append(ids, e.ID)
		}
		if !leaves && backsOff && (availableAt.IsZero() || s.backoffUntil.Before(availableAt)) {
			availableAt = s.backoffUntil
		}
	}
	return ids, availableAt
}

// Available returns those endpoints that may be sent requests now. While there are no notices it
// returns the slice itself.
func (t *Table) Available(endpoints []registry.Endpoint, now time.Time) []registry.Endpoint {
	if len(*t.states.Load()) == 0 {
		return endpoints
	}
	available := make([]registry.Endpoint, 0, len(endpoints))
	for i := range endpoints {
		if t.Allows(&endpoints[i], now) == nil {
			available = append(available, endpoints[i])
		}
	}
	return available
}

// Expire removes backoffs that have ended, and notices of endpoints that are not listed and gave none
// for unlistedRetention. listed is called with the id that all incarnations of an endpoint share.
func (t *Table) Expire(listed func(endpoint string) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := *t.states.Load()
	if len(old) == 0 {
		return
	}
	next := make(map[string]endpointState, len(old))
	for id, s := range old {
		leaves := !s.leavingAt.IsZero() && (listed(id) || now.Sub(s.observedAt) < unlistedRetention)
		if leaves || now.Before(s.backoffUntil) {
			next[id] = s
		}
	}
	t.states.Store(&next)
}
