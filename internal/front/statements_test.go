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

// pair is an instance and a server.
type pair struct{ instance, server string }

// rest is a time during which a server wants nothing from an instance.
type rest struct {
	asked, until time.Time
	got          int // requests that came after restNotice
}

const (
	restNotice = 500 * time.Millisecond // an instance that was asked for rest may send so long
	restMost   = 2                      // requests that may still come during a rest
)

// said is what servers say of themselves in their answers, and what reaches them although
// they said so. The id of a request begins with the instance that it is sent to.
type statements struct {
	mu          sync.Mutex
	leaving     map[string]bool          // servers that say they leave; guarded by mu
	asks        map[string]time.Duration // rest that servers turn work away for; guarded by mu
	fails       map[string]bool          // servers that run requests and fail them; guarded by mu
	announcedAt map[pair]time.Time       // when an instance was first told that a server leaves; guarded by mu
	rests       map[pair][]*rest         // guarded by mu
}

func newStatements() *statements {
	return &statements{leaving: make(map[string]bool), asks: make(map[string]time.Duration), fails: make(map[string]bool), announcedAt: make(map[pair]time.Time), rests: make(map[pair][]*rest)}
}

func pairOf(server, id string) pair {
	instance, _, _ := strings.Cut(id, "/")
	return pair{instance, server}
}

// leaves makes a server say that it leaves.
func (s *statements) leaves(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[server] = true
}

// startsAgain makes a server start again: it says nothing of what it said before.
func (s *statements) startsAgain(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[server] = false
	forget := func(p pair) bool { return p.server == server }
	maps.DeleteFunc(s.announcedAt, func(p pair, _ time.Time) bool { return forget(p) })
	maps.DeleteFunc(s.rests, func(p pair, _ []*rest) bool { return forget(p) })
}

// asksRest makes a server turn work away and ask for rest, or take work where that is 0.
func (s *statements) asksRest(server string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asks[server] = d
}

// failsAll makes a server fail what it runs.
func (s *statements) failsAll(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails[server] = true
}

// reset drops what an instance was told: it restarts.
func (s *statements) reset(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	forget := func(p pair) bool { return p.instance == instance }
	maps.DeleteFunc(s.announcedAt, func(p pair, _ time.Time) bool { return forget(p) })
	maps.DeleteFunc(s.rests, func(p pair, _ []*rest) bool { return forget(p) })
}

// arrives takes note of a request at a server, and returns what is wrong with it.
func (s *statements) arrives(server, id string, bound time.Duration, now time.Time) (bad []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pairOf(server, id)
	if told, ok := s.announcedAt[p]; ok && now.Sub(told) > bound {
		bad = append(bad, fmt.Sprintf("%s reached %s %s after an answer had told that it leaves", id, server, now.Sub(told)))
	}
	for _, r := range s.rests[p] {
		if now.Sub(r.asked) <= restNotice || !now.Before(r.until) {
			continue
		}
		if r.got++; r.got > restMost {
			bad = append(bad, fmt.Sprintf("%s reached %s as the %d. in a rest of %s", id, server, r.got, r.until.Sub(r.asked)))
		}
	}
	return bad
}

// answer sets the headers of a server's answer. It returns the status of a request that
// the server turns away or fails, or 0.
func (s *statements) answer(server, id string, h http.Header, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := pairOf(server, id)
	if s.leaving[server] {
		h.Set("Leaving", "1")
		if _, ok := s.announcedAt[p]; !ok {
			s.announcedAt[p] = now
		}
	}
	d := s.asks[server]
	h.Set("Id", id)
	if s.fails[server] {
		h.Set("Seal", "of "+server)
		return http.StatusInternalServerError
	}
	if d == 0 {
		return 0
	}
	h.Set("Not-Run", "1")
	h.Set("Rest", d.String())
	s.rests[p] = append(s.rests[p], &rest{asked: now, until: now.Add(d)})
	return http.StatusServiceUnavailable
}

// askAround asks all instances in turn for a while, and returns how many were answered.
func (w *world) askAround(tag string, d time.Duration) (answered int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range int(d / (20 * time.Millisecond)) {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", i%len(w.nodes))
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

func (w *world) seenBad() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bad
}

// Callers saw requests go to an endpoint that had said that it leaves.
//
// Order of events: the endpoint says in its answers that it leaves; the store answers
// nobody, so that its entry says for some ten seconds more that it takes work; instances
// pass such answers on, and send to the endpoint as before. Cause: an instance went by the
// entries of the store alone. Evidence: its lines list the endpoint as one that takes work
// while "server said that it leaves" has listed true.
func TestAServerThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	for _, nodes := range []int{3, large} {
		for _, down := range []bool{true, false} {
			play(t, nodes, func(is *is.I, w *world) {
				time.Sleep(4 * time.Second)
				if down {
					for name := range w.nodes {
						w.fault(storetest.Faults{Down: true}, name)
					}
				}
				w.statements.leaves(serverID(0))
				answered := w.askAround("a", 8*time.Second)
				is.Equal(len(w.seenBad()), 0)
				if nodes < large { // of a large fleet some are told late, or never: a third of few requests
					is.True(w.lastAt(serverID(0)).Before(time.Now().Add(-4 * time.Second)))
				}
				is.True(answered >= 150) // the other two serve on, until keys are not honoured any more
			}, func(w *world) { w.lenient = true })
		}
	}
}

// Callers saw an endpoint that had asked an instance for rest get request after request
// from it.
//
// Order of events: endpoints of a plain service fail part of their requests; one of them
// turns work away and says for how long it wants none; the instance counts a failure like
// the others', and sends on. Cause: nothing read the time that was asked for. Evidence:
// three requests of one instance in a rest of 3 s, the others' failures between them.
func TestAServerThatAskedForRestGetsNone(t *testing.T) {
	for _, nodes := range []int{3, large} {
		for _, failing := range []bool{true, false} {
			play(t, nodes, func(is *is.I, w *world) {
				w.statements.asksRest(serverID(0), 3*time.Second)
				for i := 1; failing && i < testServers; i++ {
					w.statements.failsAll(serverID(i))
				}
				answered := w.askAround("a", 6*time.Second)
				is.Equal(len(w.seenBad()), 0)
				is.True(failing || answered >= 280) // of 300: the other two take all
				w.statements.asksRest(serverID(0), 0)
				time.Sleep(3 * time.Second)
				well := time.Now()
				w.askAround("b", 12*time.Second)
				is.True(w.lastAt(serverID(0)).After(well)) // it is used again
			})
		}
	}
}

// All endpoints ask for rest: they get it, and callers are told at once, by an answer that
// says when to come back.
func TestAllServersAskForRest(t *testing.T) {
	play(t, 2, func(is *is.I, w *world) {
		for i := range testServers {
			w.statements.asksRest(serverID(i), 2*time.Second)
		}
		w.askAround("a", 4*time.Second)
		is.Equal(len(w.seenBad()), 0)
		for i := range testServers {
			w.statements.asksRest(serverID(i), 0)
		}
		time.Sleep(2 * time.Second)
		is.True(w.askAround("b", time.Second) >= 48)
	})
}

// Servers say that they leave before, after and without the store's word, ask for rests of
// any length, and take work again, while the store goes away and instances are killed or
// restart. No server gets work that it said it does not want.
func TestRandomDaysOfNotices(t *testing.T) {
	for seed := range uint64(4) {
		for _, nodes := range []int{3, large} {
			play(t, nodes, func(is *is.I, w *world) {
				time.Sleep(4 * time.Second)
				w.randomNotices(rand.New(rand.NewPCG(seed, 17)), nodes)
				is.Equal(len(w.seenBad()), 0)
			}, func(w *world) { w.lenient = true })
		}
	}
}

// randomNotices plays 30 s of notices and faults.
func (w *world) randomNotices(rnd *rand.Rand, nodes int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 1500 {
		time.Sleep(20 * time.Millisecond)
		name := fmt.Sprint("n", rnd.IntN(nodes))
		path := []string{"/once/a", "/safe/a"}[rnd.IntN(2)]
		wait.Go(func() { w.ask(name, path, "k1", fmt.Sprint(name, "/r", i)) })
		server := rnd.IntN(testServers)
		switch x := rnd.Float64(); {
		case x < 0.01:
			w.statements.leaves(serverID(server))
		case x < 0.015:
			w.putServer(server, true)
		case x < 0.025:
			w.statements.startsAgain(serverID(server))
			w.putIncarnation(server, time.Now(), false)
		case x < 0.05:
			w.statements.asksRest(serverID(server), time.Duration(rnd.ExpFloat64()*float64(2*time.Second)))
		case x < 0.1:
			w.statements.asksRest(serverID(server), 0)
		case x < 0.11:
			w.fault(storetest.Faults{Down: true}, name)
		case x < 0.12:
			w.fault(storetest.Faults{Busy: true}, name)
		case x < 0.15:
			w.fault(storetest.Faults{}, name)
		case x < 0.152:
			w.kill(name)
			w.statements.reset(name)
			w.start(name)
		}
	}
}
