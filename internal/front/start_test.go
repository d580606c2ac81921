package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/directory"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/internal/topology"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// limitedStore has the capacity of the store of a fleet of hundreds of instances.
var limitedStore = storetest.Limits{ReadsPerSecond: 16000, WritesPerSecond: 3200, Latency: 4 * time.Millisecond, PageItems: 500, LinkBytes: 125e6}

// withLimitedStore limits the store's capacity.
func withLimitedStore(w *testCluster) {
	w.store.SetLimits(limitedStore)
	w.storeWrites = limitedStore.WritesPerSecond
}

// withEntries adds endpoints that are only entries of the store: nothing listens there.
func withEntries(n int) func(*testCluster) {
	return func(w *testCluster) {
		for i := range n {
			w.putEndpoint(testEndpoints+i, false)
		}
	}
}

// readyWithin returns how many instances are ready after a time, and when the last of them was.
func (w *testCluster) readyWithin(d time.Duration) (int, time.Duration) {
	begun, count := time.Now(), 0
	for {
		count = 0
		for _, r := range w.instances {
			if r.instance.ready(time.Now()) {
				count++
			}
		}
		if passed := time.Since(begun); count == len(w.instances) || passed > d {
			return count, passed
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// All instances of a fleet start at once, or again after all were killed. Each must be ready within
// 5 s, with less than half of what the store allows in a second.
func TestAStartOfAllStaysWithinTheCapacityOfTheStore(t *testing.T) {
	const readyBound, callsBound = 5 * time.Second, 12
	for _, size := range startSizes() {
		instances := size.instances
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			begun := time.Now()
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				check := func(what string, before storetest.Load) {
					ready, after := w.readyWithin(readyBound)
					time.Sleep(3 * time.Second)
					l := w.store.Load()
					calls := l.Reads + l.Writes - before.Reads - before.Writes
					t.Logf("%s: %d of %d ready, the last after %s; %.1f reads and writes an instance, %d stale reads, %d renewals, %d refused, %.1f MB, longest queue %s, busiest second %d reads, %d writes",
						what, ready, instances, after.Round(time.Millisecond), float64(calls)/float64(instances), l.StaleReads-before.StaleReads, l.Renewals-before.Renewals, l.Refused-before.Refused,
						float64(l.Bytes-before.Bytes)/1e6, l.LongestQueue.Round(time.Millisecond), l.BusiestReads, l.BusiestWrites)
					is.Equal(ready, instances)
					is.True(calls < callsBound*instances+1000) // the leader and the readers make calls of their own
					is.True(l.BusiestReads < limitedStore.ReadsPerSecond/2)
					is.True(l.BusiestWrites < limitedStore.WritesPerSecond/2)
				}
				check("first start", storetest.Load{})
				w.kill(runningNames(w)...)
				before := w.store.Load()
				for i := range instances {
					w.start(fmt.Sprint("n", i))
				}
				check("after all were killed", before)
			}, withLimitedStore, withEntries(size.entries))
			t.Logf("%s of real time", time.Since(begun).Round(time.Millisecond))
		})
	}
}

// startSize is the size of a fleet and the number of endpoints that are only entries of the store.
type startSize struct{ instances, entries int }

// startSizes returns the sizes of the fleets to start. The largest has fewer entries: decoding them at
// each instance takes most of the time of the test.
func startSizes() []startSize {
	if virtual.Race {
		return []startSize{{30, 90}, {60, 180}}
	}
	return []startSize{{30, 90}, {100, 300}, {300, 900}, {1000, 300}}
}

// After a kill of all, the directory holds slots of earlier incarnations, from which the size of the
// fleet is overestimated. All instances of a small fleet must read the store themselves all the same.
func TestASmallFleetReadsTheStoreAfterAllWereKilled(t *testing.T) {
	const instances = 9
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		for slot := range directory.Slots {
			value, err := directory.Encode(topology.Member{Name: fmt.Sprint("gone", slot), Addr: addrOf(900+slot, 8002)})
			is.NoErr(err)
			w.store.Put("own/"+keyDirectory+directory.Key(slot), value)
		}
		w.kill(runningNames(w)...)
		for i := range instances {
			w.start(fmt.Sprint("n", i))
		}
		ready, _ := w.readyWithin(5 * time.Second)
		is.Equal(ready, instances)
		time.Sleep(membersKnownBy)
		for _, r := range w.instances {
			is.True(r.instance.reading.Load())
		}
	})
}
