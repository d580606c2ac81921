// Package topology chooses which instances of a large fleet are hubs: those that place
// requests and sum counts for the others, of which a few read the store for all.
//
// Nothing is elected: all instances that know the same members choose the same. The
// package is pure.
package topology

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Size from which a fleet has hubs, and how many.
const (
	// SmallFleet is the number of instances that all read the store and place requests
	// themselves.
	SmallFleet = 16
	// HubsInHall is how many hubs each hall has.
	HubsInHall   = 2
	readersLeast = 2 // hubs that read the store, however few halls there are, and
	readersMost  = 3 // at the most, or one for so many instances:
	perReader    = 100
	// standbyRounds is how many times as many as the readers may be asked to stand in for
	// them: the store may turn a third of a fleet away at once, and with
	// it all readers.
	standbyRounds = 3
)

// Member is an instance of the fleet.
type Member struct {
	Name  string
	Addr  netip.AddrPort // at which the others reach it
	Hall  string
	Cores float64 // processor time that it may use
}

// Topology is who reads the store and places requests for all. It is immutable. The zero
// value is that of a small fleet.
type Topology struct {
	Hubs    []Member // in the order in which this node asks them; empty in a small fleet
	Self    bool     // this node is a hub
	Readers []Member // the hubs that read the store, in that order, of different halls
	Reads   bool     // this node is one of these
	// Standbys read the store while no reader can: rounds of as many as there are readers,
	// the same for all instances, each in the order in which this node asks.
	Standbys [][]Member
}

// Direct reports whether this node has to read the store itself.
func (t *Topology) Direct() bool { return t.Reads || len(t.Hubs) == 0 }

// Named returns a hub by its name, the zero member if there is none.
func (t *Topology) Named(name string) Member {
	hub, _ := lo.Find(t.Hubs, func(m Member) bool { return m.Name == name })
	return hub
}

// Names returns the names of the hubs.
func (t *Topology) Names() []string {
	return lo.Map(t.Hubs, func(m Member, _ int) string { return m.Name })
}

// New chooses the hubs of a fleet: in each hall the nodes with the most
// processor time. All nodes that know the same members choose the same.
func New(self Member, others []Member) *Topology {
	if len(others) < SmallFleet {
		return &Topology{}
	}
	all := rank(append(slices.Clone(others), self))
	t := &Topology{}
	chosen := make(map[string]int) // by hall
	var first, more []Member       // hubs that are the first of their hall, and the others
	for _, m := range all {
		switch chosen[m.Hall]++; {
		case chosen[m.Hall] == 1:
			first = append(first, m)
		case chosen[m.Hall] <= HubsInHall:
			more = append(more, m)
		}
	}
	isSelf := func(m Member) bool { return m.Name == self.Name }
	t.Hubs = slices.Concat(first, more)
	t.Readers = readersOf(first, more, len(all))
	t.Standbys = standbysOf(t.Readers, slices.Concat(t.Hubs, all))
	t.Self, t.Reads = slices.ContainsFunc(t.Hubs, isSelf), slices.ContainsFunc(t.Readers, isSelf)
	order := func(a, b Member) int {
		return cmp.Or(compareTrue(a.Hall == self.Hall, b.Hall == self.Hall), cmp.Compare(Pair(self.Name, a.Name), Pair(self.Name, b.Name)))
	}
	for _, list := range append([][]Member{t.Hubs, t.Readers}, t.Standbys...) {
		slices.SortStableFunc(list, order)
	}
	return t
}

// rank sorts members by processor time, those with the most first; those with as much
// by a hash, which all nodes work out alike.
func rank(all []Member) []Member {
	type hashed struct {
		Member
		hash uint64
	}
	ranked := lo.Map(all, func(m Member, _ int) hashed { return hashed{m, xxhash.Sum64String(m.Name)} })
	slices.SortFunc(ranked, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.hash, b.hash))
	})
	return lo.Map(ranked, func(h hashed, _ int) Member { return h.Member })
}

// standbysOf chooses who reads the store while no reader can, from instances of which
// those to prefer come first; one may be there twice.
func standbysOf(readers, ranked []Member) [][]Member {
	taken := make(map[string]bool)
	for _, m := range readers {
		taken[m.Name] = true
	}
	var standbys []Member
	for _, m := range ranked {
		if len(standbys) == standbyRounds*len(readers) {
			break
		}
		if !taken[m.Name] {
			taken[m.Name] = true
			standbys = append(standbys, m)
		}
	}
	return lo.Chunk(standbys, len(readers))
}

// readersOf chooses the hubs that read the store for a number of instances: each of
// them pays for its calls, while a question of an instance to a hub costs nothing.
func readersOf(first, more []Member, instances int) []Member {
	most := max(readersMost, (instances+perReader-1)/perReader)
	if len(first) >= readersLeast {
		return slices.Clone(first[:min(len(first), most)])
	}
	return slices.Concat(first, more[:min(len(more), readersLeast-len(first))])
}

// compareTrue orders true before false.
func compareTrue(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Pair is a hash that differs between pairs of names, so that the nodes of a
// hall are spread over its hubs.
func Pair(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
