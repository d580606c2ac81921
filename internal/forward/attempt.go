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

// Limits of attempts.
const (
	minRemaining         = 20 * time.Millisecond   // no endpoint is tried with less time left until the deadline
	maxIdleNonIdempotent = 3 * time.Second         // a connection that was idle for longer may be closing; not used for requests that are not idempotent
	minConns             = 4                       // connections to an endpoint that an instance may always have
	maxResumes           = 4                       // further attempts to resume a stream, beyond those that its route allows
	maxConnectTime       = 1200 * time.Millisecond // from the first failed connect of a request until it is given up; three that time out
	proxyConnectFailures = 2                       // failed connects after which another instance is asked to serve a request
)

// run tries endpoints until one answers or the request is given up.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, q *request) {
	var last *denial
	unreached := 0
	for {
		out := h.try(ctx, w, q, last)
		if out.notSent {
			unreached++
			q.connectFailed(h.Clock.Now())
		}
		if out.noPath || out.elsewhere || out.notSent && unreached >= proxyConnectFailures {
			if relayed, taken := h.proxy(ctx, w, q); taken {
				out = relayed
			}
		}
		if out.done {
			return
		}
		if out.noPath && h.mayTryAnyPath(ctx, q) {
			q.anyPath = true
			continue
		}
		if out.noEndpoint && last != nil {
			// The previous endpoint's response says more than that no other endpoint is left.
			h.giveUp(w, q, last)
			return
		}
		last = out.denial
		if !out.again {
			h.giveUp(w, q, last)
			return
		}
	}
}

// try makes one attempt, if the quarantine and the limits of attempts allow it.
func (h *Handler) try(ctx context.Context, w http.ResponseWriter, q *request, last *denial) outcome {
	leave, d := h.acquirePermit(ctx, q)
	if d != nil {
		return outcome{denial: d}
	}
	if leave != nil {
		defer func() { leave(!q.outcomeUnknown) }()
	}
	q.outcomeUnknown = false
	if d := h.mayTry(ctx, q, last); d != nil {
		return outcome{denial: d}
	}
	return h.attempt(ctx, w, q)
}

// giveUp ends a request with an error response. Its units go back to the client account if no
// endpoint can have run it.
func (h *Handler) giveUp(w http.ResponseWriter, q *request, d *denial) {
	if !q.mayHaveRun {
		h.refund(q)
	}
	if q.answered && !d.clientGone {
		// Part of the response was sent: only an aborted connection shows that it is incomplete.
		h.logEnd(q, event.StreamBroken, 0, d.why, d.err)
		panic(http.ErrAbortHandler)
	}
	if d.answer != nil {
		h.writeResponse(w, q, d.answer.head, d.answer.body, true)
		return
	}
	h.refuse(w, q, d)
}

// refund gives the units of a request that was not run back to its client account. Of a request that
// another instance got from the client, that instance does so.
func (h *Handler) refund(q *request) {
	if q.account != nil && !q.proxied {
		h.Admission.Refund(q.account, q.units)
	}
}

// mayTry returns nil if an endpoint may be tried, and otherwise the denial that ends the
// request. last is the result of the previous attempt.
func (h *Handler) mayTry(ctx context.Context, q *request, last *denial) *denial {
	if ctx.Err() != nil {
		return h.ended(ctx, q)
	}
	if last == nil {
		if !q.tryCounted {
			q.tryCounted = true
			h.Admission.FirstTry(q.service, q.arrived)
		}
		return nil
	}
	limit := q.route.MaxAttempts
	if q.answered {
		limit = max(limit, 1) + maxResumes
	}
	now := h.Clock.Now()
	switch {
	case q.attempts() >= limit, !q.connectUntil.IsZero() && !now.Before(q.connectUntil):
		return last
	case q.deadline.Sub(now) < minRemaining:
		return last
	case !q.memory.Reclaim(): // the body is gone
		return last
	case !h.takeRetry(q, now):
		return last
	}
	return nil
}

// takeRetry charges the retry budget of the service for a further attempt, unless nothing was sent since
// it was last charged for this request. It reports false if the budget is used up.
func (h *Handler) takeRetry(q *request, now time.Time) bool {
	if q.charged == q.attempts() {
		return true
	}
	if !h.Admission.SecondTry(q.service, now) {
		return false
	}
	q.charged = q.attempts()
	return true
}

// ended is the denial for a request whose client disconnected, whose deadline has passed, or that outlasts the shutdown of
// this instance.
func (h *Handler) ended(ctx context.Context, q *request) *denial {
	switch {
	case clientLeft(ctx):
		return &denial{clientGone: true, why: "client disconnected", err: context.Cause(ctx)}
	case errors.Is(context.Cause(ctx), errDeadline):
		return h.deadlinePassed(q)
	case q.mayHaveRun:
		return &denial{status: http.StatusGatewayTimeout, why: "no response before the shutdown"}
	}
	return &denial{status: http.StatusServiceUnavailable, why: "no endpoint available before the shutdown", wait: q.waitForRoom()}
}

// clientLeft reports whether the context of a request has ended because its client disconnected.
func clientLeft(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) && !errors.Is(context.Cause(ctx), ErrShutdown)
}

// deadlinePassed is the denial for a request whose deadline has passed.
func (h *Handler) deadlinePassed(q *request) *denial {
	if q.mayHaveRun {
		return &denial{status: http.StatusGatewayTimeout, why: "no response before the deadline"}
	}
	return &denial{status: http.StatusServiceUnavailable, why: "no endpoint available before the deadline", wait: waitRetry}
}

// outcome is the result of an attempt.
type outcome struct {
	done       bool    // the response was sent
	again      bool    // another endpoint may be tried
	notSent    bool    // nothing was sent
	noEndpoint bool    // no endpoint was chosen
	noPath     bool    // because none is reachable from here
	elsewhere  bool    // none was chosen of those reachable from here, and most are not
	denial     *denial // ends the request if no other endpoint is tried
}

// attempt chooses an endpoint and sends the request to it.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, q *request) outcome {
	view := h.View()
	now := h.Clock.Now()
	all := q.endpoints(view)
	if q.began && len(all) == 0 {
		return outcome{noEndpoint: true, denial: h.noEndpointOfVersion(q)}
	}
	endpoints := all
	if !q.anyPath {
		if endpoints = h.Paths.Reachable(all); len(endpoints) == 0 && len(all) > 0 {
			return outcome{noEndpoint: true, noPath: true, denial: h.unreachable(q, nil)}
		}
	}
	b := h.balanceRequest(q, view.Config.Service(q.service))
	ticket, err := h.Placer.Place(ctx, endpoints, b, q.deadline, now)
	if err != nil && ctx.Err() != nil {
		return outcome{denial: h.ended(ctx, q)} // a hub that had answered may have refused it
	}
	if err != nil {
		// If most endpoints are unreachable, the cause is more likely on this side than theirs.
		elsewhere := errors.Is(err, ErrNoEndpoint) && 2*len(endpoints) < len(all)
		return outcome{noEndpoint: true, elsewhere: elsewhere, denial: h.notPlaced(q, err)}
	}
	if ctx.Err() != nil { // the client disconnected while an endpoint was chosen
		ticket.Done(balance.Cancelled, h.Clock.Now())
		return outcome{denial: h.ended(ctx, q)}
	}
	now = h.Clock.Now() // the host may have been suspended while an endpoint was chosen
	if !now.Before(q.deadline) {
		ticket.Done(balance.Cancelled, now)
		return outcome{denial: h.deadlinePassed(q)}
	}
	if d := h.stillAllowed(q); d != nil {
		ticket.Done(balance.Cancelled, h.Clock.Now())
		return outcome{denial: d}
	}
	q.chosen = append(q.chosen, ticket.Endpoint.ID)
	if ticket.Returned {
		h.placedAfterReturn(q)
	}
	q.answerBegun = false
	call := h.newCall(q, view, ticket, now)
	resp, err := h.Backends.Send(ctx, call)
	if err != nil {
		return h.failed(ctx, q, ticket, fault.As(err))
	}
	q.tried = append(q.tried, ticket.Endpoint.ID)
	ticket.MarkReached()
	defer resp.Close()
	if resp.Answer.NotRun && resp.Status != http.StatusBadRequest {
		ticket.Done(balance.Refused, h.Clock.Now())
		return outcome{again: true, denial: &denial{
			status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "endpoint refused the request", wait: waitRetry,
		}}
	}
	return h.handleResponse(ctx, w, q, ticket, resp)
}

// statusUnlessRun returns status, which claims that the request was not run, or 502 if it may have
// run.
func (h *Handler) statusUnlessRun(q *request, status int) int {
	if q.mayHaveRun {
		return http.StatusBadGateway
	}
	return status
}

// notPlaced is the denial for a request that no endpoint was chosen for.
func (h *Handler) notPlaced(q *request, err error) *denial {
	var limit *LimitError
	if errors.As(err, &limit) {
		return overLimitDenial(q, limit.Verdict, h.Clock.Now())
	}
	var overloaded *OverloadError
	if errors.As(err, &overloaded) {
		return h.overloadDenial(q, overloaded)
	}
	var throttled *ThrottledError
	if errors.As(err, &throttled) {
		// A client that retries sooner may reach another instance, which may have an endpoint for it.
		wait := min(max(waitRetry, h.Clock.Until(throttled.Until)), waitNoEndpoint)
		return &denial{status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "all endpoints requested a backoff or are at their rate limit", wait: wait}
	}
	return &denial{status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "no endpoint", wait: waitNoEndpoint}
}

// balanceRequest returns the properties of the request that the choice of an endpoint depends on.
func (h *Handler) balanceRequest(q *request, s *policy.Service) *balance.Request {
	b := &balance.Request{
		Service: q.service, Route: q.route.Name, ID: q.meta.ID, Tokens: q.meta.PromptTokens, Parts: q.meta.Parts,
		Avoid: q.chosen, NonIdempotent: !q.route.Idempotent(),
		Resumes: q.began, Version: q.version,
	}
	h.setScheduling(b, q)
	if s != nil && s.Engine != nil {
		b.Engine, b.Slots = true, s.Engine.Slots
	}
	if q.account != nil && q.account.Rate > 0 && !b.NoRefusal {
		b.Account, b.Units = q.account.Name, q.units
	}
	return b
}

func (h *Handler) newCall(q *request, view *View, ticket *balance.Ticket, now time.Time) *backend.Call {
	c := &backend.Call{
		Endpoint: ticket.Endpoint, Method: q.method, URI: q.uri, Host: q.host,
		Header: q.header.Clone(), Body: q.body, ID: q.meta.ID, Due: q.progressDue(now), Resumes: q.lastEventID != "",
	}
	if !q.route.Idempotent() {
		c.MaxIdle = maxIdleNonIdempotent
	}
	if s := view.Config.Service(q.service); s != nil && s.MaxConnections > 0 {
		c.MaxConns = max(minConns, s.MaxConnections/max(1, view.Instances))
	}
	h.Protocol.Outgoing(c.Header, Outgoing{
		Endpoint: ticket.Endpoint.StoreID(), Account: q.accountName(), Remaining: q.deadline.Sub(now), Priority: q.priority, LastEventID: q.lastEventID,
	})
	return c
}

// progressDue returns when the endpoint has to have gone on with its response, so that bytes that are none prove it
// faulty: the response or the next event is late by the route's own targets then. It is zero if the route has none.
func (q *request) progressDue(now time.Time) time.Time {
	target := max(q.route.TargetLatency, q.route.TargetEventGap)
	if target <= 0 {
		return time.Time{}
	}
	return now.Add(target)
}

// failed handles an attempt that got no response, and decides whether to try another endpoint.
func (h *Handler) failed(ctx context.Context, q *request, ticket *balance.Ticket, f *fault.Error) outcome {
	now := h.Clock.Now()
	if f.Run == fault.NotRun {
		if errors.Is(f, syscall.ECONNREFUSED) {
			h.Quarantine.ConnectionRefused(ticket.Endpoint)
		}
		ticket.Done(h.resultOf(ctx, f), now)
		if ctx.Err() != nil {
			return outcome{denial: h.ended(ctx, q)}
		}
		return outcome{again: true, notSent: true, denial: h.unreachable(q, f)}
	}
	q.tried = append(q.tried, ticket.Endpoint.ID)
	q.mayHaveRun = true
	ticket.MarkReached()
	ticket.Done(h.resultOf(ctx, f), now)
	h.runAborted(ctx, q, ticket.Endpoint)
	if q.route.Kind != policy.Streaming {
		h.began(q)
	}
	if ctx.Err() != nil {
		return outcome{denial: h.ended(ctx, q)}
	}
	return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "endpoint broke off", err: f}}
}

// began counts a run of the request for the usage reports. Each run at an endpoint of a plain
// service counts. A request to model endpoints counts once, also if one of them fails it and
// another runs it again.
func (h *Handler) began(q *request) {
	if q.route.Kind == policy.Streaming && q.counted {
		return
	}
	q.counted = true
	h.Admission.RecordRuns(q.accountName(), 1)
}

// resultOf returns the result of a failed attempt that counts for the endpoint's failure rate.
func (h *Handler) resultOf(ctx context.Context, f *fault.Error) balance.Result {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return balance.Cancelled
	case f.Kind == fault.KindLimit:
		return balance.Cancelled
	}
	return balance.Failed
}
