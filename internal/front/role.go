package front

import (
	"context"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Times, counted from the start of an instance, by which it determines whether it has to follow
// the store itself. The platform charges for each call of the store, and all instances of a large
// fleet may start at once.
const (
	peersRegisteredBy = 400 * time.Millisecond // most instances that started at the same time are registered
	roleKnownBy       = 600 * time.Millisecond // the other instances are known
	roleUnknownLimit  = 3 * time.Second        // the store is followed whatever the role, as no hub seems to answer
	rolePollInterval  = 50 * time.Millisecond
	discoverTimeout   = 300 * time.Millisecond // for a listing of the others; a healthy store answers within about 10 ms
)

// discoverPeers determines at the start whether the fleet is large. In a large fleet all but the
// hubs read the store through these, and the only part that they read directly is the list of
// instances. Instances that have been registered for a while are found by a cheap listing, which
// may be stale; if the whole fleet starts for the first time, the others are listed again once
// most are registered. This saves the calls by which each instance would follow the store until it
// knows its role.
func (n *Instance) discoverPeers(ctx context.Context) {
	found, err := n.listPeers(ctx, n.Store.Peek)
	if found || err != nil {
		return // following the store handles its failures
	}
	if !n.Clock.Sleep(ctx, n.Clock.Until(n.start.Add(peersRegisteredBy))) {
		return
	}
	_, _ = n.listPeers(ctx, func(ctx context.Context, prefix string) ([]store.Item, error) {
		items, _, err := n.Store.Range(ctx, prefix)
		return items, err
	})
}

// listPeers lists the other instances, sends them to the state and reports whether there are any.
func (n *Instance) listPeers(ctx context.Context, list func(context.Context, string) ([]store.Item, error)) (bool, error) {
	sent := n.Clock.Now()
	call, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	items, err := list(call, n.Decoder.OwnPrefix()+keyLive)
	if n.recordStoreCall(sent, err) != nil {
		return false, err // following the store lists them again
	}
	n.state.send(listedInstances{items: items})
	for end := n.Clock.Now().Add(rolePollInterval); n.Clock.Now().Before(end); {
		if len(n.state.members.list()) > 0 {
			return true, nil
		}
		if !n.Clock.Sleep(ctx, rolePollInterval/10) {
			break
		}
	}
	return false, nil
}

// awaitPeers waits until most of the instances that started at the same time are registered, so
// that one watch call returns them all. It reports false if ctx ended first.
func (n *Instance) awaitPeers(ctx context.Context) bool { return n.awaitAge(ctx, peersRegisteredBy) }

// awaitRole waits after the start until this instance knows that it has to follow the store
// itself. It reports false if ctx ended first.
func (n *Instance) awaitRole(ctx context.Context) bool { return n.awaitAge(ctx, roleKnownBy) }

// awaitAge waits until this instance has run for age, and longer while hubs read the store for it.
// A reader does not wait, as others rely on it. It reports false if ctx ended first.
func (n *Instance) awaitAge(ctx context.Context, age time.Duration) bool {
	for {
		hubs, since := n.state.members.topology(), n.Clock.Since(n.start)
		if hubs.IsReader || since > roleUnknownLimit || since > age && hubs.ReadsStore() {
			return ctx.Err() == nil
		}
		if !n.Clock.Sleep(ctx, rolePollInterval) {
			return false
		}
	}
}

// mayLead reports whether this instance may compete for leadership. In a large fleet only
// instances that read the store do, because each loss of a leader would else cost store calls of
// all instances.
func (n *Instance) mayLead() bool {
	known := n.state.members.topology().IsReader || n.Clock.Since(n.start) > roleKnownBy
	return known && n.reading.Load()
}
