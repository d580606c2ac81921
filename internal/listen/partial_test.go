package listen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/intake"
)

// halfSent opens a connection of which the server has read half the header of a request, kept from another request or new.
func halfSent(t *testing.T, addr string, kept bool) *client {
	t.Helper()
	is := is.New(t)
	c := dial(t, addr)
	if kept {
		status, _, err := c.get(10)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // until it is read
	return c
}

// finish sends the rest of the header, and checks the response.
func (c *client) finish(t *testing.T) {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprint(c, "X: y\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// Guards against a stop that drops requests whose header it has begun to read.
func TestShutdownAnswersRequestsThatAreBeingRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		s, addr := start(t, ok, Limits{1 << 10, time.Minute, time.Minute})
		c := halfSent(t, addr, kept)
		ended := make(chan error)
		go func() { ended <- s.Shutdown(context.Background()) }()
		time.Sleep(50 * time.Millisecond)
		c.finish(t)
		is.New(t).NoErr(<-ended)
	}
}

// Guards against a change of limits that drops requests whose header is being read on a kept connection.
func TestAChangeOfLimitsAnswersRequestsThatAreBeingRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		s, addr := start(t, ok, Limits{1 << 10, time.Minute, time.Minute})
		c := halfSent(t, addr, kept)
		s.Apply(Limits{2 << 10, time.Minute, time.Minute})
		time.Sleep(50 * time.Millisecond)
		c.finish(t)
	}
}

// Guards against a stop that waits for clients that send nothing, and against one that reads what it does not answer.
func TestShutdownClosesConnectionsWithoutARequestUnread(t *testing.T) {
	s, addr := start(t, ok, Limits{1 << 10, time.Minute, time.Minute})
	is := is.New(t)
	fresh, kept := dial(t, addr), dial(t, addr)
	_, _, err := kept.get(10)
	is.NoErr(err)
	for s.connections() < 2 {
		time.Sleep(time.Millisecond)
	}
	begun := time.Now()
	is.NoErr(s.Shutdown(context.Background()))
	is.True(time.Since(begun) < 2*time.Second)
	for _, c := range []*client{fresh, kept} {
		_, err := c.in.ReadByte()
		is.True(err != nil)
	}
}

// Guards against a stop that cuts requests off at its end without an answer, also those whose body is still being read.
func TestAbortAnswersRequestsInProgress(t *testing.T) {
	is := is.New(t)
	cause := errors.New("the end")
	reading := make(chan struct{}, 1)
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		reading <- struct{}{}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		<-r.Context().Done()
		if context.Cause(r.Context()) == cause {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}, Limits{1 << 10, time.Minute, time.Minute})
	statuses := make(chan int)
	for _, body := range []string{"whole", "half"} {
		c := dial(t, addr)
		_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n%s", body)
		is.NoErr(err)
		<-reading
		go func() {
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				statuses <- 0
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.Equal(s.Shutdown(ctx), context.DeadlineExceeded)
	s.Abort(cause, 5*time.Second)
	is.Equal(<-statuses+<-statuses, http.StatusRequestTimeout+http.StatusGatewayTimeout)
}

// Guards against a stop that cuts off a request that was read together with the one before it on its connection.
func TestShutdownAnswersARequestThatWasReadWithTheOneBefore(t *testing.T) {
	is := is.New(t)
	begun, stopped := make(chan struct{}), make(chan struct{})
	cancelled := make(chan bool, 1)
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "h")
			_ = http.NewResponseController(w).Flush()
			close(begun)
			<-stopped
			_, _ = io.WriteString(w, "i")
			return
		}
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-time.After(100 * time.Millisecond):
			cancelled <- false
		}
	}, Limits{1 << 10, time.Minute, time.Minute})
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-begun
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	close(stopped)
	for range 2 {
		resp, err := http.ReadResponse(c.in, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	is.True(!<-cancelled)
	is.NoErr(<-ended)
}

// Guards against an answer that was broken off and looks complete to an HTTP/1.0 client, for which only the end of the
// connection marks its end.
func TestAnAbortedAnswerIsNotCompleteForAnHTTP10Client(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	connections := intake.NewConnections(intake.ConnectionLimits{Open: 10}, time.Now, nil)
	s := New(connections.Listener(listener), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begin")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond) // until the client has read it
		panic(http.ErrAbortHandler)
	}), connections.StateChanged)
	s.Apply(Limits{1 << 10, time.Minute, time.Minute})
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	c := dial(t, listener.Addr().String())
	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(c.in, nil)
	is.NoErr(err)
	b, err := io.ReadAll(resp.Body)
	is.Equal(string(b), "begin")
	is.True(err != nil) // rather than the end of the connection
}
