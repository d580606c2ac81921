package storetest

import (
	"maps"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Backup is a copy of a store's state.
type Backup struct {
	rev       int64
	items     map[string]store.Item
	createdAt map[string]time.Time
	log       []store.Event
	oldest    int64
	leases    map[int64]lease
	lastID    int64
}

// Backup returns a copy of the store's current state.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return Backup{
		rev: s.rev, items: maps.Clone(s.items), createdAt: maps.Clone(s.createdAt), log: slices.Clone(s.log), oldest: s.oldest, leases: maps.Clone(s.leases), lastID: s.lastID,
	}
}

// Restore replaces the store's state by a backup. Writes and leases made since the backup are
// lost, their numbers are reused, and the era increases by one. The leases of the backup start
// again with their full time to live. Calls that are waiting continue on the restored state.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.items, s.createdAt, s.log, s.oldest = b.rev, maps.Clone(b.items), maps.Clone(b.createdAt), slices.Clone(b.log), b.oldest
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
