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
	restoreRunLength = 40 * time.Second
	maxBackupAge     = 10 * time.Second
	maxStoreDown     = 3 * time.Second
	maxRewriteDelay  = 2 * time.Second // after a restore
	resyncTime       = 3 * time.Second // after a disruption, until an instance is expected to be in sync with the store
)

// timedBackup is a backup and the time it was taken.
type timedBackup struct {
	storetest.Backup
	at time.Time
}

// endpointState is what an endpoint last wrote to its entry.
type endpointState struct {
	started       time.Time
	leaving, gone bool
}

// restoreRun is one random run in which the store is restored from older backups, combined with
// kills, instances that the store refuses, and changes of the configuration and of endpoints.
type restoreRun struct {
	w         *testCluster
	instances int
	events    []string

	mu           sync.Mutex
	rnd          *rand.Rand            // guarded by mu
	backups      []timedBackup         // guarded by mu
	version      int64                 // guarded by mu
	validKey     int                   // number of the valid key besides k0; guarded by mu
	revoked      map[string]time.Time  // when keys were revoked; guarded by mu
	endpoints    map[int]endpointState // guarded by mu
	refused      map[string]bool       // instances that the store refuses; guarded by mu
	regained     map[string]time.Time  // when instances regained access to the store, zero while they have none; guarded by mu
	storeDown    bool                  // the store is down; guarded by mu
	restoreCount int                   // counts restores, so that the rewrite of an earlier one is skipped; guarded by mu
	wait         sync.WaitGroup
}

func (r *restoreRun) logf(format string, args ...any) {
	r.events = append(r.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// writeConfig writes the current version. r.mu is held.
func (r *restoreRun) writeConfig() { r.w.configure(r.version, "k0", fmt.Sprint("t", r.validKey)) }

// writeEndpoint writes the entry of an endpoint. r.mu is held.
func (r *restoreRun) writeEndpoint(i int) {
	s := r.endpoints[i]
	write := func() {
		if s.gone {
			r.w.store.Put("server/"+endpointID(i), nil)
		} else {
			r.w.putIncarnation(i, s.started, s.leaving)
		}
	}
	if s.gone || s.leaving {
		r.w.withdraw(i, write)
	} else {
		write()
	}
}

// setFaults applies the current faults of the store to all instances. r.mu is held.
func (r *restoreRun) setFaults() {
	for _, name := range r.names() {
		if r.storeDown || r.refused[name] {
			r.regained[name] = time.Time{}
		} else if at, was := r.regained[name]; was && at.IsZero() {
			r.regained[name] = time.Now()
		}
		r.w.setFaults(storetest.Faults{Down: r.storeDown, WatchSilent: r.storeDown, Refuse: r.refused[name] && !r.storeDown}, name)
	}
}

// excused reports whether the instance that got a request may not have read the endpoints' entries
// yet.
func (r *restoreRun) excused(request string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _, _ := strings.Cut(request, "/")
	at, was := r.regained[name]
	return was && (at.IsZero() || time.Since(at) < resyncTime+r.w.drain())
}

func (r *restoreRun) names() (names []string) {
	for i := range r.instances {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// restoreOnce makes the store unavailable and then restores a backup.
func (r *restoreRun) restoreOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeDown || len(r.backups) == 0 {
		return
	}
	b := r.backups[r.rnd.IntN(len(r.backups))]
	outage, rewriteDelay := time.Duration(r.rnd.Int64N(int64(maxStoreDown))), time.Duration(r.rnd.Int64N(int64(maxRewriteDelay)))
	skipReady := r.rnd.IntN(4) == 0 // endpoints that are ready do not rewrite their entries
	r.logf("store down for %s, backup %s old, entries rewritten %s later", outage, time.Since(b.at), rewriteDelay)
	r.storeDown = true
	r.setFaults()
	r.wait.Go(func() {
		time.Sleep(outage)
		r.mu.Lock()
		r.w.store.Restore(b.Backup)
		r.backups, r.storeDown = nil, false
		r.restoreCount++
		ownCount := r.restoreCount
		r.w.mu.Lock()
		clear(r.w.withdrawn) // instances may have lost track of earlier withdrawals
		r.w.mu.Unlock()
		r.setFaults()
		r.mu.Unlock()
		time.Sleep(rewriteDelay)
		r.mu.Lock()
		defer r.mu.Unlock()
		if ownCount != r.restoreCount || r.storeDown {
			return
		}
		r.writeConfig()
		for i := range testEndpoints {
			if s := r.endpoints[i]; s.gone || s.leaving || !skipReady {
				r.writeEndpoint(i)
			}
		}
	})
}

// change changes the configuration or an endpoint.
func (r *restoreRun) change() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeDown {
		return // the store answers no writer
	}
	if r.rnd.IntN(2) == 0 {
		r.revoked[fmt.Sprint("t", r.validKey)] = time.Now()
		r.version += 1 + r.rnd.Int64N(3)
		r.validKey++
		r.writeConfig()
		r.logf("version %d revokes t%d", r.version, r.validKey-1)
		return
	}
	i := r.rnd.IntN(testEndpoints - 1) // the last one always stays usable
	s := r.endpoints[i]
	if s.leaving || s.gone {
		s = endpointState{started: time.Now()}
		r.w.mu.Lock()
		delete(r.w.withdrawn, endpointID(i))
		r.w.mu.Unlock()
	} else {
		s.leaving, s.gone = true, r.rnd.IntN(2) == 0
	}
	r.endpoints[i] = s
	r.writeEndpoint(i)
	r.logf("endpoint %d: leaving %v, gone %v", i, s.leaving, s.gone)
}

// disrupt kills an instance, or makes the store refuse it for a while.
func (r *restoreRun) disrupt() {
	r.mu.Lock()
	name := fmt.Sprint("n", r.rnd.IntN(r.instances))
	kill, refused := r.rnd.IntN(2) == 0, time.Duration(500+r.rnd.IntN(4000))*time.Millisecond
	r.logf("%s: killed %v, else refused for %s", name, kill, refused)
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

// ask sends a request and checks its outcome.
func (r *restoreRun) ask(i int) {
	r.mu.Lock()
	name := fmt.Sprint("n", r.rnd.IntN(r.instances))
	path := []string{"/safe/a", "/once/a", "/new/a"}[r.rnd.IntN(3)]
	key := "k0"
	if r.rnd.IntN(2) == 0 {
		key = fmt.Sprint("t", r.rnd.IntN(r.validKey+1))
	}
	revokedAt := r.revoked[key]
	r.mu.Unlock()
	late := !revokedAt.IsZero() && time.Since(revokedAt) > r.w.settings("n0", 1).Bounds.Revoke()
	id := fmt.Sprint(name, path, i)
	r.wait.Go(func() {
		status := r.w.ask(name, path, key, id)
		runs := r.w.runsOf(id)
		switch {
		case late && runs > 0:
			r.w.t.Errorf("%s ran with %s, which was revoked %s before the request was sent", id, key, time.Since(revokedAt))
		case path == "/once/a" && runs > 1:
			r.w.t.Errorf("%s ran %d times", id, runs)
		case (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && runs > 0:
			r.w.t.Errorf("%s ran although its answer said that it did not", id)
		case status == http.StatusNotFound || status == http.StatusUnauthorized && key == "k0":
			r.w.t.Errorf("%s was denied with status %d", id, status)
		}
	})
}

func (r *restoreRun) run() {
	for i := range int(restoreRunLength / askEvery) {
		time.Sleep(askEvery)
		r.ask(i)
		r.mu.Lock()
		if i%10 == 0 && !r.storeDown {
			r.backups = append(r.backups, timedBackup{r.w.store.Backup(), time.Now()})
			r.backups = slices.DeleteFunc(r.backups, func(b timedBackup) bool { return time.Since(b.at) > maxBackupAge })
		}
		what := r.rnd.IntN(100)
		r.mu.Unlock()
		switch {
		case what < 1:
			r.restoreOnce()
		case what < 4:
			r.change()
		case what < 5:
			r.disrupt()
		}
	}
	r.wait.Wait()
}

func (r *restoreRun) check() {
	w := r.w
	time.Sleep(15 * time.Second) // recover_s and the length of a lease
	for _, name := range r.names() {
		for _, key := range []string{"k0", fmt.Sprint("t", r.validKey)} {
			if status := w.ask(name, "/new/a", key, name+key+"/last"); status != http.StatusOK || !w.ready(name) {
				w.t.Errorf("at the end %s answers status %d to key %s, ready: %v", name, status, key, w.ready(name))
			}
		}
	}
	w.mu.Lock()
	violations := slices.Clone(w.violations)
	w.mu.Unlock()
	w.cloud.mu.Lock()
	violations = append(violations, w.cloud.violations...)
	w.cloud.mu.Unlock()
	for _, what := range violations {
		w.t.Error(what)
	}
}

func TestRandomRestoresOfTheStore(t *testing.T) {
	for seed := range seeds() {
		instances := 4
		if seed%16 == 15 {
			instances = largeFleet
		}
		runCluster(t, instances, func(_ *is.I, w *testCluster) {
			r := &restoreRun{
				w: w, instances: instances, rnd: rand.New(rand.NewPCG(uint64(seed), 49)), version: 2,
				revoked: make(map[string]time.Time), endpoints: make(map[int]endpointState), refused: make(map[string]bool), regained: make(map[string]time.Time),
			}
			w.excused = r.excused
			r.writeConfig()
			for i := range testEndpoints {
				r.endpoints[i] = endpointState{started: time.Now()}
				r.writeEndpoint(i)
			}
			time.Sleep(4 * time.Second)
			r.run()
			r.check()
			if t.Failed() {
				t.Fatalf("seed %d, %d instances: %q", seed, instances, r.events)
			}
		})
	}
}
