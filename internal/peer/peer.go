// Package peer carries calls between entry instances: one yamux session to
// each instance spoken to, made when first needed, and one stream of it for
// each call.
//
// Node is safe for concurrent use.
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

// Handler answers the calls of other instances. Answer sends one answer; for
// most calls it is used once.
type Handler interface {
	Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error
}

const (
	writeTimeout = 2 * time.Second
	closeTimeout = 5 * time.Second
	backlog      = 1024
	idleAfter    = 2 * time.Minute
	maxMessage   = 16 << 20
	// silentAfter is how long a session may leave calls unanswered until the next one
	// that fails closes it: a connection may go silent without a reset, while a new one
	// works. The longest call that waits for news is answered in 0.4 s.
	silentAfter = time.Second
)

// Instance dials and serves sessions.
type Instance struct {
	self    string
	net     netx.Network
	tls     *tls.Config // nil for plain text
	clock   *clock.Clock
	handler Handler

	mu       sync.Mutex
	sessions map[netip.AddrPort]*session // guarded by mu

	sent atomic.Int64 // bytes
	got  atomic.Int64 // bytes

	traffic traffic
}

type session struct {
	ready  chan struct{} // closed when mux or err is set
	mux    *yamux.Session
	err    error
	usedAt atomic.Int64 // Unix nanoseconds
	asked  atomic.Int64 // when the first call since the last answer was made, Unix nanoseconds; 0 if none was
}

// New returns a node that calls itself self. The clock may be nil.
func New(n netx.Network, self string, tlsConfig *tls.Config, c *clock.Clock) *Instance {
	return &Instance{self: self, clock: c, net: n, tls: tlsConfig, sessions: make(map[netip.AddrPort]*session), traffic: traffic{flows: make(map[Flow]Volume)}}
}

// SetHandler sets who answers; it is called before Serve.
func (n *Instance) SetHandler(h Handler) { n.handler = h }

// Bytes returns how many bytes were sent to and got from peers.
func (n *Instance) Bytes() (sent, got int64) { return n.sent.Load(), n.got.Load() }

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = backlog
	c.EnableKeepAlive = false // heartbeats show whether a peer lives
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = closeTimeout
	c.LogOutput = io.Discard
	return c
}

// Serve answers calls on a listener until ctx ends.
func (n *Instance) Serve(ctx context.Context, l net.Listener) error {
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
		wait.Go(func() { n.serveConn(ctx, c) })
	}
}

func (n *Instance) serveConn(ctx context.Context, c net.Conn) {
	if n.tls != nil {
		c = tls.Server(c, n.tls)
	}
	s, err := yamux.Server(n.counted(c), config())
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
		wait.Go(func() { n.serveStream(ctx, stream) })
	}
}

func (n *Instance) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	var call peerpb.Call
	if err := read(bufio.NewReader(stream), &call); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer := func(a *peerpb.Answer) error {
		_ = stream.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := protodelim.MarshalTo(stream, a)
		return err
	}
	if err := n.handler.Handle(ctx, &call, answer); err != nil {
		_ = answer(&peerpb.Answer{Body: &peerpb.Answer_Failure{Failure: ToFailure(fault.As(err))}})
	}
}

func read(r *bufio.Reader, m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(r, m)
}

// Call makes a call and returns its one answer. One that came after the time of ctx is none,
// also where the machine was suspended meanwhile and ctx has time left: what the peer said of
// that moment is not so any more.
func (n *Instance) Call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Answer, error) {
	var got *peerpb.Answer
	latest := n.latest(ctx)
	err := n.Follow(ctx, addr, call, func(a *peerpb.Answer) (bool, error) {
		got = a
		return false, nil
	})
	if err != nil {
		return nil, err
	}
	if !latest.IsZero() && n.clock.Now().After(latest) {
		return nil, n.broke(addr, "receive", errLate)
	}
	return got, nil
}

var errLate = errors.New("the answer came after its time")

// latest returns when a call's time is over, zero if that is open.
func (n *Instance) latest(ctx context.Context) time.Time {
	end, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return n.clock.Now().Add(time.Until(end))
}

// Follow makes a call and hands each of its answers to each, until that
// returns false or an error.
func (n *Instance) Follow(ctx context.Context, addr netip.AddrPort, call *peerpb.Call, each func(*peerpb.Answer) (bool, error)) error {
	stream, s, err := n.open(ctx, addr)
	if err != nil {
		return err
	}
	defer stream.Close()
	s.asked.CompareAndSwap(0, n.clock.Now().UnixNano())
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	call.From = n.self
	sent, err := protodelim.MarshalTo(stream, call)
	if err != nil {
		return n.broke(addr, "send", err)
	}
	counted := &countingReader{Reader: stream}
	defer func() {
		n.traffic.add(addr, call, Volume{Calls: 1, Sent: int64(sent), Received: counted.n})
	}()
	r := bufio.NewReader(counted)
	for {
		var a peerpb.Answer
		if err := read(r, &a); err != nil {
			n.suspect(addr, s)
			return n.broke(addr, "receive", errors.Join(err, ctx.Err()))
		}
		s.asked.Store(0)
		if f := a.GetFailure(); f != nil {
			return FromFailure(f, addr.String())
		}
		more, err := each(&a)
		if err != nil || !more {
			return err
		}
	}
}

func (n *Instance) broke(addr netip.AddrPort, what string, err error) error {
	return fault.New(fault.StepPeer, addr.String(), fault.KindBroken, fault.MayHaveRun, "%s: %w", what, err)
}

// suspect closes a session that has left calls unanswered for long.
func (n *Instance) suspect(addr netip.AddrPort, s *session) {
	asked := s.asked.Load()
	if asked != 0 && n.clock.Now().UnixNano()-asked > int64(silentAfter) {
		n.drop(addr, s)
	}
}

func (n *Instance) open(ctx context.Context, addr netip.AddrPort) (*yamux.Stream, *session, error) {
	for range 2 { // a kept session may turn out to be closed; then a new one is made
		s, err := n.session(ctx, addr)
		if err != nil {
			return nil, nil, fault.New(fault.StepPeer, addr.String(), fault.KindRefused, fault.NotRun, "dial: %w", err)
		}
		stream, err := s.mux.OpenStream()
		if err == nil {
			s.usedAt.Store(n.clock.Now().UnixNano())
			return stream, s, nil
		}
		n.drop(addr, s)
	}
	return nil, nil, fault.New(fault.StepPeer, addr.String(), fault.KindRefused, fault.NotRun, "session closed")
}

func (n *Instance) session(ctx context.Context, addr netip.AddrPort) (*session, error) {
	n.mu.Lock()
	s, ok := n.sessions[addr]
	if ok && s.mux != nil && s.mux.IsClosed() {
		ok = false
	}
	if !ok {
		s = &session{ready: make(chan struct{})}
		n.sessions[addr] = s
		go n.dial(addr, s)
	}
	n.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *Instance) dial(addr netip.AddrPort, s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	c, err := n.net.Dial(ctx, addr)
	if err == nil && n.tls != nil {
		c = tls.Client(c, n.tls)
	}
	var mux *yamux.Session
	if err == nil {
		mux, err = yamux.Client(n.counted(c), config())
	}
	n.mu.Lock()
	s.mux, s.err = mux, err
	s.usedAt.Store(n.clock.Now().UnixNano())
	if err != nil && n.sessions[addr] == s {
		delete(n.sessions, addr)
	}
	n.mu.Unlock()
	close(s.ready)
}

func (n *Instance) drop(addr netip.AddrPort, s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sessions[addr] == s {
		delete(n.sessions, addr)
	}
	_ = s.mux.Close()
}

// Tidy closes sessions that were not used for long, and all of a peer that is
// known to be gone.
func (n *Instance) Tidy(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, s := range n.sessions {
		if s.mux != nil && now.UnixNano()-s.usedAt.Load() > int64(idleAfter) {
			_ = s.mux.Close()
			delete(n.sessions, addr)
		}
	}
}

// Forget closes the session to an address.
func (n *Instance) Forget(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s, ok := n.sessions[addr]; ok && s.mux != nil {
		_ = s.mux.Close()
		delete(n.sessions, addr)
	}
}

// Close closes all sessions.
func (n *Instance) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, s := range n.sessions {
		if s.mux != nil {
			_ = s.mux.Close()
		}
		delete(n.sessions, addr)
	}
}

// counted counts the bytes of a connection.
func (n *Instance) counted(c net.Conn) net.Conn { return &countedConn{c, n} }

type countedConn struct {
	net.Conn
	n *Instance
}

func (c *countedConn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	c.n.got.Add(int64(k))
	return k, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	k, err := c.Conn.Write(b)
	c.n.sent.Add(int64(k))
	return k, err
}
