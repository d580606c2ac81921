package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// startEndless starts an endpoint that answers each request with a beginning, and then the same bytes again until its
// connection is closed. It reports the bytes of an answer when that has ended.
func startEndless(t *testing.T, begin, again string) (addr netip.AddrPort, written <-chan int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan int64, 1)
	serve := func(c net.Conn) {
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(c, begin)
		again := strings.Repeat(again, max(1, 16<<10/len(again)))
		sum := int64(0)
		for err == nil {
			var n int
			n, err = io.WriteString(c, again)
			sum += int64(n)
		}
		out <- sum
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
	return netip.MustParseAddrPort(l.Addr().String()), out
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against streams of engines that go on without tokens: they would be read until the deadline of their caller.
func TestStreamsWithoutTokensAreGivenUp(t *testing.T) {
	for name, again := range map[string]string{
		"comments":       ": x\n\n",
		"blank lines":    "\n",
		"no data":        "event: ping\n\n",
		"empty tokens":   "data: {}\n\n",
		"the same token": "data: {\"index\":0,\"text\":\"x\"}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, written := startEndless(t, streamHead+"data: {\"index\":0,\"text\":\"x\"}\n\n", again)
			transport := netx.Transport(netx.TCP{})
			defer transport.CloseIdleConnections()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			s, err := New(transport).Generate(ctx, addr, &Generate{}, func(Signals) {})
			is.NoErr(err)
			for err == nil {
				_, err = s.Next()
			}
			s.Close()
			is.NoErr(ctx.Err())
			is.Equal(fault.As(err).Kind, fault.KindBroken)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.True(<-written < 1<<20)
		})
	}
}

// Guards against the beginning of an answer without end that passes for the whole answer.
func TestAnswersOverTheLimitAreNotCutToIt(t *testing.T) {
	for name, head := range map[string]string{
		"until it ends": "HTTP/1.1 200 OK\r\n\r\n",
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, written := startEndless(t, head, "x")
			transport := netx.Transport(netx.TCP{})
			defer transport.CloseIdleConnections()
			_, err := New(transport).Call(context.Background(), addr, "pay", "text/plain", "k", nil, func(Signals) {})
			is.True(err != nil)
			is.Equal(fault.As(err).Kind, fault.KindBroken)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.True(<-written < 16<<20)
		})
	}
}

// Guards against heads without end that are held in memory, by as many connections as there are calls.
func TestHeadsOfAnswersAreBounded(t *testing.T) {
	for name, begin := range map[string]string{
		"status line":   "HTTP/1.1 200 ",
		"header line":   "HTTP/1.1 200 OK\r\nA: ",
		"informational": "HTTP/1.1 102 Processing\r\nA: ",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, written := startEndless(t, begin, "x")
			transport := netx.Transport(netx.TCP{})
			defer transport.CloseIdleConnections()
			_, err := New(transport).Call(context.Background(), addr, "pay", "text/plain", "k", nil, func(Signals) {})
			is.True(err != nil)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.True(<-written < 1<<20)
		})
	}
}
