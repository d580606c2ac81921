package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// partitionOf returns the partition of each endpoint, by ID.
func partitionOf(p Partitions) map[string]int {
	of := make(map[string]int)
	for i := range p.Len() {
		for _, e := range p.Endpoints(i) {
			of[e.ID] = i
		}
	}
	return of
}

// movedBetween returns how many endpoints that are in both divisions are in different partitions.
func movedBetween(a, b Partitions) (moved int) {
	before := partitionOf(a)
	for id, partition := range partitionOf(b) {
		if was, known := before[id]; known && was != partition {
			moved++
		}
	}
	return moved
}

// Each endpoint must be in exactly one partition, none of more than 8, or a hub gets more requests
// than it can place; and partitions must be even, or one endpoint alone serves the requests that are
// hashed to it.
func TestPartitionsAreFewSmallAndEven(t *testing.T) {
	is := is.New(t)
	is.Equal(Partition("svc", nil).Len(), 0)
	is.Equal(Partition("svc", nil).Index(&balance.Request{ID: "1"}), -1)
	for n := 1; n <= 200; n++ {
		p := Partition("svc", endpoints(n))
		is.Equal(p.Len(), (n+7)/8)
		is.Equal(len(partitionOf(p)), n)
		least, most, sum := n, 0, 0
		for i := range p.Len() {
			size := len(p.Endpoints(i))
			least, most, sum = min(least, size), max(most, size), sum+size
		}
		is.Equal(sum, n)
		is.True(most <= MaxPartition)
		if n <= 4*MaxPartition { // in larger ones few requests go to a small partition
			is.True(least >= 3 || n < 3)
		}
	}
}

// Instances and hubs list endpoints and hubs in different orders, and must still ask the same hub
// for the same endpoints.
func TestAllAgreeOnPartitionsAndHubs(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for n := 1; n <= 200; n += 7 {
		for hubs := 1; hubs <= 40; hubs += 3 {
			var names []string
			for i := range hubs {
				names = append(names, fmt.Sprint("h", i))
			}
			one, other, shuffled := endpoints(n), endpoints(n), slices.Clone(names)
			random.Shuffle(n, func(i, j int) { other[i], other[j] = other[j], other[i] })
			random.Shuffle(hubs, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
			a, b := Partition("svc", one), Partition("svc", other)
			is.Equal(partitionOf(a), partitionOf(b))
			for i := range a.Len() {
				order := PartitionHubs("svc", i, names)
				is.Equal(len(order), hubs)
				is.Equal(order, PartitionHubs("svc", i, shuffled))
			}
			for i := range 20 {
				r := &balance.Request{Service: "svc", ID: fmt.Sprint(i)}
				is.Equal(a.Index(r), b.Index(r))
			}
		}
	}
}

// A hub that dies must lose only its own partitions, and each goes to the hub that was asked next.
func TestARemovedHubMovesOnlyItsPartitions(t *testing.T) {
	is := is.New(t)
	hubs := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
	for i := range 40 {
		order := PartitionHubs("svc", i, hubs)
		for _, removed := range hubs {
			rest := PartitionHubs("svc", i, slices.DeleteFunc(slices.Clone(hubs), func(h string) bool { return h == removed }))
			is.Equal(rest, slices.DeleteFunc(slices.Clone(order), func(h string) bool { return h == removed }))
		}
	}
}

// Each move of an endpoint takes it from a hub that knows its requests to one that does not. One
// that joins or leaves must not redistribute all others.
func TestFewEndpointsMoveWhenOneJoinsOrLeaves(t *testing.T) {
	is := is.New(t)
	most, mean, same := 0, 0.0, 0
	for n := 1; n < 200; n++ {
		before, after := Partition("svc", endpoints(n)), Partition("svc", endpoints(n+1))
		moved := movedBetween(before, after)
		if before.Len() == after.Len() {
			most, mean, same = max(most, moved), mean+float64(moved), same+1
			continue
		}
		// A further partition takes its endpoints from the others.
		t.Logf("%d to %d partitions: %d of %d endpoints moved", before.Len(), after.Len(), moved, n)
		is.True(moved <= 2*MaxPartition)
	}
	mean /= float64(same)
	t.Logf("within the same number of partitions: %.2f moved on average, at most %d", mean, most)
	is.True(mean <= 2)
	is.True(most <= MaxPartition)
	p := Partition("svc", endpoints(60))
	for _, e := range endpoints(60) {
		rest := slices.DeleteFunc(endpoints(60), func(x registry.Endpoint) bool { return x.ID == e.ID })
		is.True(movedBetween(p, Partition("svc", rest)) <= MaxPartition)
	}
}

// A restarted endpoint has another ID; it must stay in its partition.
func TestARestartedEndpointStaysInItsPartition(t *testing.T) {
	is := is.New(t)
	all := endpoints(40)
	for i := range all {
		all[i].Name = all[i].ID
	}
	before := partitionOf(Partition("svc", all))
	all[7].ID = "s7@2"
	after := partitionOf(Partition("svc", all))
	is.Equal(after["s7@2"], before["s7"])
	delete(before, "s7")
	delete(after, "s7@2")
	is.Equal(before, after)
}

// Requests must be spread in proportion to the numbers of endpoints, and a repetition by the client
// must reach the same partition although its ID differs.
func TestRequestsAreSpreadOverPartitions(t *testing.T) {
	is := is.New(t)
	const requests = 20_000
	p := Partition("svc", endpoints(19))
	got := make([]int, p.Len())
	for i := range requests {
		got[p.Index(&balance.Request{Service: "svc", ID: fmt.Sprint(i)})]++
		a := p.Index(&balance.Request{Service: "svc", ID: fmt.Sprint(i), Fingerprint: uint64(i + 1)})
		is.Equal(a, p.Index(&balance.Request{Service: "svc", ID: "again", Fingerprint: uint64(i + 1)}))
	}
	for i, n := range got {
		expected := float64(requests) * float64(len(p.Endpoints(i))) / 19
		t.Logf("partition of %d endpoints: %d requests, %.0f expected", len(p.Endpoints(i)), n, expected)
		is.True(float64(n) > 0.95*expected && float64(n) < 1.05*expected)
	}
}

func BenchmarkPartition(b *testing.B) {
	all := endpoints(2300)
	for b.Loop() {
		Partition("svc", all)
	}
}

func BenchmarkPartitionIndex(b *testing.B) {
	p, r := Partition("svc", endpoints(2300)), &balance.Request{Service: "svc", ID: "request-1"}
	b.ReportAllocs()
	for b.Loop() {
		p.Index(r)
	}
}
