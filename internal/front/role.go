package front

import (
	"context"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Times in which an instance that starts finds out whether it has to follow the
// store. Each call of the store is paid for, and all instances of a large fleet
// may start at once.
const (
	othersListed = 400 * time.Millisecond // after its start, most of those that started with it are registered
	roleKnown    = 600 * time.Millisecond // after its start, it knows the other instances
	roleUnclear  = 3 * time.Second        // after its start, it follows the store whatever it is: no hub seems to help
	rolePoll     = 50 * time.Millisecond
	meetTimeout  = 300 * time.Millisecond // of a listing of the others: a store that is well answers in some 10 ms
)

// meetOthers finds out, at the start, whether the fleet is a large one: then all but
// the hubs get what is in the store from these, and read no more of it than who they
// are. Those that are registered from before, or since long, are seen in a listing that
// may be old; when the whole fleet starts for the first time, the others are listed
// once most are registered. It saves the calls with which each would follow the store
// until it knows its role.
func (n *Instance) meetOthers(ctx context.Context) {
	met, err := n.listOthers(ctx, n.Store.Peek)
	if met || err != nil {
		return // if the store is in trouble, following it copes with that
	}
	if !n.Clock.Sleep(ctx, n.Clock.Until(n.start.Add(othersListed))) {
		return
	}
	_, _ = n.listOthers(ctx, func(ctx context.Context, prefix string) ([]store.Item, error) {
		items, _, err := n.Store.Range(ctx, prefix)
		return items, err
	})
}

// listOthers notes which other instances a listing has, and reports whether there are
// any.
func (n *Instance) listOthers(ctx context.Context, list func(context.Context, string) ([]store.Item, error)) (bool, error) {
	sent := n.Clock.Now()
	call, cancel := context.WithTimeout(ctx, meetTimeout)
	defer cancel()
	items, err := list(call, n.Decoder.OwnPrefix()+keyLive)
	if n.called(sent, err) != nil {
		return false, err // they are listed again when the store is followed
	}
	n.state.send(listedInstances{items: items})
	for end := n.Clock.Now().Add(rolePoll); n.Clock.Now().Before(end); {
		if len(n.state.members.list()) > 0 {
			return true, nil
		}
		if !n.Clock.Sleep(ctx, rolePoll/10) {
			break
		}
	}
	return false, nil
}

// awaitOthers waits, after the start, until most of the instances that started at
// the same moment are registered: one watch then shows them all. It reports false
// when ctx ended before.
func (n *Instance) awaitOthers(ctx context.Context) bool { return n.awaitStart(ctx, othersListed) }

// awaitRole waits, after the start, until this instance knows that it has to
// follow the store itself. It reports false when ctx ended before.
func (n *Instance) awaitRole(ctx context.Context) bool { return n.awaitStart(ctx, roleKnown) }

// awaitStart waits for an age, and longer where hubs read for this instance. A
// hub doesn't wait: the others need it.
func (n *Instance) awaitStart(ctx context.Context, age time.Duration) bool {
	for {
		hubs, since := n.state.members.topology(), n.Clock.Since(n.start)
		if hubs.Reads || since > roleUnclear || since > age && hubs.Direct() {
			return ctx.Err() == nil
		}
		if !n.Clock.Sleep(ctx, rolePoll) {
			return false
		}
	}
}

// mayLead reports whether this instance may compete for the duties: in a large
// fleet only those that read the store do, else each loss of a holder would cost
// calls of all.
func (n *Instance) mayLead() bool {
	known := n.state.members.topology().Reads || n.Clock.Since(n.start) > roleKnown
	return known && n.reading.Load()
}
