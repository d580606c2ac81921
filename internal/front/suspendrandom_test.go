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
	randomRuns = 4 // without SHELFCRANK_SEEDS
	runFor     = 25 * time.Second
	askEvery   = 40 * time.Millisecond
	// denyBound is how long after a route was added it may still be denied: the time for which
	// a proof is certain enough, and the way of a call.
	denyBound = certain + 300*time.Millisecond
)

// history is one random run: instances are suspended, one, two or all, also while they are
// killed, keys are taken away, routes are added and the store is in trouble.
type history struct {
	w    *world
	mu   sync.Mutex
	rnd  *rand.Rand      // guarded by mu
	busy map[string]bool // instances that are suspended or killed; guarded by mu

	version int64     // of the configuration; guarded by mu
	taken   time.Time // when the first key was taken away; zero before; guarded by mu
	added   time.Time // when the route was added; zero before; guarded by mu
	story   []string  // guarded by mu
	once    []string  // requests that may run once; guarded by mu
	wait    sync.WaitGroup
}

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rnd.IntN(n)
}

func (h *history) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.story = append(h.story, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// pick takes some instances that run, at the most so many.
func (h *history) pick(most int) (names []string) {
	all := namesOf(h.w)
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

func (h *history) done(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.busy[name] = false
	}
}

// suspend suspends some instances for 0.5 to 20 s.
func (h *history) suspend() {
	names := h.pick([]int{1, 1, 2, len(h.w.nodes)}[h.draw(4)])
	d := time.Duration(500+h.draw([]int{1500, 6000, 19500}[h.draw(3)])) * time.Millisecond
	h.note("suspend %v for %s", names, d)
	h.wait.Go(func() {
		h.w.suspend(d, names...)
		h.done(names)
	})
}

// edit adds the route, or takes the first key away.
func (h *history) edit() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version++
	keys := []string{"k1", "k2"}
	if h.added.IsZero() {
		h.added = time.Now()
	} else if h.taken.IsZero() {
		h.taken = time.Now()
	}
	if !h.taken.IsZero() {
		keys = keys[1:]
	}
	h.w.configure(h.version, keys...)
	h.story = append(h.story, fmt.Sprint(time.Now().Format("05.000 "), "configuration ", h.version, keys))
}

// trouble makes the store refuse instances for a while.
func (h *history) trouble() {
	names := h.pick(1 + h.draw(2))
	d := time.Duration(500+h.draw(4000)) * time.Millisecond
	h.note("store turns %v away for %s", names, d)
	h.wait.Go(func() {
		h.w.fault(storetest.Faults{Busy: true}, names...)
		time.Sleep(d)
		h.w.fault(storetest.Faults{}, names...)
		h.done(names)
	})
}

// ask sends a request and checks what became of it.
func (h *history) ask(i int) {
	name := fmt.Sprint("n", h.draw(len(h.w.nodes)))
	path := []string{"/safe/a", "/once/a", "/new/a"}[h.draw(3)]
	key := []string{"k1", "k2"}[h.draw(2)]
	id := fmt.Sprint(name, "/", i)
	h.mu.Lock()
	since := func(at time.Time) time.Duration {
		if at.IsZero() {
			return 0
		}
		return time.Since(at)
	}
	taken, added := since(h.taken), since(h.added)
	if path == "/once/a" {
		h.once = append(h.once, id)
	}
	h.mu.Unlock()
	h.wait.Go(func() {
		status := h.w.ask(name, path, key, id)
		if key == "k1" && taken > h.w.settings("n0", 1).Bounds.Revoke() && h.w.runsOf(id) > 0 {
			h.w.t.Errorf("%s ran with a key that was taken away %s before it was sent", id, taken)
		}
		if path == "/new/a" && key == "k2" && added > denyBound && status == http.StatusNotFound {
			h.w.t.Errorf("%s was told of no route %s after it was added", id, added)
		}
	})
}

// play makes a history.
func (h *history) play() {
	for i := range int(runFor / askEvery) {
		time.Sleep(askEvery)
		h.ask(i)
		switch {
		case i%25 != 0:
		case h.draw(3) == 0:
			h.suspend()
		case h.draw(4) == 0:
			h.edit()
		case h.draw(4) == 0:
			h.trouble()
		}
	}
	h.wait.Wait()
}

// check asserts what holds at the end: nothing unrepeatable ran twice, orders of one holder
// came after those of the one before, and all instances serve.
func (h *history) check() {
	w := h.w
	for _, id := range h.once {
		if runs := w.runsOf(id); runs > 1 {
			w.t.Errorf("%s ran %d times", id, runs)
		}
	}
	w.cloud.mu.Lock()
	for _, fault := range w.cloud.faults {
		w.t.Error(fault)
	}
	w.cloud.mu.Unlock()
	time.Sleep(15 * time.Second) // recover_s and the length of a lease
	for _, name := range namesOf(w) {
		if status := w.ask(name, "/once/a", "k2", name+"/last"); status != http.StatusOK || !w.ready(name) {
			w.t.Errorf("%s answers %d at the end, ready: %v", name, status, w.ready(name))
		}
	}
}

// seeds returns how many random runs a test plays.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("SHELFCRANK_SEEDS")); err == nil {
		return n
	}
	return randomRuns
}

func TestRandomSuspensions(t *testing.T) {
	for seed := range seeds() {
		nodes := 4
		if seed%16 == 15 {
			nodes = large
		}
		play(t, nodes, func(_ *is.I, w *world) {
			h := &history{w: w, rnd: rand.New(rand.NewPCG(uint64(seed), 40)), busy: make(map[string]bool), version: 1}
			h.play()
			h.check()
			if t.Failed() {
				t.Fatalf("seed %d, %d instances: %q", seed, nodes, h.story)
			}
		}, suspendable, func(w *world) { w.halls = 2 })
	}
}
