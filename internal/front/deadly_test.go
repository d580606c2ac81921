package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	deadlyEnds  = 3 // servers that may end under one request
	deadlyAfter = 1 // times that it may reach one after that: news takes milliseconds, at ten a second
	crashAfter  = 30 * time.Millisecond
	startsAfter = 1500 * time.Millisecond
)

// deaths is what servers that end under a request saw. A path that names a deadly request
// holds "deadly"; requests of one path are one request.
type deaths struct {
	mu     sync.Mutex
	server map[int]*http.Server // by number; guarded by mu
	down   map[string]bool      // servers that have ended; guarded by mu
	ended  map[string]int       // servers that ended under a path; guarded by mu
	after  map[string]int       // times that a path reached a server after deadlyEnds had ended under it; guarded by mu
	runs   map[string]int       // at servers, by request id; guarded by mu
	all    int                  // runs at servers; guarded by mu
	failed map[string]bool      // requests that a server failed before it ran them; guarded by mu
	fixed  bool                 // no request is deadly any more; guarded by mu
	third  map[string]time.Time // when the last of deadlyEnds ended under a path; guarded by mu
	late   map[string]int       // times that a path reached a server later than newsTime after that; guarded by mu

	startsAfter time.Duration // how long a server that ended under a request is away
	failsEach   int           // of so many deadly requests at a server one is failed before it runs; 0 for none
}

func newDeaths() *deaths {
	return &deaths{server: make(map[int]*http.Server), down: make(map[string]bool), ended: make(map[string]int), after: make(map[string]int), runs: make(map[string]int), third: make(map[string]time.Time), late: make(map[string]int), failed: make(map[string]bool), startsAfter: startsAfter}
}

// started notes the process of a server.
func (d *deaths) started(i int, s *http.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.server[i] = s
	delete(d.down, serverID(i))
}

// arrives notes a request at a server, and reports whether the server is to end under it.
func (d *deaths) arrives(id, path string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
	d.all++
	if d.ended[path] >= deadlyEnds {
		d.after[path]++
		if time.Since(d.third[path]) > newsTime {
			d.late[path]++
		}
	}
	deadly := strings.Contains(path, "deadly") && !d.fixed
	d.failed[id] = deadly && d.failsEach > 0 && d.all%d.failsEach == 0
	return deadly && !d.failed[id]
}

// crash ends a server under a request. All its connections end with it. It starts again
// after a while, unless for is negative.
func (w *world) crash(i int, path string, again time.Duration) {
	d := w.deaths
	d.mu.Lock()
	s := d.server[i]
	if d.down[serverID(i)] {
		d.mu.Unlock()
		return
	}
	d.down[serverID(i)] = true
	if path != "" {
		d.ended[path]++
		if d.ended[path] == deadlyEnds {
			d.third[path] = time.Now()
		}
	}
	d.mu.Unlock()
	_ = s.Close()
	if again < 0 {
		return
	}
	w.restarts.Go(func() {
		time.Sleep(again)
		w.listenAs(i)
		w.putIncarnation(i, time.Now(), false)
	})
}

// counts returns what became of a path.
func (d *deaths) counts(path string) (ended, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended[path], d.after[path]
}

// tooLate returns how often a path reached a server later than newsTime after the last of
// deadlyEnds had ended under it.
func (d *deaths) tooLate(path string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.late[path]
}

// failsFirst reports whether a server failed a deadly request instead of running it, the
// last time that it arrived.
func (d *deaths) failsFirst(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.failed[id]
}

// arrived returns how many requests reached a server, and how often.
func (d *deaths) arrived() (requests, runs int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runs), d.all
}

// fix makes no request deadly any more, as a new version of the servers does.
func (d *deaths) fix() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fixed = true
}

// Callers saw answers break off by the dozen for as long as a few of them sent one request.
//
// Order of events: a request makes the endpoint that runs it end, with all that runs there;
// the instance tries it on another one, which ends too; its caller comes back under another
// id, to another instance. Cause: nothing knew that endpoints ended under the same request;
// an id says nothing, and no instance sees it alone. Evidence: what was sent, method, URI and
// body, was one and the same under 116 ids, at 125 endpoints, from all 7 instances.
func TestARequestThatCrashesItsServersIsStopped(t *testing.T) {
	for _, nodes := range []int{4, large} {
		for _, kind := range []string{"once", "safe"} {
			play(t, nodes, func(is *is.I, w *world) {
				time.Sleep(4 * time.Second)
				path := "/" + kind + "/deadly"
				w.askDeadly(path, "d", 10*time.Second, namesOf(w)...)
				ended, after := w.deaths.counts(path)
				t.Logf("%s at %d instances: %d ended, %d sent after", kind, nodes, ended, after)
				is.True(ended >= deadlyEnds) // it was deadly
				is.True(after <= deadlyAfter)
				is.True(ended <= deadlyEnds+deadlyAfter)
			}, manyServers)
		}
	}
}

// manyServers gives a world more servers, which tell when they started.
func manyServers(w *world) { w.servers = 12 }

// Servers end all the time, by themselves: what runs there each time is no cause of it, and
// requests that many callers send are served on.
func TestRequestsBesideCrashesAreServed(t *testing.T) {
	for _, nodes := range []int{4, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			w.work(200 * time.Millisecond) // so that each of them runs on some server that ends
			rnd := rand.New(rand.NewPCG(1, 23))
			var wait sync.WaitGroup
			var mu sync.Mutex
			refused, answered := 0, 0
			for i := range 1000 {
				time.Sleep(20 * time.Millisecond)
				if i%25 == 0 { // two servers of twelve a second
					w.crash(rnd.IntN(w.servers), "", startsAfter)
				}
				name := fmt.Sprint("n", i%nodes)
				path := fmt.Sprint("/safe/hot", i%3)
				wait.Go(func() {
					status := w.ask(name, path, "k1", fmt.Sprint(name, "/h", i))
					mu.Lock()
					defer mu.Unlock()
					switch status {
					case http.StatusOK:
						answered++
					case http.StatusServiceUnavailable:
						refused++
					}
				})
			}
			wait.Wait()
			t.Logf("%d instances: %d answered, %d refused", nodes, answered, refused)
			is.True(answered >= 950)
			is.True(refused <= 10)
		}, manyServers)
	}
}

// askDeadly asks for a path ten times a second for a while.
func (w *world) askDeadly(path, tag string, d time.Duration, names ...string) (statuses map[int]int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses = make(map[int]int)
	for i := range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		name := names[i%len(names)]
		wait.Go(func() {
			status := w.ask(name, path, "k1", fmt.Sprint(name, "/", tag, i))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wait.Wait()
	return statuses
}

// An instance that starts learns at once which requests are quarantined, also where all that
// saw the ends of servers restart one after the other.
func TestAQuarantineIsKnownToInstancesThatStart(t *testing.T) {
	for _, nodes := range []int{4, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			names := namesOf(w)
			w.askDeadly("/safe/deadly", "a", 4*time.Second, names...)
			ended, _ := w.deaths.counts("/safe/deadly")
			is.Equal(ended, deadlyEnds)
			for _, name := range names[:4] {
				w.restart(name)
				time.Sleep(3 * time.Second)
			}
			w.askDeadly("/safe/deadly", "b", 4*time.Second, names[:4]...)
			ended, after := w.deaths.counts("/safe/deadly")
			is.Equal(ended, deadlyEnds)
			is.Equal(after, 0)
		}, manyServers)
	}
}

// Instances are killed while servers end under a request: what the others saw counts on. An
// instance that saw an end and told nobody takes it with it, one more for each.
func TestAQuarantineOutlivesInstances(t *testing.T) {
	for _, nodes := range []int{4, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			names := namesOf(w)
			var wait sync.WaitGroup
			wait.Go(func() {
				for _, name := range names[:2] {
					time.Sleep(150 * time.Millisecond)
					w.kill(name)
				}
			})
			w.askDeadly("/safe/deadly", "a", 6*time.Second, names[2:]...)
			wait.Wait()
			ended, after := w.deaths.counts("/safe/deadly")
			is.True(ended <= deadlyEnds+2)
			is.True(after <= 2)
		}, manyServers)
	}
}

// Instances are cut off from each other in two halves, and both reach the servers: each half
// counts for itself. Once they learn of each other again, nothing more is sent by either.
func TestAQuarantineWhileInstancesAreCutOff(t *testing.T) {
	play(t, 4, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		left, right := []string{"n0", "n1"}, []string{"n2", "n3"}
		w.cut(left, right, true)
		w.askDeadly("/safe/deadly", "a", 4*time.Second, "n0", "n2", "n1", "n3")
		ended, _ := w.deaths.counts("/safe/deadly")
		is.True(ended > deadlyEnds)
		is.True(ended <= 2*deadlyEnds)
		w.askDeadly("/safe/other-deadly", "b", 2*time.Second, left...) // known to one half
		w.cut(left, right, false)
		time.Sleep(3 * time.Second)
		w.askDeadly("/safe/deadly", "c", 2*time.Second, "n0", "n2", "n1", "n3")
		w.askDeadly("/safe/other-deadly", "d", 2*time.Second, right...)
		again, _ := w.deaths.counts("/safe/deadly")
		is.Equal(again, ended)
		other, after := w.deaths.counts("/safe/other-deadly")
		is.Equal(other, deadlyEnds)
		is.Equal(after, 0)
	}, manyServers)
}

// cut cuts instances off from others, or heals that.
func (w *world) cut(left, right []string, cut bool) {
	for _, a := range left {
		for _, b := range right {
			w.mem.Cut(w.nodes[a].site, w.nodes[b].site, cut)
		}
	}
}

// Operators see what is quarantined at any instance, and lift it at any other.
func TestOperatorsLiftAQuarantine(t *testing.T) {
	for _, nodes := range []int{4, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			names := namesOf(w)
			w.askDeadly("/safe/deadly", "a", 4*time.Second, names...)
			time.Sleep(time.Second)
			var all []SuspectStatus
			is.NoErr(json.Unmarshal(w.operate(http.MethodGet, names[0], QuarantinePath), &all))
			is.Equal(len(all), 1)
			is.Equal(len(all[0].Ends), deadlyEnds)
			is.True(all[0].Until != nil)
			w.deaths.fix()
			w.operate(http.MethodDelete, names[1], QuarantinePath+"/"+all[0].Fingerprint[:8])
			time.Sleep(100 * time.Millisecond)
			statuses := w.askDeadly("/safe/deadly", "b", 2*time.Second, names...)
			is.Equal(statuses[http.StatusOK], 20)
		}, manyServers)
	}
}

// operate makes an operator's call and returns the answer.
func (w *world) operate(method, name, path string) []byte {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+w.settings(name, hostOf(name)).Metrics.String()+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := w.client.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
		w.t.Fatalf("%s %s: %s, %s, %v", method, path, resp.Status, body, err)
	}
	return body
}

// A quarantine ends: one run decides, at one place. Where servers still end under the
// request, it is quarantined again at once; where it comes through, all take it again.
func TestAQuarantineEnds(t *testing.T) {
	for _, nodes := range []int{4, large} {
		play(t, nodes, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			names := namesOf(w)
			w.askDeadly("/safe/deadly", "a", 4*time.Second, names...)
			time.Sleep(w.nodes["n0"].node.Settings.Quarantine())
			w.askDeadly("/safe/deadly", "b", 4*time.Second, names...)
			ended, _ := w.deaths.counts("/safe/deadly")
			is.Equal(ended, deadlyEnds+1)
			w.deaths.fix()
			time.Sleep(2 * w.nodes["n0"].node.Settings.Quarantine())
			statuses := w.askDeadly("/safe/deadly", "c", 4*time.Second, names...)
			is.True(statuses[http.StatusOK] >= 35) // of 40
		}, manyServers)
	}
}

// A client account is at its limit while servers end under many of its requests, each of
// which goes on elsewhere. Requests are counted at the servers, each once: they stay within the
// limit. Second runs are the instances' own doing, and bound by the budget of second tries.
func TestALimitHoldsWhileServersEndUnderRequests(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	const instances = 4
	play(t, instances, func(_ *is.I, w *world) {
		time.Sleep(4 * time.Second)
		var wait sync.WaitGroup
		var ids []int // requests that reached a server, at the end of each second
		for second := range 20 {
			for i := range 5 * rate {
				time.Sleep(time.Second / (5 * rate))
				path := fmt.Sprint("/safe/a", i)
				if i%20 == 0 {
					path = fmt.Sprint("/safe/deadly", second, "-", i)
				}
				name := fmt.Sprint("n", i%instances)
				wait.Go(func() { w.ask(name, path, "k1", fmt.Sprint(name, "/", second, "-", i)) })
			}
			distinct, _ := w.deaths.arrived()
			ids = append(ids, distinct)
			if second < window {
				continue
			}
			if in := ids[second] - ids[second-window]; float64(in) > (rate*window+burst)*(1+over) {
				t.Errorf("%d requests ran in the window that ended with second %d", in, second)
			}
		}
		wait.Wait()
		distinct, all := w.deaths.arrived()
		t.Logf("%d requests, %d second runs", distinct, all-distinct)
		if all == distinct {
			t.Error("no request went on elsewhere")
		}
	}, limited(rate, burst, over), manyServers)
}

// survives reads a request's body, and ends the server if the request is a deadly one. It
// reports whether the server goes on.
func (w *world) survives(i int, r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	path := r.URL.Path
	if !w.deaths.arrives(r.Header.Get("Id"), path) {
		return true
	}
	time.Sleep(crashAfter)
	w.crash(i, path, w.deaths.startsAfter)
	return false
}
