package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// Timing of backups of the store and of writes after a restore.
const (
	backupInterval  = 200 * time.Millisecond
	maxBackupAge    = 10 * time.Second
	maxRewriteDelay = 2 * time.Second // from a restore until operators and endpoints repeat their writes
)

// backup is a copy of the store and when it was made.
type backup struct {
	storetest.Backup
	at time.Time
}

// takeBackups copies the store periodically until ctx ends, and drops copies older than
// maxBackupAge.
func (w *world) takeBackups(ctx context.Context) {
	for ctx.Err() == nil {
		b := backup{w.store.Backup(), time.Now()}
		w.mu.Lock()
		w.backups = append(slices.DeleteFunc(w.backups, func(b backup) bool { return time.Since(b.at) > maxBackupAge }), b)
		w.mu.Unlock()
		sleep(ctx, backupInterval)
	}
}

// drawBackup picks a backup to restore and discards all newer ones, which belong to a history that
// the restore undoes. It returns false if there is no backup.
func (w *world) drawBackup(target uint64) (backup, bool) {
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

// writer writes to the store for the operator and the endpoints. It remembers the last value of
// each key, so that writes lost by a restore can be repeated. It is safe for concurrent use.
type writer struct {
	store  *storetest.Store
	outage sync.RWMutex // held for writing during an outage of the store

	mu         sync.Mutex
	lastValues map[string][]byte // by key, nil for a deleted key; guarded by mu
}

func newWriter(s *storetest.Store) *writer {
	return &writer{store: s, lastValues: make(map[string][]byte)}
}

// put writes a key, or deletes it if the value is nil. It blocks during an outage of the store.
func (w *writer) put(key string, value []byte) {
	w.outage.RLock()
	defer w.outage.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastValues[key] = value
	w.store.Put(key, value)
}

// rewriteAll writes the last value of each key again, except for one key. An empty except skips none.
func (w *writer) rewriteAll(except string) {
	for _, key := range w.keys() {
		if key != except {
			w.rewrite(key)
		}
	}
}

// keys returns all keys in any order.
func (w *writer) keys() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Keys(w.lastValues)
}

func (w *writer) rewrite(key string) {
	w.outage.RLock()
	defer w.outage.RUnlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put(key, w.lastValues[key])
}

// restoreStore makes the store unreachable for all, restores it from a backup, and repeats the
// lost writes some time later. In some runs of the fault one endpoint's registration stays lost.
func (r *run) restoreStore(ctx context.Context, a Action) {
	w := r.world
	b, ok := w.drawBackup(a.Target)
	if !ok {
		return
	}
	defer r.record.beginDisruption("", a.Kind, false)()
	w.writer.outage.Lock()
	w.store.SetFaults("", storetest.Faults{Down: true, WatchSilent: true})
	sleep(ctx, a.For)
	w.store.Restore(b.Backup)
	w.store.ClearFaults("")
	w.writer.outage.Unlock()
	sleep(ctx, time.Duration(a.Target/7%uint64(maxRewriteDelay)))
	skipped := ""
	if e := w.pickEndpoint(a.Target / 11); e != nil && a.Target/13%4 == 0 {
		skipped = w.entryKey(e)
	}
	w.writer.rewriteAll(skipped)
}
