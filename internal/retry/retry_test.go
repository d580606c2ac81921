package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes when at which node: in no window are there more second tries
// than the terms allow all nodes together.
func TestTheBudgetOfAllNodesHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
		nodes := rapid.IntRange(1, 40).Draw(t, "nodes")
		rate := rapid.Float64Range(0, 200).Draw(t, "requests a second")
		failing := rapid.Float64Range(0, 1).Draw(t, "share that fails")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		budgets := make([]Budget, nodes)
		now := time.Unix(1000, 0)
		const step, window = 50 * time.Millisecond, 200
		var first, second []int
		for range 1000 {
			now = now.Add(step)
			f, s := 0, 0
			for asked := rate * step.Seconds(); asked > rnd.Float64(); asked-- {
				b := &budgets[rnd.IntN(nodes)]
				b.Sent(terms, nodes, now)
				f++
				for range 3 { // several tries of one request
					if rnd.Float64() < failing && b.Take(terms, nodes, now) {
						s++
					}
				}
			}
			first, second = append(first, f), append(second, s)
		}
		requests, tries := 0, 0
		for i := range first {
			requests += first[i]
			tries += second[i]
			if i >= window {
				requests -= first[i-window]
				tries -= second[i-window]
			}
			if float64(tries) > terms.Ratio*float64(requests)+terms.Slack {
				t.Fatalf("%d second tries for %d requests", tries, requests)
			}
		}
	})
}
