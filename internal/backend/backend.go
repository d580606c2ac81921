// Package backend sends requests to endpoints over persistent HTTP/1.1 connections.
//
// It tracks for each request whether any byte of it was written: an error says "not run" only if
// none was, or if the endpoint said so. It never retries a request by itself. A response to
// another request is skipped, and a connection that received unexpected bytes is not reused.
//
// Client is safe for concurrent use.
package backend

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/brittle"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/progress"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/reach"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Protocol reads the headers of an endpoint's response.
type Protocol interface {
	Answer(status int, h http.Header) Answer
}

// Answer is what an endpoint states in the headers of its response.
type Answer struct {
	RequestID   string // of the request that the response belongs to; empty if not stated
	Instance    string // ID of the endpoint; empty if not stated
	Sealed      bool   // the response bears the endpoint's seal
	NotRun      bool   // the endpoint did not run the request
	Misdirected bool   // another endpoint has this address now
	Close       bool   // the endpoint wants the connection closed
	Notice      notice.Notice
	RateLimit   ratelimit.Limit
	Load        loadreport.Report
	HasLoad     bool
	Brittle     int // rejections a second for lack of room after which the endpoint falls over; 0 if it does not
}

// Call is one request to one endpoint.
type Call struct {
	Endpoint registry.Endpoint
	MaxConns int // maximum connections of this instance to the endpoint; 0 for no limit
	Method   string
	URI      string // as received from the client
	Host     string
	Header   http.Header
	Body     payload.Payload
	ID       string        // request ID
	MaxIdle  time.Duration // a connection that has been idle for longer is not used; 0 for no limit
	Due      time.Time     // then bytes that are no progress of the response prove the endpoint faulty; zero for never
	Resumes  bool          // the response is the rest of a stream, of which there may be nothing
}

// Response is an endpoint's response to the request of a Call: it names the request. The caller has to call Close.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if unknown
	Answer Answer
	Reused bool // the connection has carried an earlier request

	body     io.Reader
	framing  string
	reported bool // the caller reports the progress of the body
	resumes  bool // see Call.Resumes
	err      error
	call     *exchange
}

const (
	dialTimeout    = 400 * time.Millisecond
	maxIdle        = 8 * time.Second // an idle connection is closed after it
	maxIdleConns   = 64              // for each endpoint
	maxMismatched  = 3               // responses to other requests that are skipped before giving up
	maxHeaderBytes = 64 << 10
	maxInlineBody  = 8 << 10 // bytes; a body up to this size is written before the response is read
	// unreadBytes limits what the system holds of a response while its client does not read.
	unreadBytes = 32 << 10
)

// Client is a pool of connections to endpoints.
type Client struct {
	net      netx.Network
	protocol Protocol
	notices  *notice.Table
	limits   *ratelimit.Table
	loads    *loadreport.Table
	paths    *reach.Tracker
	brittle  *brittle.Table
	clock    *clock.Clock

	mu        sync.Mutex
	endpoints map[string]*connections // by endpoint ID; guarded by mu
}

type connections struct {
	idle  []*conn
	held  *heldConn // nil if no response without framing is read
	open  int
	taken bool // another endpoint has answered at the address
}

// Options configure a Client.
type Options struct {
	Net      netx.Network
	Protocol Protocol
	Notices  *notice.Table     // receives the notices in the endpoints' responses
	Limits   *ratelimit.Table  // receives the rate limits in the endpoints' responses
	Loads    *loadreport.Table // receives the load reports in the endpoints' responses; may be nil
	Paths    *reach.Tracker    // receives which endpoints can be connected to; may be nil
	Brittle  *brittle.Table    // receives whether endpoints fall over after rejections; may be nil
	Clock    *clock.Clock      // may be nil
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{net: o.Net, clock: o.Clock, protocol: o.Protocol, notices: o.Notices, limits: o.Limits, loads: o.Loads, paths: cmp.Or(o.Paths, reach.New()), brittle: o.Brittle, endpoints: make(map[string]*connections)}
}

// Observe applies what an endpoint announces in a response that another instance got, to a request that was sent at a
// time.
func (c *Client) Observe(endpoint *registry.Endpoint, status int, h http.Header, sentAt time.Time) {
	c.apply(endpoint, c.protocol.Answer(status, h), sentAt)
}

// apply applies what an endpoint announces in a response to a request that was sent at a time.
func (c *Client) apply(endpoint *registry.Endpoint, a Answer, sentAt time.Time) {
	if a.Misdirected { // the response is from another endpoint, which has the address now
		return
	}
	now := c.clock.Now()
	c.notices.Observe(*endpoint, a.Notice, now)
	c.limits.Observe(endpoint.ID, a.RateLimit, sentAt, now)
	if c.brittle != nil {
		c.brittle.Observe(endpoint, a.Brittle, sentAt, now)
	}
	if a.HasLoad && c.loads != nil {
		c.loads.Observe(endpoint, a.Load, now)
	}
}

// errConnLimit reports that an endpoint already has the maximum number of connections.
var errConnLimit = errors.New("too many connections to the endpoint")

// acquire returns an idle connection or dials a new one.
func (c *Client) acquire(ctx context.Context, call *Call) (*conn, error) {
	now := c.clock.Now()
	c.mu.Lock()
	s := c.endpoints[call.Endpoint.ID]
	if s == nil {
		s = &connections{}
		c.endpoints[call.Endpoint.ID] = s
	}
	for len(s.idle) > 0 {
		k := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if k.usable(now, call.MaxIdle) {
			c.mu.Unlock()
			k.reused = true
			return k, nil
		}
		s.open--
		k.close()
	}
	if call.MaxConns > 0 && s.open >= call.MaxConns {
		c.mu.Unlock()
		return nil, errConnLimit
	}
	s.open++
	c.mu.Unlock()
	k, err := c.dial(ctx, &call.Endpoint, dialTimeout)
	if err != nil {
		c.discard(call.Endpoint.ID, nil)
	}
	return k, err
}

// dial connects to an endpoint, and records a failure unless ctx ends first. A connection may still be
// reset at once, so that success is recorded only when something is received.
func (c *Client) dial(ctx context.Context, endpoint *registry.Endpoint, timeout time.Duration) (*conn, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := c.net.Dial(limited, endpoint.Addr)
	if err == nil {
		if s, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
			_ = s.SetReadBuffer(unreadBytes) // without it, more is held
		}
		return c.newConn(endpoint.ID, raw), nil
	}
	if ctx.Err() == nil {
		c.paths.Failed(endpoint.ID, c.clock.Now())
	}
	return nil, err
}

// release returns a connection that was used to the pool for the next request.
func (c *Client) release(endpoint string, k *conn) {
	k.idleSince = c.clock.Now()
	c.putBack(endpoint, k)
}

// putBack returns a connection to the pool that has not been used since it was taken out.
func (c *Client) putBack(endpoint string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpoints[endpoint]
	if s == nil || len(s.idle) >= maxIdleConns {
		k.close()
		c.decrementOpen(endpoint)
		return
	}
	s.idle = append(s.idle, k)
}

// discard closes a connection, which is nil if dialling failed.
func (c *Client) discard(endpoint string, k *conn) {
	if k != nil {
		k.close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decrementOpen(endpoint)
}

// decrementOpen decrements the count of open connections to an endpoint. c.mu is held.
func (c *Client) decrementOpen(endpoint string) {
	if s := c.endpoints[endpoint]; s != nil {
		s.open--
	}
}

// CloseUnused closes connections that have been idle for too long, and all idle connections to
// endpoints that are no longer wanted.
func (c *Client) CloseUnused(now time.Time, wanted func(endpoint string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.endpoints {
		gone := !wanted(id)
		kept := s.idle[:0]
		for _, k := range s.idle {
			if gone || !k.usable(now, 0) {
				k.close()
				s.open--
				continue
			}
			kept = append(kept, k)
		}
		clear(s.idle[len(kept):])
		s.idle = kept
		if gone && s.open <= 0 {
			delete(c.endpoints, id)
		}
	}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.CloseUnused(c.clock.Now(), func(string) bool { return false })
}

// Send sends a request and returns the head of the response. An error is a *fault.Error, which
// says whether the request may have run.
func (c *Client) Send(ctx context.Context, call *Call) (*Response, error) {
	k, err := c.acquire(ctx, call)
	if err != nil {
		kind := fault.KindRefused
		if errors.Is(err, errConnLimit) {
			kind = fault.KindLimit
		}
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, kind, fault.NotRun, "connect: %w", err)
	}
	if ctx.Err() != nil { // ctx ended while the connection was made
		c.putBack(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindTimeout, fault.NotRun, "connect: %w", context.Cause(ctx))
	}
	// The endpoint may have requested a backoff while the connection was made, which takes up to
	// dialTimeout: without this check, requests of four instances at once would go on arriving
	// throughout the backoff.
	now := c.clock.Now()
	if err := c.notices.Allows(&call.Endpoint, now); err != nil {
		c.putBack(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindLimit, fault.NotRun, "send: %w", err)
	}
	if err := c.limits.Take(call.Endpoint.ID, now); err != nil {
		c.putBack(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindLimit, fault.NotRun, "send: %w", err)
	}
	k.budget = progress.New(call.Due)
	x := &exchange{client: c, ctx: ctx, endpoint: call.Endpoint, maxConns: call.MaxConns, conn: k, sentAt: now}
	x.watch(ctx)
	c.paths.Sent(now)
	resp, err := x.do(call)
	if err != nil {
		if ctx.Err() == nil && !k.reused && !k.received {
			c.paths.Failed(call.Endpoint.ID, c.clock.Now())
		}
		x.end(false)
		return nil, c.toFault(ctx, call, x, err)
	}
	return resp, nil
}

const (
	// endTimeout limits a probe of an endpoint's process. An endpoint in another hall answers in
	// 2 ms; one behind a network partition does not answer, which proves nothing.
	endTimeout = 100 * time.Millisecond
	// pathTimeout limits a probe of the path to an endpoint.
	pathTimeout = 250 * time.Millisecond
	// settleTime is how long a connection has to stay open for its path to count: something on the way
	// may accept connections and reset those that it has no path for.
	settleTime = 15 * time.Millisecond
	// streamSettleTime is the same at the end of a stream without framing, whose events have been passed on already. Where
	// the packet that ends a connection is lost, it is sent again after 200 ms.
	streamSettleTime = 300 * time.Millisecond
)

// ProbeEnded connects to an endpoint and reports whether its process has ended: its address
// refuses connections then. If the connection succeeds, the process may have been restarted.
func (c *Client) ProbeEnded(ctx context.Context, endpoint registry.Endpoint) bool {
	k, err := c.dial(ctx, &endpoint, endTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.adopt(endpoint.ID, k)
	return false
}

// setAddressTaken records that another endpoint has the address of an endpoint now, whose process has ended.
func (c *Client) setAddressTaken(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.endpoints[endpoint]; s != nil {
		s.taken = true
	}
}

func (c *Client) addressTaken(endpoint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpoints[endpoint]
	return s != nil && s.taken
}

// accepts reports whether an endpoint accepts a connection and keeps it open. The connection takes the place of the one
// that ended.
func (c *Client) accepts(ctx context.Context, endpoint registry.Endpoint, settle time.Duration) bool {
	k, err := c.dial(ctx, &endpoint, endTimeout)
	if err != nil {
		return false
	}
	if !c.settles(ctx, k, settle) {
		k.close()
		return false
	}
	c.adopt(endpoint.ID, k)
	return true
}

// settles waits for a time, and reports whether a connection is still open then.
func (c *Client) settles(ctx context.Context, k *conn, settle time.Duration) bool {
	return c.clock.Sleep(ctx, settle) && k.silent()
}

// ProbePath reports whether an endpoint can be connected to.
func (c *Client) ProbePath(ctx context.Context, endpoint registry.Endpoint) bool {
	k, err := c.dial(ctx, &endpoint, pathTimeout)
	if err != nil {
		return false
	}
	if !c.settles(ctx, k, settleTime) {
		k.close()
		if ctx.Err() == nil {
			c.paths.Failed(endpoint.ID, c.clock.Now())
		}
		return false
	}
	c.paths.Connected(endpoint.ID, c.clock.Now())
	c.adopt(endpoint.ID, k)
	return true
}

// adopt keeps the connection of a probe for the next request.
func (c *Client) adopt(endpoint string, k *conn) {
	c.mu.Lock()
	s := c.endpoints[endpoint]
	if s != nil {
		s.open++
	}
	c.mu.Unlock()
	if s == nil {
		k.close()
		return
	}
	c.release(endpoint, k)
}

// toFault converts an error of an exchange to a *fault.Error that says whether the request may
// have run.
func (c *Client) toFault(ctx context.Context, call *Call, x *exchange, err error) error {
	run, kind := fault.MayHaveRun, fault.KindBroken
	if x.conn.sent() == x.sentBefore {
		run = fault.NotRun
	}
	if ctx.Err() != nil {
		kind = fault.KindTimeout
		err = errors.Join(err, context.Cause(ctx))
	}
	return fault.New(fault.StepDispatch, call.Endpoint.ID, kind, run, "exchange: %w", err)
}

// errEndUnproven reports that a body without framing ended with its connection, and that the endpoint's process does
// not accept connections either.
var errEndUnproven = errors.New("the connection ended, and whether the body is whole is not known")

// errNoBody reports that a connection ended after the head of a response without framing. An endpoint that fails there
// may live on, and one that has nothing to send states a length of zero, unless it resumes a stream.
var errNoBody = errors.New("the connection ended between the head and the body")

// Read implements io.Reader. It returns io.EOF only at the end of the complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.read(p)
	r.err = err
	return n, err
}

// Err returns the error of the last Read: io.EOF after the end of the body, nil if it may go on.
func (r *Response) Err() error { return r.err }

func (r *Response) read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && !r.reported {
		r.call.conn.budget.Continue()
	}
	if r.framing == ByConnection && n > 0 {
		r.call.bodyRead()
	}
	if err != io.EOF {
		return n, err
	}
	if r.framing == ByConnection && r.call.witness.reads == 0 && !r.resumes {
		return n, errNoBody
	}
	if r.framing == ByConnection && !r.call.complete && !r.call.endpointLives(r.settleTime()) {
		return n, errEndUnproven
	}
	r.call.complete = true
	return n, io.EOF
}

// What marks the end of the body of a response.
const (
	ByLength     = "length"
	ByChunks     = "chunks"
	ByConnection = "connection" // the body has neither a length nor chunks, and ends with the connection
)

// FramingOf returns what marks the end of the body of an HTTP/1.1 response that was read with net/http.
func FramingOf(resp *http.Response) string {
	switch {
	case resp.ContentLength >= 0, resp.Body == http.NoBody:
		return ByLength
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	}
	return ByConnection
}

// Framing returns what marks the end of the body: ByLength, ByChunks or ByConnection.
func (r *Response) Framing() string { return r.framing }

func (r *Response) settleTime() time.Duration {
	if r.reported {
		return streamSettleTime
	}
	return settleTime
}

// ReportProgress makes the bytes of the body count as progress no longer, but the calls of Progress only.
func (r *Response) ReportProgress() { r.reported = true }

// Progress records that the body went on. The next progress is due at a time, as for Call.Due.
func (r *Response) Progress(due time.Time) { r.call.conn.budget.Progress(due) }

// Endpoint returns the endpoint that gave the response.
func (r *Response) Endpoint() *registry.Endpoint { return &r.call.endpoint }

// Close ends the exchange. The connection is reused if the response was read to its end and is in
// a known state.
func (r *Response) Close() { r.call.end(r.call.complete && !r.call.noReuse) }
