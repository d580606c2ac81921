package forward

import (
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/quota"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: h.Clock.Now(), view: h.View(), meta: h.Protocol.Request(r.Header)}
	if !q.view.ServesUntil.IsZero() {
		w.Header().Set("Connection", "close")
	}
	h.serve(w, r, q)
}

// serve handles a request of a client that connected here or to another instance.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, q *request) {
	q.client = http.NewResponseController(w) // its calls fail for the response recorder of tests
	d := h.identify(q, r)
	if d == nil {
		d = q.checkDrain()
	}
	if d != nil {
		if q.proxied && d.status == http.StatusServiceUnavailable {
			w.Header().Set(peerproxy.DeclinedHeader, "1")
		}
		h.refuseUnread(w, r, q, d)
		return
	}
	if !q.proxied { // the other instance has counted it
		if !h.Shares.Begin(q.accountName()) {
			h.refuseUnread(w, r, q, q.overShare())
			return
		}
		defer h.Shares.End(q.accountName())
	}
	ctx, deadline := h.Clock.WithDeadline(r.Context(), q.deadline, errDeadline)
	defer deadline.Stop()
	// Nothing is read from an endpoint after the deadline, but a client that does not read would hold what was.
	_ = q.client.SetWriteDeadline(h.Clock.ToMonotonic(q.deadline.Add(unreadTimeout)))
	defer q.memory.Release()
	defer q.answerMemory.Release()
	if d := h.readRequest(ctx, q, r); d != nil {
		h.refuseUnread(w, r, q, d)
		return
	}
	if d := h.findOrigin(ctx, q); d != nil {
		h.refuseEarly(w, q, d)
		return
	}
	if d := h.admit(q); d != nil {
		h.refuseEarly(w, q, d)
		return
	}
	h.run(ctx, w, q)
}

// unreadTimeout is how long a client whose request was refused may take to send the rest of its body and to read the
// response, and one whose deadline has passed to read what is left of the response. The HTTP server reads some of a
// body before and after the response, so that the client sees the response and can use the connection again, and would
// wait for it without an end.
const unreadTimeout = time.Second

// refuseUnread refuses a request of which not all of the body has been read.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, q *request, d *denial) {
	unread := h.Clock.ToMonotonic(h.Clock.Now().Add(unreadTimeout))
	if r.Body != nil && r.Body != http.NoBody {
		_ = q.client.SetReadDeadline(unread)
	}
	_ = q.client.SetWriteDeadline(unread.Add(unreadTimeout)) // the response may come after the rest of the body
	h.refuseEarly(w, q, d)
}

// refuseEarly refuses a request that this instance has not sent anywhere. An endpoint that another instance sent
// it to may have run it.
func (h *Handler) refuseEarly(w http.ResponseWriter, q *request, d *denial) {
	if claimsNotRun(d.status) {
		d.status = h.statusUnlessRun(q, d.status)
	}
	h.refuse(w, q, d)
}

// checkDrain returns a denial if this instance shuts down before the deadline of the request and the client can go
// to another one: how long an endpoint takes is not known beforehand. If there is none, the request ends with the drain.
func (q *request) checkDrain() *denial {
	until := q.view.ServesUntil
	if until.IsZero() || !q.deadline.After(until) || q.mayHaveRun || q.answered {
		return nil
	}
	if q.view.Instances <= 1 {
		q.deadline = until
		return nil
	}
	return &denial{
		status: http.StatusServiceUnavailable, why: "shutting down before the deadline of the request", wait: waitElsewhere,
		fields: []zap.Field{zap.Time("serves_until", until), zap.Int("instances", q.view.Instances)},
	}
}

// errDeadline is the cancellation cause of a request whose deadline has passed.
var errDeadline = errors.New("the deadline of the request has passed")

// ErrShutdown is the cancellation cause of requests that outlast the shutdown of this instance. They get an answer if none
// has begun.
var ErrShutdown = errors.New("the instance shuts down")

// identify finds the route and the client account of a request, and sets its deadline.
func (h *Handler) identify(q *request, r *http.Request) *denial {
	c := q.view.Config
	if c == nil {
		return notReady("no configuration read yet")
	}
	age := q.arrived.Sub(q.view.ConfirmedAt)
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q.route = c.Match(host, r.URL.Path)
	if q.route == nil {
		if age > h.ConfigFreshFor {
			return notReady("no route in a configuration that may be outdated")
		}
		return &denial{status: http.StatusNotFound, why: "no route"}
	}
	if c.HasAccounts() && !q.route.Public {
		if q.arrived.After(q.view.KeysValidUntil) {
			return notReady("the configuration may be outdated and the API key revoked")
		}
		if q.account = c.Account(q.meta.Key); q.account == nil {
			if age > h.ConfigFreshFor {
				return notReady("unknown API key in a configuration that may be outdated")
			}
			return &denial{status: http.StatusUnauthorized, why: "unknown API key"}
		}
	}
	q.priority = c.Priority(q.account, q.route)
	if !q.began {
		q.service = q.route.Pick(q.stream())
	}
	q.method, q.uri, q.host = r.Method, r.RequestURI, r.Host
	allowed := q.route.Timeout
	if q.meta.HasTimeout {
		allowed = min(allowed, q.meta.Timeout)
	}
	if end := q.arrived.Add(allowed); q.deadline.IsZero() || end.Before(q.deadline) {
		q.deadline = end
	}
	return nil
}

// admit charges the request to the limit of its client account.
func (h *Handler) admit(q *request) *denial {
	q.units = 1
	if q.account == nil {
		return nil
	}
	if q.account.CountTokens {
		q.units = q.account.DefaultTokens
		if q.meta.HasTokens {
			q.units = float64(q.meta.PromptTokens + q.meta.OutputTokens)
		}
	}
	if q.proxied {
		return nil
	}
	now := h.Clock.Now()
	service := q.view.Config.Service(q.service)
	v := h.Admission.Admit(q.account, q.units, service != nil && service.Engine != nil, now)
	if v.OK {
		q.level = v.Level
		return nil
	}
	return overLimitDenial(q, v, now)
}

// overLimitDenial is the denial for a request over the limit of its client account.
func overLimitDenial(q *request, v quota.Verdict, now time.Time) *denial {
	return &denial{
		status: http.StatusTooManyRequests, why: overLimit(v), wait: v.RetryAt.Sub(now),
		fields: []zap.Field{zap.Float64("units", q.units), zap.Float64("level", v.Level), zap.Float64("need", v.RequiredLevel), zap.Float64("known", v.KnownShare)},
	}
}

// overLimit returns which of two limits a request exceeded: that of the client account over all
// instances, or the part of it that this instance may grant by itself.
func overLimit(v quota.Verdict) string {
	if v.RequiredLevel > 0 {
		return "over the limit of the client account"
	}
	return "over this instance's share of the client account's limit"
}
