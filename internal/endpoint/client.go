// Package endpoint is an HTTP client for endpoints: model engines and plain services.
//
// Errors of calls are *fault.Error values that say whether the endpoint may
// have run any part of the request: a call that failed before it had a
// connection has sent nothing. Client is safe for concurrent use.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

// ErrLeaving means that an endpoint refused a request because it is leaving.
var ErrLeaving = errors.New("the endpoint is leaving")

// LeavingHeader is the response header that an endpoint sets in all its responses while it is
// leaving. Any value counts.
const LeavingHeader = "Leaving"

const (
	reportTimeout  = 2 * time.Second
	maxAnswerBytes = 8 << 20
	maxReportBytes = 8 << 20
	maxIdleBytes   = 16 << 10 // of a stream between two tokens
	streamBufferKB = 4
)

// RateLimitHeader is the response header with the number of requests per second, in decimal, that an
// endpoint accepts from all instances together. The endpoint sets it in all its responses while the
// limit is in force.
const RateLimitHeader = "Rate-Limit"

// RequestHeader is the header of each request with an id of its own, which an endpoint repeats in its response. Connections
// are kept only to endpoints that do.
const RequestHeader = "Request-Id"

// Signals are what the headers of a response say about the endpoint itself: whether it is leaving,
// requests a backoff, or limits the request rate.
type Signals struct {
	notice.Notice
	RateLimit ratelimit.Limit
}

// Observe is a function that receives the signals of a response, whatever its status.
type Observe func(s Signals)

// Client calls endpoints over HTTP.
type Client struct {
	kept  *http.Client // keeps connections
	fresh *http.Client // has a connection for each request

	mu    sync.Mutex
	names map[netip.AddrPort]struct{} // endpoints whose last response named its request; guarded by mu
}

// New returns a client that sends its requests through transport.
func New(transport *netx.HTTPTransport) *Client {
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		kept: &http.Client{Transport: transport}, fresh: &http.Client{Transport: fresh},
		names: make(map[netip.AddrPort]struct{}),
	}
}

// maxNames bounds the addresses that are remembered, of which some may be out of use.
const maxNames = 4096

// do sends a request. On a connection that was used before, only a response that names the request is taken for its
// response: bytes that belong to no request may have been left over or come late. What comes on a new connection can't.
func (c *Client) do(addr netip.AddrPort, req *http.Request) (*http.Response, error) {
	id := rand.Text()
	req.Header.Set(RequestHeader, id)
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) }}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	client := c.fresh
	if c.namesRequests(addr) {
		client = c.kept
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	named := resp.Header.Get(RequestHeader) == id
	c.setNamesRequests(addr, named)
	if !named && reused.Load() {
		_ = resp.Body.Close()
		return nil, errForeignResponse
	}
	return resp, nil
}

var errForeignResponse = errors.New("the response does not name the request")

func (c *Client) namesRequests(addr netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.names[addr]
	return ok
}

func (c *Client) setNamesRequests(addr netip.AddrPort, named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !named {
		delete(c.names, addr)
		return
	}
	if len(c.names) >= maxNames {
		clear(c.names)
	}
	c.names[addr] = struct{}{}
}

// Stream reads an engine's answer, token by token. It is not safe for concurrent use.
type Stream struct {
	addr string
	body io.ReadCloser
	scan *bufio.Scanner
	last int // index of the last token; -1 before the first
	idle int // bytes since then
}

var (
	errNoToken       = errors.New("16 KiB without a token")
	errAnswerTooLong = errors.New("answer exceeds 8 MiB")
	errNoBody        = errors.New("the connection ended between the head and the body")
)

// Next returns the next token. The error is a *fault.Error; it is returned also at the end of the
// body, since the last token has Done set and no reader goes on after it, and if the stream goes on without tokens.
func (s *Stream) Next() (Chunk, error) {
	var c Chunk
	for s.idle <= maxIdleBytes && s.scan.Scan() {
		s.idle += len(s.scan.Bytes()) + 1
		data, ok := bytes.CutPrefix(s.scan.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if err := json.Unmarshal(data, &c); err != nil {
			return c, fault.New(fault.StepStream, s.addr, fault.KindBroken, fault.MayHaveRun, "decode token: %w", err)
		}
		if c.Index > s.last || c.Done {
			s.last, s.idle = c.Index, 0
		}
		return c, nil
	}
	err := s.scan.Err()
	if s.idle > maxIdleBytes {
		err = errNoToken
	} else if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return c, fault.New(fault.StepStream, s.addr, fault.KindBroken, fault.MayHaveRun, "read stream: %w", err)
}

// Close closes the stream. The engine cancels the rest of the answer.
func (s *Stream) Close() { _ = s.body.Close() }

// Probe returns nil if an endpoint answers an HTTP request, whatever its status, or else why it
// cannot be reached.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+addr.String()+"/", nil)
	if err != nil {
		return fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "probe: create request: %w", err)
	}
	resp, err := c.do(addr, req)
	if errors.Is(err, errForeignResponse) {
		return nil
	}
	if err != nil {
		return fault.New(fault.StepDispatch, addr.String(), fault.KindRefused, fault.NotRun, "probe: %w", err)
	}
	_ = resp.Body.Close()
	return nil
}

// Generate sends a request to an engine and returns its answer as a stream, which the caller has to
// close. Cancelling ctx cancels the request. observe receives the signals of the response.
func (c *Client) Generate(ctx context.Context, addr netip.AddrPort, g *Generate, observe Observe) (*Stream, error) {
	resp, err := c.post(ctx, addr, "/v1/generate", g, observe)
	if err != nil {
		return nil, err
	}
	s := &Stream{addr: addr.String(), body: resp.Body, scan: bufio.NewScanner(resp.Body), last: -1}
	s.scan.Buffer(make([]byte, 0, streamBufferKB<<10), maxAnswerBytes)
	return s, nil
}

// Import makes the engine at addr fetch a request's KV cache from another engine. It returns when the
// engine has answered, with a description of the cache.
func (c *Client) Import(ctx context.Context, addr netip.AddrPort, m Import, observe Observe) (Export, error) {
	var x Export
	resp, err := c.post(ctx, addr, "/v1/kv/import", m, observe)
	if err != nil {
		return x, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&x); err != nil {
		return x, fault.New(fault.StepResume, addr.String(), fault.KindBroken, fault.MayHaveRun, "decode import answer: %w", err)
	}
	return x, nil
}

func (c *Client) post(ctx context.Context, addr netip.AddrPort, path string, v any, observe Observe) (*http.Response, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "encode request: %w", err)
	}
	return c.send(ctx, addr, path, "application/json", b, "", observe)
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call sends one call to a plain service and returns the complete answer. A key other than "" is sent
// as Idempotency-Key. The call is sent at most once: send also keeps the transport from repeating
// it.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, path, contentType, key string, body []byte, observe Observe) (ServiceAnswer, error) {
	var a ServiceAnswer
	resp, err := c.send(ctx, addr, "/"+path, contentType, body, key, observe)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(a.Body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	if err != nil {
		return a, fault.New(fault.StepDispatch, addr.String(), fault.KindBroken, fault.MayHaveRun, "read answer: %w", err)
	}
	if backend.FramingOf(resp) == backend.ByConnection {
		// Only the end of the connection marks the end of the body, and a process that is killed ends its connections, too.
		// One that lives may have failed between the head and the body.
		if len(a.Body) == 0 {
			return a, fault.New(fault.StepDispatch, addr.String(), fault.KindBroken, fault.MayHaveRun, "read answer: %w", errNoBody)
		}
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := c.Probe(ctx, addr); err != nil {
			return a, fault.New(fault.StepDispatch, addr.String(), fault.KindBroken, fault.MayHaveRun, "the connection ended, and whether the answer is whole is not known: %w", err)
		}
	}
	a.Status, a.ContentType = resp.StatusCode, resp.Header.Get("Content-Type")
	return a, nil
}

func (c *Client) send(ctx context.Context, addr netip.AddrPort, path, contentType string, body []byte, key string, observe Observe) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "create request: %w", err)
	}
	// When a connection breaks, net/http's transport resends a request that has an
	// Idempotency-Key if it can rewind the body or there is none. A call must not
	// run twice, so the request gets a body that cannot be rewound.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.do(addr, req)
	if err != nil {
		return nil, dispatchError(addr, err, connected.Load())
	}
	observe(signalsOf(resp))
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(LeavingHeader) != "" {
		_ = resp.Body.Close()
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindRefused, fault.NotRun, "%w", ErrLeaving)
	}
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		_ = resp.Body.Close()
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindRefused, fault.NotRun, "refused: status %d", resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		_ = resp.Body.Close()
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindBroken, fault.MayHaveRun, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// signalsOf returns the signals of a response. A response without a rate limit means that there is
// none, except if it is a refusal: that leaves the limit unknown.
func signalsOf(resp *http.Response) Signals {
	s := Signals{Notice: notice.Notice{Leaving: resp.Header.Get(LeavingHeader) != ""}}
	refusal := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	switch values := resp.Header[RateLimitHeader]; {
	case len(values) > 0:
		s.RateLimit = ratelimit.Parse(values[0])
	case refusal:
		s.RateLimit = ratelimit.Limit{Kind: ratelimit.Unknown}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.Backoff = notice.RetryAfter(resp.Header)
	}
	return s
}

// dispatchError classifies a failed call. A call without a connection has sent nothing, so it has not
// run.
func dispatchError(addr netip.AddrPort, err error, connected bool) *fault.Error {
	run := fault.MayHaveRun
	kind := fault.KindBroken
	if !connected {
		run, kind = fault.NotRun, fault.KindRefused
	}
	var netErr net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout()) {
		kind = fault.KindTimeout
	}
	return fault.New(fault.StepDispatch, addr.String(), kind, run, "%w", err)
}

// Report reads an engine's load and its cache events, starting with event number since.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort, since int, observe Observe) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var r Report
	url := "http://" + addr.String() + "/v1/report?since=" + strconv.Itoa(since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, fault.New(fault.StepRoute, addr.String(), fault.KindInternal, fault.NotRun, "%w", err)
	}
	resp, err := c.do(addr, req)
	if err != nil {
		return r, dispatchError(addr, err, true)
	}
	defer resp.Body.Close()
	observe(signalsOf(resp))
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return r, fault.New(fault.StepRoute, addr.String(), fault.KindBroken, fault.NotRun, "decode report: %w", err)
	}
	return r, nil
}
