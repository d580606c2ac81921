package front

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// rateLimits are what servers name in their answers. The id of a request begins with the
// instance that it is sent to.
type rateLimits struct {
	mu      sync.Mutex
	named   map[string]string // header by server; guarded by mu
	checker *check.RateLimits // guarded by mu
}

func newRateLimits() *rateLimits {
	return &rateLimits{named: make(map[string]string), checker: check.NewRateLimits(3 * time.Second)}
}

// name makes a server name a limit from now on.
func (l *rateLimits) name(server string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named[server] = strconv.FormatFloat(rate, 'f', -1, 64)
	l.checker.Named(server, rate, time.Now())
}

// lift makes a server name no limit any more.
func (l *rateLimits) lift(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.named, server)
	l.checker.Lifted(server, time.Now())
}

func (l *rateLimits) arrives(server, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checker.Arrived(server, pairOf(server, id).instance, now)
}

// answers names the limit in an answer.
func (l *rateLimits) answers(server, id string, h http.Header, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, limited := l.named[server]; limited {
		h.Set("Limit", text)
		l.checker.Passed(server, pairOf(server, id).instance, now)
	}
}

// excuse records that instances are restarted, frozen or cut off until some time after now.
func (l *rateLimits) excuse(d time.Duration, instances ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range instances {
		l.checker.Excuse(name, time.Now(), time.Now().Add(d))
	}
}

// checkRateLimits reports servers that got more than they allow.
func (w *world) checkRateLimits() {
	w.t.Helper()
	w.limits.mu.Lock()
	defer w.limits.mu.Unlock()
	for _, v := range w.limits.checker.Violations() {
		w.t.Error(v)
	}
}

func TestServersGetNoMoreThanTheRateLimitThatTheyName(t *testing.T) {
	for _, nodes := range []int{3, 9, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			w.limits.name(serverID(0), 1)
			w.limits.name(serverID(1), 1.7)
			answered := w.askAround("a", 14*time.Second)
			w.checkRateLimits()
			is.True(answered >= 690) // of 700: the third takes what is left
			w.limits.lift(serverID(0))
			time.Sleep(3 * time.Second)
			lifted := time.Now()
			w.askAround("b", 15*time.Second)
			is.True(w.lastAt(serverID(0)).After(lifted))
			w.checkRateLimits()
		})
	}
}

func TestAllServersOfAServiceNameARateLimit(t *testing.T) {
	play(t, 3, func(is *is.I, w *world) {
		for i := range testServers {
			w.limits.name(serverID(i), 4)
		}
		time.Sleep(time.Second)
		w.askAround("a", time.Second)
		answered := w.askAround("b", 10*time.Second)
		w.checkRateLimits()
		is.True(answered >= 60 && answered <= 150) // of 120 that the limits bear
	})
}

func TestALimitThatOneInstanceLearnsBindsAll(t *testing.T) {
	for _, nodes := range []int{3, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(8 * time.Second)
			w.limits.name(serverID(0), 1)
			for i := range 20 {
				w.ask("n0", "/safe/a", "k1", fmt.Sprint("n0/", i))
			}
			time.Sleep(1200 * time.Millisecond)
			for name, r := range w.nodes {
				if !r.node.limits.Any() {
					t.Errorf("%s of %d does not know the limit", name, nodes)
				}
			}
		})
	}
}

// Limits rise, fall and are lifted while the store goes away, instances are killed and servers
// ask for rest. No server gets more than it allows.
func TestRandomRateLimits(t *testing.T) {
	for seed := range seeds() {
		for _, nodes := range []int{4, large} {
			play(t, nodes, func(_ *is.I, w *world) {
				time.Sleep(4 * time.Second)
				w.randomRateLimits(rand.New(rand.NewPCG(uint64(seed), 23)), nodes)
				w.checkRateLimits()
			}, lenient)
			if t.Failed() {
				t.Fatalf("seed %d, %d instances", seed, nodes)
			}
		}
	}
}

// randomRateLimits plays 40 s of limits and faults.
func (w *world) randomRateLimits(rnd *rand.Rand, nodes int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 2000 {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", rnd.IntN(nodes))
		path := []string{"/once/a", "/safe/a"}[rnd.IntN(2)]
		wait.Go(func() { w.ask(name, path, "k1", fmt.Sprint(name, "/r", i)) })
		server := serverID(rnd.IntN(testServers))
		switch x := rnd.Float64(); {
		case x < 0.01:
			w.limits.name(server, []float64{0, 0.3, 1, 1.7, 5}[rnd.IntN(5)])
		case x < 0.012:
			w.limits.lift(server)
		case x < 0.02:
			w.statements.asksRest(server, time.Duration(rnd.ExpFloat64()*float64(time.Second)))
		case x < 0.05:
			w.statements.asksRest(server, 0)
		case x < 0.06:
			w.fault(storetest.Faults{Down: true}, name)
		case x < 0.08:
			w.fault(storetest.Faults{}, name)
		case x < 0.082:
			w.limits.excuse(3*time.Second, name)
			w.kill(name)
			w.statements.reset(name)
			w.start(name)
		}
	}
}
