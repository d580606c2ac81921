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
	maxEventBytes   = 1 << 20  // size limit of one event, in bytes
	maxIdleBytes    = 16 << 10 // bytes of comments, blank lines and repetitions without an event
	usualEventBytes = 256      // size of a buffer for most events
	stallFraction   = 0.8      // a stream counts as stalled from this fraction of the longest pause that its route allows
)

var (
	errEventTooLong   = errors.New("event exceeds 1 MiB")
	errNoEvent        = errors.New("16 KiB without an event")
	errTruncatedEvent = errors.New("stream ended inside an event")
)

func setLength(w http.ResponseWriter, n int) { w.Header().Set("Content-Length", strconv.Itoa(n)) }

func streamError(err error) *fault.Error {
	return fault.New(fault.StepStream, "", fault.KindBroken, fault.MayHaveRun, "read: %w", err)
}

// eventReader reads the blocks of lines of a stream.
type eventReader struct {
	r    *bufio.Reader
	buf  []byte
	idle int    // bytes since the last event that are part of none
	last string // highest ID of an event
}

// newEventReader returns a reader of the events of r that calls flush before each read from r, which may have to wait.
func newEventReader(r io.Reader, flush func()) eventReader {
	return eventReader{r: bufio.NewReader(flushingReader{r, flush}), buf: make([]byte, 0, usualEventBytes)}
}

type flushingReader struct {
	io.Reader
	flush func()
}

// Read implements io.Reader.
func (r flushingReader) Read(p []byte) (int, error) {
	r.flush()
	return r.Reader.Read(p)
}

// flusher returns a function that sends what was written of a stream since its last call.
func (q *request) flusher(w http.ResponseWriter) func() {
	control := http.NewResponseController(w)
	return func() {
		if q.unflushed {
			q.unflushed = false
			_ = control.Flush()
		}
	}
}

// next returns the next block, complete with the blank line that ends it, which is valid until the following call. It is
// an event if it has an ID above those before or, without an ID, data; other blocks are comments or repetitions. The error is
// io.EOF at the end of the stream, and another one if the stream breaks off or goes on without events.
func (s *eventReader) next() (block []byte, id string, isEvent bool, err error) {
	blank, err := s.read()
	if err != nil {
		return nil, "", false, err
	}
	id, isEvent = identify(s.buf)
	if n, last, ok := numbers(id, s.last); ok && n <= last {
		isEvent = false
	}
	if !isEvent {
		if s.idle += blank + len(s.buf); s.idle > maxIdleBytes {
			return nil, "", false, errNoEvent
		}
		return s.buf, id, false, nil
	}
	s.idle = 0
	if id != "" {
		s.last = id
	}
	return s.buf, id, true, nil
}

// read reads one complete block into the buffer, and returns the number of bytes of blank lines before it.
func (s *eventReader) read() (blank int, err error) {
	s.buf = s.buf[:0]
	idle := s.idle
	lineStart := 0 // in the buffer
	for {
		piece, err := s.r.ReadSlice('\n')
		s.buf = append(s.buf, piece...)
		line := s.buf[lineStart:] // as far as it has been read
		if bytes.HasPrefix(line, []byte(":")) {
			idle += len(piece) // of a comment
		}
		switch {
		case err == bufio.ErrBufferFull: // the line goes on
		case err == io.EOF && len(bytes.TrimSpace(s.buf)) == 0:
			return 0, io.EOF
		case err == io.EOF:
			return 0, errTruncatedEvent
		case err != nil:
			return 0, err
		case len(bytes.TrimRight(line, "\r\n")) > 0:
			lineStart = len(s.buf)
		case len(bytes.TrimSpace(s.buf)) > 0:
			return blank, nil
		default: // between blocks
			idle += len(s.buf)
			blank += len(s.buf)
			s.buf, lineStart = s.buf[:0], 0
		}
		if len(s.buf) > maxEventBytes {
			return 0, errEventTooLong
		}
		if idle > maxIdleBytes {
			return 0, errNoEvent
		}
	}
}

// identify returns the ID of a block of lines, or "", and whether it is an event.
func identify(block []byte) (id string, isEvent bool) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest)), true
		}
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(":"))
		isEvent = isEvent || string(name) == "data" || string(name) == "id"
	}
	return "", isEvent
}

// stream passes the events of a response on as they arrive.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response) outcome {
	if !valid(resp) {
		ticket.Done(balance.Failed, h.Clock.Now())
		return outcome{again: q.route.Idempotent(), denial: &denial{status: http.StatusBadGateway, why: "stream without a seal"}}
	}
	q.passage.framing = resp.Framing()
	resp.ReportProgress()
	events := newEventReader(resp, q.flusher(w))
	var comments []byte // held until the first event, so that another status can still be sent
	first := true
	for {
		block, id, isEvent, err := events.next()
		if err == io.EOF {
			if q.passage.longest > 0 && q.route.TargetEventGap > 0 {
				ticket.Streamed(q.passage.longest > time.Duration(stallFraction*float64(q.route.TargetEventGap)))
			}
			ticket.Done(balance.Answered, h.Clock.Now())
			h.runCompleted(q, ticket.Endpoint, resp)
			if !q.answered {
				h.passBlock(w, q, ticket, resp, comments)
			}
			h.completeStream(q)
			h.logEnd(q, event.ForwardAnswered, resp.Status, "", nil)
			return outcome{done: true}
		}
		if err != nil {
			return h.brokenStream(ctx, q, ticket, err)
		}
		if !isEvent {
			switch {
			case id != "": // sent again by the endpoint
				q.passage.repeated++
			case q.answered:
				h.passBlock(w, q, ticket, resp, block)
			default:
				comments = append(comments, block...)
			}
			continue
		}
		resp.Progress(q.progressDue(h.Clock.Now()))
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
		if q.repeats(id) {
			continue // sent again by the endpoint that resumes the stream
		}
		if !q.answered && len(comments) > 0 {
			h.passBlock(w, q, ticket, resp, comments)
			comments = nil
		}
		h.passBlock(w, q, ticket, resp, block)
		q.passed(id, h.Clock.Now())
	}
}

// passBlock passes a part of a stream on to the client. It is sent before more is read from the endpoint.
func (h *Handler) passBlock(w http.ResponseWriter, q *request, ticket *balance.Ticket, resp *backend.Response, block []byte) {
	h.openStream(w, q, resp)
	if _, err := w.Write(block); err != nil {
		ticket.Done(balance.Cancelled, h.Clock.Now())
		h.runCancelled(q, ticket.Endpoint)
		h.logEnd(q, event.ClientDisconnected, resp.Status, "client disconnected", err)
		panic(http.ErrAbortHandler)
	}
	q.unflushed = true
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
	again := q.route.Idempotent() && q.mayGoOn()
	if again {
		h.event(event.StreamResumed, zap.String("request", q.meta.ID), zap.String("server", ticket.Endpoint.ID), zap.String("version", ticket.Endpoint.Version), zap.String("after", q.lastEventID), zap.Strings("parts", q.sharedParts()), zap.Error(err))
	}
	return outcome{again: again, denial: &denial{status: http.StatusBadGateway, why: "stream broke off", err: err}}
}
