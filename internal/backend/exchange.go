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
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/progress"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// conn is a connection to an endpoint.
type conn struct {
	client        *Client
	endpoint      string // its ID
	raw           net.Conn
	stream        *netx.ClientConn // on raw
	reader        *bufio.Reader
	reused        bool
	received      bool // anything was read from it
	idleSince     time.Time
	idleTimeout   time.Duration // idle time-out stated by the endpoint; 0 if none
	written       atomic.Int64  // bytes
	headRemaining int           // bytes that the response head may still take; negative while a body is read
	folds         foldFinder
	budget        progress.Budget
}

func (c *Client) newConn(endpoint string, raw net.Conn) *conn {
	k := &conn{client: c, endpoint: endpoint, raw: raw, stream: netx.NewClientConn(raw), idleSince: c.clock.Now(), headRemaining: -1}
	k.reader = bufio.NewReader(k)
	return k
}

var errHeadTooLong = errors.New("response head exceeds 64 KiB")

// Read implements io.Reader below the buffer, with a size limit for response heads and a bound on what comes without
// progress of the response.
func (k *conn) Read(p []byte) (int, error) {
	if k.headRemaining == 0 {
		return 0, errHeadTooLong
	}
	if err := k.budget.Err(); err != nil {
		return 0, err
	}
	if k.headRemaining > 0 && len(p) > k.headRemaining {
		p = p[:k.headRemaining]
	}
	n, err := k.stream.Read(p)
	if n > 0 {
		k.received = true
		now := k.client.clock.Now()
		k.client.paths.Received(now)
		k.budget.Receive(n, now)
	} else if errors.Is(err, syscall.ETIMEDOUT) {
		k.client.paths.Failed(k.endpoint, k.client.clock.Now())
	}
	if k.headRemaining > 0 {
		k.folds.scan(p[:n])
		k.headRemaining -= n
	}
	return n, err
}

var errFolded = &netx.MalformedHeadError{Reason: "a line begins with a blank"}

// readResponse reads the head of a response, which is of the protocol.
func (k *conn) readResponse(req *http.Request) (*http.Response, error) {
	k.folds = foldFinder{}
	buffered, _ := k.reader.Peek(k.reader.Buffered())
	k.folds.scan(buffered)
	k.headRemaining = maxHeaderBytes
	resp, err := http.ReadResponse(k.reader, req)
	k.headRemaining = -1
	if err != nil {
		return nil, err
	}
	if k.folds.found {
		return nil, errFolded
	}
	if err := netx.CheckHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Write implements io.Writer, and counts what was written.
func (k *conn) Write(p []byte) (int, error) {
	n, err := k.stream.Write(p)
	k.written.Add(int64(n))
	return n, err
}

func (k *conn) sent() int64 { return k.written.Load() }

func (k *conn) close() { _ = k.raw.Close() }

// idleFraction is the fraction of an endpoint's idle time-out after which a connection is no longer
// used: a request must not be sent while the endpoint closes the connection.
const idleFraction = 0.6

// usable reports whether an idle connection may carry another request.
func (k *conn) usable(now time.Time, most time.Duration) bool {
	return k.fresh(now, most) && k.silent()
}

// fresh reports whether an idle connection has not been idle for so long that the endpoint may close it, nor for longer
// than most, unless that is 0.
func (k *conn) fresh(now time.Time, most time.Duration) bool {
	limit := maxIdle
	if k.idleTimeout > 0 {
		limit = min(limit, time.Duration(idleFraction*float64(k.idleTimeout)))
	}
	if most > 0 {
		limit = min(limit, most)
	}
	return now.Sub(k.idleSince) < limit
}

// exchange is a request and its response on a connection.
type exchange struct {
	client      *Client
	ctx         context.Context // of the request
	endpoint    registry.Endpoint
	maxConns    int // to the endpoint; 0 for no limit
	conn        *conn
	sentBefore  int64
	sentAt      time.Time
	stopWatch   func() bool
	bodyWritten chan error // result of writing the body concurrently with reading the response; nil if there is no such write
	complete    bool       // the response was read to its end
	noReuse     bool       // the connection must not be reused
	witness     witness    // of a response without framing
	ended       bool
}

// watch aborts the exchange when ctx ends.
func (x *exchange) watch(ctx context.Context) {
	x.sentBefore = x.conn.sent()
	x.stopWatch = context.AfterFunc(ctx, func() { _ = x.conn.raw.SetDeadline(time.Unix(1, 0)) })
}

// do writes the request and reads the head of the response.
func (x *exchange) do(call *Call) (*Response, error) {
	head := call.head()
	if call.Body.Len() <= maxInlineBody {
		if _, err := x.conn.Write(call.Body.AppendTo(head)); err != nil {
			return nil, err
		}
	} else {
		// An endpoint may respond before it has read a long body.
		if _, err := x.conn.Write(head); err != nil {
			return nil, err
		}
		x.bodyWritten = make(chan error, 1)
		go func() {
			_, err := call.Body.WriteTo(x.conn)
			x.bodyWritten <- err
		}()
	}
	return x.readHead(call)
}

// errGarbled reports a response head that runs into the next one.
var errGarbled = errors.New("the response head runs into another one")

// garbled reports whether a response head was cut off and went on with the next one on the connection: it would give
// the status of the one to the request of the other.
func garbled(resp *http.Response) bool {
	if holdsStatusLine(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, holdsStatusLine) {
			return true
		}
	}
	return false
}

// holdsStatusLine reports whether the value of a header contains the beginning of a response.
func holdsStatusLine(value string) bool {
	_, rest, found := strings.Cut(value, "HTTP/1.")
	return found && len(rest) > 2 && rest[1] == ' ' && rest[2] >= '1' && rest[2] <= '5'
}

// errUnnamed reports a response that names no request, on a connection that carried none before.
var errUnnamed = errors.New("the response names no request")

// readHead returns the response to the call, which is one that names the call's request: nothing else proves what
// became of the request, or what the endpoint announces. Responses to other requests and bytes that belong to no
// request are skipped. What comes first on a new connection can't be left over from an earlier exchange; nothing else is
// waited for then.
func (x *exchange) readHead(call *Call) (*Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxMismatched {
		resp, err := x.conn.readResponse(req)
		if err != nil {
			return nil, err
		}
		if garbled(resp) {
			return nil, errGarbled
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		a := x.client.protocol.Answer(resp.StatusCode, resp.Header)
		if a.RequestID != "" || call.ID == "" {
			x.client.apply(&x.endpoint, a, x.sentAt)
		}
		if a.RequestID != call.ID {
			x.noReuse = true // the order of responses on this connection is unknown now
			if a.RequestID == "" && !x.conn.reused {
				return nil, errUnnamed
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, fmt.Errorf("skip response to another request: %w", err)
			}
			continue
		}
		if a.Misdirected {
			x.client.setAddressTaken(x.endpoint.ID)
		}
		x.noReuse = x.noReuse || resp.Close || a.Close
		x.conn.idleTimeout = keepAlive(resp.Header.Get("Keep-Alive"))
		framing := FramingOf(resp)
		x.conn.budget.Continue()
		if framing == ByConnection {
			x.hold()
			x.witness.ended = false // the answer has begun since
		}
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Answer: a,
			Reused: x.conn.reused, body: resp.Body, call: x,
			framing: framing, resumes: call.Resumes,
		}, nil
	}
	return nil, errors.New("received only responses to other requests")
}

// end returns the connection to the pool, or closes it.
func (x *exchange) end(reuse bool) {
	if x.ended {
		return
	}
	x.ended = true
	x.witness.release(x.client, x.endpoint.ID)
	x.client.paths.Ended()
	if !x.stopWatch() {
		reuse = false // watch has set its deadline
	}
	if x.bodyWritten != nil {
		select {
		case err := <-x.bodyWritten:
			reuse = reuse && err == nil
		default:
			reuse = false // the endpoint responded before it had read the body
		}
	}
	if !reuse || x.conn.reader.Buffered() > 0 {
		x.client.discard(x.endpoint.ID, x.conn)
		return
	}
	x.client.release(x.endpoint.ID, x.conn)
}

// Write writes the request with its body.
func (c *Call) Write(w io.Writer) error {
	if _, err := w.Write(c.head()); err != nil {
		return fmt.Errorf("write request head: %w", err)
	}
	if _, err := c.Body.WriteTo(w); err != nil {
		return fmt.Errorf("write request body: %w", err)
	}
	return nil
}

// head returns the request line and the headers.
func (c *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(1024 + min(c.Body.Len(), maxInlineBody))
	b.WriteString(c.Method)
	b.WriteByte(' ')
	b.WriteString(c.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(c.Host)
	b.WriteString("\r\n")
	_ = c.Header.Write(&b) // a bytes.Buffer never fails
	if c.Body.Len() > 0 || c.Method != http.MethodGet && c.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(c.Body.Len()))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// keepAlive returns the idle time-out stated in a Keep-Alive header, or 0.
func keepAlive(line string) time.Duration {
	for item := range strings.SplitSeq(line, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if s, err := strconv.Atoi(value); err == nil && s > 0 && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}
