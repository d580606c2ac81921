package peerproxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Opener opens streams to other instances. An error says that the call had no effect.
type Opener interface {
	Open(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (net.Conn, error)
}

const (
	acceptTimeout = 200 * time.Millisecond // then the next instance is asked
	// maxAsked is the number of instances that are asked for one request. They refuse within
	// milliseconds, and are not asked for the next ones.
	maxAsked = 16
	// maxHeaderBytes limits the head of a response: that of an endpoint, which is limited to 64 KiB, with the headers
	// that the other instance adds.
	maxHeaderBytes = 128 << 10
)

var (
	errHeadTooLong = errors.New("response head exceeds 128 KiB")
	// errUnframed reports a response whose end could not be told from a failure; instances send none.
	errUnframed = errors.New("response without framing")
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Peers  Opener
	Others func() []topology.Member // the other instances
	Hall   string                   // of this instance
	Clock  *clock.Clock             // may be nil
	Log    *zap.Logger
}

// Client sends requests to other instances.
type Client struct {
	ClientOptions
	chooser *chooser
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client { return &Client{o, newChooser()} }

// Expire drops what is no longer needed. It is called from time to time.
func (c *Client) Expire(now time.Time) { c.chooser.expire(now) }

// Response is the response to a request that another instance serves. The caller has to call Close.
type Response struct {
	*http.Response
	Instance string // that serves the request

	close func()
}

// NewResponse returns the response of an instance. end is called by Close.
func NewResponse(r *http.Response, instance string, end func()) *Response {
	return &Response{Response: r, Instance: instance, close: end}
}

// Close ends the request; the other instance cancels it unless it is complete.
func (r *Response) Close() { r.close() }

// Send has another instance serve a request and returns the head of its response. The error is
// ErrNotTaken if no instance takes the request. After another error it may have run.
func (c *Client) Send(ctx context.Context, r *Request) (*Response, error) {
	asked := slices.Clone(r.BrokenOffBy)
	for range maxAsked {
		other, ok := c.choose(r, asked)
		if !ok {
			break
		}
		asked = append(asked, other.Name)
		resp, err := c.ask(ctx, other, r)
		refused := (*refusalError)(nil)
		if !errors.As(err, &refused) {
			return resp, err
		}
		if ctx.Err() != nil {
			break
		}
		c.chooser.refused(other.Name, r.Service, refused.answered, c.Clock.Now())
		event.Log(c.Log, event.ProxyRefused, zap.String("request", r.Call.ID), zap.String("service", r.Service), zap.String("peer", other.Name), zap.Error(err))
	}
	return nil, ErrNotTaken
}

// choose returns the instance to ask next for a request, other than those already asked.
func (c *Client) choose(r *Request, asked []string) (topology.Member, bool) {
	now, others := c.Clock.Now(), c.Others()
	if other, ok := c.chooser.choose(others, c.Hall, r.Service, r.Call.ID, asked, now); ok {
		return other, true
	}
	return c.chooser.chooseAvoided(others, r.Service, asked, now)
}

// refusalError reports that an instance does not serve a request. Nothing of it was sent to an endpoint.
type refusalError struct {
	error
	answered bool // it said so, rather than not answer in time
}

// ask has one other instance serve a request and returns the head of its response. The error is a *refusalError if it does not.
func (c *Client) ask(ctx context.Context, other topology.Member, r *Request) (*Response, error) {
	stream, answered, err := c.open(ctx, other, r)
	if err != nil {
		c.chooser.done(other.Name)
		return nil, &refusalError{err, answered}
	}
	c.chooser.accepted(other.Name, r.Service)
	resp, err := c.exchange(ctx, other.Name, stream, r)
	if err == nil && resp.Header.Get(DeclinedHeader) != "" {
		resp.Close()
		return nil, &refusalError{errDeclined, true}
	}
	return resp, err
}

// open returns the stream that another instance accepts a request on. If it does not, answered reports whether it said so.
func (c *Client) open(ctx context.Context, other topology.Member, r *Request) (stream net.Conn, answered bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stream, err = c.Peers.Open(ctx, other.Addr, r.message(c.Clock.Now()))
	return stream, ctx.Err() == nil, err
}

// exchange sends a request on a stream and reads the head of the response.
func (c *Client) exchange(ctx context.Context, instance string, stream net.Conn, r *Request) (*Response, error) {
	// When ctx ends, the stream is closed, which the other instance takes for the client's disconnection.
	// A closed stream can still be read from, hence the deadline.
	stop := context.AfterFunc(ctx, func() {
		_ = stream.SetDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})
	end := func() {
		stop()
		_ = stream.Close()
		c.chooser.done(instance)
	}
	go func() { _ = r.Call.Write(stream) }() // a response may come before all of a long body is read
	head := &io.LimitedReader{R: stream, N: maxHeaderBytes}
	resp, err := http.ReadResponse(bufio.NewReader(head), &http.Request{Method: r.Call.Method})
	if err != nil && head.N <= 0 {
		err = errHeadTooLong
	}
	head.N = math.MaxInt64
	if err == nil {
		err = netx.CheckHead(resp)
	}
	if err == nil && backend.FramingOf(resp) == backend.ByConnection {
		err = errUnframed
	}
	if err != nil {
		end()
		return nil, fault.New(fault.StepPeer, instance, fault.KindBroken, fault.MayHaveRun, "proxy: %w", err)
	}
	return NewResponse(resp, instance, end), nil
}
