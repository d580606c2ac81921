package balance

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// What is assumed of a service.
const (
	firstWork      = 50 * time.Millisecond // of a request of a plain service, until some were seen
	serviceWeight  = 0.05                  // of the newest such time
	intervalWeight = 0.02                  // of the newest time between two updates
	aloneShare     = 0.25                  // of its own tokens that a request may find queued, to tell how fast a server reads
)

// Use is how much of a server one node has on the way.
type Use struct {
	Open   int
	Prompt int
	Holdup float64
}

// Plus returns the sum of two uses.
func (u Use) Plus(more Use) Use {
	return Use{Open: u.Open + more.Open, Prompt: u.Prompt + more.Prompt, Holdup: u.Holdup + more.Holdup}
}

type serviceState struct {
	estimator
	engine bool       // it has model servers
	work   float64    // nanoseconds
	asked  decay.Rate // nanoseconds of work asked for in a second
	held   decay.Rate // nanoseconds that requests held a place at a model server in a second, by its places
}

// Demand is the work that a service was asked for of late, as so many servers'
// worth.
type Demand struct {
	Busy float64 // prompts to be read, or requests of a plain service
	Held float64 // places at model servers held after the prompt was read
}

// Plus returns the sum of two demands.
func (d Demand) Plus(more Demand) Demand {
	return Demand{Busy: d.Busy + more.Busy, Held: d.Held + more.Held}
}

// demandOver is the time over which the work asked for is averaged.
const demandOver = 3 * time.Second

type remote struct {
	uses      map[string]Use
	demand    map[string]Demand // by service
	estimates Estimates
	at        time.Time // when it was received
	until     time.Time // when it counts no more
}

// Tracker holds the beliefs about all servers.
type Tracker struct {
	mu             sync.Mutex
	endpoints      map[string]*endpointState // by server id; guarded by mu
	services       map[string]*serviceState  // by name; guarded by mu
	remotes        map[string]remote         // by node; guarded by mu
	longPrompts    chan struct{}             // has room for one
	desk           Estimates                 // of the tracker that this node places requests by as a hub; guarded by mu
	sums           map[string]Use            // of the remotes, by server id; guarded by mu
	updateInterval float64                   // nanoseconds between two updates of a node, on the mean; guarded by mu
}

// NewTracker returns a tracker that believes nothing yet.
func NewTracker() *Tracker {
	return &Tracker{
		endpoints: make(map[string]*endpointState), services: make(map[string]*serviceState),
		remotes: make(map[string]remote), sums: make(map[string]Use), longPrompts: make(chan struct{}, 1),
	}
}

// Pick chooses a server and counts the request there. The second result is
// false when there is none.
func (t *Tracker) Pick(servers []registry.Endpoint, r *Request, now time.Time) (*Ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service := t.service(r.Service)
	service.engine = r.Engine
	shared, hash := r.shared()
	views := make([]View, 0, len(servers))
	for _, s := range servers {
		views = append(views, t.view(s, service, hash, now))
	}
	best := Choose(views, r)
	if best.Index < 0 {
		return nil, false
	}
	v := &views[best.Index]
	k := t.count(v.Endpoint, r, best.Uncached, now)
	k.Cost, k.queued, k.learns = best.Cost, v.Prompt, true
	k.expect = service.work
	if r.Engine {
		k.expect = float64(service.pace.First(k.Uncached)) + float64(v.Prompt)*service.pace.Token
	}
	if shared > 0 {
		k.state.remember(hash, now)
	}
	return k, true
}

// Take counts a request at a server that a hub has chosen for it, and of whose
// queue this node knows too little to learn from how it goes.
func (t *Tracker) Take(s registry.Endpoint, r *Request, uncached int, now time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(r.Service).engine = r.Engine
	return t.count(s, r, uncached, now)
}

// count counts a request at a server.
func (t *Tracker) count(s registry.Endpoint, r *Request, uncached int, now time.Time) *Ticket {
	st, service := t.endpoint(s.ID), t.service(r.Service)
	k := &Ticket{Endpoint: s, Uncached: uncached, tracker: t, request: r, state: st, service: service, at: now}
	if r.Engine {
		k.holdup = holdup(r.Tokens)
	}
	st.use.Open++
	st.use.Prompt += uncached
	st.use.Holdup += k.holdup
	if k.holdup >= longHoldup {
		st.longAt = now.Add(service.pace.Reading(uncached))
	}
	service.asked.Add(k.work(), demandOver, now)
	if uncached >= broadcastFrom {
		select {
		case t.longPrompts <- struct{}{}:
		default:
		}
	}
	return k
}

// broadcastFrom is the number of prompt tokens from which the other nodes learn of a
// request at once.
const broadcastFrom = 3000

// LongPrompts is sent on when the other nodes should learn of the uses at once.
func (t *Tracker) LongPrompts() <-chan struct{} { return t.longPrompts }

// Demand returns, by service, what this node was asked for.
func (t *Tracker) Demand(now time.Time) map[string]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Demand, len(t.services))
	for name, s := range t.services {
		out[name] = Demand{s.asked.At(demandOver, now) / float64(time.Second), s.held.At(demandOver, now) / float64(time.Second)}
	}
	return out
}

// FleetDemand returns the sum of all nodes' demand for a service.
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

func (t *Tracker) view(s registry.Endpoint, service *serviceState, hash uint64, now time.Time) View {
	st := t.endpoint(s.ID)
	far := t.sums[s.ID]
	seen, keeps := st.keeps[hash]
	return View{
		Endpoint: s, Open: float64(st.use.Open) + t.farOpen(far.Open, service), Prompt: st.use.Prompt + far.Prompt, Holdup: st.use.Holdup + far.Holdup,
		Slow: st.slowNow(now), Failing: st.failingAt(now), Resting: now.Before(st.restUntil),
		Keeps: keeps && now.Sub(seen) < keepFor,
		Work:  time.Duration(service.work), Pace: service.pace, Risk: service.risk,
	}
}

// farOpen returns how many requests of the others are assumed to be at a server
// still. Of those of a plain service that they reported, those are gone by now
// that take less time than updates do; to go by their number would send all
// instances' requests to the server that had fewest then.
func (t *Tracker) farOpen(told int, service *serviceState) float64 {
	if service.engine {
		return float64(told)
	}
	return float64(told) * service.work / (service.work + t.updateInterval/2)
}

func (t *Tracker) endpoint(id string) *endpointState {
	s := t.endpoints[id]
	if s == nil {
		s = &endpointState{slow: 1, keeps: make(map[uint64]time.Time)}
		t.endpoints[id] = s
	}
	return s
}

func (t *Tracker) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{work: float64(firstWork), estimator: newEstimator()}
		t.services[name] = s
		t.agree(name)
	}
	return s
}

// Update is what another node sends. One of uses only leaves all else as it was.
type Update struct {
	Uses      map[string]Use
	Demand    map[string]Demand // by service
	Estimates Estimates
	UsesOnly  bool
}

// Apply takes another node's update, which counts until the node is seen again
// or until a deadline.
func (t *Tracker) Apply(node string, news Update, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if news.UsesOnly {
		news.Demand, news.Estimates = t.remotes[node].demand, t.remotes[node].estimates
	}
	if last, known := t.remotes[node]; known {
		t.updateInterval += intervalWeight * (float64(now.Sub(last.at)) - t.updateInterval)
	}
	t.remotes[node] = remote{news.Uses, news.Demand, news.Estimates, now, until}
	clear(t.sums)
	for name, r := range t.remotes {
		if now.After(r.until) {
			delete(t.remotes, name)
			continue
		}
		for id, u := range r.uses {
			t.sums[id] = t.sums[id].Plus(u)
			if u.Holdup >= longHoldup {
				t.endpoint(id).longAt = now
			}
		}
	}
}

// Uses returns this node's use of the servers.
func (t *Tracker) Uses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Use)
	for id, s := range t.endpoints {
		if s.use.Open != 0 {
			out[id] = s.use
		}
	}
	return out
}

// Forget drops what is assumed of servers that are gone.
func (t *Tracker) Forget(wanted func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.endpoints {
		if s.use.Open == 0 && !wanted(id) {
			delete(t.endpoints, id)
		}
	}
}
