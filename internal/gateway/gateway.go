// Package gateway is the HTTP API for clients and operators.
//
// It authenticates calls, turns them into requests for the relay and streams
// the responses back. The only state it keeps between calls is the usage of
// the client accounts' limits. Gateway is safe for concurrent use.
package gateway

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Relay runs requests on endpoints.
type Relay interface {
	// Submit accepts a request for execution.
	Submit(ctx context.Context, req record.Request) error
	// Follow calls each with the parts of a request's response, starting at
	// token number from, until the response is complete, each returns an error
	// or ctx ends.
	Follow(ctx context.Context, id string, from int, each func(relay.Chunk) error) error
}

// Operator implements the operator API: edits of the table, their history and
// the status of the system.
type Operator interface {
	Edit(ctx context.Context, e table.Edit) (table.Accepted, error)
	History(ctx context.Context, limit int) ([]table.Accepted, error)
	Status(ctx context.Context) Status
}

// Options holds the dependencies of a Gateway.
type Options struct {
	Snapshot func() *control.Snapshot
	Relay    Relay
	Operator Operator
	Ready    func() error
	Metrics  http.Handler
	Clock    *clock.Clock // may be nil
}

// Gateway is the HTTP handler of the client and operator API.
type Gateway struct {
	Options
	mux *http.ServeMux

	mu     sync.Mutex
	limits *admit.Limiter // guarded by mu
}

// Limits on the body of one request, in bytes, and on the time to read it.
const (
	maxModelBody   = 4 << 20
	maxServiceBody = 1 << 20
	bodyTimeout    = 10 * time.Second
)

var installProblemsOnce sync.Once

// New returns a Gateway with all routes registered. The first call also
// replaces huma's global error constructor.
func New(o Options) *Gateway {
	installProblemsOnce.Do(installProblems)
	g := &Gateway{Options: o, mux: http.NewServeMux(), limits: admit.New()}
	c := huma.DefaultConfig("shelfcrank", "1")
	c.DocsPath = ""
	c.CreateHooks = nil // no schema links in responses
	api := humago.New(g.mux, c)
	api.UseMiddleware(g.requireKey)
	g.registerModels(api)
	g.registerServices(api)
	g.registerRequests(api)
	g.registerOperators(api)
	g.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	g.mux.HandleFunc("GET /readyz", g.readyz)
	g.mux.Handle("GET /metrics", o.Metrics)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.Snapshot().Leaving {
		w.Header().Set("Connection", "close")
	}
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		id, _ := requestID("", "") // default id, for responses to requests that are not accepted
		w.Header().Set("Request-Id", id)
	}
	g.mux.ServeHTTP(w, r)
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := g.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Usage returns how much of its limits each client account uses at this
// instance. The heartbeat reports it to the other entry instances.
func (g *Gateway) Usage(now time.Time) []admit.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Usage(now)
}

// Auth is the header that carries the key of the client account.
type Auth struct {
	Authorization string `header:"Authorization" doc:"Bearer KEY; the key names the client account."`
}

// authenticate returns the current table and the client account that the key
// in the header belongs to. Keys are looked up by their hash, so that the time
// taken reveals nothing about valid keys.
func (g *Gateway) authenticate(a Auth) (*table.View, *table.Account, error) {
	v := g.Snapshot().Table
	if v == nil {
		return nil, nil, fault.New(fault.StepAuth, "", fault.KindRefused, fault.NotRun, "no table loaded yet").WithRetryAt(g.Clock.Now().Add(time.Second))
	}
	key, ok := strings.CutPrefix(a.Authorization, "Bearer ")
	if !ok || key == "" {
		return nil, nil, fault.New(fault.StepAuth, "", fault.KindUnauthorised, fault.NotRun, "Authorization: Bearer KEY is missing")
	}
	sum := sha256.Sum256([]byte(key))
	acc, ok := v.Account(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, nil, fault.New(fault.StepAuth, "", fault.KindUnauthorised, fault.NotRun, "unknown key")
	}
	return v, acc, nil
}

// unreadTimeout is how long a client that was refused may take to send the rest of its body, some of which the server
// reads so that the client sees the response, and to read the response.
const unreadTimeout = time.Second

// requireKey refuses calls without a valid key before any of their body is read and decoded.
func (g *Gateway) requireKey(hc huma.Context, next func(huma.Context)) {
	if _, _, err := g.authenticate(Auth{hc.Header("Authorization")}); err != nil {
		_, w := humago.Unwrap(hc)
		unread := g.Clock.ToMonotonic(g.Clock.Now().Add(unreadTimeout))
		control := http.NewResponseController(w) // its calls fail for the response recorder of tests
		_ = control.SetReadDeadline(unread)
		_ = control.SetWriteDeadline(unread.Add(unreadTimeout))
		writeProblem(hc, g.newProblem(err))
		return
	}
	next(hc)
}

// CallHeaders are the headers of model and service calls.
type CallHeaders struct {
	Auth
	Key      string `header:"Idempotency-Key" maxLength:"200" doc:"A repeat under the same key gets the first one's answer."`
	Deadline string `header:"Request-Deadline" doc:"RFC 3339; the request is given up on then."`
}

const idBytes = 16

// requestID returns the id of a request. With an idempotency key the id is a
// hash of account and key, so that every entry instance derives the same one;
// without a key the id is random, and generated is true.
func requestID(account, key string) (id string, generated bool) {
	if key == "" {
		var b [idBytes]byte
		_, _ = rand.Read(b[:]) // never fails
		return "r" + hex.EncodeToString(b[:]), true
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:idBytes]), false
}

// newRequest authenticates a call, matches path to a class of the table and
// returns a request with the fields that model and service calls share.
func (g *Gateway) newRequest(h CallHeaders, path string) (record.Request, *table.Account, *table.Class, error) {
	var req record.Request
	v, acc, err := g.authenticate(h.Auth)
	if err != nil {
		return req, nil, nil, err
	}
	class, ok := v.Class(path)
	if !ok {
		return req, nil, nil, fault.New(fault.StepParse, "", fault.KindNotFound, fault.NotRun, "no request class of the table matches %s", path)
	}
	now := g.Clock.Now()
	deadline := now.Add(class.Deadline)
	if h.Deadline != "" {
		d, err := time.Parse(time.RFC3339, h.Deadline)
		if err != nil {
			return req, nil, nil, fault.New(fault.StepParse, "", fault.KindInput, fault.NotRun, "Request-Deadline: %w", err)
		}
		if !d.After(now) {
			return req, nil, nil, fault.New(fault.StepParse, "", fault.KindInput, fault.NotRun, "Request-Deadline has passed")
		}
		deadline = d
	}
	id, generated := requestID(acc.Name, h.Key)
	return record.Request{
		ID: id, Account: acc.Name, Class: class.Name, Priority: class.Priority,
		Deadline: deadline, ArrivedAt: now, Repeatable: class.Repeatable, GeneratedID: generated,
	}, acc, class, nil
}

// submit checks a request against the limits of its account and submits it to
// the relay. work is what it counts against the account's token limit. The
// caller must call the returned function when the request ends: until then it
// counts as open.
func (g *Gateway) submit(ctx context.Context, req record.Request, acc *table.Account, work int) (func(), error) {
	now := g.Clock.Now()
	s := g.Snapshot()
	g.mu.Lock()
	v := g.limits.Admit(acc, work, s.Demand[acc.Name], now)
	if req.Kind == record.KindModel {
		req.OverShare = g.limits.OverShare(acc.Name, s.Table.Weight, s.Demand, now)
	}
	g.mu.Unlock()
	if !v.OK {
		run := fault.NotRun
		if !req.GeneratedID {
			run = fault.MayHaveRun // an earlier request with the same idempotency key may have run
		}
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, run, "limit %s of the client account is reached", v.Limit).WithRetryAt(v.RetryAt)
	}
	release := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.limits.Done(acc.Name)
	}
	if err := g.Relay.Submit(ctx, req); err != nil {
		release()
		return nil, err
	}
	return release, nil
}
