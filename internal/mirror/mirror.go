// Package mirror keeps a copy of a part of the platform's store, with the
// changes of late, so that a few nodes can read the store for all.
//
// Copy is safe for concurrent use.
package mirror

import (
	"sync"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// leastEvents is how many changes a copy remembers at the least; else as many as it has
// items. A reader that is further behind gets all items, which is then less: when a
// fleet starts, more entries change between two questions of a reader than a fixed number.
const leastEvents = 512

// Copy is the copy of what the store has under one prefix.
type Copy struct {
	mu      sync.Mutex
	known   bool                  // a listing was taken; guarded by mu
	items   map[string]store.Item // guarded by mu
	events  []store.Event         // changes after from; guarded by mu
	from    store.Revision        // guarded by mu
	at      store.Revision        // revision up to which the copy is true; guarded by mu
	changed chan struct{}         // closed and made anew with each change; guarded by mu
}

// New returns a copy that knows nothing yet.
func New() *Copy { return &Copy{changed: make(chan struct{})} }

// Change is what a reader of a copy does not know yet.
type Change struct {
	Whole  bool           // Events put all the items there are, instead of the changes
	Events []store.Event  // empty if there is nothing new
	At     store.Revision // where the reader goes on from
}

// Replace takes a listing that is true at a revision.
func (c *Copy) Replace(items []store.Item, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.items = make(map[string]store.Item, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.events, c.from, c.at, c.known = nil, at, at, true
	c.signal()
}

// Apply takes the changes up to a revision.
func (c *Copy) Apply(events []store.Event, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = max(c.at, at)
	if len(events) == 0 || !c.known {
		return
	}
	for _, e := range events {
		if e.Gone {
			delete(c.items, e.Key)
		} else {
			c.items[e.Key] = e.Item
		}
	}
	c.events = append(c.events, events...)
	if n := len(c.events) - max(leastEvents, len(c.items)); n > 0 {
		c.from = c.events[n-1].Revision
		c.events = append([]store.Event(nil), c.events[n:]...)
	}
	c.signal()
}

func (c *Copy) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed with the next change.
func (c *Copy) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns what changed after a revision; after 0 that is all. The second
// result is false while the copy knows nothing.
func (c *Copy) Since(after store.Revision) (Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return Change{}, false
	}
	if after < c.from {
		whole := Change{Whole: true, At: c.at}
		for _, item := range c.items {
			whole.Events = append(whole.Events, store.Event{Item: item})
		}
		return whole, true
	}
	change := Change{At: max(after, c.at)}
	for _, e := range c.events {
		if e.Revision > after {
			change.Events = append(change.Events, e)
		}
	}
	return change, true
}
