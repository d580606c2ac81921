package front

import (
	"sync"
	"time"
)

// lastSeen is when other instances were last seen, by themselves or through
// others, by name. It is safe for concurrent use.
type lastSeen struct {
	mu sync.Mutex
	at map[string]time.Time // guarded by mu
}

// note notes that an instance was seen at a time, which may come late.
func (h *lastSeen) note(name string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = make(map[string]time.Time)
	}
	if at.After(h.at[name]) {
		h.at[name] = at
	}
}

// of returns when an instance was last seen, the zero time if that is long ago.
func (h *lastSeen) of(name string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at[name]
}

// forget drops what is from before a time.
func (h *lastSeen) forget(before time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, at := range h.at {
		if at.Before(before) {
			delete(h.at, name)
		}
	}
}
