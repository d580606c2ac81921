package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
)

const (
	maxEventBytes = 1 << 20 // size limit of one event, in bytes
	stallFraction = 0.8     // a stream counts as stalled from this fraction of the longest pause that its route allows
)

var (
	errEventTooLong   = errors.New("event exceeds 1 MiB")
	errTruncatedEvent = errors.New("stream ended inside an event")
)

func setLength(w http.ResponseWriter, n int) { w.Header().Set("Content-Length", strconv.Itoa(n)) }

func streamError(err error) *fault.Error {
	return fault.New(fault.StepStream, "", fault.KindBroken, fault.MayHaveRun, "read: %w", err)
}

// nextEvent reads one complete event, including the blank line that ends it, into a buffer that
// it may reuse. It returns io.EOF at the end of the stream and another error if the stream
// breaks off.
func nextEvent(r *bufio.Reader, into []byte) ([]byte, error) {
	into = into[:0]
	lineStart := 0 // in into
	for {
		piece, err := r.ReadSlice('\n')
		into = append(into, piece...)
		switch {
		case err == bufio.ErrBufferFull: // the line goes on
		case err == io.EOF && len(bytes.TrimSpace(into)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errTruncatedEvent
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(into[lineStart:], "\r\n")) > 0:
			lineStart = len(into)
		case len(bytes.TrimSpace(into)) > 0:
			return into, nil
		default:
			into, lineStart = into[:0], 0 // blank lines between events
		}
		if len(into) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// eventID returns the ID of an event, or "".
func eventID(e []byte) string {
	for line := range bytes.SplitSeq(e, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// stream passes the events of a response on as they arrive.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response) outcome {
	if !valid(resp) {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "stream without a seal"}}
	}
	q.passage.framing = resp.Framing()
	r := bufio.NewReader(resp)
	var buf []byte
	first := true
	for {
		e, err := nextEvent(r, buf)
		if err == io.EOF {
			if q.passage.longest > 0 && q.route.TargetEventGap > 0 {
				ticket.Streamed(q.passage.longest > time.Duration(stallFraction*float64(q.route.TargetEventGap)))
			}
			ticket.Done(balance.Answered, h.Clock.Now())
			h.runCompleted(q, ticket.Endpoint, resp)
			h.openStream(w, q, resp)
			h.completeStream(q)
			h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
			return outcome{done: true}
		}
		if err != nil {
			return h.brokenStream(ctx, q, ticket, err)
		}
		buf = e
		if first {
			first = false
			ticket.PromptRead(h.Clock.Now())
			h.beginAnswer(q, ticket.Endpoint)
			h.compareForecast(q, ticket)
			h.began(q)
			h.Metrics.FirstToken(q.route.Name, h.Clock.Since(q.arrived))
			if !h.beginStream(q, ticket.Endpoint.Version) {
				return h.brokenStream(ctx, q, ticket, errOtherVersion)
			}
			q.spareBody()
		}
		ticket.Event(h.Clock.Now())
		id := eventID(e)
		if q.repeats(id) {
			continue // sent again by the endpoint that resumes the stream
		}
		h.openStream(w, q, resp)
		if _, err := w.Write(e); err != nil {
			ticket.Done(balance.Cancelled, h.Clock.Now())
			h.runCancelled(q, ticket.Endpoint)
			h.logEnd(q, event.ClientDisconnected, resp.Status, "client disconnected", err)
			panic(http.ErrAbortHandler)
		}
		if r.Buffered() == 0 {
			_ = http.NewResponseController(w).Flush()
		}
		q.passed(id, h.Clock.Now())
	}
}

// openStream sends the response head, taken from the first endpoint that answered, once.
func (h *Handler) openStream(w http.ResponseWriter, q *request, resp *backend.Response) {
	if q.answered {
		return
	}
	h.writeHead(w, q, resp)
	w.WriteHeader(resp.Status)
}

// brokenStream handles a stream that broke off, and decides whether to resume it elsewhere.
func (h *Handler) brokenStream(ctx context.Context, q *request, ticket *balance.Ticket, err error) outcome {
	ticket.Done(h.resultOf(ctx, streamError(err)), h.Clock.Now())
	h.runAborted(ctx, q, ticket.Endpoint)
	if ctx.Err() != nil {
		return outcome{denial: h.ended(ctx, q)}
	}
	again := q.route.Idempotent()
	if again {
		h.event(event.StreamResumed, zap.String("request", q.meta.ID), zap.String("server", ticket.Endpoint.ID), zap.String("version", ticket.Endpoint.Version), zap.String("after", q.lastEventID), zap.Strings("parts", q.sharedParts()), zap.Error(err))
	}
	return outcome{again: again, denial: &denial{status: http.StatusBadGateway, why: "stream broke off", err: err}}
}
