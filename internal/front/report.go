package front

import (
	"context"
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/tally"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Intervals and time-outs for reports to a hub.
const (
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 400 * time.Millisecond
	// levelsNeededFor is the age up to which an instance takes over levels of buckets.
	levelsNeededFor = 10 * quota.WarmUp
	hubRetryDelay   = 800 * time.Millisecond // how long no report is sent to a hub that did not answer
)

// reporter reports this instance's counts to a hub. It is owned by the goroutine that runs
// shareState.
type reporter struct {
	instance     *Instance
	incarnations map[string]int64     // latest known incarnation of each hub
	retryAt      map[string]time.Time // when to try hubs again that did not answer
	digest       digestCounts
}

func newReporter(n *Instance) *reporter {
	return &reporter{instance: n, incarnations: make(map[string]int64), retryAt: make(map[string]time.Time)}
}

// report reports to the first hub that answers, and to no other, so that each count belongs to one
// group.
func (r *reporter) report(ctx context.Context, hubs *topology.Topology) {
	for _, hub := range hubs.Hubs {
		if r.instance.Clock.Now().Before(r.retryAt[hub.Name]) {
			continue
		}
		if err := r.reportTo(ctx, hub); err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.retryAt[hub.Name] = r.instance.Clock.Now().Add(hubRetryDelay)
	}
}

// reportTo reports to a hub. A hub that has restarted is sent a second report with all counts,
// because it has none from before.
func (r *reporter) reportTo(ctx context.Context, hub topology.Member) error {
	for range 2 {
		target := tally.Source{Instance: hub.Name, Incarnation: r.incarnations[hub.Name]}
		d, err := r.send(ctx, hub, target)
		if err != nil {
			return err
		}
		if d.Counted {
			return nil
		}
		r.incarnations[hub.Name] = d.Incarnation
	}
	return fault.New(fault.StepPeer, hub.Name, fault.KindBroken, fault.NotRun, "the hub restarted twice during a report")
}

// send sends one report, and applies the digest in the answer if the hub counted the report.
func (r *reporter) send(ctx context.Context, hub topology.Member, target tally.Source) (*peerpb.Digest, error) {
	n := r.instance
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	units, runs := n.offerTo(target)
	rollouts := n.rollouts.OfferTo(target)
	call := &peerpb.Call{Body: &peerpb.Call_Report{Report: &peerpb.Report{
		HubIncarnation: target.Incarnation, Digest: r.digest.versionOf(target), NoLevels: n.Clock.Since(n.start) > levelsNeededFor, Windows: n.needsUsage(), Share: n.reportShare(units, runs, rollouts, r.instance.Clock.Now()),
	}}}
	a, err := n.peers.Call(ctx, hub.Addr, call)
	if err != nil {
		return nil, fmt.Errorf("report to %s: %w", hub.Name, err)
	}
	d := a.GetDigest()
	if d == nil {
		return nil, fault.New(fault.StepPeer, hub.Name, fault.KindBroken, fault.NotRun, "unexpected answer type %T", a.Body)
	}
	if d.Counted && r.digest.apply(target, d) {
		n.rollouts.Confirmed(target, rollouts)
		n.applyDigest(target, r.digest.units, units, runs, d, r.instance.Clock.Now())
	}
	return d, nil
}

// needsUsage reports whether this instance has to know the usage of all instances: as the leader, which
// reports it, or as one that may become the leader.
func (n *Instance) needsUsage() bool {
	_, _, leads := n.elector.Token(n.Clock.Now())
	return leads || n.reading.Load()
}

// offerTo returns the counts to report to a hub.
func (n *Instance) offerTo(hub tally.Source) (unitCounts, runCounts) {
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters.units.TotalsFor(hub, a.quota.Admitted()), a.counters.runs.TotalsFor(hub, n.openRuns())
}

// reportShare returns the share in a report to a hub.
func (n *Instance) reportShare(units unitCounts, runs runCounts, rollouts rollout.Counts, now time.Time) *peerpb.Share {
	return &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.InForce(), Wall: n.walltime.Uncorrected(now).UnixNano(), Instances: n.selfIfUnregistered(),
		Accounts: accountShares(units, nil, runs), Servers: useShares(n.locallyPlacedUses()),
		Services: n.serviceShares(n.tracker.Demand(now)),
		Rollouts: n.ownRollouts(rollouts),
		Limits:   wire.Encode(n.limits.Reports(now)),
	}
}
