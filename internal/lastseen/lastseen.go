// Package lastseen records when other instances were last seen.
package lastseen

import (
	"sync"
	"time"
)

// Times records, by name, when other instances were last seen, directly or through a third one. The zero
// value is empty. It is safe for concurrent use.
type Times struct {
	mu sync.Mutex
	at map[string]time.Time // guarded by mu
}

// Record records that an instance was seen at a time. A time before the recorded one is ignored.
func (t *Times) Record(name string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[string]time.Time)
	}
	if at.After(t.at[name]) {
		t.at[name] = at
	}
}

// Get returns when an instance was last seen, the zero time if that is unknown or was dropped.
func (t *Times) Get(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at[name]
}

// DropBefore drops the records from before a time.
func (t *Times) DropBefore(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, at := range t.at {
		if at.Before(before) {
			delete(t.at, name)
		}
	}
}
