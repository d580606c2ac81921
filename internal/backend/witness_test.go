package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// restartable is an endpoint on a real socket. It answers requests with a length, but the one with ID 3 with two pieces
// without framing, which are sent when the test says so.
type restartable struct {
	listener net.Listener
	conns    chan net.Conn
	pieces   chan string
}

func startRestartable(t *testing.T) *restartable {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &restartable{listener: l, conns: make(chan net.Conn, 8), pieces: make(chan string)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.conns <- c
			go e.serve(c)
		}
	}()
	return e
}

func (e *restartable) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.Header.Get("Id") != "3" {
			_, _ = io.WriteString(c, answerTo(req.Header.Get("Id"), "x"))
			continue
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 3\r\nSeal: s\r\n\r\n")
		for piece := range e.pieces {
			_, _ = io.WriteString(c, piece)
		}
		_ = c.Close()
		return
	}
}

// end closes all connections accepted so far, as a process does that ends while another one starts to accept connections
// at the same address.
func (e *restartable) end() {
	for {
		select {
		case c := <-e.conns:
			_ = c.Close()
		default:
			return
		}
	}
}

// Guards against a body that looks whole because another process already accepts connections at the address of the one
// that ended.
func TestABodyIsNotWholeWhereAnotherProcessHasTheAddress(t *testing.T) {
	for _, test := range []struct {
		name  string
		conns int // made before
		ends  func(e *restartable)
		whole bool
	}{
		{"the process lives", 2, func(*restartable) {}, true},
		{"another one has the address", 2, func(e *restartable) { e.end() }, false},
		{"none was idle when the answer began", 1, func(e *restartable) {
			for range 3 { // a connection is made, held, and seen to be of the same process
				e.pieces <- "b"
				time.Sleep(20 * time.Millisecond)
			}
			e.end()
		}, false},
		{"another one has the address before the last piece is read", 2, func(e *restartable) {
			_ = (<-e.conns).Close()
			time.Sleep(20 * time.Millisecond)
			e.pieces <- "b"
			time.Sleep(20 * time.Millisecond)
			e.end()
		}, false},
		{"none was idle, and the process lives", 1, func(e *restartable) {
			for range 3 {
				e.pieces <- "b"
				time.Sleep(20 * time.Millisecond)
			}
		}, true},
		{"the process closes an idle connection and goes on", 2, func(e *restartable) {
			_ = (<-e.conns).Close()
			time.Sleep(20 * time.Millisecond)
			e.pieces <- "b"
			time.Sleep(20 * time.Millisecond)
			e.pieces <- "c"
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := startRestartable(t)
			c := newClientOn(netx.TCP{})
			to := func(id string) *Call {
				k := call(id)
				k.Endpoint.Addr = netip.MustParseAddrPort(e.listener.Addr().String())
				return k
			}
			var answers []*Response
			for range test.conns {
				r, err := c.Send(context.Background(), to("1"))
				is.NoErr(err)
				answers = append(answers, r)
			}
			for _, r := range answers { // the connection of the first becomes the oldest idle one
				_, err := io.ReadAll(r)
				is.NoErr(err)
				r.Close()
			}
			resp, err := c.Send(context.Background(), to("3"))
			is.NoErr(err)
			e.pieces <- "a"
			_, err = io.ReadFull(resp, make([]byte, 1))
			is.NoErr(err)
			read := make(chan error)
			go func() {
				_, err := io.ReadAll(resp)
				read <- err
			}()
			test.ends(e)
			close(e.pieces)
			err = <-read
			resp.Close()
			is.Equal(err == nil, test.whole)
			is.Equal(errors.Is(err, errEndUnproven), !test.whole)
			c.CloseIdle()
			is.Equal(c.endpoints["s"], (*connections)(nil)) // no connection is lost
		})
	}
}

// Guards against a stream that looks whole because the other connections of its endpoint's process end later than its own, as
// where a packet is lost or the host is loaded.
func TestAStreamIsNotWholeWhereOtherConnectionsEndLater(t *testing.T) {
	for _, idle := range []bool{true, false} {
		is := is.New(t)
		e := startRestartable(t)
		c := newClientOn(netx.TCP{})
		to := func(id string) *Call {
			k := call(id)
			k.Endpoint.Addr = netip.MustParseAddrPort(e.listener.Addr().String())
			return k
		}
		first, err := c.Send(context.Background(), to("1"))
		is.NoErr(err)
		stream, err := c.Send(context.Background(), to("3"))
		is.NoErr(err)
		if idle {
			_, err = io.ReadAll(first)
			is.NoErr(err)
			first.Close()
		}
		stream.ReportProgress()
		e.pieces <- "a"
		close(e.pieces)
		time.AfterFunc(100*time.Millisecond, func() {
			_ = e.listener.Close()
			e.end()
		})
		_, err = io.ReadAll(stream)
		stream.Close()
		is.True(errors.Is(err, errEndUnproven))
		first.Close()
		c.CloseIdle()
	}
}

// Guards against responses without framing that take more than one connection out of the pool, or renew its idle time.
func TestWitnessesShareAConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		c, _ := startEndpoint(t, []string{answerTo("1", "one"), answerTo("2", "two")})
		_, err := send(t, c, "1")
		is.NoErr(err)
		idle := c.endpoints["s"].idle[0]
		since := idle.idleSince
		time.Sleep(time.Second)
		first, _ := c.holdIdle("s")
		second, _ := c.holdIdle("s")
		is.True(first != nil && first == second)
		is.Equal(len(c.endpoints["s"].idle), 0)
		c.releaseHeld("s", first)
		is.Equal(len(c.endpoints["s"].idle), 0)
		second, _ = c.holdIdle("s")
		is.Equal(second, first)
		c.releaseHeld("s", first)
		c.releaseHeld("s", first)
		is.Equal(c.endpoints["s"].idle, []*conn{idle})
		is.Equal(idle.idleSince, since)
		b, err := send(t, c, "2")
		is.NoErr(err)
		is.Equal(b, "two")
		is.Equal(c.endpoints["s"].open, 1)
	})
}
