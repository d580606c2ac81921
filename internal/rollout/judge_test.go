package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation describes how the two versions of a roll-out serve requests. Shares are of 1; those of
// the new version are added to the old one's.
type simulation struct {
	rate           int     // requests to the new version per evaluation of 0.3 s
	routes         int     // number of routes that they are spread over
	baseFailures   float64 // share of requests that the old version fails
	extraFailures  float64 // share that the new version fails on top
	extraLate      float64 // share with a late first event at the new version, on top of 0.05 at both
	extraSlow      float64 // share of slow streams at the new version, on top of 0.05 at both
	badFrom        int     // evaluation from which the new version is bad
	badRoute       int     // the only route that is bad, -1 for all
	faultyGroups   int     // groups of endpoints of the new version that fail another half of their requests
	commonFailures float64 // share that both versions fail on top in evaluations 5 to 9
}

func defaultSimulation() simulation {
	return simulation{rate: 8, routes: 3, baseFailures: 0.01, badRoute: -1}
}

// flip returns 1 with the probability share, else 0.
func flip(random *rand.Rand, share float64) int64 {
	if random.Float64() < share {
		return 1
	}
	return 0
}

// run simulates the trial of an order with a window of 12 s until its end. It returns whether the
// new version is rolled back, and how many requests it failed, answered late or streamed slowly.
func (p simulation) run(seed uint64) (bad bool, harmed int64) {
	random := rand.New(rand.NewPCG(seed, 7))
	j, total := NewJudge(), make(Counts)
	now := time.Unix(1000, 0)
	r := Begin(Order{Service: "s", Target: "v2", Revision: 1, Window: 12 * time.Second}, nil, now)
	one := func(trial bool, evaluation int) {
		route := random.IntN(p.routes)
		k := Key{Service: "s", Order: 1, Route: fmt.Sprint("r", route), Trial: trial}
		failing, late, slow := p.baseFailures, 0.05, 0.05
		if evaluation >= 5 && evaluation < 10 {
			failing += p.commonFailures
		}
		if trial {
			k.Bucket = uint8(random.IntN(Buckets))
			if evaluation >= p.badFrom && (p.badRoute < 0 || p.badRoute == route) {
				failing, late, slow = failing+p.extraFailures, late+p.extraLate, slow+p.extraSlow
			}
			if int(k.Bucket) < p.faultyGroups {
				failing += 0.5
			}
		}
		add := func(counter Counter, n int64) {
			k.Counter = counter
			total[k] += n
		}
		failed, lateStart, slowStream := flip(random, failing), flip(random, late), flip(random, slow)
		add(Started, 1)
		add(SlowStart, lateStart)
		add(Ended, 1)
		add(Failed, failed)
		add(SlowStream, slowStream)
		if trial {
			harmed += failed | lateStart | slowStream
		}
	}
	for evaluation := 0; r.Phase == Trial; evaluation++ {
		for range p.rate {
			one(true, evaluation)
		}
		for range 10 * p.rate {
			one(false, evaluation)
		}
		now = now.Add(300 * time.Millisecond)
		r, _ = Next(r, Observation{Now: now, Verdict: j.Evaluate(total), Targets: 8, Others: 80})
	}
	return r.Phase == RolledBack, harmed
}

// verdicts runs the simulation with a number of seeds. It returns the share of runs in which the new
// version is rolled back, and the most requests that it served badly in one of these.
func (p simulation) verdicts(runs int) (share float64, most int64) {
	for seed := range runs {
		bad, harmed := p.run(uint64(seed))
		if bad {
			share += 1 / float64(runs)
			most = max(most, harmed)
		}
	}
	return share, most
}

// Runs 200 simulated trials of each kind. A good version must be rolled back in at most 2 of 100. A
// bad one must be rolled back in at least 97 of 100, after at most 70 requests that it served badly,
// including those that the old version would have failed as well.
func TestFalseVerdicts(t *testing.T) {
	good := map[string]func(*simulation){
		"as good":                        func(*simulation) {},
		"as bad, 5 in 100 fail":          func(p *simulation) { p.baseFailures = 0.05 },
		"as bad, 20 in 100 fail":         func(p *simulation) { p.baseFailures = 0.2 },
		"few requests":                   func(p *simulation) { p.rate = 2 },
		"one sick group":                 func(p *simulation) { p.faultyGroups = 1 },
		"three sick groups":              func(p *simulation) { p.faultyGroups = 3 },
		"all fail more for five looks":   func(p *simulation) { p.commonFailures = 0.2 },
		"a little worse, 2 in 100 fail":  func(p *simulation) { p.extraFailures = 0.01 },
		"many requests":                  func(p *simulation) { p.rate = 30 },
		"a little later, 9 in 100 late":  func(p *simulation) { p.extraLate = 0.04 },
		"many requests, one sick group":  func(p *simulation) { p.rate, p.faultyGroups = 30, 1 },
		"many requests, fail 5 in 100":   func(p *simulation) { p.rate, p.baseFailures = 30, 0.05 },
		"many requests, all fail more":   func(p *simulation) { p.rate, p.commonFailures = 30, 0.1 },
		"single route, few requests":     func(p *simulation) { p.rate, p.routes = 3, 1 },
		"single route, one sick group":   func(p *simulation) { p.routes, p.faultyGroups = 1, 1 },
		"single route, 10 in 100 fail":   func(p *simulation) { p.routes, p.baseFailures = 1, 0.1 },
		"single route, all fail for 1 s": func(p *simulation) { p.routes, p.commonFailures = 1, 0.5 },
	}
	bad := map[string]func(*simulation){
		"fails 15 in 100":             func(p *simulation) { p.extraFailures = 0.15 },
		"fails 30 in 100":             func(p *simulation) { p.extraFailures = 0.3 },
		"fails all":                   func(p *simulation) { p.extraFailures = 1 },
		"fails 30 in 100 from look 9": func(p *simulation) { p.extraFailures, p.badFrom = 0.3, 9 },
		"fails 40 in 100 on a route":  func(p *simulation) { p.extraFailures, p.badRoute = 0.4, 1 },
		"half are late":               func(p *simulation) { p.extraLate = 0.5 },
		"all are late":                func(p *simulation) { p.extraLate = 0.95 },
		"half of the streams slow":    func(p *simulation) { p.extraSlow = 0.5 },
		"late from look 9":            func(p *simulation) { p.extraLate, p.badFrom = 0.6, 9 },
		"fails 30, others 5 in 100":   func(p *simulation) { p.extraFailures, p.baseFailures = 0.3, 0.05 },
		"fails 30 with a sick group":  func(p *simulation) { p.extraFailures, p.faultyGroups = 0.3, 1 },
	}
	const runs = 200
	for name, change := range good {
		t.Run(name, func(t *testing.T) {
			p := defaultSimulation()
			change(&p)
			share, _ := p.verdicts(runs)
			t.Logf("found bad: %.3f", share)
			is.New(t).True(share <= 0.02)
		})
	}
	for name, change := range bad {
		t.Run(name, func(t *testing.T) {
			p := defaultSimulation()
			change(&p)
			share, most := p.verdicts(runs)
			t.Logf("found bad: %.3f, bad answers until then at most %d", share, most)
			is.New(t).True(share >= 0.97)
			is.New(t).True(most <= 70)
		})
	}
}
