package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// conn is a connection to a server.
type conn struct {
	raw       net.Conn
	read      *bufio.Reader
	reused    bool
	idleSince time.Time
	idleMax   time.Duration // as the server told; 0 when it did not
	written   atomic.Int64  // bytes that left
	headLeft  int           // bytes that a head may still take; negative while a body is read
}

func newConn(raw net.Conn) *conn {
	k := &conn{raw: raw, headLeft: -1}
	k.read = bufio.NewReader(k)
	return k
}

var errHeadTooLong = errors.New("the head of the answer is too long")

// Read implements io.Reader below the buffer, with a bound for heads.
func (k *conn) Read(p []byte) (int, error) {
	if k.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if k.headLeft > 0 && len(p) > k.headLeft {
		p = p[:k.headLeft]
	}
	n, err := k.raw.Read(p)
	if k.headLeft > 0 {
		k.headLeft -= n
	}
	return n, err
}

func (k *conn) write(p []byte) error {
	n, err := k.raw.Write(p)
	k.written.Add(int64(n))
	return err
}

func (k *conn) sent() int64 { return k.written.Load() }

func (k *conn) shut() { _ = k.raw.Close() }

// idleShare is the part of a server's idle time-out after which a connection
// is not used any more: a request must not cross the server's close.
const idleShare = 0.6

// usable reports whether a kept connection may take another request.
func (k *conn) usable(now time.Time, most time.Duration) bool {
	limit := maxIdleTime
	if k.idleMax > 0 {
		limit = min(limit, time.Duration(idleShare*float64(k.idleMax)))
	}
	if most > 0 {
		limit = min(limit, most)
	}
	return now.Sub(k.idleSince) < limit && k.quiet()
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client     *Client
	endpoint   registry.Endpoint
	conn       *conn
	sentBefore int64
	sentAt     time.Time
	stopWatch  func() bool
	written    chan error // result of a write that goes on beside the answer; nil when there is none
	whole      bool       // the answer was read to its end
	last       bool       // the connection is not to be used again
	ended      bool
}

// watch ends the exchange when ctx does.
func (x *exchange) watch(ctx context.Context) {
	x.sentBefore = x.conn.sent()
	x.stopWatch = context.AfterFunc(ctx, func() { _ = x.conn.raw.SetDeadline(time.Unix(1, 0)) })
}

// do writes the request and reads the head of its answer.
func (x *exchange) do(call *Call) (*Response, error) {
	head := call.head()
	if len(call.Body) <= inlineBody {
		if err := x.conn.write(append(head, call.Body...)); err != nil {
			return nil, err
		}
	} else {
		// A server may answer before it has read a long body.
		if err := x.conn.write(head); err != nil {
			return nil, err
		}
		x.written = make(chan error, 1)
		go func() { x.written <- x.conn.write(call.Body) }()
	}
	return x.readHead(call)
}

// readHead returns the answer to the call, past answers to earlier requests.
func (x *exchange) readHead(call *Call) (*Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxWrongOnes {
		x.conn.headLeft = maxHeaderBytes
		resp, err := http.ReadResponse(x.conn.read, req)
		x.conn.headLeft = -1
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		a := x.client.protocol.Answer(resp.StatusCode, resp.Header)
		if !a.Misdirected { // else another server speaks, which has the address now
			now := x.client.clock.Now()
			x.client.notices.Observe(x.endpoint, a.Notice, now)
			x.client.limits.Observe(x.endpoint.ID, a.RateLimit, x.sentAt, now)
		}
		if a.RequestID != "" && a.RequestID != call.ID {
			x.last = true // it is no longer certain what comes when
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("skip an answer to another request: %w", err)
			}
			continue
		}
		x.last = x.last || resp.Close || a.Close
		x.conn.idleMax = keepAlive(resp.Header.Get("Keep-Alive"))
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Answer: a,
			Reused: x.conn.reused, body: resp.Body, call: x,
		}, nil
	}
	return nil, errors.New("answers to other requests only")
}

// end gives the connection back, or closes it.
func (x *exchange) end(reuse bool) {
	if x.ended {
		return
	}
	x.ended = true
	if !x.stopWatch() {
		reuse = false // its deadline was set
	}
	if x.written != nil {
		select {
		case err := <-x.written:
			reuse = reuse && err == nil
		default:
			reuse = false // the server answered before it had read the body
		}
	}
	if !reuse || x.conn.read.Buffered() > 0 {
		x.client.discard(x.endpoint.ID, x.conn)
		return
	}
	x.client.keep(x.endpoint.ID, x.conn)
}

// head returns the request line and the headers.
func (c *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(len(c.Body), inlineBody))
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.Host)
	b.WriteString("\r\n")
	_ = c.Header.Write(&b) // a buffer takes everything
	if len(c.Body) > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(c.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// keepAlive returns the idle time-out that a Keep-Alive header tells, or 0.
func keepAlive(line string) time.Duration {
	for item := range strings.SplitSeq(line, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if s, err := strconv.Atoi(value); err == nil && s > 0 && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
