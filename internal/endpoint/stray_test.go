package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
)

const (
	wholeAnswer  = "HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\ndone"
	strayRefusal = "HTTP/1.1 503 Service Unavailable\r\n%sLeaving: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"
)

// strayEndpoint answers each request, and sends bytes that belong to no request before each answer but the first on a connection.
type strayEndpoint struct {
	names bool   // answers name their request
	stray string // before an answer
	runs  chan string
}

func (e *strayEndpoint) start(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func (e *strayEndpoint) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		e.runs <- string(body)
		if !first {
			_, _ = io.WriteString(c, e.stray)
			time.Sleep(20 * time.Millisecond)
		}
		name := ""
		if e.names {
			name = RequestHeader + ": " + req.Header.Get(RequestHeader) + "\r\n"
		}
		_, _ = fmt.Fprintf(c, wholeAnswer, name)
	}
}

// Guards against bytes that belong to no request and are taken for the refusal of the next call, which has run.
func TestAStrayRefusalIsNotTheAnswerOfTheNextCall(t *testing.T) {
	for _, e := range []*strayEndpoint{
		{stray: fmt.Sprintf(strayRefusal, "")},
		{stray: fmt.Sprintf(strayRefusal, ""), names: true},
		{stray: fmt.Sprintf(strayRefusal, RequestHeader+": another\r\n"), names: true},
	} {
		is := is.New(t)
		e.runs = make(chan string, 10)
		addr := e.start(t)
		c := New(netx.Transport(netx.TCP{}))
		answered := 0
		for n := range 6 {
			body := fmt.Sprint("call ", n)
			a, err := c.Call(context.Background(), addr, "pay", "text/plain", "", []byte(body), func(s Signals) {
				if s.Leaving || s.Backoff > 0 {
					t.Errorf("names=%t, stray %q: its signals are observed", e.names, e.stray)
				}
			})
			var f *fault.Error
			select {
			case run := <-e.runs:
				is.Equal(run, body)
			case <-time.After(100 * time.Millisecond):
				is.True(errors.As(err, &f)) // not sent
				continue
			}
			switch {
			case err == nil:
				is.Equal(string(a.Body), "done")
				answered++
			case !errors.As(err, &f) || f.Run != fault.MayHaveRun:
				t.Errorf("names=%t, stray %q: a call that has run ends with %v", e.names, e.stray, err)
			}
		}
		is.True(answered >= 3)
	}
}
