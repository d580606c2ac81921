// Package backend sends requests to servers over kept HTTP/1.1 connections.
//
// It knows, for each request, whether a byte of it left this node: an error
// says "not run" only if none did or the server said so. It never repeats a
// request by itself. An answer that belongs to another request is skipped, and
// a connection that brought anything unasked is given up.
//
// Client is safe for concurrent use.
package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Protocol reads what a server says of its answer.
type Protocol interface {
	Answer(status int, h http.Header) Answer
}

// Answer is what a server says of its answer.
type Answer struct {
	RequestID   string // of the request that it answers; empty when not told
	Instance    string // id of the server; empty when not told
	Sealed      bool   // the answer bears the server's seal
	NotRun      bool   // the server did not run the request
	Misdirected bool   // another server has the address
	Close       bool   // the server wants the connection closed
	Notice      notice.Notice
	RateLimit   ratelimit.Limit
	Load        Load
	HasLoad     bool
}

// Load is how busy a server was when it answered.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Call is one request to one server.
type Call struct {
	Endpoint registry.Endpoint
	MaxConns int // connections to the server that this node may have; 0 is no limit
	Method   string
	URI      string // as the client sent it
	Host     string
	Header   http.Header
	Body     []byte
	ID       string        // id of the request
	MaxIdle  time.Duration // a kept connection idle for longer is not used; 0 is no limit
}

// Response is a server's answer. Close has to be called.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 when not known
	Answer Answer
	Reused bool // the connection had served before

	body io.Reader
	call *exchange
}

const (
	dialTimeout    = 400 * time.Millisecond
	maxIdleTime    = 8 * time.Second // a kept connection is given up after it
	maxIdleConns   = 64              // kept to one server
	maxWrongOnes   = 3               // answers to other requests that are skipped
	maxHeaderBytes = 64 << 10
	inlineBody     = 8 << 10 // a body up to this size is written before the answer is read
)

// Client holds the connections to servers.
type Client struct {
	net      netx.Network
	protocol Protocol
	notices  *notice.Table
	limits   *ratelimit.Table
	clock    *clock.Clock

	mu        sync.Mutex
	endpoints map[string]*connections // by server id; guarded by mu
}

type connections struct {
	idle []*conn
	open int
}

// Options configure a Client.
type Options struct {
	Net      netx.Network
	Protocol Protocol
	Notices  *notice.Table    // takes what servers say of themselves in their answers
	Limits   *ratelimit.Table // takes the rate limits that they name
	Clock    *clock.Clock     // may be nil
}

// New returns a client without connections.
func New(o Options) *Client {
	return &Client{net: o.Net, clock: o.Clock, protocol: o.Protocol, notices: o.Notices, limits: o.Limits, endpoints: make(map[string]*connections)}
}

// errCap says that no more connections to a server may be made.
var errCap = errors.New("too many connections to the server")

// acquire returns a kept connection or a new one.
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
		k.shut()
	}
	if call.MaxConns > 0 && s.open >= call.MaxConns {
		c.mu.Unlock()
		return nil, errCap
	}
	s.open++
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.net.Dial(ctx, call.Endpoint.Addr)
	if err != nil {
		c.discard(call.Endpoint.ID, nil)
		return nil, err
	}
	return newConn(raw), nil
}

// keep takes a connection back for the next request.
func (c *Client) keep(server string, k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.endpoints[server]
	if s == nil || len(s.idle) >= maxIdleConns {
		k.shut()
		c.lose(server)
		return
	}
	k.idleSince = c.clock.Now()
	s.idle = append(s.idle, k)
}

// discard closes a connection, which may be nil when it never stood.
func (c *Client) discard(server string, k *conn) {
	if k != nil {
		k.shut()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lose(server)
}

// lose takes one off the open connections to a server. c.mu is held.
func (c *Client) lose(server string) {
	if s := c.endpoints[server]; s != nil {
		s.open--
	}
}

// Tidy closes connections that were idle for long and all idle ones to servers
// that are not wanted any more.
func (c *Client) Tidy(now time.Time, wanted func(server string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.endpoints {
		gone := !wanted(id)
		kept := s.idle[:0]
		for _, k := range s.idle {
			if gone || !k.usable(now, 0) {
				k.shut()
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
	c.Tidy(c.clock.Now(), func(string) bool { return false })
}

// Send sends a request and returns the head of its answer. An error is a
// *fault.Error that says what is known about the execution.
func (c *Client) Send(ctx context.Context, call *Call) (*Response, error) {
	k, err := c.acquire(ctx, call)
	if err != nil {
		kind := fault.KindRefused
		if errors.Is(err, errCap) {
			kind = fault.KindLimit
		}
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, kind, fault.NotRun, "connect: %w", err)
	}
	if ctx.Err() != nil { // it ended while the connection was made
		c.keep(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindTimeout, fault.NotRun, "connect: %w", context.Cause(ctx))
	}
	// The server may have said that it wants no more while the connection was made, which
	// takes up to dialTimeout: four instances' requests at once would fill its rest.
	now := c.clock.Now()
	if err := c.notices.Allows(&call.Endpoint, now); err != nil {
		c.keep(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindLimit, fault.NotRun, "send: %w", err)
	}
	if err := c.limits.Take(call.Endpoint.ID, now); err != nil {
		c.keep(call.Endpoint.ID, k)
		return nil, fault.New(fault.StepDispatch, call.Endpoint.ID, fault.KindLimit, fault.NotRun, "send: %w", err)
	}
	x := &exchange{client: c, endpoint: call.Endpoint, conn: k, sentAt: now}
	x.watch(ctx)
	resp, err := x.do(call)
	if err != nil {
		x.end(false)
		return nil, c.explain(ctx, call, x, err)
	}
	return resp, nil
}

// probeTimeout bounds a look whether a server's process is there. One in another hall
// answers in 2 ms; one that is cut off does not, and says nothing.
const probeTimeout = 100 * time.Millisecond

// ProbeEnded connects to a server to find out whether its process has ended: its address
// refuses connections then. One that takes the connection may have started again, and the
// connection is kept for the next request.
func (c *Client) ProbeEnded(ctx context.Context, server registry.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	raw, err := c.net.Dial(ctx, server.Addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.mu.Lock()
	s := c.endpoints[server.ID]
	if s != nil {
		s.open++
	}
	c.mu.Unlock()
	k := newConn(raw)
	if s == nil {
		k.shut()
		return false
	}
	c.keep(server.ID, k)
	return false
}

// explain turns an error of an exchange into what is known of the request.
func (c *Client) explain(ctx context.Context, call *Call, x *exchange, err error) error {
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

// Read implements io.Reader. It returns io.EOF only at the end of the whole
// body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.call.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and nothing speaks against using it again.
func (r *Response) Close() { r.call.end(r.call.whole && !r.call.last) }
