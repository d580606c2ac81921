package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any distribution of requests and failures over the instances, no window has more retries
// than the limits allow all instances together.
func TestTheBudgetOfAllInstancesHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: rapid.Float64Range(56, 630).Draw(t, "slack"), Window: 10 * time.Second}
		instances := rapid.IntRange(1, 400).Draw(t, "instances")
		rate := rapid.Float64Range(0, 200).Draw(t, "requests a second")
		failing := rapid.Float64Range(0, 1).Draw(t, "share that fails")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		budgets := make([]Budget, instances)
		now := time.Unix(1000, 0)
		const step, window = 50 * time.Millisecond, 200
		var first, second []int
		for range 1000 {
			now = now.Add(step)
			f, s := 0, 0
			for asked := rate * step.Seconds(); asked > rnd.Float64(); asked-- {
				b := &budgets[rnd.IntN(instances)]
				b.RecordRequest(limits, instances, now)
				f++
				for range 3 { // several attempts of one request
					if rnd.Float64() < failing && b.Take(limits, instances, rnd.Float64(), now) {
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
			if float64(tries) > limits.Ratio*float64(requests)+limits.Slack {
				t.Fatalf("%d second tries for %d requests", tries, requests)
			}
		}
	})
}

// One request in seven fails at its first attempt. In a large fleet each instance sees few of them,
// and its part of the slack is less than one retry; most of them are retried nevertheless.
func TestRetriesInALargeFleet(t *testing.T) {
	limits := Limits{Ratio: 0.2, Slack: 630, Window: 10 * time.Second}
	for instances, least := range map[int]float64{8: 0.95, 83: 0.95, 295: 0.7, 1000: 0.3} {
		rnd := rand.New(rand.NewPCG(1, uint64(instances)))
		budgets := make([]Budget, instances)
		now := time.Unix(1000, 0)
		failed, again := 0, 0
		for range 6000 {
			now = now.Add(4 * time.Millisecond)
			b := &budgets[rnd.IntN(instances)]
			b.RecordRequest(limits, instances, now)
			if rnd.Float64() > 1.0/7 {
				continue
			}
			failed++
			if b.Take(limits, instances, rnd.Float64(), now) {
				again++
			}
		}
		t.Logf("%d instances: %d of %d tried again", instances, again, failed)
		if float64(again) < least*float64(failed) {
			t.Fail()
		}
	}
}
