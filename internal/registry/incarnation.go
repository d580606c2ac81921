package registry

import (
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// What is known of a server belongs to one of its incarnations: a later one holds nothing
// of what an earlier one kept, and says nothing of what that one ran. News come late, twice
// or in another order, so that two things decide which is newer: the start of the
// incarnation that they describe, and the revision of the store at which they were written.

// IncarnationID returns the id of one incarnation of a server.
func IncarnationID(name string, started time.Time) string {
	if started.IsZero() {
		return name
	}
	return name + "@" + strconv.FormatInt(started.UnixMilli(), 10)
}

// StoreID returns the id that the server has in the store and goes by in requests,
// whichever its incarnation.
func (s *Endpoint) StoreID() string {
	if s.Name != "" {
		return s.Name
	}
	return s.ID
}

// incarnation is the newest incarnation that was seen for a server.
type incarnation struct {
	started  time.Time
	revision store.Revision // of the newest entry
	until    time.Time      // until when it is remembered without an entry
	goneAt   store.Revision // at which its entry went while the store was well; zero if it did not
}

// earlierStands is how long an entry has to name an earlier incarnation than the newest, or one
// whose entry had gone before the store was restored, until that is accepted. The store may apply a write of the earlier one seconds late; the
// server then writes again within a heartbeat, of 1.2 s where it is known, or the entry
// goes after three. What stands for longer is what the server says of itself: its clock
// was set back.
const earlierStands = 5 * time.Second

// judgement says how an entry stands to those before.
type judgement int

const (
	current judgement = iota
	late              // an older entry
	earlier           // names an earlier incarnation than the newest, although it is newer
	revived           // had gone, and is there again in a later era of the store
	foreign           // lacks the start that the server, or others, told
)

// newestOf returns the newest incarnation of a server, to be brought up to date.
func (r *Registry) newestOf(name string) *incarnation {
	newest := r.newest[name]
	if newest == nil {
		newest = &incarnation{}
		r.newest[name] = newest
	}
	return newest
}

func (r *Registry) judge(newest *incarnation, s *Endpoint) judgement {
	switch {
	case s.Revision != 0 && s.Revision < newest.revision:
		return late
	case s.StartedAt.IsZero() && r.hasStart:
		return foreign
	case s.StartedAt.Before(newest.started):
		return earlier
	case s.StartedAt.Equal(newest.started) && newest.goneAt != 0 && newest.goneAt.Era() < s.Revision.Era():
		return revived
	}
	return current
}

// Outdated reports whether an entry is older than one that is known for its server, so that
// Put makes nothing of it.
func (r *Registry) Outdated(s Endpoint) bool {
	newest := r.newest[s.StoreID()]
	return newest != nil && r.judge(newest, &s) == late
}

// Withhold notes that a server's entry names no server to use since a revision, 0 if that
// is not known. What runs there goes on; it may be used again once its entry reads well.
func (r *Registry) Withhold(name string, revision store.Revision, now time.Time) Change {
	newest := r.newestOf(name)
	if revision != 0 && revision < newest.revision {
		return None
	}
	news := revision > newest.revision
	newest.revision = max(revision, newest.revision)
	r.remember(name, now)
	r.listed = nil
	if e := r.endpoints[name]; e != nil {
		news = news || !e.withheld
		e.withheld, e.earlier, e.absent = true, nil, time.Time{}
	}
	if news {
		return Withheld
	}
	return None
}

// doubt notes that a server's entry names an earlier incarnation, or one that had gone. None
// may be used: the one named may be over, and whether a later one leaves is not known.
func (r *Registry) doubt(name string, s Endpoint, now time.Time) Change {
	e := r.endpoints[name]
	if e == nil {
		e = &entry{endpoint: s, withheld: true}
		r.endpoints[name] = e
	}
	since := now
	if e.earlier != nil && e.earlier.ID == s.ID {
		since = e.since
	}
	change := r.Withhold(name, s.Revision, now)
	e.earlier, e.since = &s, since
	r.pending[name] = true
	return change
}

// accept takes an earlier incarnation for the newest.
func (r *Registry) accept(name string, s Endpoint, now time.Time) Event {
	delete(r.newest, name)
	delete(r.endpoints, name)
	r.listed = nil
	return Event{r.Put(s, now), s}
}
