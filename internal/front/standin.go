package front

import (
	"context"
	"time"
)

// Times of reading the store in place of readers that cannot.
const (
	standInKeep = 2 * time.Second        // after the last question an instance goes on reading
	standInWait = 300 * time.Millisecond // that a question is held until this instance knows what is in the store
	standInLook = 20 * time.Millisecond
	// standInFor is how long an instance asks one that stands in before it tries a reader
	// again.
	standInFor = 4 * time.Second
)

// standsIn reports whether this instance was asked of late to read the store in place
// of the readers.
func (n *Node) standsIn(now time.Time) bool { return now.UnixNano() < n.standInUntil.Load() }

// readsForOthers reports whether other instances rely on what this one reads.
func (n *Node) readsForOthers() bool {
	return n.state.members.topology().reads || n.standsIn(time.Now())
}

// untilStandIn returns a context that ends when this instance is asked to read the store
// for others: it may just be waiting for a reader that is dead.
func (n *Node) untilStandIn(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !n.standsIn(time.Now()) {
		select {
		case <-n.standInKick: // from before this instance read the store the last time
		default:
		}
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-n.standInKick:
			cancel()
		}
	}()
	return ctx, cancel
}

// standIn makes this instance read the store for a while. If it begins to, it waits a
// moment until it knows what is there.
func (n *Node) standIn(ctx context.Context, now time.Time) {
	if !n.standsIn(now) {
		n.standInSince.Store(now.UnixNano())
	}
	n.standInUntil.Store(now.Add(standInKeep).UnixNano())
	if !n.reading.Load() {
		select {
		case n.standInKick <- struct{}{}:
		default:
		}
	}
	for latest := time.Unix(0, n.standInSince.Load()).Add(standInWait); time.Now().Before(latest) && !n.hub.knows(time.Now()); {
		if !sleep(ctx, standInLook) {
			return
		}
	}
}
