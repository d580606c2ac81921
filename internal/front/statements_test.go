package front

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// pair is an instance and an endpoint.
type pair struct{ instance, endpoint string }

// backoffPeriod is a period for which an endpoint asked an instance to send it no requests.
type backoffPeriod struct {
	asked, until time.Time
	requests     int // that arrived after restGrace
}

const (
	backoffGrace       = 500 * time.Millisecond // an instance that was asked for a backoff may go on sending for this long
	maxBackoffRequests = 2                      // requests that may still arrive during a backoff
)

// endpointNotices simulates the notices that endpoints put into their answers (leaving, or
// requesting a backoff), and checks the requests that still reach them. The id of a request
// begins with the name of the instance that it is sent to.
type endpointNotices struct {
	mu          sync.Mutex
	leaving     map[string]bool           // endpoints that announce that they leave; guarded by mu
	backoffFor  map[string]time.Duration  // length of the backoff that endpoints request while they refuse requests; guarded by mu
	fails       map[string]bool           // endpoints that run requests and fail them; guarded by mu
	announcedAt map[pair]time.Time        // when an answer first announced to an instance that an endpoint leaves; guarded by mu
	backoffs    map[pair][]*backoffPeriod // guarded by mu
}

func newEndpointNotices() *endpointNotices {
	return &endpointNotices{leaving: make(map[string]bool), backoffFor: make(map[string]time.Duration), fails: make(map[string]bool), announcedAt: make(map[pair]time.Time), backoffs: make(map[pair][]*backoffPeriod)}
}

// pairOf returns the endpoint with the instance that a request id names.
func pairOf(endpoint, id string) pair {
	instance, _, _ := strings.Cut(id, "/")
	return pair{instance, endpoint}
}

// leaves makes an endpoint announce that it leaves.
func (s *endpointNotices) leaves(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[endpoint] = true
}

// startsAgain makes an endpoint restart: its earlier notices no longer hold.
func (s *endpointNotices) startsAgain(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[endpoint] = false
	matches := func(p pair) bool { return p.endpoint == endpoint }
	maps.DeleteFunc(s.announcedAt, func(p pair, _ time.Time) bool { return matches(p) })
	maps.DeleteFunc(s.backoffs, func(p pair, _ []*backoffPeriod) bool { return matches(p) })
}

// requestsBackoff makes an endpoint refuse requests and request a backoff, or accept requests if
// the backoff is 0.
func (s *endpointNotices) requestsBackoff(endpoint string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffFor[endpoint] = d
}

// failsAll makes an endpoint fail all requests that it runs.
func (s *endpointNotices) failsAll(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails[endpoint] = true
}

// reset drops what was announced to an instance, which restarts.
func (s *endpointNotices) reset(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	matches := func(p pair) bool { return p.instance == instance }
	maps.DeleteFunc(s.announcedAt, func(p pair, _ time.Time) bool { return matches(p) })
	maps.DeleteFunc(s.backoffs, func(p pair, _ []*backoffPeriod) bool { return matches(p) })
}

// arrives checks a request at an endpoint against the endpoint's notices, and returns the
// violations.
func (s *endpointNotices) arrives(endpoint, id string, bound time.Duration, now time.Time) (bad []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pairOf(endpoint, id)
	if announced, ok := s.announcedAt[p]; ok && now.Sub(announced) > bound {
		bad = append(bad, fmt.Sprintf("%s reached %s %s after an answer announced that it leaves", id, endpoint, now.Sub(announced)))
	}
	for _, r := range s.backoffs[p] {
		if now.Sub(r.asked) <= backoffGrace || !now.Before(r.until) {
			continue
		}
		if r.requests++; r.requests > maxBackoffRequests {
			bad = append(bad, fmt.Sprintf("%s reached %s as request %d in a backoff of %s", id, endpoint, r.requests, r.until.Sub(r.asked)))
		}
	}
	return bad
}

// answer sets the headers of an endpoint's answer. It returns the status if the endpoint
// refuses or fails the request, otherwise 0.
func (s *endpointNotices) answer(endpoint, id string, h http.Header, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pairOf(endpoint, id)
	if s.leaving[endpoint] {
		h.Set("Leaving", "1")
		if _, ok := s.announcedAt[p]; !ok {
			s.announcedAt[p] = now
		}
	}
	d := s.backoffFor[endpoint]
	h.Set("Id", id)
	if s.fails[endpoint] {
		h.Set("Seal", "of "+endpoint)
		return http.StatusInternalServerError
	}
	if d == 0 {
		return 0
	}
	h.Set("Not-Run", "1")
	h.Set("Rest", d.String())
	s.backoffs[p] = append(s.backoffs[p], &backoffPeriod{asked: now, until: now.Add(d)})
	return http.StatusServiceUnavailable
}

// askAround sends requests to all instances in turn for a time, and returns how many succeeded.
func (w *testCluster) askAround(tag string, d time.Duration) (answered int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range int(d / (20 * time.Millisecond)) {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", i%len(w.instances))
		wait.Go(func() {
			if w.ask(name, "/safe/a", "k1", fmt.Sprint(name, "/", tag, i)) == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				answered++
			}
		})
	}
	wait.Wait()
	return answered
}

// seenBad returns the violations that endpoints saw so far.
func (w *testCluster) seenBad() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations
}

// Guards against sending requests to an endpoint whose answers announce that it leaves. While
// the store is down, the endpoint's entry there is outdated for some ten seconds; an instance
// that goes by the entries alone keeps sending.
func TestAnEndpointThatAnnouncesLeavingGetsNoNewRequests(t *testing.T) {
	for _, instances := range []int{3, largeFleet} {
		for _, down := range []bool{true, false} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				if down {
					for name := range w.instances {
						w.setFaults(storetest.Faults{Down: true}, name)
					}
				}
				w.statements.leaves(endpointID(0))
				answered := w.askAround("a", 8*time.Second)
				is.Equal(len(w.seenBad()), 0)
				if instances < largeFleet { // in a large fleet some instances see an answer late or never: each sends few requests
					is.True(w.lastRequestAt(endpointID(0)).Before(time.Now().Add(-4 * time.Second)))
				}
				is.True(answered >= 150) // the other two go on serving until API keys expire
			}, func(w *testCluster) { w.lenientRevoke = true })
		}
	}
}

// Guards against ignoring the backoff that an endpoint requests. Endpoints of a plain service
// fail some requests; one of them refuses requests and says for how long. An instance that
// counts this as a failure like the others' keeps sending: three requests of one instance in
// a backoff of 3 s.
func TestAnEndpointThatRequestedABackoffGetsNoRequests(t *testing.T) {
	for _, instances := range []int{3, largeFleet} {
		for _, failing := range []bool{true, false} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				w.statements.requestsBackoff(endpointID(0), 3*time.Second)
				for i := 1; failing && i < testEndpoints; i++ {
					w.statements.failsAll(endpointID(i))
				}
				answered := w.askAround("a", 6*time.Second)
				is.Equal(len(w.seenBad()), 0)
				is.True(failing || answered >= 280) // of 300: the other two take all
				w.statements.requestsBackoff(endpointID(0), 0)
				time.Sleep(3 * time.Second)
				backoffOverAt := time.Now()
				w.askAround("b", 12*time.Second)
				is.True(w.lastRequestAt(endpointID(0)).After(backoffOverAt)) // it gets requests again
			})
		}
	}
}

// All endpoints request a backoff: they get no requests, and clients are answered at once with
// the time after which to retry.
func TestAllEndpointsRequestABackoff(t *testing.T) {
	runCluster(t, 2, func(is *is.I, w *testCluster) {
		for i := range testEndpoints {
			w.statements.requestsBackoff(endpointID(i), 2*time.Second)
		}
		w.askAround("a", 4*time.Second)
		is.Equal(len(w.seenBad()), 0)
		for i := range testEndpoints {
			w.statements.requestsBackoff(endpointID(i), 0)
		}
		time.Sleep(2 * time.Second)
		is.True(w.askAround("b", time.Second) >= 48)
	})
}

// Endpoints announce that they leave before, after or without their entry in the store, request
// backoffs of any length, and accept requests again, while the store fails and instances are
// killed or restart. No endpoint gets requests that its notices exclude.
func TestRandomNotices(t *testing.T) {
	for seed := range uint64(4) {
		for _, instances := range []int{3, largeFleet} {
			runCluster(t, instances, func(is *is.I, w *testCluster) {
				time.Sleep(4 * time.Second)
				w.randomNotices(rand.New(rand.NewPCG(seed, 17)), instances)
				is.Equal(len(w.seenBad()), 0)
			}, func(w *testCluster) { w.lenientRevoke = true })
		}
	}
}

// randomNotices runs 30 s of random notices and faults.
func (w *testCluster) randomNotices(rnd *rand.Rand, instances int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 1500 {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", rnd.IntN(instances))
		path := []string{"/once/a", "/safe/a"}[rnd.IntN(2)]
		wait.Go(func() { w.ask(name, path, "k1", fmt.Sprint(name, "/r", i)) })
		endpoint := rnd.IntN(testEndpoints)
		switch x := rnd.Float64(); {
		case x < 0.01:
			w.statements.leaves(endpointID(endpoint))
		case x < 0.015:
			w.putEndpoint(endpoint, true)
		case x < 0.025:
			w.statements.startsAgain(endpointID(endpoint))
			w.putIncarnation(endpoint, time.Now(), false)
		case x < 0.05:
			w.statements.requestsBackoff(endpointID(endpoint), time.Duration(rnd.ExpFloat64()*float64(2*time.Second)))
		case x < 0.1:
			w.statements.requestsBackoff(endpointID(endpoint), 0)
		case x < 0.11:
			w.setFaults(storetest.Faults{Down: true}, name)
		case x < 0.12:
			w.setFaults(storetest.Faults{Refuse: true}, name)
		case x < 0.15:
			w.setFaults(storetest.Faults{}, name)
		case x < 0.152:
			w.kill(name)
			w.statements.reset(name)
			w.start(name)
		}
	}
}
