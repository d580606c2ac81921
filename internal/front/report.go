package front

import (
	"context"
	"fmt"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/tally"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of reports to a hub.
const (
	reportEvery   = 300 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	reporterRests = 800 * time.Millisecond // a hub that did not answer is not reported to
)

// reporter reports what this instance counts to a hub. It belongs to the goroutine
// that shares soft state.
type reporter struct {
	instance *Instance
	runs     map[string]int64     // newest known run of each hub
	rests    map[string]time.Time // hubs that did not answer, until when
}

func newReporter(n *Instance) *reporter {
	return &reporter{instance: n, runs: make(map[string]int64), rests: make(map[string]time.Time)}
}

// report reports to the first hub that answers. After that no other is asked: each
// count belongs to one group.
func (r *reporter) report(ctx context.Context, hubs *topology.Topology) {
	for _, hub := range hubs.Hubs {
		if r.instance.Clock.Now().Before(r.rests[hub.Name]) {
			continue
		}
		if err := r.to(ctx, hub); err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		r.rests[hub.Name] = r.instance.Clock.Now().Add(reporterRests)
	}
}

// to reports to a hub. One that was started anew gets a second report, for its counts
// begin anew as well.
func (r *reporter) to(ctx context.Context, hub topology.Member) error {
	for range 2 {
		run := tally.Source{Instance: hub.Name, Incarnation: r.runs[hub.Name]}
		d, err := r.call(ctx, hub, run)
		if err != nil {
			return err
		}
		if d.Counted {
			return nil
		}
		r.runs[hub.Name] = d.Incarnation
	}
	return fault.New(fault.StepPeer, hub.Name, fault.KindBroken, fault.NotRun, "the hub was started anew twice")
}

// call sends one report, and takes its answer if the hub counted it.
func (r *reporter) call(ctx context.Context, hub topology.Member, run tally.Source) (*peerpb.Digest, error) {
	n := r.instance
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	units, runs := n.offerTo(run)
	rollouts := n.rollouts.OfferTo(run)
	call := &peerpb.Call{Body: &peerpb.Call_Report{Report: &peerpb.Report{
		HubIncarnation: run.Incarnation, Windows: n.reading.Load(), Share: n.reportShare(units, runs, rollouts, r.instance.Clock.Now()),
	}}}
	a, err := n.peers.Call(ctx, hub.Addr, call)
	if err != nil {
		return nil, fmt.Errorf("report to %s: %w", hub.Name, err)
	}
	d := a.GetDigest()
	if d == nil {
		return nil, fault.New(fault.StepPeer, hub.Name, fault.KindBroken, fault.NotRun, "answered with %T", a.Body)
	}
	if d.Counted {
		n.rollouts.Confirmed(run, rollouts)
		n.takeDigest(run, units, runs, d, r.instance.Clock.Now())
	}
	return d, nil
}

// offerTo returns the counts to report to a hub.
func (n *Instance) offerTo(hub tally.Source) (unitCounts, runCounts) {
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counters.units.Offer(hub, a.quota.Admitted()), a.counters.runs.Offer(hub, n.openRuns())
}

// reportShare is what an instance reports to its hub.
func (n *Instance) reportShare(units unitCounts, runs runCounts, rollouts rollout.Counts, now time.Time) *peerpb.Share {
	return &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.Own(), Wall: n.walltime.Own(now).UnixNano(), Instances: n.introduce(),
		Accounts: accountShares(units, nil, runs), Servers: useShares(n.plainUses()),
		Services: n.serviceShares(n.tracker.Demand(now)),
		Rollouts: n.ownRollouts(rollouts),
		Limits:   wire.Encode(n.limits.Reports(now)),
	}
}
