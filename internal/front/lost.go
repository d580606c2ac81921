package front

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Membership comes from the registrations in the store. While the store refuses some instances,
// their registrations expire although they run, and they cannot read those of others: they and an
// instance that starts then would not know of each other, and neither would count what the other
// admits. Therefore instances exchange membership for as long as the store lacks any running
// instance.

// runningInstance is an instance that another one reported as running.
type runningInstance struct {
	topology.Member
	seenAt time.Time
}

// peerInstances is the change that carries instances reported as running by another one.
type peerInstances []runningInstance

func (peerInstances) change() {}

// advertisedInstances returns the instances to report to others: none while the store has the
// registrations of all. In a small fleet these are all instances seen within the member TTL, as
// instances that the store refuses learn of members in no other way. In a large fleet these are
// the instances that the store lost; the others are known through the hubs.
func (n *Instance) advertisedInstances(now time.Time) []*peerpb.Instance {
	reported := n.selfIfUnregistered()
	all := n.state.members.list()
	lost := lo.Filter(all, func(m member, _ int) bool { return n.lostByStore(m, now) })
	if len(reported) == 0 && len(lost) == 0 {
		return nil
	}
	if n.grouped() {
		all = lost
	}
	for _, m := range all {
		if age := now.Sub(n.state.members.seenAt.Get(m.Name)); age < n.memberTTL() {
			reported = append(reported, encodeInstance(m.Member, age))
		}
	}
	return reported
}

// lostByStore reports whether another instance may be running without a registration.
func (n *Instance) lostByStore(m member, now time.Time) bool {
	return !m.registered || now.Sub(n.state.members.selfReportedAt.Get(m.Name)) < n.memberTTL()
}

// selfIfUnregistered returns the entry of this instance to report to others while it is not
// registered although it should be, else nil.
func (n *Instance) selfIfUnregistered() []*peerpb.Instance {
	if n.registered.Load() || !n.registrationDue.Load() {
		return nil
	}
	return []*peerpb.Instance{encodeInstance(n.self(), 0)}
}

// self returns the member entry of this instance.
func (n *Instance) self() topology.Member {
	r := n.registration()
	return topology.Member{Name: n.Settings.Name, Addr: r.Addr, Hall: r.Hall, Cores: r.Cores}
}

func encodeInstance(m topology.Member, age time.Duration) *peerpb.Instance {
	return &peerpb.Instance{Name: m.Name, Address: m.Addr.String(), Hall: m.Hall, Cores: m.Cores, Age: int64(max(age, 0))}
}

// agedInstances returns the instances that another hub reported some time ago, with that time
// added to their ages. They are passed on because a hub that the store refuses cannot know which
// registrations the store has lost since.
func agedInstances(reported []*peerpb.Instance, ago time.Duration) []*peerpb.Instance {
	return lo.Map(reported, func(i *peerpb.Instance, _ int) *peerpb.Instance {
		return &peerpb.Instance{Name: i.Name, Address: i.Address, Hall: i.Hall, Cores: i.Cores, Age: i.Age + int64(ago)}
	})
}

// applyInstances applies the running instances that another instance reported.
func (n *Instance) applyInstances(from string, reported []*peerpb.Instance, now time.Time) {
	var running peerInstances
	for _, i := range reported {
		addr, err := netip.ParseAddrPort(i.Address)
		at := topology.Member{Name: i.Name, Addr: addr, Hall: i.Hall, Cores: i.Cores}
		if err = cmp.Or(err, at.Validate()); err != nil || i.Age < 0 {
			n.event(event.InstanceInvalid, zap.String("peer", from), zap.String("told", truncate(i.Name)), zap.Error(err))
			continue
		}
		switch i.Name {
		case n.Settings.Name:
			continue
		case from:
			n.state.members.selfReportedAt.Record(from, now)
		}
		running = append(running, runningInstance{Member: at, seenAt: now.Add(-time.Duration(i.Age))})
	}
	if len(running) > 0 {
		n.state.send(running)
	}
}

// applyPeers merges instances reported as running by another instance, and reports whether the
// membership changed. For a registered instance the store's entry takes precedence, unless this
// instance cannot read the store. The reports carry the times at which the instances were seen, so
// that one that ended is dropped everywhere at the same time after it was last seen.
func (m *members) applyPeers(reported peerInstances, now time.Time) bool {
	changed := false
	ttl := m.instance.memberTTL()
	for _, t := range reported {
		if now.Sub(t.seenAt) >= ttl {
			continue
		}
		previous := m.seenAt.Get(t.Name)
		m.seenAt.Record(t.Name, t.seenAt)
		known := m.all[t.Name]
		if known == nil {
			m.upsert(t.Member)
			changed = true
			continue
		}
		trusted := known.registered && !m.instance.configReadStale()
		if !trusted && known.Member != t.Member && t.seenAt.After(previous) {
			m.upsert(t.Member)
			changed = true
		}
	}
	if changed {
		m.publish()
	}
	return changed
}
