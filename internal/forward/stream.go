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
	maxEvent   = 1 << 20 // bytes of one event of a stream
	pauseShare = 0.8     // of the longest pause that operators want, from which a stream counts as held up
)

var (
	errLongEvent = errors.New("an event is too long")
	errTorn      = errors.New("the stream ended inside an event")
)

func setLength(w http.ResponseWriter, n int) { w.Header().Set("Content-Length", strconv.Itoa(n)) }

func broken(err error) *fault.Error {
	return fault.New(fault.StepStream, "", fault.KindBroken, fault.MayHaveRun, "read: %w", err)
}

// nextEvent reads one whole event, with its blank line. It returns io.EOF at
// the end of the stream and another error if the stream breaks off.
func nextEvent(r *bufio.Reader, into []byte) ([]byte, error) {
	into = into[:0]
	for {
		line, err := r.ReadSlice('\n')
		into = append(into, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(bytes.TrimSpace(into)) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, errTorn
		case err != nil:
			return nil, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(into) > len(line):
			return into, nil
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			into = into[:0] // blank lines between events
		}
		if len(into) > maxEvent {
			return nil, errLongEvent
		}
	}
}

// eventID returns the id of an event, or "".
func eventID(e []byte) string {
	for line := range bytes.SplitSeq(e, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// notAfter reports whether an event does not come after the last one passed on.
func notAfter(id, last string) bool {
	a, err1 := strconv.ParseInt(id, 10, 64)
	b, err2 := strconv.ParseInt(last, 10, 64)
	return err1 == nil && err2 == nil && a <= b
}

// stream passes events on as they come.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response) outcome {
	if !valid(resp) {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "a stream without a seal"}}
	}
	r := bufio.NewReader(resp)
	var buf []byte
	first := true
	for {
		e, err := nextEvent(r, buf)
		if err == io.EOF {
			if q.pause > 0 && q.route.MaxPause > 0 {
				ticket.Streamed(q.pause > time.Duration(pauseShare*float64(q.route.MaxPause)))
			}
			ticket.Done(balance.Answered, h.Clock.Now())
			h.cameThrough(q, ticket.Endpoint, resp)
			h.openStream(w, q, resp)
			h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
			return outcome{done: true}
		}
		if err != nil {
			return h.brokenStream(ctx, q, ticket, err)
		}
		buf = e
		if first {
			first = false
			ticket.Read(h.Clock.Now())
			h.began(q)
			h.Metrics.FirstToken(q.route.Name, h.Clock.Since(q.arrived))
		}
		ticket.Event(h.Clock.Now())
		id := eventID(e)
		if id != "" && q.event != "" && notAfter(id, q.event) {
			continue // repeated by the server that goes on
		}
		h.openStream(w, q, resp)
		if _, err := w.Write(e); err != nil {
			ticket.Done(balance.Cancelled, h.Clock.Now())
			h.left(q, ticket.Endpoint)
			h.logEnd(q, event.ClientLeft, resp.Status, "the client left", err)
			panic(http.ErrAbortHandler)
		}
		if r.Buffered() == 0 {
			_ = http.NewResponseController(w).Flush()
		}
		q.passed(h.Clock.Now())
		if id != "" {
			q.event = id
		}
	}
}

// openStream passes the head of the first server's answer on, once.
func (h *Handler) openStream(w http.ResponseWriter, q *request, resp *backend.Response) {
	if q.answered {
		return
	}
	h.head(w, q, resp)
	w.WriteHeader(resp.Status)
}

// brokenStream tells what follows from a stream that broke off.
func (h *Handler) brokenStream(ctx context.Context, q *request, ticket *balance.Ticket, err error) outcome {
	ticket.Done(h.blame(ctx, broken(err)), h.Clock.Now())
	h.broke(ctx, q, ticket.Endpoint)
	if ctx.Err() != nil {
		return outcome{denial: h.ended(ctx, q)}
	}
	again := q.route.Idempotent()
	if again {
		h.event(event.RequestResumed, zap.String("request", q.meta.ID), zap.String("server", ticket.Endpoint.ID), zap.String("after", q.event), zap.Error(err))
	}
	return outcome{again: again, denial: &denial{status: http.StatusBadGateway, why: "the stream broke off", err: err}}
}
