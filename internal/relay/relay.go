// Package relay runs accepted requests until their answers are complete.
//
// Before it starts a request, it stores a second copy of the record at another
// instance or, for a request that may not be repeated, claims its key. It runs
// the request at endpoints, resumes it at another one when an endpoint fails or
// leaves, and lets callers follow an answer from any entry instance. It takes
// over the records of dead instances, and hands over its own when this instance
// leaves. Decisions are made by packages without I/O (route, claim, drain,
// quarantine, ratelimit), and Relay carries them out. Relay is safe for
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
	"github.com/shelfcrank/shelfcrank/internal/quarantine/gate"
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
	// Probe returns nil if the endpoint answers an HTTP request, whatever its status, or else why it
	// cannot be reached.
	Probe(ctx context.Context, addr netip.AddrPort) error
	Generate(ctx context.Context, addr netip.AddrPort, g *endpoint.Generate, observe endpoint.Observe) (*endpoint.Stream, error)
	Import(ctx context.Context, addr netip.AddrPort, m endpoint.Import, observe endpoint.Observe) (endpoint.Export, error)
	Call(ctx context.Context, addr netip.AddrPort, path, contentType, key string, body []byte, observe endpoint.Observe) (endpoint.ServiceAnswer, error)
}

// Control is the part of the control loop that the relay uses.
type Control interface {
	Snapshot() *control.Snapshot
	Send(ctx context.Context, e control.Event)
}

// Options configure a Relay.
type Options struct {
	Self      string // instance ID
	Hall      string
	Peers     Peers
	Endpoints Endpoints
	Control   Control
	Log       *zap.Logger
	Metrics   *metrics.Metrics
	Clock     *clock.Clock // may be nil
	Seed      uint64       // seed of the relay's random numbers
	Switches  Switches
}

// Switches turn off single mechanisms, so that tests and measurements can show the effect of each.
// The zero value, with all mechanisms on, is used in production.
type Switches struct {
	NoSecondCopy bool // accept without a second copy
	NoClaim      bool // run requests that may not be repeated without a claim
	NoTakeOver   bool // do not take over the records of dead instances
	NoHandover   bool // do not hand over records when leaving
}

// Relay runs the requests of one entry instance. New makes one and Close ends it.
type Relay struct {
	Options
	store  *record.Store
	policy atomic.Pointer[namedPolicy]
	ctx    context.Context // cancelled by Close
	stop   context.CancelFunc
	wait   sync.WaitGroup

	replicaMu sync.Mutex
	replica   *claim.Replica // guarded by replicaMu

	installedAt time.Time // when the replica's view was installed; guarded by replicaMu

	rndMu sync.Mutex
	rnd   *rand.Rand // guarded by rndMu

	runMu   sync.Mutex
	runs    map[string]*run             // requests that run here; guarded by runMu
	updated map[*record.Record]struct{} // records with updates for the holder of their second copy; guarded by runMu

	suspects *suspects
	limits   *ratelimit.Table

	retryMu sync.Mutex
	retries map[string]*retryBudget // by class; guarded by retryMu

	draining atomic.Bool // set when this instance begins to leave: no new requests are accepted
}

// namedPolicy is the routing policy in use and the name by which the table selects it.
type namedPolicy struct {
	name   string
	policy route.Policy
}

// run is a request that this instance runs now.
type run struct {
	rec      *record.Record
	endpoint *route.Endpoint // guarded by Relay.runMu
	cancel   context.CancelCauseFunc
	moveTo   *route.Endpoint // endpoint for the next attempt, nil to let the policy choose; guarded by Relay.runMu
}

func New(o Options) *Relay {
	r := &Relay{
		Options: o, store: record.NewStore(), replica: claim.NewReplica(o.Self),
		rnd:  rand.New(rand.NewPCG(o.Seed, 0x5bd1e995)),
		runs: make(map[string]*run), updated: make(map[*record.Record]struct{}),
		retries: make(map[string]*retryBudget), suspects: newSuspects(),
	}
	r.suspects.gate = &gate.Gate{Table: r.suspects.table, Clock: r.Clock, Broadcast: r.broadcastSuspects}
	r.limits = newLimits(r)
	r.policy.Store(&namedPolicy{route.PolicyDefault, route.New(route.PolicyDefault)})
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Close cancels all runs and background calls and waits for them.
func (r *Relay) Close() {
	r.stop()
	r.wait.Wait()
}

// Store returns the records that this instance owns or keeps a second copy of.
func (r *Relay) Store() *record.Store { return r.store }

// Claims returns the number of claims that this instance holds as a replica.
func (r *Relay) Claims() int {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	return r.replica.Len()
}

// ReplicaReady reports whether this instance, as a replica, knows the claims of all its shards.
func (r *Relay) ReplicaReady() bool {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	return r.replica.Ready()
}

func (r *Relay) snapshot() *control.Snapshot { return r.Control.Snapshot() }

func (r *Relay) random() uint64 {
	r.rndMu.Lock()
	defer r.rndMu.Unlock()
	return r.rnd.Uint64()
}

func (r *Relay) event(c event.Code, fields ...zap.Field) {
	event.Log(r.Log, c, fields...)
	r.Metrics.Event(int(c))
}

// logInvariantBroken logs that an invariant does not hold for a record.
func (r *Relay) logInvariantBroken(what string, rec *record.Record) {
	r.event(event.InvariantBroken, zap.String("invariant", what), zap.String("request", rec.ID))
}

func (r *Relay) routingPolicy(name string) route.Policy {
	p := r.policy.Load()
	if p.name != name {
		p = &namedPolicy{name, route.New(name)}
		r.policy.Store(p)
	}
	return p.policy
}

// retryAfter is the usual time after which a refused caller should try again.
const retryAfter = time.Second

// Submit accepts a request and starts it, or does nothing if the same request is already known
// under its id, here or at another instance. After it returns nil, Follow gives the answer. An
// error means that the request was refused.
func (r *Relay) Submit(ctx context.Context, req record.Request) error {
	now := r.Clock.Now()
	if old, ok := r.store.Get(req.ID); ok {
		return checkSameRequest(old.Digest, req)
	}
	s := r.snapshot()
	if s.Leaving || r.draining.Load() {
		return fault.New(fault.StepAdmit, "", fault.KindRefused, notRunIf(req.GeneratedID), "this instance is leaving; use another one").WithRetryAt(now)
	}
	if r.store.Len() >= s.Table.System.RecordCapacity {
		return fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(req.GeneratedID), "the limit of stored requests is reached").WithRetryAt(now.Add(retryAfter))
	}
	if !now.Before(req.Deadline) {
		return fault.New(fault.StepAdmit, "", fault.KindTimeout, notRunIf(req.GeneratedID), "the deadline has passed")
	}
	if !req.GeneratedID && req.Repeatable { // for other requests, the claim finds earlier attempts
		if where, ok := r.locate(ctx, req.ID); ok {
			return checkSameRequest(where.digest, req)
		}
	}
	rec, added := r.store.Add(record.New(req, r.Self))
	if !added {
		return checkSameRequest(rec.Digest, req)
	}
	err := r.accept(ctx, rec)
	if err == errTaken {
		r.store.Remove(rec)
		rec.SetOwner("") // followers of this record then locate the other attempt
		return nil
	}
	if err != nil {
		r.store.Remove(rec)
		rec.Finish(record.Result{Failure: fault.As(err)})
		return err
	}
	return nil
}

// accept stores the second copy of a repeatable request, or claims the key of another one, and
// starts the request.
func (r *Relay) accept(ctx context.Context, rec *record.Record) error {
	if !rec.Repeatable {
		return r.acceptWithClaim(ctx, rec)
	}
	var req *route.Request
	if rec.Kind == record.KindModel {
		var err error
		if req, err = r.checkAdmission(rec); err != nil {
			return err
		}
	}
	if !r.Switches.NoSecondCopy {
		if err := r.placeSecondCopy(ctx, rec); err != nil {
			return err
		}
	}
	r.start(rec, req)
	return nil
}

// checkAdmission refuses a model call that, at the endpoint that routing would choose now, would miss
// its class's target for the first token by too much (see shed) or its deadline for the whole
// answer. It returns the routing input for the call.
func (r *Relay) checkAdmission(rec *record.Record) (*route.Request, error) {
	now := r.Clock.Now()
	class, pool, err := r.modelPool(rec)
	if err != nil {
		return nil, err
	}
	req := r.routeRequest(rec, class)
	d, ok := r.routingPolicy(r.snapshot().Table.System.Policy).Choose(pool, req, now)
	if !ok {
		return nil, fault.New(fault.StepRoute, "", fault.KindRefused, notRunIf(rec.GeneratedID), "no endpoint serves the model").WithRetryAt(now.Add(retryAfter))
	}
	if wait, late := shed(rec, class, d); late {
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(rec.GeneratedID), "the answer would start later than the target of its class allows").WithRetryAt(now.Add(max(wait, retryAfter)))
	}
	end := now.Add(d.FirstToken + time.Duration(rec.MaxTokens)*d.Endpoint.Load().TokenInterval)
	if end.After(rec.Deadline) {
		wait := min(end.Sub(rec.Deadline), time.Minute)
		return nil, fault.New(fault.StepAdmit, "", fault.KindLimit, notRunIf(rec.GeneratedID), "the answer would not be complete by its deadline").WithRetryAt(now.Add(max(wait, retryAfter)))
	}
	return req, nil
}

// overShareWaitFraction is the fraction of the target latency that a call may wait in the queue if its client
// account is over its fair share. The rest is reserved for the other client accounts.
const overShareWaitFraction = 0.5

// shed reports whether a call is to be refused because its first token would come too late, and by
// how much it would be late. Classes that may be late are never shed. A call that would hardly wait
// is not shed either, however late it is.
func shed(rec *record.Record, class *table.Class, d route.Decision) (by time.Duration, late bool) {
	if class.MayBeLate {
		return 0, false
	}
	limit := class.LatencyTarget
	if rec.OverShare {
		limit = time.Duration(overShareWaitFraction * float64(class.LatencyTarget))
	}
	// The time to compute the call's own prompt is not queueing and does not shrink by retrying later.
	wait := d.FirstToken - time.Duration(d.Uncached)*d.Endpoint.Load().PromptTokenTime
	if d.FirstToken <= class.LatencyTarget && wait <= limit {
		return 0, false
	}
	return max(d.FirstToken-class.LatencyTarget, wait-limit), wait > d.Endpoint.Load().TokenInterval
}

// notRunIf returns NotRun if the request's id was made by the system, so that no earlier attempt can
// exist, and MayHaveRun if the caller chose it: an earlier attempt may have run at another
// instance.
func notRunIf(fresh bool) fault.Run {
	if fresh {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

func checkSameRequest(digest uint64, req record.Request) error {
	if digest != req.Digest {
		return fault.New(fault.StepAdmit, "", fault.KindConflict, fault.NotRun, "the Idempotency-Key is in use for another request")
	}
	return nil
}

// Digest returns a hash of the parts of a request. It distinguishes a repeat of a request from
// another request under the same Idempotency-Key.
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
	c, ok := r.snapshot().Table.ClassByName(rec.Class)
	if !ok {
		return nil, fault.New(fault.StepRoute, "", fault.KindNotFound, notRunIf(rec.GeneratedID && !rec.Sent()), "class %s is no longer in the table", rec.Class)
	}
	return c, nil
}
