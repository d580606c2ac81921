package listen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// start serves a handler on a loopback address until the test ends.
func start(t *testing.T, h http.HandlerFunc, l Limits) (*Acceptor, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(listener, h, nil)
	s.Apply(l)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, listener.Addr().String()
}

// client is a connection of a client.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	return &client{c, bufio.NewReader(c)}
}

// get sends a request with a header of a size, and returns the status and whether the server closes the connection.
func (c *client) get(header int) (status int, closes bool, err error) {
	_, err = fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", header))
	if err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, false, err
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, nil
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against limits that stay those of the first configuration until the next start.
func TestLimitsChangeWhileServing(t *testing.T) {
	is := is.New(t)
	small, large := Limits{1 << 10, time.Minute, time.Minute}, Limits{64 << 10, time.Minute, time.Minute}
	s, addr := start(t, ok, small)
	status, _, err := dial(t, addr).get(32 << 10)
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	s.Apply(large)
	for range 3 {
		s.Apply(large) // changes nothing
		status, closes, err := dial(t, addr).get(32 << 10)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(!closes)
	}
	s.Apply(small)
	status, _, err = dial(t, addr).get(32 << 10)
	is.NoErr(err)
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
}

// Guards against requests that a change of the limits cuts off, and against connections that keep the limits from before.
func TestAChangeOfLimitsCutsNothing(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}, 1), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-end
	}, Limits{1 << 10, time.Minute, time.Minute})
	c := dial(t, addr)
	type result struct {
		status int
		closes bool
		err    error
	}
	got := make(chan result)
	go func() {
		status, closes, err := c.get(10)
		got <- result{status, closes, err}
	}()
	<-begun
	s.Apply(Limits{2 << 10, time.Minute, time.Minute})
	other := dial(t, addr)
	go func() {
		status, closes, err := other.get(10)
		got <- result{status, closes, err}
	}()
	<-begun
	close(end)
	results := []result{<-got, <-got}
	is.True(results[0].closes != results[1].closes) // that of the limits from before
	for _, r := range results {
		is.NoErr(r.err)
		is.Equal(r.status, http.StatusOK)
	}
}

// Guards against a stop that leaves connections of earlier limits open.
func TestShutdownEndsAllConnections(t *testing.T) {
	is := is.New(t)
	s, addr := start(t, ok, Limits{1 << 10, time.Minute, time.Minute})
	var clients []*client
	for n := range 3 {
		s.Apply(Limits{(n + 2) << 10, time.Minute, time.Minute})
		c := dial(t, addr)
		_, _, err := c.get(10)
		is.NoErr(err)
		clients = append(clients, c)
	}
	is.NoErr(s.Shutdown(context.Background()))
	for _, c := range clients {
		_, err := c.in.ReadByte()
		is.True(err != nil)
	}
	_, err := net.Dial("tcp", addr)
	is.True(err != nil)
	s.Apply(Limits{})
	s.Close()
}

// Guards against a change of limits that closes a connection without an answer to the request that arrives on it.
func TestARequestOnAConnectionFromBeforeAChangeIsAnswered(t *testing.T) {
	is := is.New(t)
	s, addr := start(t, ok, Limits{1 << 10, time.Minute, time.Minute})
	for n := range 20 {
		c := dial(t, addr)
		for s.connections() == 0 { // until it is accepted
			time.Sleep(time.Millisecond)
		}
		s.Apply(Limits{(n + 2) << 10, time.Minute, time.Minute})
		status, closes, err := c.get(10)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(closes)
		for s.connections() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(len(s.serving) <= 2) // earlier generations are not kept
}

// connections returns how many connections are open.
func (s *Acceptor) connections() (n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.serving {
		n += g.open.Load()
	}
	return n
}
