package front

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit exceeded while all instances of a fleet with hubs start: what a group admitted
// before the first update from its hub was not deducted by the others.
func TestUnitsAdmittedBeforeTheFirstUpdateOfAGroupAreDeducted(t *testing.T) {
	const rate, burst = 20, 100
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		names := runningNames(w)
		w.killAndStart(names...)
		w.readyWithin(5 * time.Second)
		served := 0
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, name := range names {
			wait.Go(func() {
				if w.ask(name, "/safe/a", "k1", name+"/early") == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					served++
				}
			})
		}
		wait.Wait()
		t.Logf("%d served %s after the start", served, time.Since(w.instances["n0"].instance.start))
		is.True(served >= 10)
		// Two seconds after the start all have exchanged counts, and none has adopted levels yet (quota.WarmUp).
		time.Sleep(time.Until(w.instances["n0"].instance.start.Add(2500 * time.Millisecond)))
		for name := range w.instances {
			refilled := rate * time.Since(w.instances[name].instance.start).Seconds()
			if left := w.quotaLeft(name); left > refilled-float64(served)+1 {
				t.Errorf("%s has %.1f units left of %.1f, although %d were admitted", name, left, refilled, served)
			}
		}
	}, withLimit(rate, burst, 0), lenientRevoke)
}
