package front

import (
	"encoding/json"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// member is a node as this one knows it.
type member struct {
	topology.Member
	registered bool
}

// registration is what a node publishes of itself through the store.
type registration struct {
	Addr  netip.AddrPort
	Hall  string `json:"Zone"` // its name in the store
	Cores float64
}

// registration returns this node's own.
func (n *Instance) registration() registration {
	return registration{Addr: n.Settings.Peer, Hall: n.Settings.Hall, Cores: n.Settings.Cores}
}

// A node that is seen counts although its registration ended, for the store
// may have been down, or turn that node away: for so long, or for so many
// exchanges.
const (
	memberTTLLeast  = 2500 * time.Millisecond
	memberTTLRounds = 3
)

// memberTTL returns how long a node counts after it was seen.
func (n *Instance) memberTTL() time.Duration {
	return max(memberTTLLeast, memberTTLRounds*n.shareEvery())
}

// members knows the other nodes. It belongs to the state's goroutine; list, topology and
// the times are safe for concurrent use.
type members struct {
	instance *Instance
	all      map[string]*member
	shown    atomic.Pointer[[]member]
	hubs     atomic.Pointer[topology.Topology]
	halls    atomic.Pointer[map[netip.AddrPort]string] // by the address of each other node
	seenAt   lastSeen
	// introduced is when others last said of themselves that they may not be registered:
	// this node may not know, as it cannot read the store either.
	introduced lastSeen
}

func newMembers(n *Instance) *members {
	m := &members{instance: n, all: make(map[string]*member)}
	m.shown.Store(&[]member{})
	m.hubs.Store(&topology.Topology{})
	m.halls.Store(&map[netip.AddrPort]string{})
	return m
}

// list returns the members.
func (m *members) list() []member { return *m.shown.Load() }

// topology returns who reads the store and places requests for all.
func (m *members) topology() *topology.Topology { return m.hubs.Load() }

// count returns the number of nodes, this one included.
func (m *members) count() int { return 1 + len(m.all) }

// seen notes that a node was seen.
func (m *members) seen(name string, at time.Time) { m.seenAt.note(name, at) }

func (m *members) prefix() string { return m.instance.Decoder.OwnPrefix() + keyInstances }

func (m *members) replace(items []store.Item, now time.Time) {
	listed := make(map[string]bool)
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, m.prefix()); ok {
			listed[name] = true
		}
		m.note(store.Event{Item: item}, now)
	}
	for name, other := range m.all {
		if !listed[name] && other.registered {
			m.unregister(other, now)
		}
	}
	m.instance.elector.Saw(hasKey(items, m.instance.elector.Key))
	m.drop(now)
	m.show()
}

func hasKey(items []store.Item, key string) bool {
	for _, i := range items {
		if i.Key == key {
			return true
		}
	}
	return false
}

// take takes changes of the product's own keys. Who is a hub is worked out once for all
// of them: registrations end and come back by the hundred where the store turns instances
// away.
func (m *members) take(events []store.Event, now time.Time) {
	changed := false
	for _, e := range events {
		changed = m.note(e, now) || changed
	}
	if changed {
		m.drop(now)
		m.show()
	}
}

// note notes a change, and reports whether it is of another node's registration.
func (m *members) note(e store.Event, now time.Time) bool {
	if e.Key == m.instance.elector.Key {
		m.instance.elector.Saw(!e.Gone)
		return false
	}
	name, ok := strings.CutPrefix(e.Key, m.prefix())
	if !ok || name == m.instance.Settings.Name {
		return false
	}
	if e.Gone {
		if other := m.all[name]; other != nil {
			m.unregister(other, now)
		}
		return true
	}
	var r registration
	if err := json.Unmarshal(e.Value, &r); err != nil || !r.Addr.IsValid() {
		m.instance.event(event.NodeOdd, zap.String("told", cut(name)), zap.Inline(e.Revision), zap.Error(err))
		return false
	}
	m.put(topology.Member{Name: name, Addr: r.Addr, Hall: r.Hall, Cores: r.Cores}).registered = true
	return true
}

// put notes where a node is.
func (m *members) put(at topology.Member) *member {
	other := m.all[at.Name]
	if other == nil {
		other = &member{}
		m.all[at.Name] = other
		m.instance.event(event.NodeJoined, zap.String("peer", at.Name), zap.Stringer("address", at.Addr))
	}
	other.Member = at
	return other
}

// lostGrace is how long after the end of a registration hubs have to report that the
// instance goes on: a report and an exchange between hubs take half of it.
const lostGrace = time.Second

// unregister notes that the registration of a node ended. In a large fleet those that
// go on all the same are reported by hubs, which takes a moment.
func (m *members) unregister(other *member, now time.Time) {
	other.registered = false
	if m.instance.grouped() {
		m.seenAt.note(other.Name, now.Add(lostGrace-m.instance.memberTTL()))
	}
}

// expire drops nodes that are neither registered nor seen, and reports
// whether there were any.
func (m *members) expire(now time.Time) bool {
	dropped := m.drop(now)
	if dropped {
		m.show()
	}
	return dropped
}

// drop is expire, but leaves it to the caller to show the members.
func (m *members) drop(now time.Time) bool {
	dropped, heardFor := false, m.instance.memberTTL()
	for name, other := range m.all {
		if other.registered || now.Sub(m.seenAt.of(name)) < heardFor {
			continue
		}
		delete(m.all, name)
		dropped = true
		m.instance.event(event.NodeGone, zap.String("peer", name))
		m.instance.admission.forget(name)
	}
	m.seenAt.forget(now.Add(-heardFor))
	m.introduced.forget(now.Add(-heardFor))
	return dropped
}

func (m *members) show() {
	out := make([]member, 0, len(m.all))
	halls := make(map[netip.AddrPort]string, len(m.all))
	for _, other := range m.all {
		out = append(out, *other)
		halls[other.Addr] = other.Hall
	}
	m.shown.Store(&out)
	m.halls.Store(&halls)
	m.hubs.Store(topology.New(m.instance.self(), membersOf(out)))
}

// membersOf returns what the choice of hubs goes by.
func membersOf(all []member) []topology.Member {
	return lo.Map(all, func(m member, _ int) topology.Member { return m.Member })
}
