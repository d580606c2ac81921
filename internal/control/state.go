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

// incarnation identifies an endpoint that was started under an ID; after a restart it is
// another incarnation with a higher number.
type incarnation struct {
	id  string
	num uint64
}

// leavingRecord records that an incarnation is leaving.
type leavingRecord struct {
	deadline time.Time // when it stops; zero if not known
	since    time.Time // when this instance learned of it
}

// knownEndpoint is an endpoint that the platform lists.
type knownEndpoint struct {
	endpoint    *route.Endpoint
	kind        platform.Kind
	missedReads int // consecutive reads of the list that did not contain it
}

// The prefix indexes of all endpoints together take at most about prefixIndexBytes of
// memory, as long as no index is at its minimum of minBlocks. blockBytes is the
// approximate size of a block in an index, which consists of two generations of maps.
const (
	prefixIndexBytes = 12 << 20
	blockBytes       = 64
	maxBlocks        = 4096
	minBlocks        = 64
)

// maxMissedReads is the number of consecutive reads of the list without an endpoint
// after which it is considered removed.
const maxMissedReads = 3

// leavingRetention is how long a leaving incarnation is remembered after its deadline,
// so that a stale list does not add it again.
const leavingRetention = 10 * time.Minute

// State is the control state. It performs no I/O and reads no clock: Apply processes an
// event at a given time and returns the effects. State is not safe for concurrent use.
type State struct {
	snap      Snapshot
	members   *member.List
	endpoints map[string]*knownEndpoint      // by ID
	leaving   map[incarnation]*leavingRecord // kept for leavingRetention, so that a stale list does not add the incarnation again
	usage     map[string][]admit.Usage       // by entry instance
	dirty     bool                           // snap has changed since the last call to Snapshot
	effects   []Effect                       // effects of the current event
}

// NewState returns the initial state of an instance.
func NewState(self member.Member) *State {
	return &State{
		snap:      Snapshot{Self: self, Models: Pools{}, Services: Pools{}, Demand: Demand{}},
		members:   member.NewList(self),
		endpoints: make(map[string]*knownEndpoint),
		leaving:   make(map[incarnation]*leavingRecord),
		usage:     make(map[string][]admit.Usage),
	}
}

// Snapshot returns the state to publish, and reports whether it has changed since the
// last call.
func (s *State) Snapshot() (Snapshot, bool) {
	changed := s.dirty
	s.dirty = false
	return s.snap, changed
}

// Apply processes an event and returns its effects.
func (s *State) Apply(e Event, now time.Time) []Effect {
	s.effects = nil
	switch e := e.(type) {
	case TableRead:
		s.tableRead(e)
	case ViewRead:
		s.viewRead(e)
	case InstanceListRead:
		s.listRead(e, now)
	case NoticesRead:
		s.noticesRead(e.Notices, now)
	case HeartbeatReceived:
		s.applyHeartbeat(e, now)
	case EndpointReportedLeaving:
		s.markLeaving(e.Endpoint.ID, e.Endpoint.Incarnation, time.Time{}, now)
	case Leave:
		s.markSelfLeaving(e)
	case tick:
		s.tick(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// tableRead activates a table with a higher revision than the current one, whatever its
// source.
func (s *State) tableRead(e TableRead) {
	if s.snap.Table != nil && e.Stored.Doc.Revision <= s.snap.Table.Revision {
		return
	}
	s.snap.Table = table.NewView(e.Stored.Doc)
	s.snap.Stored = e.Stored
	s.snap.Self.TableRevision = e.Stored.Doc.Revision
	s.dirty = true
	s.emit(TableActivated{Revision: e.Stored.Doc.Revision})
}

// viewRead activates a view with a higher epoch than the current one.
func (s *State) viewRead(e ViewRead) {
	if s.snap.View != nil && e.View.Epoch <= s.snap.View.Epoch {
		return
	}
	s.snap.View = e.View
	s.snap.Self.ViewEpoch = e.View.Epoch
	s.dirty = true
	s.emit(ViewActivated(e))
}

// markSelfLeaving marks this instance as leaving. A reclaim notice takes effect even after
// a planned stop has begun, because it sets the deadline.
func (s *State) markSelfLeaving(e Leave) {
	if s.snap.Leaving && (e.By.IsZero() || !s.snap.ReclaimDeadline.IsZero()) {
		return
	}
	s.snap.Leaving, s.snap.ReclaimDeadline = true, e.By
	s.snap.Self.Leaving = true
	s.dirty = true
	s.emit(SelfLeaving(e))
}

// applyHeartbeat merges the members, leaving endpoints and usage of a heartbeat.
func (s *State) applyHeartbeat(e HeartbeatReceived, now time.Time) {
	s.members.SetSelf(s.snap.Self)
	for _, m := range e.Members {
		if c, changed := s.members.Apply(m, now); changed {
			s.memberChanged(c)
		}
	}
	for _, n := range e.Leaving {
		s.markLeaving(n.ID, n.Incarnation, n.Deadline, now)
	}
	if e.From != "" && e.Usage != nil {
		s.usage[e.From] = e.Usage
	}
}

// memberChanged publishes a change of a member. The usage on a dead member no longer
// counts.
func (s *State) memberChanged(c member.Change) {
	s.snap.Members = s.members.Members()
	s.dirty = true
	if c.Member.State == member.Dead {
		delete(s.usage, c.Member.ID)
	}
	s.emit(MemberChanged{c})
}

// tick updates the states of the members, deletes old records of leaving incarnations, and
// sums the demand.
func (s *State) tick(now time.Time) {
	for _, c := range s.members.Tick(now) {
		s.memberChanged(c)
	}
	for inc, l := range s.leaving {
		if now.Sub(l.since) > leavingRetention && now.Sub(l.deadline) > leavingRetention {
			delete(s.leaving, inc)
		}
	}
	s.sumDemand()
}

// sumDemand publishes the summed usage on the other instances.
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

// listRead adds, removes and marks endpoints according to the instance list. Entry
// instances are skipped: their membership is derived from heartbeats.
func (s *State) listRead(e InstanceListRead, now time.Time) {
	seen := make(map[string]bool, len(e.Instances))
	for _, i := range e.Instances {
		seen[i.ID] = true
		if i.Kind == platform.KindEntry {
			continue
		}
		if i.State == platform.StateLeaving {
			s.markLeaving(i.ID, i.Incarnation, i.Deadline, now)
			continue
		}
		s.join(i, now)
	}
	for id, k := range s.endpoints {
		if seen[id] {
			k.missedReads = 0
			continue
		}
		if k.missedReads++; k.missedReads >= maxMissedReads {
			s.remove(id)
		}
	}
}

// join adds an endpoint to its pool, unless this incarnation is leaving or the same or a
// newer one is known.
func (s *State) join(i platform.Instance, now time.Time) {
	if _, out := s.leaving[incarnation{i.ID, i.Incarnation}]; out {
		return // the list is stale
	}
	old, ok := s.endpoints[i.ID]
	if ok && old.endpoint.Incarnation >= i.Incarnation {
		return
	}
	if ok {
		s.remove(i.ID)
	}
	blocks := 0
	if i.Kind == platform.KindModel {
		blocks = min(maxBlocks, max(minBlocks, prefixIndexBytes/blockBytes/(len(s.endpoints)+1)))
	}
	e := route.NewEndpoint(i.ID, i.Incarnation, i.Addr, i.Hall, i.Serves, blocks, now)
	e.Version = i.Version
	s.endpoints[i.ID] = &knownEndpoint{endpoint: e, kind: i.Kind}
	s.setPool(i.Kind, i.Serves, func(p *route.Pool) *route.Pool { return p.With(e) })
	s.emit(EndpointJoined{e, i.Kind})
}

// setPool replaces a pool by a changed copy. Of the other pools only the references are
// copied.
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

// noticesRead marks the instances that are being reclaimed as leaving.
func (s *State) noticesRead(notices []platform.Notice, now time.Time) {
	for _, n := range notices {
		if n.ID == s.snap.Self.Name {
			s.markSelfLeaving(Leave{By: n.Deadline})
			continue
		}
		s.markLeaving(n.ID, n.Incarnation, n.Deadline, now)
	}
}

// markLeaving permanently removes an incarnation from its pool. An incarnation that is not
// known yet is recorded if the deadline is known, so that a later list does not add it.
func (s *State) markLeaving(id string, num uint64, deadline, now time.Time) {
	inc := incarnation{id, num}
	if _, out := s.leaving[inc]; out {
		return
	}
	k, ok := s.endpoints[id]
	if !ok && deadline.IsZero() {
		return
	}
	s.leaving[inc] = &leavingRecord{deadline: deadline, since: now}
	if !ok || k.endpoint.Incarnation != num {
		return
	}
	s.setPool(k.kind, k.endpoint.Model, func(p *route.Pool) *route.Pool { return p.Without(id) })
	s.emit(EndpointLeaving{Endpoint: k.endpoint, Kind: k.kind, Deadline: deadline})
}

// remove removes an endpoint that no longer exists.
func (s *State) remove(id string) {
	k := s.endpoints[id]
	delete(s.endpoints, id)
	s.setPool(k.kind, k.endpoint.Model, func(p *route.Pool) *route.Pool { return p.Without(id) })
	s.emit(EndpointRemoved{Endpoint: k.endpoint})
}

// leavingAnnouncePeriod is how long peers are notified that an endpoint is leaving.
const leavingAnnouncePeriod = 15 * time.Second

// recentLeaving returns the endpoints that started to leave within
// leavingAnnouncePeriod, sorted by ID.
func (s *State) recentLeaving(now time.Time) []platform.Notice {
	var out []platform.Notice
	for inc, l := range s.leaving {
		if now.Sub(l.since) < leavingAnnouncePeriod {
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

// Seeds returns the addresses of the other entry instances in the list that are not
// leaving, to send the first heartbeats to.
func Seeds(list []platform.Instance, self string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range list {
		if i.Kind == platform.KindEntry && i.ID != self && i.State != platform.StateLeaving {
			out = append(out, i.Peer)
		}
	}
	return out
}
