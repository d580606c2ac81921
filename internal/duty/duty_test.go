package duty

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

const (
	testKey = "own/leader"
	testTTL = 3 * time.Second
)

// watchKey reports the key to an elector as an instance's watch of the store does.
func watchKey(ctx context.Context, c *storetest.Client, e *Elector) {
	for ctx.Err() == nil {
		items, at, err := c.Range(ctx, testKey)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		e.ObserveKey(len(items) > 0)
		for {
			var events []store.Event
			call, cancel := context.WithTimeout(ctx, 3*time.Second)
			events, at, err = c.Watch(call, testKey, at)
			cancel()
			if err != nil {
				break
			}
			for _, ev := range events {
				e.ObserveKey(!ev.Deleted)
			}
		}
	}
}

// contender is an elector that can be killed.
type contender struct {
	elector *Elector
	stop    context.CancelFunc
}

func start(s *storetest.Store, name string, incarnation int) *contender {
	return startWithClock(s, name, incarnation, nil)
}

// startWithClock starts an elector that uses a clock, and reports the key to it.
func startWithClock(s *storetest.Store, name string, incarnation int, clk *clock.Clock) *contender {
	ctx, stop := context.WithCancel(context.Background())
	c := s.Client(name)
	e := New(Options{
		Instance: name, Value: fmt.Appendf(nil, "%s %d", name, incarnation), Key: testKey, TTL: testTTL, Store: c, Clock: clk,
		Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(uint64(incarnation), 7)),
	})
	go func() { _ = e.Run(ctx) }()
	go watchKey(ctx, c, e)
	return &contender{e, stop}
}

func TestOneTakesTheDutyAndAnotherFollows(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := storetest.New()
		a := start(s, "a", 1)
		time.Sleep(time.Second)
		first, _, ok := a.elector.Token(time.Now())
		is.True(ok)
		b := start(s, "b", 2)
		time.Sleep(10 * time.Second)
		_, _, ok = b.elector.Token(time.Now())
		is.True(!ok) // the lease is renewed
		a.stop()
		time.Sleep(testTTL + time.Second)
		second, _, ok := b.elector.Token(time.Now())
		is.True(ok)
		is.True(second.Fence > first.Fence)
		b.stop()
		time.Sleep(10 * time.Second)
	})
}

// Under random kills, outages, refusals and lost or late writes there are never two leaders at a
// time, and fences only rise.
func TestNeverTwoLeaders(t *testing.T) {
	for seed := range uint64(30) {
		virtual.Test(t, func(t *testing.T) { runRandomFaults(t, seed, func(*rand.Rand, *storetest.Store) {}) })
	}
}

func TestNeverTwoLeadersAcrossRestoresOfTheStore(t *testing.T) {
	for seed := range uint64(60) {
		virtual.Test(t, func(t *testing.T) {
			var backups []storetest.Backup
			runRandomFaults(t, seed, func(rnd *rand.Rand, s *storetest.Store) {
				if rnd.Float64() < 0.3 {
					backups = append(backups, s.Backup())
				}
				if rnd.Float64() < 0.01 && len(backups) > 0 {
					s.Restore(backups[max(0, len(backups)-1-rnd.IntN(50))])
					backups = nil
				}
			})
		})
	}
}

// Guards against a leader that acts on after its lease, because the store granted less time than was asked for.
func TestNeverTwoLeadersWhereTheStoreGrantsLess(t *testing.T) {
	for seed := range uint64(30) {
		virtual.Test(t, func(t *testing.T) {
			runRandomFaults(t, seed, func(_ *rand.Rand, s *storetest.Store) { s.LimitTTL(testTTL / 2) })
		})
	}
}

// runRandomFaults runs four electors under the random faults of a seed, calls perStep at each step,
// and fails the test if two are leaders at a time or a fence falls.
func runRandomFaults(t *testing.T, seed uint64, perStep func(*rand.Rand, *storetest.Store)) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	s := storetest.New()
	names := []string{"a", "b", "c", "d"}
	contenders := make(map[string]*contender)
	incarnation := 0
	var fence store.Revision
	leader, acted := "", 0
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		perStep(rnd, s)
		for _, name := range names {
			if contenders[name] == nil && rnd.Float64() < 0.1 {
				incarnation++
				contenders[name] = start(s, name, incarnation)
			}
		}
		now := time.Now()
		leaders := 0
		for _, name := range names {
			if contenders[name] == nil {
				continue
			}
			token, _, ok := contenders[name].elector.Token(now)
			if !ok {
				continue
			}
			leaders++
			acted++
			if token.Fence < fence || token.Fence == fence && leader != name {
				t.Fatalf("seed %d: %s acts with fence %d after %s with %d", seed, name, token.Fence, leader, fence)
			}
			fence, leader = token.Fence, name
		}
		if leaders > 1 {
			t.Fatalf("seed %d: %d leaders", seed, leaders)
		}
		injectFault(rnd, s, contenders, names)
	}
	if acted == 0 {
		t.Fatalf("seed %d: nobody ever acted", seed)
	}
	for _, n := range contenders {
		if n != nil {
			n.stop()
		}
	}
	time.Sleep(10 * time.Second) // for all goroutines and late writes to end
}

// injectFault stops a random elector, changes the faults of its calls to the store, or compacts the
// store's history, each with a small probability.
func injectFault(rnd *rand.Rand, s *storetest.Store, contenders map[string]*contender, names []string) {
	name := names[rnd.IntN(len(names))]
	switch x := rnd.Float64(); {
	case x < 0.01 && contenders[name] != nil:
		contenders[name].stop()
		contenders[name] = nil
	case x < 0.02:
		s.SetFaults(name, storetest.Faults{Down: true})
	case x < 0.03:
		s.SetFaults(name, storetest.Faults{Refuse: true})
	case x < 0.05:
		s.SetFaults(name, storetest.Faults{LoseNext: 1 + rnd.IntN(2), LateBy: time.Duration(rnd.IntN(3)) * time.Second})
	case x < 0.06:
		s.SetFaults(name, storetest.Faults{Slow: time.Duration(rnd.IntN(1500)) * time.Millisecond})
	case x < 0.07:
		s.Compact()
	case x < 0.16:
		s.SetFaults(name, storetest.Faults{})
	}
}
