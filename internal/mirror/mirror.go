// Package mirror keeps replicas of parts of the platform's store, with their recent changes, so
// that a few instances can read the store on behalf of all.
//
// Replica is safe for concurrent use.
package mirror

import (
	"sync"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// minEvents is the least number of changes that a replica keeps. One with more items keeps as many
// changes as it has items: while a large fleet starts, more entries change between two requests of
// a reader than any fixed number. A reader that is further behind gets all items, which are then
// fewer than the changes.
const minEvents = 512

// Replica is a copy of the items that the store has under one prefix, with their recent changes.
type Replica struct {
	mu          sync.Mutex
	listed      bool                  // Replace was called at least once; guarded by mu
	items       map[string]store.Item // guarded by mu
	events      []store.Event         // all changes after revision eventsAfter; guarded by mu
	eventsAfter store.Revision        // guarded by mu
	revision    store.Revision        // revision of the store that items reflect; guarded by mu
	changed     chan struct{}         // closed and replaced at each change; guarded by mu
}

// New returns a replica that has had no listing yet.
func New() *Replica { return &Replica{changed: make(chan struct{})} }

// Change holds what changed in a replica since the revision that a reader has.
type Change struct {
	Snapshot bool           // Events hold all items instead of the changes; the reader drops every other item
	Events   []store.Event  // empty if nothing changed and Snapshot is false
	At       store.Revision // revision for the reader's next call of Since
}

// Replace replaces all items by a listing made at the revision at.
func (c *Replica) Replace(items []store.Item, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.items = make(map[string]store.Item, len(items))
	for _, item := range items {
		c.items[item.Key] = item
	}
	c.events, c.eventsAfter, c.revision, c.listed = nil, at, at, true
	c.notify()
}

// Apply applies the changes up to the revision at. Changes before the first listing are ignored.
func (c *Replica) Apply(events []store.Event, at store.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, at)
	if len(events) == 0 || !c.listed {
		return
	}
	for _, e := range events {
		if e.Deleted {
			delete(c.items, e.Key)
		} else {
			c.items[e.Key] = e.Item
		}
	}
	c.events = append(c.events, events...)
	if n := len(c.events) - max(minEvents, len(c.items)); n > 0 {
		c.eventsAfter = c.events[n-1].Revision
		c.events = append([]store.Event(nil), c.events[n:]...)
	}
	c.notify()
}

// notify wakes all that wait on Changed. The caller holds mu.
func (c *Replica) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (c *Replica) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns what changed after a revision, or all items if the replica does not keep the
// changes that far back. The second result is false before the first listing.
func (c *Replica) Since(after store.Revision) (Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listed {
		return Change{}, false
	}
	if after < c.eventsAfter {
		snapshot := Change{Snapshot: true, At: c.revision}
		for _, item := range c.items {
			snapshot.Events = append(snapshot.Events, store.Event{Item: item})
		}
		return snapshot, true
	}
	change := Change{At: max(after, c.revision)}
	for _, e := range c.events {
		if e.Revision > after {
			change.Events = append(change.Events, e)
		}
	}
	return change, true
}
