package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// overloadPlacer refuses every request that a hub may refuse, and places the others.
type overloadPlacer struct {
	localPlacer
	wait     time.Duration // until the client should return; 0 to tell no time
	requests []balance.Request
}

func (a *overloadPlacer) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	a.requests = append(a.requests, *r)
	if r.NoRefusal {
		return a.localPlacer.Place(ctx, endpoints, r, until, now)
	}
	e := &OverloadError{Hub: "h1", Reason: "full", FirstAt: now.Add(3 * time.Second), Occupancy: 0.9, Waiting: 12, ReportAge: 40 * time.Millisecond, Returned: true}
	if a.wait != 0 {
		e.RetryAt = now.Add(a.wait)
	}
	return nil, e
}

// A refusal for lack of capacity must tell the client that the request was not run, when to return,
// and not cost its account; its log line must have the inputs of the decision.
func TestARefusalForLackOfCapacity(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 0, sealed(200, "hi"))
		core, logs := observer.New(zapcore.InfoLevel)
		w.handler.Log = zap.New(core)
		placer := &overloadPlacer{wait: 320 * time.Millisecond}
		w.handler.Placer = placer
		rec, _ := w.ask("/safe/a", "k")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(rec.Header().Get("Retry-After"), "0.320")
		is.Equal(w.admit.returned, 1.0)
		is.Equal(len(w.got), 0)
		is.Equal(len(placer.requests), 1) // not asked again for the same attempt of the client
		line := logs.FilterField(zap.Int("event", int(event.ForwardRefused))).All()
		is.Equal(len(line), 1)
		fields := line[0].ContextMap()
		for name, want := range map[string]any{
			"reason": "full", "forecast": 3 * time.Second, "target": time.Duration(0), "occupancy": 0.9, "waiting": int64(12),
			"report_age": 40 * time.Millisecond, "retry": 320 * time.Millisecond, "returned": true, "hub": "h1", "may_have_run": false,
		} {
			if got := fields[name]; got != want {
				t.Errorf("%s is %v, want %v", name, got, want)
			}
		}
		// Without a time, a client that gets no Retry-After would return at once, and clients that get the
		// same one would return together.
		placer.wait = 0
		rec, _ = w.ask("/safe/a", "k")
		seconds, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds >= waitNoEndpoint.Seconds()/2 && seconds <= waitNoEndpoint.Seconds())
		waits := make(map[time.Duration]bool)
		for i := range 100 {
			waits[spread(waitNoEndpoint, strconv.Itoa(i))] = true
		}
		is.True(len(waits) > 90)
		// A time that has passed is not sent as 0 or as a negative number.
		placer.wait = -time.Second
		rec, _ = w.ask("/safe/a", "k")
		is.Equal(rec.Header().Get("Retry-After"), "0.001")
	})
}

// refuseLater places the first attempt of a request and refuses to place others unless they state
// that they were placed before.
type refuseLater struct {
	overloadPlacer
	placed bool
}

func (a *refuseLater) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	if !a.placed {
		a.placed = true
		a.requests = append(a.requests, *r)
		return a.localPlacer.Place(ctx, endpoints, r, until, now)
	}
	return a.overloadPlacer.Place(ctx, endpoints, r, until, now)
}

// Once admitted, a request must not be refused for lack of capacity because its endpoint failed,
// refused it or could not be reached, and a stream that broke off must not be given up for it.
func TestFurtherAttemptsAreNotRefusedForLackOfCapacity(t *testing.T) {
	for _, test := range []struct {
		name    string
		path    string
		dead    int
		scripts []string
	}{
		{"refused by an endpoint", "/once/a", 0, []string{refused, sealed(200, "hi")}},
		{"an endpoint broke off", "/safe/a", 0, []string{"", sealed(200, "hi")}},
		{"a stream broke off", "/resume/a", 0, []string{events(1, 2, false), events(3, 4, true)}},
	} {
		is := is.New(t)
		w := newFixture(t, test.dead, test.scripts...)
		placer := &refuseLater{overloadPlacer: overloadPlacer{localPlacer: w.handler.Placer.(localPlacer)}}
		w.handler.Placer = placer
		rec, cut := w.ask(test.path, "k")
		t.Log(test.name)
		is.Equal(rec.Code, 200)
		is.True(!cut)
		is.Equal(len(placer.requests), 2)
		is.True(!placer.requests[0].NoRefusal)
		is.True(placer.requests[1].NoRefusal)
	}
}

// The properties by which hubs decide: the client's clock for silence and the deadline of the request
// both limit for how long a first event is of use.
func TestSchedulingProperties(t *testing.T) {
	arrived := time.Unix(1000, 0)
	route := func(kind policy.Kind, silence time.Duration) *policy.Route {
		return &policy.Route{Kind: kind, MaxSilence: silence}
	}
	for _, test := range []struct {
		name   string
		route  *policy.Route
		target time.Duration
		latest time.Duration
	}{
		{"no stream", route(policy.Safe, 0), 0, 15 * time.Second},
		{"a stream", route(policy.Streaming, 3*time.Second), 800 * time.Millisecond, 3 * time.Second},
		{"a stream with a short deadline", route(policy.Streaming, time.Minute), 0, 15 * time.Second},
		{"a stream without a known limit", route(policy.Streaming, 0), 0, 15 * time.Second},
	} {
		is := is.New(t)
		test.route.TargetLatency = test.target
		q := &request{arrived: arrived, deadline: arrived.Add(15 * time.Second), route: test.route, priority: 3, account: &policy.Account{Name: "north"}, meta: Meta{OutputTokens: 80}}
		var h Handler
		b := h.balanceRequest(q, nil)
		t.Log(test.name)
		is.Equal(b.Latest, arrived.Add(test.latest))
		is.Equal(b.Target.IsZero(), test.target == 0)
		if test.target > 0 {
			is.Equal(b.Target, arrived.Add(test.target))
		}
		is.Equal(b.Priority, 3)
		is.Equal(b.Payer, "north")
		is.Equal(b.OutputTokens, 80)
		is.Equal(b.Fingerprint, uint64(0)) // fingerprints are off
		is.Equal(b.Account, "")            // it has no limit
		h.Fingerprints = true
		is.True(h.balanceRequest(q, nil).Fingerprint != 0)
	}
}

// A repetition must be recognized although its ID, deadline and instance differ, and no other request
// may be taken for it.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	of := func(change func(q *request)) uint64 {
		q := &request{
			method: "POST", host: "shop.example", uri: "/safe/a", body: payload.Of([]byte("body")), account: &policy.Account{Name: "north"},
			meta: Meta{ID: "1", PromptTokens: 10, OutputTokens: 20, Parts: []Part{{ID: "shared", Tokens: 4}, {ID: "own", Tokens: 6}}},
		}
		change(q)
		return q.repetitionHash()
	}
	original := of(func(*request) {})
	is.Equal(of(func(q *request) {
		q.meta.ID, q.meta.Timeout, q.meta.HasTimeout = "2", time.Second, true
		q.arrived, q.deadline = time.Unix(5, 0), time.Unix(6, 0)
		q.header = http.Header{"Request-Id": {"2"}}
	}), original)
	seen := map[uint64]string{original: "the original"}
	for name, change := range map[string]func(q *request){
		"account":       func(q *request) { q.account = nil },
		"method":        func(q *request) { q.method = "GET" },
		"host":          func(q *request) { q.host = "other.example" },
		"URI":           func(q *request) { q.uri = "/safe/b" },
		"boundary":      func(q *request) { q.host, q.uri = "shop.example/", "safe/a" },
		"last part":     func(q *request) { q.meta.Parts[1].ID = "other" },
		"prompt tokens": func(q *request) { q.meta.PromptTokens = 11 },
		"output tokens": func(q *request) { q.meta.OutputTokens = 21 },
		"body":          func(q *request) { q.body = payload.Of([]byte("else")) },
	} {
		f := of(change)
		if other := seen[f]; other != "" {
			t.Errorf("a request with another %s has the fingerprint of %s", name, other)
		}
		seen[f] = name
	}
}
