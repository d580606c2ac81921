package front

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Size from which a fleet has hubs, and how many.
const (
	directNodes  = 16 // so many nodes all read the store and place requests themselves
	hubsInHall   = 2
	readersLeast = 2 // hubs that read the store, however few halls there are, and
	readersMost  = 3 // at the most, or one for so many instances:
	perReader    = 100
	// standbyRounds is how many times as many as the readers may be asked to stand in for
	// them: a third of a fleet was seen to be turned away by the store at once, and with
	// it all readers.
	standbyRounds = 3
)

// topology is who reads the store and places requests for all. It is immutable.
type topology struct {
	hubs    []member // in the order in which this node asks them; empty in a small fleet
	self    bool     // this node is a hub
	readers []member // the hubs that read the store, in that order, of different halls
	reads   bool     // this node is one of these
	// standbys read the store while no reader can: rounds of as many as there are readers,
	// the same for all instances, each in the order in which this node asks.
	standbys [][]member
}

// direct reports whether this node has to read the store itself.
func (t *topology) direct() bool { return t.reads || len(t.hubs) == 0 }

// named returns a hub by its name, the zero member if there is none.
func (t *topology) named(name string) member {
	hub, _ := lo.Find(t.hubs, func(m member) bool { return m.name == name })
	return hub
}

// names returns the names of the hubs.
func (t *topology) names() []string {
	return lo.Map(t.hubs, func(m member, _ int) string { return m.name })
}

// newTopology chooses the hubs of a fleet: in each hall the nodes with the most
// processor time. All nodes that know the same members choose the same.
func newTopology(self member, others []member) *topology {
	if len(others) < directNodes {
		return &topology{}
	}
	all := rank(append(slices.Clone(others), self))
	t := &topology{}
	chosen := make(map[string]int) // by hall
	var first, more []member       // hubs that are the first of their hall, and the others
	for _, m := range all {
		switch chosen[m.hall]++; {
		case chosen[m.hall] == 1:
			first = append(first, m)
		case chosen[m.hall] <= hubsInHall:
			more = append(more, m)
		}
	}
	isSelf := func(m member) bool { return m.name == self.name }
	t.hubs = slices.Concat(first, more)
	t.readers = readersOf(first, more, len(all))
	t.standbys = standbysOf(t.readers, slices.Concat(t.hubs, all))
	t.self, t.reads = slices.ContainsFunc(t.hubs, isSelf), slices.ContainsFunc(t.readers, isSelf)
	order := func(a, b member) int {
		return cmp.Or(compareTrue(a.hall == self.hall, b.hall == self.hall), cmp.Compare(pair(self.name, a.name), pair(self.name, b.name)))
	}
	for _, list := range append([][]member{t.hubs, t.readers}, t.standbys...) {
		slices.SortStableFunc(list, order)
	}
	return t
}

// rank sorts members by processor time, those with the most first; those with as much
// by a hash, which all nodes work out alike.
func rank(all []member) []member {
	type hashed struct {
		member
		hash uint64
	}
	ranked := lo.Map(all, func(m member, _ int) hashed { return hashed{m, xxhash.Sum64String(m.name)} })
	slices.SortFunc(ranked, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.hash, b.hash))
	})
	return lo.Map(ranked, func(h hashed, _ int) member { return h.member })
}

// standbysOf chooses who reads the store while no reader can, from instances of which
// those to prefer come first; one may be there twice.
func standbysOf(readers, ranked []member) [][]member {
	taken := make(map[string]bool)
	for _, m := range readers {
		taken[m.name] = true
	}
	var standbys []member
	for _, m := range ranked {
		if len(standbys) == standbyRounds*len(readers) {
			break
		}
		if !taken[m.name] {
			taken[m.name] = true
			standbys = append(standbys, m)
		}
	}
	return lo.Chunk(standbys, len(readers))
}

// readersOf chooses the hubs that read the store for a number of instances: each of
// them pays for its calls, while a question of an instance to a hub costs nothing.
func readersOf(first, more []member, instances int) []member {
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

// pair is a hash that differs between pairs of names, so that the nodes of a
// hall are spread over its hubs.
func pair(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
