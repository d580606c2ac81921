package tally

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A receiver that applies the changes since its version always has the counts of the sender, although
// some of the answers are lost and sources restart.
func TestChangesAddUpToAllCounts(t *testing.T) {
	for seed := range uint64(200) {
		is := is.NewRelaxed(t)
		r := rand.New(rand.NewPCG(seed, 1))
		var sender Changes
		totals := make(map[Source]Counts[string, float64])
		received, version := make(map[Source]map[string]int64), int64(0)
		for range 60 {
			from := Source{fmt.Sprint("hub", r.IntN(4)), int64(r.IntN(2))}
			if totals[from] == nil {
				totals[from] = make(Counts[string, float64])
			}
			totals[from][fmt.Sprint("account", r.IntN(12))] += float64(r.IntN(1000))
			sender.Set(from, totals[from])
			if r.IntN(3) == 0 {
				continue // lost
			}
			for from := range totals {
				if received[from] == nil {
					received[from] = make(map[string]int64)
				}
				for _, c := range sender.Since(from, version) {
					received[from][sender.Name(c.Index)] = c.Value
				}
				for name, units := range totals[from] {
					is.Equal(received[from][name], int64(units))
				}
			}
			version = sender.Version()
		}
	}
}

func TestNothingChangedSinceTheLatestVersion(t *testing.T) {
	is := is.New(t)
	var c Changes
	a := Source{"a", 1}
	c.Set(a, Counts[string, float64]{"x": 0, "y": 2})
	is.Equal(len(c.Since(a, 0)), 2)
	at := c.Version()
	c.Set(a, Counts[string, float64]{"x": 0, "y": 2.2})
	is.Equal(c.Version(), at)
	is.Equal(len(c.Since(a, at)), 0)
	c.Set(a, Counts[string, float64]{"y": 3})
	is.Equal(c.Since(a, at), []Change{{c.index["y"], 3}})
	c.Retain(func(Source) bool { return false })
	is.Equal(len(c.Since(a, 0)), 0)
}
