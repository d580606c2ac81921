// Package netxtest provides peers that fail, for tests: connections that break off, and servers that send a given text.
package netxtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// MalformedHeads are beginnings of an answer, up to its other fields, that are none of the protocol, by what is wrong. net/http
// reads some of them without an error.
var MalformedHeads = map[string]string{
	"status 000": "HTTP/1.1 000 X\r\n",
	"status 099": "HTTP/1.1 099 X\r\n",
	"status +20": "HTTP/1.1 +20 X\r\n",
	"status 600": "HTTP/1.1 600 X\r\n",
	"status 999": "HTTP/1.1 999 X\r\n",

	"blank in a name":         "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"blanks in a name":        "HTTP/1.1 200 OK\r\nX  Odd  : 1\r\n",
	"blank before the colon":  "HTTP/1.1 200 OK\r\nContent-Length : 20\r\n",
	"chunks, by such a name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"refusal":                 "HTTP/1.1 503 X\r\nX Odd: 1\r\n",
	"control byte in a name":  "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
	"tab in a name":           "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n",
	"empty name":              "HTTP/1.1 200 OK\r\n: 1\r\n",
	"no colon":                "HTTP/1.1 200 OK\r\nX-Odd\r\n",
	"control byte in a value": "HTTP/1.1 200 OK\r\nX-Odd: a\x01b\r\n",
	"bare CR in a value":      "HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\n",
}

// Breaking is a network whose connections give an answer without framing to a request that is still being written, and then
// fail. As on a socket, the write that waits returns the error, and a read the end of the stream.
//
// Breaking is safe for concurrent use.
type Breaking struct {
	netx.Network
	Answer string
	Err    error         // that the write returns
	Delay  time.Duration // of the write's return, from the read of the end
}

// Dial implements netx.Network.
func (n Breaking) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	pipe, _ := net.Pipe()
	return &conn{Conn: pipe, network: n, answer: strings.NewReader(n.Answer), asked: make(chan struct{}), waiting: make(chan struct{}), failed: make(chan struct{})}, nil
}

// conn is a connection that accepts the first write only, which holds the head of a request.
type conn struct {
	net.Conn
	network Breaking
	answer  *strings.Reader
	once    sync.Once
	asked   chan struct{} // closed by the first write
	waiting chan struct{} // closed by the second
	failed  chan struct{} // closed when the connection fails or is closed
	writes  int
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	select {
	case <-c.asked:
	case <-c.failed:
		return 0, net.ErrClosed
	}
	n, err := c.answer.Read(p)
	if err == io.EOF {
		select {
		case <-c.waiting:
		case <-c.failed:
		}
		time.AfterFunc(c.network.Delay, c.fail)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	switch c.writes++; c.writes {
	case 1:
		close(c.asked)
		return len(p), nil
	case 2:
		close(c.waiting)
	}
	<-c.failed
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.network.Err}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.fail()
	return c.Conn.Close()
}

func (c *conn) fail() { c.once.Do(func() { close(c.failed) }) }

// AwaitUnread waits until bytes have arrived at a connection that were not read: the system resets the connection if it is
// closed then.
func AwaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK)
		return n > 0 || err != syscall.EAGAIN
	})
}

// Untimed connects over TCP without a time-out, which a connection may exceed on a loaded host.
type Untimed struct{ netx.TCP }

// Dial implements netx.Network.
func (n Untimed) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return n.TCP.Dial(context.WithoutCancel(ctx), addr)
}

// Serve starts a server that answers each request with a text and closes the connection. It returns its address.
func Serve(t testing.TB, answer string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, answer)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
