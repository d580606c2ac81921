package quarantine

import (
	"cmp"
	"maps"
	"time"
)

// addEnd records the end of an endpoint, and reports whether it is a new one that counts.
func (s *Suspect) addEnd(endpoint string, at time.Time) bool {
	if _, known := s.Ends[endpoint]; known || !at.After(s.ClearedAt) {
		return false
	}
	s.Ends[endpoint] = at
	return true
}

// clear discards the ends up to the given time, and the quarantine.
func (s *Suspect) clear(at time.Time) {
	s.ClearedAt = at
	s.QuarantinedUntil, s.Strikes = time.Time{}, 0
	maps.DeleteFunc(s.Ends, func(_ string, end time.Time) bool { return !end.After(at) })
}

// recentEnds returns the number of ends within endWindow.
func (s *Suspect) recentEnds(now time.Time) int { return s.recentEndsAfter(time.Time{}, now) }

// recentEndsAfter returns the number of ends within endWindow that came after the given time.
func (s *Suspect) recentEndsAfter(after, now time.Time) (n int) {
	for _, at := range s.Ends {
		if now.Sub(at) <= endWindow && at.After(after) {
			n++
		}
	}
	return n
}

// RelevantToAll reports whether all instances have to know of the suspect: it is restricted, or
// was until it was cleared.
func (s *Suspect) RelevantToAll(now time.Time) bool {
	return !s.QuarantinedUntil.IsZero() || !s.ClearedAt.IsZero() || s.recentEnds(now) >= endsToSerialize
}

// lastActivity returns the time of the latest end or clearing, or the end of the quarantine if that
// is later.
func (s *Suspect) lastActivity() time.Time {
	at := s.ClearedAt
	if s.QuarantinedUntil.After(at) {
		at = s.QuarantinedUntil
	}
	for _, end := range s.Ends {
		if end.After(at) {
			at = end
		}
	}
	return at
}

// expired reports whether the suspect can be dropped.
func (s *Suspect) expired(now time.Time) bool {
	if s.QuarantinedUntil.IsZero() {
		return now.Sub(s.lastActivity()) > endWindow
	}
	return now.Sub(s.lastActivity()) > suspectRetention
}

func (s *Suspect) clone() Suspect {
	c := *s
	c.Ends = maps.Clone(s.Ends)
	return c
}

// compareSuspicion orders suspects by ascending weight: those not quarantined before the others,
// then by the number of ends, then by lastActivity.
func compareSuspicion(a, b *Suspect, now time.Time) int {
	return cmp.Or(
		cmp.Compare(boolRank(a.QuarantinedUntil.After(now)), boolRank(b.QuarantinedUntil.After(now))),
		cmp.Compare(len(a.Ends), len(b.Ends)),
		a.lastActivity().Compare(b.lastActivity()),
	)
}

// boolRank orders false before true.
func boolRank(x bool) int {
	if x {
		return 1
	}
	return 0
}
