package front

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Guards against a planned stop that cuts a request which arrived on a new connection after the signal.
func TestAPlannedStopCutsNoRequestThatArrivesDuringIt(t *testing.T) {
	const timeout = 6 * time.Second
	slow := func(c *policy.Config) {
		for i := range c.Routes {
			c.Routes[i].Timeout = timeout
		}
	}
	for _, instances := range []int{2, 4} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			w.setWorkTime(timeout - 100*time.Millisecond)
			stopping := w.instances["n0"]
			stopping.stop()
			var wait sync.WaitGroup
			for i := range 24 {
				time.Sleep(100 * time.Millisecond)
				for _, path := range []string{"/safe/a", "/once/a"} {
					id := fmt.Sprint("n0", path, i)
					wait.Go(func() {
						switch status, runs := w.askWithin(timeout, "n0", path, id), w.runsOf(id); {
						case status == http.StatusOK:
						case status != http.StatusServiceUnavailable, runs > 0:
							t.Errorf("request %s ended with status %d after %d runs", id, status, runs)
						default:
							is.Equal(w.askWithin(timeout, "n1", path, id+"/again"), http.StatusOK) // refused in time for another instance
						}
					})
				}
			}
			wait.Wait()
			<-stopping.done
			delete(w.instances, "n0")
		}, func(w *testCluster) { w.changeConfig = slow })
	}
}

// Guards against refusing callers while there is no other instance that could serve them.
func TestAPlannedStopOfTheOnlyInstanceServesWhatArrivesDuringIt(t *testing.T) {
	runCluster(t, 1, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.instances["n0"].stop()
		for i := range 20 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(w.askWithin(7*time.Second, "n0", "/safe/a", fmt.Sprint("n0/", i)), http.StatusOK)
		}
		<-w.instances["n0"].done
		delete(w.instances, "n0")
	}, func(w *testCluster) {
		w.changeConfig = func(c *policy.Config) { c.Routes[1].Timeout = 7 * time.Second }
	})
}
