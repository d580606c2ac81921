package front

import (
	"sync"
	"time"
)

// lastSeen records, by name, when other instances were last seen, directly or through a third
// one. It is safe for concurrent use.
type lastSeen struct {
	mu sync.Mutex
	at map[string]time.Time // guarded by mu
}

// record records that an instance was seen at a time. A time before the recorded one is ignored.
func (h *lastSeen) record(name string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = make(map[string]time.Time)
	}
	if at.After(h.at[name]) {
		h.at[name] = at
	}
}

// get returns when an instance was last seen, the zero time if that is unknown or was dropped.
func (h *lastSeen) get(name string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at[name]
}

// dropBefore drops the records from before a time.
func (h *lastSeen) dropBefore(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, at := range h.at {
		if at.Before(before) {
			delete(h.at, name)
		}
	}
}
