package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/topology"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// endless is what an endpoint sends: a beginning, and then the same bytes again until its connection is closed.
type endless struct {
	begin string
	again string
	every time.Duration // between two repetitions; 0 to send as fast as the connection takes them
}

// send writes to a connection until that fails, and returns the number of bytes written.
func (e endless) send(c net.Conn) (written int64) {
	n, err := io.WriteString(c, e.begin)
	written += int64(n)
	again := e.again
	if e.every == 0 {
		again = strings.Repeat(again, max(1, 16<<10/len(again)))
	}
	for err == nil {
		if e.every > 0 {
			time.Sleep(e.every)
		}
		n, err = io.WriteString(c, again)
		written += int64(n)
	}
	return written
}

// rawFixture is a handler with two endpoints on sockets. The first request to either gets an endless answer, the others
// get a whole one.
type rawFixture struct {
	*fixture
	sent    atomic.Int64  // requests that reached an endpoint
	written atomic.Int64  // bytes of the endless answer
	closed  chan struct{} // closed when its connection is
	results *resultPlacer
	bad     bool         // the endpoint that gets the first request sends the same to all
	toBad   atomic.Int64 // requests that it got
}

// resultPlacer records how the requests of tickets ended.
type resultPlacer struct {
	Placer
	mu   sync.Mutex
	done []balance.Result // guarded by mu
}

// Place implements Placer.
func (p *resultPlacer) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	t, err := p.Placer.Place(ctx, endpoints, r, until, now)
	if err == nil {
		t.Observe(p)
	}
	return t, err
}

// PromptRead implements balance.Observer.
func (p *resultPlacer) PromptRead() {}

// Done implements balance.Observer.
func (p *resultPlacer) Done(r balance.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = append(p.done, r)
}

const (
	endlessDeadline = 4 * time.Second
	// maxEndlessBytes is above the limit of an event and the buffers of two sockets.
	maxEndlessBytes = 3 << 20
)

func newRawFixture(t *testing.T, e endless, others string) *rawFixture {
	t.Helper()
	w := &rawFixture{fixture: newFixture(t, 0), closed: make(chan struct{})}
	var first atomic.Bool
	var bad atomic.Int64
	bad.Store(-1)
	serve := func(c net.Conn, endpoint int64) {
		defer c.Close()
		_ = c.(*net.TCPConn).SetWriteBuffer(32 << 10)
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			w.sent.Add(1)
			isFirst := first.CompareAndSwap(false, true)
			if w.bad && (isFirst || bad.Load() == endpoint) {
				bad.Store(endpoint)
				w.toBad.Add(1)
				_, _ = io.WriteString(c, e.begin)
				_, _ = io.Copy(io.Discard, r) // until the handler closes the connection
				return
			}
			if isFirst {
				w.written.Store(e.send(c))
				close(w.closed)
				return
			}
			_, _ = io.WriteString(c, others)
		}
	}
	var endpoints []registry.Endpoint
	for i := range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		endpoints = append(endpoints, registry.Endpoint{ID: fmt.Sprint("s", i), Service: "svc", Addr: netip.MustParseAddrPort(l.Addr().String())})
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serve(c, int64(i))
			}
		}()
	}
	config := testConfig(t)
	for i := range config.Routes {
		config.Routes[i].Timeout, config.Routes[i].TargetLatency, config.Routes[i].TargetEventGap = endlessDeadline, 300*time.Millisecond, 200*time.Millisecond
	}
	view := &View{Config: config, ConfirmedAt: time.Now(), KeysValidUntil: time.Now().Add(time.Hour), Endpoints: map[string][]registry.Endpoint{"svc": endpoints}, Instances: 1}
	w.handler.View = func() *View { return view }
	w.handler.Backends = backend.New(backend.Options{Net: netxtest.Untimed{}, Protocol: plainProtocol{}, Notices: notice.New(notice.Options{}), Limits: ratelimit.New(ratelimit.Options{})})
	w.handler.ConfigFreshFor = time.Hour
	w.results = &resultPlacer{Placer: w.handler.Placer}
	w.handler.Placer = w.results
	t.Cleanup(w.handler.Backends.CloseIdle)
	return w
}

// countedResponse keeps the beginning of a response only.
type countedResponse struct {
	*httptest.ResponseRecorder
	bytes int64
}

// Write implements http.ResponseWriter.
func (w *countedResponse) Write(p []byte) (int, error) {
	if w.bytes += int64(len(p)); w.bytes > 4<<20 {
		return len(p), nil
	}
	return w.ResponseRecorder.Write(p)
}

// askCounted is ask with the deadline of these tests. cut reports whether the handler aborted the connection.
func (w *rawFixture) askCounted(path string) (rec *countedResponse, cut bool) {
	r := httptest.NewRequest(http.MethodPost, "http://"+testHost+path, strings.NewReader("body"))
	r.Header.Set("Id", "7")
	r.Header.Set("Key", "k")
	r.Header.Set("Deadline", fmt.Sprint(endlessDeadline.Milliseconds()))
	rec = &countedResponse{ResponseRecorder: httptest.NewRecorder()}
	defer func() {
		if e := recover(); e == http.ErrAbortHandler {
			cut = true
		} else if e != nil {
			panic(e)
		}
	}()
	w.handler.ServeHTTP(rec, r)
	return rec, false
}

const (
	plainHead   = "HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\n"
	chunkedHead = plainHead + "Transfer-Encoding: chunked\r\n\r\n"
	eventsHead  = plainHead + "Content-Type: text/event-stream\r\n\r\n" // ends with its connection
	drip        = 20 * time.Millisecond
)

// endlessHeads are bytes without end that come before an answer or in place of its head.
var endlessHeads = map[string]endless{
	"status line":               {"HTTP/1.1 200 ", "x", 0},
	"garbage":                   {"", "\x00\x01", 0},
	"garbage lines":             {"", "\x00\x01\r\n", 0},
	"header line":               {plainHead + "A: ", "x", 0},
	"header lines":              {plainHead, "A: x\r\n", 0},
	"informational":             {"", "HTTP/1.1 102 Processing\r\n\r\n", 0},
	"informational header":      {"HTTP/1.1 102 Processing\r\n", "A: x\r\n", 0},
	"answers to others":         {"", "HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx", 0},
	"answer to another":         {"HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\n\r\n", "x", 0},
	"chunks to another":         {"HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0},
	"status line, slow":         {"HTTP/1.1 200 ", "x", drip},
	"header line, slow":         {plainHead + "A: ", "x", drip},
	"header lines, slow":        {plainHead, "A: x\r\n", drip},
	"informational line, slow":  {"HTTP/1.1 102 ", "x", drip},
	"answer to another, slow":   {"HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\n\r\n", "x", drip},
	"chunk to another, slow":    {"HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", drip},
	"trailer of another, slow":  {"HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", drip},
	"a byte of garbage at once": {"", "\x00", drip},
}

// Guards against answers whose head does not come while bytes do: their caller would wait until its deadline, or the
// bytes be read without bound.
func TestBytesWithoutEndInPlaceOfAHead(t *testing.T) {
	t.Parallel()
	for name, e := range endlessHeads {
		for _, route := range []struct {
			path   string
			status int
			sent   int64
		}{{"/once/a", 502, 1}, {"/safe/a", 200, 2}, {"/stream/a", 502, 1}, {"/resume/a", 200, 2}} {
			t.Run(name+route.path, func(t *testing.T) {
				t.Parallel()
				others := sealed(200, "hi")
				if route.path == "/resume/a" {
					others = events(1, 3, true)
				}
				e.checkFailed(t, route.path, others, route.status, route.sent, false)
			})
		}
	}
}

// checkFailed sends a request whose first attempt gets the answer, and checks that the endpoint counts as failed and its
// connection is closed before the deadline.
func (e endless) checkFailed(t *testing.T, path, others string, status int, sent int64, cut bool) *countedResponse {
	t.Helper()
	is := is.New(t)
	w := newRawFixture(t, e, others)
	begin := time.Now()
	rec, gotCut := w.askCounted(path)
	took := time.Since(begin)
	<-w.closed
	t.Log(rec.Code, gotCut, took, w.written.Load(), w.sent.Load(), w.results.done)
	is.True(took < endlessDeadline)
	is.Equal(rec.Code, status)
	is.Equal(gotCut, cut)
	is.Equal(w.sent.Load(), sent)
	is.Equal(w.results.done[0], balance.Failed)
	is.Equal(w.admit.budget, 5-int(sent-1)) // each further attempt is charged
	is.True(w.written.Load() < maxEndlessBytes)
	return rec
}

// endlessEvents are streams of events that go on without an event.
var endlessEvents = map[string]endless{
	"chunk size":                   {"", "1", 0},
	"chunk extension":              {"1;", "x", 0},
	"chunk size, slow":             {"", "0", drip},
	"chunk extension, slow":        {"1;", "x", drip},
	"trailer line, slow":           {"0\r\nA: ", "x", drip},
	"trailers, slow":               {"0\r\n", "A: x\r\n", drip},
	"trailer line":                 {"0\r\nA: ", "x", 0},
	"trailers":                     {"0\r\n", "A: x\r\n", 0},
	"event":                        {"", chunk("data: x"), 0},
	"event line":                   {chunk("data: "), chunk("x"), 0},
	"comments":                     {"", chunk(": x\n"), 0},
	"comment":                      {chunk(": "), chunk("x"), 0},
	"blank lines":                  {"", chunk("\n"), 0},
	"blank lines with returns":     {"", chunk("\r\n"), 0},
	"comment events":               {"", chunk(": x\n\n"), 0},
	"events without data":          {"", chunk("event: ping\n\n"), 0},
	"large comment events":         {"", chunk(": " + strings.Repeat("x", 3000) + "\n\n"), 0},
	"event, slow":                  {chunk("data: "), chunk("x"), drip},
	"comments, slow":               {"", chunk(": x\n"), drip},
	"comment, slow":                {chunk(": "), chunk("x"), drip},
	"blank lines, slow":            {"", chunk("\n"), drip},
	"comment events, slow":         {"", chunk(": x\n\n"), drip},
	"events without data, slow":    {"", chunk("event: ping\n\n"), drip},
	"bytes of no event, slow":      {"", chunk("x"), drip},
	"comments after events":        {chunk(threeEvents[:30]), chunk(": x\n\n"), 0},
	"comments after events, slow":  {chunk(threeEvents[:30]), chunk(": x\n\n"), drip},
	"blank lines after events":     {chunk(threeEvents[:30]), chunk("\n"), 0},
	"event after events":           {chunk(threeEvents[:30] + "data: "), chunk("x"), 0},
	"event after events, slow":     {chunk(threeEvents[:30] + "data: "), chunk("x"), drip},
	"the same event again":         {chunk(threeEvents[:30]), chunk(threeEvents[15:30]), 0},
	"the same event again, slow":   {chunk(threeEvents[:30]), chunk(threeEvents[15:30]), drip},
	"the same events again":        {chunk(threeEvents[:30]), chunk(threeEvents[:30]), 0},
	"the same events again, slow":  {chunk(threeEvents[:30]), chunk(threeEvents[:30]), drip},
	"chunk size after events":      {chunk(threeEvents[:30]), "1", 0},
	"chunk extension after, slow":  {chunk(threeEvents[:30]) + "1;", "x", drip},
	"trailers after events":        {chunk(threeEvents[:30]) + "0\r\n", "A: x\r\n", 0},
	"trailers after events, slow":  {chunk(threeEvents[:30]) + "0\r\n", "A: x\r\n", drip},
	"trailer line after the event": {chunk(threeEvents[:30]) + "0\r\nA: ", "x", drip},
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// Guards against streams that go on without events: their caller would wait until its deadline, and what comes meanwhile
// be read and passed on.
func TestBytesWithoutEndInPlaceOfEvents(t *testing.T) {
	t.Parallel()
	for name, e := range endlessEvents {
		begun := strings.Contains(e.begin, "id: 2")
		e.begin = plainHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + e.begin
		t.Run(name+"/stream", func(t *testing.T) {
			t.Parallel()
			if begun {
				rec := e.checkFailed(t, "/stream/a", events(1, 3, true), 200, 1, true)
				is.New(t).Equal(rec.Body.String()[:30], threeEvents[:30])
				return
			}
			e.checkFailed(t, "/stream/a", events(1, 3, true), 502, 1, false)
		})
		t.Run(name+"/resume", func(t *testing.T) {
			t.Parallel()
			others := events(1, 3, true)
			if begun {
				others = events(3, 3, true)
			}
			rec := e.checkFailed(t, "/resume/a", others, 200, 2, false)
			is.New(t).Equal(eventsOnly(rec.Body.String()), threeEvents)
		})
	}
}

// eventsOnly returns a stream without its comments.
func eventsOnly(stream string) string {
	var b strings.Builder
	for e := range strings.SplitAfterSeq(stream, "\n\n") {
		if !strings.HasPrefix(e, ":") {
			b.WriteString(e)
		}
	}
	return b.String()
}

// Guards against sound streams that are cut for comments, silence, the size of an event or the pieces in which it comes.
func TestSoundStreamsAreNotCut(t *testing.T) {
	large := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes-64) + "\n\n"
	rest := "id: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	inPieces := strings.Join(strings.SplitAfter("id: 1\ndata: abcdefgh\n\n", ""), thenWait)
	for name, stream := range map[string]string{
		"silence before the first event":   strings.Repeat(thenWait, 10) + threeEvents,
		"silence between events":           threeEvents[:15] + strings.Repeat(thenWait, 10) + threeEvents[15:],
		"comments before the first event":  strings.Repeat(": x\n\n"+thenWait, 10) + threeEvents,
		"comments between events":          threeEvents[:15] + strings.Repeat(thenWait+": x\n\n", 10) + threeEvents[15:],
		"comments inside an event":         "id: 1\n" + strings.Repeat(": x\n"+thenWait, 10) + "data: x\n\n" + rest,
		"many comments at once":            strings.Repeat(": x\n\n", 1000) + threeEvents,
		"comments only":                    ": x\n\n" + thenWait + ": y\n\n",
		"a few fields that are no event":   "retry: 3\n\n" + thenWait + "event: ping\n\n" + threeEvents,
		"an event without an ID":           "data: x\n\ndata: x\n\n" + rest,
		"an event in pieces":               inPieces[:len(inPieces)/2] + strings.ReplaceAll(inPieces[len(inPieces)/2:], thenWait, ""),
		"the largest event":                large + rest,
		"the largest event, after silence": thenWait + thenWait + large[:1000] + strings.Repeat(thenWait, 5) + large[1000:] + rest,
	} {
		for _, path := range []string{"/stream/a", "/resume/a"} {
			t.Run(name+path, func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newFixture(t, 0, untilClose("text/event-stream", stream), sealed(200, ""))
					config := w.handler.View().Config
					for i := range config.Routes {
						config.Routes[i].TargetLatency, config.Routes[i].TargetEventGap = 100*time.Millisecond, 50*time.Millisecond
					}
					rec, cut := w.ask(path, "k")
					is.True(!cut)
					is.Equal(rec.Code, 200)
					is.True(rec.Body.String() == strings.ReplaceAll(stream, thenWait, "")) // all of it, byte by byte
					is.Equal(len(w.got), 1)
					w.handler.Backends.CloseIdle()
				})
			})
		}
	}
}

// Guards against endpoints that count as sound although their answer never ends. Its bytes are those of the answer as far
// as is known, so that it goes on until the deadline.
func TestBodiesWithoutEndCountAsFailures(t *testing.T) {
	t.Parallel()
	for name, e := range map[string]endless{
		"chunks":            {chunkedHead, chunk(strings.Repeat("x", 1000)), 0},
		"length":            {plainHead + "Content-Length: 9000000000000\r\n\r\n", "x", 0},
		"until it ends":     {plainHead + "\r\n", "x", 0},
		"chunk extension":   {chunkedHead + "1\r\nx\r\n1;", "x", 0},
		"extensions":        {chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", 0},
		"trailer":           {chunkedHead + "1\r\nx\r\n0\r\nA: ", "x", 0},
		"extension, slow":   {chunkedHead + "1\r\nx\r\n1;", "x", drip},
		"trailer, slow":     {chunkedHead + "1\r\nx\r\n0\r\nA: ", "x", drip},
		"long, then extra":  {chunkedHead + chunk(strings.Repeat("x", 2*maxBuffered)) + "1;", "x", drip},
		"failure, no end":   {strings.Replace(plainHead, "200", "500", 1) + "\r\n", "x", 0},
		"refusal, no end":   {"HTTP/1.1 503 X\r\nId: 7\r\n\r\n", "x", 0},
		"a promise, no end": {"HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\n\r\n", "x", 0},
	} {
		for _, path := range []string{"/once/a", "/safe/a"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newRawFixture(t, e, sealed(200, "hi"))
				begin := time.Now()
				rec, cut := w.askCounted(path)
				is.True(time.Since(begin) < endlessDeadline+time.Second)
				<-w.closed
				t.Log(rec.Code, cut, w.sent.Load(), w.results.done, time.Since(begin), w.written.Load())
				if name == "a promise, no end" {
					is.Equal(rec.Code, 200)
					is.Equal(w.results.done[0], balance.Refused)
					return
				}
				is.Equal(w.results.done[0], balance.Failed)
				if rec.Code == 200 && w.sent.Load() == 1 {
					is.True(cut)
				} else if path == "/safe/a" {
					is.Equal(rec.Code, 200)
					is.Equal(w.sent.Load(), int64(2))
				} else {
					is.True(rec.Code == 502 || rec.Code == 500)
				}
			})
		}
	}
}

// slowResponse takes a time for each write.
type slowResponse struct {
	*httptest.ResponseRecorder
	takes time.Duration
}

// Write implements http.ResponseWriter.
func (w slowResponse) Write(p []byte) (int, error) {
	time.Sleep(w.takes)
	return w.ResponseRecorder.Write(p)
}

// Guards against endpoints that count as failing because a client accepts a long answer slowly or leaves.
func TestSlowClientsAreNotTheFaultOfEndpoints(t *testing.T) {
	t.Parallel()
	long := endless{sealed(200, strings.Repeat("x", 1<<20)), "", 10 * time.Second}
	for name, test := range map[string]struct {
		takes  time.Duration
		leaves bool
		answer endless
		want   balance.Result
	}{
		"fast":        {0, false, long, balance.Answered},
		"slow":        {50 * time.Millisecond, false, long, balance.Cancelled},
		"leaves":      {50 * time.Millisecond, true, long, balance.Cancelled},
		"stays short": {0, false, endless{long.begin[:1<<19], "", 10 * time.Second}, balance.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newRawFixture(t, test.answer, "")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if test.leaves {
				time.AfterFunc(500*time.Millisecond, cancel)
			}
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://"+testHost+"/safe/a", strings.NewReader("body"))
			r.Header.Set("Id", "7")
			r.Header.Set("Key", "k")
			r.Header.Set("Deadline", "1500")
			func() {
				defer func() { _ = recover() }()
				w.handler.ServeHTTP(slowResponse{httptest.NewRecorder(), test.takes}, r)
			}()
			is.Equal(w.results.done, []balance.Result{test.want})
		})
	}
}

// acceptorOpener opens streams to one other instance.
type acceptorOpener struct{ acceptor *peerproxy.Acceptor }

// Open implements peerproxy.Opener.
func (o acceptorOpener) Open(_ context.Context, _ netip.AddrPort, call *peerpb.Call) (net.Conn, error) {
	near, far := net.Pipe()
	go o.acceptor.Serve(far, peerproxy.FromCall(call, time.Now()))
	return near, nil
}

// relay makes another instance, without paths to endpoints, the one that clients ask.
func (w *rawFixture) relay(t *testing.T) {
	t.Helper()
	acceptor := peerproxy.NewAcceptor(1, http.HandlerFunc(w.handler.ServeProxied))
	go acceptor.Run()
	t.Cleanup(func() { acceptor.Shutdown(context.Background()) })
	near := w.handler.Options
	near.Paths = noPaths{}
	near.Admission = &fakeAdmission{budget: 5}
	near.Proxy = peerproxy.NewClient(peerproxy.ClientOptions{
		Peers: acceptorOpener{acceptor}, Others: func() []topology.Member { return []topology.Member{{Name: "i1", Hall: "h"}} }, Hall: "h", Log: near.Log,
	})
	w.handler = New(near)
}

// Guards against the same over the hop between two instances: the caller gets what it would get at the other one.
func TestBytesWithoutEndBehindAnotherInstance(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path   string
		answer endless
		others string
		status int
		cut    bool
		sent   int64
	}{
		"head, unsafe":                  {"/once/a", endlessHeads["header lines"], "", 502, false, 1},
		"slow head, unsafe":             {"/once/a", endlessHeads["header lines, slow"], "", 502, false, 1},
		"slow head, safe":               {"/safe/a", endlessHeads["status line, slow"], sealed(200, "hi"), 200, false, 2},
		"answer to another, safe":       {"/safe/a", endlessHeads["answer to another"], sealed(200, "hi"), 200, false, 2},
		"comments":                      {"/stream/a", endlessEvents["comment events"], "", 502, false, 1},
		"comments, slow":                {"/stream/a", endlessEvents["comment events, slow"], "", 502, false, 1},
		"comments, resumable":           {"/resume/a", endlessEvents["comment events"], events(1, 3, true), 200, false, 2},
		"blank lines, slow, resumable":  {"/resume/a", endlessEvents["blank lines, slow"], events(1, 3, true), 200, false, 2},
		"comments after events":         {"/stream/a", endlessEvents["comments after events"], "", 200, true, 1},
		"after events, slow, resumable": {"/resume/a", endlessEvents["comments after events, slow"], events(3, 3, true), 200, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			if strings.HasPrefix(test.path, "/stream") || strings.HasPrefix(test.path, "/resume") {
				test.answer.begin = plainHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + test.answer.begin
			}
			w := newRawFixture(t, test.answer, test.others)
			w.relay(t)
			begin := time.Now()
			rec, cut := w.askCounted(test.path)
			is.True(time.Since(begin) < endlessDeadline)
			<-w.closed
			is.Equal(rec.Code, test.status)
			is.Equal(cut, test.cut)
			is.Equal(w.sent.Load(), test.sent)
			is.Equal(w.results.done[0], balance.Failed)
			is.True(w.written.Load() < maxEndlessBytes)
			if test.path == "/resume/a" {
				is.Equal(eventsOnly(rec.Body.String()), threeEvents)
			}
		})
	}
}

// Guards against an endpoint that goes on drawing requests although its answers never end.
func TestAnEndpointWithoutEndDrawsFewRequests(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"comments":    plainHead + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat(": x\n\n", 10<<10),
		"blank lines": plainHead + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat("\n", 64<<10),
		"header":      plainHead + "A: " + strings.Repeat("x", 100<<10),
		"another":     "HTTP/1.1 200 OK\r\nId: 8\r\nSeal: s\r\n\r\n" + strings.Repeat("x", 3<<20),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newRawFixture(t, endless{answer, "x", time.Hour}, events(1, 3, true))
			w.bad = true
			w.admit.budget = 100
			for range 60 {
				rec, cut := w.askCounted("/resume/a")
				is.True(!cut)
				is.Equal(rec.Body.String(), threeEvents)
			}
			t.Log(w.toBad.Load())
			is.True(w.toBad.Load() <= 10)
		})
	}
}

// Guards against further attempts beyond the retry budget after answers without end.
func TestAnswersWithoutEndKeepTheRetryBudget(t *testing.T) {
	t.Parallel()
	for path, answer := range map[string]endless{
		"/safe/a":   endlessHeads["answer to another"],
		"/resume/a": {plainHead + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n", 0},
	} {
		is := is.New(t)
		w := newRawFixture(t, answer, sealed(200, "hi"))
		w.admit.budget = 0
		rec, cut := w.askCounted(path)
		is.True(!cut)
		is.Equal(rec.Code, 502)
		is.Equal(w.sent.Load(), int64(1))
	}
}
