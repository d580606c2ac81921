// Package peer is the RPC transport between entry instances. It dials one yamux
// session to each peer when the first call is made and uses one stream per
// call.
//
// Transport is safe for concurrent use.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Handler handles calls of other instances. Each call of answer sends one
// response; most calls have exactly one. An error is sent as a failure.
type Handler interface {
	Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error
}

const (
	writeTimeout       = 2 * time.Second
	closeTimeout       = 5 * time.Second
	acceptBacklog      = 1024 // streams that a session queues before they are accepted
	sessionIdleTimeout = 2 * time.Minute
	maxMessageBytes    = 16 << 20
	// unresponsiveAfter is the time without a response after which a failed call
	// closes the session. A connection can stop delivering data without a reset,
	// while a new one works. Calls that wait for changes get a response within 0.4 s.
	unresponsiveAfter = time.Second
)

// Transport makes calls to other instances and serves theirs.
type Transport struct {
	self    string // name of this instance, sent as the source of each call
	net     netx.Network
	tls     *tls.Config // nil for plain text
	clock   *clock.Clock
	handler Handler

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session // guarded by mu

	sent     atomic.Int64 // bytes
	received atomic.Int64 // bytes

	traffic traffic
}

// session is a yamux session that this instance dials.
type session struct {
	ready           chan struct{} // closed when mux or err is set
	mux             *yamux.Session
	err             error
	usedAt          atomic.Int64 // Unix nanoseconds
	unansweredSince atomic.Int64 // time of the first call since the last response, Unix nanoseconds; 0 if there was none
}

// New returns a transport for the instance named self. Without tlsConfig,
// connections are not encrypted. The clock may be nil.
func New(n netx.Network, self string, tlsConfig *tls.Config, c *clock.Clock) *Transport {
	return &Transport{self: self, clock: c, net: n, tls: tlsConfig, sessions: make(map[netip.AddrPort]*session), traffic: traffic{flows: make(map[Flow]Volume)}}
}

// SetHandler sets the handler of calls. It must be called before Serve.
func (t *Transport) SetHandler(h Handler) { t.handler = h }

// Bytes returns the number of bytes sent to and received from peers, on dialled
// and accepted sessions. It includes the frame headers of yamux but not TLS.
func (t *Transport) Bytes() (sent, received int64) { return t.sent.Load(), t.received.Load() }

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = false // heartbeats detect failed peers
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = closeTimeout
	c.LogOutput = io.Discard
	return c
}

// Serve handles calls on a listener until ctx ends or the listener fails, and
// waits for the handlers to return.
func (t *Transport) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return fmt.Errorf("accept peers: %w", err)
		}
		wait.Go(func() { t.serveConn(ctx, c) })
	}
}

// serveConn handles the calls on an accepted connection until it is closed or
// ctx ends.
func (t *Transport) serveConn(ctx context.Context, c net.Conn) {
	if t.tls != nil {
		c = tls.Server(c, t.tls)
	}
	s, err := yamux.Server(t.countBytes(c), sessionConfig())
	if err != nil {
		_ = c.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		wait.Go(func() { t.serveStream(ctx, stream) })
	}
}

// serveStream handles the one call of a stream.
func (t *Transport) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	var call peerpb.Call
	if err := readMessage(bufio.NewReader(stream), &call); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if h, ok := t.handler.(StreamHandler); ok && h.HandleStream(ctx, &call, stream) {
		return
	}
	answer := func(a *peerpb.Answer) error { return respond(stream, a) }
	if err := t.handler.Handle(ctx, &call, answer); err != nil {
		_ = answer(&peerpb.Answer{Body: &peerpb.Answer_Failure{Failure: ToFailure(fault.As(err))}})
	}
}

// readMessage reads a message that is preceded by its length.
func readMessage(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
}

// Call makes a call and returns its first response. A response that is received
// after the deadline of ctx is discarded. The deadline is checked on the clock
// of t, which goes on while the instance is suspended: the timer of ctx does not,
// and a response from before a suspension is out of date.
func (t *Transport) Call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Answer, error) {
	var got *peerpb.Answer
	deadline := t.callDeadline(ctx)
	err := t.Follow(ctx, addr, call, func(a *peerpb.Answer) (bool, error) {
		got = a
		return false, nil
	})
	if err != nil {
		return nil, err
	}
	if !deadline.IsZero() && t.clock.Now().After(deadline) {
		return nil, t.callError(addr, "receive", errLateResponse)
	}
	return got, nil
}

var errLateResponse = errors.New("response received after the deadline of the call")

// callDeadline returns the deadline of ctx on the clock of t, or zero if it has
// none.
func (t *Transport) callDeadline(ctx context.Context) time.Time {
	end, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return t.clock.Now().Add(time.Until(end))
}

// Follow makes a call and calls each with every response, until each returns
// false or an error, the call fails or ctx ends.
func (t *Transport) Follow(ctx context.Context, addr netip.AddrPort, call *peerpb.Call, each func(*peerpb.Answer) (bool, error)) error {
	stream, s, err := t.openStream(ctx, addr)
	if err != nil {
		return err
	}
	defer stream.Close()
	s.unansweredSince.CompareAndSwap(0, t.clock.Now().UnixNano())
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	call.From = t.self
	sent, err := protodelim.MarshalTo(stream, call)
	if err != nil {
		return t.callError(addr, "send", err)
	}
	counted := &countingReader{Reader: stream}
	defer func() {
		t.traffic.add(addr, call, Volume{Calls: 1, Sent: int64(sent), Received: counted.n})
	}()
	r := bufio.NewReader(counted)
	for {
		var a peerpb.Answer
		if err := readMessage(r, &a); err != nil {
			t.dropIfUnresponsive(addr, s)
			return t.callError(addr, "receive", errors.Join(err, ctx.Err()))
		}
		s.unansweredSince.Store(0)
		if f := a.GetFailure(); f != nil {
			return FromFailure(f, addr.String())
		}
		more, err := each(&a)
		if err != nil || !more {
			return err
		}
	}
}

// callError returns the error of a call that failed after it may have been sent.
func (t *Transport) callError(addr netip.AddrPort, what string, err error) error {
	return fault.New(fault.StepPeer, addr.String(), fault.KindBroken, fault.MayHaveRun, "%s: %w", what, err)
}

// dropIfUnresponsive closes a session on which calls have had no response for
// more than unresponsiveAfter.
func (t *Transport) dropIfUnresponsive(addr netip.AddrPort, s *session) {
	since := s.unansweredSince.Load()
	if since != 0 && t.clock.Now().UnixNano()-since > int64(unresponsiveAfter) {
		t.dropSession(addr, s)
	}
}

// openStream opens a stream to a peer. It dials a new session if there is none
// or the existing one turns out to be closed.
func (t *Transport) openStream(ctx context.Context, addr netip.AddrPort) (*yamux.Stream, *session, error) {
	for range 2 { // the first session may be a closed one
		s, err := t.session(ctx, addr)
		if err != nil {
			return nil, nil, fault.New(fault.StepPeer, addr.String(), fault.KindRefused, fault.NotRun, "dial: %w", err)
		}
		stream, err := s.mux.OpenStream()
		if err == nil {
			s.usedAt.Store(t.clock.Now().UnixNano())
			return stream, s, nil
		}
		t.dropSession(addr, s)
	}
	return nil, nil, fault.New(fault.StepPeer, addr.String(), fault.KindRefused, fault.NotRun, "session closed")
}

// session returns the session to a peer, once it is connected.
func (t *Transport) session(ctx context.Context, addr netip.AddrPort) (*session, error) {
	t.mu.Lock()
	s, ok := t.sessions[addr]
	if ok && s.mux != nil && s.mux.IsClosed() {
		ok = false
	}
	if !ok {
		s = &session{ready: make(chan struct{})}
		t.sessions[addr] = s
		go t.dial(addr, s)
	}
	t.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects s. It does not use the context of a call, since other calls
// may wait for the same session.
func (t *Transport) dial(addr netip.AddrPort, s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	c, err := t.net.Dial(ctx, addr)
	if err == nil && t.tls != nil {
		c = tls.Client(c, t.tls)
	}
	var mux *yamux.Session
	if err == nil {
		mux, err = yamux.Client(t.countBytes(c), sessionConfig())
	}
	t.mu.Lock()
	s.mux, s.err = mux, err
	s.usedAt.Store(t.clock.Now().UnixNano())
	if err != nil && t.sessions[addr] == s {
		delete(t.sessions, addr)
	}
	t.mu.Unlock()
	close(s.ready)
}

// dropSession closes a session, so that the next call dials a new one.
func (t *Transport) dropSession(addr netip.AddrPort, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sessions[addr] == s {
		delete(t.sessions, addr)
	}
	_ = s.mux.Close()
}

// CloseIdle closes sessions on which no call was made for
// sessionIdleTimeout.
func (t *Transport) CloseIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, s := range t.sessions {
		if s.mux != nil && now.UnixNano()-s.usedAt.Load() > int64(sessionIdleTimeout) {
			_ = s.mux.Close()
			delete(t.sessions, addr)
		}
	}
}

// CloseSession closes the session that was dialled to addr, if there is one.
func (t *Transport) CloseSession(addr netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.sessions[addr]; ok && s.mux != nil {
		_ = s.mux.Close()
		delete(t.sessions, addr)
	}
}

// Close closes all sessions that this instance dialled.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, s := range t.sessions {
		if s.mux != nil {
			_ = s.mux.Close()
		}
		delete(t.sessions, addr)
	}
}

// countBytes returns a connection that adds its traffic to the byte counters.
func (t *Transport) countBytes(c net.Conn) net.Conn { return &countedConn{c, t} }

// countedConn is a connection whose bytes are counted in transport.
type countedConn struct {
	net.Conn
	transport *Transport
}

func (c *countedConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.transport.received.Add(int64(k))
	return k, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	k, err := c.Conn.Write(b)
	c.transport.sent.Add(int64(k))
	return k, err
}
