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

// follow tells an elector of the key as a node's watch does.
func follow(ctx context.Context, c *storetest.Client, e *Elector) {
	for ctx.Err() == nil {
		items, at, err := c.Range(ctx, testKey)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		e.Saw(len(items) > 0)
		for {
			var events []store.Event
			call, cancel := context.WithTimeout(ctx, 3*time.Second)
			events, at, err = c.Watch(call, testKey, at)
			cancel()
			if err != nil {
				break
			}
			for _, ev := range events {
				e.Saw(!ev.Gone)
			}
		}
	}
}

// node is an elector that can be killed.
type node struct {
	elector *Elector
	stop    context.CancelFunc
}

func start(s *storetest.Store, name string, life int) *node { return startOn(s, name, life, nil) }

// startOn starts an elector that goes by a clock.
func startOn(s *storetest.Store, name string, life int, by *clock.Clock) *node {
	ctx, stop := context.WithCancel(context.Background())
	c := s.Client(name)
	e := New(Options{
		Instance: name, Value: fmt.Appendf(nil, "%s %d", name, life), Key: testKey, TTL: testTTL, Store: c, Clock: by,
		Log: zap.NewNop(), Rand: rand.New(rand.NewPCG(uint64(life), 7)),
	})
	go func() { _ = e.Run(ctx) }()
	go follow(ctx, c, e)
	return &node{e, stop}
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

// Random kills, outages, refusals and lost or late writes: there are never two
// holders at a time, fences only rise, and after one holder another acts no
// sooner than a part of the lease later.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(30) {
		virtual.Test(t, func(t *testing.T) { playHolders(t, seed, func(*rand.Rand, *storetest.Store) {}) })
	}
}

func TestNeverTwoHoldersAcrossRestoresOfTheStore(t *testing.T) {
	for seed := range uint64(60) {
		virtual.Test(t, func(t *testing.T) {
			var backups []storetest.Backup
			playHolders(t, seed, func(rnd *rand.Rand, s *storetest.Store) {
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

// playHolders plays random faults of a seed, and what more is to happen at each step.
func playHolders(t *testing.T, seed uint64, more func(*rand.Rand, *storetest.Store)) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	s := storetest.New()
	names := []string{"a", "b", "c", "d"}
	nodes := make(map[string]*node)
	life := 0
	var fence store.Revision
	holder, acted := "", 0
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		more(rnd, s)
		for _, name := range names {
			if nodes[name] == nil && rnd.Float64() < 0.1 {
				life++
				nodes[name] = start(s, name, life)
			}
		}
		now := time.Now()
		holders := 0
		for _, name := range names {
			if nodes[name] == nil {
				continue
			}
			token, _, ok := nodes[name].elector.Token(now)
			if !ok {
				continue
			}
			holders++
			acted++
			if token.Fence < fence || token.Fence == fence && holder != name {
				t.Fatalf("seed %d: %s acts with fence %d after %s with %d", seed, name, token.Fence, holder, fence)
			}
			fence, holder = token.Fence, name
		}
		if holders > 1 {
			t.Fatalf("seed %d: %d holders", seed, holders)
		}
		disturb(rnd, s, nodes, names)
	}
	if acted == 0 {
		t.Fatalf("seed %d: nobody ever acted", seed)
	}
	for _, n := range nodes {
		if n != nil {
			n.stop()
		}
	}
	time.Sleep(10 * time.Second) // until all goroutines and late writes have ended
}

// disturb kills a node or sets what it meets at the store.
func disturb(rnd *rand.Rand, s *storetest.Store, nodes map[string]*node, names []string) {
	name := names[rnd.IntN(len(names))]
	switch x := rnd.Float64(); {
	case x < 0.01 && nodes[name] != nil:
		nodes[name].stop()
		nodes[name] = nil
	case x < 0.02:
		s.SetFaults(name, storetest.Faults{Down: true})
	case x < 0.03:
		s.SetFaults(name, storetest.Faults{Busy: true})
	case x < 0.05:
		s.SetFaults(name, storetest.Faults{LoseNext: 1 + rnd.IntN(2), Late: time.Duration(rnd.IntN(3)) * time.Second})
	case x < 0.06:
		s.SetFaults(name, storetest.Faults{Slow: time.Duration(rnd.IntN(1500)) * time.Millisecond})
	case x < 0.07:
		s.Compact()
	case x < 0.16:
		s.SetFaults(name, storetest.Faults{})
	}
}
