package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

// Causes of the cancellation of a run.
var (
	errMoved      = errors.New("the stream is moving to another endpoint")
	errHandedOver = errors.New("the record is owned by another instance")
)

// Pauses between two attempts of a run. The pause of model calls doubles from the first to the
// second and is jittered; that of service calls stays at the first.
const (
	resumePauseMin = 20 * time.Millisecond
	resumePauseMax = 500 * time.Millisecond
)

// start runs a record that this instance owns, in the background. req is the routing input for a
// model call if it was computed before, which saves hashing the prompt again; it may be nil. If an
// earlier run of a repeatable record has not ended yet, the new one starts after it.
func (r *Relay) start(rec *record.Record, req *route.Request) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	a := &run{rec: rec, cancel: cancel}
	r.runMu.Lock()
	_, running := r.runs[rec.ID]
	if !running {
		r.runs[rec.ID] = a
	}
	r.runMu.Unlock()
	if running {
		cancel(nil)
		if !rec.Repeatable {
			r.logInvariantBroken("a request that may not be repeated has one run at a time", rec)
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

// startAgain starts a record after a pause, if this instance still owns it. It is for a record that
// came back to this instance while its earlier run was ending.
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

// running returns the current runs for which keep is true.
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

// finish ends a record with a result and passes the result on. "Not run" is never reported for a
// request of which bytes may have been sent: such a result is changed to "may have run" and logged
// as a broken invariant.
func (r *Relay) finish(rec *record.Record, res record.Result) {
	if f := res.Failure; f != nil {
		if f.Run == fault.NotRun && (rec.Sent() || rec.Position() > 0) {
			r.logInvariantBroken("not_run is reported only when it is certain", rec)
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
		r.markUpdated(rec)
	case res.Failure != nil && res.Failure.Run == fault.NotRun:
		r.releaseUnsent(rec) // nothing was sent, so a repeat may run
	default:
		r.publishResult(rec)
	}
}

// releaseUnsent releases the claim of a request of which nothing was sent, and removes its record.
func (r *Relay) releaseUnsent(rec *record.Record) {
	if s := r.snapshot(); s.View != nil && rec.Attempt() != "" {
		group := s.View.Group(claim.ShardOf(rec.ID))
		r.releaseVotes(rec, group, rec.Attempt(), rec.Deadline.Add(s.Table.System.Retention))
	}
	r.store.Remove(rec)
}

func (r *Relay) fail(rec *record.Record, f *fault.Error) { r.finish(rec, record.Result{Failure: f}) }
