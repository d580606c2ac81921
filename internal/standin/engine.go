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

// engine simulates a model engine with continuous batching, a prefix cache and KV cache transfer.
type engine struct {
	world     *World
	spec      InstanceSpec
	http      *http.Client // fetches KV caches from other engines
	workAdded chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc

	mu         sync.Mutex
	waiting    []*sequence          // prompt not fully computed, most urgent first; guarded by mu
	running    []*sequence          // generating tokens; guarded by mu
	cache      map[uint64]int       // value of clock at the last use, by block; guarded by mu
	clock      int                  // logical time, advances at each use of a block; guarded by mu
	imported   map[string]int       // generated tokens in imported KV caches, by request; guarded by mu
	sequences  map[string]*sequence // latest sequence of each request, for exports and resumes; guarded by mu
	events     []endpoint.Event     // guarded by mu
	firstEvent int                  // number of the first event in events; guarded by mu
	report     endpoint.Report      // load report as last published; guarded by mu
	exportSlot chan struct{}        // semaphore: exports share one link and run one at a time
}

// sequence is one request in an engine's batch or queue.
type sequence struct {
	request      endpoint.Generate
	chain        []uint64 // prefix blocks of the prompt
	promptTokens int      // tokens in the prompt
	remaining    int      // prompt and resumed tokens yet to be computed
	emitted      int
	promptHash   uint64
	chunks       chan endpoint.Chunk
	ctx          context.Context
}

func newEngine(w *World, p InstanceSpec, _ uint64) *engine {
	e := &engine{
		world: w, spec: p, workAdded: make(chan struct{}, 1),
		http:       &http.Client{Transport: netx.Transport(w.networkOf(p.ID))}, // closed by runBatch
		exportSlot: make(chan struct{}, 1),
		cache:      make(map[uint64]int), imported: make(map[string]int), sequences: make(map[string]*sequence),
	}
	e.ctx, e.cancel = context.WithCancel(w.ctx)
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
	maxPrompt    = 4 << 20
	chunkBuffer  = 64
	maxSequences = 4096
	maxEvents    = 20_000
)

// generate streams the tokens of an answer as server-sent events. If the engine is killed it aborts
// the connection.
func (e *engine) generate(rw http.ResponseWriter, r *http.Request) {
	var g endpoint.Generate
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxPrompt)).Decode(&g); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e.world.recordArrival(e.spec.ID)
	e.world.setStateHeaders(e.spec.ID, rw.Header())
	e.world.crashOnDeadlyPrompt(e.spec, g.Prompt)
	s := e.enqueue(r.Context(), g)
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw)
	for first := true; ; first = false {
		select {
		case c := <-s.chunks:
			if first && e.world.crashOnDeadlyPart(e.spec, g.Prompt) {
				panic(http.ErrAbortHandler)
			}
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

// enqueue adds a request to the queue. Only the tokens that neither the prefix cache nor an imported
// KV cache holds are left to compute.
func (e *engine) enqueue(ctx context.Context, g endpoint.Generate) *sequence {
	s := &sequence{request: g, chain: prefix.Chain(e.spec.Serves, g.Prompt), promptTokens: prefix.Tokens(g.Prompt), emitted: g.ResumeFrom, promptHash: answerHash(e.spec.Version, g.Prompt), chunks: make(chan endpoint.Chunk, chunkBuffer), ctx: ctx}
	e.mu.Lock()
	held := 0
	for held < len(s.chain) && e.touchBlock(s.chain[held]) {
		held++
	}
	resumed := max(0, g.ResumeFrom-e.imported[g.Request])
	if old := e.sequences[g.Request]; old != nil && held == len(s.chain) {
		resumed = max(0, min(resumed, g.ResumeFrom-old.emitted))
	}
	s.remaining = s.promptTokens - held*prefix.BlockTokens + resumed
	if s.remaining <= 0 {
		s.remaining = 1
	}
	e.cacheChain(s.chain)
	if len(e.sequences) > maxSequences {
		clear(e.sequences)
		clear(e.imported)
	}
	e.sequences[g.Request] = s
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return b.request.Priority - a.request.Priority })
	computed := s.remaining
	e.mu.Unlock()
	e.countPrompt(s, held, resumed, computed)
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
	return s
}

// countPrompt adds a prompt, of which the engine has to compute a number of tokens, to the ground truth. A
// block counts as recomputed if it is computed again after it was computed for the same session, on any
// engine.
func (e *engine) countPrompt(s *sequence, held, resumed, computed int) {
	session := xxhash.Sum64String(s.request.Session)
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	t := &e.world.truth
	t.TokensPrompt += s.promptTokens
	t.TokensComputed += computed
	t.TokensRecomputed += resumed
	for i, b := range s.chain {
		key := session ^ b
		_, before := e.world.computed[key]
		if i >= held && before {
			t.TokensRecomputed += prefix.BlockTokens
		}
		e.world.computed[key] = struct{}{}
	}
}

// touchBlock reports whether a block is in the prefix cache, and marks it as used. Callers hold mu.
func (e *engine) touchBlock(b uint64) bool {
	if _, ok := e.cache[b]; !ok {
		return false
	}
	e.clock++
	e.cache[b] = e.clock
	return true
}

// cacheChain adds the blocks of a chain to the prefix cache, or marks them as used. If the cache is
// then over its capacity, the least recently used blocks are evicted down to 90 % of it. Callers
// hold mu.
func (e *engine) cacheChain(chain []uint64) {
	for _, b := range chain {
		e.clock++
		if _, ok := e.cache[b]; !ok {
			e.addEvent(endpoint.Event{Block: b})
		}
		e.cache[b] = e.clock
	}
	limit := e.world.settings.Timing.cacheBlocks()
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
		e.addEvent(endpoint.Event{Block: u.block, Evicted: true})
	}
}

// addEvent appends a cache event, which becomes visible after the event lag of the settings. Callers
// hold mu.
func (e *engine) addEvent(ev endpoint.Event) {
	ev.At = time.Now().Add(millis(e.world.settings.Timing.EventLagMs))
	e.events = append(e.events, ev)
	if over := len(e.events) - maxEvents; over > 0 {
		e.events = slices.Clone(e.events[over:])
		e.firstEvent += over
	}
}

// runBatch runs the continuous batch until the engine is killed: each step computes a chunk of the
// waiting prompts, most urgent first, and one token of each running sequence.
func (e *engine) runBatch() {
	defer e.http.CloseIdleConnections()
	var publishAt time.Time
	for {
		busy := e.step()
		if now := time.Now(); !now.Before(publishAt) {
			e.publishReport()
			publishAt = now.Add(millis(e.world.settings.Timing.ReportLagMs))
		}
		if busy > 0 {
			select {
			case <-time.After(busy):
			case <-e.ctx.Done():
				return
			}
			e.emitTokens()
			continue
		}
		e.publishReport()
		select {
		case <-e.workAdded:
		case <-e.ctx.Done():
			return
		}
	}
}

// step starts a step of the batch and returns its duration, 0 if there is no work.
func (e *engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.world.settings.Timing
	cancelled := func(s *sequence) bool { return s.ctx.Err() != nil }
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
	e.running = slices.DeleteFunc(e.running, cancelled)
	budget, computed := t.ChunkTokens, 0
	for len(e.waiting) > 0 && budget > 0 && len(e.running) < t.MaxBatch {
		s := e.waiting[0]
		n := min(budget, s.remaining)
		s.remaining -= n
		budget -= n
		computed += n
		if s.remaining == 0 {
			e.waiting = e.waiting[1:]
			e.running = append(e.running, s)
		}
	}
	if len(e.running) == 0 && computed == 0 {
		return 0
	}
	return micros(t.StepBaseUs + t.StepPerSeqUs*len(e.running) + t.PerTokenUs*computed)
}

// emitTokens sends each running sequence its next token. A sequence whose reader is slow gets none.
func (e *engine) emitTokens() {
	e.mu.Lock()
	running := slices.Clone(e.running)
	e.mu.Unlock()
	finished := make(map[*sequence]bool)
	sent := 0
	for _, s := range running {
		if s.emitted >= s.request.MaxTokens {
			s.send(endpoint.Chunk{Index: s.emitted, Done: true})
			finished[s] = true
			continue
		}
		if !s.send(endpoint.Chunk{Index: s.emitted, Text: Token(s.promptHash, s.emitted), Done: s.emitted+1 == s.request.MaxTokens}) {
			continue // the reader is slow: back-pressure stalls this sequence
		}
		sent++
		e.mu.Lock()
		s.emitted++
		e.mu.Unlock()
		if s.emitted == s.request.MaxTokens {
			finished[s] = true
		}
	}
	e.mu.Lock()
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return finished[s] })
	e.mu.Unlock()
	e.world.mu.Lock()
	e.world.truth.TokensOutput += sent
	e.world.mu.Unlock()
}

func (s *sequence) send(c endpoint.Chunk) bool {
	select {
	case s.chunks <- c:
		return true
	default:
		return false
	}
}

const priorityLevels = 10

func (e *engine) publishReport() {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.world.settings.Timing
	r := endpoint.Report{Running: len(e.running) + len(e.waiting), QueuedTokens: make([]int, priorityLevels), PerTokenUs: t.PerTokenUs, StepUs: t.StepBaseUs + t.StepPerSeqUs*len(e.running)}
	for _, s := range e.waiting {
		r.QueuedTokens[min(max(s.request.Priority, 0), priorityLevels-1)] += s.remaining
	}
	e.report = r
}

func (e *engine) getReport(rw http.ResponseWriter, r *http.Request) {
	e.world.setStateHeaders(e.spec.ID, rw.Header())
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	now := time.Now()
	e.mu.Lock()
	rep := e.report
	rep.First = max(since, e.firstEvent)
	i := rep.First - e.firstEvent
	for ; i < len(e.events) && !e.events[i].At.After(now); i++ {
		rep.Events = append(rep.Events, e.events[i])
	}
	e.mu.Unlock()
	if e.world.chance(e.world.settings.Timing.EventGap) && len(rep.Events) > 0 {
		rep.First += len(rep.Events) // injected loss of events, which the reader sees as a gap in their numbers
		rep.Events = nil
	}
	writeJSON(rw, rep)
}

// getExport returns a request's KV cache, after the time that its transfer takes.
func (e *engine) getExport(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.sequences[r.PathValue("request")]
	var x endpoint.Export
	if s != nil && s.remaining == 0 {
		x = endpoint.Export{Chain: s.chain, Generated: s.emitted, Tokens: s.promptTokens + s.emitted}
	}
	e.mu.Unlock()
	if x.Tokens == 0 {
		http.Error(rw, "no such KV cache", http.StatusNotFound)
		return
	}
	select {
	case e.exportSlot <- struct{}{}:
		defer func() { <-e.exportSlot }()
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	select {
	case <-time.After(time.Duration(float64(x.Tokens) / e.world.settings.Timing.KVTokensPerS * float64(time.Second))):
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return
	}
	writeJSON(rw, x)
}

// postImport fetches a request's KV cache from another engine and adds it to the cache.
func (e *engine) postImport(rw http.ResponseWriter, r *http.Request) {
	var m endpoint.Import
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if e.world.chance(e.world.Faults().RefuseKVImport) {
		http.Error(rw, "no room", http.StatusServiceUnavailable)
		return
	}
	x, err := e.fetch(r.Context(), m)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	e.cacheChain(x.Chain)
	e.imported[m.Request] = x.Generated
	e.mu.Unlock()
	e.world.mu.Lock()
	e.world.truth.KVMoves++
	e.world.truth.KVMovedTokens += x.Tokens
	e.world.mu.Unlock()
	writeJSON(rw, x)
}

// fetch gets an exported KV cache from another engine.
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
		return x, fmt.Errorf("export KV cache: status %d", resp.StatusCode)
	}
	return x, json.NewDecoder(resp.Body).Decode(&x)
}
