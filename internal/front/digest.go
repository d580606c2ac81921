package front

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	brittlewire "github.com/shelfcrank/shelfcrank/internal/brittle/wire"
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

// digestSource is the source name under which the contents of a digest are stored. It is the
// same for every hub, so that the digest of one hub replaces that of another.
const digestSource = "/digest"

// serveReport applies the report of an instance and answers with a digest of all other
// instances' counts.
func (n *Instance) serveReport(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	if !n.state.members.topology().IsHub {
		return fault.New(fault.StepPeer, call.From, fault.KindNotFound, fault.NotRun, "this instance is not a hub")
	}
	q, now := call.GetReport(), n.Clock.Now()
	n.state.members.markSeen(call.From, now)
	n.applyInstances(call.From, q.Share.Instances, now)
	n.suspects.syncPeer(call.From, q.Share.Incarnation)
	n.applyClock(call.From, q.Share.Wall, now)
	report := decodeReport(q.Share, now)
	n.groups.recordReport(call.From, report)
	n.limits.Apply(report.limits, now)
	n.brittle.Apply(brittlewire.Decode(q.Share.Brittle), now)
	n.versions.RecordAdvertised(call.From, q.Share.ConfigVersion, now)
	n.applyPermits(q.Share.Rollouts, now)
	// Counts reported to an earlier incarnation of this hub are already known to the other hubs
	// and must not be added again.
	counted := q.HubIncarnation == n.incarnation()
	if counted {
		n.addReportCounts(tally.Source{Instance: call.From, Incarnation: q.Share.Incarnation}, q.Share)
	}
	d := n.buildDigest(call.From, q, now)
	d.Counted = counted
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Digest{Digest: d}})
}

// addReportCounts adds the counts in an instance's report to this hub's group.
func (n *Instance) addReportCounts(from tally.Source, s *peerpb.Share) {
	n.rollouts.ApplyReport(from, decodeRolloutCounts(s.Rollouts.GetCounts()))
	admitted, _, runs := accountCounts(s.Accounts)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.reportedUnits.Apply(from, admitted)
	a.counters.reportedRuns.Apply(from, runs)
}

// decodeReport extracts an instance's current load, estimates, roll-out states and rate limits
// from its report.
func decodeReport(s *peerpb.Share, now time.Time) instanceReport {
	update := updateOf(s)
	r := instanceReport{uses: update.Loads, demand: update.Demand, risk: make(map[string]float64), rollouts: decodeRolloutStates(s.Rollouts), limits: wire.Decode(s.Limits), at: now, startedAt: now.Add(-ageOf(s))}
	for name, l := range update.Estimates {
		r.risk[name] = l.Risk
	}
	return r
}

// buildDigest returns the digest for one instance: the combined state of all other instances of
// the fleet. Usage windows are included only if its report asks for them.
func (n *Instance) buildDigest(to string, q *peerpb.Report, now time.Time) *peerpb.Digest {
	windows := q.Windows
	d := &peerpb.Digest{Incarnation: n.incarnation(), ConfigVersion: n.versions.InForce(), Seasoned: now.Sub(n.start) > quota.WarmUp, ServersAt: int64(n.watchProgress.Newest())}
	reports, others := n.groups.currentReports(now), n.groups.currentGroups(now)
	d.Instances = n.advertisedInstances(now)
	for _, other := range others {
		d.Instances = append(d.Instances, agedInstances(other.share.Instances, now.Sub(other.at))...)
	}
	d.Rollouts = n.digestRollouts(to, reports, others, windows)
	limits := n.groupLimits(reports, now)
	for _, other := range others {
		limits = append(limits, aged(wire.Decode(other.share.Limits), now.Sub(other.at))...)
	}
	d.Limits = wire.Encode(ratelimit.Newest(limits))
	d.Brittle = brittlewire.Encode(n.brittle.Reports(now))
	n.addDigestCounts(d, others, len(reports), q, now)
	sum := n.sumGroup(reports, to, now)
	for _, other := range others {
		addUses(sum.Loads, other.update.Loads)
		addDemand(sum.Demand, other.update.Demand)
	}
	d.Servers = useShares(sum.Loads)
	for name, l := range n.tracker.CombinedEstimates() {
		l.Pace.Weight = float64(1 + len(others))
		d.Services = append(d.Services, serviceShare(name, sum.Demand[name], l))
	}
	return d
}

// addDigestCounts adds the counts and limit levels of all groups to a digest. To a caller that has an
// earlier digest of this hub it adds only the counts that changed since.
func (n *Instance) addDigestCounts(d *peerpb.Digest, others map[string]peerGroup, reporters int, q *peerpb.Report, now time.Time) {
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	changes := &a.counters.changes
	changes.Set(n.source(), n.groupUnits())
	changes.Retain(func(s tally.Source) bool {
		return s == n.source() || others[s.Instance].share.GetIncarnation() == s.Incarnation
	})
	d.Version, d.Partial = changes.Version(), q.HubIncarnation == n.incarnation() && q.Digest > 0
	since := int64(0)
	if d.Partial {
		since = q.Digest
	}
	enc := digestEncoder{digest: d, changes: changes, since: since, places: make(map[int]int32)}
	var runs runCounts
	if q.Windows {
		runs = n.groupRuns()
	}
	own := &peerpb.Group{Hub: n.Settings.Name, Incarnation: n.incarnation(), Wall: n.walltime.Uncorrected(now).UnixNano(), Stands: int64(1 + reporters)}
	enc.add(own, accountShares(nil, nil, runs))
	for name, other := range others {
		s := other.share
		g := &peerpb.Group{Hub: name, Incarnation: s.Incarnation, Wall: s.Wall + int64(now.Sub(other.at)), Stands: s.Stands}
		var windows []*peerpb.AccountShare
		if q.Windows {
			windows = s.Accounts
		}
		enc.add(g, windows)
	}
	if !d.Partial {
		enc.fill()
	}
	if !q.NoLevels {
		enc.addLevels(a.levels(now))
	}
}

// digestEncoder adds groups to a digest.
type digestEncoder struct {
	digest  *peerpb.Digest
	changes *tally.Changes
	since   int64         // version from which on counts are added
	places  map[int]int32 // in the digest's accounts, by index of the account's name in changes
}

// add adds a group with the counts that changed and with those usage windows that accounts hold.
func (e *digestEncoder) add(g *peerpb.Group, accounts []*peerpb.AccountShare) {
	for _, c := range e.changes.Since(tally.Source{Instance: g.Hub, Incarnation: g.Incarnation}, e.since) {
		place, ok := e.places[c.Index]
		if !ok {
			place = int32(len(e.digest.Accounts))
			e.places[c.Index], e.digest.Accounts = place, append(e.digest.Accounts, e.changes.Name(c.Index))
		}
		g.Changed, g.Admitted = append(g.Changed, place), append(g.Admitted, c.Value)
	}
	for _, c := range accounts {
		if len(c.Windows) > 0 {
			g.Windows = append(g.Windows, &peerpb.AccountShare{Name: c.Name, Windows: c.Windows})
		}
	}
	e.digest.Groups = append(e.digest.Groups, g)
}

// fill gives each group a count for every account, in the order of the digest's accounts, which all
// versions of this program read.
func (e *digestEncoder) fill() {
	for _, g := range e.digest.Groups {
		all := make([]int64, len(e.digest.Accounts))
		for i, place := range g.Changed {
			all[place] = g.Admitted[i]
		}
		g.Changed, g.Admitted = nil, all
	}
}

// addLevels adds the levels of the buckets of the digest's accounts.
func (e *digestEncoder) addLevels(levels map[string]float64) {
	for _, name := range e.digest.Accounts {
		level, limited := levels[name]
		e.digest.Levels, e.digest.Limited = append(e.digest.Levels, float32(level)), append(e.digest.Limited, limited)
	}
}

// digestCounts are the counts of all groups as the digests of one hub told them. It is owned by the
// goroutine that reports.
type digestCounts struct {
	hub     tally.Source
	version int64
	units   map[tally.Source]unitCounts // by group
}

// versionOf returns the version to name in a report to a hub, 0 if there was no digest of it.
func (c *digestCounts) versionOf(hub tally.Source) int64 {
	if c.hub != hub {
		return 0
	}
	return c.version
}

// apply applies a digest of a hub. It reports false if the digest is partial and does not continue
// the one before.
func (c *digestCounts) apply(hub tally.Source, d *peerpb.Digest) bool {
	if d.Partial && c.versionOf(hub) == 0 {
		return false
	}
	units := make(map[tally.Source]unitCounts, len(d.Groups))
	for _, g := range d.Groups {
		from := tally.Source{Instance: g.Hub, Incarnation: g.Incarnation}
		counts := make(unitCounts)
		if d.Partial && c.units[from] != nil {
			counts = c.units[from]
		}
		for i, admitted := range g.Admitted {
			place := i
			if d.Partial {
				if i >= len(g.Changed) {
					break
				}
				place = int(g.Changed[i])
			}
			if place >= 0 && place < len(d.Accounts) {
				counts[d.Accounts[place]] = float64(admitted)
			}
		}
		units[from] = counts
	}
	c.hub, c.version, c.units = hub, d.Version, units
	return true
}

// locallyPlacedUses returns this instance's use of endpoints by requests that it placed itself. What
// hubs placed is known to these hubs, which would count it twice. Model engines are left out
// altogether. At plain services each request counts by how it was placed, so that the counts are right
// also while hubs begin or stop placing requests there, and while a hub does not answer.
func (n *Instance) locallyPlacedUses() map[string]balance.Load {
	uses := n.tracker.LocalLoads()
	v := n.view.Load()
	if v.Config == nil {
		return uses
	}
	for _, endpoint := range v.Listed {
		if s := v.Config.Service(endpoint.Service); s != nil && placedByHubs(s) {
			delete(uses, endpoint.ID)
		}
	}
	return uses
}

// placedByHubs reports whether the hubs of a large fleet choose the endpoints for all requests to a
// service, which they do for model engines.
func placedByHubs(s *policy.Service) bool { return s.Engine != nil }

// applyDigest applies a hub's digest of all other instances. counts are those of all groups according
// to this digest; units and runs are this instance's own, which the hub has confirmed with it.
func (n *Instance) applyDigest(hub tally.Source, counts map[tally.Source]unitCounts, units unitCounts, runs runCounts, d *peerpb.Digest, now time.Time) {
	n.state.members.markSeen(hub.Instance, now)
	n.applyInstances(hub.Instance, d.Instances, now)
	n.suspects.syncPeer(hub.Instance, hub.Incarnation)
	if n.reading.Load() {
		n.restartWatchesIfBehind(hub.Instance, store.Revision(d.ServersAt), now)
	}
	for _, g := range d.Groups {
		n.state.members.markSeen(g.Hub, now) // the hub has just seen it, although the store may have dropped its registration
		n.applyClock(g.Hub, g.Wall, now)
	}
	n.limits.Apply(wire.Decode(d.Limits), now)
	n.brittle.Apply(brittlewire.Decode(d.Brittle), now)
	n.versions.RecordAdvertised(hub.Instance, d.ConfigVersion, now)
	n.applyPermits(d.Rollouts, now)
	n.rollouts.ApplyCounts(rollctl.ThroughHub, tally.Source{Instance: digestSource}, decodeRolloutCounts(d.Rollouts.GetCounts()))
	n.rollouts.ApplyStates(digestSource, decodeRolloutStates(d.Rollouts), now)
	demand, estimates := serviceUpdate(d.Services)
	update := balance.Update{Loads: usesOf(d.Servers), Demand: demand, Estimates: estimates}
	n.tracker.Apply(digestSource, update, now.Add(minShareTTL), now)
	a := n.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counters.units.Acknowledge(hub, units)
	a.counters.runs.Acknowledge(hub, runs)
	for _, g := range d.Groups {
		n.applyDigestGroup(hub, g, counts, d, now)
	}
}

// applyDigestGroup applies the counts of one group of a digest. The caller holds the
// admission's mu.
func (n *Instance) applyDigestGroup(hub tally.Source, g *peerpb.Group, counts map[tally.Source]unitCounts, d *peerpb.Digest, now time.Time) {
	from := tally.Source{Instance: g.Hub, Incarnation: g.Incarnation}
	update := quota.Update{Admitted: counts[from], InstanceCount: int(g.Stands), Age: time.Duration(g.Wall - g.Incarnation)}
	if from == hub {
		update.InstanceCount-- // this instance is counted in its hub's group
		update.WarmedUp, update.Levels = d.Seasoned, digestLevels(d)
	}
	n.applyGroupUnits(from, update, now)
	if len(g.Windows) > 0 {
		_, _, runs := accountCounts(g.Windows)
		n.admission.counters.usage.Apply(groupName(g.Hub), g.Incarnation, windowsOf(runs))
	}
}

// digestLevels returns the remaining quota in a digest by client account, for accounts that
// have a limit.
func digestLevels(d *peerpb.Digest) map[string]float64 {
	levels := make(map[string]float64, len(d.Accounts))
	for i, name := range d.Accounts {
		if i < len(d.Levels) && i < len(d.Limited) && d.Limited[i] {
			levels[name] = float64(d.Levels[i])
		}
	}
	return levels
}
