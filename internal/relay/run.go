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

// Causes for which a run stops before its end.
var (
	errMoved      = errors.New("the stream moves to another endpoint")
	errHandedOver = errors.New("the record has another owner")
)

// Pauses between two tries of a run; the second doubles up to the most.
const (
	resumePauseMin = 20 * time.Millisecond
	resumePauseMax = 500 * time.Millisecond
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
		r.markUpdated(rec)
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
