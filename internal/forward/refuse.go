package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// denial is a final answer of this node's own.
type denial struct {
	status int
	why    string
	wait   time.Duration // when to come back; 0 when that is no use
	close  bool          // the connection cannot be used again
	fields []zap.Field   // inputs of the decision, for the log
	gone   bool          // the client is no longer there: no answer
	err    error         // the cause, if any
	answer *answer       // a server's failure that is passed on instead; nil for an answer of this node's own
}

// Times after which a refused client may come back.
const (
	waitNotReady = 150 * time.Millisecond
	waitFull     = 250 * time.Millisecond
	waitNone     = 400 * time.Millisecond // no server at all
)

func notReady(why string) *denial {
	return &denial{status: http.StatusServiceUnavailable, why: why, wait: waitNotReady}
}

func tooLarge() *denial {
	return &denial{status: http.StatusRequestEntityTooLarge, why: "body too large", close: true}
}

// promises reports whether a status tells the client that its request has not
// run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse gives a request its final answer, at once.
func (h *Handler) refuse(w http.ResponseWriter, q *request, d *denial) {
	if d.gone {
		h.logEnd(q, event.ClientLeft, 0, d.why, d.err)
		panic(http.ErrAbortHandler)
	}
	if promises(d.status) && q.mayRun {
		h.event(event.InvariantBroken, zap.String("invariant", "not run is said only when it is certain"), zap.String("request", q.meta.ID))
		d.status = http.StatusBadGateway
	}
	if d.wait > 0 && promises(d.status) {
		h.Protocol.RetryAfter(w.Header(), d.wait)
	}
	if d.close {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Content-Type"] = nil
	w.WriteHeader(d.status)
	h.logEnd(q, event.ForwardRefused, d.status, d.why, d.err, d.fields...)
}

// logEnd writes the line that tells how a request ended and by which inputs.
func (h *Handler) logEnd(q *request, c event.Code, status int, why string, err error, more ...zap.Field) {
	now := h.Clock.Now()
	fields := []zap.Field{
		zap.String("request", q.meta.ID), zap.Int("status", status), zap.Duration("took", now.Sub(q.arrived)),
		zap.Strings("servers", q.tried), zap.Bool("may_have_run", q.mayRun),
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
		fields = append(fields, zap.String("route", name), zap.String("account", q.accountName()), zap.Time("deadline", q.deadline))
	}
	if q.view.Config != nil {
		fields = append(fields, zap.Int64("config", q.view.Config.Version), zap.Duration("config_age", q.arrived.Sub(q.view.ProvedAt)))
	}
	if !q.first.IsZero() {
		fields = append(fields, zap.Duration("first", q.first.Sub(q.arrived)), zap.Duration("pause", q.pause))
	}
	if q.meta.HasTokens {
		fields = append(fields, zap.Int("prompt", q.meta.PromptTokens), zap.Int("output", q.meta.OutputTokens))
	}
	if q.account != nil && q.account.Rate > 0 && c != event.ForwardRefused {
		// Levels of the instances that differ by more than they admit in a second show that
		// some do not count what others admit.
		fields = append(fields, zap.Float64("units", q.units), zap.Float64("level", q.level), zap.Int("instances", q.view.Instances))
	}
	if why != "" {
		fields = append(fields, zap.String("why", why))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	h.event(c, append(fields, more...)...)
	h.Metrics.Forwarded(name, status, now.Sub(q.arrived))
}
