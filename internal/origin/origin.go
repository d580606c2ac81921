// Package origin holds which software version of a service each stream began at. What two versions
// write does not fit together, so that the rest of a stream has to come from the version that began it,
// also if the client resumes the stream at another instance.
//
// The records of streams are kept by the instances that begin them and by a few others, its holders
// (Holders). A stream without a record can be resumed only if its service had one version throughout
// the time in which the stream may have begun (Versions).
//
// The package does no I/O and reads no clock. Table and Versions are safe for concurrent use.
package origin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Record tells where a stream began.
type Record struct {
	Stream  string // ID of the request that the first event came with
	Service string
	Version string    // of the software of the endpoint that sent the first event; empty if the endpoint states none
	Until   time.Time // when the client can no longer resume the stream
}

// Table holds a bounded number of records. If there are too many, the oldest are dropped.
type Table struct {
	most int

	mu      sync.Mutex
	records map[string]Record // by stream; guarded by mu
	order   []string          // streams by the time of their first record; guarded by mu
}

// NewTable returns a table of at most a number of records.
func NewTable(most int) *Table { return &Table{most: most, records: make(map[string]Record)} }

// Put adds a record. A stream that has one keeps its service and version, and the later end.
func (t *Table) Put(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.records[r.Stream]; ok {
		if r.Until.After(known.Until) {
			known.Until = r.Until
			t.records[r.Stream] = known
		}
		return
	}
	for len(t.records) >= t.most && len(t.order) > 0 {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
	t.records[r.Stream] = r
	t.order = append(t.order, r.Stream)
}

// Get returns the record of a stream that can still be resumed.
func (t *Table) Get(stream string, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[stream]
	return r, ok && now.Before(r.Until)
}

// Drop removes the record of a stream that will not be resumed.
func (t *Table) Drop(stream string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.records, stream)
}

// All returns the records of the streams that can still be resumed.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Record
	for _, r := range t.records {
		if now.Before(r.Until) {
			out = append(out, r)
		}
	}
	return out
}

// Expire removes the records of streams that can no longer be resumed.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.order = slices.DeleteFunc(t.order, func(stream string) bool {
		r, ok := t.records[stream]
		if ok && now.Before(r.Until) {
			return false
		}
		delete(t.records, stream)
		return true
	})
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// maxHolders is the number of instances that hold the record of a stream beside the one that begins it.
const maxHolders = 3

// rank returns the instances in an order of preference for a key, the same one whatever the order of the input.
func rank(of string, instances []topology.Member) []topology.Member {
	key := rendezvous.Hash(of)
	type scored struct {
		score uint64
		i     int
	}
	scores := make([]scored, len(instances))
	for i := range instances {
		scores[i] = scored{rendezvous.Score(key, instances[i].Name), i}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]topology.Member, len(instances))
	for i, s := range scores {
		order[i] = instances[s.i]
	}
	return order
}

// Holders returns the instances that hold the record of a stream, of different halls if there are
// enough. All that know the same instances choose the same ones.
func Holders(stream string, instances []topology.Member) []topology.Member {
	halls := make(map[string]bool)
	var first, more []topology.Member
	for _, m := range rank(stream, instances) {
		if len(first) == maxHolders {
			break
		}
		if halls[m.Hall] {
			more = append(more, m)
			continue
		}
		halls[m.Hall] = true
		first = append(first, m)
	}
	return append(first, more[:min(len(more), maxHolders-len(first))]...)
}
