package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

func lenientRevoke(w *testCluster) { w.lenientRevoke = true }

// Without StrictRevoke, an outage of the store for all instances must not make them refuse keys.
func TestAnOutageForAllRefusesNoKeyWhereThatIsAllowed(t *testing.T) {
	for _, instances := range []int{3, largeFleet} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			w.store.SetFaults("", storetest.Faults{Down: true})
			for i := range 24 {
				time.Sleep(500 * time.Millisecond)
				name := fmt.Sprint("n", i%instances)
				is.Equal(w.ask(name, "/safe/a", "k1", fmt.Sprint("r", i)), 200)
			}
			is.True(w.ready("n0"))
			w.configure(2, "k2") // in force within the bound once the store is back
			w.store.SetFaults("", storetest.Faults{})
			time.Sleep(2 * time.Second)
			for name := range w.instances {
				is.Equal(w.ask(name, "/safe/a", "k1", "x"+name), 401)
				is.Equal(w.ask(name, "/safe/a", "k2", "y"+name), 200)
			}
		}, lenientRevoke)
	}
}

// The store refuses one instance and serves the others. The instance gets a new configuration from
// them, and reports that it is not ready, so that clients go to the others.
func TestAnInstanceThatTheStoreRefusesReadsThroughTheOthers(t *testing.T) {
	for _, faults := range []storetest.Faults{{Refuse: true}, {Down: true}} {
		runCluster(t, 3, func(is *is.I, w *testCluster) {
			w.store.SetFaults("n0", faults)
			time.Sleep(4 * time.Second)
			is.True(!w.ready("n0"))
			is.True(w.ready("n1"))
			w.configure(2, "k2")
			time.Sleep(2500 * time.Millisecond)
			is.Equal(w.ask("n0", "/safe/a", "k1", "a"), 401)
			is.Equal(w.ask("n0", "/safe/a", "k2", "b"), 200)
			is.Equal(w.ask("n0", "/new/a", "k2", "c"), 200)
		}, lenientRevoke)
	}
}

// An instance without peers cannot distinguish an outage of the store from being refused by it, and
// must stop accepting keys within the bound.
func TestAnIsolatedInstanceRefusesKeysInTime(t *testing.T) {
	runCluster(t, 1, func(is *is.I, w *testCluster) {
		w.store.SetFaults("n0", storetest.Faults{Refuse: true, WatchSilent: true})
		w.configure(2, "k2")
		time.Sleep(4 * time.Second)
		is.Equal(w.ask("n0", "/safe/a", "k1", "a"), 200)
		time.Sleep(2900 * time.Millisecond)
		is.Equal(w.ask("n0", "/safe/a", "k1", "b"), 503)
		is.True(!w.ready("n0"))
	}, lenientRevoke)
}
