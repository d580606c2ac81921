package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/table"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// admittedPerWindow sends requests of one client account to nine instances, with the load
// shifting between them, and returns how many were admitted in each 10 s window.
// gossip reports whether instance i receives the usage reports of instance j.
func admittedPerWindow(seed uint64, seconds int, gossip func(i, j int) bool) []int {
	const instances, asked = 9, 400
	rnd := rand.New(rand.NewPCG(seed, 2))
	acc := &table.Account{Name: "a", LimitRate: 100}
	var limiters [instances]*Limiter
	var last [instances][]Usage
	for i := range limiters {
		limiters[i] = New()
	}
	var windows []int
	n := 0
	hot := 0
	for step := range seconds * asked {
		now := t0.Add(time.Duration(step) * time.Second / asked)
		if step%(asked/3) == 0 { // a heartbeat every 333 ms
			for i := range limiters {
				last[i] = limiters[i].Usage(now)
			}
		}
		if step%(asked*4) == 0 { // the load shifts to another instance
			hot = rnd.IntN(instances)
		}
		i := rnd.IntN(instances)
		if rnd.IntN(2) == 0 {
			i = hot
		}
		var others Usage
		for j := range last {
			if j == i || !gossip(i, j) {
				continue
			}
			for _, u := range last[j] {
				others.Rate += u.Rate
			}
		}
		if limiters[i].Admit(acc, 1, others, now).OK {
			n++
			limiters[i].Done("a")
		}
		if (step+1)%(asked*10) == 0 {
			windows = append(windows, n)
			n = 0
		}
	}
	return windows
}

func TestLimitHoldsOverAllInstances(t *testing.T) {
	for seed := range uint64(5) {
		w := admittedPerWindow(seed, 60, func(int, int) bool { return true })
		for k, n := range w[1:] {
			if n < 900 || n > 1100 {
				t.Errorf("seed %d, 10 s from %d s: %d admitted, want 1000 within 10%%", seed, 10*(k+1), n)
			}
		}
	}
}

func TestPartitionAdmitsAtMostTwice(t *testing.T) {
	for seed := range uint64(5) {
		w := admittedPerWindow(seed, 60, func(i, j int) bool { return (i < 4) == (j < 4) })
		for k, n := range w[1:] {
			if n > 2100 {
				t.Errorf("seed %d, 10 s from %d s: %d admitted in a partition of two", seed, 10*(k+1), n)
			}
		}
	}
}

func TestOverShareFollowsWeights(t *testing.T) {
	l := New()
	weight := func(a string) float64 { return map[string]float64{"large": 4, "small": 1}[a] }
	for i := range 400 {
		now := t0.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Admit(&table.Account{Name: "large"}, 20, Usage{}, now)
		l.Admit(&table.Account{Name: "small"}, 10, Usage{}, now)
	}
	now := t0.Add(4 * time.Second)
	if l.OverShare("large", weight, nil, now) {
		t.Error("large has twice the demand of small and four times the weight, want not over its share")
	}
	if !l.OverShare("small", weight, nil, now) {
		t.Error("small has half the demand of large and a quarter of the weight, want over its share")
	}
	if l.OverShare("small", weight, map[string]Usage{"large": {Tokens: 50_000}}, now) {
		t.Error("large has 50,000 tokens/s of demand on other instances, want small not over its share")
	}
}
