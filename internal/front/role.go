package front

import (
	"context"
	"time"
)

// roleKnownBy is the age of an instance at which it knows the others that started with it.
const roleKnownBy = 600 * time.Millisecond

// awaitPeers waits until most of the instances that started at the same time are registered, so
// that one watch call returns them all. It reports false if ctx ended first.
func (n *Instance) awaitPeers(ctx context.Context) bool {
	return n.Clock.Sleep(ctx, n.Clock.Until(n.start.Add(fleetKnownBy)))
}

// mayLead reports whether this instance may compete for leadership. In a large fleet only
// instances that read the store do, because each loss of a leader would else cost store calls of
// all instances.
func (n *Instance) mayLead() bool {
	known := n.state.members.topology().IsReader || n.Clock.Since(n.start) > roleKnownBy
	return known && n.reading.Load()
}
