package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// The deployment of the case: the plain service of bzl-lhr, with its slots, its work and its rates, before three
// instances.
const (
	plainSlots   = 6
	plainQueue   = 24
	plainWork    = 15 * time.Millisecond
	unsafeRate   = 27.6 // a second
	safeRate     = 11.1
	plainClients = 24
	plainPeriod  = 90 * time.Second

	// garble, as the sheet names it: some endpoints, a share of their answers, for some seconds, more than once.
	garbledShare = 0.6
	garbledPart  = 0.05
	garbleFor    = 6 * time.Second
	garbleEvery  = 8 * time.Second
)

// extraBytes returns what a faulty endpoint sends after a whole answer: late, in the place of the next one. They
// name no request.
func extraBytes() string {
	return text(http.StatusServiceUnavailable, platformtest.EndpointResponse{NotExecuted: true, Load: [3]int{plainSlots, plainQueue, plainSlots}}, "")
}

// text returns an answer as it is sent.
func text(status int, r platformtest.EndpointResponse, body string) string {
	h := http.Header{"Content-Type": {"text/plain"}, "Content-Length": {strconv.Itoa(len(body))}}
	platformtest.SetResponse(h, r)
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&out)
	return out.String() + "\r\n" + body
}

// plainEndpoint is an endpoint of the plain service. It serves one request at a time on a connection, in
// the order in which they come, and finishes what it has begun.
type plainEndpoint struct {
	id      string
	record  *recorder
	slots   chan struct{}
	waiting atomic.Int64
	garbles func() bool // whether extra bytes follow this answer
	ran     func(id string)
	extra   *atomic.Int64
}

func (e *plainEndpoint) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *plainEndpoint) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	garbled := false // extra bytes are due after the last answer
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if garbled {
			if _, err := io.WriteString(c, extraBytes()); err != nil {
				return
			}
			e.extra.Add(1)
			e.record.line("%s sends extra bytes, which belong to no request", e.id)
		}
		_, err = io.WriteString(c, e.run(q))
		if err != nil {
			return
		}
		garbled = e.garbles()
	}
}

// run runs a request, and returns the answer.
func (e *plainEndpoint) run(q *http.Request) string {
	in := platformtest.ReadRequest(q.Header)
	if in.Expect != e.id {
		return text(http.StatusMisdirectedRequest, platformtest.EndpointResponse{RequestID: in.ID, NotExecuted: true}, "")
	}
	if e.waiting.Add(1) > plainSlots+plainQueue {
		e.waiting.Add(-1)
		return text(http.StatusServiceUnavailable, platformtest.EndpointResponse{RequestID: in.ID, NotExecuted: true, Load: e.load()}, "")
	}
	defer e.waiting.Add(-1)
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.ran(in.ID)
	e.record.line("%s begins %s", e.id, in.ID)
	time.Sleep(plainWork)
	e.record.line("%s has run %s to its end", e.id, in.ID)
	return text(http.StatusOK, platformtest.EndpointResponse{RequestID: in.ID, Seal: "seal." + in.ID, Load: e.load()}, strings.Repeat("a", 800))
}

func (e *plainEndpoint) load() [3]int {
	running := len(e.slots)
	return [3]int{running, max(0, int(e.waiting.Load())-running), plainSlots}
}

// attempts is what clients and endpoints saw of each client attempt.
type attempts struct {
	mu     sync.Mutex
	ran    map[string]int  // runs begun, by request ID; guarded by mu
	unsafe map[string]bool // the request may run once at most; guarded by mu
	status map[string]int  // of the answer; guarded by mu
	again  map[string]string
}

func (a *attempts) begun(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ran[id]++
}

func (a *attempts) answered(id string, unsafe bool, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsafe[id], a.status[id] = unsafe, status
}

// playRefusal plays garbled answers of endpoints. Rule REFUSED: a request that isn't idempotent gets 429, 503, 408
// or 421 as its answer, and it has run or runs later.
func playRefusal(ctx context.Context, p *play) (bool, error) {
	seen := &attempts{ran: make(map[string]int), unsafe: make(map[string]bool), status: make(map[string]int), again: make(map[string]string)}
	var garbling atomic.Bool
	var extra atomic.Int64
	halls := []string{"a", "b", "c", "d"}
	for n, hall := range halls {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		defer l.Close()
		faulty := float64(n) < garbledShare*float64(len(halls))-0.5 // two of four: 0.6, rounded down
		e := &plainEndpoint{id: fmt.Sprintf("i-%s", hall), record: p.record, slots: make(chan struct{}, plainSlots), ran: seen.begun, extra: &extra}
		e.garbles = func() bool { return faulty && garbling.Load() && rand.Float64() < garbledPart }
		go e.serve(l)
		if _, err := p.register(e.id, "till-api", hall, l.Addr().String(), plainSlots); err != nil {
			return false, err
		}
	}
	route := func(name, prefix string, kind policy.Kind, attempts int) policy.Route {
		return policy.Route{
			Name: name, Host: "till.example", Prefix: prefix, Kind: kind, Timeout: 800 * time.Millisecond, TargetLatency: 100 * time.Millisecond,
			Priority: 2, MaxAttempts: attempts, Split: []policy.Share{{Service: "till-api", Weight: 1}},
		}
	}
	err := p.configure(policy.Config{
		Version: 1, Limits: limits,
		Routes:   []policy.Route{route("price-check", "/price/", policy.Unsafe, 1), route("pay-confirm", "/pay/", policy.Safe, 2)},
		Services: []policy.Service{{Name: "till-api", HealthPath: "/health", MaxConnections: 110}},
		Accounts: []policy.Account{{Name: "stall", Keys: []string{"key-1"}}},
	})
	if err != nil {
		return false, err
	}
	for _, hall := range halls[:3] {
		if _, err := p.start(ctx, hall); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(ctx); err != nil {
		return false, err
	}
	end := time.Now().Add(plainPeriod)
	if p.trouble {
		go func() {
			for time.Now().Before(end) {
				garbling.Store(true)
				p.record.line("garble begins: two of four endpoints, %v of their answers", garbledPart)
				time.Sleep(garbleFor)
				garbling.Store(false)
				p.record.line("garble ends")
				time.Sleep(garbleEvery - garbleFor)
			}
		}()
	}
	var clients sync.WaitGroup
	for n := range plainClients {
		c := newPlainClient(p, seen, n)
		clients.Go(func() { c.run(ctx, end) })
	}
	clients.Wait()
	time.Sleep(time.Second) // what is under way ends
	return seen.judge(p.record, extra.Load()), nil
}

// judge counts the broken promises.
func (a *attempts) judge(record *recorder, extra int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	broken, twice := 0, 0
	byStatus := make(map[int]int)
	for id, status := range a.status {
		byStatus[status]++
		switch status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		default:
			continue
		}
		if !a.unsafe[id] || a.ran[id] == 0 {
			continue
		}
		broken++
		again := a.again[id]
		if again != "" && a.ran[again] > 0 {
			twice++
		}
		record.line("REFUSED: %s was answered %d, and has run; the client's next attempt %s ran %d times", id, status, again, a.ran[again])
	}
	record.result("%d attempts, answers by status %v, %d times extra bytes", len(a.status), byStatus, extra)
	record.result("REFUSED: %d unsafe requests were answered as not run and have run; %d of them ran again when the client came back", broken, twice)
	return broken == 0
}

// plainClient sends requests on kept connections, one at a time.
type plainClient struct {
	play *play
	seen *attempts
	name string
	http *http.Client
	home int
}

func newPlainClient(p *play, seen *attempts, n int) *plainClient {
	return &plainClient{play: p, seen: seen, name: "c" + strconv.Itoa(n), home: n, http: &http.Client{Transport: &http.Transport{}}}
}

func (c *plainClient) run(ctx context.Context, end time.Time) {
	defer c.http.CloseIdleConnections()
	rate := (unsafeRate + safeRate) / plainClients
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		unsafe := rand.Float64() < unsafeRate/(unsafeRate+safeRate)
		c.call(ctx, fmt.Sprintf("%s-%d", c.name, n), unsafe)
	}
}

// call sends a request, and once more on a new connection where its answer says that it was not run.
func (c *plainClient) call(ctx context.Context, id string, unsafe bool) {
	deadline := time.Now().Add(1500 * time.Millisecond)
	status, wait := c.attempt(ctx, id+".1", unsafe, deadline, c.home)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	c.seen.mu.Lock()
	c.seen.again[id+".1"] = id + ".2"
	c.seen.mu.Unlock()
	time.Sleep(min(wait, time.Until(deadline)/3))
	c.http.CloseIdleConnections()
	c.attempt(ctx, id+".2", unsafe, deadline, c.home+1)
}

func (c *plainClient) attempt(ctx context.Context, id string, unsafe bool, deadline time.Time, home int) (status int, wait time.Duration) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	to := c.play.started[home%len(c.play.started)]
	path := "/pay/confirm"
	if unsafe {
		path = "/price/check"
	}
	body := io.MultiReader(strings.NewReader(strings.Repeat("b", 600))) // hides its type, so that it is never sent again
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.at("front")+path, body)
	if err != nil {
		return 0, 0
	}
	q.Host = "till.example"
	platformtest.SetRequest(q.Header, platformtest.ClientRequest{ID: id, Key: "key-1", Deadline: time.Until(deadline)})
	c.play.record.line("%s sends %s to %s, unsafe %t", c.name, id, to.name, unsafe)
	resp, err := c.http.Do(q)
	if err != nil {
		c.play.record.line("%s gets no answer to %s: %v", c.name, id, err)
		c.seen.answered(id, unsafe, 0)
		return 0, 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	c.play.record.line("%s gets %d to %s", c.name, resp.StatusCode, id)
	c.seen.answered(id, unsafe, resp.StatusCode)
	return resp.StatusCode, platformtest.ReadResponse(resp.Header).RetryAfter
}
