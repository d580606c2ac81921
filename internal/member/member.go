// Package member tracks the membership of entry instances: which are alive,
// suspected, leaving or dead.
//
// Its input is heartbeats, which carry the state of their sender and what it knows
// of other members. A suspected or dead member is alive again once a new heartbeat
// of it is seen, because it may only have been frozen or cut off. An incarnation
// that is leaving stays leaving, and one that was replaced never returns. The
// package performs no I/O and reads no clock. A List is not safe for concurrent
// use.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member as determined by failure detection.
type State int

// States of a member.
const (
	Alive   State = iota
	Suspect       // no heartbeat for SuspectAfter
	Dead          // no heartbeat for DeadAfter, or replaced by a newer incarnation
)

// String returns the name of the state as shown by the status command.
func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Heartbeat intervals, and the times without a heartbeat after which a neighbour
// changes state. For other members SuspectAfter and DeadAfter are multiplied by
// indirectTimeoutFactor.
const (
	MeshHeartbeatInterval   = 300 * time.Millisecond // in a full mesh
	SparseHeartbeatInterval = 700 * time.Millisecond // if there are too many members for a full mesh
	SuspectAfter            = 1200 * time.Millisecond
	DeadAfter               = 3 * time.Second
	RemoveAfter             = 2 * time.Minute // from the last heartbeat of a dead member
)

// Member is an entry instance as seen by this one.
type Member struct {
	ID            string // name and incarnation: NAME#INCARNATION
	Name          string
	Hall          string
	Addr          netip.AddrPort // address for calls between instances
	State         State
	Leaving       bool
	HeartbeatSeq  uint64 // highest heartbeat sequence number seen
	TableRevision uint64
	ViewEpoch     uint64
	SeenAt        time.Time // when the heartbeat sequence number last increased, on the clock of this instance
}

// Usable reports whether the member may be given new work.
func (m Member) Usable() bool { return m.State == Alive && !m.Leaving }

// Change is a change of a member's state.
type Change struct {
	Member         Member
	Previous       State // state before the change; meaningless if New is set
	New            bool  // the member was seen for the first time
	StartedLeaving bool  // the member started to leave
}

// List is the membership as known to this instance.
type List struct {
	self    Member
	members []Member // sorted by ID, without self
	retired []string // IDs of incarnations that were replaced, newest last
}

// maxRetired bounds the number of replaced incarnations that are kept.
const maxRetired = 1024

// NewList returns a list that contains only this instance.
func NewList(self Member) *List { return &List{self: self} }

// Self returns this instance.
func (l *List) Self() Member { return l.self }

// SetSelf replaces the entry of this instance.
func (l *List) SetSelf(m Member) { l.self = m }

// Members returns a copy of the other instances, sorted by ID.
func (l *List) Members() []Member { return slices.Clone(l.members) }

// Find returns the member with this ID, if there is one. It may be this instance.
func (l *List) Find(id string) (Member, bool) {
	if id == l.self.ID {
		return l.self, true
	}
	i, ok := l.search(id)
	if !ok {
		return Member{}, false
	}
	return l.members[i], true
}

// search returns the index of the member with this ID, or the index to insert it at.
func (l *List) search(id string) (int, bool) {
	return slices.BinarySearchFunc(l.members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

// Apply merges an update about a member, received from the member itself or from a
// peer. It returns the resulting change and reports whether the state of the member
// changed. Only an update with a higher heartbeat sequence number replaces what is
// known, except that Leaving is always merged.
func (l *List) Apply(m Member, now time.Time) (Change, bool) {
	if m.ID == l.self.ID || m.ID == "" || slices.Contains(l.retired, m.ID) {
		return Change{}, false
	}
	i, ok := l.search(m.ID)
	if !ok {
		if l.retireOlder(m) {
			return Change{}, false
		}
		m.SeenAt, m.State = now, Alive
		l.members = slices.Insert(l.members, i, m)
		return Change{Member: m, New: true, StartedLeaving: m.Leaving}, true
	}
	old := &l.members[i]
	c := Change{Previous: old.State, StartedLeaving: m.Leaving && !old.Leaving}
	old.Leaving = old.Leaving || m.Leaving
	if m.HeartbeatSeq > old.HeartbeatSeq {
		old.HeartbeatSeq, old.SeenAt, old.State = m.HeartbeatSeq, now, Alive
		old.TableRevision = max(old.TableRevision, m.TableRevision)
		old.ViewEpoch = max(old.ViewEpoch, m.ViewEpoch)
		old.Addr, old.Hall = m.Addr, m.Hall
	}
	c.Member = *old
	return c, c.StartedLeaving || c.Previous != old.State
}

// retireOlder retires the known incarnations with the same name as m that are older
// than m. It reports true if m itself is the older one.
func (l *List) retireOlder(m Member) bool {
	for i := range l.members {
		o := l.members[i]
		if o.Name != m.Name {
			continue
		}
		if incarnation(o.ID) > incarnation(m.ID) {
			return true
		}
		l.members[i].Leaving = true // the next Tick reports it as dead
		l.retired = append(l.retired, o.ID)
		if len(l.retired) > maxRetired {
			l.retired = l.retired[1:]
		}
	}
	return false
}

// incarnation returns the part of an ID after the name. It sorts by age.
func incarnation(id string) string {
	_, inc, _ := strings.Cut(id, "#")
	return inc
}

// Tick marks members without recent heartbeats as suspected or dead and returns the
// changes. It removes dead members after RemoveAfter.
func (l *List) Tick(now time.Time) []Change {
	var changes []Change
	direct := make(map[string]bool)
	for _, m := range l.Neighbours() {
		direct[m.ID] = true
	}
	for i := range l.members {
		m := &l.members[i]
		was := m.State
		factor := time.Duration(1)
		if !direct[m.ID] {
			factor = indirectTimeoutFactor
		}
		switch silent := now.Sub(m.SeenAt); {
		case slices.Contains(l.retired, m.ID):
			m.State = Dead
		case silent >= DeadAfter*factor:
			m.State = Dead
		case silent >= SuspectAfter*factor && m.State == Alive:
			m.State = Suspect
		}
		if m.State != was {
			changes = append(changes, Change{Member: *m, Previous: was})
		}
	}
	l.members = slices.DeleteFunc(l.members, func(m Member) bool {
		return m.State == Dead && now.Sub(m.SeenAt) >= RemoveAfter
	})
	return changes
}

// FullMeshLimit is the number of other members from which on an instance sends
// heartbeats to a few neighbours only instead of to all members.
const FullMeshLimit = 16

// Numbers of neighbours of an instance if there are too many members for a full mesh.
const (
	maxSameHallNeighbours  = 4 // in the hall of the instance
	maxOtherHallNeighbours = 4 // in all other halls together
)

// HeartbeatInterval returns the interval of heartbeats for an instance that knows n
// other members.
func HeartbeatInterval(n int) time.Duration {
	if n < FullMeshLimit {
		return MeshHeartbeatInterval
	}
	return SparseHeartbeatInterval
}

// indirectTimeoutFactor extends the timeouts for members that are not neighbours:
// their heartbeats are relayed by other members, and arrive less often.
const indirectTimeoutFactor = 8

// Neighbours returns the members that this instance sends heartbeats to. With fewer
// than FullMeshLimit other members these are all of them. Otherwise they are a few in
// its own hall and a few in other halls, in as many different halls as possible. The
// choice depends on hashes of the IDs, so that the links are spread evenly. There are
// at most eight, however many members there are.
func (l *List) Neighbours() []Member {
	if len(l.members) < FullMeshLimit {
		return l.Members()
	}
	ranked := make([]Member, 0, len(l.members))
	for _, m := range l.members {
		if m.State != Dead {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Compare(xxhash.Sum64String(l.self.ID+a.ID), xxhash.Sum64String(l.self.ID+b.ID))
	})
	var out []Member
	sameHall, otherHalls := 0, 0
	linkedHalls := make(map[string]bool) // other halls that have a neighbour
	for _, m := range ranked {
		switch {
		case m.Hall == l.self.Hall && sameHall < maxSameHallNeighbours:
			sameHall++
			out = append(out, m)
		case m.Hall != l.self.Hall && !linkedHalls[m.Hall] && otherHalls < maxOtherHallNeighbours:
			otherHalls++
			linkedHalls[m.Hall] = true
			out = append(out, m)
		}
	}
	for _, m := range ranked {
		if otherHalls < maxOtherHallNeighbours && m.Hall != l.self.Hall && !slices.ContainsFunc(out, func(o Member) bool { return o.ID == m.ID }) {
			otherHalls++
			out = append(out, m)
		}
	}
	return out
}
