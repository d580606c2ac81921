package front

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/lastseen"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// member is another instance of the fleet as this one knows it.
type member struct {
	topology.Member
	registered bool
}

// registration is the value that an instance publishes of itself in the store.
type registration struct {
	Addr  netip.AddrPort
	Hall  string `json:"Zone"` // its name in the store
	Cores float64
}

// registration returns this instance's own registration.
func (n *Instance) registration() registration {
	return registration{Addr: n.Settings.Peer, Hall: n.Settings.Hall, Cores: n.Settings.Cores}
}

// An instance stays a member for this long, or for this many exchange intervals if that is
// longer, after it was last seen, even if its registration expired: the store may be down or may
// refuse that instance.
const (
	minMemberTTL    = 2500 * time.Millisecond
	memberTTLRounds = 3
)

// memberTTL returns how long an instance stays a member after it was last seen.
func (n *Instance) memberTTL() time.Duration {
	return max(minMemberTTL, memberTTLRounds*n.shareInterval())
}

// members tracks the other instances. It is owned by the state's goroutine; list, count, topology,
// halls and the times are safe for concurrent use.
type members struct {
	instance        *Instance
	all             map[string]*member
	published       atomic.Pointer[[]member]
	currentTopology atomic.Pointer[topology.Topology]
	halls           atomic.Pointer[map[netip.AddrPort]string] // by the address of each other instance
	seenAt          lastseen.Times
	// selfReportedAt records when other instances last reported themselves as unregistered: this
	// instance may not see that if it cannot read the store either.
	selfReportedAt lastseen.Times
}

func newMembers(n *Instance) *members {
	m := &members{instance: n, all: make(map[string]*member)}
	m.published.Store(&[]member{})
	m.currentTopology.Store(&topology.Topology{})
	m.halls.Store(&map[netip.AddrPort]string{})
	return m
}

// list returns the latest published members.
func (m *members) list() []member { return *m.published.Load() }

// topology returns which instances are hubs and readers of the store.
func (m *members) topology() *topology.Topology { return m.currentTopology.Load() }

// count returns the number of instances, including this one.
func (m *members) count() int { return 1 + len(m.list()) }

// markSeen records that an instance was seen.
func (m *members) markSeen(name string, at time.Time) { m.seenAt.Record(name, at) }

func (m *members) prefix() string { return m.instance.Decoder.OwnPrefix() + keyInstances }

func (m *members) replace(items []store.Item, now time.Time) {
	listed := make(map[string]bool)
	for _, item := range items {
		if name, ok := strings.CutPrefix(item.Key, m.prefix()); ok {
			listed[name] = true
		}
		m.applyEvent(store.Event{Item: item}, now)
	}
	for name, other := range m.all {
		if !listed[name] && other.registered {
			m.unregister(other, now)
		}
	}
	m.instance.elector.ObserveKey(hasKey(items, m.instance.elector.Key))
	m.instance.bootstrap.replace(items)
	m.dropExpired(now)
	m.publish()
}

func hasKey(items []store.Item, key string) bool {
	for _, i := range items {
		if i.Key == key {
			return true
		}
	}
	return false
}

// applyEvents applies changes of keys below OwnPrefix. The hubs are computed once for all of
// them, as registrations expire and return by the hundred while the store refuses instances.
func (m *members) applyEvents(events []store.Event, now time.Time) {
	changed := false
	for _, e := range events {
		changed = m.applyEvent(e, now) || changed
	}
	if changed {
		m.dropExpired(now)
		m.publish()
	}
}

// applyEvent applies one change, and reports whether it changes another instance's registration.
func (m *members) applyEvent(e store.Event, now time.Time) bool {
	if e.Key == m.instance.elector.Key {
		m.instance.elector.ObserveKey(!e.Deleted)
		return false
	}
	if m.instance.bootstrap.apply(e) {
		return false
	}
	name, ok := strings.CutPrefix(e.Key, m.prefix())
	if !ok || name == m.instance.Settings.Name {
		return false
	}
	if e.Deleted {
		if other := m.all[name]; other != nil {
			m.unregister(other, now)
		}
		return true
	}
	var r registration
	err := json.Unmarshal(e.Value, &r)
	at := topology.Member{Name: name, Addr: r.Addr, Hall: r.Hall, Cores: r.Cores}
	if err = cmp.Or(err, at.Validate()); err != nil {
		m.instance.event(event.InstanceInvalid, zap.String("told", truncate(name)), zap.Inline(e.Revision), zap.Error(err))
		return false
	}
	m.upsert(at).registered = true
	return true
}

// upsert adds an instance or replaces its entry.
func (m *members) upsert(at topology.Member) *member {
	other := m.all[at.Name]
	if other == nil {
		other = &member{}
		m.all[at.Name] = other
		m.instance.event(event.InstanceJoined, zap.String("peer", at.Name), zap.Stringer("address", at.Addr))
	}
	other.Member = at
	return other
}

// lostGrace is how long after a registration expired hubs have to report that the instance still
// runs. A report and an exchange between hubs take half of it.
const lostGrace = time.Second

// unregister records that the registration of an instance is gone. In a large fleet the instance
// stays a member for lostGrace, within which hubs report those that still run.
func (m *members) unregister(other *member, now time.Time) {
	other.registered = false
	if m.instance.grouped() {
		m.seenAt.Record(other.Name, now.Add(lostGrace-m.instance.memberTTL()))
	}
}

// expire drops instances that are neither registered nor were seen within the member TTL, and
// reports whether there were any.
func (m *members) expire(now time.Time) bool {
	dropped := m.dropExpired(now)
	if dropped {
		m.publish()
	}
	return dropped
}

// dropExpired is expire without publishing the members, which is left to the caller.
func (m *members) dropExpired(now time.Time) bool {
	dropped, ttl := false, m.instance.memberTTL()
	for name, other := range m.all {
		if other.registered || now.Sub(m.seenAt.Get(name)) < ttl {
			continue
		}
		delete(m.all, name)
		dropped = true
		m.instance.event(event.InstanceGone, zap.String("peer", name))
		m.instance.admission.forget(name)
	}
	m.seenAt.DropBefore(now.Add(-ttl))
	m.selfReportedAt.DropBefore(now.Add(-ttl))
	return dropped
}

// publish publishes the members, and the halls and hubs computed from them.
func (m *members) publish() {
	out := make([]member, 0, len(m.all))
	halls := make(map[netip.AddrPort]string, len(m.all))
	for _, other := range m.all {
		out = append(out, *other)
		halls[other.Addr] = other.Hall
	}
	m.published.Store(&out)
	m.halls.Store(&halls)
	m.currentTopology.Store(topology.New(m.instance.self(), membersOf(out)))
}

// membersOf returns the topology entries of members, from which hubs are chosen.
func membersOf(all []member) []topology.Member {
	return lo.Map(all, func(m member, _ int) topology.Member { return m.Member })
}
