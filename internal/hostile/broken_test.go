package hostile

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/netxtest"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/platform"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

const (
	brokenEndpoints = 6
	brokenRequests  = 60 // of each kind, on each route
	uploadBytes     = 3 << 20
)

// brokenAnswer is an answer of an endpoint that is not one of the protocol, or not whole.
type brokenAnswer struct {
	status string
	line   string // of the head
	early  bool   // the endpoint answers before it has read the request, and does not read the rest
	end    func(c *net.TCPConn)
}

func resetAfter(delay time.Duration) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(delay)
		_ = c.SetLinger(0)
	}
}

// serveBroken serves an endpoint that gives the answer to all requests but health checks, and returns its address.
func (w *world) serveBroken(a *atomic.Pointer[brokenAnswer], sent *atomic.Int64) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.t.Cleanup(func() { _ = l.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		sent.Add(1)
		a := a.Load()
		if !a.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		h := http.Header{}
		id := platformtest.ReadRequest(r.Header).ID
		platformtest.SetResponse(h, platformtest.EndpointResponse{RequestID: id, Seal: "seal." + id})
		h.Set("Content-Type", "text/plain")
		body := strings.Repeat("answer ", 30)
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			h.Set("Content-Type", "text/event-stream")
			body = strings.Repeat("id: 1\ndata: answer\n\n", 3)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n", a.status)
		_ = h.Write(c)
		_, _ = io.WriteString(c, a.line+"\r\n"+body)
		if a.end != nil {
			a.end(c)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

var (
	errWhole    = errors.New("passed for a whole answer")
	errNoAnswer = errors.New("the connection ended without an answer")
)

// uploadTo sends a request with a body of a size, and returns how a broken answer reached the client: errWhole, errNoAnswer
// or nil, if it did not.
func (w *world) uploadTo(path string, size int) error {
	c, err := net.Dial("tcp", netip.AddrPortFrom(w.addr, frontPort).String())
	w.must(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	go func() { _ = announcedTo(path, callerKey, size, size)(c) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return errNoAnswer
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode < http.StatusBadRequest {
		return errWhole
	}
	return nil
}

// Guards against answers of endpoints that are broken and reach the client as whole ones, or end its connection without an
// answer.
func TestBrokenAnswersReachAClient(t *testing.T) {
	w := newWorld(t, limits{memoryMB: 284, descriptors: 4096})
	var answer atomic.Pointer[brokenAnswer]
	var sent atomic.Int64
	for i := range brokenEndpoints {
		id := fmt.Sprintf("broken-%d", i)
		key, value, err := platformtest.EndpointEntry(registry.Endpoint{ID: id, Service: "broken", Hall: "a", Addr: w.serveBroken(&answer, &sent), Version: "v1", Slots: 1000})
		w.must(err)
		w.store.Put(key, value)
	}
	c := operatorConfig()
	c.Version++
	c.Services = append(c.Services, policy.Service{Name: "broken", HealthPath: "/health", MaxConnections: 1000})
	for prefix, kind := range map[string]policy.Kind{"/once/": policy.Unsafe, "/stream/": policy.Streaming} {
		c.Routes = append(c.Routes, policy.Route{
			Name: strings.Trim(prefix, "/"), Host: host, Prefix: prefix, Kind: kind, Timeout: 15 * time.Second, TargetLatency: time.Second,
			Priority: 1, MaxAttempts: 1, Split: []policy.Share{{Service: "broken", Weight: 1}},
		})
	}
	w.configure(c)
	answer.Store(&brokenAnswer{status: "500 X", line: "Content-Length: 0\r\n"})
	w.await("a request at a broken endpoint", func() bool {
		_ = w.uploadTo("/once/call", 1000)
		return sent.Load() > 0
	})

	type kind struct {
		name   string
		size   int
		answer func(n int) brokenAnswer
	}
	always := func(a brokenAnswer) func(int) brokenAnswer { return func(int) brokenAnswer { return a } }
	for _, k := range []kind{
		{"reset during the upload", uploadBytes, func(n int) brokenAnswer {
			return brokenAnswer{status: "200 OK", early: true, end: resetAfter(time.Duration(n%10) * time.Millisecond)}
		}},
		{"closed during the upload", uploadBytes, always(brokenAnswer{status: "200 OK", early: true, end: netxtest.AwaitUnread})},
		{"reset after the upload", uploadBytes, always(brokenAnswer{status: "200 OK", end: resetAfter(time.Millisecond)})},
		{"status 000", 1000, always(brokenAnswer{status: "000 X", line: "Content-Length: 6\r\n"})},
		{"blank in a name", 1000, always(brokenAnswer{status: "200 OK", line: "X Odd: 1\r\n"})},
		{"blank before the colon", 1000, always(brokenAnswer{status: "200 OK", line: "Content-Length : 6\r\n"})},
		{"blank before the name", 1000, always(brokenAnswer{status: "200 OK", line: " Content-Length: 6\r\n"})},
		{"control byte in a name", 1000, always(brokenAnswer{status: "200 OK", line: "X\x01Odd: 1\r\n"})},
	} {
		for _, path := range []string{"/once/call", "/stream/call"} {
			t.Run(k.name+path, func(t *testing.T) {
				before, got := sent.Load(), make(map[error]int)
				for n := range brokenRequests {
					a := k.answer(n)
					answer.Store(&a)
					got[w.uploadTo(path, k.size)]++
				}
				if got[errWhole] > 0 || got[errNoAnswer] > 0 {
					t.Errorf("of %d answers, %d passed for whole, %d connections ended without one", brokenRequests, got[errWhole], got[errNoAnswer])
				}
				if n := sent.Load() - before; n < brokenRequests/2 {
					t.Errorf("only %d requests reached the endpoints", n)
				}
			})
		}
	}
	for i := range brokenEndpoints {
		w.store.Put(platform.EndpointKey(fmt.Sprintf("broken-%d", i)), nil)
	}
	w.check()
}
