package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const statusOK = 200

// runService runs a service call until an endpoint answers, the retry budget is used up or the
// deadline has passed. A call that may not be repeated is tried again only if the failed attempt
// certainly did not run.
func (r *Relay) runService(ctx context.Context, a *run) {
	rec := a.rec
	ctx, deadline := r.Clock.WithDeadline(ctx, rec.Deadline, context.DeadlineExceeded)
	defer deadline.Stop()
	class, err := r.class(rec)
	if err != nil {
		r.fail(rec, fault.As(err))
		return
	}
	budget := r.retryBudget(class)
	budget.recordFirstAttempt()
	name, path := splitTarget(rec.Target)
	req := &route.Request{Hall: r.Hall, Priority: rec.Priority, Limits: r.limits}
	for {
		req.Random = r.random()
		err := r.callOnce(ctx, rec, name, path, req)
		if err == nil {
			return
		}
		f := fault.As(err)
		mayRepeat := rec.Repeatable || f.Run == fault.NotRun
		switch {
		case ctx.Err() != nil && !r.Clock.Now().Before(rec.Deadline):
			r.fail(rec, r.deadlineFailure(rec))
			return
		case !mayRepeat:
			r.event(event.OutcomeUnknown, zap.String("request", rec.ID), zap.Error(f))
			r.fail(rec, f)
			return
		case !budget.takeRetry():
			r.fail(rec, f.WithRetryAt(r.Clock.Now().Add(retryAfter)))
			return
		}
		select {
		case <-time.After(resumePauseMin):
		case <-ctx.Done():
		}
	}
}

// callOnce chooses an endpoint, sends it the call and finishes the record with its answer. It adds
// an endpoint that failed to req.Avoid.
func (r *Relay) callOnce(ctx context.Context, rec *record.Record, name, path string, req *route.Request) error {
	pool := r.snapshot().Services[name]
	if pool == nil {
		pool = route.NewPool(name)
	}
	now := r.Clock.Now()
	d, ok := route.ServicePolicy{}.Choose(pool, req, now)
	if !ok {
		return fault.New(fault.StepRoute, "", fault.KindRefused, r.runIfUnsent(rec), "no endpoint serves %s", name)
	}
	e := d.Endpoint
	if err := r.limits.Take(e.Key, now); err != nil {
		return fault.New(fault.StepDispatch, e.ID, fault.KindLimit, r.runIfUnsent(rec), "send: %w", err)
	}
	rec.SetEndpoint(e.ID, e.Version)
	e.Begin(0)
	defer e.End()
	if rec.Repeatable {
		rec.MarkSent()
	}
	key := ""
	if !rec.Repeatable {
		key = rec.ID
	}
	ans, err := r.Endpoints.Call(ctx, e.Addr, path, rec.ContentType, key, rec.Body, r.Observer(e))
	if err != nil {
		f := fault.As(err)
		if f.Run != fault.NotRun {
			rec.MarkSent()
		}
		if ctx.Err() == nil && e.Failed(r.Clock.Now()) {
			r.event(event.EndpointEjected, zap.String("endpoint", e.ID), zap.Error(err))
		}
		req.Avoid = append(req.Avoid, e.ID)
		if f.Run == fault.NotRun {
			f.Run = r.runIfUnsent(rec)
		}
		return f
	}
	rec.MarkSent()
	e.Succeeded(r.Clock.Since(now))
	r.Metrics.Service(rec.Class, r.Clock.Since(rec.ArrivedAt))
	r.finish(rec, record.Result{Status: ans.Status, ContentType: ans.ContentType, Body: ans.Body})
	return nil
}

// runIfUnsent returns whether a call can have run of which the current attempt sent nothing: an earlier
// attempt may have sent it.
func (r *Relay) runIfUnsent(rec *record.Record) fault.Run {
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

// retryBudget limits the retries of a class to a share of its first attempts, so that failures
// cannot multiply the load. It holds a credit: each first attempt adds the share, up to
// maxRetryCredit, and each retry takes 1.
type retryBudget struct {
	r      *Relay
	share  float64
	credit float64 // guarded by Relay.retryMu
}

const maxRetryCredit = 20

func (r *Relay) retryBudget(c *table.Class) *retryBudget {
	r.retryMu.Lock()
	defer r.retryMu.Unlock()
	b, ok := r.retries[c.Name]
	if !ok {
		b = &retryBudget{r: r, credit: maxRetryCredit}
		r.retries[c.Name] = b
	}
	b.share = c.RetryShare
	return b
}

func (b *retryBudget) recordFirstAttempt() {
	b.r.retryMu.Lock()
	defer b.r.retryMu.Unlock()
	b.credit = min(b.credit+b.share, maxRetryCredit)
}

func (b *retryBudget) takeRetry() bool {
	b.r.retryMu.Lock()
	defer b.r.retryMu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
