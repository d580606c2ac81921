package peerproxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// headerTimeout is the time within which the head of a request has to come on a stream that was
// accepted for it.
const headerTimeout = time.Second

// Acceptor serves requests of other instances, each on a stream of its own.
type Acceptor struct {
	most    int
	http    *http.Server
	streams *streamListener
	open    atomic.Int64
	stopped atomic.Bool
}

// NewAcceptor returns an acceptor that serves at most a number of requests at a time. The handler finds
// the Request of each in its context.
func NewAcceptor(most int, h http.Handler) *Acceptor {
	return &Acceptor{
		most: most, streams: newStreamListener(),
		http: &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(zap.NewNop()),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, requestKey{}, c.(*proxiedStream).request)
			},
		},
	}
}

// Run serves until Shutdown.
func (s *Acceptor) Run() {
	s.http.SetKeepAlivesEnabled(false)
	_ = s.http.Serve(s.streams)
}

// Open returns the number of requests that are served now.
func (s *Acceptor) Open() int { return int(s.open.Load()) }

// Reserve reserves room for one request, which release gives back. It returns ErrFull or ErrLeaving
// if there is none.
func (s *Acceptor) Reserve() (release func(), err error) {
	if s.stopped.Load() {
		return nil, ErrLeaving
	}
	if s.open.Add(1) > int64(s.most) {
		s.open.Add(-1)
		return nil, ErrFull
	}
	return func() { s.open.Add(-1) }, nil
}

// Serve serves the request that comes on a stream, and returns when the stream is closed.
func (s *Acceptor) Serve(stream net.Conn, r *Request) {
	c := &proxiedStream{Conn: stream, request: r, closed: make(chan struct{})}
	select {
	case s.streams.accept <- c:
		<-c.closed
	case <-s.streams.done:
	}
}

// Refuse makes the acceptor refuse further requests. Those that it has accepted go on.
func (s *Acceptor) Refuse() { s.stopped.Store(true) }

// Shutdown waits until all requests are served, or until ctx ends and then aborts them.
func (s *Acceptor) Shutdown(ctx context.Context) {
	s.Refuse()
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
}

// proxiedStream is the stream of one request.
type proxiedStream struct {
	net.Conn
	request *Request
	once    sync.Once
	closed  chan struct{}
}

// Close implements net.Conn.
func (c *proxiedStream) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { close(c.closed) })
	return err
}

// streamListener passes accepted streams to an HTTP server.
type streamListener struct {
	accept chan net.Conn
	once   sync.Once
	done   chan struct{}
}

func newStreamListener() *streamListener {
	return &streamListener{accept: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *streamListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *streamListener) Addr() net.Addr { return &net.TCPAddr{} }
