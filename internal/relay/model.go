package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const maxAvoided = 3 // most endpoints that a request avoids because it failed there last

// modelPool returns the class of a model call and the endpoints that serve its model. The class is
// set even when no endpoint serves the model.
func (r *Relay) modelPool(rec *record.Record) (*table.Class, *route.Pool, error) {
	class, err := r.class(rec)
	if err != nil {
		return nil, nil, err
	}
	pool := r.snapshot().Models[class.Model]
	if pool == nil || pool.Size == 0 {
		return class, nil, fault.New(fault.StepRoute, "", fault.KindRefused, notRunIf(rec.GeneratedID && !rec.Sent()), "no endpoint serves model %s", class.Model).WithRetryAt(r.Clock.Now().Add(retryAfter))
	}
	return class, pool, nil
}

// routeRequest returns the routing input for a model call.
func (r *Relay) routeRequest(rec *record.Record, class *table.Class) *route.Request {
	prompt := string(rec.Body)
	req := &route.Request{
		Session: xxhash.Sum64String(rec.Session), Chain: prefix.Chain(class.Model, prompt),
		Tokens: prefix.Tokens(prompt), Priority: rec.Priority, LatencyTarget: class.LatencyTarget,
		RecomputePenalty: class.RecomputePrice, Hall: r.Hall, Random: r.random(), Prefer: rec.Endpoint(), Limits: r.limits,
	}
	req.Version, req.Resumes = rec.Version()
	return req
}

// runModel runs a model call until its answer is complete, its deadline has passed or another
// instance owns the record. When an endpoint fails or leaves, it resumes the call at another one.
// req is the routing input, computed here if nil.
func (r *Relay) runModel(ctx context.Context, a *run, req *route.Request) {
	rec := a.rec
	ctx, deadline := r.Clock.WithDeadline(ctx, rec.Deadline, context.DeadlineExceeded)
	defer deadline.Stop()
	pause := resumePauseMin
	for {
		if f := r.checkQuarantine(ctx, rec); f != nil {
			r.fail(rec, f)
			return
		}
		class, pool, err := r.modelPool(rec)
		if class != nil && req == nil {
			req = r.routeRequest(rec, class)
		}
		if err == nil {
			req.Random = r.random()
			req.Version, req.Resumes = rec.Version()
			before := rec.Position()
			err = r.runOnce(ctx, a, pool, req)
			if err == nil || errors.Is(err, errHandedOver) {
				return
			}
			if rec.Position() > before {
				pause = resumePauseMin
				req.Avoid = req.Avoid[:0]
			}
		}
		if r.ctx.Err() != nil || context.Cause(ctx) == errHandedOver {
			return
		}
		if !r.Clock.Now().Before(rec.Deadline) {
			r.fail(rec, r.deadlineFailure(rec))
			return
		}
		if errors.Is(err, errMoved) {
			continue
		}
		r.Metrics.Resume("broken")
		select {
		case <-time.After(pause + time.Duration(r.random()%uint64(pause))):
		case <-ctx.Done():
		}
		pause = min(2*pause, resumePauseMax)
	}
}

// deadlineFailure returns the error of a request whose deadline has passed, with whether it can have
// run.
func (r *Relay) deadlineFailure(rec *record.Record) *fault.Error {
	run := fault.MayHaveRun
	switch {
	case rec.Position() > 0:
		run = fault.Ran
	case !rec.Sent():
		run = notRunIf(rec.GeneratedID)
	}
	return fault.New(fault.StepDispatch, "", fault.KindTimeout, run, "the deadline passed").WithRetryAt(r.Clock.Now())
}

// runOnce runs a model call at one endpoint, from the record's position on, until its answer is
// complete or the run fails. The error is errMoved or errHandedOver if the run was cancelled for
// that reason.
func (r *Relay) runOnce(ctx context.Context, a *run, pool *route.Pool, req *route.Request) error {
	rec := a.rec
	d, ok := r.chooseEndpoint(a, pool, req)
	if !ok {
		return fault.New(fault.StepRoute, "", fault.KindRefused, fault.MayHaveRun, "no endpoint takes the request")
	}
	e := d.Endpoint
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.runMu.Lock()
	a.endpoint, a.cancel = e, cancel
	r.runMu.Unlock()
	if rec.Owner() != r.Self {
		return errHandedOver
	}
	if r.snapshot().Models[e.Model].Find(e.ID) != e {
		return errMoved // the endpoint began to leave after it was chosen
	}
	if err := r.limits.Take(e.Key, r.Clock.Now()); err != nil {
		return fault.New(fault.StepDispatch, e.ID, fault.KindLimit, fault.MayHaveRun, "send: %w", err)
	}
	from := rec.Position()
	if from > 0 && rec.Endpoint() != e.ID {
		r.event(event.StreamResumed, zap.String("request", rec.ID), zap.String("endpoint", e.ID), zap.Int("position", from))
	}
	rec.SetEndpoint(e.ID, e.Version)
	rec.MarkSent()
	if e.Version != "" {
		r.markUpdated(rec) // the holder has to know the version before a caller has tokens of it
	}
	e.Begin(d.Uncached)
	defer e.End()
	e.Blocks.Add(req.Chain...)
	incarnation := r.suspects.incarnation(e)
	stream, err := r.Endpoints.Generate(ctx, e.Addr, &endpoint.Generate{
		Request: rec.ID, Session: rec.Session, Prompt: string(rec.Body), MaxTokens: rec.MaxTokens,
		Priority: rec.Priority, Seed: rec.Seed, ResumeFrom: from,
	}, r.Observer(e))
	if err == nil {
		defer stream.Close()
		err = r.readStream(rec, stream, func() { r.answerBegun(rec, incarnation) })
	}
	r.recordRun(ctx, rec, e, incarnation, rec.Position() > from, err)
	return r.recordOutcome(ctx, e, req, err)
}

// chooseEndpoint returns the endpoint that switchRun has set for the run, if that still accepts the
// request, or else the choice of the routing policy.
func (r *Relay) chooseEndpoint(a *run, pool *route.Pool, req *route.Request) (route.Decision, bool) {
	r.runMu.Lock()
	to := a.moveTo
	a.moveTo = nil
	r.runMu.Unlock()
	now := r.Clock.Now()
	if to != nil && pool.Find(to.ID) == to && req.Accepts(to, now) {
		return route.Estimate(to, req, now), true
	}
	return r.routingPolicy(r.snapshot().Table.System.Policy).Choose(pool, req, now)
}

// Observer returns a function that applies the signals in the response to a request that is sent
// now. An endpoint that is leaving gets no new requests, whether the instance list says so or not.
// One that requested a backoff gets no calls until the backoff ends. One that announces a rate limit
// gets no more requests than that.
func (r *Relay) Observer(e *route.Endpoint) endpoint.Observe {
	sent := r.Clock.Now()
	return func(n endpoint.Signals) {
		now := r.Clock.Now()
		r.limits.Observe(e.Key, n.RateLimit, sent, now)
		if n.Leaving {
			r.Control.Send(r.ctx, control.EndpointReportedLeaving{Endpoint: e})
		}
		if n.Backoff <= 0 {
			return
		}
		until := now.Add(n.Backoff)
		if e.SetBackoff(until, now) {
			r.event(event.EndpointBackoff, zap.String("endpoint", e.ID), zap.Duration("rest", n.Backoff), zap.Time("until", until))
		}
	}
}

// recordOutcome records the outcome of a run for the endpoint's failure detection and for the request's
// next routing decision. A run that was cancelled because the stream moves or was handed over does
// not count.
func (r *Relay) recordOutcome(ctx context.Context, e *route.Endpoint, req *route.Request, err error) error {
	if cause := context.Cause(ctx); cause == errMoved || cause == errHandedOver {
		return cause
	}
	if err == nil {
		e.Succeeded(0)
		return nil
	}
	if ctx.Err() != nil {
		return err
	}
	if e.Failed(r.Clock.Now()) {
		r.event(event.EndpointEjected, zap.String("endpoint", e.ID), zap.Error(err))
	}
	req.Prefer = ""
	req.Avoid = append(req.Avoid, e.ID)
	if over := len(req.Avoid) - maxAvoided; over > 0 {
		req.Avoid = req.Avoid[over:]
	}
	return err
}

// readStream appends the tokens of a stream to the record and finishes the record after the last one. It calls
// begun when the first token has come.
func (r *Relay) readStream(rec *record.Record, stream *endpoint.Stream, begun func()) error {
	first := true
	for {
		c, err := stream.Next()
		if err != nil {
			return err
		}
		if rec.Owner() != r.Self {
			return errHandedOver
		}
		if c.Text != "" {
			if first {
				first = false
				begun()
			}
			if c.Index == 0 {
				r.Metrics.FirstToken(rec.Class, r.Clock.Since(rec.ArrivedAt))
			}
			if err := rec.Append(c.Index, c.Text); err != nil {
				r.logInvariantBroken("tokens are appended in order and never change: "+err.Error(), rec)
				return fault.New(fault.StepStream, "", fault.KindInternal, fault.Ran, "%w", err)
			}
			r.markUpdated(rec)
		}
		if c.Done {
			r.finish(rec, record.Result{Status: statusOK})
			return nil
		}
	}
}
