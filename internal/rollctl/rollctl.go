// Package rollctl implements an instance's part in the roll-outs of package rollout. Every instance
// sends its share of requests to the version on trial, counts the outcomes at both versions, and
// shares the counts with the other instances (Control). The leader also advances the roll-outs
// (Leader).
//
// An instance sends requests to a version on trial only while it has a permit, a short lease that
// the leader renews continually. An instance that is cut off from the leader, or whose leader is
// gone, stops by itself when the permit expires.
//
// Control is safe for concurrent use.
package rollctl

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// permitTTL is how long a permit is valid, counted from when the instance receives it. A permit may
// take 1.5 s through the hubs, so that the last request to a bad version is sent at most 3.5 s after
// the leader has stopped; 5 s are allowed.
const permitTTL = 2 * time.Second

// Control holds an instance's state of all roll-outs.
type Control struct {
	clock *clock.Clock
	bound rollout.Bound
	self  tally.Source

	mu         sync.Mutex
	random     *rand.Rand                            // guarded by mu
	services   map[string]*service                   // guarded by mu
	own        rollout.Counts                        // counted by this instance; guarded by mu
	ledger     *tally.Reporter[rollout.Key, int64]   // which part of own each hub has confirmed; guarded by mu
	reported   *tally.Aggregator[rollout.Key, int64] // counts that other instances reported to this one as their hub; guarded by mu
	peerCounts map[countSource]rollout.Counts        // counts shared by other instances, or by hubs for their groups; guarded by mu
	states     map[string]peerStates                 // states shared by other instances, or by hubs for their groups, by name; guarded by mu
}

// service is an instance's state of the roll-out of one service.
type service struct {
	record      rollout.Record
	arms        rollout.Arms
	exposure    rollout.Exposure
	timing      *rollout.Timing
	permit      Permit
	permitUntil time.Time // when the permit expires
}

// New returns a control without roll-outs for the instance self. The clock may be nil.
func New(bound rollout.Bound, self tally.Source, random *rand.Rand, c *clock.Clock) *Control {
	return &Control{
		clock: c, bound: bound, self: self, random: random, services: make(map[string]*service), own: make(rollout.Counts),
		ledger: tally.NewReporter[rollout.Key, int64](), reported: tally.NewAggregator[rollout.Key, int64](),
		peerCounts: make(map[countSource]rollout.Counts), states: make(map[string]peerStates),
	}
}

// Enabled reports whether the deployment uses roll-outs, which its bound on bad versions decides.
func (c *Control) Enabled() bool { return c.bound.Share > 0 }

// SetRollout sets the record of a service's roll-out and how it divides the endpoints. instances is
// the number of instances of the fleet, startedBefore whether this one started before the order.
// SetRollout reports whether the order or the phase is new.
func (c *Control) SetRollout(r rollout.Record, arms rollout.Arms, instances int, startedBefore bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	changed := s.record.Order != r.Order || s.record.Phase != r.Phase
	if s.record.Order != r.Order {
		s.exposure = rollout.NewExposure(c.bound, instances, startedBefore, c.random)
		s.permit, s.permitUntil = Permit{}, time.Time{}
		c.dropCounts(func(k rollout.Key) bool { return k.Service == r.Service && k.Order < r.Order })
	}
	s.record, s.arms = r, arms
	return changed
}

// dropCounts drops the counts for whose keys obsolete returns true. The caller holds mu.
func (c *Control) dropCounts(obsolete func(rollout.Key) bool) {
	drop := func(k rollout.Key, _ int64) bool { return obsolete(k) }
	maps.DeleteFunc(c.own, drop)
	for _, counts := range c.peerCounts {
		maps.DeleteFunc(counts, drop)
	}
	c.ledger.DropKeys(obsolete)
	c.reported.DropKeys(obsolete)
}

// service returns the state of a service, and creates it if there is none. The caller holds mu.
func (c *Control) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{timing: rollout.NewTiming()}
		c.services[name] = s
	}
	return s
}

// AdmitTrial reports whether a request may go to the version on trial, and counts it against the
// exposure if so. Only first attempts may: a request that failed once goes to the old version.
func (c *Control) AdmitTrial(r *balance.Request, now time.Time) bool {
	if !c.Enabled() || len(r.Avoid) > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[r.Service]
	if s == nil || s.record.Phase != rollout.Trial || now.After(s.permitUntil) || !s.exposure.Allowed() {
		return false
	}
	s.exposure.CountTrial()
	return true
}

// Observe counts the outcome of a request at the endpoint that was chosen for it.
func (c *Control) Observe(k *balance.Ticket, r *balance.Request, now time.Time) {
	if c.Enabled() {
		k.Observe(&requestObserver{control: c, ticket: k, route: r.Route, promptTokens: r.Tokens, service: r.Service, sent: now})
	}
}

// requestObserver counts the outcome of one request. It implements balance.Observer.
type requestObserver struct {
	control      *Control
	ticket       *balance.Ticket
	service      string
	route        string
	promptTokens int
	sent         time.Time
	timeToFirst  time.Duration // from sent to the first event or the answer
	started      bool
}

// PromptRead implements balance.Observer.
func (w *requestObserver) PromptRead() {
	w.started, w.timeToFirst = true, w.control.clock.Since(w.sent)
	w.control.countStart(w)
}

// Done implements balance.Observer.
func (w *requestObserver) Done(result balance.Result) {
	if !w.ticket.Reached() {
		return // the endpoint did not receive the request
	}
	if !w.started {
		w.timeToFirst = w.control.clock.Since(w.sent)
		w.started = result == balance.Answered
		if result != balance.Refused {
			w.control.countStart(w)
		}
	}
	w.control.countEnd(w, result)
}

// outcome returns the outcome of the request, which ended with result.
func (w *requestObserver) outcome(result balance.Result) rollout.Outcome {
	return rollout.Outcome{
		Route: w.route, PromptTokens: w.promptTokens, TimeToFirst: w.timeToFirst, Started: w.started, EventInterval: w.ticket.EventInterval(),
		Conclusive: result == balance.Answered || result == balance.Failed, Failed: result == balance.Failed,
	}
}

// key returns the key under which a request is counted, without the counter. The second result is
// false if the service has no roll-out in progress.
func (s *service) key(w *requestObserver) (rollout.Key, bool) {
	if s.record.Order == 0 || s.record.Phase.Final() {
		return rollout.Key{}, false
	}
	k := rollout.Key{Service: w.service, Order: s.record.Order, Route: w.route, Trial: w.onTrial(s)}
	if k.Trial {
		k.Bucket = s.arms.Bucket[w.ticket.Endpoint.ID]
	}
	return k, true
}

// onTrial reports whether the request's endpoint has the target version.
func (w *requestObserver) onTrial(s *service) bool {
	return w.ticket.Endpoint.Version == s.record.Target
}

// countStart counts the start of a request, as rollout.Timing.CountStart does, and that it reached
// an endpoint.
func (c *Control) countStart(w *requestObserver) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(w.service)
	s.exposure.CountArrival()
	if key, counted := s.key(w); counted {
		s.timing.CountStart(c.own, key, w.outcome(balance.Cancelled))
	}
}

// countEnd counts the end of a request. Unless it ran on the version on trial, its times are added
// to the baseline.
func (c *Control) countEnd(w *requestObserver, result balance.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(w.service)
	key, counted := s.key(w)
	outcome := w.outcome(result)
	if counted {
		s.timing.CountEnd(c.own, key, outcome)
	}
	if !counted || !key.Trial {
		s.timing.AddBaseline(outcome)
	}
}

// Divide divides a service's endpoints as the phase of its roll-out requires. unconfirmed reports
// whether a version may be the target of an order that this instance has not read yet.
func (c *Control) Divide(endpoints []registry.Endpoint, r rollout.Record, unconfirmed func(version string) bool) rollout.Arms {
	return rollout.Divide(endpoints, r, c.bound.TrialShare(), unconfirmed)
}
