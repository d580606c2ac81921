package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// behavior is how an endpoint serves. The zero value answers all requests.
type behavior struct {
	leaving     bool
	rest        time.Duration // refuses work and asks for rest
	rateLimit   string        // that it names; empty for none
	refuse      float64       // share of requests that it refuses
	fail        float64       // share that it fails
	loseAnswers float64       // share whose answer breaks off
	hang        bool
}

// Times and sizes of endpoints.
const (
	workTime    = 15 * time.Millisecond // of a short call
	firstEvent  = 30 * time.Millisecond
	eventEvery  = 15 * time.Millisecond
	leastPieces = 3
	mostPieces  = 40
	slots       = 16
	deadlyBody  = "a body that no endpoint bears"
)

// pieces returns the number of events that answer a request.
func pieces(id string) int {
	return leastPieces + int(xxhash.Sum64String(id)%(mostPieces-leastPieces))
}

// eventData returns the data of an event of the stream that answers a request.
func eventData(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }

// endpoint is one incarnation of a server of the platform.
type endpoint struct {
	id      string
	service string
	hall    string
	link    *link // that instances reach it through
	record  *recorder
	sender  func(request string) string // instance that a request was sent to
	crashed func(e *endpoint)           // called once it has ended under a request

	server *http.Server
	ended  atomic.Bool

	mu       sync.Mutex
	behavior behavior // guarded by mu
	running  int      // guarded by mu
}

// start listens at an address of its own.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start endpoint %s: %w", e.id, err)
	}
	if e.link, err = newLink("127.0.0.1:0", netip.MustParseAddrPort(l.Addr().String())); err != nil {
		_ = l.Close()
		return err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

// end closes all its connections.
func (e *endpoint) end() {
	e.ended.Store(true)
	_ = e.server.Close()
	e.link.close()
}

// entry returns its entry in the store.
func (e *endpoint) entry() registry.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return registry.Endpoint{ID: e.id, Name: e.id, Service: e.service, Addr: e.link.addr(), Hall: e.hall, Version: "v1", Slots: slots, Leaving: e.behavior.leaving}
}

// change changes its behavior.
func (e *endpoint) change(f func(b *behavior)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.behavior)
}

// enter takes a slot, if one is free.
func (e *endpoint) enter() (behavior, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= slots {
		return e.behavior, false
	}
	e.running++
	return e.behavior, true
}

func (e *endpoint) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := platformtest.ReadRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it did not arrive whole
	}
	if in.Expect != e.id {
		platformtest.SetHead(w.Header(), platformtest.Head{RequestID: in.ID, Instance: e.id})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := e.record.arrive(check.Arrival{
		Request: in.ID, Endpoint: e.id, Service: e.service, At: time.Now(), Method: r.Method, URI: r.RequestURI,
		BodySum: xxhash.Sum64(body), Account: in.Account, Deadline: in.Deadline,
	})
	b, free := e.enter()
	if free {
		defer e.leave()
	}
	if !free || b.rest > 0 || rand.Float64() < b.refuse {
		e.refuse(w, in, b)
		return
	}
	c := &call{endpoint: e, arrival: n, in: in, w: w, behavior: b, ctx: r.Context()}
	c.run(strings.Contains(string(body), deadlyBody))
}

// refuse turns a request away before it runs.
func (e *endpoint) refuse(w http.ResponseWriter, in platformtest.Incoming, b behavior) {
	e.say(w.Header(), in, b, platformtest.Head{RequestID: in.ID, NotRun: true, RestFor: b.rest})
	w.WriteHeader(http.StatusServiceUnavailable)
}

// say writes the head of an answer, with what the endpoint says of itself.
func (e *endpoint) say(h http.Header, in platformtest.Incoming, b behavior, head platformtest.Head) {
	head.Leaving, head.RateLimit = b.leaving, b.rateLimit
	head.Load = [3]int{0, 0, slots}
	platformtest.SetHead(h, head)
	now := time.Now()
	s := check.Statement{Endpoint: e.id, Instance: e.sender(in.ID), At: now, Leaving: b.leaving, RateLimit: b.rateLimit != ""}
	if head.RestFor > 0 {
		s.RestUntil = now.Add(head.RestFor)
	}
	if s.Leaving || s.RateLimit || !s.RestUntil.IsZero() {
		e.record.statement(s)
	}
}

// call is one request that runs at an endpoint.
type call struct {
	endpoint *endpoint
	arrival  int
	in       platformtest.Incoming
	w        http.ResponseWriter
	behavior behavior
	ctx      context.Context
}

var errBrokeOff = errors.New("the endpoint broke off")

// run works on the request until its end, and records that.
func (c *call) run(deadly bool) {
	c.endpoint.record.update(c.arrival, func(a *check.Arrival) { a.Ran = true })
	if deadly {
		c.endpoint.record.update(c.arrival, func(a *check.Arrival) { a.Crashed, a.Broke, a.EndedAt = true, true, time.Now() })
		go c.endpoint.crashed(c.endpoint)
		panic(http.ErrAbortHandler)
	}
	status, sum, err := c.work()
	c.endpoint.record.update(c.arrival, func(a *check.Arrival) {
		a.EndedAt, a.Status, a.AnswerSum = time.Now(), status, sum
		a.Broke = err != nil && (c.endpoint.ended.Load() || c.ctx.Err() == nil)
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// wait returns an error if the request is given up within a time.
func (c *call) wait(d time.Duration) error {
	select {
	case <-c.ctx.Done():
		return c.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// work answers the request.
func (c *call) work() (status int, sum uint64, err error) {
	if c.behavior.hang {
		<-c.ctx.Done()
		return 0, 0, c.ctx.Err()
	}
	if c.endpoint.service == engineService {
		return c.stream()
	}
	if err := c.wait(workTime); err != nil {
		return 0, 0, err
	}
	if rand.Float64() < c.behavior.loseAnswers {
		return 0, 0, errBrokeOff
	}
	status = http.StatusOK
	if rand.Float64() < c.behavior.fail {
		status = http.StatusInternalServerError
	}
	body := fmt.Sprintf("%s answered by %s", c.in.ID, c.endpoint.id)
	sum = xxhash.Sum64String(body)
	c.record(status, sum)
	c.head()
	c.w.WriteHeader(status)
	_, err = io.WriteString(c.w, body)
	return status, sum, err
}

// record records an answer before the caller can see it.
func (c *call) record(status int, sum uint64) {
	c.endpoint.record.update(c.arrival, func(a *check.Arrival) { a.Status, a.AnswerSum = status, sum })
}

func (c *call) head() {
	c.endpoint.say(c.w.Header(), c.in, c.behavior, platformtest.Head{RequestID: c.in.ID, Seal: c.endpoint.id})
}

// stream answers with events, after the last one that the request names.
func (c *call) stream() (int, uint64, error) {
	after, _ := strconv.Atoi(c.in.LastEventID) // empty for a new stream
	if err := c.wait(firstEvent); err != nil {
		return 0, 0, err
	}
	if rand.Float64() < c.behavior.fail {
		c.record(http.StatusInternalServerError, 0)
		c.head()
		c.w.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError, 0, nil
	}
	all := pieces(c.in.ID)
	breaksAt := all + 1
	if rand.Float64() < c.behavior.loseAnswers {
		breaksAt = after + 1 + rand.IntN(all)
	}
	c.record(http.StatusOK, 0)
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.head()
	flush := http.NewResponseController(c.w)
	for n := after + 1; n <= all; n++ {
		if n == breaksAt {
			return http.StatusOK, 0, errBrokeOff
		}
		if _, err := fmt.Fprintf(c.w, "id: %d\ndata: %s\n\n", n, eventData(c.in.ID, n)); err != nil {
			return http.StatusOK, 0, err
		}
		_ = flush.Flush()
		if err := c.wait(eventEvery); err != nil {
			return http.StatusOK, 0, err
		}
	}
	return http.StatusOK, 0, nil
}
