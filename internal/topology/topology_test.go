package topology

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func newFleet(halls, each int) []Member {
	var all []Member
	for z := range halls {
		for i := range each {
			m := Member{Name: fmt.Sprintf("%d-%d", z, i), Hall: fmt.Sprint(z), Cores: 0.2}
			if i < 1 {
				m.Cores = 0.8
			}
			all = append(all, m)
		}
	}
	return all
}

func without(all []Member, i int) []Member {
	return append(append([]Member(nil), all[:i]...), all[i+1:]...)
}

func TestAllInstancesChooseTheSameHubs(t *testing.T) {
	is := is.New(t)
	all := newFleet(4, 20)
	first := make(map[string]int) // by the hub that an instance asks first
	count := 0
	for i, self := range all {
		top := New(self, without(all, i))
		is.Equal(len(top.Hubs), 8)
		names := make(map[string]bool)
		for _, h := range top.Hubs {
			names[h.Name] = true
		}
		for z := range 4 {
			is.True(names[fmt.Sprintf("%d-0", z)]) // the instance of the hall with the most CPU time
		}
		is.Equal(top.IsHub, names[self.Name])
		is.Equal(top.Hubs[0].Hall, self.Hall)
		first[top.Hubs[0].Name]++
		if top.IsHub {
			count++
		}
	}
	is.Equal(count, 8)
	is.Equal(len(first), 8) // the instances are spread over all hubs
}

// Each call to the store costs money: a few hubs of different halls read it, whatever the number of
// halls, and one more for each hundred instances.
func TestFewHubsReadTheStore(t *testing.T) {
	for _, c := range []struct{ halls, each, want int }{{1, 24, 2}, {2, 24, 2}, {6, 8, 3}, {6, 49, 3}, {20, 17, 4}} {
		is := is.New(t)
		all := newFleet(c.halls, c.each)
		readers := make(map[string]int) // by hall
		for i, self := range all {
			top := New(self, without(all, i))
			is.Equal(len(top.Readers), c.want)
			if top.IsReader {
				is.True(top.IsHub)
				is.Equal(top.Readers[0].Hall, self.Hall)
				readers[self.Hall]++
			}
		}
		sum := 0
		for _, n := range readers {
			sum += n
		}
		is.Equal(sum, c.want)
		is.Equal(len(readers), min(c.halls, c.want))
	}
}

func TestASmallFleetHasNoHubs(t *testing.T) {
	is := is.New(t)
	all := newFleet(4, 4)
	is.Equal(len(New(all[0], all[1:]).Hubs), 0) // a small fleet has none
}
