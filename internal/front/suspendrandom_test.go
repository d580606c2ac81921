package front

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

const (
	randomRuns = 4 // unless SHELFCRANK_SEEDS is set
	runFor     = 25 * time.Second
	askEvery   = 40 * time.Millisecond
	// denyBound is how long after a route was added requests to it may still be denied: the
	// maximum age of a proof by which they are denied, and the latency of a call.
	denyBound = denialProofAge + 300*time.Millisecond
)

// suspendRun is one random run in which one, two or all instances are suspended, also while a key
// is revoked, a route is added and the store refuses instances.
type suspendRun struct {
	w    *testCluster
	mu   sync.Mutex
	rnd  *rand.Rand      // guarded by mu
	busy map[string]bool // instances that are suspended or that the store refuses; guarded by mu

	version int64     // of the configuration; guarded by mu
	revoked time.Time // when the first key was revoked; zero before; guarded by mu
	added   time.Time // when the route was added; zero before; guarded by mu
	events  []string  // guarded by mu
	once    []string  // ids of requests that may run at most once; guarded by mu
	wait    sync.WaitGroup
}

func (h *suspendRun) randN(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rnd.IntN(n)
}

func (h *suspendRun) logf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// acquire selects at most the given number of running instances that are not busy, and marks them
// busy.
func (h *suspendRun) acquire(most int) (names []string) {
	all := runningNames(h.w)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, name := range all {
		if !h.busy[name] && len(names) < most {
			h.busy[name] = true
			names = append(names, name)
		}
	}
	return names
}

func (h *suspendRun) release(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.busy[name] = false
	}
}

// suspend suspends some instances for 0.5 to 20 s.
func (h *suspendRun) suspend() {
	names := h.acquire([]int{1, 1, 2, len(h.w.instances)}[h.randN(4)])
	d := time.Duration(500+h.randN([]int{1500, 6000, 19500}[h.randN(3)])) * time.Millisecond
	h.logf("suspend %v for %s", names, d)
	h.wait.Go(func() {
		h.w.suspend(d, names...)
		h.release(names)
	})
}

// edit adds the route on the first call, and revokes the first key on the second.
func (h *suspendRun) edit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	keys := []string{"k1", "k2"}
	if h.added.IsZero() {
		h.added = time.Now()
	} else if h.revoked.IsZero() {
		h.revoked = time.Now()
	}
	if !h.revoked.IsZero() {
		keys = keys[1:]
	}
	h.w.configure(h.version, keys...)
	h.events = append(h.events, fmt.Sprint(time.Now().Format("05.000 "), "configuration ", h.version, keys))
}

// refuse makes the store refuse one or two instances for a while.
func (h *suspendRun) refuse() {
	names := h.acquire(1 + h.randN(2))
	d := time.Duration(500+h.randN(4000)) * time.Millisecond
	h.logf("store refuses %v for %s", names, d)
	h.wait.Go(func() {
		h.w.setFaults(storetest.Faults{Refuse: true}, names...)
		time.Sleep(d)
		h.w.setFaults(storetest.Faults{}, names...)
		h.release(names)
	})
}

// ask sends a request and checks its outcome.
func (h *suspendRun) ask(i int) {
	name := fmt.Sprint("n", h.randN(len(h.w.instances)))
	path := []string{"/safe/a", "/once/a", "/new/a"}[h.randN(3)]
	key := []string{"k1", "k2"}[h.randN(2)]
	id := fmt.Sprint(name, "/", i)
	h.mu.Lock()
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return 0
		}
		return time.Since(at)
	}
	revoked, added := since(h.revoked), since(h.added)
	if path == "/once/a" {
		h.once = append(h.once, id)
	}
	h.mu.Unlock()
	h.wait.Go(func() {
		status := h.w.ask(name, path, key, id)
		if key == "k1" && revoked > h.w.settings("n0", 1).Bounds.Revoke() && h.w.runsOf(id) > 0 {
			h.w.t.Errorf("%s ran with a key that was revoked %s before the request was sent", id, revoked)
		}
		if path == "/new/a" && key == "k2" && added > denyBound && status == http.StatusNotFound {
			h.w.t.Errorf("%s got 404 %s after the route was added", id, added)
		}
	})
}

// run sends requests while it triggers random suspensions, edits and store faults.
func (h *suspendRun) run() {
	for i := range int(runFor / askEvery) {
		time.Sleep(askEvery)
		h.ask(i)
		switch {
		case i%25 != 0:
		case h.randN(3) == 0:
			h.suspend()
		case h.randN(4) == 0:
			h.edit()
		case h.randN(4) == 0:
			h.refuse()
		}
	}
	h.wait.Wait()
}

// check asserts the invariants at the end: no unsafe request ran twice, the platform saw no reports
// of an earlier leader after those of a later one, and all instances serve.
func (h *suspendRun) check() {
	w := h.w
	for _, id := range h.once {
		if runs := w.runsOf(id); runs > 1 {
			w.t.Errorf("%s ran %d times", id, runs)
		}
	}
	w.cloud.mu.Lock()
	for _, violation := range w.cloud.violations {
		w.t.Error(violation)
	}
	w.cloud.mu.Unlock()
	time.Sleep(15 * time.Second) // recover_s and the length of a lease
	for _, name := range runningNames(w) {
		if status := w.ask(name, "/once/a", "k2", name+"/last"); status != http.StatusOK || !w.ready(name) {
			w.t.Errorf("at the end %s answers status %d, ready: %v", name, status, w.ready(name))
		}
	}
}

// seeds returns the number of random runs of a test.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("SHELFCRANK_SEEDS")); err == nil {
		return n
	}
	return randomRuns
}

func TestRandomSuspensions(t *testing.T) {
	for seed := range seeds() {
		instances := 4
		if seed%16 == 15 {
			instances = largeFleet
		}
		runCluster(t, instances, func(_ *is.I, w *testCluster) {
			h := &suspendRun{w: w, rnd: rand.New(rand.NewPCG(uint64(seed), 40)), busy: make(map[string]bool), version: 1}
			h.run()
			h.check()
			if t.Failed() {
				t.Fatalf("seed %d, %d instances: %q", seed, instances, h.events)
			}
		}, suspendable, func(w *testCluster) { w.halls = 2 })
	}
}
