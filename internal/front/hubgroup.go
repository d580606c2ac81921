package front

import (
	"maps"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	brittlewire "github.com/shelfcrank/shelfcrank/internal/brittle/wire"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/tally"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// groups holds the reports of a hub's own group and the latest shares of the other hubs. It is
// safe for concurrent use.
type groups struct {
	mu      sync.Mutex
	reports map[string]instanceReport // of its own group, by instance; guarded by mu
	others  map[string]peerGroup      // of the other hubs, by name; guarded by mu
}

// peerGroup is the latest share of another hub.
type peerGroup struct {
	share  *peerpb.Share
	update balance.Update // endpoint and service part of the share, decoded
	at     time.Time
}

// groupTTL is how long the share of another hub is passed on. A hub that sends nothing for longer
// is gone, and its instances report to other hubs.
const groupTTL = 1500 * time.Millisecond

func newGroups() *groups {
	return &groups{reports: make(map[string]instanceReport), others: make(map[string]peerGroup)}
}

// recordReport stores the report of an instance of the group.
func (g *groups) recordReport(from string, r instanceReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[from] = r
}

// recordGroup stores the share of another hub.
func (g *groups) recordGroup(s *peerpb.Share, update balance.Update, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others[s.Node] = peerGroup{s, update, now}
}

// currentReports returns the latest unexpired report of each instance of the group.
func (g *groups) currentReports(now time.Time) map[string]instanceReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.reports, func(_ string, r instanceReport) bool { return now.Sub(r.at) > reportTTL })
	return maps.Clone(g.reports)
}

// currentGroups returns the latest unexpired shares of the other hubs.
func (g *groups) currentGroups(now time.Time) map[string]peerGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.others, func(_ string, h peerGroup) bool { return now.Sub(h.at) > groupTTL })
	return maps.Clone(g.others)
}

// sumReports sums reports into one update, leaving out that of the instance named except.
func sumReports(reports map[string]instanceReport, except string) balance.Update {
	update := balance.Update{Loads: make(map[string]balance.Load), Demand: make(map[string]balance.Demand)}
	for from, r := range reports {
		if from != except {
			addUses(update.Loads, r.uses)
			addDemand(update.Demand, r.demand)
		}
	}
	return update
}

// sumGroup sums the load of this hub and of the instances that report to it, leaving out the
// instance named except.
func (n *Instance) sumGroup(reports map[string]instanceReport, except string, now time.Time) balance.Update {
	sum := sumReports(reports, except)
	addUses(sum.Loads, n.locallyPlacedUses())
	addDemand(sum.Demand, n.tracker.Demand(now))
	return sum
}

// meanRisk returns estimates whose risk, by service, is the mean over this hub and the instances
// that report to it.
func meanRisk(own balance.Estimates, reports map[string]instanceReport) balance.Estimates {
	out := make(balance.Estimates, len(own))
	for name, l := range own {
		sum, n := l.Risk, 1.0
		for _, r := range reports {
			if risk, ok := r.risk[name]; ok {
				sum += risk
				n++
			}
		}
		out[name] = balance.Estimate{Pace: l.Pace, Risk: sum / n}
	}
	return out
}

// source identifies this incarnation of the instance as a source of counts.
func (n *Instance) source() tally.Source {
	return tally.Source{Instance: n.Settings.Name, Incarnation: n.incarnation()}
}

// groupUnits returns the units that this hub's group admitted: those reported to it and its own,
// less those that it reported to other hubs before it became a hub. The caller holds the
// admission's mu.
func (n *Instance) groupUnits() unitCounts {
	a := n.admission
	units := a.counters.units.TotalsFor(n.source(), a.quota.Admitted())
	a.counters.units.Acknowledge(n.source(), units) // keeps a copy of units
	for name, v := range a.counters.reportedUnits.Sum() {
		units[name] += v
	}
	return units
}

// groupRuns returns the number of requests that started to run at this hub's group, counted in
// the same way, for the windows that are not yet reported for good. The caller holds the
// admission's mu.
func (n *Instance) groupRuns() runCounts {
	a := n.admission
	runs := a.counters.runs.TotalsFor(n.source(), n.openRuns())
	a.counters.runs.Acknowledge(n.source(), runs) // keeps a copy of runs
	oldest := n.oldestOpenWindow()
	for key, v := range a.counters.reportedRuns.Sum() {
		if key.window >= oldest {
			runs[key] += v
		}
	}
	return runs
}

// oldestOpenWindow returns the oldest window whose usage may still have to be reported.
func (n *Instance) oldestOpenWindow() int64 {
	return usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow()) - n.usageCatchUpWindows() - 1
}

// openRuns returns this instance's own counts from oldestOpenWindow on. The caller holds the
// admission's mu.
func (n *Instance) openRuns() runCounts {
	oldest := n.oldestOpenWindow()
	runs := runsOf(n.admission.usage.Own())
	maps.DeleteFunc(runs, func(k runKey, _ int64) bool { return k.window < oldest })
	return runs
}

// applyReports applies the sum of the reports to this hub as the update of a single other
// instance.
func (n *Instance) applyReports(now time.Time) {
	reports := n.groups.currentReports(now)
	sum := sumReports(reports, "")
	n.tracker.Apply(groupName(n.Settings.Name), sum, now.Add(minShareTTL), now)
	n.placer.applyGroupLoads(sum.Loads, now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter(now).Apply(quota.Update{
		Instance: groupName(n.Settings.Name), Incarnation: n.incarnation(), Age: now.Sub(oldestStart(reports, now)), Admitted: maps.Clone(a.counters.reportedUnits.Sum()), InstanceCount: len(reports),
	}, now)
}

// oldestStart returns when the instance that has run longest started, of those that sent reports.
func oldestStart(reports map[string]instanceReport, now time.Time) time.Time {
	return lo.MinBy(append(lo.Values(reports), instanceReport{startedAt: now}), func(a, b instanceReport) bool { return a.startedAt.Before(b.startedAt) }).startedAt
}

// groupShare returns the share that this hub sends to the other hubs for its whole group.
func (n *Instance) groupShare(now time.Time) *peerpb.Share {
	reports := n.groups.currentReports(now)
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.InForce(), Group: true, Stands: int64(1 + len(reports)),
		Wall: n.walltime.Uncorrected(now).UnixNano(), ServersAt: int64(n.watchProgress.Newest()), Instances: n.advertisedInstances(now),
	}
	a := n.admission
	a.mu.Lock()
	s.Accounts = accountShares(n.groupUnits(), a.levels(now), n.groupRuns())
	a.mu.Unlock()
	sum := n.sumGroup(reports, "", now)
	s.Rollouts = n.groupRollouts(reports)
	s.Limits = wire.Encode(n.groupLimits(reports, now))
	s.Brittle = brittlewire.Encode(n.brittle.Reports(now))
	s.Servers = useShares(sum.Loads)
	estimates := meanRisk(n.tracker.Estimates(), reports)
	for name, d := range sum.Demand {
		s.Services = append(s.Services, serviceShare(name, d, estimates[name]))
	}
	return s
}

// applyGroup applies another hub's share of its group.
func (n *Instance) applyGroup(s *peerpb.Share, now time.Time) {
	update := updateOf(s)
	n.groups.recordGroup(s, update, now)
	n.applyRollouts(rollctl.AtHub, s, now)
	n.applyUses(s.Node, update, now)
	n.placer.applyLocalLoads(groupName(s.Node), update.Loads, now.Add(max(minShareTTL, shareTTLRounds*n.shareInterval())), now)
	admitted, levels, runs := accountCounts(s.Accounts)
	n.admission.mu.Lock()
	defer n.admission.mu.Unlock()
	n.applyGroupUnits(tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, quota.Update{
		Age: ageOf(s), Admitted: admitted, Levels: levels, WarmedUp: seasoned(s), InstanceCount: int(s.Stands),
	}, now)
	n.admission.counters.usage.Apply(groupName(s.Node), s.Incarnation, windowsOf(runs))
	n.admission.counters.changes.Set(tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, admitted)
}

// applyGroupUnits applies the units that a group admitted. It subtracts the units that this
// instance reported to that hub, which its own limiter has already counted. The caller holds the
// admission's mu.
func (n *Instance) applyGroupUnits(hub tally.Source, update quota.Update, now time.Time) {
	update.Instance, update.Incarnation = groupName(hub.Instance), hub.Incarnation
	if reported := n.admission.counters.units.Acknowledged(hub); len(reported) > 0 {
		update.Admitted = maps.Clone(update.Admitted)
		for name, units := range reported {
			update.Admitted[name] -= units
		}
	}
	n.admission.limiter(now).Apply(update, now)
}
