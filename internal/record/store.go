package record

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const storeShards = 64

// Store holds records by ID.
type Store struct {
	shards [storeShards]storeShard
}

type storeShard struct {
	mu      sync.RWMutex
	records map[string]*Record // guarded by mu
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i].records = make(map[string]*Record)
	}
	return s
}

func (s *Store) shard(id string) *storeShard {
	return &s.shards[xxhash.Sum64String(id)%storeShards]
}

// Get returns the record with this ID, if there is one.
func (s *Store) Get(id string) (*Record, bool) {
	sh := s.shard(id)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	r, ok := sh.records[id]
	return r, ok
}

// Add stores r unless there is already a record with its ID. It returns the stored
// record and reports whether that is r.
func (s *Store) Add(r *Record) (*Record, bool) {
	sh := s.shard(r.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if old, ok := sh.records[r.ID]; ok {
		return old, false
	}
	sh.records[r.ID] = r
	return r, true
}

// Remove removes r. It does nothing if another record with the same ID is stored.
func (s *Store) Remove(r *Record) {
	sh := s.shard(r.ID)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.records[r.ID] == r {
		delete(sh.records, r.ID)
	}
}

// Len returns the number of records.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].records)
		s.shards[i].mu.RUnlock()
	}
	return n
}

// Filter returns the records for which keep is true. keep must not use the store.
func (s *Store) Filter(keep func(*Record) bool) []*Record {
	var out []*Record
	for i := range s.shards {
		s.shards[i].mu.RLock()
		for _, r := range s.shards[i].records {
			if keep(r) {
				out = append(out, r)
			}
		}
		s.shards[i].mu.RUnlock()
	}
	return out
}

// fetchedGrace is how long a fetched answer is kept for a caller whose connection
// broke during the last bytes.
const fetchedGrace = 30 * time.Second

// Expired returns the records that may be removed. A repeatable request may be
// removed fetchedGrace after its deadline, or once its answer was fetched and it
// arrived more than twice fetchedGrace ago. A request that must not run twice is
// kept until the retention period after its deadline.
func (s *Store) Expired(now time.Time, retention time.Duration) []*Record {
	return s.Filter(func(r *Record) bool {
		end := r.Deadline.Add(fetchedGrace)
		if !r.Repeatable {
			end = r.Deadline.Add(retention)
		}
		if now.After(end) {
			return true
		}
		return r.Repeatable && r.Fetched() && now.After(r.ArrivedAt.Add(2*fetchedGrace))
	})
}
