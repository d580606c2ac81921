// Package standin simulates the services that the system depends on: the platform's key-value
// service, instance list and reclaim notices, model engines and plain services.
//
// A World runs all of them on one network and counts what really happened, as the ground truth for
// reports. Faults are injected over HTTP or with SetFaults. A World is safe for concurrent use.
package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/platform"
)

// Faults holds the active faults. The zero value has none.
type Faults struct {
	StoreDown       bool    `json:"store_down"`
	StoreSlowMs     int     `json:"store_slow_ms"`
	StoreLoseAnswer float64 `json:"store_lose_answer"` // share of writes that take effect but get no response
	StoreStale      bool    `json:"store_old"`         // reads return the value before the latest
	ListFrozen      bool    `json:"list_frozen"`       // the instance list is not updated
	RefuseKVImport  float64 `json:"refuse_kv_import"`  // share of KV cache imports that are refused
	DeadlyPrompt    string  `json:"deadly_prompt"`     // an engine that gets a prompt containing this text crashes and restarts; empty for none
	DeadlyPart      string  `json:"deadly_part"`       // an engine that begins an answer to a prompt containing this text crashes and restarts; empty for none
}

// Truth is the ground truth of a run, counted inside the simulated services.
type Truth struct {
	ServiceRuns         int     `json:"service_runs"`
	Doubled             int     `json:"doubled"` // unrepeatable calls that ran more than once
	SentToLeavingAfter5 int     `json:"sent_to_leaving_after_5s"`
	TokensPrompt        int     `json:"tokens_prompt"`
	TokensComputed      int     `json:"tokens_computed"`
	TokensRecomputed    int     `json:"tokens_recomputed"`
	TokensOutput        int     `json:"tokens_output"`
	KVMoves             int     `json:"kv_moves"`
	KVMovedTokens       int     `json:"kv_moved_tokens"`
	StoreReads          int     `json:"store_reads"`
	StoreWrites         int     `json:"store_writes"`
	Cost                float64 `json:"cost"`
	EndedUnder          int     `json:"ended_under"`       // engines that crashed on a deadly prompt
	DeadlySent          int     `json:"deadly_sent"`       // deadly prompts sent to engines
	DeadlySentAfter     int     `json:"deadly_sent_after"` // of these, sent after maxDeadlyCrashes engines had crashed
}

// World is a set of simulated services.
type World struct {
	net       netx.Network
	networkOf func(site string) netx.Network
	settings  Settings
	store     *store
	ctx       context.Context
	stop      context.CancelFunc
	wait      sync.WaitGroup

	mu            sync.Mutex
	rnd           *rand.Rand                 // guarded by mu
	faults        Faults                     // guarded by mu
	truth         Truth                      // guarded by mu
	instances     []*instance                // actual state of the fleet; guarded by mu
	publishedList []platform.Instance        // instance list as last published; guarded by mu
	notices       []platform.Notice          // guarded by mu
	noticeAdded   chan struct{}              // closed and replaced at each notice; guarded by mu
	runs          map[uint64]int             // runs of each unrepeatable call; guarded by mu
	computed      map[uint64]struct{}        // blocks ever computed, keyed by block xor session hash; guarded by mu
	startedAt     time.Time                  // time of Start
	running       map[string]*runningService // guarded by mu
	crashing      map[string]bool            // engines about to crash on a deadly prompt or not yet restarted; guarded by mu
	crashes       uint64                     // incarnation of the last engine restarted after such a crash; guarded by mu
	rateLimits    rateLimits                 // advertised by endpoints; guarded by mu
}

// instance is the actual state of a listed instance.
type instance struct {
	platform.Instance
	noticeAt time.Time // when it began to leave; zero if it does not
	goneAt   time.Time // when it ended; zero while it runs
	startAt  time.Time
	price    float64 // per hour
}

type runningService struct {
	server *http.Server
	engine *engine
}

// New returns a world on a network. site returns the network as seen from an instance; nil means
// that all instances use n.
func New(n netx.Network, site func(string) netx.Network, set Settings) *World {
	if site == nil {
		site = func(string) netx.Network { return n }
	}
	w := &World{
		net: n, networkOf: site, settings: set,
		rnd:         rand.New(rand.NewPCG(set.Seed, set.Seed^0x9e3779b97f4a7c15)),
		noticeAdded: make(chan struct{}), runs: make(map[uint64]int), computed: make(map[uint64]struct{}),
		running: make(map[string]*runningService), crashing: make(map[string]bool), rateLimits: newRateLimits(),
	}
	w.store = newStore(w)
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// Start writes the first table, if any, and starts all simulated services.
func (w *World) Start() error {
	w.startedAt = time.Now()
	if w.settings.Table != "" {
		w.store.write(platform.KeyTable, []byte(w.settings.Table), 0, time.Time{})
	}
	if err := w.serve("store", w.settings.Store, w.store, nil); err != nil {
		return err
	}
	if err := w.serve("list", w.settings.List, w.platformMux(), nil); err != nil {
		return err
	}
	for _, p := range w.settings.Engine {
		if err := w.AddEngine(p, 1); err != nil {
			return err
		}
	}
	for _, p := range w.settings.Service {
		if err := w.AddService(p, 1); err != nil {
			return err
		}
	}
	for _, p := range w.settings.Entry {
		w.AddEntry(p, 1)
	}
	w.publishList()
	w.wait.Go(w.publishLoop)
	return nil
}

// Stop shuts down all simulated services and waits for their goroutines.
func (w *World) Stop() {
	w.stop()
	w.mu.Lock()
	servers := make([]*runningService, 0, len(w.running))
	for _, s := range w.running {
		servers = append(servers, s)
	}
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.server.Close()
	}
	w.wait.Wait()
}

// serve starts an HTTP service and, if e is not nil, the engine behind it.
func (w *World) serve(id string, addr netip.AddrPort, h http.Handler, e *engine) error {
	l, err := w.networkOf(id).Listen(addr)
	if err != nil {
		return fmt.Errorf("simulated service %s: listen: %w", id, err)
	}
	s := &http.Server{Handler: namingRequests(h), BaseContext: func(net.Listener) context.Context { return w.ctx }}
	w.mu.Lock()
	w.running[id] = &runningService{server: s, engine: e}
	w.mu.Unlock()
	w.wait.Go(func() { _ = s.Serve(l) })
	if e != nil {
		w.wait.Go(e.runBatch)
	}
	return nil
}

// namingRequests returns a handler whose responses name the request.
func namingRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(endpoint.RequestHeader); id != "" {
			rw.Header().Set(endpoint.RequestHeader, id)
		}
		h.ServeHTTP(rw, r)
	})
}

// AddEngine starts and lists a model engine.
func (w *World) AddEngine(p InstanceSpec, incarnation uint64) error {
	e := newEngine(w, p, incarnation)
	if err := w.serve(p.ID, p.Addr, e.mux(), e); err != nil {
		return err
	}
	w.addInstance(p, platform.KindModel, incarnation, w.price(p))
	return nil
}

// AddService starts and lists a plain service.
func (w *World) AddService(p InstanceSpec, incarnation uint64) error {
	if err := w.serve(p.ID, p.Addr, newService(w, p), nil); err != nil {
		return err
	}
	w.addInstance(p, platform.KindService, incarnation, w.settings.Timing.PriceService)
	return nil
}

// AddEntry lists an entry instance; it does not run it.
func (w *World) AddEntry(p InstanceSpec, incarnation uint64) {
	w.addInstance(p, platform.KindEntry, incarnation, 0)
}

func (w *World) price(p InstanceSpec) float64 {
	if p.OnDemand {
		return w.settings.Timing.PriceOnDemand
	}
	return w.settings.Timing.PriceSpot
}

func (w *World) addInstance(p InstanceSpec, kind platform.Kind, incarnation uint64, price float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = append(w.instances, &instance{
		Instance: platform.Instance{ID: p.ID, Incarnation: incarnation, Kind: kind, Addr: p.Addr, Peer: p.Peer, Hall: p.Hall, Serves: p.Serves, Version: p.Version},
		startAt:  time.Now(), price: price,
	})
}

// Faults returns the active faults.
func (w *World) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the active faults.
func (w *World) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
	w.store.endWaits()
}

// chance returns true with probability p.
func (w *World) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p > 0 && w.rnd.Float64() < p
}

func (w *World) loseAnswer() bool { return w.chance(w.Faults().StoreLoseAnswer) }

// Truth returns the counts and the cost of the fleet so far.
func (w *World) Truth() Truth {
	w.store.mu.Lock()
	reads, writes := w.store.reads, w.store.writes
	w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.truth
	t.StoreReads, t.StoreWrites = reads, writes
	now := time.Now()
	for _, i := range w.instances {
		end := now
		if !i.goneAt.IsZero() {
			end = i.goneAt
		}
		t.Cost += i.price * end.Sub(i.startAt).Hours()
	}
	return t
}

// StoreLog returns all successful writes to the store, in order.
func (w *World) StoreLog() []Write {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return append([]Write(nil), w.store.log...)
}

// Notice announces that an instance will be reclaimed at the deadline, and kills it then. Entry
// instances are announced but not killed.
func (w *World) Notice(id string, deadline time.Time) {
	w.mu.Lock()
	var found *instance
	for _, i := range w.instances {
		if i.ID == id && i.noticeAt.IsZero() && i.goneAt.IsZero() {
			found = i
			i.noticeAt = time.Now()
			i.State = platform.StateLeaving
			i.Deadline = deadline
			w.notices = append(w.notices, platform.Notice{ID: id, Incarnation: i.Incarnation, Deadline: deadline})
		}
	}
	close(w.noticeAdded)
	w.noticeAdded = make(chan struct{})
	w.mu.Unlock()
	if found == nil || found.Kind == platform.KindEntry {
		return
	}
	w.wait.Go(func() {
		select {
		case <-w.ctx.Done():
		case <-time.After(time.Until(deadline)):
			w.Kill(id)
		}
	})
}

// LeaveQuietly makes an endpoint announce that it leaves in its answers only: there is no notice,
// and the instance list does not show it.
func (w *World) LeaveQuietly(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.ID == id && i.goneAt.IsZero() {
			i.noticeAt = time.Now()
		}
	}
}

// ReclaimHall announces the reclaim of all model engines and services of a hall, and of its entry
// instances if entries is true. It returns the IDs of the instances.
func (w *World) ReclaimHall(hall string, deadline time.Time, entries bool) []string {
	w.mu.Lock()
	var ids []string
	for _, i := range w.instances {
		if i.Hall == hall && i.goneAt.IsZero() && i.noticeAt.IsZero() && (entries || i.Kind != platform.KindEntry) {
			ids = append(ids, i.ID)
		}
	}
	w.mu.Unlock()
	for _, id := range ids {
		w.Notice(id, deadline)
	}
	return ids
}

// Kill terminates an instance at once, without notice.
func (w *World) Kill(id string) {
	w.mu.Lock()
	s := w.running[id]
	delete(w.running, id)
	w.markGoneLocked(id)
	w.mu.Unlock()
	if s == nil {
		return
	}
	if s.engine != nil {
		s.engine.cancel()
	}
	_ = s.server.Close()
}

// MarkGone records that an instance which the world does not run itself has ended.
func (w *World) MarkGone(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.markGoneLocked(id)
}

func (w *World) markGoneLocked(id string) {
	for _, i := range w.instances {
		if i.ID == id && i.goneAt.IsZero() {
			i.goneAt = time.Now()
		}
	}
}

// leavingFor returns how long ago an instance began to leave, 0 if it is not leaving.
func (w *World) leavingFor(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.ID == id && i.goneAt.IsZero() && !i.noticeAt.IsZero() {
			return time.Since(i.noticeAt)
		}
	}
	return 0
}

// leavingGrace is how long after an instance began to leave it may still get new work.
const leavingGrace = 5 * time.Second

// setStateHeaders sets the headers that announce that an endpoint is leaving, and its rate limit.
func (w *World) setStateHeaders(id string, h http.Header) {
	if w.leavingFor(id) > 0 {
		h.Set(endpoint.LeavingHeader, "1")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rateLimits.setHeader(id, h, time.Now())
}

// recordArrival counts new work at an instance for the rate limit checker, and work that arrived too
// long after the instance began to leave.
func (w *World) recordArrival(id string) {
	w.mu.Lock()
	w.rateLimits.checker.Received(id, anyInstance, time.Now())
	w.mu.Unlock()
	if w.leavingFor(id) <= leavingGrace {
		return
	}
	w.mu.Lock()
	w.truth.SentToLeavingAfter5++
	w.mu.Unlock()
}

// recordRun counts a run of a service call.
func (w *World) recordRun(key string, unrepeatable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth.ServiceRuns++
	if !unrepeatable {
		return
	}
	h := xxhash.Sum64String(key)
	w.runs[h]++
	if w.runs[h] == 2 {
		w.truth.Doubled++
	}
}

// Runs returns how often an unrepeatable call has run.
func (w *World) Runs(path, body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[xxhash.Sum64String(path+"\n"+body)]
}
