package netx

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// ClientConn is a connection on which a client writes requests and reads responses, at the same time or not.
//
// The system reports the failure of a connection once, to the read or the write that comes first. A read after that returns
// io.EOF, as if the peer had ended its stream, which ends a response without framing. Read of a ClientConn returns the
// failure in its place.
type ClientConn struct {
	net.Conn

	writing chan struct{} // holds a token during a write; no mutex, as a write may wait, also in virtual time
	failure error         // of the connection; guarded by writing
	ended   bool          // no more can be read; guarded by writing
}

// NewClientConn returns c as a ClientConn.
func NewClientConn(c net.Conn) *ClientConn {
	return &ClientConn{Conn: c, writing: make(chan struct{}, 1)}
}

// errStreamEnded reports a write of a request whose response can't come any more.
var errStreamEnded = errors.New("the peer has ended its stream")

// Read implements net.Conn. It returns io.EOF if the peer has ended its stream. Writes fail from then on.
func (c *ClientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF && !failed(err) {
		return n, err
	}
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	c.ended = true
	if c.failure == nil && err != io.EOF {
		c.failure = err
	}
	if c.failure != nil {
		return n, c.failure
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *ClientConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.failure != nil {
		return 0, c.failure
	}
	if c.ended {
		return 0, errStreamEnded
	}
	n, err := c.Conn.Write(p)
	if failed(err) {
		c.failure = err
	}
	return n, err
}

// failed reports whether the error of a read or a write is the failure of the connection. With EPIPE, the peer had ended its
// stream before, or the failure was reported; with the others, this side ended the read or the write.
func failed(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
