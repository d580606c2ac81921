package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// traffic is all callers together.
type traffic struct {
	instances []*instance
	operator  *operator
	record    *recorder
	idle      chan *caller
	began     time.Time

	mu      sync.Mutex
	rnd     *rand.Rand        // guarded by mu
	last    int               // number of the last request; guarded by mu
	senders map[string]string // instance by request; guarded by mu
	factor  float64           // on the rate; guarded by mu
	gone    float64           // share of callers that give up; guarded by mu
	seconds []Second          // guarded by mu
}

// Second is how the attempts of one second ended.
type Second struct {
	Served  int `json:"served"`
	Refused int `json:"refused"` // with a promise that they did not run
	Failed  int `json:"failed"`
}

const mostCallers = 256

func newTraffic(instances []*instance, o *operator, record *recorder, seed uint64) *traffic {
	t := &traffic{
		instances: instances, operator: o, record: record, idle: make(chan *caller, mostCallers),
		rnd: rand.New(rand.NewPCG(seed, 202)), senders: make(map[string]string), factor: 1,
	}
	for range mostCallers {
		t.idle <- &caller{traffic: t}
	}
	return t
}

// run sends requests until ctx ends, and waits for the last ones unless outer ends.
func (t *traffic) run(ctx, outer context.Context, rate float64) {
	rnd := rand.New(rand.NewPCG(t.rnd.Uint64(), 1))
	t.began = time.Now()
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rnd.ExpFloat64()/(rate*t.rateFactor())*float64(time.Second)))
		q := t.draw(rnd)
		select {
		case c := <-t.idle:
			wait.Go(func() {
				c.serve(outer, q)
				t.idle <- c
			})
		default: // all callers wait for answers
		}
	}
}

// pick draws an instance for a new connection: one that is ready, or any if few are.
func (t *traffic) pick() *instance {
	var ready []*instance
	for _, i := range t.instances {
		if _, ok := i.process(); ok {
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
	t.last++
	return fmt.Sprintf("q%06d", t.last)
}

func (t *traffic) sentTo(request, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders[request] = instance
}

// sender returns the instance that a request was sent to.
func (t *traffic) sender(request string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.senders[request]
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

// leaving returns the share of callers that give up.
func (t *traffic) leaving() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone
}

func (t *traffic) setLeaving(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gone = share
}

// count counts an attempt in the second of its end.
func (t *traffic) count(a *check.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := int(a.EndedAt.Sub(t.began) / time.Second)
	for len(t.seconds) <= n {
		t.seconds = append(t.seconds, Second{})
	}
	s := &t.seconds[n]
	switch {
	case a.Status >= 200 && a.Status < 300 && a.Whole:
		s.Served++
	case check.Promises(a.Status):
		s.Refused++
	default:
		s.Failed++
	}
}

// totals returns the seconds so far.
func (t *traffic) totals() []Second {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Second{}, t.seconds...)
}
