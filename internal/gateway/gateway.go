// Package gateway is the HTTP side towards callers and operators.
//
// It authenticates, turns requests into records, hands them to the relay and
// writes answers out as they come. It keeps nothing between requests but the
// counters of limits. Gateway is safe for concurrent use.
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

// Relay runs requests.
type Relay interface {
	Submit(ctx context.Context, req record.Request) error
	Follow(ctx context.Context, id string, from int, each func(relay.Chunk) error) error
}

// Operator is what operators' calls need.
type Operator interface {
	Edit(ctx context.Context, e table.Edit) (table.Accepted, error)
	History(ctx context.Context, limit int) ([]table.Accepted, error)
	Status(ctx context.Context) Status
}

// Options are what a gateway is made of.
type Options struct {
	Snapshot func() *control.Snapshot
	Relay    Relay
	Operator Operator
	Ready    func() error
	Metrics  http.Handler
	Clock    *clock.Clock // may be nil
}

// Gateway serves callers and operators.
type Gateway struct {
	Options
	mux *http.ServeMux

	mu     sync.Mutex
	limits *admit.Limiter // guarded by mu
}

// Limits of what one request may bring.
const (
	maxModelBody   = 4 << 20
	maxServiceBody = 1 << 20
	bodyTimeout    = 10 * time.Second
)

var useProblemsOnce sync.Once

// New returns a gateway.
func New(o Options) *Gateway {
	useProblemsOnce.Do(useProblems)
	g := &Gateway{Options: o, mux: http.NewServeMux(), limits: admit.New()}
	c := huma.DefaultConfig("shelfcrank", "1")
	c.DocsPath = ""
	c.CreateHooks = nil // no links to schemas in answers
	api := humago.New(g.mux, c)
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
		id, _ := identify("", "") // of an answer to a request that is not accepted
		w.Header().Set("Request-Id", id)
	}
	g.mux.ServeHTTP(w, r)
}

func (g *Gateway) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := g.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Usage returns the use of limits for the heartbeat.
func (g *Gateway) Usage(now time.Time) []admit.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Usage(now)
}

// Auth is the header that names the client account.
type Auth struct {
	Authorization string `header:"Authorization" doc:"Bearer KEY; the key names the client account."`
}

// account returns the account that a key names. Keys are looked up by their
// hash, so that the time taken says nothing about any key.
func (g *Gateway) account(a Auth) (*table.View, *table.Account, error) {
	v := g.Snapshot().Table
	if v == nil {
		return nil, nil, fault.New(fault.StepAuth, "", fault.KindRefused, fault.NotRun, "no table yet").Retry(g.Clock.Now().Add(time.Second))
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

// CallHeaders are the headers of calls that run something.
type CallHeaders struct {
	Auth
	Key      string `header:"Idempotency-Key" maxLength:"200" doc:"A repeat under the same key gets the first one's answer."`
	Deadline string `header:"Request-Deadline" doc:"RFC 3339; the request is given up on then."`
}

const idBytes = 16

// identify returns the id of a request: made from the account and the caller's
// key, so that it is the same at every entry instance, or new.
func identify(account, key string) (id string, fresh bool) {
	if key == "" {
		var b [idBytes]byte
		_, _ = rand.Read(b[:]) // never fails
		return "r" + hex.EncodeToString(b[:]), true
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "k" + hex.EncodeToString(sum[:idBytes]), false
}

// begin makes the parts that all records share. path is matched to a class.
func (g *Gateway) begin(h CallHeaders, path string) (record.Request, *table.Account, *table.Class, error) {
	var req record.Request
	v, acc, err := g.account(h.Auth)
	if err != nil {
		return req, nil, nil, err
	}
	class, ok := v.Class(path)
	if !ok {
		return req, nil, nil, fault.New(fault.StepParse, "", fault.KindNotFound, fault.NotRun, "no class of the table matches %s", path)
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
	id, fresh := identify(acc.Name, h.Key)
	return record.Request{
		ID: id, Account: acc.Name, Class: class.Name, Priority: class.Priority,
		Deadline: deadline, Arrived: now, Repeatable: class.Repeatable, Fresh: fresh,
	}, acc, class, nil
}

// submit takes a request through the account's limits to the relay. The
// returned function ends its use of the limits.
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
		if !req.Fresh {
			run = fault.MayHaveRun // an earlier attempt may exist
		}
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, run, "%s of the account is reached", v.Limit).Retry(v.RetryAt)
	}
	end := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.limits.Done(acc.Name)
	}
	if err := g.Relay.Submit(ctx, req); err != nil {
		end()
		return nil, err
	}
	return end, nil
}
