package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netxtest"
	"github.com/shelfcrank/shelfcrank/internal/payload"
)

// earlyBody is the body that an early endpoint sends.
var earlyBody = strings.Repeat("early ", 30)

// startEarly starts an endpoint on a real socket that answers the request with ID "early" without a length when it has read
// no more than a part of its body, and then ends the connection with end. It answers other requests whole.
func startEarly(t *testing.T, end func(c *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if id == "early" {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\n%s", id, earlyBody)
				end(c)
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, answerTo(id, "x"))
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

// upload sends a request with a body of a size, after another one on the same connection if it is kept.
func upload(t *testing.T, addr netip.AddrPort, size int, kept bool) (string, error) {
	t.Helper()
	c := newClientOn(netxtest.Untimed{})
	defer c.CloseIdle()
	request := func(id string, body []byte) (string, error) {
		x := call(id)
		x.Endpoint.Addr, x.Body = addr, payload.Of(body)
		resp, err := c.Send(context.Background(), x)
		if err != nil {
			return "", err
		}
		defer resp.Close()
		b, err := io.ReadAll(resp)
		return string(b), err
	}
	if kept {
		if _, err := request("before", []byte("body")); err != nil {
			t.Fatal(err)
		}
	}
	return request("early", make([]byte, size))
}

// Guards against a part of a body without framing that passes for the whole one, as the write of the request meets the
// reset of the connection first, and the read that follows returns the end of the stream.
func TestAResetThatTheUploadMeetsIsNotTheEndOfTheBody(t *testing.T) {
	const tries = 40
	for name, end := range map[string]func(c *net.TCPConn, delay time.Duration){
		"reset": func(c *net.TCPConn, delay time.Duration) {
			time.Sleep(delay)
			_ = c.SetLinger(0)
		},
		"closed": func(c *net.TCPConn, _ time.Duration) { netxtest.AwaitUnread(c) },
	} {
		for _, size := range []int{200 << 10, 3 << 20} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/kept=%v", name, size, kept), func(t *testing.T) {
					t.Parallel()
					whole := 0
					for i := range tries {
						addr := startEarly(t, func(c *net.TCPConn) { end(c, time.Duration(i%10)*time.Millisecond) })
						if _, err := upload(t, addr, size, kept); err == nil {
							whole++
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d bodies passed for whole", whole, tries)
					}
				})
			}
		}
	}
}

// Guards against a whole body that counts as broken off, as its endpoint ended the stream in order and then did not read
// the rest of the request.
func TestABodyThatEndsInOrderDuringTheUploadIsWhole(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"reads on": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"pauses":   func(*net.TCPConn) { time.Sleep(100 * time.Millisecond) },
		"resets":   func(c *net.TCPConn) { _ = c.SetLinger(0) },
	} {
		for _, size := range []int{200 << 10, 3 << 20} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%d/kept=%v", name, size, kept), func(t *testing.T) {
					t.Parallel()
					for range 10 {
						addr := startEarly(t, func(c *net.TCPConn) {
							_ = c.CloseWrite()
							end(c)
						})
						if body, err := upload(t, addr, size, kept); err != nil || body != earlyBody {
							t.Errorf("got %d of %d bytes: %v", len(body), len(earlyBody), err)
						}
					}
				})
			}
		}
	}
}

// Guards against the same where the write returns after the read of the end of the stream, and for other failures of the
// connection.
func TestTheEndOfABodyWaitsForTheErrorOfTheUpload(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nId: early\r\nSeal: s\r\n\r\n" + earlyBody
	for _, test := range []struct {
		err   error
		whole bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.EPIPE, true}, // of a reset after the end of the stream
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v/%v", test.err, delay), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, is *is.I) {
					c := newClientOn(netxtest.Breaking{Answer: answer, Err: test.err, Delay: delay})
					defer c.CloseIdle()
					x := call("early")
					x.Body = payload.Of(make([]byte, 2*maxInlineBody))
					resp, err := c.Send(context.Background(), x)
					is.NoErr(err)
					defer resp.Close()
					_, err = io.ReadAll(resp)
					is.Equal(err == nil, test.whole)
					_, err = resp.Read(make([]byte, 1)) // a further read agrees
					is.Equal(err == io.EOF, test.whole)
				})
			})
		}
	}
}
