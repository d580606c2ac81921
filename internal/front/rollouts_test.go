package front

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

const (
	exposeShare   = 0.1
	exposeSlack   = 50
	rollbackBound = 5 * time.Second // from the 50th bad answer of a version to the last request sent to it
	oldEndpoints  = 12
	newEndpoints  = 12
	operators     = "operators" // name of their store client
)

// versionBehavior is how the endpoints of a version serve requests; bad means that it fails
// requests or is slow.
type versionBehavior struct {
	failShare    float64       // share of requests that fail
	slowFactor   float64       // factor on the usual duration
	path         string        // prefix of the only path on which it is bad; "" for all
	badAfter     time.Duration // time after its first request from which it is bad
	badAboveLoad int           // bad while an endpoint has more open requests than this
}

// rolloutEndpoints simulates the endpoints of both versions, and counts their requests. On nil
// its methods do nothing.
type rolloutEndpoints struct {
	mu            sync.Mutex
	random        *rand.Rand           // guarded by mu
	v2Behavior    versionBehavior      // guarded by mu
	first         time.Time            // time of the first request at v2; guarded by mu
	open          map[string]int       // open requests by endpoint; guarded by mu
	arrived       map[string]int       // requests by version since the order; guarded by mu
	lastAt        map[string]time.Time // time of the last request by version; guarded by mu
	badAnswers    int                  // number of bad answers of v2; guarded by mu
	fiftiethBadAt time.Time            // time of the 50th of them; guarded by mu
}

// withRollouts is an option that enables roll-outs in a world.
func withRollouts(w *testCluster) {
	w.store.SetFaults(operators, storetest.Faults{}) // their client meets no faults
	w.rollouts = &rolloutEndpoints{
		random: rand.New(rand.NewPCG(1, 2)), open: make(map[string]int),
		arrived: make(map[string]int), lastAt: make(map[string]time.Time),
	}
}

func (r *rolloutEndpoints) share() float64 {
	if r == nil {
		return 0
	}
	return exposeShare
}

// version returns the version of the i-th endpoint.
func (r *rolloutEndpoints) version(i int) string {
	switch {
	case r == nil:
		return ""
	case i < oldEndpoints:
		return "v1"
	}
	return "v2"
}

func indexOf(endpoint string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(endpoint, "s"))
	return i
}

// serve counts a request, and returns how long the endpoint works on it and whether it fails.
func (r *rolloutEndpoints) serve(endpoint, path string, hold time.Duration) (time.Duration, bool) {
	if r == nil {
		return hold, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	version, now := r.version(indexOf(endpoint)), time.Now()
	r.arrived[version]++
	r.lastAt[version] = now
	r.open[endpoint]++
	if version == "v1" {
		return hold, false
	}
	if r.first.IsZero() {
		r.first = now
	}
	c := r.v2Behavior
	if c.path != "" && !strings.HasPrefix(path, c.path) || now.Sub(r.first) < c.badAfter || r.open[endpoint] <= c.badAboveLoad {
		return hold, false
	}
	fails := r.random.Float64() < c.failShare
	if fails || c.slowFactor > 1 {
		r.badAnswers++
		if r.badAnswers == 50 {
			r.fiftiethBadAt = now
		}
	}
	return time.Duration(max(1, c.slowFactor) * float64(hold)), fails
}

func (r *rolloutEndpoints) served(endpoint string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[endpoint]--
}

// order writes an order for a roll-out to the store.
func (w *testCluster) order(target string, window time.Duration) {
	w.rollouts.mu.Lock()
	clear(w.rollouts.arrived)
	w.rollouts.mu.Unlock()
	value, err := json.Marshal(rollout.Order{Target: target, Window: window})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/rollout/svc", value)
}

func (w *testCluster) startVersions(from, to int) {
	for i := from; i < to; i++ {
		w.startEndpoint(i)
	}
}

// status returns the roll-out's status that the leader wrote for the operators; empty if none.
func (w *testCluster) status() string {
	item, _, err := w.store.Client(operators).Get(w.t.Context(), "status/rollout/svc")
	if err != nil {
		return ""
	}
	return string(item.Value)
}

// load sends requests to all instances in turn, rate a second, until the returned function is
// called, which returns how many succeeded and how many failed.
func (w *testCluster) load(rate int) (stop func() (succeeded, failed int)) {
	ended, done := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	succeeded, failed := 0, 0
	names := runningNames(w)
	go func() {
		defer close(done)
		var wait sync.WaitGroup
		defer wait.Wait()
		for i := 0; ; i++ {
			select {
			case <-ended:
				return
			case <-time.After(time.Second / time.Duration(rate)):
			}
			path := []string{"/safe/a", "/once/a"}[i%2]
			wait.Go(func() {
				status := w.ask(names[i%len(names)], path, "k1", fmt.Sprint("load", i))
				mu.Lock()
				defer mu.Unlock()
				if status == 200 {
					succeeded++
				} else {
					failed++
				}
			})
		}
	}()
	return func() (int, int) {
		close(ended)
		<-done
		mu.Lock()
		defer mu.Unlock()
		return succeeded, failed
	}
}

// rolloutResult is the outcome of a roll-out.
type rolloutResult struct {
	status            string
	after             time.Duration // from the order until the status was final
	v1, v2            int           // requests by version from the order to the end of its window
	lastV2            time.Duration // from the 50th bad answer to the last request at v2
	openAtEnd         int           // requests at v1 when the status became completed
	succeeded, failed int
	v2AfterRollback   int // requests at v2 after the end of the window
}

// rollOut runs a roll-out with a window of 12 s under load, calling meanwhile beside it.
func (w *testCluster) rollOut(c versionBehavior, rate int, meanwhile func()) rolloutResult {
	w.rollouts.mu.Lock()
	w.rollouts.v2Behavior = c
	w.rollouts.mu.Unlock()
	w.startVersions(testEndpoints, oldEndpoints)
	time.Sleep(time.Second)
	stop := w.load(rate)
	time.Sleep(4 * time.Second)
	begin := time.Now()
	w.order("v2", 12*time.Second)
	time.Sleep(time.Second)
	w.startVersions(oldEndpoints, oldEndpoints+newEndpoints)
	if meanwhile != nil {
		go meanwhile()
	}
	var out rolloutResult
	for time.Since(begin) < 25*time.Second {
		time.Sleep(20 * time.Millisecond)
		if s := w.status(); s == string(rollout.Completed) || s == string(rollout.RolledBack) {
			out.status, out.after = s, time.Since(begin)
			break
		}
	}
	w.rollouts.mu.Lock()
	for i := range oldEndpoints {
		out.openAtEnd += w.rollouts.open[endpointID(i)]
	}
	w.rollouts.mu.Unlock()
	if out.status == string(rollout.Completed) {
		for i := range oldEndpoints {
			w.stopEndpoint(i)
		}
	}
	time.Sleep(max(0, 12*time.Second-time.Since(begin)))
	w.rollouts.mu.Lock()
	out.v1, out.v2 = w.rollouts.arrived["v1"], w.rollouts.arrived["v2"]
	w.rollouts.mu.Unlock()
	time.Sleep(4 * time.Second)
	out.succeeded, out.failed = stop()
	w.rollouts.mu.Lock()
	defer w.rollouts.mu.Unlock()
	if !w.rollouts.fiftiethBadAt.IsZero() {
		out.lastV2 = w.rollouts.lastAt["v2"].Sub(w.rollouts.fiftiethBadAt)
	}
	out.v2AfterRollback = w.rollouts.arrived["v2"] - out.v2
	return out
}

// stopEndpoint stops an endpoint of the old version at once.
func (w *testCluster) stopEndpoint(i int) {
	w.store.Put("server/"+endpointID(i), nil)
	w.mem.Kill(endpointID(i))
}

// checkBounds checks what must hold for every roll-out of a bad version.
func (o rolloutResult) checkBounds(is *is.I, t *testing.T) {
	t.Helper()
	t.Logf("%+v", o)
	is.True(float64(o.v2) <= exposeShare*float64(o.v1+o.v2)+exposeSlack)
	is.True(o.lastV2 <= rollbackBound)
	is.Equal(o.v2AfterRollback, 0)
}

// fleetsOf returns the fleet sizes for the i-th test case: a small and a large one by turns,
// or both with SHELFCRANK_PLAYS=all, which takes over five minutes with the race detector.
func fleetsOf(i int) []int {
	both := []int{8, largeFleet}
	if os.Getenv("SHELFCRANK_PLAYS") == "all" {
		return both
	}
	return both[i%2 : i%2+1]
}

// During the trial and the shift of a roll-out, the endpoints of both versions count as in
// use, so that connections and what is known of them are kept.
func TestEndpointsOfBothVersionsAreInUse(t *testing.T) {
	runCluster(t, 3, func(is *is.I, w *testCluster) {
		checks := make(chan int, 1)
		meanwhile := func() {
			time.Sleep(2 * time.Second) // until all instances know the endpoints just started
			checked := 0
			defer func() { checks <- checked }()
			for range 30 {
				time.Sleep(250 * time.Millisecond)
				n := w.instances["n0"].instance
				phase := n.view.Load().Rollouts["svc"].Phase
				if phase != rollout.Trial && phase != rollout.Shift {
					continue
				}
				checked++
				if in := len(n.endpointsInUse()); in != oldEndpoints+newEndpoints {
					t.Errorf("%d of %d endpoints in use in the phase %s", in, oldEndpoints+newEndpoints, phase)
				}
			}
		}
		is.Equal(w.rollOut(versionBehavior{}, 200, meanwhile).status, string(rollout.Completed))
		is.True(<-checks > 10)
	}, withRollouts)
}

func TestAGoodVersionIsCompletedInTime(t *testing.T) {
	for _, instances := range []int{3, 8, largeFleet} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				o := w.rollOut(versionBehavior{}, 200, nil)
				w.t.Logf("%+v", o)
				is.Equal(o.status, string(rollout.Completed))
				is.True(o.after < 12*time.Second)
				is.Equal(o.openAtEnd, 0)
				is.Equal(o.failed, 0)
			}, withRollouts)
		})
	}
}

func TestABadVersionIsRolledBack(t *testing.T) {
	kinds := map[string]versionBehavior{
		"fails":        {failShare: 0.3},
		"fails all":    {failShare: 1},
		"slow":         {slowFactor: 5},
		"fails later":  {failShare: 0.4, badAfter: 3 * time.Second},
		"on one route": {failShare: 0.5, path: "/once/"},
		"slow on one":  {slowFactor: 5, path: "/safe/"},
	}
	for i, name := range slices.Sorted(maps.Keys(kinds)) {
		for _, instances := range fleetsOf(i) {
			c := kinds[name]
			t.Run(fmt.Sprint(name, " ", instances), func(t *testing.T) {
				runCluster(t, instances, func(is *is.I, w *testCluster) {
					o := w.rollOut(c, 200, nil)
					o.checkBounds(is, w.t)
					is.Equal(o.status, string(rollout.RolledBack))
				}, withRollouts)
			})
		}
	}
}

// Roll-outs under faults: the leader or all instances are killed, the store is down, loses
// answers or forgets its history, or one instance is partitioned. A bad version is rolled back
// within the bounds all the same, and a good one completed.
func TestRolloutsUnderFaults(t *testing.T) {
	faults := map[string]func(w *testCluster){
		"leader killed": func(w *testCluster) {
			time.Sleep(2500 * time.Millisecond)
			w.killAndStart(w.leader())
		},
		"leader killed in the shift": func(w *testCluster) {
			for w.recordPhase() == rollout.Trial {
				time.Sleep(50 * time.Millisecond)
			}
			w.killAndStart(w.leader())
		},
		"all killed": func(w *testCluster) {
			time.Sleep(3 * time.Second)
			w.killAndStart(runningNames(w)...)
		},
		"store down": func(w *testCluster) {
			time.Sleep(2 * time.Second)
			w.store.SetFaults("", storetest.Faults{Down: true})
			time.Sleep(3 * time.Second)
			w.store.SetFaults("", storetest.Faults{})
		},
		"store loses answers": func(w *testCluster) {
			for range 40 {
				w.store.SetFaults("", storetest.Faults{LoseNext: 1})
				time.Sleep(250 * time.Millisecond)
			}
		},
		"history forgotten": func(w *testCluster) {
			for range 8 {
				time.Sleep(time.Second)
				w.store.Compact()
			}
		},
		"a node cut off": func(w *testCluster) {
			time.Sleep(2 * time.Second)
			w.cutOff("n1", true)
			time.Sleep(5 * time.Second)
			w.cutOff("n1", false)
		},
	}
	for i, name := range slices.Sorted(maps.Keys(faults)) {
		fault := faults[name]
		for _, instances := range fleetsOf(i) {
			t.Run(fmt.Sprint(name, ", bad, ", instances), func(t *testing.T) {
				runCluster(t, instances, func(is *is.I, w *testCluster) {
					o := w.rollOut(versionBehavior{failShare: 0.3}, 200, func() { fault(w) })
					o.checkBounds(is, w.t)
					is.Equal(o.status, string(rollout.RolledBack))
				}, withRollouts)
			})
		}
		t.Run(name+", good", func(t *testing.T) {
			runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
				o := w.rollOut(versionBehavior{}, 200, func() { fault(w) })
				w.t.Logf("%+v", o)
				is.Equal(o.status, string(rollout.Completed))
				is.Equal(o.openAtEnd, 0)
			}, withRollouts)
		})
	}
}

// leader returns the name of the instance that is the leader.
func (w *testCluster) leader() string {
	for name, r := range w.instances {
		if _, _, ok := r.instance.elector.Token(time.Now()); ok {
			return name
		}
	}
	return "n0"
}

// killAndStart kills instances and starts them again half a second later.
func (w *testCluster) killAndStart(names ...string) {
	w.kill(names...)
	time.Sleep(500 * time.Millisecond)
	for _, name := range names {
		w.start(name)
	}
}

// recordPhase returns the phase in the roll-out's record in the store.
func (w *testCluster) recordPhase() rollout.Phase {
	item, _, err := w.store.Client(operators).Get(w.t.Context(), "own/"+keyRollouts+"svc")
	if err != nil {
		return rollout.Trial
	}
	var r rollout.Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		w.t.Error(err)
	}
	return r.Phase
}

// cutOff partitions an instance from all others, or ends that. It still reaches the store.
func (w *testCluster) cutOff(name string, cut bool) {
	for other, r := range w.instances {
		if other != name {
			w.mem.Cut(w.instances[name].site, r.site, cut)
		}
	}
}
