package forward

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// wholeBody is the size up to which a body is read to its end before any of it
// is passed on: one that breaks off can then be answered for.
const wholeBody = 256 << 10

// take passes a server's answer on, unless another server may do better.
func (h *Handler) take(ctx context.Context, w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response) outcome {
	q.mayRun = true
	ok := resp.Status >= 200 && resp.Status < 300
	if ok && q.route.Kind == policy.Streaming && isEvents(resp.Header) {
		return h.stream(ctx, w, q, ticket, resp)
	}
	if q.answered {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: true, denial: &denial{why: "the server did not go on with the stream"}}
	}
	h.began(q)
	if ok && !valid(resp) {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "an answer without a seal"}}
	}
	body, err := io.ReadAll(io.LimitReader(resp, wholeBody+1))
	if err != nil {
		ticket.Done(h.blame(ctx, broken(err)), h.Clock.Now())
		h.broke(ctx, q, ticket.Endpoint)
		if ctx.Err() != nil {
			return outcome{denial: h.ended(ctx, q)}
		}
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "the answer broke off", err: err}}
	}
	h.cameThrough(q, ticket.Endpoint, resp)
	if resp.Status >= http.StatusInternalServerError {
		ticket.Done(balance.Failed, h.Clock.Now())
		if q.route.Idempotent() && len(body) <= wholeBody {
			return outcome{again: true, denial: &denial{why: "the server failed", answer: &answer{resp, body}}}
		}
	} else {
		ticket.Done(balance.Answered, h.Clock.Now())
	}
	h.pass(w, q, resp, body)
	return outcome{done: true}
}

// answer is a server's answer that is passed on if no other server does better.
type answer struct {
	head *backend.Response
	body []byte
}

// valid reports whether a success is a server's own.
func valid(resp *backend.Response) bool {
	return resp.Answer.Sealed && resp.Answer.RequestID != "" && resp.Header.Get("Content-Encoding") == ""
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// head copies the head of an answer.
func (h *Handler) head(w http.ResponseWriter, q *request, resp *backend.Response) {
	h.Protocol.CleanAnswer(resp.Header)
	out := w.Header()
	for name, values := range resp.Header {
		out[name] = values
	}
	if len(out["Content-Type"]) == 0 {
		out["Content-Type"] = nil // else one would be made up
	}
	q.answered = true
}

// pass writes an answer whose body, or the beginning of a large one, is read.
func (h *Handler) pass(w http.ResponseWriter, q *request, resp *backend.Response, body []byte) {
	if promises(resp.Status) && !resp.Answer.NotRun {
		// The server ran it or may have: its status would say otherwise.
		h.refuse(w, q, &denial{status: http.StatusBadGateway, why: "a promise that the server did not make"})
		return
	}
	h.head(w, q, resp)
	large := len(body) > wholeBody
	if !large {
		setLength(w, len(body))
	}
	w.WriteHeader(resp.Status)
	_, err := w.Write(body)
	if err == nil && large {
		_, err = io.Copy(w, resp)
	}
	if err != nil {
		h.logEnd(q, event.StreamBroken, resp.Status, "the answer broke off", err)
		panic(http.ErrAbortHandler)
	}
	h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
}
