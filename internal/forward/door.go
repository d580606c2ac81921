package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/quota"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{arrived: h.Clock.Now(), view: h.View(), meta: h.Protocol.Request(r.Header)}
	if q.view.Leaving {
		w.Header().Set("Connection", "close")
	}
	if d := h.identify(q, r); d != nil {
		h.refuse(w, q, d)
		return
	}
	ctx, deadline := h.Clock.WithDeadline(r.Context(), q.deadline, errDeadline)
	defer deadline.Stop()
	if d := h.read(w, q, r); d != nil {
		h.refuse(w, q, d)
		return
	}
	if d := h.admit(q); d != nil {
		h.refuse(w, q, d)
		return
	}
	h.run(ctx, w, q)
}

// errDeadline ends a request whose time is over.
var errDeadline = errors.New("the time for the request is over")

// identify finds the route and the client account of a request.
func (h *Handler) identify(q *request, r *http.Request) *denial {
	c := q.view.Config
	if c == nil {
		return notReady("no configuration yet")
	}
	age := q.arrived.Sub(q.view.ProvedAt)
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	q.route = c.Match(host, r.URL.Path)
	if q.route == nil {
		if age > h.CertainFor {
			return notReady("no route in a configuration that may be old")
		}
		return &denial{status: http.StatusNotFound, why: "no route"}
	}
	if c.HasAccounts() && !q.route.Public {
		if q.arrived.After(q.view.KeysUntil) {
			return notReady("the configuration may be old, and a key taken away")
		}
		if q.account = c.Account(q.meta.Key); q.account == nil {
			if age > h.CertainFor {
				return notReady("key unknown to a configuration that may be old")
			}
			return &denial{status: http.StatusUnauthorized, why: "unknown key"}
		}
	}
	q.priority = c.Priority(q.account, q.route)
	q.service = q.route.Pick(q.meta.ID)
	q.method, q.uri, q.host = r.Method, r.RequestURI, r.Host
	allowed := q.route.Timeout
	if q.meta.HasDeadline {
		allowed = min(allowed, q.meta.Allowed)
	}
	q.deadline = q.arrived.Add(allowed)
	return nil
}

// read takes in the whole body, so that nothing is sent for a client that
// leaves halfway, and so that it can be sent again.
func (h *Handler) read(w http.ResponseWriter, q *request, r *http.Request) *denial {
	q.header = r.Header.Clone()
	h.Protocol.Clean(q.header)
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := q.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if r.ContentLength > limit {
		return tooLarge()
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(h.Clock.Steady(q.deadline)) // not supported by a recorder in a test
	body, err := readBody(r, limit)
	if err != nil {
		var large *http.MaxBytesError
		var timeout net.Error
		switch {
		case errors.As(err, &large):
			return tooLarge()
		case errors.As(err, &timeout) && timeout.Timeout():
			return &denial{status: http.StatusRequestTimeout, why: "the body did not come in time", close: true}
		}
		return &denial{gone: true, why: "the client left before its body was whole"}
	}
	_ = control.SetReadDeadline(time.Time{})
	q.body = body
	return nil
}

// defaultBody bounds a body where the configuration does not.
const defaultBody = 4 << 20

func readBody(r *http.Request, limit int64) ([]byte, error) {
	body := http.MaxBytesReader(nil, r.Body, limit)
	if r.ContentLength > 0 {
		b := make([]byte, r.ContentLength)
		_, err := io.ReadFull(body, b)
		return b, err
	}
	return io.ReadAll(body)
}

// admit counts the request against its client account's limit.
func (h *Handler) admit(q *request) *denial {
	q.units = 1
	if q.account == nil {
		return nil
	}
	if q.account.CountTokens {
		q.units = q.account.PlainTokens
		if q.meta.HasTokens {
			q.units = float64(q.meta.PromptTokens + q.meta.OutputTokens)
		}
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

// overLimitDenial refuses a request that the limit of its client account does not bear.
func overLimitDenial(q *request, v quota.Verdict, now time.Time) *denial {
	return &denial{
		status: http.StatusTooManyRequests, why: overLimit(v), wait: v.RetryAt.Sub(now),
		fields: []zap.Field{zap.Float64("units", q.units), zap.Float64("level", v.Level), zap.Float64("need", v.Need), zap.Float64("known", v.Known)},
	}
}

// overLimit says which of two limits a refused request met.
func overLimit(v quota.Verdict) string {
	if v.Need > 0 {
		return "limit of the client account"
	}
	return "this instance's part of the client account's limit"
}
