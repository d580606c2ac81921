package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// traffic generates the requests of a run and counts their outcomes.
type traffic struct {
	instances   []*instance
	operator    *operator
	record      *recorder
	idleCallers chan *caller
	startedAt   time.Time
	streams     Streams

	mu             sync.Mutex
	rnd            *rand.Rand // guarded by mu
	lastID         int        // number in the last request ID; guarded by mu
	factor         float64    // multiplies the request rate; guarded by mu
	cancelFraction float64    // share of requests that their callers cancel; guarded by mu
	seconds        []Second   // guarded by mu
}

// Second counts the attempts that ended in one second, by outcome.
type Second struct {
	Served  int `json:"served"`
	Refused int `json:"refused"` // with a status that guarantees that they did not run
	Failed  int `json:"failed"`
}

const maxCallers = 512

func newTraffic(instances []*instance, o *operator, record *recorder, streams Streams, seed uint64) *traffic {
	t := &traffic{
		instances: instances, operator: o, record: record, idleCallers: make(chan *caller, maxCallers),
		rnd: rand.New(rand.NewPCG(seed, 202)), factor: 1, streams: streams,
	}
	for range maxCallers {
		t.idleCallers <- &caller{traffic: t}
	}
	return t
}

// run sends requests as a Poisson process until ctx ends, and waits for the requests in flight. If
// outer ends, they are canceled.
func (t *traffic) run(ctx, outer context.Context, rate float64) {
	rnd := rand.New(rand.NewPCG(t.rnd.Uint64(), 1))
	t.startedAt = time.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rnd.ExpFloat64()/(rate*t.rateFactor())*float64(time.Second)))
		t.send(outer, &wait, t.drawRequest(rnd))
	}
}

// send lets an idle caller send a request. If all callers are busy, the request is skipped.
func (t *traffic) send(ctx context.Context, wait *sync.WaitGroup, q *request) {
	select {
	case c := <-t.idleCallers:
		wait.Go(func() {
			c.sendWithRetry(ctx, q)
			t.idleCallers <- c
		})
	default:
	}
}

// pickInstance draws an instance for a new connection: one of those that the balancer sees as ready,
// or any instance if fewer than half are ready.
func (t *traffic) pickInstance() *instance {
	var ready []*instance
	for _, i := range t.instances {
		if _, ok := i.status(); ok {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(t.instances) {
		ready = t.instances
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return ready[t.rnd.IntN(len(ready))]
}

func (t *traffic) newID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	return fmt.Sprintf("q%06d", t.lastID)
}

func (t *traffic) rateFactor() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.factor
}

func (t *traffic) setFactor(x float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.factor = x
}

// cancelShare returns the share of requests that their callers cancel.
func (t *traffic) cancelShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cancelFraction
}

func (t *traffic) setCancelShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelFraction = share
}

// count adds an attempt to the second in which it ended.
func (t *traffic) count(a *check.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int(a.EndedAt.Sub(t.startedAt) / time.Second)
	for len(t.seconds) <= n {
		t.seconds = append(t.seconds, Second{})
	}
	s := &t.seconds[n]
	switch {
	case a.Status >= 200 && a.Status < 300 && a.Complete:
		s.Served++
	case check.GuaranteesNotRun(a.Status):
		s.Refused++
	default:
		s.Failed++
	}
}

// totals returns a copy of the counts so far.
func (t *traffic) totals() []Second {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Second{}, t.seconds...)
}
