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
	seedsFlag = flag.Int("seeds", 3, "random runs to make")
	firstSeed = flag.Uint64("first", 1, "seed of the first random run")

	verboseFlag = flag.Bool("story", false, "print the faults and the first errors of each run")
)

const (
	chaosBase    = 20000
	chaosTraffic = 20 * time.Second
	chaosEntries = 6
	chaosScale   = 0.3
)

// chaos is one random run: a small deployment in virtual time, traffic, and
// faults drawn from a seed.
type chaos struct {
	t      *testing.T
	spec   *deployment.Spec
	mem    *netx.Mem
	e      *Embedded
	logs   *observer.ObservedLogs
	client *traffic.Client
	scale  float64 // of the traffic

	mu       sync.Mutex
	rnd      *rand.Rand                       // guarded by mu
	down     map[int]bool                     // entry instances that are not running; guarded by mu
	machines map[string]*clocktest.TimeSource // of the entry instances that run, by name; guarded by mu
	faults   []string                         // guarded by mu
	wait     sync.WaitGroup
}

// chaosSpec is a small form of a deployment.
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

func newChaos(t *testing.T, name string, seed uint64, sw relay.Switches, system ...table.Cell) *chaos {
	spec := chaosSpec(t, name)
	hall := make(map[string]string)
	for i := range spec.Entries {
		e := spec.Entry(chaosBase, i)
		hall[e.Name] = e.Hall
	}
	set, err := spec.StandIns(chaosBase, seed)
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
	c := &chaos{t: t, rnd: rand.New(rand.NewPCG(seed, 77)), spec: spec, mem: mem, logs: logs, scale: chaosScale, down: make(map[int]bool), machines: make(map[string]*clocktest.TimeSource)}
	c.e, err = StartEmbedded(EmbeddedOptions{Spec: spec, Base: chaosBase, Site: mem.Site, Log: zap.New(core), Seed: seed, Switches: sw, System: system, Clock: c.clock})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// clock returns the clock of an entry instance that starts, on a machine of its own.
func (c *chaos) clock(entry string) *clock.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machines[entry] = clocktest.New()
	return clock.New(c.machines[entry])
}

func (c *chaos) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// run sends traffic while inject makes faults, and returns what callers saw.
func (c *chaos) run(seed uint64, inject func(ctx context.Context, start time.Time)) *traffic.Tally {
	ctx, cancel := context.WithCancel(context.Background())
	transport := netx.Transport(c.mem.Site("client"))
	b := traffic.NewBalancer(transport, c.e.Callers(), seed)
	if err := WaitReady(ctx, b, c.spec.Entries); err != nil {
		c.t.Fatal(err)
	}
	if err := c.e.WaitView(); err != nil {
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

// every lists the entry instances that run.
func (c *chaos) running() []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []int
	for i := range c.spec.Entries {
		if !c.down[i] {
			out = append(out, i)
		}
	}
	return out
}

func (c *chaos) setDown(i int, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[i] = down
}

func sleepCtx(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *chaos) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(c.draw(int(hi-lo)))
}

// draw returns a random number below n.
func (c *chaos) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// killEntry ends an entry instance without notice and starts it again.
func (c *chaos) killEntry(ctx context.Context, i int) {
	c.note("%s kill entry %d", stamp(), i)
	c.setDown(i, true)
	c.e.KillEntry(i, c.mem.Kill)
	back := c.between(2*time.Second, 6*time.Second)
	c.wait.Go(func() {
		sleepCtx(ctx, back)
		c.startEntry(i)
	})
}

func (c *chaos) startEntry(i int) {
	if err := c.e.StartEntry(i); err != nil {
		c.t.Errorf("start entry %d: %v", i, err)
	}
	c.setDown(i, false)
}

// stopEntry makes a planned stop and starts the instance again.
func (c *chaos) stopEntry(ctx context.Context, i int) {
	c.note("%s planned stop of entry %d", stamp(), i)
	c.setDown(i, true)
	c.wait.Go(func() {
		if left := c.e.StopEntry(i); left > 0 {
			c.t.Errorf("a planned stop of entry %d left %d requests", i, left)
		}
		sleepCtx(ctx, time.Second)
		c.startEntry(i)
	})
}

// suspendEntry suspends the machine of an entry instance for a while.
func (c *chaos) suspendEntry(i int, d time.Duration) {
	c.note("%s suspend entry %d for %s", stamp(), i, d)
	name := c.spec.Entry(chaosBase, i).Name
	c.mu.Lock()
	machine := c.machines[name]
	c.mu.Unlock()
	machine.Suspend()
	c.mem.Freeze(name, true)
	c.wait.Go(func() {
		time.Sleep(d)
		machine.Resume()
		c.mem.Freeze(name, false)
	})
}

// reclaimHall announces the reclaim of a hall with its entry instances.
func (c *chaos) reclaimHall(hall string, notice time.Duration) {
	c.note("%s reclaim of hall %s in %s", stamp(), hall, notice)
	deadline := time.Now().Add(notice)
	c.e.World.ReclaimHall(hall, deadline, true)
	for i := range c.spec.Entries {
		if c.spec.Entry(chaosBase, i).Hall != hall {
			continue
		}
		c.setDown(i, true)
		c.wait.Go(func() {
			time.Sleep(notice) // the platform takes the instance at the deadline
			c.e.KillEntry(i, c.mem.Kill)
			c.e.World.MarkGone(c.spec.Entry(chaosBase, i).Name)
		})
	}
}

// cutHalls parts the entry instances of two halls for a while.
func (c *chaos) cutHalls(ctx context.Context, a, b string, d time.Duration) {
	c.note("%s cut %s from %s for %s", stamp(), a, b, d)
	set := func(cut bool) {
		for i := range c.spec.Entries {
			for j := range c.spec.Entries {
				x, y := c.spec.Entry(chaosBase, i), c.spec.Entry(chaosBase, j)
				if x.Hall == a && y.Hall == b {
					c.mem.Cut(x.Name, y.Name, cut)
				}
			}
		}
	}
	set(true)
	c.wait.Go(func() {
		sleepCtx(ctx, d)
		set(false)
	})
}

func stamp() string { return time.Now().Format("05.000") }

// store makes a fault of the key-value service and ends it after a while.
func (c *chaos) store(ctx context.Context, d time.Duration) {
	f := c.e.World.Faults()
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
	c.note("%s store %+v for %s", stamp(), f, d)
	c.e.World.SetFaults(f)
	c.wait.Go(func() {
		sleepCtx(ctx, d)
		f := c.e.World.Faults()
		f.StoreDown, f.StoreSlowMs, f.StoreLoseAnswer, f.StoreStale, f.ListFrozen, f.RefuseKVImport = false, 0, 0, false, false, 0
		c.e.World.SetFaults(f)
	})
}

// killGap is the least time between two deaths without notice: the time to
// notice one and to make new second copies. Two holders of a record that die
// closer together are outside the promise.
const killGap = 8 * time.Second

// inject makes faults until the traffic ends: one that has no notice now and
// then, others meanwhile, and at most one hall reclaimed.
func (c *chaos) inject(ctx context.Context, start time.Time) {
	lastKill := start.Add(-killGap)
	reclaimed := false
	for ctx.Err() == nil && time.Since(start) < chaosTraffic {
		sleepCtx(ctx, c.between(300*time.Millisecond, 3*time.Second))
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
			c.store(ctx, c.between(time.Second, 6*time.Second))
		case 6:
			id := fmt.Sprintf("%s-%02d", c.spec.Models[0].Name, c.draw(3)+3)
			c.note("%s kill engine %s", stamp(), id)
			c.e.World.Kill(id)
		}
	}
}

// check asserts the promises.
func (c *chaos) check(seed uint64, tally *traffic.Tally) (broken []string) {
	truth := c.e.World.Truth()
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	if tally.Lost > 0 {
		say("lost %d", tally.Lost)
	}
	if tally.WrongAnswer > 0 {
		say("wrong answers %d", tally.WrongAnswer)
	}
	if truth.Doubled > 0 {
		say("doubled %d", truth.Doubled)
	}
	if truth.SentToLeavingAfter5 > 0 {
		say("sent to leaving %d", truth.SentToLeavingAfter5)
	}
	for _, l := range c.logs.FilterMessage(eventMessage(event.InvariantBroken)).All() {
		say("invariant: %v", l.ContextMap())
	}
	if r := c.reverts(); r > 0 {
		say("table reverts %d", r)
	}
	if len(broken) > 0 {
		broken = append(broken, c.story(tally)...)
		broken = append(broken, tally.Errors...)
		broken = append(broken, c.faults...)
		broken = append(broken, fmt.Sprintf("repeat with: go test ./internal/experiment -run %s -seeds 1 -first %d", strings.Split(c.t.Name(), "/")[0], seed))
	}
	return broken
}

// story returns what the log says of the requests that failed.
func (c *chaos) story(tally *traffic.Tally) []string {
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

func eventMessage(code event.Code) string {
	i := slices.IndexFunc(event.Catalogue, func(e event.Entry) bool { return e.Code == code })
	return event.Catalogue[i].Message
}

// reverts counts the times at which an instance went to a lower revision.
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

// bubble runs f in virtual time. yamux keeps timers in a pool that outlives a
// bubble and must not be used in the next; two collections empty it.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	virtual.Test(t, f)
}

func TestRandomFaults(t *testing.T) { randomRuns(t, (*chaos).inject) }

// randomRuns makes runs in which something draws faults.
func randomRuns(t *testing.T, inject func(c *chaos, ctx context.Context, start time.Time)) {
	for k := range uint64(*seedsFlag) {
		seed := *firstSeed + k
		name := []string{"voltra", "bazaarline"}[seed%2]
		t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				c := newChaos(t, name, seed, relay.Switches{})
				tally := c.run(seed, func(ctx context.Context, start time.Time) { inject(c, ctx, start) })
				broken := c.check(seed, tally)
				c.e.Stop()
				t.Logf("sent %d answered %d late %d failed %d (refused %d, unknown %d) resumes %d, %d faults",
					tally.Sent, tally.Answered, tally.Late, tally.Failed, tally.RefusedNotRun, tally.Unknown, tally.Resumes, len(c.faults))
				for _, b := range broken {
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

// injectSuspensions suspends one entry instance after the other, beside engines that are killed
// and a store in trouble.
func (c *chaos) injectSuspensions(ctx context.Context, start time.Time) {
	for ctx.Err() == nil && time.Since(start) < chaosTraffic {
		sleepCtx(ctx, c.between(300*time.Millisecond, 2*time.Second))
		up := c.running()
		asleep := c.between(500*time.Millisecond, 6*time.Second)
		c.suspendEntry(up[c.draw(len(up))], asleep)
		switch c.draw(3) {
		case 0:
			c.store(ctx, c.between(time.Second, 6*time.Second))
		case 1:
			id := fmt.Sprintf("%s-%02d", c.spec.Models[0].Name, c.draw(3)+3)
			c.note("%s kill engine %s", stamp(), id)
			c.e.World.Kill(id)
		}
		sleepCtx(ctx, asleep+killGap) // the records of one that stands still have new copies by then
	}
}

func TestRandomSuspensions(t *testing.T) { randomRuns(t, (*chaos).injectSuspensions) }
