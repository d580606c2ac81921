package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"time"

	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// garbledWriter writes a response on a connection taken from net/http, and after it bytes that belong to no request.
// The connection then carries further requests.
type garbledWriter struct {
	conn   net.Conn
	unread *bufio.Reader // from conn
	header http.Header
	body   io.WriteCloser // chunks; nil before the head
}

var errNotWhole = errors.New("the response is not whole")

// newGarbledWriter takes the connection of a response.
func newGarbledWriter(w http.ResponseWriter) (*garbledWriter, error) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return &garbledWriter{conn: conn, unread: buffer.Reader, header: make(http.Header)}, nil
}

// Header implements http.ResponseWriter.
func (g *garbledWriter) Header() http.Header { return g.header }

// WriteHeader implements http.ResponseWriter.
func (g *garbledWriter) WriteHeader(status int) {
	if g.body != nil {
		return
	}
	g.header.Del("Content-Length")
	g.header.Set("Transfer-Encoding", "chunked")
	_, _ = fmt.Fprintf(g.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = g.header.Write(g.conn)
	_, _ = io.WriteString(g.conn, "\r\n")
	g.body = httputil.NewChunkedWriter(g.conn)
}

// Write implements http.ResponseWriter.
func (g *garbledWriter) Write(p []byte) (int, error) {
	g.WriteHeader(http.StatusOK)
	return g.body.Write(p)
}

// Flush implements http.Flusher.
func (g *garbledWriter) Flush() {}

// maxExtraDelay limits the time from the end of a response to the bytes after it.
const maxExtraDelay = 20 * time.Millisecond

// finish ends the response and writes the extra bytes.
func (g *garbledWriter) finish(extra string) error {
	if g.body == nil {
		return errNotWhole
	}
	if err := g.body.Close(); err != nil {
		return err
	}
	if _, err := io.WriteString(g.conn, "\r\n"); err != nil {
		return err
	}
	time.Sleep(time.Duration(rand.Int64N(int64(maxExtraDelay))))
	_, err := io.WriteString(g.conn, extra)
	return err
}

// extraBytes returns bytes that belong to no request: nonsense, or a response that names an earlier request, another one,
// or none.
func extraBytes(id string) string {
	named := []string{id, "q999999", ""}[rand.IntN(3)]
	h := make(http.Header)
	a := platformtest.EndpointResponse{RequestID: named, Seal: "extra"}
	status, body := http.StatusOK, "id: 1\ndata: extra\n\n"
	switch rand.IntN(4) {
	case 0:
		return "\x00 nonsense\r\n\r\n"
	case 1:
		status, body, a.Seal, a.NotExecuted = http.StatusServiceUnavailable, "", "", true
	}
	platformtest.SetResponse(h, a)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for name, values := range h {
		text += name + ": " + values[0] + "\r\n"
	}
	return text + "\r\n" + body
}

// returned is a connection that a garbled response was sent on.
type returned struct {
	net.Conn
	unread io.Reader
}

// Read implements net.Conn.
func (r returned) Read(p []byte) (int, error) { return r.unread.Read(p) }

// returnedConns is a listener that accepts the connections that it is given.
type returnedConns struct {
	conns  chan net.Conn
	closed chan struct{}
	addr   net.Addr
}

func newReturnedConns(addr net.Addr) *returnedConns {
	return &returnedConns{conns: make(chan net.Conn), closed: make(chan struct{}), addr: addr}
}

// Accept implements net.Listener.
func (l *returnedConns) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once, by http.Server.
func (l *returnedConns) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *returnedConns) Addr() net.Addr { return l.addr }

// put passes on a connection, or closes it after Close.
func (l *returnedConns) put(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		_ = c.Close()
	}
}
