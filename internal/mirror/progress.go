package mirror

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// stallTimeout is how long another instance may be ahead of this one before the own watch counts
// as stalled. It covers the batching of changes and their transmission.
const stallTimeout = 600 * time.Millisecond

// StallDetector distinguishes a stalled watch of the endpoints' entries from an idle one, by
// comparing the revisions that this instance has seen with those that other instances advertise
// from their own watches. It is safe for concurrent use.
type StallDetector struct {
	mu         sync.Mutex
	newest     store.Revision // revision of the newest change of an endpoint's entry; guarded by mu
	knownTo    store.Revision // revision up to which all changes have been seen; guarded by mu
	aheadSince time.Time      // when another instance was first found ahead; guarded by mu
}

// ObserveChange records a change that the watch reported.
func (s *StallDetector) ObserveChange(revision store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, revision)
	s.knownTo = max(s.knownTo, revision)
}

// ObserveListing records a listing made at the revision at. Newest does not return at itself: it is
// the revision of the whole store, which also grows with changes of other keys.
func (s *StallDetector) ObserveListing(items []store.Item, at store.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range items {
		s.newest = max(s.newest, item.Revision)
	}
	s.knownTo = max(s.knownTo, at, s.newest)
}

// Newest returns the revision of the newest change, to be advertised to the other instances.
func (s *StallDetector) Newest() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest
}

// Stalled compares the revision that another instance advertises with what this instance has seen.
// It reports true if an instance was found ahead, and one is found ahead again between once and
// twice stallTimeout later. Then, and after twice stallTimeout without that, the measurement starts
// anew.
func (s *StallDetector) Stalled(advertised store.Revision, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case advertised <= s.knownTo:
		return false // other instances may still be ahead: aheadSince stays
	case s.aheadSince.IsZero() || now.Sub(s.aheadSince) > 2*stallTimeout:
		s.aheadSince = now
	case now.Sub(s.aheadSince) > stallTimeout:
		s.aheadSince = time.Time{}
		return true
	}
	return false
}
