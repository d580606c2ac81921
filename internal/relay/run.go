package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Causes for which a run stops before its end.
var (
	errMoved      = errors.New("the stream moves to another endpoint")
	errHandedOver = errors.New("the record has another owner")
)

const (
	resumePauseMin = 20 * time.Millisecond
	resumePauseMax = 500 * time.Millisecond
	avoidMost      = 3 // endpoints remembered as having failed a request
)

// start runs a record that this instance owns. req is what routing has to know
// of a model call, if that was worked out before; it spares hashing the prompt
// again.
func (r *Relay) start(rec *record.Record, req *route.Request) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	a := &run{rec: rec, cancel: cancel}
	r.runMu.Lock()
	_, twice := r.runs[rec.ID]
	if !twice {
		r.runs[rec.ID] = a
	}
	r.runMu.Unlock()
	if twice {
		cancel(nil)
		if !rec.Repeatable {
			r.broken("one runner for a request that may not be repeated", rec)
			return
		}
		r.wait.Go(func() { r.startAgain(rec) })
		return
	}
	r.wait.Go(func() {
		defer cancel(nil)
		if rec.Kind == record.KindModel {
			r.runModel(ctx, a, req)
		} else {
			r.runService(ctx, a)
		}
		r.runMu.Lock()
		delete(r.runs, rec.ID)
		r.runMu.Unlock()
	})
}

// startAgain runs a record that came back while its earlier run was ending.
func (r *Relay) startAgain(rec *record.Record) {
	select {
	case <-time.After(resumePauseMin):
	case <-r.ctx.Done():
		return
	}
	if rec.Owner() == r.Self && !rec.Done() {
		r.start(rec, nil)
	}
}

// running returns the runs for which keep is true.
func (r *Relay) running(keep func(*run) bool) []*run {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	var out []*run
	for _, a := range r.runs {
		if keep(a) {
			out = append(out, a)
		}
	}
	return out
}

// finish ends a record. It keeps the promise that "not run" is never said of a
// request of which bytes may have left.
func (r *Relay) finish(rec *record.Record, res record.Result) {
	if f := res.Failure; f != nil {
		if f.Run == fault.NotRun && (rec.Sent() || rec.Position() > 0) {
			r.broken("not_run is said only when it is certain", rec)
			f.Run = fault.MayHaveRun
		}
		r.event(event.RequestFailed, zap.String("request", rec.ID), zap.String("run", f.Run.String()), zap.Error(f))
	}
	if !rec.Finish(res) {
		return
	}
	outcome := "answered"
	if res.Failure != nil {
		outcome = res.Failure.Run.String()
	}
	r.Metrics.Request(rec.Class, outcome)
	switch {
	case rec.Repeatable:
		r.noteNews(rec)
	case res.Failure != nil && res.Failure.Run == fault.NotRun:
		r.giveBack(rec) // nothing ran: a repeat may try again
	default:
		r.publishResult(rec)
	}
}

// giveBack releases the claim of a request of which nothing was sent.
func (r *Relay) giveBack(rec *record.Record) {
	if s := r.snap(); s.View != nil && rec.Attempt() != "" {
		group := s.View.Group(claim.ShardOf(rec.ID))
		r.release(rec, group, rec.Attempt(), rec.Deadline.Add(s.Table.System.Retention))
	}
	r.store.Remove(rec)
}

func (r *Relay) fail(rec *record.Record, f *fault.Error) { r.finish(rec, record.Result{Failure: f}) }

func (r *Relay) modelPool(rec *record.Record) (*table.Class, *route.Pool, error) {
	class, err := r.class(rec)
	if err != nil {
		return nil, nil, err
	}
	pool := r.snap().Models[class.Model]
	if pool == nil || pool.Size == 0 {
		return class, nil, fault.New(fault.StepRoute, "", fault.KindRefused, notRunIf(rec.Fresh && !rec.Sent()), "no endpoint serves model %s", class.Model).Retry(time.Now().Add(retryAfter))
	}
	return class, pool, nil
}

func (r *Relay) routeRequest(rec *record.Record, class *table.Class) *route.Request {
	prompt := string(rec.Body)
	return &route.Request{
		Session: xxhash.Sum64String(rec.Session), Chain: prefix.Chain(class.Model, prompt),
		Tokens: prefix.Tokens(prompt), Priority: rec.Priority, Target: class.Target,
		Recompute: class.Recompute, Hall: r.Hall, Draw: r.draw(), Prefer: rec.Endpoint(),
	}
}

// runModel runs a model call until its whole answer is there, going on at
// another endpoint whenever one breaks or leaves.
func (r *Relay) runModel(ctx context.Context, a *run, req *route.Request) {
	rec := a.rec
	ctx, cancel := context.WithDeadline(ctx, rec.Deadline)
	defer cancel()
	pause := resumePauseMin
	for {
		class, pool, err := r.modelPool(rec)
		if class != nil && req == nil {
			req = r.routeRequest(rec, class)
		}
		if err == nil {
			req.Draw = r.draw()
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
		if !time.Now().Before(rec.Deadline) {
			r.fail(rec, lateFailure(rec))
			return
		}
		if errors.Is(err, errMoved) {
			continue
		}
		r.Metrics.Resume("broken")
		select {
		case <-time.After(pause + time.Duration(r.draw()%uint64(pause))):
		case <-ctx.Done():
		}
		pause = min(2*pause, resumePauseMax)
	}
}

func lateFailure(rec *record.Record) *fault.Error {
	run := fault.MayHaveRun
	switch {
	case rec.Position() > 0:
		run = fault.Ran
	case !rec.Sent():
		run = notRunIf(rec.Fresh)
	}
	return fault.New(fault.StepDispatch, "", fault.KindTimeout, run, "the deadline passed").Retry(time.Now())
}

// runOnce runs the rest of a model call at one endpoint.
func (r *Relay) runOnce(ctx context.Context, a *run, pool *route.Pool, req *route.Request) error {
	rec := a.rec
	d, ok := r.choose(a, pool, req)
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
	if r.snap().Models[e.Model].Find(e.ID) != e {
		return errMoved // it began to leave since it was chosen
	}
	from := rec.Position()
	if from > 0 && rec.Endpoint() != e.ID {
		r.event(event.RequestResumed, zap.String("request", rec.ID), zap.String("endpoint", e.ID), zap.Int("position", from))
	}
	rec.SetEndpoint(e.ID)
	rec.MarkSent()
	e.Begin(d.Uncached)
	defer e.End()
	e.Blocks.Add(req.Chain...)
	stream, err := r.Endpoints.Generate(ctx, e.Addr, &endpoint.Generate{
		Request: rec.ID, Session: rec.Session, Prompt: string(rec.Body), MaxTokens: rec.MaxTokens,
		Priority: rec.Priority, Seed: rec.Seed, ResumeFrom: from,
	})
	if err == nil {
		defer stream.Close()
		err = r.read(rec, stream)
	}
	return r.judge(ctx, e, req, err)
}

// choose takes the endpoint that a move has prepared, if it still takes work,
// or asks the policy.
func (r *Relay) choose(a *run, pool *route.Pool, req *route.Request) (route.Decision, bool) {
	r.runMu.Lock()
	to := a.moveTo
	a.moveTo = nil
	r.runMu.Unlock()
	now := time.Now()
	if to != nil && pool.Find(to.ID) == to {
		return route.Estimate(to, req, now), true
	}
	return r.routing(r.snap().Table.System.Policy).Choose(pool, req, now)
}

// judge notes how an endpoint did. A stream that was cancelled on purpose says
// nothing about it.
func (r *Relay) judge(ctx context.Context, e *route.Endpoint, req *route.Request, err error) error {
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
	if errors.Is(err, endpoint.ErrLeaving) {
		r.Control.Send(r.ctx, control.Refused{Endpoint: e})
	}
	if e.Failed(time.Now()) {
		r.event(event.EndpointEjected, zap.String("endpoint", e.ID), zap.Error(err))
	}
	req.Prefer = ""
	req.Avoid = append(req.Avoid, e.ID)
	if over := len(req.Avoid) - avoidMost; over > 0 {
		req.Avoid = req.Avoid[over:]
	}
	return err
}

// read appends the stream's tokens to the record.
func (r *Relay) read(rec *record.Record, stream *endpoint.Stream) error {
	for {
		c, err := stream.Next()
		if err != nil {
			return err
		}
		if rec.Owner() != r.Self {
			return errHandedOver
		}
		if c.Text != "" {
			if c.Index == 0 {
				r.Metrics.FirstToken(rec.Class, time.Since(rec.Arrived))
			}
			if err := rec.Append(c.Index, c.Text); err != nil {
				r.broken("positions only grow: "+err.Error(), rec)
				return fault.New(fault.StepStream, "", fault.KindInternal, fault.Ran, "%w", err)
			}
			r.noteNews(rec)
		}
		if c.Done {
			r.finish(rec, record.Result{Status: statusOK})
			return nil
		}
	}
}

const statusOK = 200

// runService runs a service call: once if it may not be repeated, else until
// an endpoint answers or the retry budget or the time is used up.
func (r *Relay) runService(ctx context.Context, a *run) {
	rec := a.rec
	ctx, cancel := context.WithDeadline(ctx, rec.Deadline)
	defer cancel()
	class, err := r.class(rec)
	if err != nil {
		r.fail(rec, fault.As(err))
		return
	}
	budget := r.retryBudget(class)
	budget.first()
	name, path := splitTarget(rec.Target)
	req := &route.Request{Hall: r.Hall, Priority: rec.Priority}
	for {
		req.Draw = r.draw()
		err := r.callOnce(ctx, rec, name, path, req)
		if err == nil {
			return
		}
		f := fault.As(err)
		mayRepeat := rec.Repeatable || f.Run == fault.NotRun
		switch {
		case ctx.Err() != nil && !time.Now().Before(rec.Deadline):
			r.fail(rec, lateFailure(rec))
			return
		case !mayRepeat:
			r.event(event.OutcomeUnknown, zap.String("request", rec.ID), zap.Error(f))
			r.fail(rec, f)
			return
		case !budget.retry():
			r.fail(rec, f.Retry(time.Now().Add(retryAfter)))
			return
		}
		select {
		case <-time.After(resumePauseMin):
		case <-ctx.Done():
		}
	}
}

// callOnce makes one call at one endpoint.
func (r *Relay) callOnce(ctx context.Context, rec *record.Record, name, path string, req *route.Request) error {
	pool := r.snap().Services[name]
	if pool == nil {
		pool = route.NewPool(name)
	}
	now := time.Now()
	d, ok := route.ServicePolicy{}.Choose(pool, req, now)
	if !ok {
		return fault.New(fault.StepRoute, "", fault.KindRefused, r.notSent(rec), "no endpoint serves %s", name)
	}
	e := d.Endpoint
	rec.SetEndpoint(e.ID)
	e.Begin(0)
	defer e.End()
	if rec.Repeatable {
		rec.MarkSent()
	}
	key := ""
	if !rec.Repeatable {
		key = rec.ID
	}
	ans, err := r.Endpoints.Call(ctx, e.Addr, path, rec.ContentType, key, rec.Body)
	if err != nil {
		f := fault.As(err)
		if f.Run != fault.NotRun {
			rec.MarkSent()
		}
		if ctx.Err() == nil && e.Failed(time.Now()) {
			r.event(event.EndpointEjected, zap.String("endpoint", e.ID), zap.Error(err))
		}
		req.Avoid = append(req.Avoid, e.ID)
		if f.Run == fault.NotRun {
			f.Run = r.notSent(rec)
		}
		return f
	}
	rec.MarkSent()
	e.Succeeded(time.Since(now))
	r.Metrics.Service(rec.Class, time.Since(rec.Arrived))
	r.finish(rec, record.Result{Status: ans.Status, ContentType: ans.ContentType, Body: ans.Body})
	return nil
}

// notSent says what is known of a call of which this run sent nothing.
func (r *Relay) notSent(rec *record.Record) fault.Run {
	if rec.Sent() {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

func splitTarget(target string) (name, path string) {
	for i := range len(target) {
		if target[i] == '/' {
			return target[:i], target[i+1:]
		}
	}
	return target, ""
}

// retryBudget bounds retries to a share of the first tries, so that a fault
// cannot multiply the load.
type retryBudget struct {
	r      *Relay
	share  float64
	credit float64 // guarded by Relay.retryMu
}

const retryCreditMost = 20

func (r *Relay) retryBudget(c *table.Class) *retryBudget {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	b, ok := r.retries[c.Name]
	if !ok {
		b = &retryBudget{r: r, credit: retryCreditMost}
		r.retries[c.Name] = b
	}
	b.share = c.RetryShare
	return b
}

func (b *retryBudget) first() {
	b.r.retryMu.Lock()
	defer b.r.retryMu.Unlock()
	b.credit = min(b.credit+b.share, retryCreditMost)
}

func (b *retryBudget) retry() bool {
	b.r.retryMu.Lock()
	defer b.r.retryMu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
