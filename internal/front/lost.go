package front

import (
	"net/netip"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Who runs is known from the store. While it turns some instances away, their
// registrations end although they run, and they see nobody else's: an instance that
// starts then would not know of them, nor they of it, and neither count what the other
// admits. So instances exchange who runs as long as the store has lost any.

// runningInstance is an instance that another one reported.
type runningInstance struct {
	topology.Member
	seenAt time.Time
}

// peerInstances carries to the state who runs.
type peerInstances []runningInstance

func (peerInstances) change() {}

// advertisedInstances returns the instances to report to others, none while the store has them
// all. In a small fleet, that is all that were seen lately: those that the
// store turns away know no others than these. In a large one it is those that the
// store lost; the others are known through the hubs.
func (n *Instance) advertisedInstances(now time.Time) []*peerpb.Instance {
	told := n.introduce()
	all := n.state.members.list()
	lost := lo.Filter(all, func(m member, _ int) bool { return n.lostByStore(m, now) })
	if len(told) == 0 && len(lost) == 0 {
		return nil
	}
	if n.grouped() {
		all = lost
	}
	for _, m := range all {
		if age := now.Sub(n.state.members.seenAt.of(m.Name)); age < n.memberTTL() {
			told = append(told, instanceOf(m.Member, age))
		}
	}
	return told
}

// lostByStore reports whether another instance may not be registered though it runs.
func (n *Instance) lostByStore(m member, now time.Time) bool {
	return !m.registered || now.Sub(n.state.members.introduced.of(m.Name)) < n.memberTTL()
}

// introduce returns this instance, for others to know of, while it is not registered.
func (n *Instance) introduce() []*peerpb.Instance {
	if n.registered.Load() {
		return nil
	}
	return []*peerpb.Instance{instanceOf(n.self(), 0)}
}

// self returns this instance as the others know it.
func (n *Instance) self() topology.Member {
	r := n.registration()
	return topology.Member{Name: n.Settings.Name, Addr: r.Addr, Hall: r.Hall, Cores: r.Cores}
}

func instanceOf(m topology.Member, age time.Duration) *peerpb.Instance {
	return &peerpb.Instance{Name: m.Name, Address: m.Addr.String(), Hall: m.Hall, Cores: m.Cores, Age: int64(max(age, 0))}
}

// passOn returns what another hub reported some time ago, as this one reports it: a hub that
// the store turned away does not know which instances it lost since.
func passOn(told []*peerpb.Instance, ago time.Duration) []*peerpb.Instance {
	return lo.Map(told, func(i *peerpb.Instance, _ int) *peerpb.Instance {
		return &peerpb.Instance{Name: i.Name, Address: i.Address, Hall: i.Hall, Cores: i.Cores, Age: i.Age + int64(ago)}
	})
}

// applyInstances takes from another instance which instances run.
func (n *Instance) applyInstances(from string, told []*peerpb.Instance, now time.Time) {
	var running peerInstances
	for _, i := range told {
		addr, err := netip.ParseAddrPort(i.Address)
		if err != nil || i.Name == "" || i.Age < 0 {
			n.event(event.NodeOdd, zap.String("peer", from), zap.String("told", cut(i.Name)), zap.Error(err))
			continue
		}
		switch i.Name {
		case n.Settings.Name:
			continue
		case from:
			n.state.members.introduced.note(from, now)
		}
		running = append(running, runningInstance{
			Member: topology.Member{Name: i.Name, Addr: addr, Hall: i.Hall, Cores: i.Cores},
			seenAt: now.Add(-time.Duration(i.Age)),
		})
	}
	if len(running) > 0 {
		n.state.send(running)
	}
}

// learn takes who runs as another instance knows it, and reports whether anything
// changed. What the store says of a registered instance goes before, unless this
// instance cannot read it. The times go with the report, so that an instance that ended
// is dropped everywhere as soon after its last word.
func (m *members) learn(told peerInstances, now time.Time) bool {
	changed := false
	heardFor := m.instance.memberTTL()
	for _, t := range told {
		if now.Sub(t.seenAt) >= heardFor {
			continue
		}
		heardAt := m.seenAt.of(t.Name)
		m.seenAt.note(t.Name, t.seenAt)
		known := m.all[t.Name]
		if known == nil {
			m.put(t.Member)
			changed = true
			continue
		}
		trusted := known.registered && !m.instance.storeTroubled()
		if !trusted && known.Member != t.Member && t.seenAt.After(heardAt) {
			m.put(t.Member)
			changed = true
		}
	}
	if changed {
		m.show()
	}
	return changed
}
