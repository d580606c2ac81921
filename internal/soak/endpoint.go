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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// behavior holds the faults injected into an endpoint. The zero value injects none.
type behavior struct {
	leaving     bool          // announces in its responses that it is leaving
	backoff     time.Duration // refuses all requests and requests a backoff of this length
	rateLimit   string        // value of the rate limit header; empty for none
	refuse      float64       // share of requests refused before they run
	fail        float64       // share of requests answered with status 500
	loseAnswers float64       // share of responses cut off
	garble      float64       // share of responses with extra bytes after them
	hang        bool          // requests block until they are canceled
}

// Service times, stream lengths and concurrency of endpoints.
const (
	callDuration     = 15 * time.Millisecond // service time of a call without a stream
	firstEventDelay  = 30 * time.Millisecond
	eventInterval    = 15 * time.Millisecond
	minEvents        = 3
	maxEvents        = 40
	maxWaiting       = 24 // requests that wait for a slot; endpoints refuse more
	crashingBody     = "a body that no endpoint bears"
	longBody         = "a body with a long prompt"
	listenerOutlives = 2 * time.Millisecond // the connections of a process, at times
	longWork         = 4                    // how many times longer requests with longBody take
)

// The disturbances of an endpoint, as the deployments describe them: work takes 2.5 times as long for
// 600 ms at a time, 15% of the time.
const (
	usualPace         = 100 // in percent of the usual time
	disturbedPace     = 250
	disturbancePeriod = 4 * time.Second
	disturbanceLength = 600 * time.Millisecond
)

// slowdownAt returns how long work takes at an endpoint, in percent of the usual time, and for how long
// that stays so. Endpoints are disturbed at different times.
func slowdownAt(endpoint string, now time.Time) (percent int, stays time.Duration) {
	offset := time.Duration(xxhash.Sum64String(endpoint) % uint64(disturbancePeriod))
	phase := (time.Duration(now.UnixNano()%int64(disturbancePeriod)) + offset) % disturbancePeriod
	if phase < disturbanceLength {
		return disturbedPace, disturbanceLength - phase
	}
	return usualPace, disturbancePeriod - phase
}

// meanEvents is the mean number of events of a stream.
const meanEvents = (minEvents + maxEvents - 1) / 2

// longRequestTime is how long an undisturbed endpoint takes on average for the stream of a request
// with longBody.
const longRequestTime = longWork * (firstEventDelay + meanEvents*eventInterval)

// endpoint simulates one incarnation of an endpoint: an HTTP handler that records each request
// and injects the faults in behavior.
type endpoint struct {
	id         string
	service    string
	hall       string
	version    string // of its software
	slots      int
	varied     bool  // framing, writes and format of its streams vary
	link       *link // proxy that instances connect to; nil before start if it gets an address of its own
	record     *recorder
	instanceAt func(addr netip.Addr) string // returns the instance that connects from an address
	onCrash    func(e *endpoint)            // called when a request crashes the endpoint

	server   *http.Server
	returned *returnedConns // connections that garbled responses were sent on
	stopped  atomic.Bool

	mu       sync.Mutex
	behavior behavior        // guarded by mu
	running  int             // guarded by mu
	waiting  []chan struct{} // closed when the request gets a slot, in order of arrival; guarded by mu
}

// start serves on a free loopback port, behind a new link.
func (e *endpoint) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("start endpoint %s: %w", e.id, err)
	}
	target := netip.MustParseAddrPort(l.Addr().String())
	if e.link != nil {
		err = e.link.reopen(target)
	} else {
		e.link, err = newLink("127.0.0.1:0", target)
	}
	if err != nil {
		_ = l.Close()
		return err
	}
	e.record.endpointStarted(e.id, e.service, e.version)
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	e.returned = newReturnedConns(l.Addr())
	for _, source := range []net.Listener{l, e.returned} {
		go func() { _ = e.server.Serve(source) }()
	}
	return nil
}

// stop closes the listener, the link and all connections.
func (e *endpoint) stop() {
	e.stopped.Store(true)
	e.record.endpointEnds(e.id)
	_ = e.server.Close()
	e.link.close()
}

// end ends the endpoint as the end of its process does: it closes all connections, or resets them, and the
// listener before or after. The address can be used again.
func (e *endpoint) end(reset, listenerFirst bool) {
	e.stopped.Store(true)
	e.record.endpointEnds(e.id)
	if listenerFirst {
		e.link.refuse()
	}
	e.link.sever(reset)
	if !listenerFirst {
		time.Sleep(listenerOutlives)
		e.link.refuse()
		e.link.sever(reset)
	}
	_ = e.server.Close()
}

// storeEntry returns the endpoint's registration for the store.
func (e *endpoint) storeEntry() registry.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return registry.Endpoint{ID: e.id, Name: e.id, Service: e.service, Addr: e.link.addr(), Hall: e.hall, Version: e.version, Slots: e.slots, Leaving: e.behavior.leaving}
}

// updateBehavior modifies the injected faults under the lock.
func (e *endpoint) updateBehavior(f func(b *behavior)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.behavior)
}

var (
	errFull    = errors.New("all slots are occupied and the queue is full")
	errRefused = errors.New("refused by an injected fault")
)

// admit decides whether the endpoint takes a request, and waits for a slot. It returns the behavior
// to respond with. The caller must call releaseSlot if there is no error.
func (e *endpoint) admit(ctx context.Context) (behavior, error) {
	e.mu.Lock()
	b := e.behavior
	if b.backoff > 0 || rand.Float64() < b.refuse {
		e.mu.Unlock()
		return b, errRefused
	}
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return b, nil
	}
	if len(e.waiting) >= maxWaiting {
		e.mu.Unlock()
		return b, errFull
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	e.mu.Unlock()
	select {
	case <-turn:
		return b, nil
	case <-ctx.Done():
	}
	e.mu.Lock()
	n := slices.Index(e.waiting, turn)
	if n >= 0 {
		e.waiting = slices.Delete(e.waiting, n, n+1)
	}
	e.mu.Unlock()
	if n < 0 {
		e.releaseSlot() // it was granted at the same moment
	}
	return b, ctx.Err()
}

// releaseSlot passes a slot to the request that has waited longest, if there is one.
func (e *endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0])
	e.waiting = e.waiting[1:]
}

// load returns the first three values of the load that the endpoint reports.
func (e *endpoint) load() [3]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return [3]int{e.running, len(e.waiting), e.slots}
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := platformtest.ReadRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // truncated request: not run and not recorded
	}
	if in.Expect != e.id {
		platformtest.SetResponse(w.Header(), platformtest.EndpointResponse{RequestID: in.ID, Instance: e.id})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	via := e.instanceAt(e.link.sourceAt(r.RemoteAddr))
	part := findDeadlyPart(in.Parts)
	n := e.record.arrival(check.Arrival{
		Request: in.ID, Via: via, Endpoint: e.id, Service: e.service, At: time.Now(), Method: r.Method, URI: r.RequestURI,
		BodySum: xxhash.Sum64(body), Account: in.Account, Deadline: in.Deadline, DeadlyPart: part,
	})
	b, err := e.admit(r.Context())
	switch {
	case errors.Is(err, errFull), errors.Is(err, errRefused):
		e.refuse(w, in, via, b)
		return
	case err != nil:
		panic(http.ErrAbortHandler) // canceled while it waited: not run
	}
	defer e.releaseSlot()
	c := &call{endpoint: e, arrival: n, in: in, via: via, w: w, behavior: b, ctx: r.Context(), work: 1, events: eventCount(body), name: streamName(xxhash.Sum64(body))}
	if strings.Contains(string(body), longBody) {
		c.work = longWork
	}
	if part != "" && c.process(firstEventDelay) != nil {
		panic(http.ErrAbortHandler) // canceled before the answer began
	}
	deadly := part != "" || strings.Contains(string(body), crashingBody)
	if !deadly && rand.Float64() < b.garble {
		c.runGarbled()
		return
	}
	c.run(deadly)
}

// findDeadlyPart returns the part that crashes endpoints, or "".
func findDeadlyPart(parts []string) string {
	i := slices.IndexFunc(parts, func(id string) bool { return strings.HasPrefix(id, deadlyPart) })
	if i < 0 {
		return ""
	}
	return parts[i]
}

// refuse answers 503 and marks the request as not run.
func (e *endpoint) refuse(w http.ResponseWriter, in platformtest.EndpointRequest, via string, b behavior) {
	e.setHead(w.Header(), via, b, platformtest.EndpointResponse{RequestID: in.ID, NotExecuted: true, RetryAfter: b.backoff})
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setHead sets the response headers, including the state that the endpoint announces (leaving, rate
// limit, backoff), and records that announcement for the checker.
func (e *endpoint) setHead(h http.Header, via string, b behavior, head platformtest.EndpointResponse) {
	head.Leaving, head.RateLimit = b.leaving, b.rateLimit
	now := time.Now()
	head.Load = e.load()
	head.Slowdown, _ = slowdownAt(e.id, now)
	platformtest.SetResponse(h, head)
	s := check.Announcement{Endpoint: e.id, Instance: via, At: now, Leaving: b.leaving, RateLimit: b.rateLimit != ""}
	if head.RetryAfter > 0 {
		s.BackoffUntil = now.Add(head.RetryAfter)
	}
	if s.Leaving || s.RateLimit || !s.BackoffUntil.IsZero() {
		e.record.statement(s)
	}
}

// call is one request running at an endpoint.
type call struct {
	endpoint *endpoint
	arrival  int // index for recorder.updateArrival
	in       platformtest.EndpointRequest
	via      string // instance that sent it
	w        http.ResponseWriter
	behavior behavior
	ctx      context.Context
	work     time.Duration // how many times longer the request takes than the usual one
	events   int           // of its complete stream
	name     string        // of its stream
	whole    bool          // the response has chunks and is not cut off
}

var errTruncated = errors.New("response cut off by an injected fault")

// run executes the request and records how it ended. A crashing request makes the endpoint crash
// and aborts the connection.
func (c *call) run(deadly bool) {
	c.endpoint.record.updateArrival(c.arrival, func(a *check.Arrival) { a.Ran = true })
	if deadly {
		c.endpoint.record.updateArrival(c.arrival, func(a *check.Arrival) { a.Crashed, a.Aborted, a.EndedAt = true, true, time.Now() })
		go c.endpoint.onCrash(c.endpoint)
		panic(http.ErrAbortHandler)
	}
	status, sum, err := c.answer()
	c.endpoint.record.updateArrival(c.arrival, func(a *check.Arrival) {
		a.EndedAt, a.Status, a.ResponseSum = time.Now(), status, sum
		a.Stopped = err != nil && c.endpoint.stopped.Load()
		a.Aborted = a.Stopped || err != nil && c.ctx.Err() == nil
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// runGarbled executes the request, and sends bytes that belong to no request after the response.
func (c *call) runGarbled() {
	g, err := newGarbledWriter(c.w)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	whole := false
	defer func() {
		if !whole {
			_ = g.conn.Close()
		}
	}()
	c.w, c.whole = g, true
	c.run(false)
	if err := g.finish(extraBytes(c.in.ID)); err != nil {
		return
	}
	whole = true
	c.endpoint.returned.put(returned{g.conn, g.unread})
}

// process spends the time that the endpoint takes at present for work that usually takes d. It returns
// an error if the request is canceled before.
func (c *call) process(d time.Duration) error {
	for d *= c.work; d > 0; {
		percent, stays := slowdownAt(c.endpoint.id, time.Now())
		step := min(d*time.Duration(percent)/usualPace, stays)
		if err := c.wait(step); err != nil {
			return err
		}
		d -= step * usualPace / time.Duration(percent)
	}
	return nil
}

// wait sleeps for d. It returns an error if the request is canceled before.
func (c *call) wait(d time.Duration) error {
	select {
	case <-c.ctx.Done():
		return c.ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// answer writes the response, subject to the injected faults, and returns its status and the
// checksum of its body. The checksum of a stream is 0.
func (c *call) answer() (status int, sum uint64, err error) {
	if c.behavior.hang {
		<-c.ctx.Done()
		return 0, 0, c.ctx.Err()
	}
	if c.endpoint.service == engineService {
		return c.stream()
	}
	if err := c.process(callDuration); err != nil {
		return 0, 0, err
	}
	if rand.Float64() < c.behavior.loseAnswers {
		return 0, 0, errTruncated
	}
	status = http.StatusOK
	if rand.Float64() < c.behavior.fail {
		status = http.StatusInternalServerError
	}
	body := fmt.Sprintf("%s answered by %s", c.in.ID, c.endpoint.id)
	sum = xxhash.Sum64String(body)
	c.recordAnswer(status, sum)
	c.setHead()
	c.w.WriteHeader(status)
	_, err = io.WriteString(c.w, body)
	return status, sum, err
}

// recordAnswer records the response before any of it is sent, so that the checker knows of each
// response that a caller may see.
func (c *call) recordAnswer(status int, sum uint64) {
	c.endpoint.record.updateArrival(c.arrival, func(a *check.Arrival) { a.Status, a.ResponseSum = status, sum })
}

func (c *call) setHead() {
	c.endpoint.setHead(c.w.Header(), c.via, c.behavior, platformtest.EndpointResponse{RequestID: c.in.ID, Seal: c.endpoint.id})
}
