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

// Intervals for reading the configuration through other instances.
const (
	peerProofInterval = 400 * time.Millisecond // between two rounds; well below the bounds, which are seconds
	sharedOutageTTL   = 3 * time.Second        // how long a shared outage is assumed to last after the last round that showed one
)

// proveThroughPeers asks the other instances for the configuration while this instance cannot read
// it from the store. The store may refuse one instance and serve the others, or it may be down for
// all, in which case no newer configuration can be in force anywhere.
//
// With StrictRevoke a revoked key must stop working at every instance within a bound even if the
// store cannot be read, so that answers of others change nothing and are not asked for.
func (n *Instance) proveThroughPeers(ctx context.Context) error {
	if n.Settings.Bounds.StrictRevoke {
		<-ctx.Done()
		return ctx.Err()
	}
	for n.Clock.Sleep(ctx, peerProofInterval) {
		if n.view.Load().Config == nil || !n.configReadStale() {
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

// proofCounts counts the answers of instances that were asked for a proof of the configuration.
type proofCounts struct {
	asked       int
	proved      int
	unavailable int // answered that they cannot read the store
}

// shared reports whether the store seems to be down for all: no instance can read it, and at
// least half of those asked answered so.
func (p proofCounts) shared() bool {
	return p.proved == 0 && p.unavailable > 0 && 2*p.unavailable >= p.asked
}

// askForProof asks instances for the configuration concurrently and sends their answers to the
// state.
func (n *Instance) askForProof(ctx context.Context, instances []topology.Member) proofCounts {
	counts := proofCounts{asked: len(instances)}
	var mu sync.Mutex // guards counts
	var wait sync.WaitGroup
	for _, m := range instances {
		wait.Go(func() {
			err := n.askInstanceForProof(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				counts.proved++
			case hub.IsNotCurrent(err):
				counts.unavailable++
			}
		})
	}
	wait.Wait()
	return counts
}

// askInstanceForProof asks one instance for the configuration and sends its answer to the state.
func (n *Instance) askInstanceForProof(ctx context.Context, m topology.Member) error {
	sent := n.Clock.Now()
	// The highest possible revisions exclude endpoints and instances from the answer, which then
	// has only the configuration and the roll-out orders, of which there are few.
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
