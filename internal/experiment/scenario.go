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

// scenario combines a load with a function that injects faults until it returns
// or ctx is done. length is the duration of the traffic.
type scenario struct {
	name   string
	scale  func(c deployment.Class) float64 // factor on the request rate of a class
	faults func(ctx context.Context, b *benchRun, length time.Duration)
	edits  bool // whether the bench edits the table once a second
}

// Factors on the request rates in the scenario "peak".
const (
	peakModelFactor   = 2.5
	peakServiceFactor = 2.0
)

func normalLoad(deployment.Class) float64 { return 1 }

func peakLoad(c deployment.Class) float64 {
	if c.Model != "" {
		return peakModelFactor
	}
	return peakServiceFactor
}

func noFaults(ctx context.Context, _ *benchRun, _ time.Duration) { <-ctx.Done() }

var scenarios = []scenario{
	{"steady", normalLoad, noFaults, true},
	{"peak", peakLoad, noFaults, false},
	{"hall-reclaim", normalLoad, hallReclaim, false},
	{"reclaim-storm", normalLoad, reclaimStorm, false},
	{"entry-kill", normalLoad, entryKill, false},
	{"entry-freeze", normalLoad, entryFreeze, false},
	{"rolling-restart", normalLoad, rollingRestart, false},
	{"store-outage", normalLoad, storeOutage, true},
	{"table-race", normalLoad, tableRace, false},
}

// ScenarioNames returns the names of the scenarios, separated by commas.
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
	hallReclaimNotice  = 8 * time.Second
	stormReclaimNotice = 5 * time.Second
	restartWait        = 2 * time.Second
	freezeDuration     = 5 * time.Second
	killRestartDelay   = 9 * time.Second // longer than it takes to detect a crash and to make new second copies of records
)

// sleepUnlessDone sleeps for d and returns true, or returns false at once when
// ctx is done.
func sleepUnlessDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// reclaimHall announces the reclaim of a hall with its entry instances and kills
// those instances at the deadline.
func (b *benchRun) reclaimHall(ctx context.Context, hall string, notice time.Duration) {
	if err := b.procs.Reclaim(ctx, hall, "", notice, true); err != nil {
		b.addError("reclaim: %v", err)
	}
	var taken sync.WaitGroup
	for i := range b.spec.Entries {
		if b.spec.EntrySettings(b.o.Base, i).Hall == hall {
			taken.Go(func() {
				time.Sleep(notice)
				b.procs.KillEntry(i)
			})
		}
	}
	taken.Wait()
}

// hallReclaim reclaims the first hall after a third of the traffic.
func hallReclaim(ctx context.Context, b *benchRun, length time.Duration) {
	if sleepUnlessDone(ctx, length/3) {
		b.reclaimHall(ctx, b.spec.Halls[0], hallReclaimNotice)
	}
}

// reclaimStorm reclaims a quarter of the first model's engines one by one, then a
// whole hall.
func reclaimStorm(ctx context.Context, b *benchRun, length time.Duration) {
	if !sleepUnlessDone(ctx, length/5) {
		return
	}
	for i := range b.spec.Models[0].Engines / 4 {
		id := fmt.Sprintf("%s-%02d", b.spec.Models[0].Name, 2*i+1)
		if err := b.procs.Reclaim(ctx, "", id, stormReclaimNotice, false); err != nil {
			b.addError("reclaim: %v", err)
		}
		if !sleepUnlessDone(ctx, length/20) {
			return
		}
	}
	if sleepUnlessDone(ctx, length/10) {
		b.reclaimHall(ctx, b.spec.Halls[2], stormReclaimNotice)
	}
}

// entryKill kills entry instances one at a time and restarts them, then kills one
// more while another hall is being reclaimed.
func entryKill(ctx context.Context, b *benchRun, length time.Duration) {
	begin := time.Now()
	for i := 0; time.Since(begin) < length/2; i++ {
		if !sleepUnlessDone(ctx, restartWait) {
			return
		}
		b.procs.KillEntry(i % b.spec.Entries)
		if !sleepUnlessDone(ctx, killRestartDelay) {
			return
		}
		if err := b.procs.StartEntry(i % b.spec.Entries); err != nil {
			b.addError("restart: %v", err)
		}
	}
	var reclaim sync.WaitGroup
	reclaim.Go(func() { b.reclaimHall(ctx, b.spec.Halls[1], hallReclaimNotice) })
	if sleepUnlessDone(ctx, hallReclaimNotice/4) {
		b.procs.KillEntry(2) // in another hall
	}
	reclaim.Wait()
}

// entryFreeze suspends entry instances one at a time for longer than it takes to
// declare them dead, and resumes them. A resumed instance still acts as the owner
// of records that others have taken over.
func entryFreeze(ctx context.Context, b *benchRun, _ time.Duration) {
	for i := 0; sleepUnlessDone(ctx, restartWait); i++ {
		n := i % b.spec.Entries
		b.procs.Signal(n, syscall.SIGSTOP)
		sleepUnlessDone(ctx, freezeDuration)
		b.procs.Signal(n, syscall.SIGCONT)
		if !sleepUnlessDone(ctx, restartWait) {
			return
		}
	}
}

// rollingRestart restarts the entry instances one at a time with planned stops,
// and waits until all are ready before it goes on to the next.
func rollingRestart(ctx context.Context, b *benchRun, _ time.Duration) {
	for i := range b.spec.Entries {
		if !sleepUnlessDone(ctx, restartWait/2) {
			return
		}
		if err := b.procs.StopEntry(i); err != nil {
			b.addError("planned stop of entry %d: %v", i, err)
			b.report.CutByPlannedStop++
		}
		if err := b.procs.StartEntry(i); err != nil {
			b.addError("restart: %v", err)
		}
		for ctx.Err() == nil && b.balancer.Probe(ctx) < b.spec.Entries {
			sleepUnlessDone(ctx, restartWait/20)
		}
	}
}

// storeOutage makes the key-value store fail in four ways, one after the other:
// down with a frozen endpoint list, slow, losing responses, and serving old data.
func storeOutage(ctx context.Context, b *benchRun, length time.Duration) {
	for _, f := range []standin.Faults{{StoreDown: true, ListFrozen: true}, {StoreSlowMs: 700}, {StoreLoseAnswer: 0.5}, {StoreStale: true}} {
		if !sleepUnlessDone(ctx, length/10) {
			return
		}
		if err := b.procs.SetFaults(ctx, f); err != nil {
			b.addError("faults: %v", err)
		}
		sleepUnlessDone(ctx, length/8)
		if err := b.procs.SetFaults(context.WithoutCancel(ctx), standin.Faults{}); err != nil {
			b.addError("faults: %v", err)
		}
	}
}

// directClient returns the shared client that calls engines directly, without an
// entry instance in between.
var directClient = sync.OnceValue(func() *endpoint.Client { return endpoint.New(netx.Transport(netx.TCP{})) })

// generateRequest returns an engine request for one token.
func generateRequest(prompt string, priority int) *endpoint.Generate {
	return &endpoint.Generate{Request: prompt, Session: prompt, Prompt: prompt, MaxTokens: 1, Priority: priority}
}
