package front

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// withLimit gives the client account of a test cluster a rate limit.
func withLimit(rate, burst, over float64) func(*testCluster) {
	return func(w *testCluster) { w.rate, w.burst, w.quotaOver = rate, burst, over }
}

// quotaLeft returns the remaining quota of the client account as an instance sees it.
func (w *testCluster) quotaLeft(name string) float64 {
	a := w.instances[name].instance.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.levels(time.Now())["north"]
}

// askMany sends n requests, evenly spread over a time, each to the instance that the function
// returns for its number. It returns the number of answers by status once all have arrived.
func (w *testCluster) askMany(tag string, n int, over time.Duration, instance func(i int) string) map[int]int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i := range n {
		time.Sleep(over / time.Duration(n))
		to := instance(i)
		wait.Go(func() {
			status := w.ask(to, "/safe/a", "k1", fmt.Sprint(tag, i))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wait.Wait()
	return statuses
}

// The units that one instance of a large fleet admits are known to all within about a second:
// instances report every 0.3 s and hubs exchange every 0.2 s. With exchanges between all pairs it
// took 7.5 s at this size, and at 120 instances levels were wrong by 72 units.
func TestAdmittedUnitsReachAllInstancesSoon(t *testing.T) {
	const rate, burst = 20, 100
	instances := fleetSize(300, 120)
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		time.Sleep(14 * time.Second)
		names := runningNames(w)
		asked := time.Now()
		is.Equal(w.askMany("a", 60, 500*time.Millisecond, func(i int) string { return names[2*i] })[200], 60)
		time.Sleep(1100 * time.Millisecond)
		want := burst - 60 + rate*time.Since(asked).Seconds()
		worst := 0.0
		for _, name := range names {
			worst = max(worst, math.Abs(w.quotaLeft(name)-want))
		}
		t.Logf("largest error of a level: %.1f units", worst)
		is.True(worst < rate) // a bucket may overflow before an update arrives: by one second's refill at most
	}, withLimit(rate, burst, 0))
}

// The traffic of an instance that is not a hub must not grow with the fleet, as it did with
// exchanges between all pairs.
func TestGossipPerInstanceDoesNotGrowWithTheFleet(t *testing.T) {
	bytes := make(map[int]float64)
	for _, instances := range []int{30, 120} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(8 * time.Second)
			_, followers := hubsAndFollowers(w)
			sum := func() (sum int64) {
				for _, name := range followers {
					sent, got := w.instances[name].instance.peers.Bytes()
					sum += sent + got
				}
				return sum
			}
			before := sum()
			time.Sleep(10 * time.Second)
			bytes[instances] = float64(sum()-before) / float64(len(followers)) / 10
		})
	}
	t.Logf("bytes per second and instance, by fleet size: %v", bytes)
	is := is.New(t)
	is.True(bytes[30] < 2000) // with one client account; with exchanges between all pairs it was 6,700
	is.True(bytes[120] < 1.3*bytes[30])
}

// A client account's limit holds across all instances of a large fleet for requests at random
// instances, also while hubs are killed.
func TestALargeFleetKeepsALimit(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	for _, killing := range []bool{false, true} {
		runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
			time.Sleep(8 * time.Second)
			r := rand.New(rand.NewPCG(1, 2))
			var runs []int // at the end of each second
			for second := range 24 {
				hubs, _ := hubsAndFollowers(w)
				if killing && second%8 == 3 {
					w.kill(hubs[0])
				}
				names := runningNames(w)
				w.askMany(fmt.Sprint(second, "-"), 3*rate, time.Second, func(int) string { return names[r.IntN(len(names))] })
				runs = append(runs, w.startedRequests())
				if len(runs) > window {
					if in := runs[second] - runs[second-window]; float64(in) > (rate*window+burst)*(1+over) {
						t.Errorf("%d requests ran in the window that ended with second %d, hubs killed: %t", in, second, killing)
					}
				}
			}
		}, withLimit(rate, burst, over))
	}
}

// A client account well below its limit is not refused at any instance of a large fleet.
func TestALargeFleetRefusesNothingBelowALimit(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(8 * time.Second)
		r := rand.New(rand.NewPCG(1, 2))
		names := runningNames(w)
		statuses := w.askMany("b", 600, 20*time.Second, func(int) string { return names[r.IntN(len(names))] })
		is.Equal(statuses, map[int]int{200: 600})
	}, withLimit(40, 80, 0.1))
}

// useFollowers sends requests, spread over a time, to the instances that are not hubs.
func (w *testCluster) useFollowers(is *is.I, requests int, over time.Duration) {
	is.Helper()
	_, followers := hubsAndFollowers(w)
	is.Equal(w.askMany("u", requests, over, func(i int) string { return followers[i%len(followers)] })[200], requests)
}

// checkReportedOnce checks that usage reports to the platform add up to the given number of requests and
// do not contradict each other.
func (w *testCluster) checkReportedOnce(is *is.I, requests int64) {
	is.Helper()
	w.cloud.mu.Lock()
	defer w.cloud.mu.Unlock()
	var reported int64
	for _, counts := range w.cloud.windows {
		reported += counts["north"]
	}
	is.Equal(reported, requests)
	is.Equal(len(w.cloud.violations), 0)
}

// The death of a hub loses no usage counts that it had already passed on.
func TestUsageOfALargeFleetWhileAHubDies(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(6 * time.Second)
		hubs, _ := hubsAndFollowers(w)
		w.useFollowers(is, 200, 4*time.Second)
		time.Sleep(1200 * time.Millisecond)
		w.kill(hubs[0])
		time.Sleep(12 * time.Second)
		w.checkReportedOnce(is, 200)
	})
}

// After a kill of all instances, the new leader reports the usage counted before.
func TestUsageOfALargeFleetSurvivesTheKillOfAll(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(6 * time.Second)
		w.useFollowers(is, 100, 2*time.Second)
		time.Sleep(2500 * time.Millisecond)
		w.kill(runningNames(w)...)
		for i := range largeFleet {
			w.start(fmt.Sprint("n", i))
		}
		time.Sleep(16 * time.Second)
		w.checkReportedOnce(is, 100)
	})
}

// The store refuses a hub until its registration expires. The hub still runs, so all instances must
// keep it as a hub: otherwise they would report to, and read through, instances that do not act as
// hubs.
func TestAHubThatTheStoreLostStaysAHub(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		hubs, followers := hubsAndFollowers(w)
		w.store.SetFaults(hubs[0], storetest.Faults{Refuse: true})
		time.Sleep(registerTTL + 5*time.Second)
		for _, name := range followers {
			names := w.instances[name].instance.state.members.topology().HubNames()
			slices.Sort(names)
			is.Equal(names, hubs)
		}
		_, after := hubsAndFollowers(w)
		is.Equal(after, followers)
	})
}

// The same for an instance that is not a hub: its hub reports to the others that it still runs.
func TestAnInstanceThatTheStoreLostStaysAMember(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		_, followers := hubsAndFollowers(w)
		w.store.SetFaults(followers[0], storetest.Faults{Refuse: true})
		time.Sleep(registerTTL + 5*time.Second)
		for _, name := range runningNames(w) {
			is.Equal(len(w.instances[name].instance.state.members.list()), largeFleet-1)
		}
	})
}

func runningNames(w *testCluster) []string {
	var names []string
	for i := range w.starts {
		if name := fmt.Sprint("n", i); w.instances[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

// Conversion of usage counts for a hub and back keeps windows and client accounts.
func TestRunsAndWindowsAreTheSameCounts(t *testing.T) {
	is := is.New(t)
	windows := map[int64]usage.Counts{7: {"a": 1, "b": 2}, 8: {"a": 3}}
	is.Equal(windowsOf(runsOf(windows)), windows)
}
