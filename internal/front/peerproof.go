package front

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/hub"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of asking the other instances for the configuration.
const (
	peerProofEvery = 400 * time.Millisecond // between two rounds; the bounds are seconds
	outageFor      = 3 * time.Second        // that the store counts as down for all after the last round that showed it
)

// proveThroughPeers asks the other instances for the configuration while this instance
// cannot read it from the store. The store may turn one instance away and serve the
// others; or it is down for all, and then nothing new can be in force anywhere.
//
// Where a key that is taken away must end at every instance within a bound, that
// bound holds whatever the others say, and nothing is asked.
func (n *Instance) proveThroughPeers(ctx context.Context) error {
	if n.Settings.Bounds.StrictRevoke {
		<-ctx.Done()
		return ctx.Err()
	}
	for n.Clock.Sleep(ctx, peerProofEvery) {
		if n.view.Load().Config == nil || !n.storeTroubled() {
			continue
		}
		asked := n.Clock.Now()
		if n.askForProof(ctx, n.readers()).shared() {
			n.state.send(sharedOutage{at: asked})
		}
	}
	return ctx.Err()
}

// readers returns the other instances that read the store.
func (n *Instance) readers() []topology.Member {
	hubs := n.state.members.topology()
	if len(hubs.Hubs) == 0 {
		return membersOf(n.state.members.list())
	}
	return lo.Filter(hubs.Readers, func(m topology.Member, _ int) bool { return m.Name != n.Settings.Name })
}

// proofs counts the answers of instances that were asked for a proof.
type proofs struct {
	asked   int
	proved  int
	without int // said that they cannot read the store
}

// shared reports whether the store is down for all, as far as can be known: no
// instance can read it, and most of them said so.
func (p proofs) shared() bool { return p.proved == 0 && p.without > 0 && 2*p.without >= p.asked }

// askForProof asks instances for the configuration, all at once, and hands what
// they know to the state.
func (n *Instance) askForProof(ctx context.Context, nodes []topology.Member) proofs {
	counts := proofs{asked: len(nodes)}
	var mu sync.Mutex // guards counts
	var wait sync.WaitGroup
	for _, m := range nodes {
		wait.Go(func() {
			err := n.askInstanceForProof(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				counts.proved++
			case hub.SaysUnknown(err):
				counts.without++
			}
		})
	}
	wait.Wait()
	return counts
}

// askInstanceForProof asks one instance.
func (n *Instance) askInstanceForProof(ctx context.Context, m topology.Member) error {
	sent := n.Clock.Now()
	// Only the configuration is asked for, and the orders, of which there are few: no entry
	// is newer than these.
	a, err := n.askMirror(ctx, m, &peerpb.Mirror{Config: n.revision.Load(), Servers: math.MaxInt64, Nodes: math.MaxInt64})
	if err != nil {
		return err
	}
	read, err := mirroredConfig(a, sent)
	if err != nil {
		return err
	}
	read.byPeer = true
	n.state.send(mirroredOrders(a.Orders))
	n.state.send(read)
	return nil
}
