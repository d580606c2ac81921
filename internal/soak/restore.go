package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// Times of restores of the store.
const (
	backupEvery  = 200 * time.Millisecond
	oldestBackup = 10 * time.Second
	rewriteMost  = 2 * time.Second // after a restore, until operators and endpoints have written again
)

// backup is a copy of the store with its time.
type backup struct {
	storetest.Backup
	at time.Time
}

// keepBackups copies the store again and again until ctx ends.
func (w *world) keepBackups(ctx context.Context) {
	for ctx.Err() == nil {
		b := backup{w.store.Backup(), time.Now()}
		w.mu.Lock()
		w.backups = append(slices.DeleteFunc(w.backups, func(b backup) bool { return time.Since(b.at) > oldestBackup }), b)
		w.mu.Unlock()
		sleep(ctx, backupEvery)
	}
}

// draw returns one of the backups, and makes those that are younger void.
func (w *world) draw(target uint64) (backup, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.backups) == 0 {
		return backup{}, false
	}
	n := target % uint64(len(w.backups))
	b := w.backups[n]
	w.backups = w.backups[:n+1]
	return b, true
}

// writer writes the store as operators and endpoints do, which write again what it lost. It is
// safe for concurrent use.
type writer struct {
	store     *storetest.Store
	reachable sync.RWMutex // held for writing while the store is away

	mu      sync.Mutex
	written map[string][]byte // last values; guarded by mu
}

func newWriter(s *storetest.Store) *writer {
	return &writer{store: s, written: make(map[string][]byte)}
}

// put writes a key, or drops it if the value is nil. It waits while the store is away.
func (w *writer) put(key string, value []byte) {
	w.reachable.RLock()
	defer w.reachable.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[key] = value
	w.store.Put(key, value)
}

// writeAgain writes all last values, but for one key's.
func (w *writer) writeAgain(but string) {
	for _, key := range w.keys() {
		if key != but {
			w.rewrite(key)
		}
	}
}

// keys returns all keys in any order.
func (w *writer) keys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Keys(w.written)
}

func (w *writer) rewrite(key string) {
	w.reachable.RLock()
	defer w.reachable.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(key, w.written[key])
}

// restoreStore takes the store away for all, and brings an older copy back.
func (r *run) restoreStore(ctx context.Context, a Action) {
	w := r.world
	b, ok := w.draw(a.Target)
	if !ok {
		return
	}
	defer r.record.disrupt("", a.Kind, false)()
	w.writer.reachable.Lock()
	w.store.SetFaults("", storetest.Faults{Down: true, Silent: true})
	sleep(ctx, a.For)
	w.store.Restore(b.Backup)
	w.store.ClearFaults("")
	w.writer.reachable.Unlock()
	sleep(ctx, time.Duration(a.Target/7%uint64(rewriteMost)))
	leftOut := ""
	if e := w.pick(a.Target / 11); e != nil && a.Target/13%4 == 0 {
		leftOut = w.keyOf(e)
	}
	w.writer.writeAgain(leftOut)
}
