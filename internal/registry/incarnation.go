package registry

import (
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// The state of an endpoint belongs to one of its incarnations: a later one does not have the state
// of an earlier one, and does not answer for the requests that the earlier one ran. Updates may
// arrive late, twice or out of order. Which of two is newer is decided by the start of the
// incarnation that they describe and by the revision of the store at which they were written.

// IncarnationID returns the id of one incarnation of an endpoint.
func IncarnationID(name string, started time.Time) string {
	if started.IsZero() {
		return name
	}
	return name + "@" + strconv.FormatInt(started.UnixMilli(), 10)
}

// StoreID returns the id that all incarnations of the endpoint share, in the store and in requests.
func (s *Endpoint) StoreID() string {
	if s.Name != "" {
		return s.Name
	}
	return s.ID
}

// incarnation is the newest incarnation that was seen of an endpoint.
type incarnation struct {
	started     time.Time
	revision    store.Revision // of the newest entry
	retainUntil time.Time      // until when it is remembered without an entry
	goneAt      store.Revision // at which its entry was removed while the store was stable; zero if it was not
}

// confirmAfter is how long an entry must continue to name an incarnation earlier than the newest, or
// one whose entry was removed before the store was restored, until that incarnation is accepted. The
// store may apply a write of an earlier incarnation seconds late. The endpoint then writes its entry
// again with the next heartbeat, at an interval of 1.2 s where that is known, or the entry expires
// after three. An entry that stays for longer was written by the endpoint itself, whose clock was
// set back.
const confirmAfter = 5 * time.Second

// entryClass is the relation of an entry to those seen before for the same endpoint.
type entryClass int

const (
	currentEntry       entryClass = iota
	staleEntry                    // at an older revision
	earlierIncarnation            // at a newer revision, but of an earlier incarnation than the newest
	reappeared                    // was removed, and is back in a later era of the store
	missingStart                  // has no start time, although entries of endpoints have one
)

// newestOf returns the newest incarnation of an endpoint for the caller to update. It adds one if
// there is none.
func (r *Registry) newestOf(name string) *incarnation {
	newest := r.newest[name]
	if newest == nil {
		newest = &incarnation{}
		r.newest[name] = newest
	}
	return newest
}

func (r *Registry) classify(newest *incarnation, s *Endpoint) entryClass {
	switch {
	case s.Revision != 0 && s.Revision < newest.revision:
		return staleEntry
	case s.StartedAt.IsZero() && r.startsReported:
		return missingStart
	case s.StartedAt.Before(newest.started):
		return earlierIncarnation
	case s.StartedAt.Equal(newest.started) && newest.goneAt != 0 && newest.goneAt.Era() < s.Revision.Era():
		return reappeared
	}
	return currentEntry
}

// IsStale reports whether a newer entry of the same endpoint is known, so that Put would ignore this
// one.
func (r *Registry) IsStale(s Endpoint) bool {
	newest := r.newest[s.StoreID()]
	return newest != nil && r.classify(newest, &s) == staleEntry
}

// Withhold records that an endpoint's entry is not usable since a revision, 0 if that is not known.
// The endpoint gets no requests until its entry is valid again; running ones go on.
func (r *Registry) Withhold(name string, revision store.Revision, now time.Time) Change {
	newest := r.newestOf(name)
	if revision != 0 && revision < newest.revision {
		return None
	}
	changed := revision > newest.revision
	newest.revision = max(revision, newest.revision)
	r.retainIncarnation(name, now)
	r.cachedList = nil
	if e := r.endpoints[name]; e != nil {
		changed = changed || !e.withheld
		e.withheld, e.unconfirmed, e.dropAt = true, nil, time.Time{}
	}
	if changed {
		return Withheld
	}
	return None
}

// withholdUnconfirmed withholds an endpoint whose entry names an earlier incarnation, or one whose
// entry had been removed, until Expire accepts it. No incarnation may be used meanwhile: the one
// named may have ended, and a later one may be leaving.
func (r *Registry) withholdUnconfirmed(name string, s Endpoint, now time.Time) Change {
	e := r.endpoints[name]
	if e == nil {
		e = &entry{endpoint: s, withheld: true}
		r.endpoints[name] = e
	}
	since := now
	if e.unconfirmed != nil && e.unconfirmed.ID == s.ID {
		since = e.unconfirmedSince
	}
	change := r.Withhold(name, s.Revision, now)
	e.unconfirmed, e.unconfirmedSince = &s, since
	r.pending[name] = true
	return change
}

// acceptUnconfirmed makes an unconfirmed incarnation the newest one.
func (r *Registry) acceptUnconfirmed(name string, s Endpoint, now time.Time) Event {
	delete(r.newest, name)
	delete(r.endpoints, name)
	r.cachedList = nil
	return Event{r.Put(s, now), s}
}
