// Package listen serves HTTP on a listener, with limits that can be changed while it serves.
//
// An http.Server reads its limits when it starts to serve a connection. So each change of the limits starts another one for
// the connections that come from then on; the one before answers what comes on its connections, and closes them.
package listen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits that apply unless the configuration has others.
const (
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// LimitsOf returns the limits of a configuration, which may be nil.
func LimitsOf(c *policy.Config) Limits {
	l := Limits{defaultHeaderBytes, defaultHeaderTimeout, defaultIdleTimeout}
	if c == nil {
		return l
	}
	if c.Limits.HeaderBytes > 0 {
		l.HeaderBytes = c.Limits.HeaderBytes
	}
	if c.Limits.HeaderTimeout > 0 {
		l.HeaderTimeout = c.Limits.HeaderTimeout
	}
	if c.Limits.IdleTimeout > 0 {
		l.IdleTimeout = c.Limits.IdleTimeout
	}
	return l
}

// Acceptor serves the connections of a listener. It is safe for concurrent use.
type Acceptor struct {
	listener net.Listener
	handler  http.Handler
	state    func(net.Conn, http.ConnState)
	accepted chan net.Conn
	closed   chan struct{}

	open     sync.WaitGroup          // connections of all generations
	requests context.Context         // of all requests
	abort    context.CancelCauseFunc // ends requests

	mu      sync.Mutex
	limits  Limits        // of the newest generation; guarded by mu
	serving []*generation // the newest last, and those before that have connections; guarded by mu
	closing bool          // guarded by mu
}

// generation serves the connections that came while limits were in force.
type generation struct {
	http     *http.Server
	acceptor *Acceptor
	limits   Limits
	open     atomic.Int64 // connections
	once     sync.Once
	done     chan struct{} // closed when it gets no more connections

	mu      sync.Mutex
	conns   map[*conn]struct{} // guarded by mu
	retired atomic.Bool        // set with mu held
}

// New returns an acceptor that accepts nothing before the first call of Apply. state is called as http.Server.ConnState is.
func New(l net.Listener, h http.Handler, state func(net.Conn, http.ConnState)) *Acceptor {
	s := &Acceptor{listener: l, handler: h, state: state, accepted: make(chan net.Conn), closed: make(chan struct{})}
	s.requests, s.abort = context.WithCancelCause(context.Background())
	return s
}

// Apply puts limits in force for the connections that are accepted from now on. If they differ from those before, the
// others are closed at once if they are idle, and after their next response if not. A nil Acceptor does nothing.
func (s *Acceptor) Apply(l Limits) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing || len(s.serving) > 0 && s.limits == l {
		return
	}
	first := len(s.serving) == 0
	for _, g := range s.serving {
		g.retire()
	}
	s.serving = slices.DeleteFunc(s.serving, func(g *generation) bool { return g.open.Load() == 0 })
	s.limits = l
	g := &generation{acceptor: s, limits: l, done: make(chan struct{}), conns: make(map[*conn]struct{})}
	g.http = &http.Server{
		Handler: g, ErrorLog: zap.NewStdLog(zap.NewNop()), ConnState: g.stateChanged,
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnContext:       func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout, MaxHeaderBytes: l.HeaderBytes,
	}
	s.serving = append(s.serving, g)
	go func() { _ = g.http.Serve(g) }()
	if first {
		go s.accept()
	}
}

// retire makes a generation close its connections: at once those that wait for their next request, and the others after
// their next response. The http.Server is not shut down, and its keep-alives stay enabled: it counts a connection as idle,
// and closes it without a response, until it has read the whole header of a request.
func (g *generation) retire() {
	_ = g.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retired.Store(true)
	for c := range g.conns {
		c.expire(false)
	}
}

// expireAll closes the connections of a retired generation on which no request has come yet as well.
func (g *generation) expireAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.expire(true)
	}
}

// expireReads ends what is being read on all connections.
func (g *generation) expireReads() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		_ = c.Conn.SetReadDeadline(past)
	}
}

// ServeHTTP implements http.Handler.
func (g *generation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		defer resetIfAborted(r)
	}
	out := &response{ResponseWriter: w, generation: g}
	g.acceptor.handler.ServeHTTP(out, r)
	out.begin()
}

type connKey struct{}

// resetIfAborted makes the close of the connection a reset if the handler panics. An HTTP/1.0 client takes any other end for
// that of the response.
func resetIfAborted(r *http.Request) {
	if e := recover(); e != nil {
		c := r.Context().Value(connKey{}).(*conn)
		if s, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
			_ = s.SetLinger(0)
		}
		panic(e)
	}
}

func (g *generation) stateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	if f := g.acceptor.state; f != nil {
		f(c.Conn, state)
	}
	switch state {
	case http.StateIdle:
		c.answered()
	case http.StateClosed, http.StateHijacked:
		g.remove(c)
	}
}

// add starts serving a connection. It returns nil if the generation is retired.
func (g *generation) add(nc net.Conn) *conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.retired.Load() {
		return nil
	}
	c := &conn{Conn: nc, generation: g, waits: true, fresh: true}
	g.conns[c] = struct{}{}
	g.open.Add(1)
	g.acceptor.open.Add(1)
	return c
}

func (g *generation) remove(c *conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.open.Add(-1)
	g.acceptor.open.Done()
}

const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// accept passes connections to the newest generation until the listener is closed. It survives failures, such as a lack of
// descriptors.
func (s *Acceptor) accept() {
	pause := minAcceptPause
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-time.After(pause):
				pause = min(2*pause, maxAcceptPause)
				continue
			case <-s.closed:
				return
			}
		}
		pause = minAcceptPause
		select {
		case s.accepted <- c:
		case <-s.closed:
			_ = c.Close()
		}
	}
}

// Shutdown closes the listener and the connections on which nothing of a request has been read, and waits until all
// requests have been answered. If ctx ends before, it returns its error.
func (s *Acceptor) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	serving := s.serving
	if !s.closing {
		s.closing = true
		close(s.closed)
		_ = s.listener.Close()
	}
	s.mu.Unlock()
	for _, g := range serving {
		g.retire()
		g.expireAll()
	}
	return s.wait(ctx)
}

// wait waits until all connections are closed, or returns the error of ctx if that ends before.
func (s *Acceptor) wait(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		s.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort ends the requests in progress after Shutdown: their contexts are cancelled with a cause, and reads of their
// bodies time out. It closes their connections once they have been answered, or after a time.
func (s *Acceptor) Abort(cause error, after time.Duration) {
	s.abort(cause)
	s.mu.Lock()
	serving := s.serving
	s.mu.Unlock()
	for _, g := range serving {
		g.expireReads()
	}
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	_ = s.wait(ctx)
	s.Close()
}

// Close closes all connections, with the requests in progress.
func (s *Acceptor) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.serving {
		_ = g.http.Close()
	}
}

// Accept implements net.Listener for a generation.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case <-g.done: // also if a connection is waiting
		return nil, net.ErrClosed
	default:
	}
	select {
	case nc := <-g.acceptor.accepted:
		if c := g.add(nc); c != nil {
			return c, nil
		}
		select {
		case g.acceptor.accepted <- nc: // to the newest generation
		case <-g.acceptor.closed:
			_ = nc.Close()
		}
		return nil, net.ErrClosed
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return g.acceptor.listener.Addr() }
