package front

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

const (
	restoresFor   = 40 * time.Second
	oldestBackup  = 10 * time.Second
	longestAway   = 3 * time.Second
	latestRewrite = 2 * time.Second // after a restore
	contact       = 3 * time.Second // an instance counts as in touch with the store so long after a disruption
)

// agedBackup is a backup with its time.
type agedBackup struct {
	storetest.Backup
	at time.Time
}

// serverState is what a server last wrote of itself.
type serverState struct {
	started       time.Time
	leaving, gone bool
}

// restores is one random history in which the store comes back from older copies, beside
// kills, instances that the store turns away, changes of the configuration and of servers.
type restores struct {
	w     *world
	nodes int
	story []string

	mu      sync.Mutex
	rnd     *rand.Rand           // guarded by mu
	backups []agedBackup         // guarded by mu
	version int64                // guarded by mu
	key     int                  // that holds, beside k0; guarded by mu
	taken   map[string]time.Time // when keys were taken away; guarded by mu
	servers map[int]serverState  // guarded by mu
	refused map[string]bool      // instances that the store turns away; guarded by mu
	back    map[string]time.Time // when instances could last not read the store; guarded by mu
	away    bool                 // the store is; guarded by mu
	rewrite int                  // counts restores: an earlier one's rewrite is void; guarded by mu
	wait    sync.WaitGroup
}

func (r *restores) note(format string, args ...any) {
	r.story = append(r.story, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// writeConfig writes the current version. r.mu is held.
func (r *restores) writeConfig() { r.w.configure(r.version, "k0", fmt.Sprint("t", r.key)) }

// writeServer writes what a server says of itself. r.mu is held.
func (r *restores) writeServer(i int) {
	s := r.servers[i]
	write := func() {
		if s.gone {
			r.w.store.Put("server/"+serverID(i), nil)
		} else {
			r.w.putIncarnation(i, s.started, s.leaving)
		}
	}
	if s.gone || s.leaving {
		r.w.takeOut(i, write)
	} else {
		write()
	}
}

// setFaults applies what instances meet at the store. r.mu is held.
func (r *restores) setFaults() {
	for _, name := range r.names() {
		if r.away || r.refused[name] {
			r.back[name] = time.Time{}
		} else if at, was := r.back[name]; was && at.IsZero() {
			r.back[name] = time.Now()
		}
		r.w.fault(storetest.Faults{Down: r.away, Silent: r.away, Busy: r.refused[name] && !r.away}, name)
	}
}

// excused reports whether the instance of a request may not know yet what servers wrote.
func (r *restores) excused(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _, _ := strings.Cut(request, "/")
	at, was := r.back[name]
	return was && (at.IsZero() || time.Since(at) < contact+r.w.drain())
}

func (r *restores) names() (names []string) {
	for i := range r.nodes {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// drill takes the store away and brings an older copy back.
func (r *restores) drill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away || len(r.backups) == 0 {
		return
	}
	b := r.backups[r.rnd.IntN(len(r.backups))]
	away, rewritten := time.Duration(r.rnd.Int64N(int64(longestAway))), time.Duration(r.rnd.Int64N(int64(latestRewrite)))
	leftOut := r.rnd.IntN(4) == 0 // an endpoint that is ready does not write again for long
	r.note("away for %s, a copy %s old, written again %s later", away, time.Since(b.at), rewritten)
	r.away = true
	r.setFaults()
	r.wait.Go(func() {
		time.Sleep(away)
		r.mu.Lock()
		r.w.store.Restore(b.Backup)
		r.backups, r.away = nil, false
		r.rewrite++
		mine := r.rewrite
		r.w.mu.Lock()
		clear(r.w.out) // who has read of it only now may not know
		r.w.mu.Unlock()
		r.setFaults()
		r.mu.Unlock()
		time.Sleep(rewritten)
		r.mu.Lock()
		defer r.mu.Unlock()
		if mine != r.rewrite || r.away {
			return
		}
		r.writeConfig()
		for i := range testServers {
			if s := r.servers[i]; s.gone || s.leaving || !leftOut {
				r.writeServer(i)
			}
		}
	})
}

// change changes the configuration, or a server.
func (r *restores) change() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		return // nobody is answered
	}
	if r.rnd.IntN(2) == 0 {
		r.taken[fmt.Sprint("t", r.key)] = time.Now()
		r.version += 1 + r.rnd.Int64N(3)
		r.key++
		r.writeConfig()
		r.note("version %d takes t%d away", r.version, r.key-1)
		return
	}
	i := r.rnd.IntN(testServers - 1) // the last one stays
	s := r.servers[i]
	if s.leaving || s.gone {
		s = serverState{started: time.Now()}
		r.w.mu.Lock()
		delete(r.w.out, serverID(i))
		r.w.mu.Unlock()
	} else {
		s.leaving, s.gone = true, r.rnd.IntN(2) == 0
	}
	r.servers[i] = s
	r.writeServer(i)
	r.note("server %d: leaving %v, gone %v", i, s.leaving, s.gone)
}

// strike kills instances, or makes the store turn some away for a while.
func (r *restores) strike() {
	r.mu.Lock()
	name := fmt.Sprint("n", r.rnd.IntN(r.nodes))
	kill, refused := r.rnd.IntN(2) == 0, time.Duration(500+r.rnd.IntN(4000))*time.Millisecond
	r.note("%s: killed %v, else turned away for %s", name, kill, refused)
	r.mu.Unlock()
	if kill {
		r.w.kill(name)
		r.w.start(name)
	}
	r.mu.Lock()
	r.refused[name] = !kill
	r.setFaults()
	r.mu.Unlock()
	r.wait.Go(func() {
		time.Sleep(refused)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refused[name] = false
		r.setFaults()
	})
}

// ask sends a request and checks what became of it.
func (r *restores) ask(i int) {
	r.mu.Lock()
	name := fmt.Sprint("n", r.rnd.IntN(r.nodes))
	path := []string{"/safe/a", "/once/a", "/new/a"}[r.rnd.IntN(3)]
	key := "k0"
	if r.rnd.IntN(2) == 0 {
		key = fmt.Sprint("t", r.rnd.IntN(r.key+1))
	}
	taken := r.taken[key]
	r.mu.Unlock()
	late := !taken.IsZero() && time.Since(taken) > r.w.settings("n0", 1).Bounds.Revoke()
	id := fmt.Sprint(name, path, i)
	r.wait.Go(func() {
		status := r.w.ask(name, path, key, id)
		runs := r.w.runsOf(id)
		switch {
		case late && runs > 0:
			r.w.t.Errorf("%s ran with %s, which was taken away %s before it was sent", id, key, time.Since(taken))
		case path == "/once/a" && runs > 1:
			r.w.t.Errorf("%s ran %d times", id, runs)
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && runs > 0:
			r.w.t.Errorf("%s was said not to have run, and ran", id)
		case status == http.StatusNotFound || status == http.StatusUnauthorized && key == "k0":
			r.w.t.Errorf("%s was denied with %d", id, status)
		}
	})
}

func (r *restores) play() {
	for i := range int(restoresFor / askEvery) {
		time.Sleep(askEvery)
		r.ask(i)
		r.mu.Lock()
		if i%10 == 0 && !r.away {
			r.backups = append(r.backups, agedBackup{r.w.store.Backup(), time.Now()})
			r.backups = slices.DeleteFunc(r.backups, func(b agedBackup) bool { return time.Since(b.at) > oldestBackup })
		}
		what := r.rnd.IntN(100)
		r.mu.Unlock()
		switch {
		case what < 1:
			r.drill()
		case what < 4:
			r.change()
		case what < 5:
			r.strike()
		}
	}
	r.wait.Wait()
}

func (r *restores) check() {
	w := r.w
	time.Sleep(15 * time.Second) // recover_s and the length of a lease
	for _, name := range r.names() {
		for _, key := range []string{"k0", fmt.Sprint("t", r.key)} {
			if status := w.ask(name, "/new/a", key, name+key+"/last"); status != http.StatusOK || !w.ready(name) {
				w.t.Errorf("%s answers %d to %s at the end, ready: %v", name, status, key, w.ready(name))
			}
		}
	}
	w.mu.Lock()
	bad := slices.Clone(w.bad)
	w.mu.Unlock()
	w.cloud.mu.Lock()
	bad = append(bad, w.cloud.faults...)
	w.cloud.mu.Unlock()
	for _, what := range bad {
		w.t.Error(what)
	}
}

func TestRandomRestoresOfTheStore(t *testing.T) {
	for seed := range seeds() {
		nodes := 4
		if seed%16 == 15 {
			nodes = large
		}
		play(t, nodes, func(_ *is.I, w *world) {
			r := &restores{
				w: w, nodes: nodes, rnd: rand.New(rand.NewPCG(uint64(seed), 49)), version: 2,
				taken: make(map[string]time.Time), servers: make(map[int]serverState), refused: make(map[string]bool), back: make(map[string]time.Time),
			}
			w.excused = r.excused
			r.writeConfig()
			for i := range testServers {
				r.servers[i] = serverState{started: time.Now()}
				r.writeServer(i)
			}
			time.Sleep(4 * time.Second)
			r.play()
			r.check()
			if t.Failed() {
				t.Fatalf("seed %d, %d instances: %q", seed, nodes, r.story)
			}
		})
	}
}
