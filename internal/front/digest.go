package front

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// digestInstance is the name under which the word of all others is kept, whichever hub
// sent it.
const digestInstance = "/digest"

// serveReport takes the report of an instance, and answers with what the others counted.
func (n *Instance) serveReport(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	if !n.state.members.topology().Self {
		return fault.New(fault.StepPeer, call.From, fault.KindNotFound, fault.NotRun, "this instance is no hub")
	}
	q, now := call.GetReport(), n.Clock.Now()
	n.state.members.seen(call.From, now)
	n.applyInstances(call.From, q.Share.Instances, now)
	n.suspects.met(call.From, q.Share.Incarnation)
	n.applyClock(call.From, q.Share.Wall, now)
	report := reportOf(q.Share, now)
	n.groups.reported(call.From, report)
	n.limits.Apply(report.limits, now)
	n.versions.Advertised(call.From, q.Share.ConfigVersion, now)
	n.applyPermits(q.Share.Rollouts, now)
	// Counts that an earlier run of this hub received are known to the other hubs.
	counted := q.HubIncarnation == n.incarnation()
	if counted {
		n.countReport(tally.Source{Instance: call.From, Incarnation: q.Share.Incarnation}, q.Share)
	}
	d := n.digest(call.From, q.Windows, now)
	d.Counted = counted
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Digest{Digest: d}})
}

// countReport adds what an instance was counting to this hub's group.
func (n *Instance) countReport(from tally.Source, s *peerpb.Share) {
	n.rollouts.Reported(from, rolloutCounts(s.Rollouts.GetCounts()))
	admitted, _, runs := accountCounts(s.Accounts)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.unitsIn.Take(from, admitted)
	a.counters.runsIn.Take(from, runs)
}

// reportOf reads from a report what an instance is doing.
func reportOf(s *peerpb.Share, now time.Time) reported {
	news := updateOf(s)
	r := reported{uses: news.Uses, demand: news.Demand, risk: make(map[string]float64), rollouts: rolloutStates(s.Rollouts), limits: wire.Decode(s.Limits), at: now}
	for name, l := range news.Estimates {
		r.risk[name] = l.Risk
	}
	return r
}

// digest is what an instance has to know of all the others.
func (n *Instance) digest(to string, windows bool, now time.Time) *peerpb.Digest {
	d := &peerpb.Digest{Incarnation: n.incarnation(), ConfigVersion: n.versions.Own(), Seasoned: now.Sub(n.start) > quota.Season, ServersAt: int64(n.watchProgress.Newest())}
	reports, others := n.groups.own(now), n.groups.known(now)
	d.Instances = n.advertisedInstances(now)
	for _, other := range others {
		d.Instances = append(d.Instances, passOn(other.share.Instances, now.Sub(other.at))...)
	}
	d.Rollouts = n.digestRollouts(to, reports, others, windows)
	limits := n.groupLimits(reports, now)
	for _, other := range others {
		limits = append(limits, aged(wire.Decode(other.share.Limits), now.Sub(other.at))...)
	}
	d.Limits = wire.Encode(ratelimit.Newest(limits))
	n.digestCounts(d, others, len(reports), windows, now)
	sum := n.groupUpdate(reports, to, now)
	for _, other := range others {
		addUses(sum.Uses, other.update.Uses)
		addDemand(sum.Demand, other.update.Demand)
	}
	d.Servers = useShares(sum.Uses)
	for name, l := range n.tracker.Agreed() {
		l.Pace.Weight = float64(1 + len(others))
		d.Services = append(d.Services, serviceShare(name, sum.Demand[name], l))
	}
	return d
}

// digestCounts puts the counts of all groups into a digest.
func (n *Instance) digestCounts(d *peerpb.Digest, others map[string]peerGroup, reporters int, windows bool, now time.Time) {
	a := n.admission
	a.mu.Lock()
	units := n.groupUnits()
	var runs runCounts
	if windows {
		runs = n.groupRuns()
	}
	levels := a.levels(now)
	a.mu.Unlock()
	names := make(map[string]bool, len(units))
	for name := range units {
		names[name] = true
	}
	for _, other := range others {
		for _, c := range other.share.Accounts {
			names[c.Name] = true
		}
	}
	d.Accounts = slices.Sorted(maps.Keys(names))
	for _, name := range d.Accounts {
		level, limited := levels[name]
		d.Levels, d.Limited = append(d.Levels, float32(level)), append(d.Limited, limited)
	}
	own := &peerpb.Group{Hub: n.Settings.Name, Incarnation: n.incarnation(), Wall: n.walltime.Own(now).UnixNano(), Stands: int64(1 + reporters)}
	d.Groups = append(d.Groups, fillGroup(own, d.Accounts, accountShares(units, nil, runs), windows))
	for name, other := range others {
		s := other.share
		g := &peerpb.Group{Hub: name, Incarnation: s.Incarnation, Wall: s.Wall + int64(now.Sub(other.at)), Stands: s.Stands}
		d.Groups = append(d.Groups, fillGroup(g, d.Accounts, s.Accounts, windows))
	}
}

// fillGroup puts counts into a group of a digest.
func fillGroup(g *peerpb.Group, names []string, accounts []*peerpb.AccountShare, windows bool) *peerpb.Group {
	admitted := make(map[string]float64, len(accounts))
	for _, c := range accounts {
		admitted[c.Name] = c.Admitted
		if windows && len(c.Windows) > 0 {
			g.Windows = append(g.Windows, &peerpb.AccountShare{Name: c.Name, Windows: c.Windows})
		}
	}
	for _, name := range names {
		g.Admitted = append(g.Admitted, int64(math.Round(admitted[name])))
	}
	return g
}

// plainUses returns this instance's use of the servers that run no models. The use
// of the others is known to the hubs that place requests there.
func (n *Instance) plainUses() map[string]balance.Use {
	uses := n.tracker.Uses()
	v := n.view.Load()
	if v.Config == nil {
		return uses
	}
	for _, server := range v.Listed {
		if s := v.Config.Service(server.Service); s != nil && placedByHubs(s) {
			delete(uses, server.ID)
		}
	}
	return uses
}

// placedByHubs reports whether the hubs of a large fleet choose the servers of a
// service.
func placedByHubs(s *policy.Service) bool { return s.Engine != nil }

// takeDigest takes what a hub sends of all others, after it confirmed this instance's
// own counts.
func (n *Instance) takeDigest(hub tally.Source, units unitCounts, runs runCounts, d *peerpb.Digest, now time.Time) {
	n.state.members.seen(hub.Instance, now)
	n.applyInstances(hub.Instance, d.Instances, now)
	n.suspects.met(hub.Instance, hub.Incarnation)
	if n.reading.Load() {
		n.applyEndpointsAt(hub.Instance, store.Revision(d.ServersAt), now)
	}
	for _, g := range d.Groups {
		n.state.members.seen(g.Hub, now) // the hub saw it just now, the store may have lost it
		n.applyClock(g.Hub, g.Wall, now)
	}
	n.limits.Apply(wire.Decode(d.Limits), now)
	n.versions.Advertised(hub.Instance, d.ConfigVersion, now)
	n.applyPermits(d.Rollouts, now)
	n.rollouts.Apply(rollctl.ByHubs, tally.Source{Instance: digestInstance}, rolloutCounts(d.Rollouts.GetCounts()))
	n.rollouts.ApplyStates(digestInstance, rolloutStates(d.Rollouts), now)
	demand, lessons := serviceUpdate(d.Services)
	news := balance.Update{Uses: usesOf(d.Servers), Demand: demand, Estimates: lessons}
	n.tracker.Apply(digestInstance, news, now.Add(shareTTLLeast), now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.units.Confirmed(hub, units)
	a.counters.runs.Confirmed(hub, runs)
	for _, g := range d.Groups {
		n.takeDigestGroup(hub, g, d, now)
	}
}

// takeDigestGroup takes the counts of one group. The caller holds the admission's mu.
func (n *Instance) takeDigestGroup(hub tally.Source, g *peerpb.Group, d *peerpb.Digest, now time.Time) {
	news := quota.Update{Admitted: make(map[string]float64, len(d.Accounts)), Stands: int(g.Stands)}
	for i, units := range g.Admitted {
		if i < len(d.Accounts) {
			news.Admitted[d.Accounts[i]] = float64(units)
		}
	}
	from := tally.Source{Instance: g.Hub, Incarnation: g.Incarnation}
	if from == hub {
		news.Stands-- // this instance is in it
		news.Seasoned, news.Levels = d.Seasoned, digestLevels(d)
	}
	n.takeGroup(from, news, now)
	if len(g.Windows) > 0 {
		_, _, runs := accountCounts(g.Windows)
		n.admission.counters.usage.Apply(groupOf(g.Hub), g.Incarnation, windowsOf(runs))
	}
}

// digestLevels returns the levels of a digest, by account.
func digestLevels(d *peerpb.Digest) map[string]float64 {
	levels := make(map[string]float64, len(d.Accounts))
	for i, name := range d.Accounts {
		if i < len(d.Levels) && i < len(d.Limited) && d.Limited[i] {
			levels[name] = float64(d.Levels[i])
		}
	}
	return levels
}
