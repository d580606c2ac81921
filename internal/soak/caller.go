package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// caller sends one request at a time, on a connection that it keeps until that ends.
type caller struct {
	traffic *traffic

	conn        net.Conn // nil if there is none
	read        *bufio.Reader
	instance    *instance // that the connection leads to
	incarnation int
}

// Times of callers.
const (
	connectTimeout = time.Second
	retryShare     = 3 // of the time left, the longest wait before a retry
	patience       = 100 * time.Millisecond
)

// request is what a caller asks for, over all its attempts.
type request struct {
	route  policy.Route
	method string
	key    *key
	body   []byte
	leaves time.Duration // after which the caller gives up; 0 if it does not
}

// serve sends a request, and once more if that can do no harm.
func (c *caller) serve(ctx context.Context, q *request) {
	deadline := time.Now().Add(q.route.Timeout)
	a, wait := c.attempt(ctx, q, time.Until(deadline))
	final := a.Status >= 200 && a.Status < 500 && !check.Promises(a.Status)
	if final || !a.LeftAt.IsZero() || !q.route.Idempotent() && !check.Promises(a.Status) {
		return
	}
	left := time.Until(deadline)
	if wait = min(wait, left/retryShare); left < patience {
		return
	}
	sleep(ctx, wait)
	c.close()
	c.attempt(ctx, q, time.Until(deadline))
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect makes a connection to an instance that is ready.
func (c *caller) connect() error {
	if c.conn != nil {
		return nil
	}
	i := c.traffic.pick()
	if i == nil {
		return errors.New("no instance")
	}
	incarnation, _ := i.process()
	conn, err := net.DialTimeout("tcp", i.at(frontPort).String(), connectTimeout)
	if err != nil {
		return err
	}
	c.conn, c.read, c.instance, c.incarnation = conn, bufio.NewReader(conn), i, incarnation
	return nil
}

// attempt makes one attempt and records it. It returns the answer's time to come back.
func (c *caller) attempt(ctx context.Context, q *request, left time.Duration) (check.Attempt, time.Duration) {
	a := check.Attempt{
		ID: c.traffic.newID(), Route: q.route.Name, Service: q.route.Split[0].Service, Method: q.method, URI: q.route.Prefix + "x",
		BodySum: xxhash.Sum64(q.body), Units: 1, Deadline: left, Idempotent: q.route.Idempotent(), Stream: q.route.Kind == policy.Streaming,
		MaxAttempts: q.route.MaxAttempts,
	}
	if err := c.connect(); err != nil {
		return a, 0 // nothing was sent
	}
	a.Instance, a.Incarnation, a.Pieces = c.instance.name, c.incarnation, pieces(a.ID)
	a.SentAt = time.Now()
	c.traffic.sentTo(a.ID, a.Instance)
	end := a.SentAt.Add(left)
	if q.leaves > 0 && q.leaves < left {
		end = a.SentAt.Add(q.leaves)
	}
	_ = c.conn.SetDeadline(end.Add(graceForAnswer(q)))
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	wait, err := c.exchange(q, &a)
	stop()
	a.EndedAt = time.Now()
	if err != nil {
		if q.leaves > 0 && !a.EndedAt.Before(end) {
			a.LeftAt = a.EndedAt
		}
		c.close()
	}
	if ctx.Err() != nil {
		return a, 0 // the run is over
	}
	c.traffic.operator.describe(&a, q.key)
	c.traffic.record.attempt(a)
	c.traffic.count(&a)
	return a, wait
}

// graceForAnswer is how long after its deadline a caller still reads an answer.
func graceForAnswer(q *request) time.Duration {
	if q.leaves > 0 {
		return 0
	}
	return time.Second
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(q *request, a *check.Attempt) (wait time.Duration, err error) {
	req, err := http.NewRequest(q.method, "http://"+host+a.URI, bytes.NewReader(q.body))
	if err != nil {
		return 0, err
	}
	platformtest.SetRequest(req.Header, platformtest.Outgoing{ID: a.ID, Key: q.key.name, Deadline: a.Deadline})
	if err := req.Write(c.conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.read, req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	head := platformtest.ReadAnswer(resp.Header)
	a.Status, a.Sealed, a.AnswerID = resp.StatusCode, head.Sealed, head.RequestID
	if resp.Close {
		defer c.close()
	}
	if a.Stream && resp.StatusCode == http.StatusOK {
		err = readStream(resp.Body, a)
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.AnswerSum = xxhash.Sum64(body)
	}
	a.Whole = err == nil
	return head.RetryAfter, err
}

// readStream reads events to the end of a stream.
func readStream(r io.Reader, a *check.Attempt) error {
	scan := bufio.NewScanner(r)
	event := 0
	for scan.Scan() {
		line := scan.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			event, _ = strconv.Atoi(id)
			continue
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			a.Events = append(a.Events, event)
			a.BadEvent = a.BadEvent || data != eventData(a.ID, event)
		}
	}
	return scan.Err()
}

// draw returns the next request of the traffic.
func (t *traffic) draw(rnd *rand.Rand) *request {
	q := &request{key: t.operator.pickKey(accountNames[rnd.IntN(len(accountNames))])}
	if p, ok := t.operator.pickProbe(); ok && rnd.Float64() < 0.15 {
		q.route, q.method = p, "GET"
		return q
	}
	total := 0.0
	for _, c := range classes {
		total += c.weight
	}
	x := rnd.Float64() * total
	for _, c := range classes {
		if x -= c.weight; x < 0 {
			q.route, q.method = c.route, c.method
			break
		}
	}
	if q.method == "POST" {
		q.body = fmt.Appendf(nil, "body %d %s", rnd.Uint64(), strings.Repeat("x", rnd.IntN(2000)))
	}
	if share := t.leaving(); share > 0 && rnd.Float64() < share {
		q.leaves = time.Duration(5+rnd.IntN(200)) * time.Millisecond
	}
	return q
}
