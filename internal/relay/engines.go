package relay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/drain"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

const (
	kvExportRate    = 50_000.0 // assumed KV cache export rate of an engine in tokens per second, shared by all entry instances
	moveTimeout     = 20 * time.Second
	idleMoveMargin  = 200 * time.Millisecond // moves of idle caches end this long before the engine's deadline
	sendGracePeriod = 50 * time.Millisecond  // lets requests that are being sent to the engine start there, so that the plan includes them
)

// drainEndpoint moves the streams that this instance runs on a leaving model engine to other
// engines, as drain.Plan decides, and then the idle KV caches. Other kinds of endpoints have no
// streams to move.
func (r *Relay) drainEndpoint(e control.EndpointLeaving) {
	r.event(event.EndpointLeaving, zap.String("endpoint", e.Endpoint.ID), zap.Time("deadline", e.Deadline))
	if e.Kind != platform.KindModel {
		return
	}
	select {
	case <-time.After(sendGracePeriod):
	case <-r.ctx.Done():
		return
	}
	s := r.snapshot()
	runs := make(map[string]*run)
	var streams []drain.Stream
	for _, a := range r.running(func(a *run) bool { return a.endpoint == e.Endpoint }) {
		runs[a.rec.ID] = a
		pos := a.rec.Position()
		streams = append(streams, drain.Stream{ID: a.rec.ID, Remaining: a.rec.MaxTokens - pos, KVTokens: len(a.rec.Body)/4 + pos})
	}
	limits := drain.Limits{
		Deadline: e.Deadline, TokenInterval: e.Endpoint.Load().TokenInterval, MoveKV: s.Table.System.MoveKV,
		KVTokensPerSecond: kvExportRate / float64(1+len(s.Members)),
	}
	moves := make(chan struct{}, 1) // one export at a time, since all share the engine's network link
	for _, act := range drain.Plan(streams, limits, r.Clock.Now()) {
		if act.Strategy == drain.Finish {
			continue
		}
		r.wait.Go(func() { r.moveStream(runs[act.ID], e, act, moves) })
	}
	if limits.MoveKV {
		r.moveIdle(e, moves)
	}
}

// maxIdleMoves limits the idle caches that this instance moves from one leaving engine.
const maxIdleMoves = 500

// idleCaches returns, for each session whose KV cache is on the engine, its finished record
// with the longest prompt, newest first, at most maxIdleMoves of them. Prompts shorter than a cache
// block are left out.
func (r *Relay) idleCaches(e *route.Endpoint) []*record.Record {
	last := make(map[string]*record.Record)
	done := r.store.Filter(func(rec *record.Record) bool {
		return rec.Kind == record.KindModel && rec.Endpoint() == e.ID && rec.Done() && len(rec.Body) >= prefix.BlockBytes
	})
	for _, rec := range done {
		if old, ok := last[rec.Session]; !ok || len(rec.Body) > len(old.Body) {
			last[rec.Session] = rec
		}
	}
	out := slices.SortedFunc(maps.Values(last), func(a, b *record.Record) int { return b.ArrivedAt.Compare(a.ArrivedAt) })
	return out[:min(len(out), maxIdleMoves)]
}

// moveIdle moves the KV caches of sessions without a running request to the engines that routing
// prefers for these sessions (their homes) once the leaving engine is gone. Every entry instance
// computes the same homes, so the next turn of a session finds its cache. Caches of running
// streams usually move first, since drainEndpoint starts their moves first.
func (r *Relay) moveIdle(e control.EndpointLeaving, moves chan struct{}) {
	limit := e.Deadline.Add(-idleMoveMargin)
	if e.Deadline.IsZero() {
		limit = r.Clock.Now().Add(moveTimeout)
	}
	ctx, deadline := r.Clock.WithDeadline(r.ctx, limit, context.DeadlineExceeded)
	defer deadline.Stop()
	for _, rec := range r.idleCaches(e.Endpoint) {
		class, pool, err := r.modelPool(rec)
		if err != nil || ctx.Err() != nil {
			return
		}
		var home [1]*route.Endpoint
		if route.AffinityEndpoints(pool, xxhash.Sum64String(rec.Session), home[:]) == 0 {
			return
		}
		chain := prefix.Chain(class.Model, string(rec.Body))
		if home[0].Version != e.Endpoint.Version {
			continue // what one version keeps is of no use to another
		}
		if home[0].InBackoff(r.Clock.Now()) || home[0].Blocks.Held(chain) == len(chain) {
			continue // it requested a backoff, or another instance moved the cache of a later turn
		}
		moves <- struct{}{}
		x, err := r.Endpoints.Import(ctx, home[0].Addr, endpoint.Import{Request: rec.ID, From: e.Endpoint.Addr}, r.Observer(home[0]))
		<-moves
		if err == nil {
			home[0].Blocks.Add(x.Chain...)
		}
	}
}

// moveStream moves one stream off a leaving engine at the planned time. A stream whose KV cache
// cannot be moved is recomputed at another engine.
func (r *Relay) moveStream(a *run, e control.EndpointLeaving, act drain.Action, moves chan struct{}) {
	select {
	case <-time.After(r.Clock.Until(act.StartAt)):
	case <-r.ctx.Done():
		return
	}
	if act.Strategy == drain.Move {
		moves <- struct{}{}
		ok := r.moveKV(a, e)
		<-moves
		if ok {
			return
		}
	}
	r.switchRun(a, e.Endpoint, nil, "recompute")
}

// moveKV lets another engine import the stream's KV cache and then switches the stream over. The
// stream continues on the leaving engine during the transfer. It returns false if the stream has
// to be recomputed instead.
func (r *Relay) moveKV(a *run, e control.EndpointLeaving) bool {
	rec := a.rec
	class, pool, err := r.modelPool(rec)
	if err != nil || rec.Done() {
		return rec.Done()
	}
	req := r.routeRequest(rec, class)
	req.Prefer, req.RecomputePenalty, req.Session = "", 0, r.random() // a random session spreads the streams over the other engines
	d, ok := r.routingPolicy(route.PolicyDefault).Choose(pool, req, r.Clock.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, moveTimeout)
	defer cancel()
	d.Endpoint.Begin(0) // counts as load of the target during the transfer
	defer d.Endpoint.End()
	x, err := r.Endpoints.Import(ctx, d.Endpoint.Addr, endpoint.Import{Request: rec.ID, From: e.Endpoint.Addr}, r.Observer(d.Endpoint))
	if err != nil {
		r.event(event.KVMoveFailed, zap.String("request", rec.ID), zap.Error(err))
		return false
	}
	d.Endpoint.Blocks.Add(x.Chain...)
	r.event(event.KVMoved, zap.String("request", rec.ID), zap.String("to", d.Endpoint.ID), zap.Int("tokens", x.Tokens))
	r.switchRun(a, e.Endpoint, d.Endpoint, "moved")
	return true
}

// switchRun cancels the run of a stream at one engine, so that it resumes at another: to, or one
// that the routing policy chooses if to is nil. It does nothing if the run has left the engine or
// has ended. cause labels the resume in the metrics.
func (r *Relay) switchRun(a *run, from, to *route.Endpoint, cause string) {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	if a.endpoint != from || a.rec.Done() {
		return
	}
	a.moveTo = to
	a.cancel(errMoved)
	r.Metrics.Resume(cause)
}
