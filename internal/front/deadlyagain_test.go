package front

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an error answer clearing a suspect. If any complete answer counts as a sign
// that the request came through, a failing endpoint that answers it with 500 before running it
// releases it, and more endpoints end under it: 60 to 70 in a day, and 111 with half of the
// deadly requests answered that way.
func TestADeadlyRequestIsStoppedWhereEndpointsFail(t *testing.T) {
	for _, instances := range []int{4, largeFleet} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			const path = "/safe/deadly"
			w.askDeadly(path, "d", 20*time.Second, runningNames(w)...)
			w.checkStopped(is, path)
		}, manyEndpoints, func(w *testCluster) { w.deaths.failsEach = 2 })
	}
}

// Guards against missing the ends of endpoints whose client has left. A client disconnects some
// milliseconds after its request was sent, the instance cancels the run, and the endpoint ends
// a moment later all the same. If only runs interrupted by the endpoint count, none of these
// ends is seen (of 125 in one case) while the client keeps coming back.
func TestADeadlyRequestIsStoppedWhereClientsLeave(t *testing.T) {
	for _, instances := range []int{4, largeFleet} {
		for _, stay := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				const path = "/safe/deadly"
				w.askAndLeave(path, stay, 80*time.Second) // longer than the quarantine lasts
				w.checkStopped(is, path)
			}, manyEndpoints)
		}
	}
}

// Guards against missing the end of an endpoint that restarts at once under the same id and
// address.
func TestADeadlyRequestIsStoppedWhereEndpointsRestartAtOnce(t *testing.T) {
	for _, instances := range []int{4, largeFleet} {
		for _, again := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				const path = "/safe/deadly"
				w.askDeadly(path, "d", 20*time.Second, runningNames(w)...)
				w.checkStopped(is, path)
			}, manyEndpoints, func(w *testCluster) { w.deaths.restartDelay = again })
		}
	}
}

// maxLateRuns is how often a deadly request may reach endpoints later than propagationBound
// after maxEndsPerRequest endpoints have ended under it.
const (
	maxLateRuns      = 3
	propagationBound = 3 * time.Second
)

// checkStopped checks that a request was deadly and that its runs were stopped.
func (w *testCluster) checkStopped(is *is.I, path string) {
	is.Helper()
	ended, after := w.deaths.counts(path)
	tooLate := w.deaths.tooLate(path)
	w.t.Logf("%d instances: %d ended, %d sent after, %d of them late", len(w.instances), ended, after, tooLate)
	is.True(ended >= maxEndsPerRequest) // otherwise the test proves nothing
	is.True(tooLate <= maxLateRuns)
}

// askAndLeave requests a path ten times a second for a time d, from clients that disconnect
// after the time stay.
func (w *testCluster) askAndLeave(path string, stay, d time.Duration) {
	names := runningNames(w)
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		name := names[i%len(names)]
		wait.Go(func() { w.askUntil(name, path, "k1", fmt.Sprint(name, "/leaves", i), stay) })
	}
}

// An instance that is seen before its registration is known is sent all suspects once the
// registration is known.
func TestSuspectsArePendingForAnInstanceUntilItIsListed(t *testing.T) {
	runCluster(t, 4, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.askDeadly("/safe/deadly", "d", 4*time.Second, runningNames(w)...)
		s := w.instances["n0"].instance.suspects
		now := s.instance.Clock.Now()
		s.syncPeer("unlisted", 7)
		is.True(s.needsSync("unlisted", 7, now.Add(2*syncInterval)))
		started := w.instances["n1"].instance.incarnation() // n1 itself may be met at the same moment
		s.mu.Lock()
		s.peers["n1"] = &syncState{incarnation: started, pending: true}
		s.mu.Unlock()
		s.syncPeer("n1", started)
		is.True(!s.needsSync("n1", started, now.Add(2*syncInterval)))
		time.Sleep(time.Second)
	}, manyEndpoints)
}
