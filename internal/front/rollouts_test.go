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
	rollbackBound = 5 * time.Second // from the 50th bad answer to the last request
	oldServers    = 12
	newServers    = 12
	operators     = "operators" // as the store knows them
)

// conduct is how a version serves.
type conduct struct {
	fails float64       // share of requests
	slow  float64       // times as long as usual
	path  string        // the only one that it is bad on; "" for all
	after time.Duration // of its first request, from when on it is bad
	load  int           // requests at once at an endpoint from which on it is bad
}

// rolls is the endpoints' side of roll-outs. Its methods do nothing on nil.
type rolls struct {
	mu      sync.Mutex
	random  *rand.Rand           // guarded by mu
	ofV2    conduct              // guarded by mu
	first   time.Time            // first request at v2; guarded by mu
	open    map[string]int       // requests by server; guarded by mu
	arrived map[string]int       // requests by version, since the order; guarded by mu
	lastAt  map[string]time.Time // last request by version; guarded by mu
	bad     int                  // bad answers of v2; guarded by mu
	fiftyAt time.Time            // of the 50th of them; guarded by mu
}

// withRollouts gives a world roll-outs.
func withRollouts(w *world) {
	w.store.SetFaults(operators, storetest.Faults{}) // they meet none
	w.rolls = &rolls{
		random: rand.New(rand.NewPCG(1, 2)), open: make(map[string]int),
		arrived: make(map[string]int), lastAt: make(map[string]time.Time),
	}
}

func (r *rolls) share() float64 {
	if r == nil {
		return 0
	}
	return exposeShare
}

func (r *rolls) version(i int) string {
	switch {
	case r == nil:
		return ""
	case i < oldServers:
		return "v1"
	}
	return "v2"
}

func indexOf(server string) int {
	i, _ := strconv.Atoi(strings.TrimPrefix(server, "s"))
	return i
}

// serve counts a request, and returns how long it takes and whether it fails.
func (r *rolls) serve(server, path string, hold time.Duration) (time.Duration, bool) {
	if r == nil {
		return hold, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	version, now := r.version(indexOf(server)), time.Now()
	r.arrived[version]++
	r.lastAt[version] = now
	r.open[server]++
	if version == "v1" {
		return hold, false
	}
	if r.first.IsZero() {
		r.first = now
	}
	c := r.ofV2
	if c.path != "" && !strings.HasPrefix(path, c.path) || now.Sub(r.first) < c.after || r.open[server] <= c.load {
		return hold, false
	}
	fails := r.random.Float64() < c.fails
	if fails || c.slow > 1 {
		r.bad++
		if r.bad == 50 {
			r.fiftyAt = now
		}
	}
	return time.Duration(max(1, c.slow) * float64(hold)), fails
}

func (r *rolls) served(server string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[server]--
}

// order orders a roll-out and starts the endpoints of its version.
func (w *world) order(target string, window time.Duration) {
	w.rolls.mu.Lock()
	clear(w.rolls.arrived)
	w.rolls.mu.Unlock()
	value, err := json.Marshal(rollout.Order{Target: target, Window: window})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/rollout/svc", value)
}

func (w *world) startVersions(from, to int) {
	for i := from; i < to; i++ {
		w.startServer(i)
	}
}

// status returns what the operators are told.
func (w *world) status() string {
	item, _, err := w.store.Client(operators).Get(w.t.Context(), "status/rollout/svc")
	if err != nil {
		return ""
	}
	return string(item.Value)
}

// load sends requests to all nodes at even times until the returned function is called,
// which returns how many were answered well and how many were not.
func (w *world) load(rate int) (stop func() (well, ill int)) {
	ended, done := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	well, ill := 0, 0
	names := namesOf(w)
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
					well++
				} else {
					ill++
				}
			})
		}
	}()
	return func() (int, int) {
		close(ended)
		<-done
		mu.Lock()
		defer mu.Unlock()
		return well, ill
	}
}

// rolled is what came of a roll-out.
type rolled struct {
	status      string
	after       time.Duration // from the order until the status was final
	v1, v2      int           // requests from the order until its deadline, or until v1 was stopped
	lastV2      time.Duration // from the 50th bad answer to the last request at v2
	openAtEnd   int           // requests at v1 when the status became completed
	well, ill   int
	v2AfterBack int
}

// rollOut plays a roll-out with a window of 12 s.
func (w *world) rollOut(c conduct, rate int, meanwhile func()) rolled {
	w.rolls.mu.Lock()
	w.rolls.ofV2 = c
	w.rolls.mu.Unlock()
	w.startVersions(testServers, oldServers)
	time.Sleep(time.Second)
	stop := w.load(rate)
	time.Sleep(4 * time.Second)
	begin := time.Now()
	w.order("v2", 12*time.Second)
	time.Sleep(time.Second)
	w.startVersions(oldServers, oldServers+newServers)
	if meanwhile != nil {
		go meanwhile()
	}
	var out rolled
	for time.Since(begin) < 25*time.Second {
		time.Sleep(20 * time.Millisecond)
		if s := w.status(); s == string(rollout.Completed) || s == string(rollout.RolledBack) {
			out.status, out.after = s, time.Since(begin)
			break
		}
	}
	w.rolls.mu.Lock()
	for i := range oldServers {
		out.openAtEnd += w.rolls.open[serverID(i)]
	}
	w.rolls.mu.Unlock()
	if out.status == string(rollout.Completed) {
		for i := range oldServers {
			w.stopServer(i)
		}
	}
	time.Sleep(max(0, 12*time.Second-time.Since(begin)))
	w.rolls.mu.Lock()
	out.v1, out.v2 = w.rolls.arrived["v1"], w.rolls.arrived["v2"]
	w.rolls.mu.Unlock()
	time.Sleep(4 * time.Second)
	out.well, out.ill = stop()
	w.rolls.mu.Lock()
	defer w.rolls.mu.Unlock()
	if !w.rolls.fiftyAt.IsZero() {
		out.lastV2 = w.rolls.lastAt["v2"].Sub(w.rolls.fiftyAt)
	}
	out.v2AfterBack = w.rolls.arrived["v2"] - out.v2
	return out
}

// stopServer ends a server at once, as one whose version is not wanted any more.
func (w *world) stopServer(i int) {
	w.store.Put("server/"+serverID(i), nil)
	w.mem.Kill(serverID(i))
}

// keepsBounds checks what holds for each roll-out of a bad version.
func (o rolled) keepsBounds(is *is.I, t *testing.T) {
	t.Helper()
	t.Logf("%+v", o)
	is.True(float64(o.v2) <= exposeShare*float64(o.v1+o.v2)+exposeSlack)
	is.True(o.lastV2 <= rollbackBound)
	is.Equal(o.v2AfterBack, 0)
}

// fleetsOf returns the sizes of the fleets that the i-th case is played on: a small one
// or a large one by turns, and both with SHELFCRANK_PLAYS=all. With the race detector all
// of them take five minutes and more.
func fleetsOf(i int) []int {
	both := []int{8, large}
	if os.Getenv("SHELFCRANK_PLAYS") == "all" {
		return both
	}
	return both[i%2 : i%2+1]
}

// While a version is on trial, and while requests shift to it, the endpoints of both keep
// their connections and what is known of them, whichever gets the next request.
func TestEndpointsOfBothVersionsAreInUse(t *testing.T) {
	play(t, 3, func(is *is.I, w *world) {
		looks := make(chan int, 1)
		meanwhile := func() {
			time.Sleep(2 * time.Second) // all know of the endpoints that have just come up
			looked := 0
			defer func() { looks <- looked }()
			for range 30 {
				time.Sleep(250 * time.Millisecond)
				n := w.nodes["n0"].node
				phase := n.view.Load().Rollouts["svc"].Phase
				if phase != rollout.Trial && phase != rollout.Shift {
					continue
				}
				looked++
				if in := len(n.endpointsInUse()); in != oldServers+newServers {
					t.Errorf("%d of %d servers in use in the phase %s", in, oldServers+newServers, phase)
				}
			}
		}
		is.Equal(w.rollOut(conduct{}, 200, meanwhile).status, string(rollout.Completed))
		is.True(<-looks > 10)
	}, withRollouts)
}

func TestAGoodVersionIsCompletedInTime(t *testing.T) {
	for _, nodes := range []int{3, 8, large} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			play(t, nodes, func(is *is.I, w *world) {
				o := w.rollOut(conduct{}, 200, nil)
				w.t.Logf("%+v", o)
				is.Equal(o.status, string(rollout.Completed))
				is.True(o.after < 12*time.Second)
				is.Equal(o.openAtEnd, 0)
				is.Equal(o.ill, 0)
			}, withRollouts)
		})
	}
}

func TestABadVersionIsRolledBack(t *testing.T) {
	kinds := map[string]conduct{
		"fails":        {fails: 0.3},
		"fails all":    {fails: 1},
		"slow":         {slow: 5},
		"fails later":  {fails: 0.4, after: 3 * time.Second},
		"on one route": {fails: 0.5, path: "/once/"},
		"slow on one":  {slow: 5, path: "/safe/"},
	}
	for i, name := range slices.Sorted(maps.Keys(kinds)) {
		for _, nodes := range fleetsOf(i) {
			c := kinds[name]
			t.Run(fmt.Sprint(name, " ", nodes), func(t *testing.T) {
				play(t, nodes, func(is *is.I, w *world) {
					o := w.rollOut(c, 200, nil)
					o.keepsBounds(is, w.t)
					is.Equal(o.status, string(rollout.RolledBack))
				}, withRollouts)
			})
		}
	}
}

// A holder that is killed, all that are, a store that is down, and a node that the
// others do not reach, in the middle of a roll-out.
func TestRolloutsUnderFaults(t *testing.T) {
	faults := map[string]func(w *world){
		"holder killed": func(w *world) {
			time.Sleep(2500 * time.Millisecond)
			w.killAndStart(w.holder())
		},
		"holder killed in the shift": func(w *world) {
			for w.recordPhase() == rollout.Trial {
				time.Sleep(50 * time.Millisecond)
			}
			w.killAndStart(w.holder())
		},
		"all killed": func(w *world) {
			time.Sleep(3 * time.Second)
			w.killAndStart(namesOf(w)...)
		},
		"store down": func(w *world) {
			time.Sleep(2 * time.Second)
			w.store.SetFaults("", storetest.Faults{Down: true})
			time.Sleep(3 * time.Second)
			w.store.SetFaults("", storetest.Faults{})
		},
		"store loses answers": func(w *world) {
			for range 40 {
				w.store.SetFaults("", storetest.Faults{LoseNext: 1})
				time.Sleep(250 * time.Millisecond)
			}
		},
		"history forgotten": func(w *world) {
			for range 8 {
				time.Sleep(time.Second)
				w.store.Compact()
			}
		},
		"a node cut off": func(w *world) {
			time.Sleep(2 * time.Second)
			w.cutOff("n1", true)
			time.Sleep(5 * time.Second)
			w.cutOff("n1", false)
		},
	}
	for i, name := range slices.Sorted(maps.Keys(faults)) {
		fault := faults[name]
		for _, nodes := range fleetsOf(i) {
			t.Run(fmt.Sprint(name, ", bad, ", nodes), func(t *testing.T) {
				play(t, nodes, func(is *is.I, w *world) {
					o := w.rollOut(conduct{fails: 0.3}, 200, func() { fault(w) })
					o.keepsBounds(is, w.t)
					is.Equal(o.status, string(rollout.RolledBack))
				}, withRollouts)
			})
		}
		t.Run(name+", good", func(t *testing.T) {
			play(t, large, func(is *is.I, w *world) {
				o := w.rollOut(conduct{}, 200, func() { fault(w) })
				w.t.Logf("%+v", o)
				is.Equal(o.status, string(rollout.Completed))
				is.Equal(o.openAtEnd, 0)
			}, withRollouts)
		})
	}
}

// holder returns the node that acts for all.
func (w *world) holder() string {
	for name, r := range w.nodes {
		if _, _, ok := r.node.elector.Token(time.Now()); ok {
			return name
		}
	}
	return "n0"
}

func (w *world) killAndStart(names ...string) {
	w.kill(names...)
	time.Sleep(500 * time.Millisecond)
	for _, name := range names {
		w.start(name)
	}
}

// recordPhase returns how far the roll-out is, as its record says.
func (w *world) recordPhase() rollout.Phase {
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

// cutOff cuts a node off from all others, or ends that. It reaches the store.
func (w *world) cutOff(name string, cut bool) {
	for other, r := range w.nodes {
		if other != name {
			w.mem.Cut(w.nodes[name].site, r.site, cut)
		}
	}
}
