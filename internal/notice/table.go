// Package notice keeps what endpoints say of themselves in their answers: that they leave,
// and until when they want no more requests from this instance.
//
// An answer is the first word, and often for seconds the only one, of an endpoint that
// leaves: while the store does not take its entry, nobody else reports it.
//
// Book is safe for concurrent use. Reading it takes no lock.
package notice

import (
	"errors"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Notice is what an endpoint says of itself in one answer. The zero value says nothing.
type Notice struct {
	Leaving bool          // it gets no new work
	RestFor time.Duration // from the answer on it wants nothing from this instance; 0 if it did not say
}

// standing is what an endpoint last said of itself.
type standing struct {
	leaving    time.Time // time of day when it last said that it leaves; zero if it did not
	restAsked  time.Time // time of day when it last asked for rest
	restUntil  time.Time
	observedAt time.Time // when it last said anything of itself
}

// leaves reports whether an incarnation said that it leaves. An answer does not tell which
// incarnation gave it, and one that started again may speak for seconds before its entry
// is read: what was observed since a start is that incarnation's word, or a later one's.
func (s *standing) leaves(started time.Time) bool {
	return !s.leaving.IsZero() && !s.leaving.Before(started)
}

// rests reports whether an incarnation wants no requests now.
func (s *standing) rests(started, now time.Time) bool {
	return now.Before(s.restUntil) && !s.restAsked.Before(started)
}

// keepFor is how long the word of an endpoint that is not listed is kept. One that leaves
// goes on for some seconds after its entry went, and the entry may lapse and be written
// again while the store is in trouble.
const keepFor = 10 * time.Minute

// Options are what a book is made of. Both may be nil.
type Options struct {
	// Told is called for each notice that says something new, with the end of the rest if
	// it asks for one.
	Changed func(endpoint registry.Endpoint, n Notice, until time.Time)
	// TimeOfDay returns the time of day at a moment, which the starts of endpoints are
	// compared with; nil for the moment itself.
	TimeOfDay func(now time.Time) time.Time
}

// Table holds what was observed, by the ids of endpoints over all their incarnations.
type Table struct {
	options Options

	mu        sync.Mutex                          // held to write
	standings atomic.Pointer[map[string]standing] // never changed, only replaced
}

// New returns an empty book.
func New(o Options) *Table {
	b := &Table{options: o}
	b.standings.Store(&map[string]standing{})
	return b
}

// Observe takes what an answer said that was read at a time. Leaving, once said, holds for
// good. A rest holds to the latest end that was asked for: an answer that was on the way
// meanwhile, and asks for less, does not take back what the one before asked.
func (b *Table) Observe(endpoint registry.Endpoint, n Notice, at time.Time) {
	if n == (Notice{}) {
		return
	}
	until := at.Add(n.RestFor)
	if b.note(endpoint, n, until, at) && b.options.Changed != nil {
		b.options.Changed(endpoint, n, until)
	}
}

// note writes a notice down and reports whether it says something new.
func (b *Table) note(endpoint registry.Endpoint, n Notice, until, at time.Time) (news bool) {
	wall := at
	if b.options.TimeOfDay != nil {
		wall = b.options.TimeOfDay(at)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.standings.Load()
	s := old[endpoint.StoreID()]
	s.observedAt = at
	if n.Leaving {
		news = !s.leaves(endpoint.StartedAt)
		s.leaving = wall
	}
	if n.RestFor > 0 {
		rested := s.rests(endpoint.StartedAt, at)
		news = news || !rested
		s.restAsked = wall
		if !rested || until.After(s.restUntil) {
			s.restUntil = until
		}
	}
	next := maps.Clone(old)
	next[endpoint.StoreID()] = s
	b.standings.Store(&next)
	return news
}

// Errors that say why an endpoint may not be sent a request.
var (
	ErrLeaving = errors.New("the endpoint said that it leaves")
	ErrResting = errors.New("the endpoint asked for rest")
)

// Allows returns nil if an endpoint may be sent a request, else why not.
func (b *Table) Allows(endpoint *registry.Endpoint, now time.Time) error {
	s := (*b.standings.Load())[endpoint.StoreID()]
	switch {
	case s.leaves(endpoint.StartedAt):
		return ErrLeaving
	case s.rests(endpoint.StartedAt, now):
		return ErrResting
	}
	return nil
}

// Leaves reports whether an endpoint said that it leaves.
func (b *Table) Leaves(endpoint *registry.Endpoint) bool {
	s := (*b.standings.Load())[endpoint.StoreID()]
	return s.leaves(endpoint.StartedAt)
}

// Closed returns the ids of those endpoints that may not be sent requests, and when the
// first of them takes requests again, zero if none does. It takes no time while no endpoint
// has said anything.
func (b *Table) Closed(endpoints []registry.Endpoint, now time.Time) (ids []string, opensAt time.Time) {
	standings := *b.standings.Load()
	if len(standings) == 0 {
		return nil, time.Time{}
	}
	for i := range endpoints {
		e := &endpoints[i]
		s, heard := standings[e.StoreID()]
		if !heard {
			continue
		}
		leaves, rests := s.leaves(e.StartedAt), s.rests(e.StartedAt, now)
		if leaves || rests {
			ids = append(ids, e.ID)
		}
		if !leaves && rests && (opensAt.IsZero() || s.restUntil.Before(opensAt)) {
			opensAt = s.restUntil
		}
	}
	return ids, opensAt
}

// Open returns those endpoints that may be sent requests: the list itself while no
// endpoint has said anything.
func (b *Table) Open(endpoints []registry.Endpoint, now time.Time) []registry.Endpoint {
	if len(*b.standings.Load()) == 0 {
		return endpoints
	}
	open := make([]registry.Endpoint, 0, len(endpoints))
	for i := range endpoints {
		if b.Allows(&endpoints[i], now) == nil {
			open = append(open, endpoints[i])
		}
	}
	return open
}

// Forget drops what no longer holds: rests that are over, and the word of endpoints that
// are not listed, by their ids over all incarnations, and were not seen for long.
func (b *Table) Forget(listed func(endpoint string) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.standings.Load()
	if len(old) == 0 {
		return
	}
	next := make(map[string]standing, len(old))
	for id, s := range old {
		leaves := !s.leaving.IsZero() && (listed(id) || now.Sub(s.observedAt) < keepFor)
		if leaves || now.Before(s.restUntil) {
			next[id] = s
		}
	}
	b.standings.Store(&next)
}
