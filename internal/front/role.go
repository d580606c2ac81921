package front

import (
	"context"
	"time"
)

// Times in which an instance that starts finds out whether it has to follow the
// store. Each call of the store is paid for, and all instances of a large fleet
// may start at once: 77 were seen to start within 0.2 s, and a registration takes
// some 10 ms.
const (
	othersListed = 400 * time.Millisecond // after its start, most of those that started with it are registered
	roleKnown    = 600 * time.Millisecond // after its start, it knows the other instances
	roleUnclear  = 3 * time.Second        // after its start, it follows the store whatever it is: no hub seems to help
	rolePoll     = 50 * time.Millisecond
)

// awaitOthers waits, after the start, until most of the instances that started at
// the same moment are registered: one watch then tells them all. It reports false
// when ctx ended before.
func (n *Node) awaitOthers(ctx context.Context) bool { return n.awaitStart(ctx, othersListed) }

// awaitRole waits, after the start, until this instance knows that it has to
// follow the store itself. It reports false when ctx ended before.
func (n *Node) awaitRole(ctx context.Context) bool { return n.awaitStart(ctx, roleKnown) }

// awaitStart waits for an age, and longer where hubs read for this instance. A
// hub doesn't wait: the others need it.
func (n *Node) awaitStart(ctx context.Context, age time.Duration) bool {
	for {
		hubs, since := n.state.members.topology(), time.Since(n.start)
		if hubs.self || since > roleUnclear || since > age && hubs.direct() {
			return ctx.Err() == nil
		}
		if !sleep(ctx, rolePoll) {
			return false
		}
	}
}

// mayLead reports whether this instance may compete for the duties: in a large
// fleet only those that read the store do, else each loss of a holder would cost
// calls of all.
func (n *Node) mayLead() bool {
	known := n.state.members.topology().self || time.Since(n.start) > roleKnown
	return known && n.reading.Load()
}
