package front

import (
	"cmp"
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	brittlewire "github.com/shelfcrank/shelfcrank/internal/brittle/wire"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/inflight"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Intervals and time-outs of the exchange of soft state.
const (
	minShareInterval         = 200 * time.Millisecond
	shareIntervalPerInstance = 25 * time.Millisecond // interval for each other instance, so that an instance's load does not grow with the fleet
	shareTimeout             = 600 * time.Millisecond
	broadcastInterval        = 15 * time.Millisecond // minimum interval between broadcasts of uses by long prompts
	minShareTTL              = 2 * time.Second       // a share is valid for this long, or if that is longer
	shareTTLRounds           = 3                     // for this many exchange intervals
	minSilence               = time.Second           // an instance that should initiate exchanges is silent after this long without one, or if that is longer
	silenceRounds            = 4                     // after this many exchange intervals
)

// shareState exchanges soft state with the other instances: in a small fleet with all of them, in
// a large one through the hubs (report.go).
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
			x.start(ctx, membersOf(n.state.members.list()))
		case hubs.IsHub:
			n.applyReports(n.Clock.Now())
			x.start(ctx, hubs.Hubs)
		default:
			r.report(ctx, hubs)
		}
	}
}

// exchanges tracks the exchanges in flight, of which there is at most one with each instance.
type exchanges struct {
	instance *Instance
	wait     *sync.WaitGroup
	calls    *inflight.Calls[string] // by name of the other instance
}

// initiatesWith reports whether this instance initiates the exchanges with another one. Of a pair
// the instance with the lower name does, and gets the other's share in the answer. With an
// instance that is silent both do: the other may not know of this instance, whose registration
// may have expired before the other started.
func (n *Instance) initiatesWith(other string, now time.Time) bool {
	switch cmp.Compare(n.Settings.Name, other) {
	case 0:
		return false // this instance itself, which is in the list of hubs if it is one
	case -1:
		return true
	}
	seenAt := n.state.members.seenAt.Get(other)
	if seenAt.Before(n.start) {
		seenAt = n.start
	}
	return now.Sub(seenAt) > max(minSilence, silenceRounds*n.shareInterval())
}

// start starts exchanges of soft state with other instances and does not wait for them.
func (x *exchanges) start(ctx context.Context, others []topology.Member) {
	if len(others) == 0 {
		return
	}
	own := x.instance.share()
	for _, other := range others {
		if !x.instance.initiatesWith(other.Name, x.instance.Clock.Now()) || !x.calls.Begin(other.Name) {
			continue
		}
		x.wait.Go(func() {
			x.instance.exchange(ctx, other, own)
			x.calls.End(other.Name)
		})
	}
}

// shareInterval returns the time between two exchanges with the same instance: any other in a small
// fleet; in a large one, another hub for a hub, and its hub for other instances.
func (n *Instance) shareInterval() time.Duration {
	hubs := n.state.members.topology()
	if len(hubs.Hubs) > 0 && !hubs.IsHub {
		return reportInterval
	}
	others := len(n.state.members.list())
	if hubs.IsHub {
		others = len(hubs.Hubs) - 1
	}
	return exchangeInterval(others)
}

// exchangeInterval returns the time between two exchanges of a pair where each instance exchanges
// with the given number of others.
func exchangeInterval(others int) time.Duration {
	return max(minShareInterval, time.Duration(others)*shareIntervalPerInstance)
}

// propagation returns the time within which the counts of one instance reach all others, without
// network delays.
func (n *Instance) propagation() time.Duration {
	hubs := len(n.state.members.topology().Hubs)
	if hubs == 0 {
		return n.shareInterval()
	}
	return exchangeInterval(hubs-1) + 2*reportInterval
}

// sharePause returns the time until the next round of exchanges. An instance that has just started
// has no state of the others and begins with short intervals.
func (n *Instance) sharePause(now time.Time) time.Duration {
	return min(n.shareInterval(), minShareInterval+now.Sub(n.start))
}

// broadcastUses sends the uses of endpoints to the other instances as soon as a long prompt was
// sent to an endpoint. Requests come in bursts, and instances that place them at the same time
// would otherwise all choose the same endpoint.
func (n *Instance) broadcastUses(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for awaitSignal(ctx, n.tracker.LongPrompts()) {
		if !n.grouped() {
			own := &peerpb.Share{Node: n.Settings.Name, Incarnation: n.incarnation(), Brief: true, Servers: useShares(n.tracker.Loads())}
			for _, other := range n.state.members.list() {
				wait.Go(func() { n.exchange(ctx, other.Member, own) })
			}
		}
		n.Clock.Sleep(ctx, broadcastInterval)
	}
	return ctx.Err()
}

func (n *Instance) exchange(ctx context.Context, other topology.Member, own *peerpb.Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	a, err := n.peers.Call(ctx, other.Addr, &peerpb.Call{Body: &peerpb.Call_Share{Share: own}})
	if err != nil {
		return // failures show in the time since the member was last seen
	}
	if s := a.GetShare(); s != nil {
		n.applyShare(s)
	}
}

// serveShare applies another instance's share and answers with this instance's own.
func (n *Instance) serveShare(s *peerpb.Share, answer func(*peerpb.Answer) error) error {
	n.applyShare(s)
	if s.Brief {
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Share{Share: n.share()}})
}

// share returns the share that this instance sends in exchanges.
func (n *Instance) share() *peerpb.Share {
	if n.state.members.topology().IsHub {
		return n.groupShare(n.Clock.Now())
	}
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.InForce(),
		Wall: n.walltime.Uncorrected(n.Clock.Now()).UnixNano(), ServersAt: int64(n.watchProgress.Newest()), Instances: n.advertisedInstances(n.Clock.Now()),
	}
	a := n.admission
	a.mu.Lock()
	s.Accounts = accountShares(a.quota.Admitted(), a.levels(n.Clock.Now()), runsOf(a.usage.Own()))
	a.mu.Unlock()
	s.Servers = useShares(n.tracker.Loads())
	s.Services = n.serviceShares(n.tracker.Demand(n.Clock.Now()))
	s.Rollouts = n.ownRollouts(n.rollouts.OwnCounts())
	s.Limits = wire.Encode(n.limits.Reports(n.Clock.Now()))
	s.Brittle = brittlewire.Encode(n.brittle.Reports(n.Clock.Now()))
	return s
}

// applyShare applies the share of another instance. Counts are applied only from instances that
// see the same size of fleet as this one: all from all in a small fleet, or hubs from hubs in a
// large one.
func (n *Instance) applyShare(s *peerpb.Share) {
	now := n.Clock.Now()
	n.state.members.markSeen(s.Node, now)
	n.applyInstances(s.Node, s.Instances, now)
	n.suspects.syncPeer(s.Node, s.Incarnation)
	n.limits.Apply(wire.Decode(s.Limits), now)
	n.brittle.Apply(brittlewire.Decode(s.Brittle), now)
	n.versions.RecordAdvertised(s.Node, s.ConfigVersion, now)
	if !s.Brief {
		n.restartWatchesIfBehind(s.Node, store.Revision(s.ServersAt), now)
		n.applyClock(s.Node, s.Wall, now)
	}
	hubs := n.state.members.topology()
	switch {
	case s.Group && hubs.IsHub:
		n.applyGroup(s, now)
	case !s.Group && len(hubs.Hubs) == 0:
		n.applyPeer(s, now)
	}
}

// restartWatchesIfBehind restarts the watches if another instance has long seen changes of endpoints
// that this one has not.
func (n *Instance) restartWatchesIfBehind(from string, serversAt store.Revision, now time.Time) {
	if n.watchProgress.Stalled(serversAt, now) {
		n.event(event.WatchMissedChange, zap.String("peer", from), zap.Inline(serversAt))
		n.restartWatches()
	}
}

func (n *Instance) applyClock(from string, wall int64, now time.Time) {
	if c := n.walltime.AddSample(from, time.Unix(0, wall), now); c != 0 {
		n.event(event.ClockCorrected, zap.Duration("by", c), zap.String("peer", from))
	}
}

// applyPeer applies the counts of another instance of a small fleet.
func (n *Instance) applyPeer(s *peerpb.Share, now time.Time) {
	n.applyUses(s.Node, updateOf(s), now)
	if s.Brief {
		return
	}
	n.applyRollouts(rollctl.AllToAll, s, now)
	admitted, levels, runs := accountCounts(s.Accounts)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter(now).Apply(quota.Update{
		Instance: s.Node, Incarnation: s.Incarnation, Age: ageOf(s), WarmedUp: seasoned(s), Admitted: admitted, Levels: levels,
	}, now)
	a.usage.Apply(s.Node, s.Incarnation, windowsOf(runs))
}

func (n *Instance) applyUses(from string, update balance.Update, now time.Time) {
	n.tracker.Apply(from, update, now.Add(max(minShareTTL, shareTTLRounds*n.shareInterval())), now)
}
