// Package member knows the entry instances: who is alive, suspect, leaving or
// dead.
//
// News comes from the platform's lagging list, from heartbeats, and from what
// peers report third ones. An incarnation that is leaving or was replaced
// never comes back; a suspect or dead one that is seen again does, since
// it was only frozen or cut off. The package is pure and belongs to one
// goroutine.
package member

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a member.
type State int

// The states.
const (
	Alive   State = iota
	Suspect       // not seen for a while
	Dead          // not seen until the dead line
)

// String returns the word shown by status.
func (s State) String() string { return [...]string{"alive", "suspect", "dead"}[s] }

// Times until a silent member changes its state.
const (
	HeartbeatEvery = 300 * time.Millisecond
	SparseEvery    = 700 * time.Millisecond // in a fleet larger than a full mesh
	SuspectAfter   = 1200 * time.Millisecond
	DeadAfter      = 3 * time.Second
	ForgetAfter    = 2 * time.Minute
)

// Member is an entry instance as seen from here.
type Member struct {
	ID            string // NAME#INCARNATION
	Name          string
	Hall          string
	Addr          netip.AddrPort // peer address
	State         State
	Leaving       bool
	Beat          uint64 // highest heartbeat seen
	TableRevision uint64
	ViewEpoch     uint64
	SeenAt        time.Time // when a higher heartbeat was last seen, on this clock
}

// Usable reports whether new work may be given to the member.
func (m Member) Usable() bool { return m.State == Alive && !m.Leaving }

// Change is a change of a member's state.
type Change struct {
	Member Member
	Was    State
	New    bool // first seen
	Left   bool // began to leave
}

// List is what this instance knows of all entry instances.
type List struct {
	self    Member
	members []Member // sorted by ID, without self
	retired []string // incarnations that were replaced; newest last
}

const maxRetired = 1024

// NewList returns a list that knows only this instance.
func NewList(self Member) *List { return &List{self: self} }

// Self returns this instance.
func (l *List) Self() Member { return l.self }

// SetSelf changes what this instance says of itself.
func (l *List) SetSelf(m Member) { l.self = m }

// Members returns the other instances, sorted by ID. The slice is a copy.
func (l *List) Members() []Member { return slices.Clone(l.members) }

// Find returns the member with this ID.
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

func (l *List) search(id string) (int, bool) {
	return slices.BinarySearchFunc(l.members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
}

// Apply takes an update of a member, from itself or from a peer. An older one than
// what is known is ignored.
func (l *List) Apply(m Member, now time.Time) (Change, bool) {
	if m.ID == l.self.ID || m.ID == "" || slices.Contains(l.retired, m.ID) {
		return Change{}, false
	}
	i, ok := l.search(m.ID)
	if !ok {
		if l.replaces(m) {
			return Change{}, false
		}
		m.SeenAt, m.State = now, Alive
		l.members = slices.Insert(l.members, i, m)
		return Change{Member: m, New: true, Left: m.Leaving}, true
	}
	old := &l.members[i]
	c := Change{Was: old.State, Left: m.Leaving && !old.Leaving}
	old.Leaving = old.Leaving || m.Leaving
	if m.Beat > old.Beat {
		old.Beat, old.SeenAt, old.State = m.Beat, now, Alive
		old.TableRevision = max(old.TableRevision, m.TableRevision)
		old.ViewEpoch = max(old.ViewEpoch, m.ViewEpoch)
		old.Addr, old.Hall = m.Addr, m.Hall
	}
	c.Member = *old
	return c, c.Left || c.Was != old.State
}

// replaces retires other incarnations under the name of m. It reports true
// when m itself is the older one.
func (l *List) replaces(m Member) bool {
	for i := range l.members {
		o := l.members[i]
		if o.Name != m.Name {
			continue
		}
		if incarnation(o.ID) > incarnation(m.ID) {
			return true
		}
		l.members[i].Leaving = true // the next Tick reports it dead
		l.retired = append(l.retired, o.ID)
		if len(l.retired) > maxRetired {
			l.retired = l.retired[1:]
		}
	}
	return false
}

// incarnation returns the sortable part of an ID after the name.
func incarnation(id string) string {
	_, inc, _ := strings.Cut(id, "#")
	return inc
}

// Tick moves silent members on and returns the changes. Members that were
// dead for long are forgotten.
func (l *List) Tick(now time.Time) []Change {
	var changes []Change
	near := make(map[string]bool)
	for _, m := range l.Neighbours() {
		near[m.ID] = true
	}
	for i := range l.members {
		m := &l.members[i]
		was := m.State
		factor := time.Duration(1)
		if !near[m.ID] {
			factor = farFactor
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
			changes = append(changes, Change{Member: *m, Was: was})
		}
	}
	l.members = slices.DeleteFunc(l.members, func(m Member) bool {
		return m.State == Dead && now.Sub(m.SeenAt) >= ForgetAfter
	})
	return changes
}

// FullMesh is the number of members up to which each speaks with each.
const FullMesh = 16

// Neighbours of an instance in a fleet larger than a full mesh.
const (
	nearMost = 4 // in its own hall
	farMost  = 4 // in all other halls together
)

// Every returns how often an instance that knows n others sends heartbeats.
func Every(n int) time.Duration {
	if n < FullMesh {
		return HeartbeatEvery
	}
	return SparseEvery
}

// farFactor is by how much longer a member that is no neighbour may be silent:
// updates of it come from third ones, and less often.
const farFactor = 8

// Neighbours returns the members that this instance sends heartbeats to: all
// of a small fleet; else a few of its own hall and a few of other halls, each
// of another hall as long as there are, which follow from the IDs so that the
// links are spread evenly. However large the fleet, they are at most eight.
func (l *List) Neighbours() []Member {
	if len(l.members) < FullMesh {
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
	near, far := 0, 0
	linked := make(map[string]bool) // other halls that a neighbour is in
	for _, m := range ranked {
		switch {
		case m.Hall == l.self.Hall && near < nearMost:
			near++
			out = append(out, m)
		case m.Hall != l.self.Hall && !linked[m.Hall] && far < farMost:
			far++
			linked[m.Hall] = true
			out = append(out, m)
		}
	}
	for _, m := range ranked {
		if far < farMost && m.Hall != l.self.Hall && !slices.ContainsFunc(out, func(o Member) bool { return o.ID == m.ID }) {
			far++
			out = append(out, m)
		}
	}
	return out
}
