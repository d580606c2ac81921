package balance

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Parameters of the estimates of a service.
const (
	initialWork    = 50 * time.Millisecond // response time assumed for a plain service, until some were measured
	serviceWeight  = 0.05                  // weight of the newest response time in the moving average
	intervalWeight = 0.02                  // weight of the newest time between two updates in the moving average
	maxQueuedShare = 0.25                  // a request counts for the processing speed if the tokens queued before it are at most this fraction of its own
)

// Load is the load of one instance's requests on an endpoint: open requests, prompt tokens not
// processed yet, and their interference with streams.
type Load struct {
	Open         int
	Prompt       int
	Interference float64
}

// minus returns the load without a part of it.
func (u Load) minus(part Load) Load {
	return Load{Open: u.Open - part.Open, Prompt: u.Prompt - part.Prompt, Interference: max(0, u.Interference-part.Interference)}
}

// Plus returns the sum of two loads.
func (u Load) Plus(more Load) Load {
	return Load{Open: u.Open + more.Open, Prompt: u.Prompt + more.Prompt, Interference: u.Interference + more.Interference}
}

type serviceState struct {
	estimator
	engine     bool    // it has model endpoints
	meanFactor float64 // own factor times reported slowdown, mean over the requests; 1 if no slowdown is reported
	work       float64 // mean response time of a plain service, in nanoseconds: measured, or adopted from another tracker
	measured   workEstimate
	busyRate   decay.Rate // nanoseconds of work requested per second
	slotRate   decay.Rate // nanoseconds per second that requests held a slot of a model endpoint, divided by its number of slots
	slotHeld   slotHeld   // of model endpoints
	capacity   capacity   // of the endpoints that PickIf chose from
}

// Demand is the work that was recently requested of a service, as a number of fully used
// endpoints.
type Demand struct {
	Busy float64 // processing of prompts, or requests of a plain service
	Held float64 // slots of model endpoints held after the prompt was processed
}

// Plus returns the sum of two demands.
func (d Demand) Plus(more Demand) Demand {
	return Demand{Busy: d.Busy + more.Busy, Held: d.Held + more.Held}
}

// demandWindow is the time over which the requested work is averaged.
const demandWindow = 3 * time.Second

type remote struct {
	uses      map[string]Load
	demand    map[string]Demand // by service
	estimates Estimates
	at        time.Time // when the update was received
	until     time.Time // when the update expires
}

// Tracker maintains what is known about all endpoints.
type Tracker struct {
	loads  *loadreport.Table // of which the slowdown counts in choices; may be nil
	queues *loadreport.Table // of which the requests that run and wait count in forecasts; may be nil

	mu             sync.Mutex
	endpoints      map[string]*endpointState // by endpoint ID; guarded by mu
	services       map[string]*serviceState  // by name; guarded by mu
	remotes        map[string]remote         // by instance; guarded by mu
	longPrompts    chan struct{}             // buffered, for one signal
	hubEstimates   Estimates                 // what this instance measured as a hub; guarded by mu
	remoteLoads    map[string]Load           // sums over the remotes, by endpoint ID; guarded by mu
	candidates     []Candidate               // of the current choice; kept to reuse its memory; guarded by mu
	updateInterval float64                   // mean nanoseconds between two updates of an instance; guarded by mu
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithLoadReports makes the slowdown that endpoints report count in choices. A nil table has no effect.
func WithLoadReports(loads *loadreport.Table) Option { return func(t *Tracker) { t.loads = loads } }

// WithQueueReports makes the requests that endpoints report as running and waiting count in forecasts. A
// nil table has no effect.
func WithQueueReports(loads *loadreport.Table) Option { return func(t *Tracker) { t.queues = loads } }

// NewTracker returns a tracker without any state.
func NewTracker(options ...Option) *Tracker {
	t := &Tracker{
		endpoints: make(map[string]*endpointState), services: make(map[string]*serviceState),
		remotes: make(map[string]remote), remoteLoads: make(map[string]Load), longPrompts: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Pick chooses an endpoint and counts the request there. The second result is false if there is
// none.
func (t *Tracker) Pick(endpoints []registry.Endpoint, r *Request, now time.Time) (*Ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pick(endpoints, r, now, nil)
}

// pick is Pick, or PickIf if admit is not nil. The caller holds mu.
func (t *Tracker) pick(endpoints []registry.Endpoint, r *Request, now time.Time, admit func(Forecast) bool) (*Ticket, bool) {
	service := t.service(r.Service)
	service.engine = r.Engine
	shared, hash := r.shared()
	candidates := t.candidates[:0]
	reporting := t.reporting(r.Service, now)
	for _, s := range endpoints {
		candidates = append(candidates, t.candidate(s, service, hash, reporting, now))
	}
	t.candidates = candidates
	best := Choose(candidates, r)
	if best.Index < 0 {
		return nil, false
	}
	v := &candidates[best.Index]
	var found backlog
	if admit != nil {
		var ok bool
		if found, ok = t.admitted(endpoints, candidates, best, r, now, admit); !ok {
			return nil, false
		}
	}
	k := t.count(v.Endpoint, r, best.Uncached, false, now)
	k.Cost, k.queued, k.measured = best.Cost, v.Prompt, true
	if reporting {
		k.reported = t.reportedSlowdown(v.Endpoint.ID, now)
		k.unclear = k.waitUnknown(v, t.remoteLoads[v.Endpoint.ID].Prompt)
	}
	k.slotWait, k.slowdown = found.slotWait(), v.Slowdown
	// A wait for a slot that was forecast is no sign of a slow endpoint.
	k.expected = service.measured.mean + float64(k.slotWait)
	if r.Engine && admit != nil {
		k.expected = found.expected
	} else if r.Engine {
		k.expected = float64(service.pace.FirstEventTime(k.Uncached)) + float64(v.Prompt)*service.pace.Token
	}
	if shared > 0 {
		k.state.addPrefix(hash, now)
	}
	return k, true
}

// CountPlaced counts a request at an endpoint that a hub has chosen for it. At model endpoints this
// instance knows too little of the queue for the request's times to count for the estimates.
func (t *Tracker) CountPlaced(s registry.Endpoint, r *Request, uncached int, now time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(r.Service)
	service.engine = r.Engine
	k := t.count(s, r, uncached, true, now)
	if !r.Engine {
		// Without these times the demand for the service and the choices that this instance makes while
		// no hub answers would rest on initialWork.
		k.measured, k.expected = true, service.measured.mean
	}
	return k
}

// count counts a request at an endpoint; placed reports whether a hub chose it.
func (t *Tracker) count(s registry.Endpoint, r *Request, uncached int, placed bool, now time.Time) *Ticket {
	st, service := t.endpoint(s.ID), t.service(r.Service)
	k := &Ticket{Endpoint: s, Uncached: uncached, tracker: t, request: r, state: st, service: service, placed: placed, at: now}
	if r.Engine {
		k.interference = interference(r.Tokens)
	}
	load := Load{Open: 1, Prompt: uncached, Interference: k.interference}
	st.load = st.load.Plus(load)
	if placed {
		st.placed = st.placed.Plus(load)
	}
	if st.unprocessed == 0 {
		st.startedAt, st.startSlowdown = now, 0
	}
	st.unprocessed++
	st.unread[r.level()].requests++
	st.unread[r.level()].tokens += uncached
	if k.interference >= longInterference {
		st.longPromptAt = now.Add(service.pace.PrefillTime(uncached))
	}
	service.busyRate.Add(k.work(), demandWindow, now)
	if uncached >= broadcastTokens {
		select {
		case t.longPrompts <- struct{}{}:
		default:
		}
	}
	return k
}

// broadcastTokens is the number of prompt tokens from which a request is reported to the other
// instances at once.
const broadcastTokens = 3000

// LongPrompts receives a signal when the loads should be reported to the other instances at once.
func (t *Tracker) LongPrompts() <-chan struct{} { return t.longPrompts }

// Demand returns the recent demand at this instance, by service.
func (t *Tracker) Demand(now time.Time) map[string]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Demand, len(t.services))
	for name, s := range t.services {
		out[name] = Demand{s.busyRate.At(demandWindow, now) / float64(time.Second), s.slotRate.At(demandWindow, now) / float64(time.Second)}
	}
	return out
}

// FleetDemand returns the sum of all instances' demand for a service.
func (t *Tracker) FleetDemand(service string, now time.Time) Demand {
	sum := t.Demand(now)[service]
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.remotes {
		if now.Before(r.until) {
			sum = sum.Plus(r.demand[service])
		}
	}
	return sum
}

func (t *Tracker) candidate(s registry.Endpoint, service *serviceState, hash uint64, reporting bool, now time.Time) Candidate {
	st := t.endpoint(s.ID)
	others := t.remoteLoads[s.ID]
	seen, known := st.prefixes[hash]
	slowdown, reports, processed := st.slowdownAt(now), false, 0
	if reporting {
		if reported := t.reportedSlowdown(s.ID, now); reported > 0 {
			slowdown, reports = st.own.at(now)*reported, true
			processed = st.processed(slowdown*service.pace.Token, now)
		}
	}
	return Candidate{
		Endpoint: s, Open: float64(st.load.Open) + t.remoteOpen(others.Open, service), Prompt: st.load.Prompt + others.Prompt - processed, Interference: st.load.Interference + others.Interference,
		Slowdown: slowdown, Reports: reports, FailureRate: st.failureRateAt(now), Ejected: now.Before(st.ejectedUntil),
		HasPrefix: known && now.Sub(seen) < prefixTTL,
		Work:      time.Duration(service.work), Pace: service.pace, Risk: service.risk,
	}
}

// remoteOpen returns how many of the open requests that other instances reported are assumed to be
// still at an endpoint. At a plain service, requests that take less time than the interval of the
// reports have ended by now; counting them in full would make all instances send to the endpoint
// that had the fewest at the last report.
func (t *Tracker) remoteOpen(reported int, service *serviceState) float64 {
	if service.engine {
		return float64(reported)
	}
	return float64(reported) * service.work / (service.work + t.updateInterval/2)
}

func (t *Tracker) endpoint(id string) *endpointState {
	s := t.endpoints[id]
	if s == nil {
		s = &endpointState{slowdown: 1, prefixes: make(map[uint64]time.Time)}
		t.endpoints[id] = s
	}
	return s
}

func (t *Tracker) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{work: float64(initialWork), measured: workEstimate{mean: float64(initialWork)}, meanFactor: 1, estimator: newEstimator()}
		t.services[name] = s
		t.combine(name)
	}
	return s
}

// Update is the report of another instance. If LoadsOnly is set, the demand and the estimates of
// its last report remain valid.
type Update struct {
	Loads     map[string]Load
	Demand    map[string]Demand // by service
	Estimates Estimates
	LoadsOnly bool
}

// Apply applies the update of an instance, which counts until the next one or until a deadline.
func (t *Tracker) Apply(instance string, update Update, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if update.LoadsOnly {
		update.Demand, update.Estimates = t.remotes[instance].demand, t.remotes[instance].estimates
	}
	if last, known := t.remotes[instance]; known {
		t.updateInterval += intervalWeight * (float64(now.Sub(last.at)) - t.updateInterval)
	}
	t.remotes[instance] = remote{update.Loads, update.Demand, update.Estimates, now, until}
	clear(t.remoteLoads)
	for name, r := range t.remotes {
		if now.After(r.until) {
			delete(t.remotes, name)
			continue
		}
		for id, u := range r.uses {
			t.remoteLoads[id] = t.remoteLoads[id].Plus(u)
			if u.Interference >= longInterference {
				t.endpoint(id).longPromptAt = now
			}
		}
	}
}

// Loads returns the load of this instance's requests on each endpoint.
func (t *Tracker) Loads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range t.endpoints {
		if s.load.Open != 0 {
			out[id] = s.load
		}
	}
	return out
}

// Open returns the number of this instance's requests at an endpoint.
func (t *Tracker) Open(endpoint string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.endpoints[endpoint]; s != nil {
		return s.load.Open
	}
	return 0
}

// LocalLoads returns the load of those of this instance's requests on each endpoint whose endpoint it
// chose itself.
func (t *Tracker) LocalLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range t.endpoints {
		if s.load.Open != s.placed.Open {
			out[id] = s.load.minus(s.placed)
		}
	}
	return out
}

// Forget drops the state of endpoints that are gone.
func (t *Tracker) Forget(wanted func(endpoint string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if s.load.Open == 0 && !wanted(id) {
			delete(t.endpoints, id)
		}
	}
}
