// Package standin has small stand-ins for what the system does not bring
// itself: the platform's key-value service, instance list and cloud API, model
// engines and plain services.
//
// A World runs all of them over one network and keeps the ground truth that
// reports are judged by. Faults are switched over HTTP or by SetFaults. A
// World is safe for concurrent use.
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

// Faults are the faults switched on at a moment.
type Faults struct {
	StoreDown       bool    `json:"store_down"`
	StoreSlowMs     int     `json:"store_slow_ms"`
	StoreLoseAnswer float64 `json:"store_lose_answer"` // share of writes whose answer is lost after they took effect
	StoreOld        bool    `json:"store_old"`         // reads answer with the value before the newest
	ListFrozen      bool    `json:"list_frozen"`       // the instance list stays as it is
	RefuseKVImport  float64 `json:"refuse_kv_import"`  // share of KV cache imports that are refused
	DeadlyPrompt    string  `json:"deadly_prompt"`     // an engine that is sent a prompt with it ends, and starts again; empty is none
}

// Truth is what really happened, counted where it happened.
type Truth struct {
	ServiceRuns         int     `json:"service_runs"`
	Doubled             int     `json:"doubled"` // unrepeatable calls that ran twice
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
	EndedUnder          int     `json:"ended_under"`       // engines that ended of a deadly prompt
	DeadlySent          int     `json:"deadly_sent"`       // times that it was sent to one
	DeadlySentAfter     int     `json:"deadly_sent_after"` // of these, after the third had ended
}

// World is a set of stand-ins.
type World struct {
	net   netx.Network
	siteN func(site string) netx.Network
	set   Settings
	store *store
	ctx   context.Context
	stop  context.CancelFunc
	wait  sync.WaitGroup

	mu        sync.Mutex
	rnd       *rand.Rand             // guarded by mu
	faults    Faults                 // guarded by mu
	truth     Truth                  // guarded by mu
	instances []*instance            // guarded by mu; the truth about the fleet
	listed    []platform.Instance    // guarded by mu; what the lagging list shows
	notices   []platform.Notice      // guarded by mu
	noticed   chan struct{}          // closed and replaced at each notice; guarded by mu
	runs      map[uint64]int         // runs of each unrepeatable call; guarded by mu
	computed  map[uint64]struct{}    // blocks computed before, by session; guarded by mu
	startedAt time.Time              // when cost began to count
	servers   map[string]*placeState // guarded by mu
	dying     map[string]bool        // engines that end of a deadly prompt, or are not back; guarded by mu
	deaths    uint64                 // of them so far; guarded by mu
	limits    rateLimits             // that endpoints name; guarded by mu
}

type instance struct {
	platform.Instance
	noticeAt time.Time
	goneAt   time.Time
	startAt  time.Time
	price    float64 // per hour
}

type placeState struct {
	server *http.Server
	engine *engine
}

// New returns a world over a network. site gives the network as seen from an
// instance; nil means that all are seen alike.
func New(n netx.Network, site func(string) netx.Network, set Settings) *World {
	if site == nil {
		site = func(string) netx.Network { return n }
	}
	w := &World{
		net: n, siteN: site, set: set,
		rnd:     rand.New(rand.NewPCG(set.Seed, set.Seed^0x9e3779b97f4a7c15)),
		noticed: make(chan struct{}), runs: make(map[uint64]int), computed: make(map[uint64]struct{}),
		servers: make(map[string]*placeState), dying: make(map[string]bool), limits: newRateLimits(),
	}
	w.store = newStore(w)
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// Start brings all stand-ins up.
func (w *World) Start() error {
	w.startedAt = time.Now()
	if w.set.Table != "" {
		w.store.write(platform.KeyTable, []byte(w.set.Table), 0, time.Time{})
	}
	if err := w.serve("store", w.set.Store, w.store, nil); err != nil {
		return err
	}
	if err := w.serve("list", w.set.List, w.platformMux(), nil); err != nil {
		return err
	}
	for _, p := range w.set.Engine {
		if err := w.AddEngine(p, 1); err != nil {
			return err
		}
	}
	for _, p := range w.set.Service {
		if err := w.AddService(p, 1); err != nil {
			return err
		}
	}
	for _, p := range w.set.Entry {
		w.AddEntry(p, 1)
	}
	w.publishList()
	w.wait.Go(w.listLoop)
	return nil
}

// Stop ends all stand-ins and waits for them.
func (w *World) Stop() {
	w.stop()
	w.mu.Lock()
	servers := make([]*placeState, 0, len(w.servers))
	for _, s := range w.servers {
		servers = append(servers, s)
	}
	w.mu.Unlock()
	for _, s := range servers {
		_ = s.server.Close()
	}
	w.wait.Wait()
}

func (w *World) serve(id string, addr netip.AddrPort, h http.Handler, e *engine) error {
	l, err := w.siteN(id).Listen(addr)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", id, err)
	}
	s := &http.Server{Handler: h, BaseContext: func(net.Listener) context.Context { return w.ctx }}
	w.mu.Lock()
	w.servers[id] = &placeState{server: s, engine: e}
	w.mu.Unlock()
	w.wait.Go(func() { _ = s.Serve(l) })
	if e != nil {
		w.wait.Go(e.loop)
	}
	return nil
}

// AddEngine starts a model engine.
func (w *World) AddEngine(p Place, incarnation uint64) error {
	e := newEngine(w, p, incarnation)
	if err := w.serve(p.ID, p.Addr, e.mux(), e); err != nil {
		return err
	}
	w.add(p, platform.KindModel, incarnation, w.price(p))
	return nil
}

// AddService starts a plain service.
func (w *World) AddService(p Place, incarnation uint64) error {
	if err := w.serve(p.ID, p.Addr, newService(w, p), nil); err != nil {
		return err
	}
	w.add(p, platform.KindService, incarnation, w.set.Timing.PriceService)
	return nil
}

// AddEntry lists an entry instance; it does not run it.
func (w *World) AddEntry(p Place, incarnation uint64) {
	w.add(p, platform.KindEntry, incarnation, 0)
}

func (w *World) price(p Place) float64 {
	if p.OnDemand {
		return w.set.Timing.PriceOnDemand
	}
	return w.set.Timing.PriceSpot
}

func (w *World) add(p Place, kind platform.Kind, incarnation uint64, price float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = append(w.instances, &instance{
		Instance: platform.Instance{ID: p.ID, Incarnation: incarnation, Kind: kind, Addr: p.Addr, Peer: p.Peer, Hall: p.Hall, Serves: p.Serves},
		startAt:  time.Now(), price: price,
	})
}

// Faults returns the faults switched on.
func (w *World) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults switches faults.
func (w *World) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	w.mu.Unlock()
	w.store.wake()
}

func (w *World) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return p > 0 && w.rnd.Float64() < p
}

func (w *World) loseAnswer() bool { return w.chance(w.Faults().StoreLoseAnswer) }

// Truth returns the counts so far, and what the fleet cost so far.
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

// StoreLog returns the writes the store took, in order.
func (w *World) StoreLog() []Write {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	return append([]Write(nil), w.store.log...)
}

// Notice announces that an instance will be reclaimed at the deadline, and
// then takes it. Entry instances are only announced.
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
	close(w.noticed)
	w.noticed = make(chan struct{})
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

// LeaveQuietly makes an endpoint leave without a notice and without the list's word: only
// its answers say so.
func (w *World) LeaveQuietly(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.ID == id && i.goneAt.IsZero() {
			i.noticeAt = time.Now()
		}
	}
}

// ReclaimHall announces the reclaim of all model engines and services of a
// hall, and of its entry instances if entries is true.
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

// Kill ends an instance at once, without notice.
func (w *World) Kill(id string) {
	w.mu.Lock()
	s := w.servers[id]
	delete(w.servers, id)
	w.goneLocked(id)
	w.mu.Unlock()
	if s == nil {
		return
	}
	if s.engine != nil {
		s.engine.kill()
	}
	_ = s.server.Close()
}

// Gone notes that an instance which the world does not run itself has ended.
func (w *World) Gone(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.goneLocked(id)
}

func (w *World) goneLocked(id string) {
	for _, i := range w.instances {
		if i.ID == id && i.goneAt.IsZero() {
			i.goneAt = time.Now()
		}
	}
}

// leavingFor returns for how long an instance has been leaving.
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

const leavingGrace = 5 * time.Second

// announce sets the headers by which an endpoint says in an answer that it leaves and which rate
// it accepts.
func (w *World) announce(id string, h http.Header) {
	if w.leavingFor(id) > 0 {
		h.Set(endpoint.LeavingHeader, "1")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.announce(id, h, time.Now())
}

// arrived counts new work that reached an instance.
func (w *World) arrived(id string) {
	w.mu.Lock()
	w.limits.checker.Arrived(id, anyInstance, time.Now())
	w.mu.Unlock()
	if w.leavingFor(id) <= leavingGrace {
		return
	}
	w.mu.Lock()
	w.truth.SentToLeavingAfter5++
	w.mu.Unlock()
}

// ran counts a run of a service call.
func (w *World) ran(key string, unrepeatable bool) {
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

// Runs returns how often an unrepeatable call ran.
func (w *World) Runs(path, body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[xxhash.Sum64String(path+"\n"+body)]
}
