package quarantine

import (
	"cmp"
	"maps"
	"time"
)

// add notes an end, and reports whether it was not known.
func (s *Suspect) add(endpoint string, at time.Time) bool {
	if _, known := s.Ends[endpoint]; known || !at.After(s.ClearedAt) {
		return false
	}
	s.Ends[endpoint] = at
	return true
}

// clear drops all that speaks against a request up to a time.
func (s *Suspect) clear(at time.Time) {
	s.ClearedAt = at
	s.Until, s.Strikes = time.Time{}, 0
	maps.DeleteFunc(s.Ends, func(_ string, end time.Time) bool { return !end.After(at) })
}

// count returns the number of ends that count now.
func (s *Suspect) count(now time.Time) int { return s.countAfter(time.Time{}, now) }

// countAfter returns the number of ends that count now and came after a time.
func (s *Suspect) countAfter(after, now time.Time) (n int) {
	for _, at := range s.Ends {
		if now.Sub(at) <= window && at.After(after) {
			n++
		}
	}
	return n
}

// Concerns reports whether all instances have to know of the suspect: it may not run
// freely, or did not until it was cleared.
func (s *Suspect) Concerns(now time.Time) bool {
	return !s.Until.IsZero() || !s.ClearedAt.IsZero() || s.count(now) >= endsToSingle
}

// newest returns when something last spoke against the request, or for it.
func (s *Suspect) newest() time.Time {
	at := s.ClearedAt
	if s.Until.After(at) {
		at = s.Until
	}
	for _, end := range s.Ends {
		if end.After(at) {
			at = end
		}
	}
	return at
}

// over reports whether nothing is left of the suspicion.
func (s *Suspect) over(now time.Time) bool {
	if s.Until.IsZero() {
		return now.Sub(s.newest()) > window
	}
	return now.Sub(s.newest()) > remember
}

func (s *Suspect) clone() Suspect {
	c := *s
	c.Ends = maps.Clone(s.Ends)
	return c
}

// compareSuspicion orders the least suspected first: those that are not quarantined, with
// fewer ends, seen longer ago.
func compareSuspicion(a, b *Suspect, now time.Time) int {
	return cmp.Or(
		cmp.Compare(rank(a.Until.After(now)), rank(b.Until.After(now))),
		cmp.Compare(len(a.Ends), len(b.Ends)),
		a.newest().Compare(b.newest()),
	)
}

// rank orders false before true.
func rank(x bool) int {
	if x {
		return 1
	}
	return 0
}
