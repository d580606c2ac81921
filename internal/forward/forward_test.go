package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/resume"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// plainProtocol uses short header names.
type plainProtocol struct{}

func (plainProtocol) Answer(_ int, h http.Header) backend.Answer {
	return backend.Answer{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

func (plainProtocol) Request(h http.Header) Meta {
	m := Meta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		m.Timeout, m.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	return m
}

func (plainProtocol) Clean(h http.Header)       { h.Del("Key") }
func (plainProtocol) CleanAnswer(h http.Header) { h.Del("Content-Length"); h.Del("Transfer-Encoding") }
func (plainProtocol) Outgoing(h http.Header, o Outgoing) {
	h.Set("Server", o.Endpoint)
	h.Set("Account", o.Account)
	h.Set("Deadline", strconv.FormatInt(o.Remaining.Milliseconds(), 10))
	if o.LastEventID != "" {
		h.Set("Last", o.LastEventID)
	}
}
func (plainProtocol) RetryAfter(h http.Header, wait time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

// fakeAdmission admits all requests unless refuse is set; budget is the number of retries allowed.
type fakeAdmission struct {
	mu       sync.Mutex
	budget   int
	began    int64
	returned float64
	refuse   bool
}

func (a *fakeAdmission) Admit(*policy.Account, float64, bool, time.Time) quota.Verdict {
	return quota.Verdict{OK: !a.refuse, RetryAt: time.Now().Add(time.Second)}
}
func (a *fakeAdmission) Refund(_ *policy.Account, units float64) { a.returned += units }
func (a *fakeAdmission) FirstTry(string, time.Time)              {}
func (a *fakeAdmission) SecondTry(string, time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget--
	return a.budget >= 0
}
func (a *fakeAdmission) RecordRuns(_ string, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began += n
}

// noQuarantine is a Quarantine that lets every request run.
type noQuarantine struct{}

func (noQuarantine) MaySuspect(int) bool   { return false }
func (noQuarantine) MaySuspectParts() bool { return false }
func (noQuarantine) Enter(context.Context, []quarantine.Fingerprint, time.Time) (func(bool), error) {
	return nil, nil
}
func (noQuarantine) Check([]quarantine.Fingerprint) error { return nil }
func (noQuarantine) RunAborted(context.Context, registry.Endpoint, quarantine.Run) bool {
	return false
}
func (noQuarantine) RunCancelled(registry.Endpoint, quarantine.Run)          {}
func (noQuarantine) AnswerBegun([]quarantine.Fingerprint, registry.Endpoint) {}
func (noQuarantine) ConnectionRefused(registry.Endpoint)                     {}
func (noQuarantine) RunCompleted(quarantine.Fingerprint, registry.Endpoint)  {}

// fakeOrigins knows the origins of the streams in it, and of no others.
type fakeOrigins map[string]origin.Record

func (o fakeOrigins) Began(r origin.Record) { o[r.Stream] = r }
func (o fakeOrigins) Completed(string)      {}
func (o fakeOrigins) Find(_ context.Context, stream, _ string) resume.Found {
	if r, ok := o[stream]; ok {
		return resume.Found{Record: r, Source: resume.Own}
	}
	return resume.Found{Source: resume.Unknown}
}

// fixture is a handler with scripted endpoints.
type fixture struct {
	handler *Handler
	admit   *fakeAdmission
	mu      sync.Mutex
	got     []http.Header // headers of the requests that endpoints got; guarded by mu
	closed  []time.Time   // when the connections that endpoints kept open were closed by the handler; guarded by mu
}

const testHost = "shop.example"

func testConfig(t *testing.T) *policy.Config {
	t.Helper()
	route := func(name string, kind policy.Kind, attempts int, resumable bool) policy.Route {
		return policy.Route{
			Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			Split: []policy.Share{{Service: "svc", Weight: 1}}, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	c, err := policy.New(policy.Config{
		Version: 1,
		Routes: []policy.Route{
			route("once", policy.Unsafe, 2, false), route("safe", policy.Safe, 2, false),
			route("stream", policy.Streaming, 1, false), route("resume", policy.Streaming, 2, true),
		},
		Services: []policy.Service{{Name: "svc"}},
		Accounts: []policy.Account{{Name: "north", Keys: []string{"k"}}},
		Limits:   policy.Limits{BodyBytes: 1000},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newFixture starts one endpoint for each script, which is the response that it sends. "" closes
// the connection, "hang" never answers. Further endpoints, dead of them, refuse connections. The
// scripts are used in the order in which requests arrive, at whichever endpoint.
func newFixture(t *testing.T, dead int, scripts ...string) *fixture {
	t.Helper()
	mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
	w := &fixture{admit: &fakeAdmission{budget: 5}}
	var endpoints []registry.Endpoint
	turn := 0
	for i := range dead + len(scripts) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		endpoints = append(endpoints, registry.Endpoint{ID: fmt.Sprint("s", i), Service: "svc", Addr: addr})
		if i < dead {
			continue
		}
		l, err := mem.Site(fmt.Sprint("endpoint", i)).Listen(addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go w.serve(c, func() { _ = l.Close() }, func() string {
					w.mu.Lock()
					defer w.mu.Unlock()
					turn++
					return scripts[min(turn, len(scripts))-1]
				})
			}
		}()
	}
	m, err := metrics.New(metrics.Gauges{Records: zero, Claims: zero, Table: zero, Members: zero})
	if err != nil {
		t.Fatal(err)
	}
	view := &View{Config: testConfig(t), ConfirmedAt: time.Now(), KeysValidUntil: time.Now().Add(4 * time.Second), Endpoints: map[string][]registry.Endpoint{"svc": endpoints}, Instances: 1}
	w.handler = New(Options{
		Protocol: plainProtocol{}, View: func() *View { return view }, Backends: backend.New(backend.Options{Net: mem.Site("instance"), Protocol: plainProtocol{}, Notices: notice.New(notice.Options{}), Limits: ratelimit.New(ratelimit.Options{})}),
		Placer: localPlacer{balance.NewTracker()}, Admission: w.admit, Origins: make(fakeOrigins), Quarantine: noQuarantine{}, Log: zap.NewNop(), Metrics: m,
		ConfigFreshFor: 2 * time.Second,
	})
	return w
}

func zero() int64 { return 0 }

func (w *fixture) serve(c net.Conn, end func(), next func() string) {
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	w.mu.Lock()
	w.got = append(w.got, req.Header)
	w.mu.Unlock()
	switch answer := next(); answer {
	case "":
	case "hang":
		w.keepOpen(r)
	default:
		text, ends := strings.CutSuffix(answer, thenEnd)
		text, closes := strings.CutSuffix(text, thenClose)
		if ends {
			end()
		}
		for i, piece := range strings.Split(text, thenWait) {
			if i > 0 {
				time.Sleep(scriptPause)
			}
			_, _ = io.WriteString(c, piece)
		}
		if !closes && !ends {
			w.keepOpen(r)
		}
	}
}

// keepOpen waits until the handler closes the connection.
func (w *fixture) keepOpen(r io.Reader) {
	_, _ = io.Copy(io.Discard, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = append(w.closed, time.Now())
}

// ask sends a request and returns the response; cut reports whether the handler aborted the
// connection in the middle of it.
func (w *fixture) ask(path, key string) (rec *httptest.ResponseRecorder, cut bool) {
	return w.askUntil(context.Background(), path, key)
}

// askUntil is ask for a client that disconnects when ctx ends.
func (w *fixture) askUntil(ctx context.Context, path, key string) (rec *httptest.ResponseRecorder, cut bool) {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://"+testHost+path, strings.NewReader("body"))
	r.Header.Set("Id", "7")
	r.Header.Set("Key", key)
	r.Header.Set("Deadline", "1500")
	rec = httptest.NewRecorder()
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

func sealed(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: 7\r\nSeal: s%d\r\nContent-Length: %d\r\n\r\n%s", status, status, len(body), body)
}

// events is a stream of the events from first to last; whole says whether the end of the
// stream follows, or the beginning of an event and the end of the connection.
func events(first, last int, whole bool) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for i := first; i <= last; i++ {
		e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(e), e)
	}
	if whole {
		b.WriteString("0\r\n\r\n")
	} else {
		b.WriteString("8\r\nid: 99\nd\r\n" + thenClose) // cut off inside an event
	}
	return b.String()
}

// At the end of a script, thenClose makes the endpoint close the connection, and thenEnd makes its process end. Anywhere in
// it, thenWait makes it pause.
const (
	thenClose   = "<close>"
	thenEnd     = "<end>"
	thenWait    = "<wait>"
	scriptPause = 100 * time.Millisecond
)

const (
	refused  = "HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unsealed = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nhi"
	garbage  = "\x00\x01 nonsense\r\n\r\n"
)

// localPlacer chooses endpoints by the state of one instance, without hubs.
type localPlacer struct{ *balance.Tracker }

func (a localPlacer) Place(_ context.Context, endpoints []registry.Endpoint, r *balance.Request, _, now time.Time) (*balance.Ticket, error) {
	ticket, ok := a.Pick(endpoints, r, now)
	if !ok {
		return nil, ErrNoEndpoint
	}
	return ticket, nil
}

// limitPlacer refuses to place any request because of the limit of the client account.
type limitPlacer struct{}

func (limitPlacer) Place(context.Context, []registry.Endpoint, *balance.Request, time.Time, time.Time) (*balance.Ticket, error) {
	return nil, &LimitError{quota.Verdict{RequiredLevel: 1, RetryAt: time.Now().Add(250 * time.Millisecond)}}
}

// A request that is not placed because of a limit gets status 429 with Retry-After, and its units
// are refunded.
func TestALimitThatTheInstanceDidNotSee(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 0, sealed(200, "hi"))
	w.handler.Placer = limitPlacer{}
	rec, _ := w.ask("/safe/a", "k")
	is.Equal(rec.Code, http.StatusTooManyRequests)
	is.True(rec.Header().Get("Retry-After") != "")
	is.Equal(w.admit.returned, 1.0)
	is.Equal(len(w.got), 0)
}

func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name    string
		path    string
		dead    int
		scripts []string
		budget  int
		status  int
		sent    int // requests that reached an endpoint
		retry   bool
	}{
		{name: "an answer is passed on", path: "/once/a", scripts: []string{sealed(200, "hi")}, budget: 5, status: 200, sent: 1},
		{name: "a failure is the endpoint's", path: "/once/a", scripts: []string{sealed(500, "no")}, budget: 5, status: 500, sent: 1},
		{name: "what may have run is not repeated", path: "/once/a", scripts: []string{"", sealed(200, "hi")}, budget: 5, status: 502, sent: 1},
		{name: "garbage may have run", path: "/once/a", scripts: []string{garbage, sealed(200, "hi")}, budget: 5, status: 502, sent: 1},
		{name: "a refusal is not a run", path: "/once/a", scripts: []string{refused, sealed(200, "hi")}, budget: 5, status: 200, sent: 2},
		{name: "a refusal without a budget", path: "/once/a", scripts: []string{refused, sealed(200, "hi")}, status: 503, sent: 1, retry: true},
		{name: "a refusal by all endpoints", path: "/once/a", scripts: []string{refused, refused}, budget: 5, status: 503, sent: 2, retry: true},
		{name: "a refusal, then a break", path: "/once/a", scripts: []string{refused, ""}, budget: 5, status: 502, sent: 2},
		{name: "dead endpoints are passed over", path: "/once/a", dead: 1, scripts: []string{sealed(200, "hi")}, budget: 5, status: 200, sent: 1},
		{name: "dead endpoints only", path: "/once/a", dead: 2, budget: 5, status: 503, retry: true},
		{name: "no endpoint", path: "/once/a", budget: 5, status: 503, retry: true},
		{name: "a safe request is repeated", path: "/safe/a", scripts: []string{"", sealed(200, "hi")}, budget: 5, status: 200, sent: 2},
		{name: "after a failure too", path: "/safe/a", scripts: []string{sealed(500, "no"), sealed(200, "hi")}, budget: 5, status: 200, sent: 2},
		{name: "within the budget", path: "/safe/a", scripts: []string{sealed(500, "no"), sealed(200, "hi")}, status: 500, sent: 1},
		{name: "a failure, and no other endpoint", path: "/safe/a", scripts: []string{sealed(500, "no")}, budget: 5, status: 500, sent: 1},
		{name: "a success needs a seal", path: "/once/a", scripts: []string{unsealed, sealed(200, "hi")}, budget: 5, status: 502, sent: 1},
		{name: "a promise that was not made", path: "/once/a", scripts: []string{sealed(503, "")}, budget: 5, status: 502, sent: 1},
		{name: "no answer in time", path: "/once/a", scripts: []string{"hang"}, budget: 5, status: 504, sent: 1},
		{name: "an answer that breaks off", path: "/once/a", scripts: []string{strings.TrimSuffix(sealed(200, "hi"), "i") + thenClose}, budget: 5, status: 502, sent: 1},
		{name: "an answer that stays short", path: "/once/a", scripts: []string{strings.TrimSuffix(sealed(200, "hi"), "i")}, budget: 5, status: 504, sent: 1},
		{name: "no route", path: "/none/a", budget: 5, status: 404},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, test.dead, test.scripts...)
				w.admit.budget = test.budget
				begun := time.Now()
				rec, cut := w.ask(test.path, "k")
				is.True(!cut)
				is.Equal(rec.Code, test.status)
				is.Equal(len(w.got), test.sent)
				is.Equal(rec.Header().Get("Retry-After") != "", test.retry)
				is.True(time.Since(begun) < 1600*time.Millisecond) // an error response is sent at once
				if test.status == 503 {
					is.Equal(w.admit.returned, 1.0)
				}
				w.handler.Backends.CloseIdle()
			})
		})
	}
}

// Guards against giving a request up after a few refused connections while other endpoints work, and
// against charging the retry budget for connections that were refused.
func TestRefusedConnectionsEndNoRequest(t *testing.T) {
	for dead := range 6 {
		for _, test := range []struct {
			path    string
			scripts []string
			sent    int
		}{
			{"/once/a", []string{sealed(200, "hi")}, 1},
			{"/safe/a", []string{sealed(500, "no"), sealed(200, "hi")}, 2},
		} {
			t.Run(fmt.Sprint(test.path, " ", dead, " dead"), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newFixture(t, dead, test.scripts...)
					defer w.handler.Backends.CloseIdle()
					w.admit.budget = 1
					rec, cut := w.ask(test.path, "k")
					is.True(!cut)
					is.Equal(rec.Code, http.StatusOK)
					is.Equal(len(w.got), test.sent)
				})
			})
		}
	}
}

// Runs are counted like endpoints count them: by run for plain services, by request for model
// endpoints.
func TestRunsAreCountedAsEndpointsCountThem(t *testing.T) {
	for _, test := range []struct {
		name    string
		path    string
		scripts []string
		began   int64
	}{
		{"a plain service by run", "/safe/a", []string{sealed(500, "no"), sealed(200, "hi")}, 2},
		{"an engine that failed counts", "/stream/a", []string{sealed(500, "no")}, 1},
		{"a request counts once at engines", "/resume/a", []string{sealed(500, "no"), events(1, 9, true)}, 1},
		{"a refusal does not count", "/resume/a", []string{refused, events(1, 9, true)}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 0, test.scripts...)
				w.ask(test.path, "k")
				is.Equal(w.admit.began, test.began)
				w.handler.Backends.CloseIdle()
			})
		})
	}
}

func TestTheRemainingTimeIsPassedOn(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, sealed(500, "no"), sealed(200, "hi"))
		w.ask("/safe/a", "k")
		first, err := strconv.Atoi(w.got[0].Get("Deadline"))
		is.NoErr(err)
		second, err := strconv.Atoi(w.got[1].Get("Deadline"))
		is.NoErr(err)
		is.True(first <= 1500 && second < first && second > 1400)
		is.Equal(w.got[0].Get("Account"), "north")
		is.Equal(w.got[0].Get("Key"), "") // the API key is not passed on
		is.True(w.got[0].Get("Server") != w.got[1].Get("Server"))
		w.handler.Backends.CloseIdle()
	})
}

func TestStreams(t *testing.T) {
	for _, test := range []struct {
		name    string
		path    string
		scripts []string
		last    int
		cut     bool
		sent    int
	}{
		{"a stream is passed on", "/stream/a", []string{events(1, 9, true)}, 9, false, 1},
		{"a broken one looks broken", "/stream/a", []string{events(1, 4, false), events(1, 9, true)}, 4, true, 1},
		{"another endpoint goes on", "/resume/a", []string{events(1, 4, false), events(5, 9, true)}, 9, false, 2},
		{"events that come twice are dropped", "/resume/a", []string{events(1, 4, false), events(3, 9, true)}, 9, false, 2},
		{"nobody goes on", "/resume/a", []string{events(1, 4, false), refused, refused, refused, refused, refused, refused}, 4, true, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 0, test.scripts...)
				w.admit.budget = 9
				rec, cut := w.ask(test.path, "k")
				is.Equal(cut, test.cut)
				var want strings.Builder
				for i := 1; i <= test.last; i++ {
					fmt.Fprintf(&want, "id: %d\ndata: x\n\n", i)
				}
				is.Equal(rec.Body.String(), want.String()) // each event once, complete, in order
				is.Equal(len(w.got), test.sent)
				if test.sent == 2 {
					is.Equal(w.got[1].Get("Last"), "4")
				}
				w.handler.Backends.CloseIdle()
			})
		})
	}
}

func TestKeysAreValidOnlyWhileTheConfigurationIsConfirmed(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, sealed(200, "hi"), sealed(200, "hi"))
		rec, _ := w.ask("/once/a", "unknown")
		is.Equal(rec.Code, 401)
		time.Sleep(3 * time.Second) // the configuration is no longer fresh enough to reject
		rec, _ = w.ask("/once/a", "unknown")
		is.Equal(rec.Code, 503)
		rec, _ = w.ask("/none/a", "k")
		is.Equal(rec.Code, 503)
		rec, _ = w.ask("/once/a", "k")
		is.Equal(rec.Code, 200)
		time.Sleep(2 * time.Second) // the key may have been revoked
		rec, _ = w.ask("/once/a", "k")
		is.Equal(rec.Code, 503)
		is.True(rec.Header().Get("Retry-After") != "")
		w.handler.Backends.CloseIdle()
	})
}

func TestALimitIsAnsweredWithRetryAfter(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, sealed(200, "hi"))
		w.admit.refuse = true
		rec, _ := w.ask("/once/a", "k")
		is.Equal(rec.Code, 429)
		is.Equal(rec.Header().Get("Retry-After"), "1.000")
		is.Equal(len(w.got), 0)
	})
}

func TestABodyOverTheLimit(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, sealed(200, "hi"))
		r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/once/a", strings.NewReader(strings.Repeat("x", 1001)))
		r.Header.Set("Key", "k")
		rec := httptest.NewRecorder()
		w.handler.ServeHTTP(rec, r)
		is.Equal(rec.Code, 413)
		is.Equal(len(w.got), 0)
	})
}

// Whatever the content of events and wherever a stream is cut, only complete blocks are returned, and an event has an ID
// or data.
func FuzzNextEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\r\n\r\ndata: x\r\n\r\n")
	f.Add("data: no end")
	f.Add("data: sixteen by\n\ndata: b\n\n")
	f.Add("      \n\n")
	f.Add(strings.Repeat(": x\n", 5000))
	f.Add(strings.Repeat(": x\n\n", 5000))
	f.Add(strings.Repeat("\r\n", 10000))
	f.Add(": " + strings.Repeat("x", 20<<10))
	f.Add(strings.Repeat("id: 1\ndata: x\n\n", 2000))
	f.Add("data\n\n: x\n\nid\n\nevent: ping\n\nid: 2\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		events := &eventReader{r: bufio.NewReaderSize(strings.NewReader(text), 16)}
		whole := &eventReader{r: bufio.NewReaderSize(strings.NewReader(text), len(text)+16)}
		for range len(text) + 1 {
			e, id, isEvent, err := events.next()
			want, wantID, wantEvent, wantErr := whole.next()
			if !bytes.Equal(e, want) || id != wantID || isEvent != wantEvent || (err == nil) != (wantErr == nil) || (err == io.EOF) != (wantErr == io.EOF) {
				t.Fatalf("%q, %v in pieces, %q, %v in one", e, err, want, wantErr)
			}
			if err != nil {
				return
			}
			if isEvent && !strings.Contains(string(e), "id") && !strings.Contains(string(e), "data") {
				t.Fatalf("%q is no event", e)
			}
			if !strings.HasSuffix(string(e), "\n") || isEvent && len(strings.TrimSpace(string(e))) == 0 {
				t.Fatalf("event %q is not whole", e)
			}
		}
		t.Fatal("more events than bytes")
	})
}

// Guards against two events that are passed on as one, which clients see as a piece that is missing.
func TestEventsWithLinesOfTheSizeOfTheBufferAreNotJoined(t *testing.T) {
	const bufferSize = 4096
	for _, path := range []string{"/stream/a", "/resume/a"} {
		for _, end := range []string{"\n", "\r\n"} {
			for length := bufferSize - 2; length <= bufferSize+2; length++ {
				for _, times := range []int{1, 2} {
					line := "data:" + strings.Repeat("x", times*length-len("data:"))
					body := "id:1" + end + line + end + end + "id:2" + end + "data:y" + end + end
					w := newFixture(t, 0, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 7\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
					rec, cut := w.ask(path, "k")
					if cut || rec.Body.String() != body {
						t.Errorf("line of %d bytes that ends with %q on %s: %d bytes of %d passed on", times*length, end, path, rec.Body.Len(), len(body))
					}
				}
			}
		}
	}
}

// Guards against events that come twice, or go back, where an endpoint begins the rest of a stream with events that the client has.
func TestAStreamThatAClientResumesRepeatsNoEvent(t *testing.T) {
	for name, scripts := range map[string][]string{
		"one endpoint":          {events(1, 4, true)},
		"another one goes on":   {events(2, 3, false), events(1, 4, true)},
		"nothing new, then all": {events(1, 2, false), events(2, 4, true)},
	} {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 0, scripts...)
				defer w.handler.Backends.CloseIdle()
				w.handler.Origins.Began(origin.Record{Service: "svc"})
				r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/resume/a", strings.NewReader("body"))
				for name, value := range map[string]string{"Id": "7", "Key": "k", "Deadline": "1500", "Last": "2"} {
					r.Header.Set(name, value)
				}
				rec := httptest.NewRecorder()
				w.handler.ServeHTTP(rec, r)
				is.Equal(rec.Body.String(), "id: 3\ndata: x\n\nid: 4\ndata: x\n\n")
				is.Equal(w.got[0].Get("Last"), "2")
			})
		})
	}
}

// pauseBetweenEvents returns how long after the first event of a stream its second one reaches the client.
func pauseBetweenEvents(t *testing.T, script string) time.Duration {
	t.Helper()
	is := is.New(t)
	w := newFixture(t, 0, script)
	s := httptest.NewServer(w.handler)
	defer s.Close()
	r, err := http.NewRequest(http.MethodPost, s.URL+"/stream/a", strings.NewReader("body"))
	is.NoErr(err)
	r.Host = testHost
	for name, value := range map[string]string{"Id": "7", "Key": "k", "Deadline": "1500"} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	var read []time.Time
	for range 6 {
		_, err := in.ReadString('\n')
		is.NoErr(err)
		read = append(read, time.Now())
	}
	return read[5].Sub(read[2])
}

// Guards against an event that is held back while its endpoint takes its time for the next one, of which some has come.
func TestAnEventIsSentBeforeTheNextOneIsWhole(t *testing.T) {
	head, _, _ := strings.Cut(events(1, 1, true), "f\r\n")
	for name, script := range map[string]string{
		"chunks":     head + "13\r\nid: 1\ndata: x\n\nid: \r\n" + thenWait + "b\r\n2\ndata: x\n\n\r\n0\r\n\r\n",
		"connection": untilClose("text/event-stream", threeEvents[:20]+thenWait+threeEvents[20:]),
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(pauseBetweenEvents(t, script) > scriptPause/2)
		})
	}
}

// Guards against an event that is held back while its endpoint pauses inside the chunk of the next one.
func TestAnEventIsSentBeforeTheNextChunkIsWhole(t *testing.T) {
	two := events(1, 2, true)
	at := strings.Index(two, "id: 2") + len("id: 2")
	is.New(t).True(pauseBetweenEvents(t, two[:at]+thenWait+two[at:]) > scriptPause/2)
}
