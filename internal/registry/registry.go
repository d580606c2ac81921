// Package registry keeps an instance's list of endpoints, built from their entries in the store.
//
// An endpoint may restart under the same id. Each incarnation is treated as an endpoint of its own,
// identified by the id and the time of its start (see incarnation.go). Once an incarnation has
// announced that it leaves, it stays leaving.
//
// The package does no I/O and reads no clock. A Registry must be used by one goroutine at a time;
// the lists that it returns are immutable.
package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Endpoint describes one incarnation of an endpoint.
type Endpoint struct {
	ID        string         // of this incarnation, see IncarnationID
	Name      string         // id that all incarnations share; empty if it equals ID
	StartedAt time.Time      // start of this incarnation; zero if not known
	Revision  store.Revision // of its entry in the store; 0 if not known
	Service   string
	Addr      netip.AddrPort
	Hall      string
	Version   string // of its software; empty if not known
	Slots     int
	Leaving   bool      // it gets no new requests
	Spot      bool      // may be reclaimed
	EndsAt    time.Time // when a leaving endpoint ends; zero if not known
	ColdUntil time.Time // until when it is slow after its start
}

// Change is the kind of change of an endpoint.
type Change int

// The kinds of changes.
const (
	None Change = iota
	Joined
	Draining  // it is leaving and gets no new requests
	Gone      // its entry was removed
	Absent    // its entry was removed while the store was unstable; it stays in use for a while
	Restarted // a new incarnation accepts requests
	Withheld  // its entry is invalid or unconfirmed; it is not used for now
)

const (
	// absentGraceShare is the share of the drain bound for which an endpoint stays in use whose
	// entry was removed while the store was unstable. Endpoints write their entry about once a
	// second, so that a live one is listed again by then.
	absentGraceShare = 0.75
	// departedRetention is how long a leaving incarnation, and the newest incarnation of an
	// endpoint without an entry, is remembered.
	departedRetention = 2 * time.Minute
)

type entry struct {
	endpoint         Endpoint
	dropAt           time.Time // when an absent endpoint is dropped; zero while its entry exists
	withheld         bool      // the endpoint must not be used
	unconfirmed      *Endpoint // the incarnation in the entry, if it waits for confirmAfter; else nil
	unconfirmedSince time.Time // when that was first seen
}

// departure is an incarnation that announced that it leaves.
type departure struct {
	name        string
	retainUntil time.Time // until when it is remembered
}

// Registry holds the endpoints. Its maps are keyed by the id that all incarnations share, see
// StoreID, unless stated otherwise.
type Registry struct {
	endpoints      map[string]*entry
	newest         map[string]*incarnation // newest incarnation; kept for a while without an entry
	departed       map[string]departure    // incarnations that announced that they leave, by their id
	pending        map[string]bool         // endpoints that may be absent or unconfirmed
	unlisted       map[string]bool         // endpoints that may have no valid entry, for expireRetained
	cachedList     []Endpoint              // result of List; nil if it has to be rebuilt
	drainBound     time.Duration           // within which a leaving endpoint must no longer be used
	startsReported bool                    // an entry had a start time: all valid entries have one
}

// New returns an empty registry. drainBound is the time within which a leaving endpoint must no
// longer be used.
func New(drainBound time.Duration) *Registry {
	return &Registry{drainBound: drainBound, endpoints: make(map[string]*entry), newest: make(map[string]*incarnation), departed: make(map[string]departure), pending: make(map[string]bool), unlisted: make(map[string]bool)}
}

// Put applies an endpoint's entry in the store.
func (r *Registry) Put(s Endpoint, now time.Time) Change {
	name := s.StoreID()
	newest := r.newestOf(name)
	switch r.classify(newest, &s) {
	case staleEntry:
		return None
	case missingStart:
		return r.Withhold(name, s.Revision, now)
	case earlierIncarnation, reappeared:
		return r.withholdUnconfirmed(name, s, now)
	}
	newest.started, newest.revision, newest.goneAt = s.StartedAt, s.Revision, 0
	r.cachedList = nil
	r.startsReported = r.startsReported || !s.StartedAt.IsZero()
	_, wasLeaving := r.departed[s.ID]
	if wasLeaving {
		s.Leaving = true
	}
	if s.Leaving {
		r.departed[s.ID] = departure{name, now.Add(departedRetention)}
	}
	old := r.endpoints[name]
	if old == nil {
		r.endpoints[name] = &entry{endpoint: s}
		return classifyChange(nil, &s, wasLeaving)
	}
	change := classifyChange(old, &s, wasLeaving)
	*old = entry{endpoint: s}
	return change
}

// classifyChange returns the change that an entry with the endpoint s makes. old is the previous
// state, nil if there is none. wasLeaving is true if this incarnation was known to be leaving.
func classifyChange(old *entry, s *Endpoint, wasLeaving bool) Change {
	restarted := old != nil && old.endpoint.ID != s.ID
	switch {
	case s.Leaving && !wasLeaving && (old == nil || restarted || !old.endpoint.Leaving):
		return Draining
	case s.Leaving:
		return None
	case restarted:
		return Restarted
	case old == nil || old.withheld:
		return Joined
	}
	return None
}

// MarkLeaving marks an incarnation that announced itself that it leaves. Its entry in the store may
// say so much later or never.
func (r *Registry) MarkLeaving(id string, now time.Time) []Event {
	for name, e := range r.endpoints {
		if e.endpoint.ID != id || e.withheld {
			continue
		}
		r.departed[id] = departure{name, now.Add(departedRetention)}
		if e.endpoint.Leaving {
			return nil
		}
		e.endpoint.Leaving = true
		r.cachedList = nil
		return []Event{{Draining, e.endpoint}}
	}
	return nil
}

// Remove records that an endpoint's entry was removed as of a revision, 0 if that is not known.
// missingSince is zero unless the store is or recently was unreliable, so that the entry may have
// expired although the endpoint is alive. Then the entry was removed at that time at the earliest.
func (r *Registry) Remove(name string, revision store.Revision, missingSince, now time.Time) Change {
	e, ok := r.endpoints[name]
	if !ok {
		return None
	}
	newest := r.newestOf(name)
	if revision != 0 && revision < newest.revision {
		return None
	}
	newest.revision = max(revision, newest.revision)
	dropAt := r.absenceDeadline(missingSince)
	if !missingSince.IsZero() && now.Before(dropAt) && !e.endpoint.Leaving && !e.withheld {
		if e.dropAt.IsZero() {
			e.dropAt = dropAt
			r.pending[name] = true
			return Absent
		}
		return None
	}
	r.drop(name, now)
	newest.goneAt = newest.revision
	return Gone
}

// absenceDeadline returns until when an endpoint stays in use whose entry is missing since a time.
func (r *Registry) absenceDeadline(since time.Time) time.Time {
	return since.Add(time.Duration(absentGraceShare * float64(r.drainBound)))
}

// drop removes an endpoint. Only a leaving incarnation is recorded as departed: any other may come
// back, if its entry expired while the store was down.
func (r *Registry) drop(name string, now time.Time) {
	if s := r.endpoints[name].endpoint; s.Leaving {
		r.departed[s.ID] = departure{name, now.Add(departedRetention)}
	}
	delete(r.endpoints, name)
	r.retainIncarnation(name, now)
	r.cachedList = nil
}

// retainIncarnation remembers the newest incarnation of an endpoint that may have no valid entry.
func (r *Registry) retainIncarnation(name string, now time.Time) {
	r.newestOf(name).retainUntil = now.Add(departedRetention)
	r.unlisted[name] = true
}

// ApplyListing applies a complete listing of the store as of a revision, 0 if that is not known.
// Endpoints that are missing in it are removed, see Remove. withheld are the names of endpoints with
// an invalid entry, which are left as they are.
func (r *Registry) ApplyListing(all []Endpoint, withheld []string, at store.Revision, missingSince, now time.Time) (changed []Event) {
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
		if c := r.Remove(name, at, missingSince, now); c != None {
			changed = append(changed, Event{c, s})
		}
	}
	return changed
}

// Event is a change of an endpoint.
type Event struct {
	Change   Change
	Endpoint Endpoint
}

// Expire drops endpoints that have been absent for too long, and accepts incarnations that have been
// unconfirmed for confirmAfter. While the store is down nothing is dropped, since a missing entry
// means nothing then. It is called ten times a second and looks only at pending endpoints, since most
// of thousands do not change.
func (r *Registry) Expire(storeDown bool, now time.Time) (changed []Event) {
	for name := range r.pending {
		e := r.endpoints[name]
		switch {
		case e == nil || e.unconfirmed == nil && e.dropAt.IsZero():
			delete(r.pending, name)
		case e.unconfirmed != nil && now.Sub(e.unconfirmedSince) >= confirmAfter:
			changed = append(changed, r.acceptUnconfirmed(name, *e.unconfirmed, now))
		case e.dropAt.IsZero():
		case storeDown:
			e.dropAt = r.absenceDeadline(now)
		case now.After(e.dropAt):
			changed = append(changed, Event{Gone, e.endpoint})
			r.drop(name, now)
		}
	}
	r.expireRetained(now)
	return changed
}

// expireRetained removes leaving and newest incarnations that were remembered for long enough.
func (r *Registry) expireRetained(now time.Time) {
	for id, p := range r.departed {
		if e := r.endpoints[p.name]; (e == nil || e.endpoint.ID != id) && now.After(p.retainUntil) {
			delete(r.departed, id)
		}
	}
	for name := range r.unlisted {
		newest := r.newest[name]
		switch {
		case newest == nil || r.endpoints[name] != nil:
			delete(r.unlisted, name)
		case now.After(newest.retainUntil):
			delete(r.newest, name)
			delete(r.unlisted, name)
		}
	}
}

// Find returns an endpoint by the id that all its incarnations share, if it may be used.
func (r *Registry) Find(name string) (Endpoint, bool) {
	e, ok := r.endpoints[name]
	if !ok || e.withheld {
		return Endpoint{}, false
	}
	return e.endpoint, true
}

// List returns all endpoints that may be used, ordered by the id of the incarnation. It returns the
// same slice until something changes; it must not be modified.
func (r *Registry) List() []Endpoint {
	if r.cachedList != nil {
		return r.cachedList
	}
	out := make([]Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		if !e.withheld {
			out = append(out, e.endpoint)
		}
	}
	slices.SortFunc(out, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	r.cachedList = out
	return out
}
