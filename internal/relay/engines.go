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
	kvRateTotal  = 50_000.0 // tokens of KV cache an engine is taken to export per second
	moveTimeout  = 20 * time.Second
	idleMargin   = 200 * time.Millisecond // kept free before the engine goes
	leaveNoticed = 50 * time.Millisecond  // for requests that were just being sent
)

// drainEndpoint carries out the plan for the streams on an engine that leaves.
func (r *Relay) drainEndpoint(e control.EndpointLeaving) {
	r.event(event.EndpointLeaving, zap.String("endpoint", e.Endpoint.ID), zap.Time("deadline", e.Deadline))
	if e.Kind != platform.KindModel {
		return
	}
	select {
	case <-time.After(leaveNoticed):
	case <-r.ctx.Done():
		return
	}
	s := r.snap()
	runs := make(map[string]*run)
	var streams []drain.Stream
	for _, a := range r.running(func(a *run) bool { return a.endpoint == e.Endpoint }) {
		runs[a.rec.ID] = a
		pos := a.rec.Position()
		streams = append(streams, drain.Stream{ID: a.rec.ID, Remaining: a.rec.MaxTokens - pos, KVTokens: len(a.rec.Body)/4 + pos})
	}
	limits := drain.Limits{
		Deadline: e.Deadline, Step: e.Endpoint.Load().Step, MoveKV: s.Table.System.MoveKV,
		KVRate: kvRateTotal / float64(1+len(s.Members)),
	}
	moves := make(chan struct{}, 1) // one export at a time: they share the engine's link
	for _, act := range drain.Plan(streams, limits, r.Clock.Now()) {
		if act.Way == drain.Finish {
			continue
		}
		r.wait.Go(func() { r.leaveEngine(runs[act.ID], e, act, moves) })
	}
	if limits.MoveKV {
		r.moveIdle(e, moves)
	}
}

// idleMost bounds how many idle caches one instance moves from one engine.
const idleMost = 500

// idleCaches returns the last record here of each conversation whose cache is
// on an engine, the newest first.
func (r *Relay) idleCaches(e *route.Endpoint) []*record.Record {
	last := make(map[string]*record.Record)
	done := r.store.All(func(rec *record.Record) bool {
		return rec.Kind == record.KindModel && rec.Endpoint() == e.ID && rec.Done() && len(rec.Body) >= prefix.BlockBytes
	})
	for _, rec := range done {
		if old, ok := last[rec.Session]; !ok || len(rec.Body) > len(old.Body) {
			last[rec.Session] = rec
		}
	}
	out := slices.SortedFunc(maps.Values(last), func(a, b *record.Record) int { return b.Arrived.Compare(a.Arrived) })
	return out[:min(len(out), idleMost)]
}

// moveIdle moves the caches of conversations that are between two turns to the
// homes that these have once the engine is gone, where every entry instance
// will look for them. What runs goes first: it has the slot before.
func (r *Relay) moveIdle(e control.EndpointLeaving, moves chan struct{}) {
	limit := e.Deadline.Add(-idleMargin)
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
		if route.Homes(pool, xxhash.Sum64String(rec.Session), home[:]) == 0 {
			return
		}
		chain := prefix.Chain(class.Model, string(rec.Body))
		if home[0].AskedForRest(r.Clock.Now()) || home[0].Blocks.Held(chain) == len(chain) {
			continue // it wants no calls, or another instance moved a later turn of it
		}
		moves <- struct{}{}
		x, err := r.Endpoints.Import(ctx, home[0].Addr, endpoint.Import{Request: rec.ID, From: e.Endpoint.Addr}, r.Observer(home[0]))
		<-moves
		if err == nil {
			home[0].Blocks.Add(x.Chain...)
		}
	}
}

// leaveEngine takes one stream away from an engine.
func (r *Relay) leaveEngine(a *run, e control.EndpointLeaving, act drain.Action, moves chan struct{}) {
	select {
	case <-time.After(r.Clock.Until(act.At)):
	case <-r.ctx.Done():
		return
	}
	if act.Way == drain.Move {
		moves <- struct{}{}
		ok := r.moveKV(a, e)
		<-moves
		if ok {
			return
		}
	}
	r.switchRun(a, e.Endpoint, nil, "recompute")
}

// moveKV has another engine import the stream's cache and switches over. While
// the cache is on its way the stream goes on where it is.
func (r *Relay) moveKV(a *run, e control.EndpointLeaving) bool {
	rec := a.rec
	class, pool, err := r.modelPool(rec)
	if err != nil || rec.Done() {
		return rec.Done()
	}
	req := r.routeRequest(rec, class)
	req.Prefer, req.Recompute, req.Session = "", 0, r.draw() // spread the receivers
	d, ok := r.routing(route.PolicyDefault).Choose(pool, req, r.Clock.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, moveTimeout)
	defer cancel()
	d.Endpoint.Begin(0) // counts towards its load while the cache is on its way
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

// switchRun makes a stream go on at another engine, chosen by the policy when
// to is nil.
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
