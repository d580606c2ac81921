package front

import (
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// restoreSettleTime is how long after a restore of the store operators and endpoints have to
// rewrite entries that the restored copy lacks.
const restoreSettleTime = 2 * time.Second

// era is the state's view of the store's era, a number that increases with each restore of the
// store from an older copy. It is owned by the state's goroutine.
type era struct {
	known      bool
	number     int64
	restoredAt time.Time // when any instance first saw the era; zero if the store was never restored
	startedIn  bool      // this instance started in this era and has no state from an earlier one
}

// changeRevision returns a revision at or before the one that a change was read at, zero if the
// change carries none.
func changeRevision(c change) store.Revision {
	switch c := c.(type) {
	case configRead:
		return c.revision
	case listedEndpoints:
		return c.at
	case listedInstances:
		return c.at
	case operatorsRead:
		return newestRevision(c.items)
	case watched:
		if len(c.events) > 0 {
			return c.events[0].Revision
		}
	}
	return 0
}

func newestRevision(items []store.Item) store.Revision {
	var newest store.Revision
	for _, item := range items {
		newest = max(newest, item.Revision)
	}
	return newest
}

// observeEra records the era that a change was read in, and reports whether the change may be
// applied. A change read in an earlier era is stale.
func (s *state) observeEra(c change, now time.Time) bool {
	at := changeRevision(c)
	switch number := at.Era(); {
	case at == 0:
	case !s.era.known:
		s.era = era{known: true, number: number}
		if number > 0 {
			s.era.restoredAt, s.era.startedIn = now, true
		}
	case number > s.era.number:
		s.instance.event(event.StoreRestored, zap.Inline(at), zap.Int64("before", s.era.number))
		s.era = era{known: true, number: number, restoredAt: now}
		s.store.Restored(now)
		s.instance.refresh()
	case number < s.era.number:
		return false
	}
	return true
}

// eraFirstSeen is the change that carries the wall-clock time at which any instance first saw an
// era.
type eraFirstSeen struct {
	number int64
	at     time.Time
}

func (eraFirstSeen) change() {}

// applyEraFirstSeen adopts the time at which an era was first seen if it is earlier than the time
// known here.
func (s *state) applyEraFirstSeen(c eraFirstSeen, now time.Time) {
	at := now.Add(c.at.Sub(s.instance.walltime.At(now)))
	if c.number == s.era.number && at.Before(s.era.restoredAt) {
		s.era.restoredAt = at
	}
}

// storeMayLackVersions reports whether a read of the store cannot prove that a configuration is
// the newest: after a restore, a later version may be lost and not be rewritten yet.
func (s *state) storeMayLackVersions(now time.Time) bool {
	return (s.behind || s.era.startedIn) && s.restoreSettling(now)
}

// restoreSettling reports whether operators and endpoints may still be rewriting entries that a
// restore of the store lost.
func (s *state) restoreSettling(now time.Time) bool {
	return !s.era.restoredAt.IsZero() && now.Sub(s.era.restoredAt) < restoreSettleTime
}
