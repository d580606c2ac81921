// Package rollctl is one instance's part in the roll-outs of package rollout: it sends
// the trial's share, counts how requests go at both versions, and passes counts on to
// the instance that leads the roll-out.
//
// A version on trial gets requests only while the leader says again and again that it
// may (a permit, which is a lease of two seconds): an instance that is cut off from the
// leader, or whose leader is gone, stops by itself.
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

// permitTTL is how long a permit of the leader lasts at the instance that learns of it.
// With the 1.5 s that it may take through the hubs, the last request reaches a bad
// version 3.5 s after the leader has stopped; 5 s are allowed.
const permitTTL = 2 * time.Second

// Control is an instance's part in all roll-outs.
type Control struct {
	clock *clock.Clock
	bound rollout.Bound
	self  tally.Source

	mu         sync.Mutex
	random     *rand.Rand                        // guarded by mu
	services   map[string]*service               // guarded by mu
	own        rollout.Counts                    // of this instance; guarded by mu
	ledger     *tally.Ledger[rollout.Key, int64] // what hubs received of these; guarded by mu
	reported   *tally.Pool[rollout.Key, int64]   // what instances reported to this one as a hub; guarded by mu
	peerCounts map[countSource]rollout.Counts    // what other instances, or hubs for their groups, shared; guarded by mu
	states     map[string]peerStates             // the same of what they do, by instance; guarded by mu
}

// service is what is known of the roll-out of one service.
type service struct {
	record      rollout.Record
	arms        rollout.Arms
	exposure    rollout.Exposure
	timing      *rollout.Timing
	permit      Permit
	permitUntil time.Time // when the permit ends
}

// New returns the control of an instance. The clock may be nil.
func New(bound rollout.Bound, self tally.Source, random *rand.Rand, c *clock.Clock) *Control {
	return &Control{
		clock: c, bound: bound, self: self, random: random, services: make(map[string]*service), own: make(rollout.Counts),
		ledger: tally.NewLedger[rollout.Key, int64](), reported: tally.NewPool[rollout.Key, int64](),
		peerCounts: make(map[countSource]rollout.Counts), states: make(map[string]peerStates),
	}
}

// Enabled reports whether the deployment has roll-outs.
func (c *Control) Enabled() bool { return c.bound.Share > 0 }

// Follow takes how far a roll-out is, and how it divides the endpoints. seasoned
// says that this instance ran before the order. It reports whether the phase is new.
func (c *Control) Follow(r rollout.Record, arms rollout.Arms, instances int, seasoned bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	changed := s.record.Order != r.Order || s.record.Phase != r.Phase
	if s.record.Order != r.Order {
		s.exposure = rollout.NewExposure(c.bound, instances, seasoned, c.random)
		s.permit, s.permitUntil = Permit{}, time.Time{}
		c.dropCounts(func(k rollout.Key) bool { return k.Service == r.Service && k.Order < r.Order })
	}
	s.record, s.arms = r, arms
	return changed
}

// dropCounts drops the counts of orders that are over. The caller holds mu.
func (c *Control) dropCounts(over func(rollout.Key) bool) {
	drop := func(k rollout.Key, _ int64) bool { return over(k) }
	maps.DeleteFunc(c.own, drop)
	for _, told := range c.peerCounts {
		maps.DeleteFunc(told, drop)
	}
	c.ledger.Drop(over)
	c.reported.Drop(over)
}

// service returns what is known of a service. The caller holds mu.
func (c *Control) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{timing: rollout.NewTiming()}
		c.services[name] = s
	}
	return s
}

// Try reports whether a request may go to the version on trial, and counts it there if
// so. Only first tries do: a request that failed once goes to the version in use.
func (c *Control) Try(r *balance.Request, now time.Time) bool {
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

// Watch counts how a request goes at the endpoint that was chosen for it.
func (c *Control) Watch(k *balance.Ticket, r *balance.Request, now time.Time) {
	if c.Enabled() {
		k.Observe(&requestObserver{control: c, ticket: k, route: r.Route, promptTokens: r.Tokens, service: r.Service, sent: now})
	}
}

// requestObserver counts one request. It implements balance.Observer.
type requestObserver struct {
	control      *Control
	ticket       *balance.Ticket
	service      string
	route        string
	promptTokens int
	sent         time.Time
	timeToFirst  time.Duration // until the first event
	started      bool
}

// Read implements balance.Observer.
func (w *requestObserver) Read() {
	w.started, w.timeToFirst = true, w.control.clock.Since(w.sent)
	w.control.countStart(w)
}

// Done implements balance.Observer.
func (w *requestObserver) Done(result balance.Result) {
	if !w.ticket.Arrived() {
		return // the endpoint never had it
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

func (w *requestObserver) outcome(result balance.Result) rollout.Outcome {
	return rollout.Outcome{
		Route: w.route, PromptTokens: w.promptTokens, TimeToFirst: w.timeToFirst, Started: w.started, EventInterval: w.ticket.PerEvent(),
		Conclusive: result == balance.Answered || result == balance.Failed, Failed: result == balance.Failed,
	}
}

// key returns what a request is counted under, if its service has a roll-out under way.
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

func (w *requestObserver) onTrial(s *service) bool {
	return w.ticket.Endpoint.Version == s.record.Target
}

// countStart counts the first event of a request, or that none came.
func (c *Control) countStart(w *requestObserver) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(w.service)
	s.exposure.CountArrival()
	if key, counted := s.key(w); counted {
		s.timing.CountStart(c.own, key, w.outcome(balance.Cancelled))
	}
}

// countEnd counts the end of a request, and learns from those of the version in use.
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

// Divide divides a service's endpoints as its roll-out asks for.
func (c *Control) Divide(servers []registry.Endpoint, r rollout.Record, unproved func(version string) bool) rollout.Arms {
	return rollout.Divide(servers, r, c.bound.TrialShare(), unproved)
}
