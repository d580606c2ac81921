package front

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// putIncarnation writes the entry of an endpoint's incarnation that started at a time.
func (w *testCluster) putIncarnation(i int, started time.Time, leaving bool) {
	w.store.Put("server/"+endpointID(i), fmt.Appendf(nil, `{"Service":"svc","Version":%q,"Addr":%q,"Hall":"z","Slots":%d,"StartedAt":%q,"Leaving":%t}`, w.version(i), addrOf(100+i, 80), w.queues.slotCount(), started.Format(time.RFC3339Nano), leaving))
}

// askFor sends requests to all instances in turn for a time.
func (w *testCluster) askFor(tag string, d time.Duration) {
	for i := 0; i < int(d/(20*time.Millisecond)); i++ {
		time.Sleep(20 * time.Millisecond)
		w.ask(fmt.Sprint("n", i%len(w.instances)), "/safe/a", "k1", fmt.Sprint(tag, i))
	}
}

// An endpoint announces that it is leaving, ends, and starts again under the same id, with its entry
// deleted in between or not. Leaving applies only to the incarnation that announced it: all
// instances must use the later one, in a small fleet and in one that reads the store through hubs.
func TestAnEndpointThatRestartsGetsRequests(t *testing.T) {
	for _, instances := range []int{3, largeFleet} {
		for _, gone := range []bool{false, true} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				for i := range testEndpoints {
					w.putIncarnation(i, time.Now(), false)
				}
				time.Sleep(time.Second)
				w.putIncarnation(0, time.Now().Add(-time.Second), true)
				time.Sleep(2 * time.Second)
				left := time.Now()
				w.askFor("a", time.Second)
				is.True(w.lastRequestAt(endpointID(0)).Before(left))
				if gone {
					w.store.Put("server/"+endpointID(0), nil)
					time.Sleep(time.Second)
				}
				w.putIncarnation(0, time.Now(), false)
				time.Sleep(time.Second)
				again := time.Now()
				w.askFor("b", time.Second)
				is.True(w.lastRequestAt(endpointID(0)).After(again))
			})
		}
	}
}

// An endpoint with an invalid entry is not used. Other endpoints are unaffected, and the endpoint is
// used again once its entry is valid.
func TestAnEndpointWithAnInvalidEntryIsNotUsed(t *testing.T) {
	for _, value := range []string{"", "\xff\x00", "null", "[]", `{"Service":`, `{"Slots":"many"}`} {
		runCluster(t, 2, func(is *is.I, w *testCluster) {
			w.store.Put("server/"+endpointID(0), []byte(value))
			w.store.Put("server/other", []byte(value))
			time.Sleep(time.Second)
			invalid := time.Now()
			w.askFor("a", time.Second)
			is.True(w.lastRequestAt(endpointID(0)).Before(invalid))
			is.True(w.lastRequestAt(endpointID(1)).After(invalid))
			w.putEndpoint(0, false)
			time.Sleep(time.Second)
			valid := time.Now()
			w.askFor("b", time.Second)
			is.True(w.lastRequestAt(endpointID(0)).After(valid))
		})
	}
}

// Endpoints leave, end, restart and get invalid entries in quick succession, while instances are
// killed, watches are silent or cut, and answers of the store are lost. An endpoint whose entry
// forbids new requests gets none after the bound, and in the end every endpoint is used.
func TestRandomEndpointChanges(t *testing.T) {
	for seed := range uint64(3) {
		for _, instances := range []int{3, largeFleet} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				w.randomEndpointChanges(rand.New(rand.NewPCG(seed, 13)), instances)
				for i := range testEndpoints {
					w.restartEndpoint(i)
				}
				time.Sleep(4 * time.Second)
				end := time.Now()
				w.askFor("end", 2*time.Second)
				for i := range testEndpoints {
					is.True(w.lastRequestAt(endpointID(i)).After(end))
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				is.Equal(w.violations, nil)
			})
		}
	}
}

// randomEndpointChanges runs 30 s of random changes of endpoints and faults of instances.
func (w *testCluster) randomEndpointChanges(random *rand.Rand, instances int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 1000 {
		time.Sleep(30 * time.Millisecond)
		name := fmt.Sprint("n", random.IntN(instances))
		wait.Go(func() { w.ask(name, "/once/a", "k1", fmt.Sprint("r", i)) })
		endpoint := random.IntN(testEndpoints)
		switch x := random.Float64(); {
		case x < 0.02:
			w.withdraw(endpoint, func() { w.putIncarnation(endpoint, time.Now(), true) })
		case x < 0.03:
			w.withdraw(endpoint, func() { w.store.Put("server/"+endpointID(endpoint), nil) })
		case x < 0.045:
			w.withdraw(endpoint, func() { w.store.Put("server/"+endpointID(endpoint), []byte("{")) })
		case x < 0.08:
			w.restartEndpoint(endpoint)
		case x < 0.085:
			w.kill(name)
			w.start(name)
		case x < 0.09:
			w.store.SetFaults(name, storetest.Faults{WatchSilent: true})
		case x < 0.1:
			w.store.SetFaults(name, storetest.Faults{LoseNext: 1})
		case x < 0.11:
			w.store.Compact()
		case x < 0.15:
			w.store.SetFaults(name, storetest.Faults{})
		}
	}
	for i := range instances {
		w.store.SetFaults(fmt.Sprint("n", i), storetest.Faults{})
	}
}

// withdraw changes the entry of an endpoint so that it forbids new requests, and records when.
func (w *testCluster) withdraw(i int, change func()) {
	change()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.withdrawn[endpointID(i)].IsZero() {
		w.withdrawn[endpointID(i)] = time.Now()
	}
}

// restartEndpoint writes the entry of a new incarnation of an endpoint.
func (w *testCluster) restartEndpoint(i int) {
	w.mu.Lock()
	delete(w.withdrawn, endpointID(i))
	w.mu.Unlock()
	w.putIncarnation(i, time.Now(), false)
}
