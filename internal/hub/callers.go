package hub

import (
	"sync"
	"time"
)

// callerWindow is the time over which callers are counted. It is longer than a long poll.
const callerWindow = time.Second

// Callers counts the instances that read the store through this one. The zero value is ready to use.
// It is safe for concurrent use.
type Callers struct {
	mu               sync.Mutex
	windowEndsAt     time.Time
	current, earlier map[string]struct{} // names seen in this window and the one before; guarded by mu
}

// Record records a call of an instance, and returns the number of instances that called of late.
func (c *Callers) Record(name string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !now.Before(c.windowEndsAt) {
		c.earlier = c.current
		if now.Sub(c.windowEndsAt) > callerWindow {
			c.earlier = nil
		}
		c.current, c.windowEndsAt = make(map[string]struct{}), now.Add(callerWindow)
	}
	c.current[name] = struct{}{}
	return max(len(c.current), len(c.earlier))
}
