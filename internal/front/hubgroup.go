package front

import (
	"maps"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/tally"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// groups is what a hub knows of its own group and of the other hubs' groups. It is
// safe for concurrent use.
type groups struct {
	mu      sync.Mutex
	reports map[string]reported  // of its own group, by instance; guarded by mu
	others  map[string]peerGroup // of the other hubs, by name; guarded by mu
}

// peerGroup is what another hub last sent.
type peerGroup struct {
	share  *peerpb.Share
	update balance.Update // of servers and services, from the share
	at     time.Time
}

// groupCounts is how long the word of another hub is passed on. A hub that is silent
// for longer is gone, and its instances report elsewhere.
const groupCounts = 1500 * time.Millisecond

func newGroups() *groups {
	return &groups{reports: make(map[string]reported), others: make(map[string]peerGroup)}
}

// reported notes a report.
func (g *groups) reported(from string, r reported) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[from] = r
}

// apply notes what another hub sends.
func (g *groups) apply(s *peerpb.Share, news balance.Update, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others[s.Node] = peerGroup{s, news, now}
}

// own returns the newest report of each instance of the group.
func (g *groups) own(now time.Time) map[string]reported {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.reports, func(_ string, r reported) bool { return now.Sub(r.at) > reportCounts })
	return maps.Clone(g.reports)
}

// known returns what the other hubs sent.
func (g *groups) known(now time.Time) map[string]peerGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.others, func(_ string, h peerGroup) bool { return now.Sub(h.at) > groupCounts })
	return maps.Clone(g.others)
}

// reportUpdate sums reports as an update of one node, but for that of one instance.
func reportUpdate(reports map[string]reported, but string) balance.Update {
	news := balance.Update{Uses: make(map[string]balance.Use), Demand: make(map[string]balance.Demand)}
	for from, r := range reports {
		if from != but {
			addUses(news.Uses, r.uses)
			addDemand(news.Demand, r.demand)
		}
	}
	return news
}

// groupUpdate sums what this hub and the instances that report to it are doing, but for one
// of these.
func (n *Instance) groupUpdate(reports map[string]reported, but string, now time.Time) balance.Update {
	sum := reportUpdate(reports, but)
	addUses(sum.Uses, n.plainUses())
	addDemand(sum.Demand, n.tracker.Demand(now))
	return sum
}

// meanRisk returns, by service, the mean of what a node and the instances that
// report to it found.
func meanRisk(own balance.Estimates, reports map[string]reported) balance.Estimates {
	out := make(balance.Estimates, len(own))
	for name, l := range own {
		sum, n := l.Risk, 1.0
		for _, r := range reports {
			if risk, told := r.risk[name]; told {
				sum += risk
				n++
			}
		}
		out[name] = balance.Estimate{Pace: l.Pace, Risk: sum / n}
	}
	return out
}

// run returns this run of the instance as a source of counts.
func (n *Instance) run() tally.Source {
	return tally.Source{Instance: n.Settings.Name, Incarnation: n.incarnation()}
}

// groupUnits returns the units that this hub's group admitted: what was reported, and
// its own but for what it reported to other hubs before it became one. The caller holds the
// admission's mu.
func (n *Instance) groupUnits() unitCounts {
	a := n.admission
	units := a.counters.units.Offer(n.run(), a.quota.Admitted())
	a.counters.units.Confirmed(n.run(), units) // which copies them
	for name, v := range a.counters.unitsIn.Sum() {
		units[name] += v
	}
	return units
}

// groupRuns returns the same of the requests that began to run in the windows that may
// still be asked for. The caller holds the admission's mu.
func (n *Instance) groupRuns() runCounts {
	a := n.admission
	runs := a.counters.runs.Offer(n.run(), n.openRuns())
	a.counters.runs.Confirmed(n.run(), runs) // which copies them
	oldest := n.oldestOpen()
	for key, v := range a.counters.runsIn.Sum() {
		if key.window >= oldest {
			runs[key] += v
		}
	}
	return runs
}

// oldestOpen returns the oldest window whose counts may still be asked for.
func (n *Instance) oldestOpen() int64 {
	return usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow()) - n.usageBehind() - 1
}

// openRuns returns this instance's own counts of the windows that may still be asked
// for. The caller holds the admission's mu.
func (n *Instance) openRuns() runCounts {
	oldest := n.oldestOpen()
	runs := runsOf(n.admission.usage.Own())
	maps.DeleteFunc(runs, func(k runKey, _ int64) bool { return k.window < oldest })
	return runs
}

// applyReports takes what the instances that report to this hub counted, as of one
// other node.
func (n *Instance) applyReports(now time.Time) {
	reports := n.groups.own(now)
	n.tracker.Apply(groupOf(n.Settings.Name), reportUpdate(reports, ""), now.Add(shareTTLLeast), now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Apply(quota.Update{
		Instance: groupOf(n.Settings.Name), Incarnation: n.incarnation(), Admitted: maps.Clone(a.counters.unitsIn.Sum()), Stands: len(reports),
	}, now)
}

// groupShare is what this hub sends to the other hubs.
func (n *Instance) groupShare(now time.Time) *peerpb.Share {
	reports := n.groups.own(now)
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), ConfigVersion: n.versions.Own(), Group: true, Stands: int64(1 + len(reports)),
		Wall: n.walltime.Own(now).UnixNano(), ServersAt: int64(n.watchProgress.Newest()), Instances: n.advertisedInstances(now),
	}
	a := n.admission
	a.mu.Lock()
	s.Accounts = accountShares(n.groupUnits(), a.levels(now), n.groupRuns())
	a.mu.Unlock()
	sum := n.groupUpdate(reports, "", now)
	s.Rollouts = n.groupRollouts(reports)
	s.Limits = wire.Encode(n.groupLimits(reports, now))
	s.Servers = useShares(sum.Uses)
	lessons := meanRisk(n.tracker.Estimates(), reports)
	for name, d := range sum.Demand {
		s.Services = append(s.Services, serviceShare(name, d, lessons[name]))
	}
	return s
}

// applyGroup takes what another hub sends of its group.
func (n *Instance) applyGroup(s *peerpb.Share, now time.Time) {
	news := updateOf(s)
	n.groups.apply(s, news, now)
	n.applyRollouts(rollctl.AsHub, s, now)
	n.applyUses(s.Node, news, now)
	admitted, levels, runs := accountCounts(s.Accounts)
	n.admission.mu.Lock()
	defer n.admission.mu.Unlock()
	n.takeGroup(tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, quota.Update{
		Admitted: admitted, Levels: levels, Seasoned: seasoned(s), Stands: int(s.Stands),
	}, now)
	n.admission.counters.usage.Apply(groupOf(s.Node), s.Incarnation, windowsOf(runs))
}

// takeGroup takes the units that a group admitted, less this instance's own, which
// are taken off at once. The caller holds the admission's mu.
func (n *Instance) takeGroup(hub tally.Source, news quota.Update, now time.Time) {
	news.Instance, news.Incarnation = groupOf(hub.Instance), hub.Incarnation
	for name, told := range n.admission.counters.units.Reported(hub) {
		news.Admitted[name] -= told
	}
	n.admission.quota.Apply(news, now)
}
