package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
)

type engine struct {
	w     *World
	place Place
	http  *http.Client
	wake  chan struct{}
	ctx   context.Context
	kill  context.CancelFunc

	mu       sync.Mutex
	waiting  []*sequence          // prompt not yet computed; guarded by mu
	running  []*sequence          // guarded by mu
	cache    map[uint64]int       // block to the time it was last used; guarded by mu
	clock    int                  // guarded by mu
	imported map[string]int       // request to its generated tokens in the cache; guarded by mu
	kept     map[string]*sequence // the newest sequence of each request, for exports; guarded by mu
	events   []endpoint.Event     // guarded by mu
	first    int                  // number of the first event kept; guarded by mu
	report   endpoint.Report      // as published; guarded by mu
	exports  chan struct{}        // one export at a time uses the link
}

type sequence struct {
	g       endpoint.Generate
	chain   []uint64
	tokens  int // prompt tokens
	left    int // prompt and resumed tokens still to be computed
	emitted int
	hash    uint64
	out     chan endpoint.Chunk
	ctx     context.Context
}

func newEngine(w *World, p Place, _ uint64) *engine {
	e := &engine{
		w: w, place: p, wake: make(chan struct{}, 1),
		http:    &http.Client{Transport: netx.Transport(w.siteN(p.ID))}, // closed by loop
		exports: make(chan struct{}, 1),
		cache:   make(map[uint64]int), imported: make(map[string]int), kept: make(map[string]*sequence),
	}
	e.ctx, e.kill = context.WithCancel(w.ctx)
	return e
}

func (e *engine) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/report", e.getReport)
	mux.HandleFunc("GET /v1/kv/{request}", e.getExport)
	mux.HandleFunc("POST /v1/kv/import", e.postImport)
	return mux
}

const (
	maxPrompt  = 4 << 20
	outBuffer  = 64
	keptLimit  = 4096
	eventLimit = 20_000
)

func (e *engine) generate(rw http.ResponseWriter, r *http.Request) {
	var g endpoint.Generate
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxPrompt)).Decode(&g); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e.w.arrived(e.place.ID)
	e.w.announce(e.place.ID, rw.Header())
	e.w.dieOf(e.place, g.Prompt)
	s := e.admit(r.Context(), g)
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	for {
		select {
		case c := <-s.out:
			b, _ := json.Marshal(c)
			if _, err := fmt.Fprintf(rw, "data: %s\n\n", b); err != nil {
				return
			}
			_ = flush.Flush()
			if c.Done {
				return
			}
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *engine) admit(ctx context.Context, g endpoint.Generate) *sequence {
	s := &sequence{g: g, chain: prefix.Chain(e.place.Serves, g.Prompt), tokens: prefix.Tokens(g.Prompt), emitted: g.ResumeFrom, hash: PromptHash(g.Prompt), out: make(chan endpoint.Chunk, outBuffer), ctx: ctx}
	e.mu.Lock()
	held := 0
	for held < len(s.chain) && e.has(s.chain[held]) {
		held++
	}
	resumed := max(0, g.ResumeFrom-e.imported[g.Request])
	if old := e.kept[g.Request]; old != nil && held == len(s.chain) {
		resumed = max(0, min(resumed, g.ResumeFrom-old.emitted))
	}
	s.left = s.tokens - held*prefix.BlockTokens + resumed
	if s.left <= 0 {
		s.left = 1
	}
	e.store(s.chain)
	if len(e.kept) > keptLimit {
		clear(e.kept)
		clear(e.imported)
	}
	e.kept[g.Request] = s
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return b.g.Priority - a.g.Priority })
	e.mu.Unlock()
	e.count(s, held, resumed)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// count adds a prompt to the ground truth. A block is recomputed when it is
// computed though it was computed before for the same session.
func (e *engine) count(s *sequence, held, resumed int) {
	session := xxhash.Sum64String(s.g.Session)
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	t := &e.w.truth
	t.TokensPrompt += s.tokens
	t.TokensComputed += s.left
	t.TokensRecomputed += resumed
	for i, b := range s.chain {
		key := session ^ b
		_, before := e.w.computed[key]
		if i >= held && before {
			t.TokensRecomputed += prefix.BlockTokens
		}
		e.w.computed[key] = struct{}{}
	}
}

// has and store keep the bounded prefix cache. Callers hold mu.
func (e *engine) has(b uint64) bool {
	if _, ok := e.cache[b]; !ok {
		return false
	}
	e.clock++
	e.cache[b] = e.clock
	return true
}

func (e *engine) store(chain []uint64) {
	for _, b := range chain {
		e.clock++
		if _, ok := e.cache[b]; !ok {
			e.publish(endpoint.Event{Block: b})
		}
		e.cache[b] = e.clock
	}
	limit := e.w.set.Timing.cacheBlocks()
	if len(e.cache) <= limit {
		return
	}
	type used struct {
		block uint64
		at    int
	}
	all := make([]used, 0, len(e.cache))
	for b, at := range e.cache {
		all = append(all, used{b, at})
	}
	slices.SortFunc(all, func(a, b used) int { return a.at - b.at })
	for _, u := range all[:len(all)-limit*9/10] {
		delete(e.cache, u.block)
		e.publish(endpoint.Event{Block: u.block, Evicted: true})
	}
}

func (e *engine) publish(ev endpoint.Event) {
	ev.At = time.Now().Add(millis(e.w.set.Timing.EventLagMs))
	e.events = append(e.events, ev)
	if over := len(e.events) - eventLimit; over > 0 {
		e.events = slices.Clone(e.events[over:])
		e.first += over
	}
}

// loop is the continuous batch: each step computes a chunk of the waiting
// prompts, most urgent first, and one token of each running sequence.
func (e *engine) loop() {
	defer e.http.CloseIdleConnections()
	var publishAt time.Time
	for {
		busy := e.step()
		if now := time.Now(); !now.Before(publishAt) {
			e.publishLoad()
			publishAt = now.Add(millis(e.w.set.Timing.ReportLagMs))
		}
		if busy > 0 {
			select {
			case <-time.After(busy):
			case <-e.ctx.Done():
				return
			}
			e.emit()
			continue
		}
		e.publishLoad()
		select {
		case <-e.wake:
		case <-e.ctx.Done():
			return
		}
	}
}

// step starts a step and returns how long it takes; 0 when there is no work.
func (e *engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.w.set.Timing
	cancelled := func(s *sequence) bool { return s.ctx.Err() != nil }
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
	e.running = slices.DeleteFunc(e.running, cancelled)
	budget, computed := t.ChunkTokens, 0
	for len(e.waiting) > 0 && budget > 0 && len(e.running) < t.MaxBatch {
		s := e.waiting[0]
		n := min(budget, s.left)
		s.left -= n
		budget -= n
		computed += n
		if s.left == 0 {
			e.waiting = e.waiting[1:]
			e.running = append(e.running, s)
		}
	}
	if len(e.running) == 0 && computed == 0 {
		return 0
	}
	return micros(t.StepBaseUs + t.StepPerSeqUs*len(e.running) + t.PerTokenUs*computed)
}

// emit gives each running sequence its next token.
func (e *engine) emit() {
	e.mu.Lock()
	running := slices.Clone(e.running)
	e.mu.Unlock()
	finished := make(map[*sequence]bool)
	sent := 0
	for _, s := range running {
		if s.emitted >= s.g.MaxTokens {
			s.send(endpoint.Chunk{Index: s.emitted, Done: true})
			finished[s] = true
			continue
		}
		if !s.send(endpoint.Chunk{Index: s.emitted, Text: Token(s.hash, s.emitted), Done: s.emitted+1 == s.g.MaxTokens}) {
			continue // the reader is slow: back-pressure holds this sequence
		}
		sent++
		e.mu.Lock()
		s.emitted++
		e.mu.Unlock()
		if s.emitted == s.g.MaxTokens {
			finished[s] = true
		}
	}
	e.mu.Lock()
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return finished[s] })
	e.mu.Unlock()
	e.w.mu.Lock()
	e.w.truth.TokensOutput += sent
	e.w.mu.Unlock()
}

func (s *sequence) send(c endpoint.Chunk) bool {
	select {
	case s.out <- c:
		return true
	default:
		return false
	}
}

const queueLevels = 10

func (e *engine) publishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.w.set.Timing
	r := endpoint.Report{Running: len(e.running) + len(e.waiting), QueuedTokens: make([]int, queueLevels), PerTokenUs: t.PerTokenUs, StepUs: t.StepBaseUs + t.StepPerSeqUs*len(e.running)}
	for _, s := range e.waiting {
		r.QueuedTokens[min(max(s.g.Priority, 0), queueLevels-1)] += s.left
	}
	e.report = r
}

func (e *engine) getReport(rw http.ResponseWriter, r *http.Request) {
	e.w.announce(e.place.ID, rw.Header())
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	now := time.Now()
	e.mu.Lock()
	rep := e.report
	rep.First = max(since, e.first)
	i := rep.First - e.first
	for ; i < len(e.events) && !e.events[i].At.After(now); i++ {
		rep.Events = append(rep.Events, e.events[i])
	}
	e.mu.Unlock()
	if e.w.chance(e.w.set.Timing.EventGap) && len(rep.Events) > 0 {
		rep.First += len(rep.Events) // these events are lost; the reader sees the gap
		rep.Events = nil
	}
	writeJSON(rw, rep)
}

func (e *engine) getExport(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.kept[r.PathValue("request")]
	var x endpoint.Export
	if s != nil && s.left == 0 {
		x = endpoint.Export{Chain: s.chain, Generated: s.emitted, Tokens: s.tokens + s.emitted}
	}
	e.mu.Unlock()
	if x.Tokens == 0 {
		http.Error(rw, "no such KV cache", http.StatusNotFound)
		return
	}
	select {
	case e.exports <- struct{}{}:
		defer func() { <-e.exports }()
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	select {
	case <-time.After(time.Duration(float64(x.Tokens) / e.w.set.Timing.KVTokensPerS * float64(time.Second))):
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	writeJSON(rw, x)
}

func (e *engine) postImport(rw http.ResponseWriter, r *http.Request) {
	var m endpoint.Import
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if e.w.chance(e.w.Faults().RefuseKVImport) {
		http.Error(rw, "no room", http.StatusServiceUnavailable)
		return
	}
	x, err := e.fetch(r.Context(), m)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	e.store(x.Chain)
	e.imported[m.Request] = x.Generated
	e.mu.Unlock()
	e.w.mu.Lock()
	e.w.truth.KVMoves++
	e.w.truth.KVMovedTokens += x.Tokens
	e.w.mu.Unlock()
	writeJSON(rw, x)
}

func (e *engine) fetch(ctx context.Context, m endpoint.Import) (endpoint.Export, error) {
	var x endpoint.Export
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.From.String()+"/v1/kv/"+m.Request, nil)
	if err != nil {
		return x, err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return x, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return x, fmt.Errorf("export: status %d", resp.StatusCode)
	}
	return x, json.NewDecoder(resp.Body).Decode(&x)
}
