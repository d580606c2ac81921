// Package endpoint is the client of model engines and plain services.
//
// Each error tells whether the endpoint can have run any of the request: a
// call that failed before a connection stood has sent nothing. Client is safe
// for concurrent use.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

// ErrLeaving says that an endpoint refused work because it is leaving.
var ErrLeaving = errors.New("the endpoint is leaving")

// LeavingHeader is set by an endpoint that leaves, in all its answers.
const LeavingHeader = "Leaving"

const (
	reportTimeout  = 2 * time.Second
	maxAnswer      = 8 << 20
	maxReport      = 8 << 20
	streamBufferKB = 4
)

// RateLimitHeader names the requests a second that an endpoint accepts from all instances
// together, a decimal number. It is set in all its answers for as long as the limit holds.
const RateLimitHeader = "Rate-Limit"

// Statement is what an endpoint says of itself in an answer.
type Statement struct {
	notice.Notice
	RateLimit ratelimit.Limit
}

// Observe takes what an endpoint said of itself in an answer, whatever the answer was.
type Observe func(s Statement)

// Client calls endpoints over HTTP.
type Client struct {
	http *http.Client
}

// New returns a client that calls through transport.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}}
}

// Stream is an engine's answer being read.
type Stream struct {
	peer string
	body io.ReadCloser
	scan *bufio.Scanner
}

// Next returns the next token. It fails with a *fault.Error when the stream
// broke.
func (s *Stream) Next() (Chunk, error) {
	var c Chunk
	for s.scan.Scan() {
		data, ok := bytes.CutPrefix(s.scan.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if err := json.Unmarshal(data, &c); err != nil {
			return c, fault.New(fault.StepStream, s.peer, fault.KindBroken, fault.MayHaveRun, "token: %w", err)
		}
		return c, nil
	}
	err := s.scan.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return c, fault.New(fault.StepStream, s.peer, fault.KindBroken, fault.MayHaveRun, "stream broke: %w", err)
}

// Close ends the stream; the engine cancels what is left of it.
func (s *Stream) Close() { _ = s.body.Close() }

// Probe returns nil if an endpoint answers an HTTP request, whatever its status, or else why it
// cannot be reached.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+addr.String()+"/", nil)
	if err != nil {
		return fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "look: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(fault.StepDispatch, addr.String(), fault.KindRefused, fault.NotRun, "look: %w", err)
	}
	_ = resp.Body.Close()
	return nil
}

// Generate starts a request at an engine. Ending ctx cancels it.
func (c *Client) Generate(ctx context.Context, addr netip.AddrPort, g *Generate, hear Observe) (*Stream, error) {
	resp, err := c.post(ctx, addr, "/v1/generate", g, hear)
	if err != nil {
		return nil, err
	}
	s := &Stream{peer: addr.String(), body: resp.Body, scan: bufio.NewScanner(resp.Body)}
	s.scan.Buffer(make([]byte, 0, streamBufferKB<<10), maxAnswer)
	return s, nil
}

// Import asks the engine at addr to fetch a KV cache.
func (c *Client) Import(ctx context.Context, addr netip.AddrPort, m Import, hear Observe) (Export, error) {
	var x Export
	resp, err := c.post(ctx, addr, "/v1/kv/import", m, hear)
	if err != nil {
		return x, err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&x); err != nil {
		return x, fault.New(fault.StepResume, addr.String(), fault.KindBroken, fault.MayHaveRun, "import: %w", err)
	}
	return x, nil
}

func (c *Client) post(ctx context.Context, addr netip.AddrPort, path string, v any, hear Observe) (*http.Response, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "encode: %w", err)
	}
	return c.send(ctx, addr, path, "application/json", b, "", hear)
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call makes one call to a plain service. key is handed on as Idempotency-Key.
// It is never repeated here: not by the transport either, since a POST whose
// body was sent is not sent again.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, path, contentType, key string, body []byte, hear Observe) (ServiceAnswer, error) {
	var a ServiceAnswer
	resp, err := c.send(ctx, addr, "/"+path, contentType, body, key, hear)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	a.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return a, fault.New(fault.StepDispatch, addr.String(), fault.KindBroken, fault.MayHaveRun, "answer broke: %w", err)
	}
	a.Status, a.ContentType = resp.StatusCode, resp.Header.Get("Content-Type")
	return a, nil
}

func (c *Client) send(ctx context.Context, addr netip.AddrPort, path, contentType string, body []byte, key string, hear Observe) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.StepDispatch, addr.String(), fault.KindInternal, fault.NotRun, "request: %w", err)
	}
	// The transport sends a request that has an Idempotency-Key again by itself
	// when a connection breaks, if it can rewind the body or has none. Neither
	// may be the case: a call must not run twice.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.Header.Set("Content-Type", contentType)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, dispatchError(addr, err, connected.Load())
	}
	hear(statementOf(resp))
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

// statementOf returns what an endpoint says of itself in an answer. A refusal that names no
// rate limit does not tell that there is none.
func statementOf(resp *http.Response) Statement {
	s := Statement{Notice: notice.Notice{Leaving: resp.Header.Get(LeavingHeader) != ""}}
	refusal := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	switch values := resp.Header[RateLimitHeader]; {
	case len(values) > 0:
		s.RateLimit = ratelimit.Parse(values[0])
	case refusal:
		s.RateLimit = ratelimit.Limit{Kind: ratelimit.Unknown}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.RestFor = notice.RetryAfter(resp.Header)
	}
	return s
}

// dispatchError classifies a failed call. Without a connection nothing was sent.
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

// Report reads an endpoint's load and its cache events from number since on.
func (c *Client) Report(ctx context.Context, addr netip.AddrPort, since int, hear Observe) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var r Report
	url := "http://" + addr.String() + "/v1/report?since=" + strconv.Itoa(since)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return r, fault.New(fault.StepRoute, addr.String(), fault.KindInternal, fault.NotRun, "%w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, dispatchError(addr, err, true)
	}
	defer resp.Body.Close()
	hear(statementOf(resp))
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&r); err != nil {
		return r, fault.New(fault.StepRoute, addr.String(), fault.KindBroken, fault.NotRun, "report: %w", err)
	}
	return r, nil
}
