package soak

import (
	"bufio"
	"bytes"
	"cmp"
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

// caller is a simulated HTTP client. It sends one request at a time and reuses its connection
// until that is closed.
type caller struct {
	traffic *traffic

	conn        net.Conn // nil if there is none
	reader      *bufio.Reader
	instance    *instance // peer of conn
	incarnation int       // process of instance that was running when conn was made
}

// Connection and retry limits of callers.
const (
	connectTimeout   = time.Second
	retryWaitDivisor = 3                      // a retry waits for at most this fraction of the time left
	minRetryTime     = 100 * time.Millisecond // no retry if less than this is left before the deadline
)

// request is one request of a caller; all its attempts share it.
type request struct {
	route       policy.Route
	method      string
	key         *key
	body        []byte
	parts       []string      // of the prompt, by ID; nil if it has none
	cancelAfter time.Duration // the caller closes the connection after this long; 0 means never
}

// sendWithRetry sends a request. If that fails it retries once, provided that the request is
// idempotent or was refused before it ran, and that the caller has not canceled it. The retry waits
// for the time in the Retry-After header, limited by retryWaitDivisor. A stream that breaks off is taken up
// where it may be resumed.
func (c *caller) sendWithRetry(ctx context.Context, q *request) {
	deadline := time.Now().Add(q.route.Timeout)
	a, wait := c.attempt(ctx, q, time.Until(deadline), position{}, false)
	final := a.Status >= 200 && a.Status < 500 && !check.GuaranteesNotRun(a.Status)
	if !final && a.AbandonedAt.IsZero() && (q.route.Idempotent() || check.GuaranteesNotRun(a.Status)) {
		left := time.Until(deadline)
		if wait = min(wait, left/retryWaitDivisor); left < minRetryTime {
			return
		}
		sleep(ctx, wait)
		c.close()
		a, _ = c.attempt(ctx, q, time.Until(deadline), position{}, true)
	}
	if q.route.Resumable && !a.Complete && len(a.Events) > 0 && a.AbandonedAt.IsZero() {
		c.takeUp(ctx, q, position{stream: a.ID, after: a.Events[len(a.Events)-1]}, deadline)
	}
}

// position is how far the caller has got a stream that broke off.
type position struct {
	stream string // ID of the attempt that brought the first event; empty for a new stream
	after  int    // last event received
}

// Limits of callers that take up a stream.
const (
	defaultTakeUps = 6                      // answered attempts
	takeUpWait     = 100 * time.Millisecond // after the first of them, doubled after each further one
)

// takeUp requests the rest of a stream, each time at an instance that the balancer picks, until it has
// come or the deadline is near.
func (c *caller) takeUp(ctx context.Context, q *request, p position, deadline time.Time) {
	most := cmp.Or(c.traffic.streams.TakeUps, defaultTakeUps)
	for answered := 0; answered < most && time.Until(deadline) >= minRetryTime && ctx.Err() == nil; {
		c.close()
		a, wait := c.attempt(ctx, q, time.Until(deadline), p, true)
		final := a.Status >= 200 && a.Status < 500 && !check.GuaranteesNotRun(a.Status)
		if final && (a.Complete || len(a.Events) == 0) || !a.AbandonedAt.IsZero() {
			return
		}
		if a.Status > 0 {
			answered++
		}
		if n := len(a.Events); n > 0 {
			p.after = a.Events[n-1]
			continue
		}
		sleep(ctx, min(max(wait, takeUpWait<<max(0, answered-1)), time.Until(deadline)/retryWaitDivisor))
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an instance that the balancer picks, unless one is open. One to a process that has ended
// since is not open, whether or not the caller has read its end.
func (c *caller) connect() error {
	if c.conn != nil {
		if running, _ := c.instance.status(); running == c.incarnation {
			return nil
		}
		c.close()
	}
	i := c.traffic.pickInstance()
	if i == nil {
		return errors.New("no instance")
	}
	incarnation, _ := i.status()
	conn, err := net.DialTimeout("tcp", i.at(frontPort).String(), connectTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.instance, c.incarnation = conn, bufio.NewReader(conn), i, incarnation
	return nil
}

// attempt sends the request once and records the outcome, unless no connection could be made or
// ctx has ended. It returns the retry delay that the response asks for.
func (c *caller) attempt(ctx context.Context, q *request, left time.Duration, p position, retry bool) (check.Attempt, time.Duration) {
	left = left.Truncate(time.Millisecond) // as the header states it
	a := check.Attempt{
		ID: c.traffic.newID(), Route: q.route.Name, Service: q.route.Split[0].Service, Method: q.method, URI: q.route.Prefix + "x",
		BodySum: xxhash.Sum64(q.body), Units: 1, Deadline: left, Idempotent: q.route.Idempotent(), Stream: q.route.Kind == policy.Streaming,
		MaxAttempts: q.route.MaxAttempts, Retry: retry, Resumable: q.route.Resumable, Resumes: p.stream, After: p.after,
	}
	if err := c.connect(); err != nil {
		return a, 0 // nothing was sent
	}
	a.Instance, a.Incarnation, a.EventCount = c.instance.name, c.incarnation, eventCount(q.body)
	a.SentAt = time.Now()
	end := a.SentAt.Add(left)
	if q.cancelAfter > 0 && q.cancelAfter < left {
		end = a.SentAt.Add(q.cancelAfter)
	}
	_ = c.conn.SetDeadline(end.Add(answerGrace(q)))
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	wait, err := c.exchange(q, &a)
	stop()
	a.EndedAt = time.Now()
	if err != nil {
		if q.cancelAfter > 0 && !a.EndedAt.Before(end) {
			a.AbandonedAt = a.EndedAt
		}
		c.close()
	}
	if ctx.Err() != nil {
		return a, 0 // the run is over
	}
	c.traffic.operator.annotate(&a, q.key)
	c.traffic.record.attempt(a)
	c.traffic.count(&a)
	return a, wait
}

// answerGrace returns for how long after the deadline a caller still reads the response. A caller
// that cancels its request reads nothing after that.
func answerGrace(q *request) time.Duration {
	if q.cancelAfter > 0 {
		return 0
	}
	return time.Second
}

// exchange writes the request and reads the whole response into a.
func (c *caller) exchange(q *request, a *check.Attempt) (wait time.Duration, err error) {
	req, err := http.NewRequest(q.method, "http://"+host+a.URI, bytes.NewReader(q.body))
	if err != nil {
		return 0, err
	}
	head := platformtest.ClientRequest{ID: a.ID, Key: q.key.name, Deadline: a.Deadline, Parts: q.parts}
	if a.Resumes != "" {
		head.Resumes, head.LastEventID = a.Resumes, strconv.Itoa(a.After)
	}
	platformtest.SetRequest(req.Header, head)
	if err := req.Write(c.conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got := platformtest.ReadResponse(resp.Header)
	a.Status, a.Sealed, a.ResponseID = resp.StatusCode, got.Sealed, got.RequestID
	if resp.Close {
		defer c.close()
	}
	if a.Stream && resp.StatusCode == http.StatusOK {
		err = readStream(resp.Body, a)
	} else {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.ResponseSum = xxhash.Sum64(body)
	}
	a.Complete = err == nil
	return got.RetryAfter, err
}

// drawRequest draws a random request: a probe route in 15 % of the cases once there is one,
// otherwise a class by weight.
func (t *traffic) drawRequest(rnd *rand.Rand) *request {
	q := &request{key: t.operator.pickKey(accountNames[rnd.IntN(len(accountNames))])}
	if p, ok := t.operator.pickProbe(); ok && rnd.Float64() < 0.15 {
		q.route, q.method = p, "GET"
		return q
	}
	total := 0.0
	for _, c := range t.operator.classes {
		total += c.weight
	}
	x := rnd.Float64() * total
	for _, c := range t.operator.classes {
		if x -= c.weight; x < 0 {
			q.route, q.method = c.route, c.method
			break
		}
	}
	if q.method == "POST" {
		q.body = fmt.Appendf(nil, "body %d %s%s", rnd.Uint64(), t.drawEventCount(q.route, rnd), strings.Repeat("x", rnd.IntN(2000)))
	}
	if q.route.Kind == policy.Streaming {
		q.parts = append(sharedParts(q.route.Name, rnd), ownPart(rnd))
	}
	if share := t.cancelShare(); share > 0 && rnd.Float64() < share {
		q.cancelAfter = time.Duration(5+rnd.IntN(200)) * time.Millisecond
	}
	return q
}

// maxEventFactor limits the number of events of a stream to a multiple of the mean.
const maxEventFactor = 3

// drawEventCount draws the number of events of a stream if the scenario sets their mean, and returns it as
// a part of the request's body.
func (t *traffic) drawEventCount(r policy.Route, rnd *rand.Rand) string {
	if t.streams.MeanEvents == 0 || r.Kind != policy.Streaming {
		return ""
	}
	n := int(rnd.ExpFloat64() * float64(t.streams.MeanEvents))
	return fmt.Sprintf("%s%d ", eventCountKey, min(max(n, 1), maxEventFactor*t.streams.MeanEvents))
}

// deadlyPart begins the ID of a part of prompts that crashes endpoints.
const deadlyPart = "dead"

// sharedParts returns the parts of a prompt that other requests of the route share: one that all of them have, and one
// of a few.
func sharedParts(route string, rnd *rand.Rand) []string {
	return []string{fmt.Sprintf("a%x", xxhash.Sum64String(route)), fmt.Sprintf("b%x", rnd.IntN(8))}
}

// ownPart returns a part that no other request has.
func ownPart(rnd *rand.Rand) string { return fmt.Sprintf("c%x", rnd.Uint64()) }
