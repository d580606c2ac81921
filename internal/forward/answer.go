package forward

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
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
	h.runCompleted(q, ticket.Endpoint, resp)
	h.compareForecast(q, ticket)
	if resp.Status >= http.StatusInternalServerError {
		ticket.Done(balance.Failed, h.Clock.Now())
		if q.route.Idempotent() && whole {
			return outcome{again: true, denial: &denial{why: "endpoint failed", answer: &answer{resp, body}}}
		}
	} else {
		ticket.Done(balance.Answered, h.Clock.Now())
	}
	h.writeResponse(w, q, resp, body, whole)
	return outcome{done: true}
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

// writerOnly hides io.ReaderFrom, which would use a larger buffer.
type writerOnly struct{ io.Writer }

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
	_, err := body.WriteTo(w)
	if err == nil && !whole {
		_, err = io.CopyBuffer(writerOnly{w}, resp, make([]byte, copyBufferSize))
	}
	if err != nil {
		h.logEnd(q, event.StreamBroken, resp.Status, "response broke off", err)
		panic(http.ErrAbortHandler)
	}
	h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
}
