package front

import (
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// rewriteWithin is how long after a restore of the store operators and endpoints are given to
// write again what it lost.
const rewriteWithin = 2 * time.Second

// era is what the state knows of the store's era. It belongs to the state's goroutine.
type era struct {
	known      bool
	number     int64
	restoredAt time.Time // when the era was first seen; zero if the store was never restored
	joined     bool      // this instance started in it, and knows nothing of an earlier one
}

// revisionOf returns a revision that a change was read at or after, zero if it names none.
func revisionOf(c change) store.Revision {
	switch c := c.(type) {
	case configRead:
		return c.revision
	case listedEndpoints:
		return c.at
	case listedInstances:
		return c.at
	case operatorsRead:
		return newestOf(c.items)
	case watched:
		if len(c.events) > 0 {
			return c.events[0].Revision
		}
	}
	return 0
}

func newestOf(items []store.Item) store.Revision {
	var newest store.Revision
	for _, item := range items {
		newest = max(newest, item.Revision)
	}
	return newest
}

// enter takes note of the era that a change was read in, and reports whether the change may be
// used: what was read in an earlier era came late.
func (s *state) enter(c change, now time.Time) bool {
	at := revisionOf(c)
	switch number := at.Era(); {
	case at == 0:
	case !s.era.known:
		s.era = era{known: true, number: number}
		if number > 0 {
			s.era.restoredAt, s.era.joined = now, true
		}
	case number > s.era.number:
		s.instance.event(event.StoreRestored, zap.Inline(at), zap.Int64("before", s.era.number))
		s.era = era{known: true, number: number, restoredAt: now}
		s.troubleAt = now
		s.instance.refresh()
	case number < s.era.number:
		return false
	}
	return true
}

// eraMarked brings the time at which any instance first saw an era, of the day.
type eraMarked struct {
	number int64
	at     time.Time
}

func (eraMarked) change() {}

// marked takes the time at which an era was first seen, if that is earlier than known here.
func (s *state) marked(c eraMarked, now time.Time) {
	at := now.Add(c.at.Sub(s.instance.walltime.At(now)))
	if c.number == s.era.number && at.Before(s.era.restoredAt) {
		s.era.restoredAt = at
	}
}

// mayLack reports whether a read of the store proves no version: later ones may be lost, and not
// be written again yet.
func (s *state) mayLack(now time.Time) bool { return (s.behind || s.era.joined) && s.settling(now) }

// settling reports whether operators and endpoints may still be writing again what the store
// lost.
func (s *state) settling(now time.Time) bool {
	return !s.era.restoredAt.IsZero() && now.Sub(s.era.restoredAt) < rewriteWithin
}
