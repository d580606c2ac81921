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
	reports map[string]reported   // of its own group, by instance; guarded by mu
	others  map[string]heardGroup // of the other hubs, by name; guarded by mu
}

// heardGroup is what another hub last told.
type heardGroup struct {
	share *peerpb.Share
	news  balance.News // of servers and services, from the share
	at    time.Time
}

// groupCounts is how long the word of another hub is passed on. A hub that is silent
// for longer is gone, and its instances report elsewhere.
const groupCounts = 1500 * time.Millisecond

func newGroups() *groups {
	return &groups{reports: make(map[string]reported), others: make(map[string]heardGroup)}
}

// reported notes a report.
func (g *groups) reported(from string, r reported) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports[from] = r
}

// heard notes what another hub tells.
func (g *groups) heard(s *peerpb.Share, news balance.News, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others[s.Node] = heardGroup{s, news, now}
}

// own returns the newest report of each instance of the group.
func (g *groups) own(now time.Time) map[string]reported {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.reports, func(_ string, r reported) bool { return now.Sub(r.at) > reportCounts })
	return maps.Clone(g.reports)
}

// known returns what the other hubs tell.
func (g *groups) known(now time.Time) map[string]heardGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.others, func(_ string, h heardGroup) bool { return now.Sub(h.at) > groupCounts })
	return maps.Clone(g.others)
}

// reportNews sums reports as news of one node, but for that of one instance.
func reportNews(reports map[string]reported, but string) balance.News {
	news := balance.News{Uses: make(map[string]balance.Use), Demand: make(map[string]balance.Demand)}
	for from, r := range reports {
		if from != but {
			addUses(news.Uses, r.uses)
			addDemand(news.Demand, r.demand)
		}
	}
	return news
}

// groupNews sums what this hub and the instances that report to it are doing, but for one
// of these.
func (n *Node) groupNews(reports map[string]reported, but string, now time.Time) balance.News {
	sum := reportNews(reports, but)
	addUses(sum.Uses, n.plainUses())
	addDemand(sum.Demand, n.tracker.Demand(now))
	return sum
}

// meanRisk returns, by service, the mean of what a node and the instances that
// report to it found.
func meanRisk(own balance.Lessons, reports map[string]reported) balance.Lessons {
	out := make(balance.Lessons, len(own))
	for name, l := range own {
		sum, n := l.Risk, 1.0
		for _, r := range reports {
			if risk, told := r.risk[name]; told {
				sum += risk
				n++
			}
		}
		out[name] = balance.Lesson{Pace: l.Pace, Risk: sum / n}
	}
	return out
}

// run returns this run of the instance as a source of counts.
func (n *Node) run() tally.Source {
	return tally.Source{Instance: n.Settings.Name, Incarnation: n.incarnation()}
}

// groupUnits returns the units that this hub's group admitted: what was reported, and
// its own but for what it told other hubs before it became one. The caller holds the
// admission's mu.
func (n *Node) groupUnits() unitCounts {
	a := n.admission
	units := a.book.units.Offer(n.run(), a.quota.Admitted())
	a.book.units.Confirmed(n.run(), units) // which copies them
	for name, v := range a.book.unitsIn.Sum() {
		units[name] += v
	}
	return units
}

// groupRuns returns the same of the requests that began to run in the windows that may
// still be asked for. The caller holds the admission's mu.
func (n *Node) groupRuns() runCounts {
	a := n.admission
	runs := a.book.runs.Offer(n.run(), n.openRuns())
	a.book.runs.Confirmed(n.run(), runs) // which copies them
	oldest := n.oldestOpen()
	for key, v := range a.book.runsIn.Sum() {
		if key.window >= oldest {
			runs[key] += v
		}
	}
	return runs
}

// oldestOpen returns the oldest window whose counts may still be asked for.
func (n *Node) oldestOpen() int64 {
	return usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow()) - n.usageBehind() - 1
}

// openRuns returns this instance's own counts of the windows that may still be asked
// for. The caller holds the admission's mu.
func (n *Node) openRuns() runCounts {
	oldest := n.oldestOpen()
	runs := runsOf(n.admission.usage.Own())
	maps.DeleteFunc(runs, func(k runKey, _ int64) bool { return k.window < oldest })
	return runs
}

// hearReporters takes what the instances that report to this hub counted, as of one
// other node.
func (n *Node) hearReporters(now time.Time) {
	reports := n.groups.own(now)
	n.tracker.Heard(groupOf(n.Settings.Name), reportNews(reports, ""), now.Add(believeLeast), now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Heard(quota.News{
		Node: groupOf(n.Settings.Name), Incarnation: n.incarnation(), Admitted: maps.Clone(a.book.unitsIn.Sum()), Stands: len(reports),
	}, now)
}

// groupShare is what this hub tells the other hubs.
func (n *Node) groupShare(now time.Time) *peerpb.Share {
	reports := n.groups.own(now)
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(), Group: true, Stands: int64(1 + len(reports)),
		Wall: n.walltime.Own(now).UnixNano(), ServersAt: n.news.Newest(), Instances: n.tellInstances(now),
	}
	a := n.admission
	a.mu.Lock()
	s.Accounts = accountShares(n.groupUnits(), a.levels(now), n.groupRuns())
	a.mu.Unlock()
	sum := n.groupNews(reports, "", now)
	s.Rollouts = n.groupRollouts(reports)
	s.Limits = wire.Encode(n.groupLimits(reports, now))
	s.Servers = useShares(sum.Uses)
	lessons := meanRisk(n.tracker.Lessons(), reports)
	for name, d := range sum.Demand {
		s.Services = append(s.Services, serviceShare(name, d, lessons[name]))
	}
	return s
}

// heardGroup takes what another hub tells of its group.
func (n *Node) heardGroup(s *peerpb.Share, now time.Time) {
	news := newsOf(s)
	n.groups.heard(s, news, now)
	n.heardRollouts(rollctl.AsHub, s, now)
	n.heardUses(s.Node, news, now)
	admitted, levels, runs := accountCounts(s.Accounts)
	n.admission.mu.Lock()
	defer n.admission.mu.Unlock()
	n.takeGroup(tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, quota.News{
		Admitted: admitted, Levels: levels, Seasoned: seasoned(s), Stands: int(s.Stands),
	}, now)
	n.admission.book.usage.Heard(groupOf(s.Node), s.Incarnation, windowsOf(runs))
}

// takeGroup takes the units that a group admitted, less this instance's own, which
// are taken off at once. The caller holds the admission's mu.
func (n *Node) takeGroup(hub tally.Source, news quota.News, now time.Time) {
	news.Node, news.Incarnation = groupOf(hub.Instance), hub.Incarnation
	for name, told := range n.admission.book.units.Told(hub) {
		news.Admitted[name] -= told
	}
	n.admission.quota.Heard(news, now)
}
