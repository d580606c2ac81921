package forward

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// maxBuffered is the size in bytes up to which a response body is buffered completely before any
// of it is passed on, so that a response that breaks off can be replaced by an error or a retry.
const maxBuffered = 256 << 10

// handleResponse passes an endpoint's response on, or asks for another attempt if that may give a
// better one.
func (h *Handler) handleResponse(ctx context.Context, w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response) outcome {
	q.mayHaveRun = true
	ok := resp.Status >= 200 && resp.Status < 300
	if ok && q.route.Kind == policy.Streaming && isEvents(resp.Header) {
		return h.stream(ctx, w, q, ticket, resp)
	}
	if q.answered {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: true, denial: &denial{why: "endpoint did not resume the stream"}}
	}
	h.began(q)
	if ok && !valid(resp) {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "response without a seal"}}
	}
	body, whole, err := h.bufferAnswer(q, resp)
	if err != nil {
		ticket.Done(h.resultOf(ctx, streamError(err)), h.Clock.Now())
		h.runAborted(ctx, q, ticket.Endpoint)
		if ctx.Err() != nil {
			return outcome{denial: h.ended(ctx, q)}
		}
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "response broke off", err: err}}
	}
	h.compareForecast(q, ticket)
	if whole {
		h.runCompleted(q, ticket.Endpoint, resp)
	} else {
		defer func() { h.endLong(ctx, q, ticket, resp) }()
	}
	if resp.Status >= http.StatusInternalServerError {
		ticket.Done(balance.Failed, h.Clock.Now())
		switch {
		case q.route.Idempotent() && whole:
			return outcome{again: true, denial: &denial{why: "endpoint failed", answer: &answer{resp, body}}}
		case q.route.Idempotent(): // the rest may have no end
			return outcome{again: true, denial: &denial{status: http.StatusBadGateway, why: "endpoint failed with a long response"}}
		}
	} else if whole {
		ticket.Done(balance.Answered, h.Clock.Now())
	} else {
		ticket.PromptRead(h.Clock.Now())
	}
	h.writeResponse(w, q, resp, body, whole)
	return outcome{done: true}
}

// endLong records how a response ended that was passed on before it was read to its end, or given up.
func (h *Handler) endLong(ctx context.Context, q *request, ticket *balance.Ticket, resp *backend.Response) {
	now := h.Clock.Now()
	switch err := resp.Err(); {
	case err == io.EOF:
		ticket.Done(balance.Answered, now)
		h.runCompleted(q, ticket.Endpoint, resp)
	case err == nil, 2*q.clientWait > now.Sub(q.passingSince):
		// The client disconnected, or it took longer to accept the response than the endpoint to send it.
		ticket.Done(balance.Cancelled, now)
		h.runCancelled(q, ticket.Endpoint)
	default:
		ticket.Done(h.resultOf(ctx, streamError(err)), now)
		h.runAborted(ctx, q, ticket.Endpoint)
	}
}

// bufferAnswer reads the body of a response, or the beginning of one that is large or that there is no memory for.
// whole reports whether it is all of it.
func (h *Handler) bufferAnswer(q *request, resp *backend.Response) (body payload.Payload, whole bool, err error) {
	size := int64(firstPiece)
	if resp.Length >= 0 {
		size = min(resp.Length+1, maxPiece) // one more byte shows that there is no more
	}
	for body.Len() <= maxBuffered {
		if !h.Bodies.Hold(&q.answerMemory, size) {
			return body, false, nil
		}
		piece := make([]byte, size)
		n, err := fill(resp, piece)
		body.Append(piece[:n])
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
		size = maxPiece
	}
	return body, false, nil
}

// copyBufferSize is the size in bytes of the buffer by which the rest of a large body is passed on.
const copyBufferSize = 4 << 10

// timedWriter writes to the client of a request, and records the time that takes.
type timedWriter struct {
	w     io.Writer
	q     *request
	clock *clock.Clock
}

// Write implements io.Writer.
func (t timedWriter) Write(p []byte) (int, error) {
	begin := t.clock.Now()
	n, err := t.w.Write(p)
	t.q.clientWait += t.clock.Since(begin)
	return n, err
}

// answer is an endpoint's error response, passed on if no other endpoint gives a better one.
type answer struct {
	head *backend.Response
	body payload.Payload
}

// valid reports whether a successful response is an endpoint's own: it bears a seal and a request
// ID, and nothing on the way has encoded it.
func valid(resp *backend.Response) bool {
	return resp.Answer.Sealed && resp.Answer.RequestID != "" && resp.Header.Get("Content-Encoding") == ""
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// writeHead copies the response headers.
func (h *Handler) writeHead(w http.ResponseWriter, q *request, resp *backend.Response) {
	h.copyHeader(w, resp.Header)
	if q.proxied {
		w.Header().Set(peerproxy.EndpointHeader, resp.Endpoint().ID)
	}
	q.answered = true
}

// copyHeader sets the header of the response to a client from that of a response received.
func (h *Handler) copyHeader(w http.ResponseWriter, received http.Header) {
	h.Protocol.CleanAnswer(received)
	out := w.Header()
	for name, values := range received {
		out[name] = values
	}
	if len(out["Content-Type"]) == 0 {
		out["Content-Type"] = nil // stops net/http from guessing one
	}
}

// writeResponse writes a response; body is the whole of its body, or the beginning.
func (h *Handler) writeResponse(w http.ResponseWriter, q *request, resp *backend.Response, body payload.Payload, whole bool) {
	if claimsNotRun(resp.Status) && !resp.Answer.NotRun {
		// The endpoint ran it or may have, which the status would deny.
		h.refuse(w, q, &denial{status: http.StatusBadGateway, why: "the status claims that the request was not run, the endpoint does not"})
		return
	}
	h.writeHead(w, q, resp)
	if whole {
		setLength(w, body.Len())
	}
	w.WriteHeader(resp.Status)
	q.passingSince = h.Clock.Now()
	_, err := body.WriteTo(w)
	if err == nil && !whole {
		_, err = io.CopyBuffer(timedWriter{w, q, h.Clock}, resp, make([]byte, copyBufferSize))
	}
	if err != nil {
		h.logEnd(q, event.StreamBroken, resp.Status, "response broke off", err)
		panic(http.ErrAbortHandler)
	}
	h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
}
