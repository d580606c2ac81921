package storetest

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Backup is a copy of what a store had at some time.
type Backup struct {
	rev    int64
	items  map[string]store.Item
	made   map[string]time.Time
	log    []store.Event
	oldest int64
	leases map[int64]lease
	lastID int64
}

// Backup copies what the store has now.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return Backup{
		rev: s.rev, items: maps.Clone(s.items), made: maps.Clone(s.made), log: slices.Clone(s.log), oldest: s.oldest, leases: maps.Clone(s.leases), lastID: s.lastID,
	}
}

// Restore replaces what the store has by an older copy: writes and leases since then are gone,
// their numbers are given out again, and the era rises. The leases of the copy begin anew. Calls that are
// waiting go on in what was restored.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.items, s.made, s.log, s.oldest = b.rev, maps.Clone(b.items), maps.Clone(b.made), slices.Clone(b.log), b.oldest
	for key, item := range s.items {
		item.Revision = revision(s.era, item.Revision.Number())
		s.items[key] = item
	}
	for i, e := range s.log {
		s.log[i].Revision = revision(s.era, e.Revision.Number())
	}
	s.leases, s.lastID = maps.Clone(b.leases), b.lastID
	for id, l := range s.leases {
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.signal()
}
