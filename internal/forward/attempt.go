package forward

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Bounds of attempts.
const (
	leastLeft       = 20 * time.Millisecond // with less time left no server is asked
	onceIdle        = 3 * time.Second       // connections idle for longer are not used for what runs once
	spareConns      = 4                     // connections to a server that a node may always have
	maxResumes      = 4                     // servers that go on with one stream
	connectFailures = 3                     // servers that may be found dead before a request is given up on
)

// run sends a request to servers until one answers or it is given up on.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, q *request) {
	var last *denial
	unreached := 0
	for {
		out := h.try(ctx, w, q, last, unreached)
		if out.done {
			return
		}
		if out.unplaced && last != nil {
			// What the server before answered says more than that no other one is left.
			h.giveUp(w, q, last)
			return
		}
		last = out.denial
		if out.unreached {
			unreached++
		}
		if !out.again {
			h.giveUp(w, q, last)
			return
		}
	}
}

// try sends the request to one server, if it may be tried.
func (h *Handler) try(ctx context.Context, w http.ResponseWriter, q *request, last *denial, unreached int) outcome {
	leave, d := h.enter(ctx, q)
	if d != nil {
		return outcome{denial: d}
	}
	if leave != nil {
		defer func() { leave(!q.undecided) }()
	}
	q.undecided = false
	if d := h.mayTry(ctx, q, last, unreached); d != nil {
		return outcome{denial: d}
	}
	return h.attempt(ctx, w, q)
}

// giveUp refuses a request; what did not run is given back to its client account.
func (h *Handler) giveUp(w http.ResponseWriter, q *request, d *denial) {
	if q.account != nil && !q.mayRun {
		h.Admission.Return(q.account, q.units)
	}
	if q.answered && !d.gone {
		// Part of an answer went out: only a cut shows that it is not whole.
		h.logEnd(q, event.StreamBroken, 0, d.why, d.err)
		panic(http.ErrAbortHandler)
	}
	if d.answer != nil {
		h.pass(w, q, d.answer.head, d.answer.body)
		return
	}
	h.refuse(w, q, d)
}

// mayTry says why no further server may be asked, or nil. last is what the one
// before came to.
func (h *Handler) mayTry(ctx context.Context, q *request, last *denial, unreached int) *denial {
	if ctx.Err() != nil {
		return h.ended(ctx, q)
	}
	if last == nil {
		h.Admission.FirstTry(q.service, q.arrived)
		return nil
	}
	limit := q.route.MaxAttempts
	if q.answered {
		limit = max(limit, 1) + maxResumes
	}
	switch {
	case len(q.tried) >= limit, unreached >= connectFailures:
		return last
	case h.Clock.Until(q.deadline) < leastLeft:
		return last
	case len(q.tried) > 0 && !h.Admission.SecondTry(q.service, h.Clock.Now()):
		return last
	}
	return nil
}

// ended is the denial for a request whose client left or whose time is over.
func (h *Handler) ended(ctx context.Context, q *request) *denial {
	if !errors.Is(context.Cause(ctx), errDeadline) {
		return &denial{gone: true, why: "the client left", err: context.Cause(ctx)}
	}
	return h.late(q)
}

// late is the denial for a request whose time is over.
func (h *Handler) late(q *request) *denial {
	if q.mayRun {
		return &denial{status: http.StatusGatewayTimeout, why: "no answer in time"}
	}
	return &denial{status: http.StatusServiceUnavailable, why: "no server in time", wait: waitFull}
}

// outcome is what an attempt came to.
type outcome struct {
	done      bool    // the client has its answer
	again     bool    // another server may be asked
	unreached bool    // nothing was sent
	unplaced  bool    // no server was chosen
	denial    *denial // the answer if no other server is asked
}

// attempt sends the request to one server.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, q *request) outcome {
	view := h.View()
	now := h.Clock.Now()
	b := h.choice(q, view.Config.Service(q.service))
	ticket, err := h.Placer.Place(ctx, view.Endpoints[q.service], b, q.deadline, now)
	if err != nil {
		return outcome{unplaced: true, denial: h.notPlaced(q, err)}
	}
	if ctx.Err() != nil { // the client left while a server was chosen
		ticket.Done(balance.Cancelled, h.Clock.Now())
		return outcome{denial: h.ended(ctx, q)}
	}
	now = h.Clock.Now() // the machine may have been suspended while a server was chosen
	if !now.Before(q.deadline) {
		ticket.Done(balance.Cancelled, now)
		return outcome{denial: h.late(q)}
	}
	if d := h.stillAllowed(q); d != nil {
		ticket.Done(balance.Cancelled, h.Clock.Now())
		return outcome{denial: d}
	}
	q.avoid = append(q.avoid, ticket.Endpoint.ID)
	call := h.call(q, view, ticket, now)
	resp, err := h.Backends.Send(ctx, call)
	if err != nil {
		return h.failed(ctx, q, ticket, fault.As(err))
	}
	q.tried = append(q.tried, ticket.Endpoint.ID)
	ticket.Arrive()
	defer resp.Close()
	if resp.Answer.NotRun && resp.Status != http.StatusBadRequest {
		ticket.Done(balance.Refused, h.Clock.Now())
		return outcome{again: true, denial: &denial{
			status: h.unless(q, http.StatusServiceUnavailable), why: "the server refused", wait: waitFull,
		}}
	}
	return h.take(ctx, w, q, ticket, resp)
}

// unless returns a promising status, or 502 if the request may have run.
func (h *Handler) unless(q *request, status int) int {
	if q.mayRun {
		return http.StatusBadGateway
	}
	return status
}

// notPlaced is the denial for a request that no server was chosen for.
func (h *Handler) notPlaced(q *request, err error) *denial {
	var limit *LimitError
	if errors.As(err, &limit) {
		return overLimitDenial(q, limit.Verdict, h.Clock.Now())
	}
	var closed *ClosedError
	if errors.As(err, &closed) {
		// A client that comes back sooner may reach another node, which may send.
		wait := min(max(waitFull, h.Clock.Until(closed.Until)), waitNone)
		return &denial{status: h.unless(q, http.StatusServiceUnavailable), why: "all servers asked for rest or are at their rate limit", wait: wait}
	}
	return &denial{status: h.unless(q, http.StatusServiceUnavailable), why: "no server", wait: waitNone}
}

// choice is what choosing a server has to know of the request.
func (h *Handler) choice(q *request, s *policy.Service) *balance.Request {
	b := &balance.Request{
		Service: q.service, Route: q.route.Name, ID: q.meta.ID, Tokens: q.meta.PromptTokens, Parts: q.meta.Parts,
		Avoid: q.avoid, Once: !q.route.Idempotent(),
	}
	if s != nil && s.Engine != nil {
		b.Engine, b.Slots = true, s.Engine.Slots
	}
	if q.account != nil && q.account.Rate > 0 && len(q.avoid) == 0 && !q.answered {
		b.Account, b.Units = q.account.Name, q.units
	}
	return b
}

func (h *Handler) call(q *request, view *View, ticket *balance.Ticket, now time.Time) *backend.Call {
	c := &backend.Call{
		Endpoint: ticket.Endpoint, Method: q.method, URI: q.uri, Host: q.host,
		Header: q.header.Clone(), Body: q.body, ID: q.meta.ID,
	}
	if !q.route.Idempotent() {
		c.MaxIdle = onceIdle
	}
	if s := view.Config.Service(q.service); s != nil && s.MaxConnections > 0 {
		c.MaxConns = max(spareConns, s.MaxConnections/max(1, view.Instances))
	}
	h.Protocol.Outgoing(c.Header, Outgoing{
		Endpoint: ticket.Endpoint.StoreID(), Account: q.accountName(), Left: q.deadline.Sub(now), Priority: q.priority, LastEventID: q.event,
	})
	return c
}

// failed tells what follows from an attempt that brought no answer.
func (h *Handler) failed(ctx context.Context, q *request, ticket *balance.Ticket, f *fault.Error) outcome {
	now := h.Clock.Now()
	if f.Run == fault.NotRun {
		if errors.Is(f, syscall.ECONNREFUSED) {
			h.Quarantine.Unreached(ticket.Endpoint)
		}
		ticket.Done(h.blame(ctx, f), now)
		if ctx.Err() != nil {
			return outcome{denial: h.ended(ctx, q)}
		}
		return outcome{again: true, unreached: true, denial: &denial{
			status: h.unless(q, http.StatusServiceUnavailable), why: "no server reached", wait: waitFull, err: f,
		}}
	}
	q.tried = append(q.tried, ticket.Endpoint.ID)
	q.mayRun = true
	ticket.Arrive()
	ticket.Done(h.blame(ctx, f), now)
	h.broke(ctx, q, ticket.Endpoint)
	if q.route.Kind != policy.Streaming {
		h.began(q)
	}
	if ctx.Err() != nil {
		return outcome{denial: h.ended(ctx, q)}
	}
	return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "the server broke off", err: f}}
}

// began counts a run of the request for the usage reports. A server of a plain service
// counts each of its runs. Engines count a request once, also if one fails it and another
// runs it again.
func (h *Handler) began(q *request) {
	if q.route.Kind == policy.Streaming && q.counted {
		return
	}
	q.counted = true
	h.Admission.Began(q.accountName(), 1)
}

// blame is the result that a failed attempt counts for at the server.
func (h *Handler) blame(ctx context.Context, f *fault.Error) balance.Result {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return balance.Cancelled
	case f.Kind == fault.KindLimit:
		return balance.Cancelled
	}
	return balance.Failed
}
