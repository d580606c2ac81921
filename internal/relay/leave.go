package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/drain"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

const (
	leavePoll       = 30 * time.Millisecond
	handoverShare   = 0.5                     // share of a notice after which records are handed over
	handoverSend    = 100 * time.Millisecond  // kept for the last messages
	claimsWait      = 6 * time.Second         // most that a planned stop waits for its claims to be collected
	collectWait     = 1200 * time.Millisecond // for the keepers of a new view to collect the claims kept here
	followersWait   = 500 * time.Millisecond  // for callers that follow through this instance
	heldWait        = 1500 * time.Millisecond // for owners to place second copies elsewhere
	handoverAgain   = 150 * time.Millisecond
	handoverAtOnce  = 32 // handovers in flight
	handoverTimeout = time.Second
)

// Leave gives away all that this instance holds and returns the number of
// requests that it could not give away. by is when the instance goes; for a
// planned stop it is zero and the table's stop deadline counts.
func (r *Relay) Leave(ctx context.Context, by time.Time) int {
	r.draining.Store(true)
	start := time.Now()
	planned := by.IsZero()
	var handover time.Time
	if planned {
		handover = start.Add(r.stopDeadline())
		by = handover.Add(handoverTimeout + claimsWait)
	} else {
		handover = start.Add(time.Duration(float64(by.Sub(start)) * handoverShare))
	}
	limit := by.Add(-handoverSend)
	r.waitUntil(ctx, handover, r.ownsNothing)
	r.giveAway(ctx, limit)
	r.waitUntil(ctx, earlier(limit, time.Now().Add(heldWait)), r.newsDelivered)
	if planned {
		limit = earlier(limit, time.Now().Add(claimsWait))
	}
	r.waitUntil(ctx, limit, r.replaced)
	if planned {
		r.waitUntil(ctx, time.Now().Add(followersWait), func() bool { return false })
		limit = by.Add(-handoverSend)
	}
	// The death of another instance may have made this one the owner of its
	// records meanwhile.
	r.giveAway(ctx, limit)
	left := r.owned()
	for _, rec := range left {
		r.Log.Warn("left behind", zap.String("request", rec.ID), zap.String("class", rec.Class), zap.Int("position", rec.Position()))
	}
	return len(left)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Relay) ownsNothing() bool { return len(r.owned()) == 0 }

// giveAway hands over what runs here, again and again, since a target may
// refuse or die, until nothing is left or the limit comes.
func (r *Relay) giveAway(ctx context.Context, limit time.Time) {
	for !r.Switches.NoHandover && !r.ownsNothing() && time.Now().Before(limit) && ctx.Err() == nil {
		r.handOver(ctx, limit)
		r.waitUntil(ctx, earlier(limit, time.Now().Add(handoverAgain)), r.ownsNothing)
	}
	r.waitUntil(ctx, limit, r.ownsNothing)
}

func (r *Relay) stopDeadline() time.Duration {
	if s := r.snap(); s.Table != nil {
		return s.Table.System.StopDeadline
	}
	return 0
}

// owned returns the unfinished records that this instance runs.
func (r *Relay) owned() []*record.Record {
	return r.store.All(func(rec *record.Record) bool { return rec.Owner() == r.Self && !rec.Done() })
}

// newsDelivered reports whether all holders know all there is to know, and all
// results of requests that may not be repeated are with their keepers.
func (r *Relay) newsDelivered() bool {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	return len(r.news) == 0
}

// replaced reports whether a view without this instance is in force and its
// keepers have had time to collect the claims kept here.
func (r *Relay) replaced() bool {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	v := r.keeper.View()
	return v == nil || !v.Has(r.Self) && time.Since(r.installedAt) > collectWait
}

func (r *Relay) waitUntil(ctx context.Context, limit time.Time, ok func() bool) {
	for !ok() && time.Now().Before(limit) && ctx.Err() == nil {
		select {
		case <-time.After(leavePoll):
		case <-ctx.Done():
		}
	}
}

// handOver gives the running records to other owners, the most urgent first.
func (r *Relay) handOver(ctx context.Context, by time.Time) {
	records := r.owned()
	slices.SortFunc(records, func(a, b *record.Record) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.Deadline.Compare(b.Deadline))
	})
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	slots := make(chan struct{}, handoverAtOnce)
	for _, rec := range records {
		if !rec.Repeatable {
			continue // its call is on its way; only its answer can be waited for
		}
		slots <- struct{}{}
		r.wait.Go(func() {
			defer func() { <-slots }()
			r.handOverOne(ctx, rec)
		})
	}
	for range handoverAtOnce {
		slots <- struct{}{}
	}
}

func (r *Relay) handOverOne(ctx context.Context, rec *record.Record) {
	s := r.snap()
	targets := r.seconds(s, rec.ID)
	if m, ok := s.Member(rec.Holder()); ok && m.Usable() {
		targets = append(targets[:0:0], m)
		targets = append(targets, r.seconds(s, rec.ID)...)
	}
	for _, m := range targets {
		call := &peerpb.Call{Body: &peerpb.Call_Handover{Handover: &peerpb.Handover{Record: peer.ToRecord(rec)}}}
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_, err := r.Peers.Call(ctx, m.Addr, call)
		cancel()
		if err != nil {
			continue
		}
		rec.SetOwner(m.ID)
		r.cancelRun(rec.ID, errHandedOver)
		return
	}
}

func (r *Relay) cancelRun(id string, cause error) {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	if a, ok := r.runs[id]; ok {
		a.cancel(cause)
	}
}

const (
	kvRateTotal  = 50_000.0 // tokens of KV cache an engine is taken to export per second
	moveTimeout  = 20 * time.Second
	leaveNoticed = 50 * time.Millisecond // for requests that were just being sent
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
	for _, act := range drain.Plan(streams, limits, time.Now()) {
		if act.Way == drain.Finish {
			continue
		}
		r.wait.Go(func() { r.leaveEngine(runs[act.ID], e, act, moves) })
	}
}

// leaveEngine takes one stream away from an engine.
func (r *Relay) leaveEngine(a *run, e control.EndpointLeaving, act drain.Action, moves chan struct{}) {
	select {
	case <-time.After(time.Until(act.At)):
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
	d, ok := r.routing(route.PolicyDefault).Choose(pool, req, time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, moveTimeout)
	defer cancel()
	d.Endpoint.Begin(0) // counts towards its load while the cache is on its way
	defer d.Endpoint.End()
	x, err := r.Endpoints.Import(ctx, d.Endpoint.Addr, endpoint.Import{Request: rec.ID, From: e.Endpoint.Addr})
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
