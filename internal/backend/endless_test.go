package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// strayEndpoint sends bytes without end on its first connection, from the moment it is accepted or after the first answer.
type strayEndpoint struct {
	registry.Endpoint
	conns   atomic.Int64
	written atomic.Int64 // stray bytes
	closed  chan error   // receives why they ended
}

func startStray(t *testing.T, onAccept bool, stray string, every time.Duration) *strayEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := &strayEndpoint{Endpoint: registry.Endpoint{ID: "s", Addr: netip.MustParseAddrPort(l.Addr().String())}, closed: make(chan error, 1)}
	flood := func(c net.Conn) {
		for {
			n, err := io.WriteString(c, stray)
			w.written.Add(int64(n))
			if err != nil {
				w.closed <- err
				return
			}
			time.Sleep(every)
		}
	}
	serve := func(c net.Conn) {
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		first := w.conns.Add(1) == 1
		if first && onAccept {
			flood(c)
			return
		}
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, answerTo(req.Header.Get("Id"), "answer"))
			if first {
				time.Sleep(20 * time.Millisecond) // the connection is idle then
				flood(c)
				return
			}
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
	return w
}

func (w *strayEndpoint) call(id string) *Call {
	out := call(id)
	out.Endpoint = w.Endpoint
	out.Due = time.Now().Add(200 * time.Millisecond)
	return out
}

// untimedNetwork connects without a time-out, which a connection may exceed on a loaded host.
type untimedNetwork struct{ netx.TCP }

// Dial implements netx.Network.
func (n untimedNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return n.TCP.Dial(context.WithoutCancel(ctx), addr)
}

// maxUnread is above what two sockets hold of the bytes that nobody reads.
const maxUnread = 512 << 10

// Guards against idle connections that receive bytes without end and are read, kept or used for the next request.
func TestBytesWithoutEndOnAnIdleConnection(t *testing.T) {
	for name, every := range map[string]time.Duration{"fast": 0, "slow": 5 * time.Millisecond} {
		for _, closedBy := range []string{"request", "cleanup"} {
			t.Run(name+" "+closedBy, func(t *testing.T) {
				is := is.New(t)
				w := startStray(t, false, strayRefusal, every)
				c := newClientOn(untimedNetwork{})
				defer c.CloseIdle()
				resp, err := c.Send(context.Background(), w.call("1"))
				is.NoErr(err)
				_, err = io.ReadAll(resp)
				is.NoErr(err)
				resp.Close()
				for w.written.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(100 * time.Millisecond)
				is.True(w.written.Load() < maxUnread)
				if closedBy == "cleanup" {
					c.CloseUnused(time.Now(), func(string) bool { return true })
					<-w.closed
				}
				resp, err = c.Send(context.Background(), w.call("2"))
				is.NoErr(err)
				is.True(!resp.Answer.NotRun && !resp.Reused)
				b, err := io.ReadAll(resp)
				is.NoErr(err)
				is.Equal(string(b), "answer")
				resp.Close()
				if closedBy == "request" {
					<-w.closed
				}
				is.Equal(w.conns.Load(), int64(2))
			})
		}
	}
}

// Guards against probes that read bytes without end, count them as a sound path, or leave their connection to a request.
func TestBytesWithoutEndOnTheConnectionOfAProbe(t *testing.T) {
	for _, stray := range []string{strayRefusal, "x", ": x\n"} {
		is := is.New(t)
		w := startStray(t, true, stray, 0)
		c := newClientOn(untimedNetwork{})
		is.True(!c.ProbePath(context.Background(), w.Endpoint))
		<-w.closed
		is.True(w.written.Load() < maxUnread)

		w = startStray(t, true, stray, 0)
		c.endpoints["s"] = &connections{}
		is.True(!c.ProbeEnded(context.Background(), w.Endpoint))
		time.Sleep(20 * time.Millisecond)
		resp, err := c.Send(context.Background(), w.call("1"))
		is.NoErr(err)
		is.True(!resp.Reused)
		resp.Close()
		<-w.closed
		is.True(w.written.Load() < maxUnread)
		c.CloseIdle()
	}
}

// Guards against endpoints that send bytes without end while they are sent a long body, and are written and read on.
func TestBytesWithoutEndWhileARequestIsWritten(t *testing.T) {
	for _, stray := range []string{"x", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nA: x\r\n", "A: x\r\n"} {
		is := is.New(t)
		w := startStray(t, true, stray, 0)
		c := newClientOn(untimedNetwork{})
		long := w.call("1")
		long.Body = payload.Of([]byte(strings.Repeat("x", 4<<20)))
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := c.Send(ctx, long)
		is.NoErr(ctx.Err())
		cancel()
		is.Equal(fault.As(err).Run, fault.MayHaveRun)
		<-w.closed
		is.True(w.written.Load() < maxUnread)
		c.CloseIdle()
	}
}

// Guards against answers that are given up for the pieces or the pauses in which they come.
func TestSlowAnswersAreWaitedFor(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
	byByte := strings.Split("answer"+strings.Repeat("r", 60), "")
	for name, test := range map[string]struct {
		pieces []string
		every  time.Duration
	}{
		"a long pause":      {[]string{answerTo("1", "whole")}, 3 * time.Second},
		"a head in pieces":  {strings.SplitAfter(head+"A: b\r\nC: d\r\nContent-Length: 5\r\n\r\nwhole", "\r\n"), time.Second},
		"a body by byte":    {append([]string{head + "Content-Length: 66\r\n\r\n"}, byByte...), 100 * time.Millisecond},
		"chunks by byte":    {append([]string{head + "Transfer-Encoding: chunked\r\n\r\n"}, append(chunksOf(byByte), "0\r\n\r\n")...), 100 * time.Millisecond},
		"behind another":    {append(strings.SplitAfter(strings.Replace(answerTo("1", "late"), "Id: 1", "Id: 0", 1), "\r\n"), answerTo("1", "whole")), time.Second},
		"a long one before": {[]string{strings.Replace(answerTo("1", strings.Repeat("x", 1<<20)), "Id: 1", "Id: 0", 1), answerTo("1", "whole")}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, is *is.I) {
				mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
				l, err := mem.Site("endpoint").Listen(endpointAddr)
				is.NoErr(err)
				defer l.Close()
				done := make(chan struct{})
				go func() {
					defer close(done)
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = http.ReadRequest(bufio.NewReader(c))
					for _, piece := range test.pieces {
						time.Sleep(test.every)
						_, _ = io.WriteString(c, piece)
					}
					time.Sleep(time.Second)
					_ = c.Close()
				}()
				c := newClient(mem)
				slow := call("1")
				slow.Due = time.Now().Add(100 * time.Millisecond)
				resp, err := c.Send(context.Background(), slow)
				is.NoErr(err)
				_, err = io.ReadAll(resp)
				is.NoErr(err)
				resp.Close()
				c.CloseIdle()
				<-done
			})
		})
	}
}

func chunksOf(pieces []string) []string {
	var out []string
	for _, p := range pieces {
		out = append(out, "1\r\n"+p+"\r\n")
	}
	return out
}
