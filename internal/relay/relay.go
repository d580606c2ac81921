// Package relay takes accepted requests through to their whole answers.
//
// It places the second copy or the claim, runs the request at endpoints,
// resumes it elsewhere when an endpoint breaks or leaves, lets callers follow
// an answer from any entry instance, takes records over from dead owners, and
// hands its own over when this instance leaves. Decisions come from the pure
// packages; Relay is the shell that carries them out. It is safe for
// concurrent use.
package relay

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Peers calls other entry instances.
type Peers interface {
	Call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Answer, error)
	Follow(ctx context.Context, addr netip.AddrPort, call *peerpb.Call, each func(*peerpb.Answer) (bool, error)) error
}

// Endpoints calls engines and services.
type Endpoints interface {
	// Look returns why no connection to an endpoint can be made, or nil.
	Look(ctx context.Context, addr netip.AddrPort) error
	Generate(ctx context.Context, addr netip.AddrPort, g *endpoint.Generate, hear endpoint.Observe) (*endpoint.Stream, error)
	Import(ctx context.Context, addr netip.AddrPort, m endpoint.Import, hear endpoint.Observe) (endpoint.Export, error)
	Call(ctx context.Context, addr netip.AddrPort, path, contentType, key string, body []byte, hear endpoint.Observe) (endpoint.ServiceAnswer, error)
}

// Control is the control goroutine as seen from traffic.
type Control interface {
	Snapshot() *control.Snapshot
	Send(ctx context.Context, e control.Event)
}

// Options are what a relay is made of.
type Options struct {
	Self      string // node ID
	Hall      string
	Peers     Peers
	Endpoints Endpoints
	Control   Control
	Log       *zap.Logger
	Metrics   *metrics.Metrics
	Clock     *clock.Clock // may be nil
	Seed      uint64       // of the relay's random numbers
	Switches  Switches
}

// Switches turn single mechanisms off, to show in a test or a measurement
// what each is for. In serving all are on.
type Switches struct {
	NoSecondCopy bool // accept without a second copy
	NoClaim      bool // run requests that may not be repeated without a claim
	NoTakeOver   bool // leave the records of dead owners alone
	NoHandover   bool // leave without handing over
}

// Relay carries requests.
type Relay struct {
	Options
	store  *record.Store
	policy atomic.Pointer[namedPolicy]
	ctx    context.Context // ends with the relay
	stop   context.CancelFunc
	wait   sync.WaitGroup

	keeperMu sync.Mutex
	keeper   *claim.Keeper // guarded by keeperMu

	installedAt time.Time // when the keeper's view was installed; guarded by keeperMu

	rndMu sync.Mutex
	rnd   *rand.Rand // guarded by rndMu

	runMu   sync.Mutex
	runs    map[string]*run             // requests that run here; guarded by runMu
	updated map[*record.Record]struct{} // records with news for their holder; guarded by runMu

	suspects *suspects
	limits   *ratelimit.Table

	retryMu sync.Mutex
	retries map[string]*retryBudget // by class; guarded by retryMu

	draining atomic.Bool // whether records are being handed over
}

type namedPolicy struct {
	name   string
	policy route.Policy
}

// run is a request that runs here.
type run struct {
	rec      *record.Record
	endpoint *route.Endpoint // guarded by Relay.runMu
	cancel   context.CancelCauseFunc
	moveTo   *route.Endpoint // where to go on after a move; guarded by Relay.runMu
}

// New returns a relay.
func New(o Options) *Relay {
	r := &Relay{
		Options: o, store: record.NewStore(), keeper: claim.NewKeeper(o.Self),
		rnd:  rand.New(rand.NewPCG(o.Seed, 0x5bd1e995)),
		runs: make(map[string]*run), updated: make(map[*record.Record]struct{}),
		retries: make(map[string]*retryBudget), suspects: newSuspects(),
	}
	r.limits = newLimits(r)
	r.policy.Store(&namedPolicy{route.PolicyDefault, route.New(route.PolicyDefault)})
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Close ends all that runs and waits for it.
func (r *Relay) Close() {
	r.stop()
	r.wait.Wait()
}

// Store returns the records.
func (r *Relay) Store() *record.Store { return r.store }

// Claims returns the number of claims kept here.
func (r *Relay) Claims() int {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	return r.keeper.Len()
}

// KeeperReady reports whether this instance knows the claims it keeps.
func (r *Relay) KeeperReady() bool {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	return r.keeper.Ready()
}

func (r *Relay) snap() *control.Snapshot { return r.Control.Snapshot() }

func (r *Relay) draw() uint64 {
	r.rndMu.Lock()
	defer r.rndMu.Unlock()
	return r.rnd.Uint64()
}

func (r *Relay) event(c event.Code, fields ...zap.Field) {
	event.Log(r.Log, c, fields...)
	r.Metrics.Event(int(c))
}

// broken reports a broken promise.
func (r *Relay) broken(what string, rec *record.Record) {
	r.event(event.InvariantBroken, zap.String("invariant", what), zap.String("request", rec.ID))
}

func (r *Relay) routing(name string) route.Policy {
	p := r.policy.Load()
	if p.name != name {
		p = &namedPolicy{name, route.New(name)}
		r.policy.Store(p)
	}
	return p.policy
}

// retryAfter is when a refused caller should come back.
const retryAfter = time.Second

// Submit accepts a request and starts it, or attaches to the one that already
// has its id. After it returns nil, Follow gives the answer. An error says
// that the request was refused.
func (r *Relay) Submit(ctx context.Context, req record.Request) error {
	now := r.Clock.Now()
	if old, ok := r.store.Get(req.ID); ok {
		return sameRequest(old.Digest, req)
	}
	s := r.snap()
	if s.Leaving || r.draining.Load() {
		return fault.New(fault.StepAdmit, "", fault.KindRefused, notRunIf(req.Fresh), "this instance is leaving; ask another").Retry(now)
	}
	if r.store.Len() >= s.Table.System.Records {
		return fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(req.Fresh), "too many requests are held").Retry(now.Add(retryAfter))
	}
	if !now.Before(req.Deadline) {
		return fault.New(fault.StepAdmit, "", fault.KindTimeout, notRunIf(req.Fresh), "the deadline has passed")
	}
	if !req.Fresh && req.Repeatable { // a claim finds earlier attempts by itself
		if where, ok := r.locate(ctx, req.ID); ok {
			return sameRequest(where.digest, req)
		}
	}
	rec, added := r.store.Add(record.New(req, r.Self))
	if !added {
		return sameRequest(rec.Digest, req)
	}
	err := r.accept(ctx, rec)
	if err == errTaken {
		r.store.Remove(rec)
		rec.SetOwner("") // who follows it looks for the other attempt
		return nil
	}
	if err != nil {
		r.store.Remove(rec)
		rec.Finish(record.Result{Failure: fault.As(err)})
		return err
	}
	return nil
}

// accept places the second copy or wins the claim and starts the request.
func (r *Relay) accept(ctx context.Context, rec *record.Record) error {
	if !rec.Repeatable {
		return r.acceptOnce(ctx, rec)
	}
	var req *route.Request
	if rec.Kind == record.KindModel {
		var err error
		if req, err = r.canMakeIt(rec); err != nil {
			return err
		}
	}
	if !r.Switches.NoSecondCopy {
		if err := r.placeSecond(ctx, rec); err != nil {
			return err
		}
	}
	r.start(rec, req)
	return nil
}

// canMakeIt refuses at once a model call that no endpoint would begin to
// answer before its deadline. It returns what routing has to know of the call.
func (r *Relay) canMakeIt(rec *record.Record) (*route.Request, error) {
	now := r.Clock.Now()
	class, pool, err := r.modelPool(rec)
	if err != nil {
		return nil, err
	}
	req := r.routeRequest(rec, class)
	d, ok := r.routing(r.snap().Table.System.Policy).Choose(pool, req, now)
	if !ok {
		return nil, fault.New(fault.StepRoute, "", fault.KindRefused, notRunIf(rec.Fresh), "no endpoint serves the model").Retry(now.Add(retryAfter))
	}
	if wait, late := shed(rec, class, d); late {
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(rec.Fresh), "it could not be answered by its target").Retry(now.Add(max(wait, retryAfter)))
	}
	end := now.Add(d.FirstToken + time.Duration(rec.MaxTokens)*d.Endpoint.Load().Step)
	if end.After(rec.Deadline) {
		wait := min(end.Sub(rec.Deadline), time.Minute)
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(rec.Fresh), "it could not be answered by its deadline").Retry(now.Add(max(wait, retryAfter)))
	}
	return req, nil
}

// overShare is the share of its target that a call of an account over its fair
// share may wait; the rest is kept for the other accounts.
const overShare = 0.5

// shed reports whether a call would come too late to be worth running, and by
// how much.
func shed(rec *record.Record, class *table.Class, d route.Decision) (by time.Duration, late bool) {
	if class.MayBeLate {
		return 0, false
	}
	limit := class.Target
	if rec.OverShare {
		limit = time.Duration(overShare * float64(class.Target))
	}
	// What the call itself needs cannot be waited away.
	wait := d.FirstToken - time.Duration(d.Uncached)*d.Endpoint.Load().PerToken
	if d.FirstToken <= class.Target && wait <= limit {
		return 0, false
	}
	return max(d.FirstToken-class.Target, wait-limit), wait > d.Endpoint.Load().Step
}

// notRunIf returns NotRun for a request that cannot have been tried before.
// For a key that the caller chose, an earlier attempt may exist elsewhere.
func notRunIf(fresh bool) fault.Run {
	if fresh {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

func sameRequest(digest uint64, req record.Request) error {
	if digest != req.Digest {
		return fault.New(fault.StepAdmit, "", fault.KindConflict, fault.NotRun, "the Idempotency-Key is in use for another request")
	}
	return nil
}

// Digest returns the hash of what a caller asked for, by which a repeat under
// the same key is told from another request.
func Digest(parts ...[]byte) uint64 {
	d := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = d.Write(n[:])
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

func (r *Relay) class(rec *record.Record) (*table.Class, error) {
	c, ok := r.snap().Table.ClassNamed(rec.Class)
	if !ok {
		return nil, fault.New(fault.StepRoute, "", fault.KindNotFound, notRunIf(rec.Fresh && !rec.Sent()), "class %s is no longer in the table", rec.Class)
	}
	return c, nil
}
