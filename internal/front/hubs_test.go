package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func fleetOf(zones, each int) []member {
	var all []member
	for z := range zones {
		for i := range each {
			m := member{name: fmt.Sprintf("%d-%d", z, i), zone: fmt.Sprint(z), cores: 0.2}
			if i < 1 {
				m.cores = 0.8
			}
			all = append(all, m)
		}
	}
	return all
}

func without(all []member, i int) []member {
	return append(append([]member(nil), all[:i]...), all[i+1:]...)
}

func TestAllNodesChooseTheSameHubs(t *testing.T) {
	is := is.New(t)
	all := fleetOf(4, 20)
	first := make(map[string]int) // which hub is asked first
	count := 0
	for i, self := range all {
		top := newTopology(self, without(all, i))
		is.Equal(len(top.hubs), 8)
		names := make(map[string]bool)
		for _, h := range top.hubs {
			names[h.name] = true
		}
		for z := range 4 {
			is.True(names[fmt.Sprintf("%d-0", z)]) // the strong one of each zone
		}
		is.Equal(top.self, names[self.name])
		is.Equal(top.hubs[0].zone, self.zone)
		first[top.hubs[0].name]++
		if top.self {
			count++
		}
	}
	is.Equal(count, 8)
	is.Equal(len(first), 8) // the load is spread
}

// Each call of the store is paid for: one instance of each hall reads it, and two
// where there is one hall only.
func TestOneInstanceOfEachHallReadsTheStore(t *testing.T) {
	is := is.New(t)
	for zones, want := range map[int]int{1: 2, 2: 2, 4: 4} {
		all := fleetOf(zones, 24)
		readers := make(map[string]int)
		for i, self := range all {
			top := newTopology(self, without(all, i))
			is.Equal(len(top.readers), want)
			is.Equal(top.readers[0].zone, self.zone)
			if top.reads {
				is.True(top.self)
				readers[self.zone]++
			}
		}
		is.Equal(len(readers), zones)
	}
}

func TestASmallFleetHasNoHubs(t *testing.T) {
	is := is.New(t)
	all := fleetOf(4, 4)
	is.True(newTopology(all[0], all[1:]).direct())
}
