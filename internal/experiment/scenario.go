package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/standin"
)

// scenario is a load with faults.
type scenario struct {
	name   string
	scale  func(c deployment.Class) float64
	faults func(ctx context.Context, b *bench, length time.Duration)
	edits  bool // whether the bench edits the table once a second
}

// Factors of the load at peak.
const (
	peakModels   = 2.5
	peakServices = 2.0
)

func even(deployment.Class) float64 { return 1 }

func peak(c deployment.Class) float64 {
	if c.Model != "" {
		return peakModels
	}
	return peakServices
}

func noFaults(ctx context.Context, _ *bench, _ time.Duration) { <-ctx.Done() }

var scenarios = []scenario{
	{"steady", even, noFaults, true},
	{"peak", peak, noFaults, false},
	{"hall-reclaim", even, hallReclaim, false},
	{"reclaim-storm", even, reclaimStorm, false},
	{"entry-kill", even, entryKill, false},
	{"entry-freeze", even, entryFreeze, false},
	{"rolling-restart", even, rollingRestart, false},
	{"store-outage", even, storeOutage, true},
	{"table-race", even, tableRace, false},
}

// ScenarioNames lists the scenarios.
func ScenarioNames() string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

func findScenario(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, fmt.Errorf("unknown scenario %q; there are %s", name, ScenarioNames())
}

const (
	hallNotice  = 8 * time.Second
	stormNotice = 5 * time.Second
	restartWait = 2 * time.Second
	frozenFor   = 5 * time.Second
	killPause   = 9 * time.Second // longer than it takes to notice a death and make new second copies
)

// pauseFor sleeps and reports whether the experiment still goes on.
func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// reclaimHall announces the reclaim of a hall with its entry instances and
// takes those at the deadline.
func (b *bench) reclaimHall(ctx context.Context, hall string, notice time.Duration) {
	if err := b.procs.Reclaim(ctx, hall, "", notice, true); err != nil {
		b.fail("reclaim: %v", err)
	}
	var taken sync.WaitGroup
	for i := range b.spec.Entries {
		if b.spec.Entry(b.o.Base, i).Hall == hall {
			taken.Go(func() {
				time.Sleep(notice)
				b.procs.KillEntry(i)
			})
		}
	}
	taken.Wait()
}

func hallReclaim(ctx context.Context, b *bench, length time.Duration) {
	if pauseFor(ctx, length/3) {
		b.reclaimHall(ctx, b.spec.Halls[0], hallNotice)
	}
}

// reclaimStorm takes single engines of all halls, then a whole hall.
func reclaimStorm(ctx context.Context, b *bench, length time.Duration) {
	if !pauseFor(ctx, length/5) {
		return
	}
	for i := range b.spec.Models[0].Engines / 4 {
		id := fmt.Sprintf("%s-%02d", b.spec.Models[0].Name, 2*i+1)
		if err := b.procs.Reclaim(ctx, "", id, stormNotice, false); err != nil {
			b.fail("reclaim: %v", err)
		}
		if !pauseFor(ctx, length/20) {
			return
		}
	}
	if pauseFor(ctx, length/10) {
		b.reclaimHall(ctx, b.spec.Halls[2], stormNotice)
	}
}

// entryKill kills entry instances one at a time without notice and starts them
// again, and one more in the middle of a hall's reclaim.
func entryKill(ctx context.Context, b *bench, length time.Duration) {
	begin := time.Now()
	for i := 0; time.Since(begin) < length/2; i++ {
		if !pauseFor(ctx, restartWait) {
			return
		}
		b.procs.KillEntry(i % b.spec.Entries)
		if !pauseFor(ctx, killPause) {
			return
		}
		if err := b.procs.StartEntry(i % b.spec.Entries); err != nil {
			b.fail("restart: %v", err)
		}
	}
	var reclaim sync.WaitGroup
	reclaim.Go(func() { b.reclaimHall(ctx, b.spec.Halls[1], hallNotice) })
	if pauseFor(ctx, hallNotice/4) {
		b.procs.KillEntry(2) // in another hall
	}
	reclaim.Wait()
}

// entryFreeze stops entry instances one at a time for longer than it takes to
// declare them dead, and lets them go on: each still believes that it owns what
// others have taken over.
func entryFreeze(ctx context.Context, b *bench, _ time.Duration) {
	for i := 0; pauseFor(ctx, restartWait); i++ {
		n := i % b.spec.Entries
		b.procs.Signal(n, syscall.SIGSTOP)
		pauseFor(ctx, frozenFor)
		b.procs.Signal(n, syscall.SIGCONT)
		if !pauseFor(ctx, restartWait) {
			return
		}
	}
}

func rollingRestart(ctx context.Context, b *bench, _ time.Duration) {
	for i := range b.spec.Entries {
		if !pauseFor(ctx, restartWait/2) {
			return
		}
		if err := b.procs.StopEntry(i); err != nil {
			b.fail("planned stop of entry %d: %v", i, err)
			b.report.CutByPlannedStop++
		}
		if err := b.procs.StartEntry(i); err != nil {
			b.fail("restart: %v", err)
		}
		for ctx.Err() == nil && b.balancer.Probe(ctx) < b.spec.Entries {
			pauseFor(ctx, restartWait/20)
		}
	}
}

func storeOutage(ctx context.Context, b *bench, length time.Duration) {
	for _, f := range []standin.Faults{{StoreDown: true, ListFrozen: true}, {StoreSlowMs: 700}, {StoreLoseAnswer: 0.5}, {StoreStale: true}} {
		if !pauseFor(ctx, length/10) {
			return
		}
		if err := b.procs.SetFaults(ctx, f); err != nil {
			b.fail("faults: %v", err)
		}
		pauseFor(ctx, length/8)
		if err := b.procs.SetFaults(context.WithoutCancel(ctx), standin.Faults{}); err != nil {
			b.fail("faults: %v", err)
		}
	}
}

// directClient returns the client that calls engines without an entry instance.
var directClient = sync.OnceValue(func() *endpoint.Client { return endpoint.New(netx.Transport(netx.TCP{})) })

func generate(prompt string, priority int) *endpoint.Generate {
	return &endpoint.Generate{Request: prompt, Session: prompt, Prompt: prompt, MaxTokens: 1, Priority: priority}
}
