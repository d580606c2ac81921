// Package registry keeps what an instance knows of the servers: which there
// are, which are leaving, and which are gone.
//
// A server may start again under its id: each of its incarnations is a server of its own,
// known by the id and the time of its start (incarnation.go). Leaving, once said, is
// sticky for an incarnation. A Registry belongs to one goroutine and publishes immutable
// lists. The package is pure.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Endpoint is one incarnation of a server.
type Endpoint struct {
	ID        string         // of this incarnation, see IncarnationID
	Name      string         // id of the server over all its incarnations; empty where that is ID
	StartedAt time.Time      // start of this incarnation; zero where that is not known
	Revision  store.Revision // of its entry in the store; 0 when not known
	Service   string
	Addr      netip.AddrPort
	Hall      string
	Version   string // of its software; "" where that is not known
	Slots     int
	Leaving   bool
	Spot      bool      // may be reclaimed
	LeavesAt  time.Time // when a leaving server ends; zero when not known
	WarmAt    time.Time // until when it is slow after its start
}

// Change is what became of a server.
type Change int

// The changes.
const (
	None Change = iota
	Joined
	Left      // gets no new work any more
	Gone      // its entry is no more
	Absent    // its entry is no more, but the store was in trouble: used on for a while
	Restarted // it started again, and takes work
	Withheld  // its entry names no server to use, for now
)

// Times that the registry keeps to.
const (
	// absentShare is the part of the bound for servers that leave during which
	// one is used on whose entry went while the store was in trouble. Servers
	// write every second or so: one that lives is back by then.
	absentShare = 0.75
	// leftFor is how long an incarnation that left is remembered, and the newest one of a
	// server that has no entry any more.
	leftFor = 2 * time.Minute
)

type entry struct {
	endpoint Endpoint
	absent   time.Time // when to drop it; zero while its entry stands
	withheld bool      // the entry names no server to use
	earlier  *Endpoint // the earlier incarnation that the entry names; nil if it names none
	since    time.Time // when that was first seen
}

// parting is an incarnation that gets no new work any more.
type parting struct {
	name  string
	until time.Time // until when it is remembered
}

// Registry holds the servers by their ids over all incarnations.
type Registry struct {
	endpoints map[string]*entry
	newest    map[string]*incarnation // of each server, also for a while without an entry
	left      map[string]parting      // by id of the incarnation
	pending   map[string]bool         // servers whose entry may be absent, or name an earlier incarnation
	parted    map[string]bool         // servers that may have no entry any more, and are remembered
	listed    []Endpoint              // what List returns; nil when it has to be made anew
	bound     time.Duration           // within which a server that left is out of use
	hasStart  bool                    // some server said when it started: so do all
}

// New returns an empty registry. bound is the time within which a server that
// left has to be out of use.
func New(bound time.Duration) *Registry {
	return &Registry{bound: bound, endpoints: make(map[string]*entry), newest: make(map[string]*incarnation), left: make(map[string]parting), pending: make(map[string]bool), parted: make(map[string]bool)}
}

// Put takes a server's entry as written.
func (r *Registry) Put(s Endpoint, now time.Time) Change {
	name := s.StoreID()
	newest := r.newestOf(name)
	switch r.judge(newest, &s) {
	case late:
		return None
	case foreign:
		return r.Withhold(name, s.Revision, now)
	case earlier, revived:
		return r.doubt(name, s, now)
	}
	newest.started, newest.revision, newest.goneAt = s.StartedAt, s.Revision, 0
	r.listed = nil
	r.hasStart = r.hasStart || !s.StartedAt.IsZero()
	_, left := r.left[s.ID]
	if left {
		s.Leaving = true
	}
	if s.Leaving {
		r.left[s.ID] = parting{name, now.Add(leftFor)}
	}
	old := r.endpoints[name]
	if old == nil {
		r.endpoints[name] = &entry{endpoint: s}
		return changeOf(nil, &s, left)
	}
	change := changeOf(old, &s, left)
	*old = entry{endpoint: s}
	return change
}

// changeOf returns what became of a server whose entry is read. old is what was known of
// it, nil if it was not, and left says that this incarnation had left before.
func changeOf(old *entry, s *Endpoint, left bool) Change {
	again := old != nil && old.endpoint.ID != s.ID
	switch {
	case s.Leaving && !left && (old == nil || again || !old.endpoint.Leaving):
		return Left
	case s.Leaving:
		return None
	case again:
		return Restarted
	case old == nil || old.withheld:
		return Joined
	}
	return None
}

// Leave takes an incarnation's own word that it leaves, which may come long before the
// store's and without it.
func (r *Registry) Leave(id string, now time.Time) []Event {
	for name, e := range r.endpoints {
		if e.endpoint.ID != id || e.withheld {
			continue
		}
		r.left[id] = parting{name, now.Add(leftFor)}
		if e.endpoint.Leaving {
			return nil
		}
		e.endpoint.Leaving = true
		r.listed = nil
		return []Event{{Left, e.endpoint}}
	}
	return nil
}

// Remove takes note that a server's entry is gone as of a revision, 0 if that is not
// known. trouble says that the store is or just was not to be relied on.
func (r *Registry) Remove(name string, revision store.Revision, trouble bool, now time.Time) Change {
	e, ok := r.endpoints[name]
	if !ok {
		return None
	}
	newest := r.newestOf(name)
	if revision != 0 && revision < newest.revision {
		return None
	}
	newest.revision = max(revision, newest.revision)
	if trouble && !e.endpoint.Leaving && !e.withheld {
		if e.absent.IsZero() {
			e.absent = r.absentUntil(now)
			r.pending[name] = true
			return Absent
		}
		return None
	}
	r.drop(name, now)
	newest.goneAt = newest.revision
	return Gone
}

func (r *Registry) absentUntil(now time.Time) time.Time {
	return now.Add(time.Duration(absentShare * float64(r.bound)))
}

// drop forgets a server. One that never said that it leaves may come back: its
// entry lapsed while the store was down.
func (r *Registry) drop(name string, now time.Time) {
	if s := r.endpoints[name].endpoint; s.Leaving {
		r.left[s.ID] = parting{name, now.Add(leftFor)}
	}
	delete(r.endpoints, name)
	r.remember(name, now)
	r.listed = nil
}

// remember keeps the newest incarnation of a server that may have no entry any more.
func (r *Registry) remember(name string, now time.Time) {
	r.newestOf(name).until = now.Add(leftFor)
	r.parted[name] = true
}

// Replace takes a whole listing as of a revision, 0 if that is not known: servers that it
// lacks are gone. withheld are those whose entries name no server to use.
func (r *Registry) Replace(all []Endpoint, withheld []string, at store.Revision, trouble bool, now time.Time) (changed []Event) {
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		listed[s.StoreID()] = true
		if c := r.Put(s, now); c != None {
			changed = append(changed, Event{c, s})
		}
	}
	for _, name := range withheld {
		listed[name] = true
	}
	for name, e := range r.endpoints {
		if listed[name] {
			continue
		}
		s := e.endpoint
		if c := r.Remove(name, at, trouble, now); c != None {
			changed = append(changed, Event{c, s})
		}
	}
	return changed
}

// Event is a change of a server.
type Event struct {
	Change   Change
	Endpoint Endpoint
}

// Expire drops what has been absent for too long, and accepts what entries have named
// for long. While the store is down nothing is dropped: silence says nothing then. It runs ten
// times a second, and looks only at servers that something became of, since most of
// thousands are quiet.
func (r *Registry) Expire(storeDown bool, now time.Time) (changed []Event) {
	for name := range r.pending {
		e := r.endpoints[name]
		switch {
		case e == nil || e.earlier == nil && e.absent.IsZero():
			delete(r.pending, name)
		case e.earlier != nil && now.Sub(e.since) >= earlierStands:
			changed = append(changed, r.accept(name, *e.earlier, now))
		case e.absent.IsZero():
		case storeDown:
			e.absent = r.absentUntil(now)
		case now.After(e.absent):
			changed = append(changed, Event{Gone, e.endpoint})
			r.drop(name, now)
		}
	}
	r.forget(now)
	return changed
}

// forget drops what is remembered of servers that have no entry any more.
func (r *Registry) forget(now time.Time) {
	for id, p := range r.left {
		if e := r.endpoints[p.name]; (e == nil || e.endpoint.ID != id) && now.After(p.until) {
			delete(r.left, id)
		}
	}
	for name := range r.parted {
		newest := r.newest[name]
		switch {
		case newest == nil || r.endpoints[name] != nil:
			delete(r.parted, name)
		case now.After(newest.until):
			delete(r.newest, name)
			delete(r.parted, name)
		}
	}
}

// Find returns a server by its id over all incarnations, if it may be used.
func (r *Registry) Find(name string) (Endpoint, bool) {
	e, ok := r.endpoints[name]
	if !ok || e.withheld {
		return Endpoint{}, false
	}
	return e.endpoint, true
}

// List returns all servers that may be used, ordered by id. It is the same slice until
// something becomes of a server, and must not be changed.
func (r *Registry) List() []Endpoint {
	if r.listed != nil {
		return r.listed
	}
	out := make([]Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		if !e.withheld {
			out = append(out, e.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	r.listed = out
	return out
}
