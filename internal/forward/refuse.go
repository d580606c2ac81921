package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// denial is an error response that this instance generates.
type denial struct {
	status     int
	why        string
	wait       time.Duration // value of the Retry-After header; 0 for none
	close      bool          // the connection cannot be reused
	fields     []zap.Field   // inputs of the decision, for the log
	clientGone bool          // the client has disconnected: no response is sent
	err        error         // the cause, if any
	answer     *answer       // error response of an endpoint to pass on instead; nil to generate one
}

// Values of the Retry-After header.
const (
	waitNotReady   = 150 * time.Millisecond
	waitElsewhere  = time.Millisecond // other instances serve the request now
	waitRetry      = 250 * time.Millisecond
	waitNoEndpoint = 400 * time.Millisecond // no endpoint at all
)

func notReady(why string) *denial {
	return &denial{status: http.StatusServiceUnavailable, why: why, wait: waitNotReady}
}

func tooLarge() *denial {
	return &denial{status: http.StatusRequestEntityTooLarge, why: "body too large", close: true}
}

// claimsNotRun reports whether a status code tells the client that its request was not run and
// will not be.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// refuse sends the error response of a denial.
func (h *Handler) refuse(w http.ResponseWriter, q *request, d *denial) {
	if d.clientGone {
		h.logEnd(q, event.ClientDisconnected, 0, d.why, d.err)
		panic(http.ErrAbortHandler)
	}
	if claimsNotRun(d.status) && q.mayHaveRun {
		h.event(event.InvariantBroken, zap.String("invariant", "a status that claims the request was not run is sent only when that is certain"), zap.String("request", q.meta.ID))
		d.status = http.StatusBadGateway
	}
	if d.wait > 0 && claimsNotRun(d.status) {
		h.Protocol.RetryAfter(w.Header(), d.wait)
	}
	if d.close {
		w.Header().Set("Connection", "close")
	}
	w.Header()["Content-Type"] = nil
	w.WriteHeader(d.status)
	h.logEnd(q, event.ForwardRefused, d.status, d.why, d.err, d.fields...)
}

// logEnd logs how a request ended, with the inputs of the decision, and updates the metrics.
func (h *Handler) logEnd(q *request, c event.Code, status int, why string, err error, more ...zap.Field) {
	now := h.Clock.Now()
	fields := []zap.Field{
		zap.String("request", q.meta.ID), zap.Int("status", status), zap.Duration("took", now.Sub(q.arrived)),
		zap.Strings("servers", q.tried), zap.Bool("may_have_run", q.mayHaveRun),
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
		fields = append(fields, zap.String("route", name), zap.String("account", q.accountName()), zap.Time("deadline", q.deadline))
	}
	if q.view.Config != nil {
		fields = append(fields, zap.Int64("config", q.view.Config.Version), zap.Duration("config_age", q.arrived.Sub(q.view.ConfirmedAt)))
	}
	fields = append(fields, q.passageFields()...)
	if q.version != "" {
		fields = append(fields, zap.String("version", q.version))
	}
	if q.meta.HasTokens {
		fields = append(fields, zap.Int("prompt", q.meta.PromptTokens), zap.Int("output", q.meta.OutputTokens))
	}
	if shared := q.sharedParts(); len(shared) > 0 {
		fields = append(fields, zap.Strings("parts", shared))
	}
	if q.account != nil && q.account.Rate > 0 && c != event.ForwardRefused {
		// If instances log levels that differ by more than they admit in a second, some do not
		// count what the others admit.
		fields = append(fields, zap.Float64("units", q.units), zap.Float64("level", q.level), zap.Int("instances", q.view.Instances))
	}
	if why != "" {
		fields = append(fields, zap.String("why", why))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	if q.returned && c == event.ForwardAnswered && status >= 200 && status < 300 {
		h.Metrics.ServedAfterReturn(q.source())
	}
	h.event(c, append(fields, more...)...)
	h.Metrics.Forwarded(name, status, now.Sub(q.arrived))
}
