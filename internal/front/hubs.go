package front

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Size from which a fleet has hubs, and how many.
const (
	directNodes = 16 // so many nodes all read the store and place requests themselves
	hubsInZone  = 2
)

// topology is who reads the store and places requests for all. It is immutable.
type topology struct {
	hubs []member // in the order in which this node asks them; empty in a small fleet
	self bool     // this node is a hub
}

// direct reports whether this node has to read the store itself.
func (t *topology) direct() bool { return t.self || len(t.hubs) == 0 }

// named returns a hub by its name, the zero member if there is none.
func (t *topology) named(name string) member {
	hub, _ := lo.Find(t.hubs, func(m member) bool { return m.name == name })
	return hub
}

// names returns the names of the hubs.
func (t *topology) names() []string {
	return lo.Map(t.hubs, func(m member, _ int) string { return m.name })
}

// newTopology chooses the hubs of a fleet: in each zone the nodes with the most
// processor time. All nodes that know the same members choose the same.
func newTopology(self member, others []member) *topology {
	if len(others) < directNodes {
		return &topology{}
	}
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b member) int {
		return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)))
	})
	t := &topology{}
	chosen := make(map[string]int) // by zone
	for _, m := range all {
		if chosen[m.zone] == hubsInZone {
			continue
		}
		chosen[m.zone]++
		t.hubs = append(t.hubs, m)
		t.self = t.self || m.name == self.name
	}
	slices.SortStableFunc(t.hubs, func(a, b member) int {
		return cmp.Or(compareTrue(a.zone == self.zone, b.zone == self.zone), cmp.Compare(pair(self.name, a.name), pair(self.name, b.name)))
	})
	return t
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
// zone are spread over its hubs.
func pair(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
