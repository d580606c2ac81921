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

// rateLimits holds the rate limits that endpoints announce in their answers, and checks that
// they are kept. The id of a request begins with the name of the instance that it is sent to.
type rateLimits struct {
	mu      sync.Mutex
	named   map[string]string // header value by endpoint; guarded by mu
	checker *check.RateLimits // guarded by mu
}

func newRateLimits() *rateLimits {
	return &rateLimits{named: make(map[string]string), checker: check.NewRateLimits(3 * time.Second)}
}

// name makes an endpoint announce a limit from now on.
func (l *rateLimits) name(endpoint string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named[endpoint] = strconv.FormatFloat(rate, 'f', -1, 64)
	l.checker.Announced(endpoint, rate, time.Now())
}

// lift makes an endpoint stop announcing a limit.
func (l *rateLimits) lift(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.named, endpoint)
	l.checker.Removed(endpoint, time.Now())
}

// arrives records that a request reached an endpoint.
func (l *rateLimits) arrives(endpoint, id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checker.Received(endpoint, pairOf(endpoint, id).instance, now)
}

// answers adds the limit to the headers of an answer.
func (l *rateLimits) answers(endpoint, id string, h http.Header, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if text, limited := l.named[endpoint]; limited {
		h.Set("Limit", text)
		l.checker.Forwarded(endpoint, pairOf(endpoint, id).instance, now)
	}
}

// excuse records that instances are restarted, suspended or partitioned for the given time.
func (l *rateLimits) excuse(d time.Duration, instances ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range instances {
		l.checker.Exempt(name, time.Now(), time.Now().Add(d))
	}
}

// checkRateLimits reports endpoints that got more requests than their limits allow.
func (w *testCluster) checkRateLimits() {
	w.t.Helper()
	w.limits.mu.Lock()
	defer w.limits.mu.Unlock()
	for _, v := range w.limits.checker.Violations() {
		w.t.Error(v)
	}
}

func TestEndpointsGetNoMoreThanTheRateLimitThatTheyAnnounce(t *testing.T) {
	for _, instances := range []int{3, 9, largeFleet} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			w.limits.name(endpointID(0), 1)
			w.limits.name(endpointID(1), 1.7)
			answered := w.askAround("a", 14*time.Second)
			w.checkRateLimits()
			is.True(answered >= 690) // of 700: the third endpoint takes the rest
			w.limits.lift(endpointID(0))
			time.Sleep(3 * time.Second)
			lifted := time.Now()
			w.askAround("b", 15*time.Second)
			is.True(w.lastRequestAt(endpointID(0)).After(lifted))
			w.checkRateLimits()
		})
	}
}

func TestAllEndpointsOfAServiceAnnounceARateLimit(t *testing.T) {
	runCluster(t, 3, func(is *is.I, w *testCluster) {
		for i := range testEndpoints {
			w.limits.name(endpointID(i), 4)
		}
		time.Sleep(time.Second)
		w.askAround("a", time.Second)
		answered := w.askAround("b", 10*time.Second)
		w.checkRateLimits()
		is.True(answered >= 60 && answered <= 150) // the limits allow 120
	})
}

func TestALimitThatOneInstanceLearnsBindsAll(t *testing.T) {
	for _, instances := range []int{3, largeFleet} {
		runCluster(t, instances, func(is *is.I, w *testCluster) {
			time.Sleep(8 * time.Second)
			w.limits.name(endpointID(0), 1)
			for i := range 20 {
				w.ask("n0", "/safe/a", "k1", fmt.Sprint("n0/", i))
			}
			time.Sleep(1200 * time.Millisecond)
			for name, r := range w.instances {
				if !r.instance.limits.HasLimits() {
					t.Errorf("%s of %d does not know the limit", name, instances)
				}
			}
		})
	}
}

// Limits rise, fall and are lifted while the store fails, instances are killed and endpoints
// request backoffs. No endpoint gets more requests than its limit allows.
func TestRandomRateLimits(t *testing.T) {
	for seed := range seeds() {
		for _, instances := range []int{4, largeFleet} {
			runCluster(t, instances, func(_ *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				w.randomRateLimits(rand.New(rand.NewPCG(uint64(seed), 23)), instances)
				w.checkRateLimits()
			}, lenientRevoke)
			if t.Failed() {
				t.Fatalf("seed %d, %d instances", seed, instances)
			}
		}
	}
}

// randomRateLimits runs 40 s of random limits and faults.
func (w *testCluster) randomRateLimits(rnd *rand.Rand, instances int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 2000 {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", rnd.IntN(instances))
		path := []string{"/once/a", "/safe/a"}[rnd.IntN(2)]
		wait.Go(func() { w.ask(name, path, "k1", fmt.Sprint(name, "/r", i)) })
		endpoint := endpointID(rnd.IntN(testEndpoints))
		switch x := rnd.Float64(); {
		case x < 0.01:
			w.limits.name(endpoint, []float64{0, 0.3, 1, 1.7, 5}[rnd.IntN(5)])
		case x < 0.012:
			w.limits.lift(endpoint)
		case x < 0.02:
			w.statements.requestsBackoff(endpoint, time.Duration(rnd.ExpFloat64()*float64(time.Second)))
		case x < 0.05:
			w.statements.requestsBackoff(endpoint, 0)
		case x < 0.06:
			w.setFaults(storetest.Faults{Down: true}, name)
		case x < 0.08:
			w.setFaults(storetest.Faults{}, name)
		case x < 0.082:
			w.limits.excuse(3*time.Second, name)
			w.kill(name)
			w.statements.reset(name)
			w.start(name)
		}
	}
}
