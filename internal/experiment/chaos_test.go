package experiment

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/table"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

var (
	seedsFlag     = flag.Int("seeds", 3, "number of random runs")
	firstSeedFlag = flag.Uint64("first", 1, "seed of the first random run")

	verboseFlag = flag.Bool("story", false, "print the faults and the first errors of each run")
)

const (
	chaosBasePort = 20000
	chaosTraffic  = 20 * time.Second
	chaosEntries  = 6
	chaosScale    = 0.3
)

// chaos is a test run of a small embedded deployment in virtual time, with
// traffic and injected faults. Random faults are drawn from a seed.
type chaos struct {
	t        *testing.T
	spec     *deployment.Spec
	mem      *netx.Mem
	embedded *Embedded
	logs     *observer.ObservedLogs
	client   *traffic.Client
	scale    float64 // factor applied to the request rates

	mu         sync.Mutex
	rnd        *rand.Rand                       // guarded by mu
	stopped    map[int]bool                     // entry instances that are not running; guarded by mu
	hostClocks map[string]*clocktest.TimeSource // of the entry instances that run, by name; guarded by mu
	faults     []string                         // guarded by mu
	wait       sync.WaitGroup
}

// chaosSpec loads a deployment and reduces its number of instances and engines.
func chaosSpec(t *testing.T, name string) *deployment.Spec {
	t.Helper()
	spec, err := deployment.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	spec.Entries = chaosEntries
	spec.Models[0].Engines = 6
	return spec
}

// newChaos starts the named deployment on an in-memory network with the delays
// of its description. Callers and the stand-ins are on the same network.
func newChaos(t *testing.T, name string, seed uint64, sw relay.Switches, system ...table.Cell) *chaos {
	return newChaosOf(t, chaosSpec(t, name), seed, sw, system...)
}

// newChaosOf is newChaos for a deployment that the caller has changed.
func newChaosOf(t *testing.T, spec *deployment.Spec, seed uint64, sw relay.Switches, system ...table.Cell) *chaos {
	hall := make(map[string]string)
	for i := range spec.Entries {
		e := spec.EntrySettings(chaosBasePort, i)
		hall[e.Name] = e.Hall
	}
	set, err := spec.StandinSettings(chaosBasePort, seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range append(set.Engine, set.Service...) {
		hall[p.ID] = p.Hall
	}
	mem := netx.NewMem(func(from, to string) time.Duration {
		switch {
		case from == "client" || to == "client":
			return time.Duration(spec.ClientDelayMs) * time.Millisecond
		case hall[from] == hall[to]:
			return 100 * time.Microsecond
		default:
			return time.Duration(spec.HallDelayMs) * time.Millisecond
		}
	})
	core, logs := observer.New(zapcore.InfoLevel)
	c := &chaos{t: t, rnd: rand.New(rand.NewPCG(seed, 77)), spec: spec, mem: mem, logs: logs, scale: chaosScale, stopped: make(map[int]bool), hostClocks: make(map[string]*clocktest.TimeSource)}
	c.embedded, err = StartEmbedded(EmbeddedOptions{Spec: spec, Base: chaosBasePort, Site: mem.Site, Log: zap.New(core), Seed: seed, Switches: sw, DefaultRowCells: system, Clock: c.clock})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// clock returns the clock of a starting entry instance. Each instance has a
// simulated host clock of its own, so that it can be suspended alone.
func (c *chaos) clock(entry string) *clock.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostClocks[entry] = clocktest.New()
	return clock.New(c.hostClocks[entry])
}

func (c *chaos) recordFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// run sends traffic while inject injects faults, and returns the callers' counts.
func (c *chaos) run(seed uint64, inject func(ctx context.Context, start time.Time)) *traffic.Tally {
	ctx, cancel := context.WithCancel(context.Background())
	transport := netx.Transport(c.mem.Site("client"))
	b := traffic.NewBalancer(transport, c.embedded.Callers(), seed)
	if err := WaitReady(ctx, b, c.spec.Entries); err != nil {
		c.t.Fatal(err)
	}
	if err := c.embedded.WaitView(); err != nil {
		c.t.Fatal(err)
	}
	var side sync.WaitGroup
	side.Go(func() { b.Run(ctx) })
	start := time.Now()
	c.client = traffic.NewClient(transport, b)
	side.Go(func() { inject(ctx, start) })
	load := traffic.NewLoad(c.spec, c.client, seed, func(string) float64 { return c.scale })
	tally := load.Run(ctx, start.Add(chaosTraffic))
	cancel()
	side.Wait()
	c.wait.Wait()
	transport.CloseIdleConnections()
	return tally
}

// running returns the indexes of the running entry instances.
func (c *chaos) running() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []int
	for i := range c.spec.Entries {
		if !c.stopped[i] {
			out = append(out, i)
		}
	}
	return out
}

func (c *chaos) setStopped(i int, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[i] = down
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// between returns a random duration from lo to hi.
func (c *chaos) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.draw(int(hi-lo)))
}

// draw returns a random number from 0 to n-1.
func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// killEntry crashes an entry instance and restarts it after 2 to 6 seconds.
func (c *chaos) killEntry(ctx context.Context, i int) {
	c.recordFault("%s kill entry %d", timestamp(), i)
	c.setStopped(i, true)
	c.embedded.KillEntry(i, c.mem.Kill)
	back := c.between(2*time.Second, 6*time.Second)
	c.wait.Go(func() {
		sleepContext(ctx, back)
		c.startEntry(i)
	})
}

func (c *chaos) startEntry(i int) {
	if err := c.embedded.StartEntry(i); err != nil {
		c.t.Errorf("start entry %d: %v", i, err)
	}
	c.setStopped(i, false)
}

// stopEntry makes a planned stop of an entry instance and restarts it a second
// later. Requests that it could not hand over fail the test.
func (c *chaos) stopEntry(ctx context.Context, i int) {
	c.recordFault("%s planned stop of entry %d", timestamp(), i)
	c.setStopped(i, true)
	c.wait.Go(func() {
		if left := c.embedded.StopEntry(i); left > 0 {
			c.t.Errorf("a planned stop of entry %d left %d requests", i, left)
		}
		sleepContext(ctx, time.Second)
		c.startEntry(i)
	})
}

// suspendEntry suspends the host clock and the network of an entry instance for
// the duration d.
func (c *chaos) suspendEntry(i int, d time.Duration) {
	c.recordFault("%s suspend entry %d for %s", timestamp(), i, d)
	name := c.spec.EntrySettings(chaosBasePort, i).Name
	c.mu.Lock()
	hostClock := c.hostClocks[name]
	c.mu.Unlock()
	hostClock.Suspend()
	c.mem.Freeze(name, true)
	c.wait.Go(func() {
		time.Sleep(d)
		hostClock.Resume()
		c.mem.Freeze(name, false)
	})
}

// reclaimHall announces the reclaim of a hall with its entry instances, which the
// platform kills at the deadline.
func (c *chaos) reclaimHall(hall string, notice time.Duration) {
	c.recordFault("%s reclaim of hall %s in %s", timestamp(), hall, notice)
	deadline := time.Now().Add(notice)
	c.embedded.World.ReclaimHall(hall, deadline, true)
	for i := range c.spec.Entries {
		if c.spec.EntrySettings(chaosBasePort, i).Hall != hall {
			continue
		}
		c.setStopped(i, true)
		c.wait.Go(func() {
			time.Sleep(notice) // the platform kills the instance at the deadline
			c.embedded.KillEntry(i, c.mem.Kill)
			c.embedded.World.MarkGone(c.spec.EntrySettings(chaosBasePort, i).Name)
		})
	}
}

// cutHalls cuts the network between the entry instances of two halls for the
// duration d.
func (c *chaos) cutHalls(ctx context.Context, a, b string, d time.Duration) {
	c.recordFault("%s cut %s from %s for %s", timestamp(), a, b, d)
	set := func(cut bool) {
		for i := range c.spec.Entries {
			for j := range c.spec.Entries {
				x, y := c.spec.EntrySettings(chaosBasePort, i), c.spec.EntrySettings(chaosBasePort, j)
				if x.Hall == a && y.Hall == b {
					c.mem.Cut(x.Name, y.Name, cut)
				}
			}
		}
	}
	set(true)
	c.wait.Go(func() {
		sleepContext(ctx, d)
		set(false)
	})
}

func timestamp() string { return time.Now().Format("05.000") }

// injectStoreFault injects a random fault of the key-value store for the duration
// d, sometimes with a frozen endpoint list.
func (c *chaos) injectStoreFault(ctx context.Context, d time.Duration) {
	f := c.embedded.World.Faults()
	switch c.draw(4) {
	case 0:
		f.StoreDown = true
	case 1:
		f.StoreSlowMs = 800
	case 2:
		f.StoreLoseAnswer = 0.5
	default:
		f.StoreStale = true
	}
	f.ListFrozen = c.draw(3) == 0
	f.RefuseKVImport = 0.3
	c.recordFault("%s store %+v for %s", timestamp(), f, d)
	c.embedded.World.SetFaults(f)
	c.wait.Go(func() {
		sleepContext(ctx, d)
		f := c.embedded.World.Faults()
		f.StoreDown, f.StoreSlowMs, f.StoreLoseAnswer, f.StoreStale, f.ListFrozen, f.RefuseKVImport = false, 0, 0, false, false, 0
		c.embedded.World.SetFaults(f)
	})
}

// killGap is the minimum time between two crashes: long enough to detect the
// first and to make new second copies of its records. The system does not
// guarantee that records survive whose two holders crash closer together.
const killGap = 8 * time.Second

// injectFaults injects random faults until the traffic ends: crashes of entry
// instances at least killGap apart, other faults in between, and at most one
// reclaim of a hall.
func (c *chaos) injectFaults(ctx context.Context, start time.Time) {
	lastKill := start.Add(-killGap)
	reclaimed := false
	for ctx.Err() == nil && time.Since(start) < chaosTraffic {
		sleepContext(ctx, c.between(300*time.Millisecond, 3*time.Second))
		up := c.running()
		pick := up[c.draw(len(up))]
		halls := c.spec.Halls
		a := c.draw(len(halls))
		switch c.draw(7) {
		case 0, 1:
			if time.Since(lastKill) >= killGap && len(up) >= 5 {
				lastKill = time.Now()
				c.killEntry(ctx, pick)
			}
		case 2:
			if len(up) >= 5 {
				c.stopEntry(ctx, pick)
			}
		case 3:
			if !reclaimed && len(up) >= 5 {
				reclaimed = true
				c.reclaimHall(halls[a], c.between(4*time.Second, 9*time.Second))
			}
		case 4:
			c.cutHalls(ctx, halls[a], halls[(a+1)%len(halls)], c.between(200*time.Millisecond, 2*time.Second))
		case 5:
			c.injectStoreFault(ctx, c.between(time.Second, 6*time.Second))
		case 6:
			id := fmt.Sprintf("%s-%02d", c.spec.Models[0].Name, c.draw(3)+3)
			c.recordFault("%s kill engine %s", timestamp(), id)
			c.embedded.World.Kill(id)
		}
	}
}

// checkGuarantees returns the violated guarantees of the run and, if there are
// any, the details needed to analyse and repeat it.
func (c *chaos) checkGuarantees(seed uint64, tally *traffic.Tally) (violations []string) {
	truth := c.embedded.World.Truth()
	violated := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	if tally.Lost > 0 {
		violated("lost %d", tally.Lost)
	}
	if tally.WrongAnswer > 0 {
		violated("wrong answers %d", tally.WrongAnswer)
	}
	if truth.Doubled > 0 {
		violated("doubled %d", truth.Doubled)
	}
	if truth.SentToLeavingAfter5 > 0 {
		violated("sent to leaving %d", truth.SentToLeavingAfter5)
	}
	for _, l := range c.logs.FilterMessage(eventMessage(event.InvariantBroken)).All() {
		violated("invariant: %v", l.ContextMap())
	}
	if r := c.reverts(); r > 0 {
		violated("table reverts %d", r)
	}
	if len(violations) > 0 {
		violations = append(violations, c.failedRequestLogs(tally)...)
		violations = append(violations, tally.Errors...)
		violations = append(violations, c.faults...)
		violations = append(violations, fmt.Sprintf("repeat with: go test ./internal/experiment -run %s -seeds 1 -first %d", strings.Split(c.t.Name(), "/")[0], seed))
	}
	return violations
}

// failedRequestLogs returns the log lines of the requests that failed.
func (c *chaos) failedRequestLogs(tally *traffic.Tally) []string {
	errs := strings.Join(tally.Errors, "\n")
	var out []string
	for _, l := range c.logs.All() {
		id, _ := l.ContextMap()["request"].(string)
		if id != "" && strings.Contains(errs, id) {
			out = append(out, fmt.Sprintf("%s %s %s %v", l.Time.Format("05.000"), l.LoggerName, l.Message, l.ContextMap()))
		}
	}
	return out
}

// eventMessage returns the log message of an event.
func eventMessage(code event.Code) string {
	i := slices.IndexFunc(event.Catalogue, func(e event.Entry) bool { return e.Code == code })
	return event.Catalogue[i].Message
}

// reverts counts, from the logs, how often an instance put a table revision in
// force that was not higher than its last one. A restart begins anew.
func (c *chaos) reverts() int {
	last := make(map[string]uint64)
	n := 0
	for _, l := range c.logs.All() {
		switch l.Message {
		case eventMessage(event.Started):
			last[l.LoggerName] = 0
		case eventMessage(event.TableInForce):
			rev, _ := l.ContextMap()["revision"].(uint64)
			if rev <= last[l.LoggerName] {
				n++
			}
			last[l.LoggerName] = rev
		}
	}
	return n
}

// runVirtual runs f in virtual time. yamux keeps timers in a sync.Pool that
// outlives one bubble of virtual time and must not be used in the next; two
// garbage collections empty the pool.
func runVirtual(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	virtual.Test(t, f)
}

func TestRandomFaults(t *testing.T) { runRandom(t, (*chaos).injectFaults) }

// runRandom makes the number of runs given by -seeds, alternating between both
// deployments, with the faults that inject draws from each seed.
func runRandom(t *testing.T, inject func(c *chaos, ctx context.Context, start time.Time)) {
	for k := range uint64(*seedsFlag) {
		seed := *firstSeedFlag + k
		name := []string{"voltra", "bazaarline"}[seed%2]
		t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
			runVirtual(t, func(t *testing.T) {
				c := newChaos(t, name, seed, relay.Switches{})
				tally := c.run(seed, func(ctx context.Context, start time.Time) { inject(c, ctx, start) })
				violations := c.checkGuarantees(seed, tally)
				c.embedded.Stop()
				t.Logf("sent %d answered %d late %d failed %d (refused %d, unknown %d) resumes %d, %d faults",
					tally.Sent, tally.Answered, tally.Late, tally.Failed, tally.RefusedNotRun, tally.Unknown, tally.Resumes, len(c.faults))
				for _, b := range violations {
					t.Error(b)
				}
				if *verboseFlag {
					for _, l := range c.logs.All() {
						if code, ok := l.ContextMap()["event"].(int64); ok && code < 400 && code >= 300 {
							t.Log(l.Time.Format("05.000"), l.LoggerName, l.Message, l.ContextMap())
						}
					}
					t.Log(strings.Join(append(tally.Errors, c.faults...), "\n"))
				}
			})
		})
	}
}

// injectSuspensions suspends entry instances one at a time, some of them together
// with a store fault or the kill of an engine.
func (c *chaos) injectSuspensions(ctx context.Context, start time.Time) {
	for ctx.Err() == nil && time.Since(start) < chaosTraffic {
		sleepContext(ctx, c.between(300*time.Millisecond, 2*time.Second))
		up := c.running()
		suspended := c.between(500*time.Millisecond, 6*time.Second)
		c.suspendEntry(up[c.draw(len(up))], suspended)
		switch c.draw(3) {
		case 0:
			c.injectStoreFault(ctx, c.between(time.Second, 6*time.Second))
		case 1:
			id := fmt.Sprintf("%s-%02d", c.spec.Models[0].Name, c.draw(3)+3)
			c.recordFault("%s kill engine %s", timestamp(), id)
			c.embedded.World.Kill(id)
		}
		sleepContext(ctx, suspended+killGap) // by then there are new second copies of the suspended instance's records
	}
}

func TestRandomSuspensions(t *testing.T) { runRandom(t, (*chaos).injectSuspensions) }
