package control

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// incarnation names one life of an endpoint.
type incarnation struct {
	id  string
	num uint64
}

type leaving struct {
	deadline time.Time
	at       time.Time
}

type known struct {
	endpoint *route.Endpoint
	kind     platform.Kind
	unlisted int // reads of the list in a row that lacked it
}

// prefixBytes bounds the memory of prefix knowledge over all endpoints, at
// about 64 bytes for a block in a map of two generations.
const (
	prefixBytes = 12 << 20
	blockBytes  = 64
	blocksMost  = 4096
	blocksLeast = 64
)

// unlistedMost is how many reads of the list in a row must lack an endpoint
// before it is taken for gone.
const unlistedMost = 3

// leavingMemory is how long a leaving incarnation is remembered after its
// deadline, so that a lagging list does not revive it.
const leavingMemory = 10 * time.Minute

// State is the control state. It has no I/O and no clock of its own: Apply
// takes an event and the time, changes the state, and returns the effects.
// It belongs to one goroutine.
type State struct {
	snap      Snapshot
	members   *member.List
	endpoints map[string]*known        // by ID
	leaving   map[incarnation]*leaving // sticky for the incarnation
	usage     map[string][]admit.Usage // by entry instance
	dirty     bool
	effects   []Effect
}

// NewState returns the state of an instance that knows nothing yet.
func NewState(self member.Member) *State {
	return &State{
		snap:      Snapshot{Self: self, Models: Pools{}, Services: Pools{}, Demand: Demand{}},
		members:   member.NewList(self),
		endpoints: make(map[string]*known),
		leaving:   make(map[incarnation]*leaving),
		usage:     make(map[string][]admit.Usage),
	}
}

// Snapshot returns the state for publishing and whether it changed since it
// was last asked for.
func (s *State) Snapshot() (Snapshot, bool) {
	changed := s.dirty
	s.dirty = false
	return s.snap, changed
}

// Apply takes an event.
func (s *State) Apply(e Event, now time.Time) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case TableRead:
		s.tableRead(e)
	case ViewRead:
		s.viewRead(e)
	case ListRead:
		s.listRead(e, now)
	case NoticesRead:
		s.notices(e.Notices, now)
	case HeartbeatReceived:
		s.applyHeartbeat(e, now)
	case Refused:
		s.leave(e.Endpoint.ID, e.Endpoint.Incarnation, time.Time{}, now)
	case Leave:
		s.leaveSelf(e)
	case tick:
		s.tick(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// tableRead moves to a higher revision and never to a lower one, whoever
// offers it.
func (s *State) tableRead(e TableRead) {
	if s.snap.Table != nil && e.Stored.Doc.Revision <= s.snap.Table.Revision {
		return
	}
	s.snap.Table = table.NewView(e.Stored.Doc)
	s.snap.Stored = e.Stored
	s.snap.Self.TableRevision = e.Stored.Doc.Revision
	s.dirty = true
	s.emit(TableInForce{Revision: e.Stored.Doc.Revision})
}

func (s *State) viewRead(e ViewRead) {
	if s.snap.View != nil && e.View.Epoch <= s.snap.View.Epoch {
		return
	}
	s.snap.View = e.View
	s.snap.Self.ViewEpoch = e.View.Epoch
	s.dirty = true
	s.emit(ViewInForce(e))
}

func (s *State) leaveSelf(e Leave) {
	if s.snap.Leaving && (e.By.IsZero() || !s.snap.LeaveBy.IsZero()) {
		return
	}
	s.snap.Leaving, s.snap.LeaveBy = true, e.By
	s.snap.Self.Leaving = true
	s.dirty = true
	s.emit(SelfLeaving(e))
}

func (s *State) applyHeartbeat(e HeartbeatReceived, now time.Time) {
	s.members.SetSelf(s.snap.Self)
	for _, m := range e.Members {
		if c, changed := s.members.Apply(m, now); changed {
			s.memberChanged(c)
		}
	}
	for _, n := range e.Leaving {
		s.leave(n.ID, n.Incarnation, n.Deadline, now)
	}
	if e.From != "" && e.Usage != nil {
		s.usage[e.From] = e.Usage
	}
}

func (s *State) memberChanged(c member.Change) {
	s.snap.Members = s.members.Members()
	s.dirty = true
	if c.Member.State == member.Dead {
		delete(s.usage, c.Member.ID)
	}
	s.emit(MemberChanged{c})
}

func (s *State) tick(now time.Time) {
	for _, c := range s.members.Tick(now) {
		s.memberChanged(c)
	}
	for inc, l := range s.leaving {
		if now.Sub(l.at) > leavingMemory && now.Sub(l.deadline) > leavingMemory {
			delete(s.leaving, inc)
		}
	}
	s.sumDemand()
}

func (s *State) sumDemand() {
	if len(s.usage) == 0 && len(s.snap.Demand) == 0 {
		return
	}
	sum := make(Demand)
	for _, from := range s.usage {
		for _, u := range from {
			t := sum[u.Account]
			t.Account = u.Account
			t.Rate += u.Rate
			t.Tokens += u.Tokens
			t.Open += u.Open
			sum[u.Account] = t
		}
	}
	s.snap.Demand = sum
	s.dirty = true
}

func (s *State) listRead(e ListRead, now time.Time) {
	seen := make(map[string]bool, len(e.Instances))
	for _, i := range e.Instances {
		seen[i.ID] = true
		if i.Kind == platform.KindEntry {
			continue // membership of entry instances comes from heartbeats
		}
		if i.State == platform.StateLeaving {
			s.leave(i.ID, i.Incarnation, i.Deadline, now)
			continue
		}
		s.join(i, now)
	}
	for id, k := range s.endpoints {
		if seen[id] {
			k.unlisted = 0
			continue
		}
		if k.unlisted++; k.unlisted >= unlistedMost {
			s.gone(id)
		}
	}
}

func (s *State) join(i platform.Instance, now time.Time) {
	if _, out := s.leaving[incarnation{i.ID, i.Incarnation}]; out {
		return // the list lags
	}
	old, ok := s.endpoints[i.ID]
	if ok && old.endpoint.Incarnation >= i.Incarnation {
		return
	}
	if ok {
		s.gone(i.ID)
	}
	blocks := 0
	if i.Kind == platform.KindModel {
		blocks = min(blocksMost, max(blocksLeast, prefixBytes/blockBytes/(len(s.endpoints)+1)))
	}
	e := route.NewEndpoint(i.ID, i.Incarnation, i.Addr, i.Hall, i.Serves, blocks, now)
	s.endpoints[i.ID] = &known{endpoint: e, kind: i.Kind}
	s.setPool(i.Kind, i.Serves, func(p *route.Pool) *route.Pool { return p.With(e) })
	s.emit(EndpointJoined{e, i.Kind})
}

// setPool publishes a changed pool. Only the small map of pools is copied.
func (s *State) setPool(kind platform.Kind, name string, change func(*route.Pool) *route.Pool) {
	pools := &s.snap.Models
	if kind == platform.KindService {
		pools = &s.snap.Services
	}
	next := maps.Clone(*pools)
	p := next[name]
	if p == nil {
		p = route.NewPool(name)
	}
	next[name] = change(p)
	*pools = next
	s.dirty = true
}

func (s *State) notices(notices []platform.Notice, now time.Time) {
	for _, n := range notices {
		if n.ID == s.snap.Self.Name {
			s.leaveSelf(Leave{By: n.Deadline})
			continue
		}
		s.leave(n.ID, n.Incarnation, n.Deadline, now)
	}
}

// leave takes an incarnation out of its pool for good.
func (s *State) leave(id string, num uint64, deadline, now time.Time) {
	inc := incarnation{id, num}
	if _, out := s.leaving[inc]; out {
		return
	}
	k, ok := s.endpoints[id]
	if !ok && deadline.IsZero() {
		return
	}
	s.leaving[inc] = &leaving{deadline: deadline, at: now}
	if !ok || k.endpoint.Incarnation != num {
		return
	}
	s.setPool(k.kind, k.endpoint.Model, func(p *route.Pool) *route.Pool { return p.Without(id) })
	s.emit(EndpointLeaving{Endpoint: k.endpoint, Kind: k.kind, Deadline: deadline})
}

func (s *State) gone(id string) {
	k := s.endpoints[id]
	delete(s.endpoints, id)
	s.setPool(k.kind, k.endpoint.Model, func(p *route.Pool) *route.Pool { return p.Without(id) })
	s.emit(EndpointGone{Endpoint: k.endpoint})
}

// recentAge is how long a leaving endpoint is told to peers.
const recentAge = 15 * time.Second

// recentLeaving returns the endpoints that began to leave of late.
func (s *State) recentLeaving(now time.Time) []platform.Notice {
	var out []platform.Notice
	for inc, l := range s.leaving {
		if now.Sub(l.at) < recentAge {
			out = append(out, platform.Notice{ID: inc.id, Incarnation: inc.num, Deadline: l.deadline})
		}
	}
	slices.SortFunc(out, func(a, b platform.Notice) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Seeds returns where entry instances may be found, from the list.
func Seeds(list []platform.Instance, self string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		if i.Kind == platform.KindEntry && i.ID != self && i.State != platform.StateLeaving {
			out = append(out, i.Peer)
		}
	}
	return out
}
