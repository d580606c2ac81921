package resume

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	recordInterval = 500 * time.Millisecond
	recordRetry    = 3 * time.Second // after a write that failed: the platform charges for each
	recordTimeout  = time.Second
)

// Leader tells whether this instance leads the fleet.
type Leader interface {
	Token(now time.Time) (duty.Token, time.Time, bool)
}

// Writer writes to the store.
type Writer interface {
	Do(ctx context.Context, t store.Txn) (store.Revision, error)
}

// RecorderOptions configure a Recorder.
type RecorderOptions struct {
	Directory *Directory
	Leader    Leader
	LeaderKey string // of the leader's lease
	Store     Writer
	Key       string // that the versions are written to; one for each era of the store is derived from it
}

// Recorder keeps the versions that may have begun a stream in the store, for instances that start after all
// others have been stopped at once, and for those that are out of step. The leader writes them; while there is none, the
// holders of the key add versions that appear.
type Recorder struct {
	RecorderOptions

	mu       sync.Mutex
	era      int64          // of the store; guarded by mu
	revision store.Revision // of the key; 0 if it is absent; guarded by mu
}

// NewRecorder returns a recorder from which the directory reads, too.
func NewRecorder(o RecorderOptions) *Recorder {
	r := &Recorder{RecorderOptions: o}
	o.Directory.recorded = r.Read
	return r
}

// key returns the key of the current era and its revision.
func (r *Recorder) key() (string, store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keyIn(r.era), r.revision
}

// keyIn returns the key of an era. In a copy of the store from an earlier era, it is absent: what was recorded there may
// lack versions that appeared since.
func (r *Recorder) keyIn(era int64) string {
	if era == 0 {
		return r.Key
	}
	return fmt.Sprint(r.Key, "-", era)
}

// Run writes the versions whenever they have changed, until ctx ends.
func (r *Recorder) Run(ctx context.Context) error {
	pause := recordInterval
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.Directory.Clock.After(pause):
		case <-r.Directory.appeared:
		}
		pause = recordInterval
		now := r.Directory.Clock.Now()
		if !r.Directory.Current(now) {
			continue
		}
		if token, _, leads := r.Leader.Token(now); leads {
			leader := store.Expect{Key: r.LeaderKey, Revision: token.Fence}
			if recorded, changed := r.Directory.Versions.Record(now); changed && r.write(ctx, recorded, leader) != nil {
				pause = recordRetry
			}
		} else if recorded, due := r.addition(now); due && r.write(ctx, recorded) != nil {
			pause = recordRetry
		}
	}
}

// addition returns what to record for a leader that has not done so in time: each holder of the key waits for
// the ones before it.
func (r *Recorder) addition(now time.Time) (recorded origin.Recorded, due bool) {
	recorded, since := r.Directory.Versions.Unrecorded(now)
	if since.IsZero() {
		return nil, false
	}
	holders := origin.Holders(r.Key, r.Directory.registered())
	turn := slices.IndexFunc(holders, func(m topology.Member) bool { return m.Name == r.Directory.Self.Name })
	return recorded, turn >= 0 && now.Sub(since) >= time.Duration(turn+1)*recordInterval
}

// write writes the versions, unless a condition does not hold or another instance has written.
func (r *Recorder) write(ctx context.Context, recorded origin.Recorded, conditions ...store.Expect) error {
	value, err := json.Marshal(recorded)
	if err != nil {
		return fmt.Errorf("encode versions: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	key, revision := r.key()
	at, err := r.Store.Do(ctx, store.Txn{
		Expect: append(conditions, store.Expect{Key: key, Revision: revision}),
		Put:    []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("record versions: %w", err)
	}
	r.restore(recorded, at)
	return nil
}

// errNotRecorded reports that the store does not hold what began streams before it was restored.
var errNotRecorded = errors.New("no versions are recorded in this era of the store")

// Read returns what the store holds now.
func (r *Recorder) Read(ctx context.Context) (recorded origin.Recorded, err error) {
	items, at, err := r.Directory.Store.Range(ctx, r.Key)
	if err != nil {
		return nil, fmt.Errorf("read the record: %w", err)
	}
	key := r.keyIn(at.Era())
	switch i := slices.IndexFunc(items, func(item store.Item) bool { return item.Key == key }); {
	case i >= 0:
		err = json.Unmarshal(items[i].Value, &recorded)
	case at.Era() > 0:
		err = errNotRecorded
	}
	return recorded, err
}

// restore applies what the key holds at a revision, unless a later one is known.
func (r *Recorder) restore(recorded origin.Recorded, at store.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.revision {
		return
	}
	r.revision = at
	if recorded == nil {
		r.Directory.Versions.RecordLost()
		return
	}
	r.Directory.Versions.Restore(recorded)
}

// Apply applies a change of an item, if it is the one with the versions.
func (r *Recorder) Apply(item store.Item) {
	if key, _ := r.key(); item.Key != key {
		return
	}
	var recorded origin.Recorded
	if json.Unmarshal(item.Value, &recorded) != nil {
		recorded = nil
	}
	r.restore(recorded, item.Revision)
}

// ApplyListing applies a complete listing at a revision of the store, which may lack the item.
func (r *Recorder) ApplyListing(items []store.Item, at store.Revision) {
	r.mu.Lock()
	r.era, r.revision = at.Era(), 0
	r.mu.Unlock()
	key, _ := r.key()
	if i := slices.IndexFunc(items, func(item store.Item) bool { return item.Key == key }); i >= 0 {
		r.Apply(items[i])
	} else if at.Era() == 0 {
		r.Directory.Versions.NoRecord()
	} else {
		r.Directory.Versions.RecordLost()
	}
}
