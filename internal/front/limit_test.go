package front

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// Guards against a client account exceeding its limit (by 4% of a window) because instances
// do not know each other. The store refuses some instances for longer than their registration
// lasts, while others restart. If the restarted ones learn the members from the store alone,
// they never exchange counts with the refused ones: of a pair only the one with the lower
// name asks. What either side admitted is then not deducted by the other, and is treated as
// old once the store accepts the registrations again.
func TestALimitHoldsWhileInstancesRestartAndTheStoreTurnsOthersAway(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	const instances, backAt = 5, 4 // second from which the store serves all instances again
	lost, restarted := []string{"n3", "n4"}, []string{"n0", "n1", "n2"}
	runCluster(t, instances, func(_ *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.setFaults(storetest.Faults{Refuse: true}, lost...)
		time.Sleep(registerTTL + 3*time.Second)
		for _, name := range restarted {
			w.restart(name)
		}
		time.Sleep(5 * time.Second)
		for name, r := range w.instances {
			if known := len(r.instance.state.members.list()); known != instances-1 {
				t.Errorf("%s knows %d of %d others", name, known, instances-1)
			}
		}
		r := rand.New(rand.NewPCG(1, 2))
		var runs []int // at the end of each second
		for second := range 20 {
			if second == backAt {
				w.setFaults(storetest.Faults{}, lost...)
			}
			w.askMany(fmt.Sprint(second, "-"), 5*rate, time.Second, func(int) string { return fmt.Sprint("n", r.IntN(instances)) })
			runs = append(runs, w.startedRequests())
			if second < window {
				continue
			}
			if in := runs[second] - runs[second-window]; float64(in) > (rate*window+burst)*(1+over) {
				t.Errorf("%d ran in the window that ended with second %d", in, second)
			}
		}
	}, withLimit(rate, burst, over), lenientRevoke)
}

// The same in a large fleet, where hubs report the members: a hub and a follower that start
// while the store refuses another hub and another follower know both of them.
func TestStartingInstancesOfALargeFleetKnowThoseThatTheStoreLost(t *testing.T) {
	runCluster(t, largeFleet, func(_ *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		hubs, followers := hubsAndFollowers(w)
		w.setFaults(storetest.Faults{Refuse: true}, hubs[0], followers[0])
		time.Sleep(registerTTL + 5*time.Second)
		restarted := []string{hubs[1], followers[1]}
		for _, name := range restarted {
			w.restart(name)
		}
		time.Sleep(5 * time.Second)
		for _, name := range restarted {
			if known := len(w.instances[name].instance.state.members.list()); known != largeFleet-1 {
				t.Errorf("%s knows %d of %d others", name, known, largeFleet-1)
			}
		}
	}, lenientRevoke)
}

// Guards against needless traffic: an outage of the store that is shorter than the lifetime
// of registrations must not make instances advertise members to each other, which in a large
// fleet would be all to all. They do so only once registrations may have expired.
func TestAShortOutageDoesNotAdvertiseInstances(t *testing.T) {
	runCluster(t, 3, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.setFaults(storetest.Faults{Refuse: true}, "n0", "n1", "n2")
		time.Sleep(5 * time.Second)
		for _, r := range w.instances {
			is.Equal(len(r.instance.advertisedInstances(time.Now())), 0)
		}
		time.Sleep(registerTTL)
		for _, r := range w.instances {
			is.Equal(len(r.instance.advertisedInstances(time.Now())), 3)
		}
		w.setFaults(storetest.Faults{}, "n0", "n1", "n2")
		time.Sleep(2*registerRenewInterval + maxOutageRetry)
		for _, r := range w.instances {
			is.Equal(len(r.instance.advertisedInstances(time.Now())), 0)
		}
	})
}

// Guards against a limit exceeded while all instances of a small fleet start. They serve requests
// before their first exchange, and what the others admitted by then was not deducted.
func TestUnitsAdmittedBeforeTheFirstExchangeAreDeducted(t *testing.T) {
	const rate, burst, instances = 20, 100, 3
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.killAndStart(runningNames(w)...)
		w.readyWithin(5 * time.Second)
		served := 0
		for i := 0; i < 20 && served < 4; i++ {
			if w.ask("n2", "/safe/a", "k1", fmt.Sprint("early", i)) == 200 {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(served, 4)
		// Two seconds after the start all have exchanged counts, and none has adopted levels yet (quota.WarmUp).
		time.Sleep(time.Until(w.instances["n2"].instance.start.Add(2 * time.Second)))
		for name := range w.instances {
			refilled := rate * time.Since(w.instances[name].instance.start).Seconds()
			if left := w.quotaLeft(name); left > refilled-float64(served)+1 {
				t.Errorf("%s has %.1f units left of %.1f, although %d were admitted", name, left, refilled, served)
			}
		}
	}, withLimit(rate, burst, 0), lenientRevoke)
}
