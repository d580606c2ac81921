// Package registry keeps what a node believes about the servers: which there
// are, which are leaving, and which are gone.
//
// Leaving, once said, is sticky for a server's id. A Registry belongs to one goroutine and
// publishes immutable lists. The package is pure.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Server is one incarnation of a server.
type Server struct {
	ID       string
	Service  string
	Addr     netip.AddrPort
	Hall     string
	Version  string // of its software; "" where that is not told
	Slots    int
	Leaving  bool
	Spot     bool      // may be reclaimed
	LeavesAt time.Time // when a leaving server ends; zero when not known
	WarmAt   time.Time // until when it is slow after its start
}

// Change is what became of a server.
type Change int

// The changes.
const (
	None Change = iota
	Joined
	Left   // gets no new work any more
	Gone   // its entry is no more
	Absent // its entry is no more, but the store was in trouble: believed for a while
)

// Times that the registry keeps to.
const (
	// absentShare is the part of the bound for servers that leave during which
	// one is used on whose entry went while the store was in trouble. Servers
	// write every second or so: one that lives is back by then.
	absentShare = 0.75
	// leftFor is how long the id of a server that left is remembered.
	leftFor = 2 * time.Minute
)

type entry struct {
	server Server
	absent time.Time // when to drop it; zero while its entry stands
}

// Registry holds the servers by id.
type Registry struct {
	servers map[string]*entry
	left    map[string]time.Time // ids that get no new work, until when remembered
	bound   time.Duration        // within which a server that left is out of use
}

// New returns an empty registry. bound is the time within which a server that
// left has to be out of use.
func New(bound time.Duration) *Registry {
	return &Registry{bound: bound, servers: make(map[string]*entry), left: make(map[string]time.Time)}
}

// Put takes a server's entry as written.
func (r *Registry) Put(s Server, now time.Time) Change {
	_, left := r.left[s.ID]
	old, known := r.servers[s.ID]
	if left {
		s.Leaving = true
	}
	r.servers[s.ID] = &entry{server: s}
	if s.Leaving {
		r.left[s.ID] = now.Add(leftFor)
	}
	switch {
	case s.Leaving && (!known && !left || known && !old.server.Leaving):
		return Left
	case !known && !s.Leaving:
		return Joined
	}
	return None
}

// Remove takes note that a server's entry is gone. trouble says that the store
// is or just was not to be relied on.
func (r *Registry) Remove(id string, trouble bool, now time.Time) Change {
	e, ok := r.servers[id]
	if !ok {
		return None
	}
	if trouble && !e.server.Leaving {
		if e.absent.IsZero() {
			e.absent = r.absentUntil(now)
			return Absent
		}
		return None
	}
	r.drop(id, now)
	return Gone
}

func (r *Registry) absentUntil(now time.Time) time.Time {
	return now.Add(time.Duration(absentShare * float64(r.bound)))
}

// drop forgets a server. One that never said that it leaves may come back: its
// entry lapsed while the store was down.
func (r *Registry) drop(id string, now time.Time) {
	if r.servers[id].server.Leaving {
		r.left[id] = now.Add(leftFor)
	}
	delete(r.servers, id)
}

// Replace takes a whole listing: servers that it lacks are gone.
func (r *Registry) Replace(all []Server, trouble bool, now time.Time) (changed []Event) {
	listed := make(map[string]bool, len(all))
	for _, s := range all {
		listed[s.ID] = true
		if c := r.Put(s, now); c != None {
			changed = append(changed, Event{c, s})
		}
	}
	for id, e := range r.servers {
		if listed[id] {
			continue
		}
		s := e.server
		if c := r.Remove(id, trouble, now); c != None {
			changed = append(changed, Event{c, s})
		}
	}
	return changed
}

// Event is a change of a server.
type Event struct {
	Change Change
	Server Server
}

// Expire drops what has been absent for too long. While the store is down
// nothing is dropped: no news is not news.
func (r *Registry) Expire(storeDown bool, now time.Time) (changed []Event) {
	for id, e := range r.servers {
		switch {
		case e.absent.IsZero():
		case storeDown:
			e.absent = r.absentUntil(now)
		case now.After(e.absent):
			changed = append(changed, Event{Gone, e.server})
			r.drop(id, now)
		}
	}
	for id, until := range r.left {
		if _, listed := r.servers[id]; !listed && now.After(until) {
			delete(r.left, id)
		}
	}
	return changed
}

// Find returns a server by its id.
func (r *Registry) Find(id string) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.server, true
}

// List returns all servers, ordered by id.
func (r *Registry) List() []Server {
	out := make([]Server, 0, len(r.servers))
	for _, e := range r.servers {
		out = append(out, e.server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
