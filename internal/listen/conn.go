package listen

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is a connection of a generation. It is closed between two requests only by a read deadline in the past: a read then
// either returns bytes, whose request is answered, or leaves them unread.
type conn struct {
	net.Conn
	generation *generation

	mu      sync.Mutex
	waits   bool // nothing of the next request has been read; guarded by mu
	fresh   bool // nothing has been read; guarded by mu
	expired bool // no more requests are read; guarded by mu
}

var past = time.Unix(1, 0)

// expire makes the server close the connection when it waits for a request; if it is fresh, only if that is included.
func (c *conn) expire(includeFresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits && (includeFresh || !c.fresh) {
		c.expireWaiting()
	}
}

// expireWaiting makes the server close the connection, which waits for a request. c.mu is held.
func (c *conn) expireWaiting() {
	c.expired = true
	_ = c.Conn.SetReadDeadline(past)
}

// answered records that a request was answered, and that the connection waits for the next one.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits = true
	if c.generation.retired.Load() {
		c.expireWaiting()
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
	}
	return n, err
}

// received records that some of a request has been read.
func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits, c.fresh = false, false
	if c.expired { // just before the read deadline could act
		c.expired = false
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.generation.limits.HeaderTimeout))
	}
}

// SetReadDeadline implements net.Conn. An expired connection keeps its deadline in the past until the server removes it,
// which it does when it has read some of the next request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() {
		c.waits, c.expired = false, false
	}
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite tells the client that nothing more comes. The server does this before it closes a connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// response is the response to a request. If the generation is retired when its header is written, that tells the client
// that the connection is closed.
type response struct {
	http.ResponseWriter
	generation *generation
	begun      bool // the header was written
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	if status >= http.StatusOK {
		r.begin()
	}
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.begin()
	return r.ResponseWriter.Write(p)
}

// FlushError is called by http.ResponseController.
func (r *response) FlushError() error {
	r.begin()
	return http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap is called by http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *response) begin() {
	if !r.begun && r.generation.retired.Load() {
		r.Header().Set("Connection", "close")
	}
	r.begun = true
}
