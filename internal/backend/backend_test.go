package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

var endpointAddr = netip.MustParseAddrPort("10.0.0.1:80")

type testProtocol struct{}

func (testProtocol) Answer(status int, h http.Header) Answer {
	a := Answer{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	if running, err := strconv.Atoi(h.Get("Running")); err == nil {
		a.Load, a.HasLoad = loadreport.Report{Running: running}, true
	}
	return a
}

// answerTo is a complete response to a request.
func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient(mem *netx.Mem) *Client { return newClientOn(mem.Site("instance")) }

func newClientOn(n netx.Network) *Client {
	return New(Options{
		Net: n, Protocol: testProtocol{}, Notices: notice.New(notice.Options{}), Limits: ratelimit.New(ratelimit.Options{}), Loads: loadreport.New(),
	})
}

// startEndpoint starts an endpoint that handles each connection by a script: what to write after
// each request. An empty string closes the connection. It returns a client and the number of
// connections made.
func startEndpoint(t *testing.T, scripts ...[]string) (*Client, *int) {
	t.Helper()
	mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
	l, err := mem.Site("endpoint").Listen(endpointAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns := 0
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns++
			go serve(c, script)
		}
	}()
	return newClient(mem), &conns
}

func serve(c net.Conn, script []string) {
	r := bufio.NewReader(c)
	for _, answer := range script {
		req, err := http.ReadRequest(r)
		if err != nil {
			break
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if answer == "" {
			break
		}
		_, _ = io.WriteString(c, answer)
	}
	_ = c.Close()
}

func call(id string) *Call {
	return &Call{Endpoint: registry.Endpoint{ID: "s", Addr: endpointAddr}, Method: http.MethodPost, URI: "/a/b?c=%20d", Host: "h", Header: http.Header{"Id": {id}}, Body: payload.Of([]byte("body")), ID: id}
}

func send(t *testing.T, c *Client, id string) (string, error) {
	t.Helper()
	resp, err := c.Send(context.Background(), call(id))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), err
}

func inVirtualTime(t *testing.T, f func(t *testing.T, is *is.I)) {
	t.Helper()
	virtual.Test(t, func(t *testing.T) { f(t, is.New(t)) })
}

func TestAConnectionIsKept(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		c, conns := startEndpoint(t, []string{answerTo("1", "one"), answerTo("2", "two")})
		b, err := send(t, c, "1")
		is.NoErr(err)
		is.Equal(b, "one")
		b, err = send(t, c, "2")
		is.NoErr(err)
		is.Equal(b, "two")
		is.Equal(*conns, 1)
		c.CloseIdle()
	})
}

func TestNothingSentIsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		_, err := newClient(mem).Send(context.Background(), call("1"))
		is.Equal(fault.As(err).Run, fault.NotRun)
	})
}

func TestARequestThatWasSentMayHaveRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		for _, answer := range []string{"", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\n"} {
			c, conns := startEndpoint(t, []string{answer})
			_, err := send(t, c, "1")
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.Equal(*conns, 1) // never retried
		}
	})
}

func TestAnAnswerToAnotherRequestIsSkipped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		late := answerTo("0", "late")
		c, conns := startEndpoint(t, []string{late + answerTo("1", "one")}, []string{answerTo("2", "two")})
		b, err := send(t, c, "1")
		is.NoErr(err)
		is.Equal(b, "one")
		b, err = send(t, c, "2")
		is.NoErr(err)
		is.Equal(b, "two")
		is.Equal(*conns, 2) // the first connection is not reused
		c.CloseIdle()
	})
}

// Guards against reports that are dropped or dated wrongly, and against the load of another endpoint
// that has the address now: its answer is a 421.
func TestLoadReportsAreRecorded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		withLoad := func(answer, running string) string {
			return strings.Replace(answer, "\r\nSeal", "\r\nRunning: "+running+"\r\nSeal", 1)
		}
		moved := strings.Replace(withLoad(answerTo("3", "three"), "9"), "200 OK", "421 Misdirected Request", 1)
		c, _ := startEndpoint(t, []string{withLoad(answerTo("1", "one"), "4"), answerTo("2", "two"), moved, withLoad(answerTo("4", "four"), "5")})
		var reported []loadreport.Report
		for _, id := range []string{"1", "2", "3", "4"} {
			at := time.Now()
			_, err := send(t, c, id)
			is.NoErr(err)
			s := c.loads.State("s", time.Now())
			is.Equal(s.Age == 0, id == "1" || id == "4")
			is.True(time.Since(at) > 0)
			reported = append(reported, s.Report)
		}
		is.Equal(reported, []loadreport.Report{{Running: 4}, {Running: 4}, {Running: 4}, {Running: 5}})
		c.CloseIdle()
	})
}

func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		c, conns := startEndpoint(t, []string{answerTo("1", "one") + answerTo("1", "one")}, []string{answerTo("2", "two")})
		_, err := send(t, c, "1")
		is.NoErr(err)
		b, err := send(t, c, "2")
		is.NoErr(err)
		is.Equal(b, "two")
		is.Equal(*conns, 2)
		c.CloseIdle()
	})
}

func TestABodyThatEndsEarlyIsAnError(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		short := "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nshort"
		chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n"
		for _, answer := range []string{short, chunked} {
			c, _ := startEndpoint(t, []string{answer})
			_, err := send(t, c, "1")
			is.True(err != nil)
			is.True(!errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
		}
	})
}

func TestTheRequestIsSentAsItIs(t *testing.T) {
	is := is.New(t)
	head := string(call("1").head())
	is.True(strings.HasPrefix(head, "POST /a/b?c=%20d HTTP/1.1\r\nHost: h\r\n"))
	is.True(strings.HasSuffix(head, "Content-Length: 4\r\n\r\n"))
	get := call("2")
	get.Method, get.Body = http.MethodGet, payload.Payload{}
	is.True(!strings.Contains(string(get.head()), "Content-Length"))
}

func TestAnIdleConnectionIsNotUsedLate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		withKeepAlive := strings.Replace(answerTo("1", "one"), "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1)
		c, conns := startEndpoint(t, []string{withKeepAlive, answerTo("2", "two")}, []string{answerTo("2", "two")})
		_, err := send(t, c, "1")
		is.NoErr(err)
		time.Sleep(1500 * time.Millisecond) // the endpoint closes it after 2 s
		_, err = send(t, c, "2")
		is.NoErr(err)
		is.Equal(*conns, 2)
		c.CloseIdle()
	})
}

func TestConnectionsToAnEndpointAreLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		c, _ := startEndpoint(t, []string{answerTo("1", "one")}, []string{answerTo("2", "two")})
		first := call("1")
		first.MaxConns = 1
		resp, err := c.Send(context.Background(), first)
		is.NoErr(err)
		second := call("2")
		second.MaxConns = 1
		_, err = c.Send(context.Background(), second)
		is.Equal(fault.As(err).Run, fault.NotRun)
		is.Equal(fault.As(err).Kind, fault.KindLimit)
		_, err = io.ReadAll(resp)
		is.NoErr(err)
		resp.Close()
		c.CloseIdle()
	})
}

func TestACancelledRequestClosesItsConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		l, err := mem.Site("endpoint").Listen(endpointAddr)
		is.NoErr(err)
		closedAt := make(chan time.Time, 1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, conn) // until the client closes it
			closedAt <- time.Now()
			_ = conn.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		begun := time.Now()
		_, err = newClient(mem).Send(ctx, call("1"))
		is.Equal(fault.As(err).Kind, fault.KindTimeout)
		is.Equal(fault.As(err).Run, fault.MayHaveRun)
		is.True((<-closedAt).Sub(begun) < 1100*time.Millisecond)
		_ = l.Close()
	})
}

// Guards against taking a path for sound on which connections are accepted and closed at once.
func TestAConnectionThatIsClosedAtOnceIsNoPath(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var open atomic.Bool // connections stay open
	go func() {
		var kept []net.Conn // the garbage collector closes connections that nothing refers to
		defer func() { lo.ForEach(kept, func(conn net.Conn, _ int) { _ = conn.Close() }) }()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			kept = append(kept, conn)
			if !open.Load() {
				_ = conn.Close()
			}
		}
	}()
	endpoint := registry.Endpoint{ID: "s", Addr: netip.MustParseAddrPort(l.Addr().String())}
	c := newClientOn(netx.TCP{})
	reachable := func() int { return len(c.paths.Reachable([]registry.Endpoint{endpoint})) }
	is.True(!c.ProbePath(context.Background(), endpoint))
	is.Equal(reachable(), 0)
	open.Store(true)
	is.True(c.ProbePath(context.Background(), endpoint))
	is.Equal(reachable(), 1)
	open.Store(false)
	request := call("1")
	request.Endpoint = endpoint
	c.CloseIdle()
	_, err = c.Send(context.Background(), request)
	is.True(err != nil)
	is.Equal(reachable(), 0)
}

// Guards against a body that ends with its connection and is taken for whole although its endpoint was killed or can't be
// reached, and against a new connection that is made for the proof and not used.
func TestTheEndOfABodyWithoutFramingNeedsProof(t *testing.T) {
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nwhole"
	for _, state := range []string{"lives", "killed", "cut off"} {
		inVirtualTime(t, func(t *testing.T, is *is.I) {
			mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
			l, err := mem.Site("endpoint").Listen(endpointAddr)
			is.NoErr(err)
			conns := 0
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					conns++
					script := []string{unframed}
					if conns > 1 {
						script = []string{answerTo("1", "second")}
					}
					go serve(c, script)
				}
			}()
			c := newClient(mem)
			resp, err := c.Send(context.Background(), call("1"))
			is.NoErr(err)
			time.Sleep(10 * time.Millisecond) // the rest has arrived
			switch state {
			case "killed":
				_ = l.Close()
			case "cut off":
				mem.Cut("instance", "endpoint", true)
			}
			b, err := io.ReadAll(resp)
			resp.Close()
			is.Equal(string(b), "whole")
			is.Equal(err == nil, state == "lives")
			if state == "lives" {
				b, err := send(t, c, "1")
				is.NoErr(err)
				is.Equal(b, "second")
				is.Equal(conns, 2)
			}
			c.CloseIdle()
			_ = l.Close()
		})
	}
}

// Guards against a body that ends with its connection and is taken for whole although its endpoint was killed: another
// process accepted connections at its address at once.
func TestAnEndpointThatIsBackAtItsAddressProvesNoEndOfABody(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		address := l.Addr().String()
		at := registry.Endpoint{ID: "i-1", Service: "svc", Addr: netip.MustParseAddrPort(address)}
		var open []net.Conn
		answer := func(l net.Listener, text string) {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open = append(open, c)
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		}
		c := newClientOn(netx.TCP{})
		request := func(id string) *Response {
			resp, err := c.Send(context.Background(), &Call{Endpoint: at, Method: http.MethodPost, URI: "/", Host: "x", Header: http.Header{"Id": {id}}, ID: id})
			is.NoErr(err)
			return resp
		}
		go answer(l, "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nbegin")
		first := request("1")
		go answer(l, answerTo("2", "whole"))
		second := request("2")
		_, err = io.ReadAll(second)
		is.NoErr(err)
		second.Close() // its connection is idle now
		if restarts {
			_ = l.Close()
			for _, c := range open {
				_ = c.Close()
			}
			l, err = net.Listen("tcp", address)
			is.NoErr(err)
		} else {
			_ = open[0].Close()
		}
		b, err := io.ReadAll(first)
		first.Close()
		is.Equal(string(b), "begin")
		is.Equal(err == nil, !restarts)
		c.CloseIdle()
		_ = l.Close()
	}
}

// readLate reads the end of a body without framing, whose endpoint was killed, after another process has taken its address
// and answered a request with since unless that is empty.
func readLate(t *testing.T, since string) error {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	c := newClientOn(netx.TCP{})
	defer c.CloseIdle()
	request := func(id, text string) (*Response, net.Conn) {
		accepted := make(chan net.Conn, 1)
		go func() {
			k, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(k))
			_, _ = io.WriteString(k, text)
			accepted <- k
		}()
		toSend := call(id)
		toSend.Endpoint.Addr = netip.MustParseAddrPort(address)
		resp, err := c.Send(context.Background(), toSend)
		is.NoErr(err)
		return resp, <-accepted
	}
	first, killed := request("1", "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nbegin")
	defer first.Close()
	_ = l.Close()
	_ = killed.Close()
	l, err = net.Listen("tcp", address)
	is.NoErr(err)
	defer l.Close()
	if since != "" {
		second, _ := request("2", since)
		_, _ = io.ReadAll(second)
		second.Close()
	}
	time.Sleep(2 * endTimeout) // the client of the first answer does not read
	b, err := io.ReadAll(first)
	is.Equal(string(b), "begin")
	return err
}

// Guards against a body that ends with its connection and is taken for whole although its endpoint was killed: another
// endpoint, which answered 421 at its address, accepted connections.
func TestAnotherEndpointAtTheAddressProvesNoEndOfABody(t *testing.T) {
	is.New(t).True(readLate(t, "HTTP/1.1 421 X\r\nId: 2\r\nContent-Length: 0\r\n\r\n") != nil)
}

// Guards against a body that ends with its connection and is taken for whole although its endpoint was killed: its end was
// read late, when another process accepted connections at its address.
func TestAnEndThatIsReadLateNeedsProofFromBefore(t *testing.T) {
	is.New(t).True(readLate(t, "") != nil)
}

// Guards against requests on a connection that the endpoint is about to close: calls that were not sent made it count as
// used.
func TestACallThatIsNotSentLeavesAConnectionIdle(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		withKeepAlive := strings.Replace(answerTo("1", "one"), "\r\n\r\n", "\r\nKeep-Alive: timeout=2\r\n\r\n", 1)
		c, conns := startEndpoint(t, []string{withKeepAlive, answerTo("2", "two")}, []string{answerTo("2", "two")})
		_, err := send(t, c, "1")
		is.NoErr(err)
		time.Sleep(time.Second)
		ended, end := context.WithCancel(context.Background())
		end()
		_, err = c.Send(ended, call("0"))
		is.Equal(fault.As(err).Run, fault.NotRun)
		time.Sleep(time.Second)
		_, err = send(t, c, "2")
		is.NoErr(err)
		is.Equal(*conns, 2) // the endpoint closes the first one now
		c.CloseIdle()
	})
}
