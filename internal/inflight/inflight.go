// Package inflight limits calls to one at a time for each target, so that they do not pile up.
package inflight

import "sync"

// Calls is the set of calls in progress, by target. It is safe for concurrent use; what happens
// between Begin and End of a target happens before its next Begin.
type Calls[K comparable] struct {
	mu   sync.Mutex
	busy map[K]bool // guarded by mu
}

// New returns an empty set.
func New[K comparable]() *Calls[K] { return &Calls[K]{busy: make(map[K]bool)} }

// Begin reports whether a call to the target may start. If so, the caller has to call End.
func (c *Calls[K]) Begin(target K) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[target] {
		return false
	}
	c.busy[target] = true
	return true
}

// End removes the call to the target.
func (c *Calls[K]) End(target K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, target)
}
