// Package topology chooses which instances of a large fleet are hubs. Hubs place requests and
// aggregate counts for the other instances, and a few of them read the store for all.
//
// There is no election: all instances that know the same members choose the same hubs. The package
// is pure.
package topology

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Fleet sizes and numbers of hubs.
const (
	// SmallFleet is the number of instances up to which all of them read the store and place requests
	// themselves.
	SmallFleet = 16
	// HubsPerHall is the number of hubs in each hall.
	HubsPerHall        = 2
	minReaders         = 2 // minimum number of hubs that read the store, however few halls there are
	maxReaders         = 3 // maximum number of them, except that larger fleets have one per instancesPerReader instances
	instancesPerReader = 100
	// standbysPerReader is the number of standbys for each reader: the store may reject a third of a
	// fleet at once, and all readers with it.
	standbysPerReader = 3
)

// Member is an instance of the fleet.
type Member struct {
	Name  string
	Addr  netip.AddrPort // that the other instances connect to
	Hall  string
	Cores float64 // CPU time that it may use, in cores
}

// Topology is the division of tasks in a fleet, as seen by one instance. It is immutable. The zero
// value is that of a small fleet.
type Topology struct {
	Hubs     []Member // in the order in which this instance asks them; empty in a small fleet
	IsHub    bool     // this instance is a hub
	Readers  []Member // the hubs that read the store, in the same order, of different halls if there are enough
	IsReader bool     // this instance is a reader
	// Standbys read the store while no reader can. They are divided into rounds of as many as there
	// are readers. The rounds are the same for all instances, each in the order in which this
	// instance asks.
	Standbys [][]Member
}

// Hub returns a hub by its name, or the zero Member if there is none.
func (t *Topology) Hub(name string) Member {
	hub, _ := lo.Find(t.Hubs, func(m Member) bool { return m.Name == name })
	return hub
}

// HubNames returns the names of the hubs.
func (t *Topology) HubNames() []string {
	return lo.Map(t.Hubs, func(m Member, _ int) string { return m.Name })
}

// New chooses the hubs of a fleet: in each hall the instances with the most CPU time. All instances
// that know the same members choose the same hubs.
func New(self Member, others []Member) *Topology {
	if len(others) < SmallFleet {
		return &Topology{}
	}
	all := rank(append(slices.Clone(others), self))
	t := &Topology{}
	chosen := make(map[string]int) // by hall
	var first, more []Member       // the first hub of each hall, and the other hubs
	for _, m := range all {
		switch chosen[m.Hall]++; {
		case chosen[m.Hall] == 1:
			first = append(first, m)
		case chosen[m.Hall] <= HubsPerHall:
			more = append(more, m)
		}
	}
	isSelf := func(m Member) bool { return m.Name == self.Name }
	t.Hubs = slices.Concat(first, more)
	t.Readers = readersOf(first, more, len(all))
	t.Standbys = standbysOf(t.Readers, slices.Concat(t.Hubs, all))
	t.IsHub, t.IsReader = slices.ContainsFunc(t.Hubs, isSelf), slices.ContainsFunc(t.Readers, isSelf)
	order := func(a, b Member) int {
		return cmp.Or(trueFirst(a.Hall == self.Hall, b.Hall == self.Hall), cmp.Compare(PairHash(self.Name, a.Name), PairHash(self.Name, b.Name)))
	}
	for _, list := range append([][]Member{t.Hubs, t.Readers}, t.Standbys...) {
		slices.SortStableFunc(list, order)
	}
	return t
}

// rank sorts members by CPU time, the most first. Those with equal CPU time are sorted by a hash,
// which is the same at all instances.
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

// standbysOf chooses the standbys from instances ranked by preference, which may contain an
// instance twice.
func standbysOf(readers, ranked []Member) [][]Member {
	taken := make(map[string]bool)
	for _, m := range readers {
		taken[m.Name] = true
	}
	var standbys []Member
	for _, m := range ranked {
		if len(standbys) == standbysPerReader*len(readers) {
			break
		}
		if !taken[m.Name] {
			taken[m.Name] = true
			standbys = append(standbys, m)
		}
	}
	return lo.Chunk(standbys, len(readers))
}

// readersOf chooses the hubs that read the store for a fleet of the given size. Each call of a
// reader to the store costs money, while a call of an instance to a hub costs nothing.
func readersOf(first, more []Member, instances int) []Member {
	most := max(maxReaders, (instances+instancesPerReader-1)/instancesPerReader)
	if len(first) >= minReaders {
		return slices.Clone(first[:min(len(first), most)])
	}
	return slices.Concat(first, more[:min(len(more), minReaders-len(first))])
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// PairHash returns a hash of two names. Instances order the hubs of a hall by it, which spreads them
// over these hubs.
func PairHash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
