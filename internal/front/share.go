package front

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/inflight"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of the exchange of soft state.
const (
	shareLeast        = 200 * time.Millisecond
	shareForInstance  = 25 * time.Millisecond // added for each node, so that a node's load stays the same as the fleet grows
	shareTimeout      = 600 * time.Millisecond
	broadcastInterval = 15 * time.Millisecond // at the most, uses by long prompts
	shareTTLLeast     = 2 * time.Second       // a node's word counts for so long, or for
	shareTTLRounds    = 3                     // so many exchanges
	silentLeast       = time.Second           // a node that should ask and has not for so long is silent, or for
	silentTimes       = 4                     // so many exchanges
)

// shareState exchanges soft state with the other nodes: in a small fleet with all
// of them, in a large one through the hubs (report.go).
func (n *Instance) shareState(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	x := &exchanges{instance: n, wait: &wait, calls: inflight.New[string]()}
	r := newReporter(n)
	for {
		if !n.sleepOrResume(ctx, n.sharePause(n.Clock.Now())) {
			return ctx.Err()
		}
		switch hubs := n.state.members.topology(); {
		case len(hubs.Hubs) == 0:
			x.with(ctx, membersOf(n.state.members.list()))
		case hubs.Self:
			n.applyReports(n.Clock.Now())
			x.with(ctx, hubs.Hubs)
		default:
			r.report(ctx, hubs)
		}
	}
}

// exchanges are the exchanges that are under way.
type exchanges struct {
	instance *Instance
	wait     *sync.WaitGroup
	calls    *inflight.Calls[string] // by name of the other node
}

// asks reports whether this node is to ask another one. Of two nodes the one with the
// lower name asks, and is answered in kind. One that is silent is asked by both: the
// other may not know of this node, as its registration ended while the other started.
func (n *Instance) asks(other string, now time.Time) bool {
	switch cmp.Compare(n.Settings.Name, other) {
	case 0:
		return false // a hub is in the list of hubs
	case -1:
		return true
	}
	heardAt := n.state.members.seenAt.of(other)
	if heardAt.Before(n.start) {
		heardAt = n.start
	}
	return now.Sub(heardAt) > max(silentLeast, silentTimes*n.shareEvery())
}

// with exchanges soft state with other nodes, and does not wait for them.
func (x *exchanges) with(ctx context.Context, others []topology.Member) {
	if len(others) == 0 {
		return
	}
	mine := x.instance.share()
	for _, other := range others {
		if !x.instance.asks(other.Name, x.instance.Clock.Now()) || !x.calls.Begin(other.Name) {
			continue
		}
		x.wait.Go(func() {
			x.instance.exchange(ctx, other, mine)
			x.calls.End(other.Name)
		})
	}
}

// shareEvery is the time between two exchanges with each node that this one speaks
// to: all others in a small fleet, the other hubs for a hub, or its hub.
func (n *Instance) shareEvery() time.Duration {
	hubs := n.state.members.topology()
	if len(hubs.Hubs) > 0 && !hubs.Self {
		return reportEvery
	}
	others := len(n.state.members.list())
	if hubs.Self {
		others = len(hubs.Hubs) - 1
	}
	return exchangeEvery(others)
}

// exchangeEvery is the time between two exchanges of a pair where each node speaks to so
// many others.
func exchangeEvery(others int) time.Duration {
	return max(shareLeast, time.Duration(others)*shareForInstance)
}

// propagation is the time in which all nodes know what one of them counted, delays of
// the network apart.
func (n *Instance) propagation() time.Duration {
	hubs := len(n.state.members.topology().Hubs)
	if hubs == 0 {
		return n.shareEvery()
	}
	return exchangeEvery(hubs-1) + 2*reportEvery
}

// sharePause is the time until the next round of exchanges. A node that has just
// started knows nothing of the others and begins with short ones.
func (n *Instance) sharePause(now time.Time) time.Duration {
	return min(n.shareEvery(), shareLeast+now.Sub(n.start))
}

// broadcastUses sends the uses to the other nodes at once when a long prompt went to a
// server: requests come in clumps, and nodes that decide at the same moment
// would all choose the same server.
func (n *Instance) broadcastUses(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for kicked(ctx, n.tracker.LongPrompts()) {
		if !n.grouped() {
			mine := &peerpb.Share{Node: n.Settings.Name, Incarnation: n.incarnation(), Brief: true, Servers: useShares(n.tracker.Uses())}
			for _, other := range n.state.members.list() {
				wait.Go(func() { n.exchange(ctx, other.Member, mine) })
			}
		}
		n.Clock.Sleep(ctx, broadcastInterval)
	}
	return ctx.Err()
}

func (n *Instance) exchange(ctx context.Context, other topology.Member, mine *peerpb.Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	a, err := n.peers.Call(ctx, other.Addr, &peerpb.Call{Body: &peerpb.Call_Share{Share: mine}})
	if err != nil {
		return // the member's age says so
	}
	if s := a.GetShare(); s != nil {
		n.applyShare(s)
	}
}

// serveShare takes another node's soft state and answers in kind.
func (n *Instance) serveShare(s *peerpb.Share, answer func(*peerpb.Answer) error) error {
	n.applyShare(s)
	if s.Brief {
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Share{Share: n.share()}})
}

// share is what this node sends to those it exchanges with.
func (n *Instance) share() *peerpb.Share {
	if n.state.members.topology().Self {
		return n.groupShare(n.Clock.Now())
	}
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.Own(),
		Wall: n.walltime.Own(n.Clock.Now()).UnixNano(), ServersAt: int64(n.watchProgress.Newest()), Instances: n.advertisedInstances(n.Clock.Now()),
	}
	a := n.admission
	a.mu.Lock()
	s.Accounts = accountShares(a.quota.Admitted(), a.levels(n.Clock.Now()), runsOf(a.usage.Own()))
	a.mu.Unlock()
	s.Servers = useShares(n.tracker.Uses())
	s.Services = n.serviceShares(n.tracker.Demand(n.Clock.Now()))
	s.Rollouts = n.ownRollouts(n.rollouts.Own())
	s.Limits = wire.Encode(n.limits.Reports(n.Clock.Now()))
	return s
}

// applyShare takes the share of another node. Counts are taken from nodes that see the
// fleet as this one does: all from all, or hubs from hubs.
func (n *Instance) applyShare(s *peerpb.Share) {
	now := n.Clock.Now()
	n.state.members.seen(s.Node, now)
	n.applyInstances(s.Node, s.Instances, now)
	n.suspects.met(s.Node, s.Incarnation)
	n.limits.Apply(wire.Decode(s.Limits), now)
	n.versions.Advertised(s.Node, s.ConfigVersion, now)
	if !s.Brief {
		n.applyEndpointsAt(s.Node, store.Revision(s.ServersAt), now)
		n.applyClock(s.Node, s.Wall, now)
	}
	hubs := n.state.members.topology()
	switch {
	case s.Group && hubs.Self:
		n.applyGroup(s, now)
	case !s.Group && len(hubs.Hubs) == 0:
		n.applyPeer(s, now)
	}
}

// applyEndpointsAt begins the own watches anew if another node knows of changes of servers
// that this one has not seen for long.
func (n *Instance) applyEndpointsAt(from string, serversAt store.Revision, now time.Time) {
	if n.watchProgress.Behind(serversAt, now) {
		n.event(event.WatchSilent, zap.String("peer", from), zap.Inline(serversAt))
		n.rewatch()
	}
}

func (n *Instance) applyClock(from string, wall int64, now time.Time) {
	if c := n.walltime.Apply(from, time.Unix(0, wall), now); c != 0 {
		n.event(event.ClockCorrected, zap.Duration("by", c), zap.String("peer", from))
	}
}

// applyPeer takes what a node of a small fleet counted.
func (n *Instance) applyPeer(s *peerpb.Share, now time.Time) {
	n.applyUses(s.Node, updateOf(s), now)
	if s.Brief {
		return
	}
	n.applyRollouts(rollctl.Peers, s, now)
	admitted, levels, runs := accountCounts(s.Accounts)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Apply(quota.Update{
		Instance: s.Node, Incarnation: s.Incarnation, Seasoned: seasoned(s), Admitted: admitted, Levels: levels,
	}, now)
	a.usage.Apply(s.Node, s.Incarnation, windowsOf(runs))
}

func (n *Instance) applyUses(from string, news balance.Update, now time.Time) {
	n.tracker.Apply(from, news, now.Add(max(shareTTLLeast, shareTTLRounds*n.shareEvery())), now)
}
