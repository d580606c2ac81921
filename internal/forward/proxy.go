package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
)

// ServeProxied handles a request that another instance got from its client and has no path to an
// endpoint for; its context holds the peerproxy.Request. It is handled as any other, except that the
// other instance has charged it to the limit of its client account, and that it is not passed on.
func (h *Handler) ServeProxied(w http.ResponseWriter, r *http.Request) {
	p := peerproxy.FromContext(r.Context())
	q := &request{
		arrived: h.Clock.Now(), view: h.View(), meta: h.Protocol.Request(r.Header), proxied: true,
		deadline: p.Deadline, tried: p.Tried, chosen: slices.Clone(p.Tried), mayHaveRun: p.MayHaveRun,
		tryCounted: p.TryCounted, counted: p.RunCounted, answered: p.Answered, lastEventID: p.LastEventID,
		began: p.Resumes, version: p.Version, service: p.Service,
	}
	h.serve(w, r, q)
}

// unreachable is the denial for a request that no endpoint could be connected to for.
func (h *Handler) unreachable(q *request, err error) *denial {
	return &denial{status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "no endpoint reachable", wait: waitRetry, err: err}
}

// mayTryAnyPath reports whether endpoints that count as unreachable may be tried for a request that no
// other instance takes. If this instance is cut off, that would only keep the client waiting.
func (h *Handler) mayTryAnyPath(ctx context.Context, q *request) bool {
	return !q.anyPath && ctx.Err() == nil && !h.Paths.Lost()
}

// proxy has another instance serve a request, and passes the response on. taken is false if no instance takes
// the request: nothing of it was sent then. If the other instance breaks off, the request goes on elsewhere where
// it may run again.
func (h *Handler) proxy(ctx context.Context, w http.ResponseWriter, q *request) (out outcome, taken bool) {
	if q.proxied || ctx.Err() != nil || h.Clock.Until(q.deadline) < minRemaining {
		return outcome{}, false
	}
	sentAt := h.Clock.Now()
	resp, err := h.Proxy.Send(ctx, &peerproxy.Request{
		Service: q.service, Deadline: q.deadline, Tried: q.tried, MayHaveRun: q.mayHaveRun,
		TryCounted: q.tryCounted, RunCounted: q.counted, Answered: q.answered, LastEventID: q.lastEventID,
		Resumes: q.began, Version: q.version, BrokenOffBy: q.brokenOffBy,
		Call: &backend.Call{Method: q.method, URI: q.uri, Host: q.host, Header: h.receivedHeader(q), Body: q.body, ID: q.meta.ID},
	})
	if errors.Is(err, peerproxy.ErrNotTaken) {
		return outcome{}, false
	}
	if err != nil {
		q.mayHaveRun = true
		q.relaysBroken++
		if f := (*fault.Error)(nil); errors.As(err, &f) {
			q.brokenOffBy = append(q.brokenOffBy, f.Peer)
		}
		if ctx.Err() != nil {
			return outcome{denial: h.ended(ctx, q)}, true
		}
		return outcome{again: q.route.Idempotent(), denial: relayBroken(err)}, true
	}
	defer resp.Close()
	h.observeProxied(q, resp, sentAt)
	if claimsNotRun(resp.StatusCode) {
		h.refund(q)
	} else {
		q.mayHaveRun = true
	}
	return h.passOn(ctx, w, q, resp), true
}

// relayBroken is the denial for a request whose response another instance broke off.
func relayBroken(err error) *denial {
	return &denial{status: http.StatusBadGateway, why: "another instance broke off", err: err}
}

// observeProxied applies what the endpoint announces in a response that another instance got from it, and
// records at which version a stream begins.
func (h *Handler) observeProxied(q *request, resp *peerproxy.Response, sentAt time.Time) {
	id := resp.Header.Get(peerproxy.EndpointHeader)
	resp.Header.Del(peerproxy.EndpointHeader)
	if id != "" {
		q.tried = append(q.tried, id)
		q.chosen = append(q.chosen, id)
	}
	for _, e := range h.View().Listed {
		if e.ID == id {
			h.Backends.Observe(&e, resp.StatusCode, resp.Header, sentAt)
			if resp.StatusCode == http.StatusOK && isEvents(resp.Header) {
				h.beginStream(q, e.Version)
				q.counted = true // by the other instance
			}
			return
		}
	}
}

// receivedHeader returns the header that the client sent, without what concerns its connection only.
func (h *Handler) receivedHeader(q *request) http.Header {
	out := q.received.Clone()
	h.Protocol.CleanAnswer(out)
	return out
}

var errNotResumed = errors.New("the other instance did not resume the stream")

// passOn passes the response of another instance on as it comes. A stream of which the client has the
// beginning goes on with the body of the response.
func (h *Handler) passOn(ctx context.Context, w http.ResponseWriter, q *request, resp *peerproxy.Response) outcome {
	// The rest of a stream comes without the header of an event stream: the client has that already.
	events := resp.StatusCode == http.StatusOK && (q.answered || isEvents(resp.Header))
	if q.answered {
		if !events {
			q.relaysBroken++
			q.brokenOffBy = append(q.brokenOffBy, resp.Instance)
			return outcome{again: true, denial: relayBroken(errNotResumed)}
		}
	} else {
		q.answered = true
		h.writeProxiedHead(w, resp)
	}
	if events {
		q.spareBody()
	}
	var err error
	if events && q.route.Resumable {
		q.passage.framing = backend.FramingOf(resp.Response)
		if err = h.passEventsOn(w, q, resp.Body); err != nil && q.began && q.mayGoOn() && !errors.Is(err, errClientWrite) && ctx.Err() == nil {
			h.event(event.StreamResumed, zap.String("request", q.meta.ID), zap.String("peer", resp.Instance), zap.String("version", q.version), zap.String("after", q.lastEventID), zap.Error(err))
			q.brokenOffBy = append(q.brokenOffBy, resp.Instance)
			return outcome{again: true, denial: relayBroken(err)}
		}
	} else {
		err = copyFlushed(w, resp.Body)
	}
	if err != nil {
		h.abort(ctx, q, resp, err)
	}
	h.completeStream(q)
	h.logEnd(q, event.ForwardProxied, resp.StatusCode, "", nil, zap.String("peer", resp.Instance))
	return outcome{done: true}
}

var errClientWrite = errors.New("write to the client")

// passEventsOn passes whole events on, so that another instance can resume the stream after the last one.
func (h *Handler) passEventsOn(w http.ResponseWriter, q *request, body io.Reader) error {
	events := newEventReader(body, q.flusher(w))
	for {
		block, id, isEvent, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if id != "" && !isEvent || q.repeats(id) {
			continue
		}
		if _, err := w.Write(block); err != nil {
			return fmt.Errorf("%w: %w", errClientWrite, err)
		}
		q.unflushed = true
		if isEvent {
			q.passed(id, h.Clock.Now())
		}
	}
}

// writeProxiedHead writes the head of another instance's response.
func (h *Handler) writeProxiedHead(w http.ResponseWriter, resp *peerproxy.Response) {
	h.copyHeader(w, resp.Header)
	if resp.ContentLength >= 0 {
		setLength(w, int(resp.ContentLength))
	}
	w.WriteHeader(resp.StatusCode)
}

// abort closes the client's connection in the middle of a response, so that the client does not take
// it for complete.
func (h *Handler) abort(ctx context.Context, q *request, resp *peerproxy.Response, err error) {
	code, why := event.StreamBroken, "another instance broke off"
	if clientLeft(ctx) {
		code, why = event.ClientDisconnected, "client disconnected"
	}
	h.logEnd(q, code, resp.StatusCode, why, err, zap.String("peer", resp.Instance))
	panic(http.ErrAbortHandler)
}

// copyFlushed copies a response body and sends each part on at once.
func copyFlushed(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	buf := make([]byte, proxyBufferSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
			_ = flusher.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// noProxy is the Proxy of an instance without others.
type noProxy struct{}

// Send implements Proxy.
func (noProxy) Send(context.Context, *peerproxy.Request) (*peerproxy.Response, error) {
	return nil, peerproxy.ErrNotTaken
}

const proxyBufferSize = 16 << 10 // bytes
