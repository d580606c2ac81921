package mirror

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// silentAfter is how long another node may know more than this one until the
// own watch counts as silent: changes are gathered, and travel.
const silentAfter = 600 * time.Millisecond

// Progress tells a watch of the servers that has gone silent from one that has
// nothing to tell: the other nodes watch as well. It is safe for concurrent use.
type Progress struct {
	mu    sync.Mutex
	seen  store.Revision // revision of the newest change of a server; guarded by mu
	known store.Revision // revision up to which all changes are known; guarded by mu
	since time.Time      // when another node was first found to know more; guarded by mu
}

// Saw notes a change.
func (s *Progress) Saw(revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = max(s.seen, revision)
	s.known = max(s.known, revision)
}

// Listed notes a listing that is true at a revision. That alone is not told to
// others: it grows with changes of other things.
func (s *Progress) Listed(items []store.Item, at store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		s.seen = max(s.seen, item.Revision)
	}
	s.known = max(s.known, at, s.seen)
}

// Newest returns the revision of the newest change, for the other nodes.
func (s *Progress) Newest() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

// Behind takes what another node told, and reports whether the own watch has
// been silent for too long.
func (s *Progress) Behind(told store.Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case told <= s.known:
		return false // says nothing of what others know
	case s.since.IsZero() || now.Sub(s.since) > 2*silentAfter:
		s.since = now
	case now.Sub(s.since) > silentAfter:
		s.since = time.Time{}
		return true
	}
	return false
}
