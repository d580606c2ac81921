// Package inflight keeps calls to the same target from piling up: one at a time.
package inflight

import "sync"

// Calls are those that are under way, by their target. It is safe for concurrent use;
// what happens between Begin and End of a target happens before its next Begin.
type Calls[K comparable] struct {
	mu   sync.Mutex
	busy map[K]bool // guarded by mu
}

// New returns Calls of which none is under way.
func New[K comparable]() *Calls[K] { return &Calls[K]{busy: make(map[K]bool)} }

// Begin reports whether a call to the target may be made now. If so, End has to follow.
func (c *Calls[K]) Begin(target K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[target] {
		return false
	}
	c.busy[target] = true
	return true
}

// End says that the call has ended.
func (c *Calls[K]) End(target K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, target)
}
