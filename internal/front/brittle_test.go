package front

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// brittleEndpoints fall over if they reject too many requests within a second for lack of room, and
// come back after a while. They state the number in all their answers.
type brittleEndpoints struct {
	mu       sync.Mutex
	most     int                    // rejections that they bear within a second; 0 while they are not brittle
	since    time.Time              // from contactBound later on, no request may wait for a slot, and rejections count
	rejected map[string][]time.Time // by endpoint
	falls    int
}

const (
	brittleQueue = 4
	fallTime     = 2 * time.Second
)

// queue returns how many requests may wait for a slot.
func (b *brittleEndpoints) queue() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inForce() {
		return 0
	}
	return brittleQueue
}

// inForce reports whether the endpoints fall over. mu is held.
func (b *brittleEndpoints) inForce() bool {
	return b.most > 0 && time.Since(b.since) > contactBound
}

// become makes the endpoints brittle.
func (b *brittleEndpoints) become(most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most, b.since = most, time.Now()
}

// announce adds the statement of an endpoint to an answer.
func (b *brittleEndpoints) announce(h http.Header) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.most > 0 {
		h.Set("Brittle", strconv.Itoa(b.most))
	}
}

// rejects records a rejection, and reports whether the endpoint falls over.
func (b *brittleEndpoints) rejects(endpoint string) (falls bool) {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.inForce() {
		return false
	}
	now := time.Now()
	recent := append(b.rejected[endpoint], now)
	for now.Sub(recent[0]) > time.Second {
		recent = recent[1:]
	}
	b.rejected[endpoint] = recent
	if len(recent) <= b.most {
		return false
	}
	b.rejected[endpoint] = nil
	b.falls++
	return true
}

// askBrittle sends a multiple of what the endpoints can serve for ten seconds, and returns how many
// requests were served.
func (w *testCluster) askBrittle(load float64) (served int) {
	const work = 200 * time.Millisecond
	w.setWorkTime(work)
	names := runningNames(w)
	rate := load * float64(w.endpoints*w.queues.slots) / work.Seconds() // requests a second
	statuses := w.askMany("q", int(10*rate), 10*time.Second, func(i int) string { return names[i%len(names)] })
	w.t.Logf("%d instances, load %.1f, at most %d rejections a second: %d falls; %v", len(names), load, w.brittle.most, w.brittle.falls, statuses)
	return statuses[http.StatusOK]
}

// withBrittle is an option that gives a cluster endpoints that may become brittle.
func withBrittle(w *testCluster) {
	manyEndpoints(w)
	withQueues(w.endpoints, 4, brittleQueue)(w)
	w.brittle = &brittleEndpoints{rejected: make(map[string][]time.Time)}
}

// mayFall is how many of the endpoints may fall over.
func (w *testCluster) mayFall() int { return 2 + w.endpoints/10 }

// Guards against overloaded endpoints that fall over because all instances together have too many
// requests rejected by them.
func TestBrittleEndpointsStayUpUnderOverload(t *testing.T) {
	for _, instances := range fleets(3, 9, 22) {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			w.brittle.become(5)
			w.askBrittle(1.3)
			is.True(w.brittle.falls <= w.mayFall())
		}, withBrittle)
	}
}

// Guards against requests refused although brittle endpoints have room for them.
func TestBrittleEndpointsServeNearlyAsMany(t *testing.T) {
	for _, instances := range fleets(3, 9, 22) {
		served := make(map[bool]int)
		for _, brittle := range []bool{false, true} {
			runCluster(t, instances, func(_ *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				if brittle {
					w.brittle.become(5)
				}
				served[brittle] = w.askBrittle(1.3)
			}, withBrittle)
		}
		if float64(served[true]) < 0.97*float64(served[false]) {
			t.Errorf("%d instances: %d requests served by brittle endpoints, %d by others", instances, served[true], served[false])
		}
	}
}

// Random loads and numbers of rejections, while an instance is killed, restarted or cut off from the
// endpoints.
func TestRandomBrittleEndpoints(t *testing.T) {
	for seed := range uint64(seeds()) {
		rnd := rand.New(rand.NewPCG(seed, 77))
		sizes := fleets(3, 9, 22)
		runCluster(t, sizes[rnd.IntN(len(sizes))], func(_ *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			w.brittle.become(1 + rnd.IntN(8))
			name := runningNames(w)[1+rnd.IntN(2)]
			what, at := rnd.IntN(4), time.Duration(rnd.IntN(6000))*time.Millisecond
			var wait sync.WaitGroup
			wait.Go(func() {
				time.Sleep(at)
				switch what {
				case 0:
					w.kill(name)
				case 1:
					w.restart(name)
				case 2:
					w.partition(partitions[rnd.IntN(len(partitions))], true, name)
				}
			})
			w.askBrittle(0.5 + 2*rnd.Float64())
			wait.Wait()
			if w.brittle.falls > w.mayFall() {
				t.Errorf("seed %d: %d falls", seed, w.brittle.falls)
			}
		}, withBrittle)
	}
}
