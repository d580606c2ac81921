package backend

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/progress"
)

// repeatingConn is a connection on which a text is received, and then another one again and again.
type repeatingConn struct {
	net.Conn
	text, again string
	read        int
}

// Read implements net.Conn.
func (c *repeatingConn) Read(p []byte) (int, error) {
	if c.text == "" {
		if c.again == "" {
			return 0, io.EOF
		}
		c.text = strings.Repeat(c.again, max(1, 4<<10/len(c.again)))
	}
	n := copy(p, c.text)
	c.text = c.text[n:]
	c.read += n
	return n, nil
}

// Write implements net.Conn.
func (c *repeatingConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (c *repeatingConn) Close() error { return nil }

// SetDeadline implements net.Conn.
func (c *repeatingConn) SetDeadline(time.Time) error { return nil }

// oneConn is a network that connects to it.
type oneConn struct{ conn net.Conn }

// Dial implements netx.Network.
func (n oneConn) Dial(context.Context, netip.AddrPort) (net.Conn, error) { return n.conn, nil }

// Listen implements netx.Network.
func (n oneConn) Listen(netip.AddrPort) (net.Listener, error) { return nil, net.ErrClosed }

// Whatever an endpoint sends, with or without end, a response names its request, and no more than the bounds is read for it.
func FuzzResponse(f *testing.F) {
	const (
		head    = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
		other   = "HTTP/1.1 200 OK\r\nId: 2\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		wanted  = 64 << 10 // bytes of the body that are read
	)
	f.Add(answerTo("1", "one"), "")
	f.Add(answerTo("1", "one"), strayRefusal)
	f.Add("HTTP/1.1 200 ", "x")
	f.Add("", "\x00\x01")
	f.Add(head+"A: ", "x")
	f.Add(head, "A: x\r\n")
	f.Add("", "HTTP/1.1 102 Processing\r\n\r\n")
	f.Add("HTTP/1.1 102 Processing\r\n", "A: x\r\n")
	f.Add("", answerTo("2", "two"))
	f.Add(other+"\r\n", "x")
	f.Add(other+chunked, "1\r\nx\r\n")
	f.Add(other+"Content-Length: 9000000000000\r\n\r\n", "x")
	f.Add(head+chunked, "1\r\nx\r\n")
	f.Add(head+chunked, "1")
	f.Add(head+chunked+"1;", "x")
	f.Add(head+chunked, "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\nx\r\n")
	f.Add(head+chunked+"0\r\nA: ", "x")
	f.Add(head+chunked+"0\r\n", "A: x\r\n")
	f.Add(head+"Content-Length: 9000000000000\r\n\r\n", "x")
	f.Add(head+"\r\n", ": x\n")
	f.Fuzz(func(t *testing.T, text, again string) {
		conn := &repeatingConn{text: text, again: again}
		c := newClientOn(oneConn{conn})
		resp, err := c.Send(context.Background(), call("1"))
		if err != nil {
			if fault.As(err).Run != fault.MayHaveRun {
				t.Fatal("a request that was sent counts as not run")
			}
		} else {
			if resp.Answer.RequestID != "1" {
				t.Fatalf("the response names request %q", resp.Answer.RequestID)
			}
			_, _ = io.CopyN(io.Discard, resp, wanted)
			resp.Close()
		}
		// Each byte of the body may come in a chunk of its own with as much as Go allows beside it.
		if most := progress.MaxBytes + 8*wanted + len(text); conn.read > most {
			t.Fatalf("%d bytes were read, %d allowed", conn.read, most)
		}
	})
}
