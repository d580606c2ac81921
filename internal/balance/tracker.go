package balance

import (
	"math"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Result is how a request went at a server.
type Result int

// The results.
const (
	Answered  Result = iota
	Failed           // broken, timed out, or answered with a failure of the server's own
	Refused          // the server was full or gone; nothing ran
	Cancelled        // given up from this side; says nothing of the server
)

// Tuning of the beliefs.
const (
	failureHalfLife = 4 * time.Second
	failureWeight   = 0.3 // of the newest result
	restAfter       = 3   // failures in a row
	restFirst       = 500 * time.Millisecond
	restMost        = 4 * time.Second
	slowWeight      = 0.15
	slowLeast       = 0.7
	slowMost        = 8
	slowHalfLife    = 6 * time.Second  // until half of what is believed of a server's speed is forgotten: one that gets no work would never prove itself
	keepFor         = 20 * time.Second // how long a shared prompt is believed to be kept
	keepMost        = 4096             // shared prompts remembered for one server
	firstWork       = 50 * time.Millisecond
	serviceWeight   = 0.05
	newsWeight      = 0.02 // of the newest time between two news
	aloneShare      = 0.25 // of its own tokens that a request may find queued, to tell how fast a server reads
)

// Use is how much of a server one node has on the way.
type Use struct {
	Open   int
	Prompt int
	Holdup float64
}

type serverState struct {
	use       Use // from this node
	slow      float64
	slowAt    time.Time
	failing   float64
	failedAt  time.Time
	inRow     int
	restUntil time.Time
	longAt    time.Time            // when a long prompt was last known to be read there
	keeps     map[uint64]time.Time // hash of shared parts to when they were sent there last
}

type serviceState struct {
	lesson
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

// demandOver is the time over which the work asked for is averaged.
const demandOver = 3 * time.Second

type remote struct {
	uses    map[string]Use
	demand  map[string]Demand // by service
	lessons Lessons
	at      time.Time // when it was told
	until   time.Time // when it counts no more
}

// Tracker holds the beliefs about all servers.
type Tracker struct {
	mu        sync.Mutex
	servers   map[string]*serverState  // by server id; guarded by mu
	services  map[string]*serviceState // by name; guarded by mu
	remotes   map[string]remote        // by node; guarded by mu
	told      chan struct{}            // has room for one
	desk      Lessons                  // of the tracker that this node places requests by as a hub; guarded by mu
	sums      map[string]Use           // of the remotes, by server id; guarded by mu
	newsEvery float64                  // nanoseconds between two news of a node, on the mean; guarded by mu
}

// NewTracker returns a tracker that believes nothing yet.
func NewTracker() *Tracker {
	return &Tracker{
		servers: make(map[string]*serverState), services: make(map[string]*serviceState),
		remotes: make(map[string]remote), sums: make(map[string]Use), told: make(chan struct{}, 1),
	}
}

// Ticket is a request that was sent to a server. Read and Done are called on it.
type Ticket struct {
	Server   registry.Server
	Cost     float64 // of the choice, see Choice
	Uncached int     // prompt tokens that the server probably has to read
	tracker  *Tracker
	request  *Request
	state    *serverState
	service  *serviceState
	queued   int  // prompt tokens that were to be read before
	learns   bool // how it goes tells how fast the server is
	holdup   float64
	at       time.Time
	readAt   time.Time
	expect   float64 // nanoseconds
	read     bool
	done     bool
	watcher  Observer
}

// Observer is told how a request goes on at its server.
type Observer interface {
	Read() // its first event is there
	Done(result Result)
}

// Observe sets who is told of the ticket from now on.
func (k *Ticket) Observe(o Observer) { k.watcher = o }

// Pick chooses a server and counts the request there. The second result is
// false when there is none.
func (t *Tracker) Pick(servers []registry.Server, r *Request, now time.Time) (*Ticket, bool) {
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
	k := t.count(v.Server, r, best.Uncached, now)
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
func (t *Tracker) Take(s registry.Server, r *Request, uncached int, now time.Time) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(r.Service).engine = r.Engine
	return t.count(s, r, uncached, now)
}

// count counts a request at a server.
func (t *Tracker) count(s registry.Server, r *Request, uncached int, now time.Time) *Ticket {
	st, service := t.server(s.ID), t.service(r.Service)
	k := &Ticket{Server: s, Uncached: uncached, tracker: t, request: r, state: st, service: service, at: now}
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
	if uncached >= tellFrom {
		select {
		case t.told <- struct{}{}:
		default:
		}
	}
	return k
}

// work is how long the request keeps a server busy, in nanoseconds.
func (k *Ticket) work() float64 {
	if k.request.Engine {
		return float64(k.service.pace.Reading(k.Uncached))
	}
	return k.service.work
}

// tellFrom is the number of prompt tokens from which the other nodes hear of a
// request at once.
const tellFrom = 3000

// Told is sent on when the other nodes should hear of the uses at once.
func (t *Tracker) Told() <-chan struct{} { return t.told }

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
			sum.Busy += r.demand[service].Busy
			sum.Held += r.demand[service].Held
		}
	}
	return sum
}

func (t *Tracker) view(s registry.Server, service *serviceState, hash uint64, now time.Time) View {
	st := t.server(s.ID)
	far := t.farUse(s.ID, service)
	seen, keeps := st.keeps[hash]
	return View{
		Server: s, Open: float64(st.use.Open) + far.open, Prompt: st.use.Prompt + far.Prompt, Holdup: st.use.Holdup + far.Holdup,
		Slow: st.slowNow(now), Failing: st.failingAt(now), Resting: now.Before(st.restUntil),
		Keeps: keeps && now.Sub(seen) < keepFor,
		Work:  time.Duration(service.work), Pace: service.pace, Risk: service.risk,
	}
}

// far is what the other nodes have on the way to a server.
type far struct {
	Use
	open float64 // requests that are believed to be there still
}

// farUse returns what the others have on the way to a server. Of the requests
// of a plain service that they told of, those are gone by now that take less
// time than the news do; to go by their number would send all nodes' requests to
// the server that had fewest then.
func (t *Tracker) farUse(id string, service *serviceState) far {
	f := far{Use: t.sums[id]}
	f.open = float64(f.Open)
	if !service.engine {
		f.open *= service.work / (service.work + t.newsEvery/2)
	}
	return f
}

func (t *Tracker) server(id string) *serverState {
	s := t.servers[id]
	if s == nil {
		s = &serverState{slow: 1, keeps: make(map[uint64]time.Time)}
		t.servers[id] = s
	}
	return s
}

func (t *Tracker) service(name string) *serviceState {
	s := t.services[name]
	if s == nil {
		s = &serviceState{work: float64(firstWork), lesson: newLesson()}
		t.services[name] = s
		t.agree(name)
	}
	return s
}

// slowNow is how slow the server is believed to be; 1 is usual.
func (s *serverState) slowNow(now time.Time) float64 {
	return 1 + (s.slow-1)*math.Exp2(-float64(now.Sub(s.slowAt))/float64(slowHalfLife))
}

func (s *serverState) failingAt(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-float64(now.Sub(s.failedAt))/float64(failureHalfLife))
}

func (s *serverState) remember(hash uint64, now time.Time) {
	if len(s.keeps) >= keepMost {
		for h, at := range s.keeps {
			if now.Sub(at) > keepFor/2 {
				delete(s.keeps, h)
			}
		}
	}
	if len(s.keeps) < keepMost {
		s.keeps[hash] = now
	}
}

// Read says that the server has read the prompt: its first event is there.
func (k *Ticket) Read(now time.Time) {
	k.tracker.mu.Lock()
	news := !k.read
	k.markRead(now, true)
	k.tracker.mu.Unlock()
	if news && k.watcher != nil {
		k.watcher.Read()
	}
}

func (k *Ticket) markRead(now time.Time, learn bool) {
	if k.read {
		return
	}
	k.read, k.readAt = true, now
	k.state.use.Prompt -= k.Uncached
	k.state.use.Holdup = max(0, k.state.use.Holdup-k.holdup)
	if !learn || !k.learns {
		return
	}
	took := float64(now.Sub(k.at))
	if k.expect > 0 {
		ratio := min(max(took/k.expect, slowLeast), slowMost)
		slow := k.state.slowNow(now)
		k.state.slow, k.state.slowAt = slow+slowWeight*(ratio-slow), now
	}
	if !k.request.Engine {
		k.service.work += serviceWeight * (took - k.service.work)
	} else if float64(k.queued) <= aloneShare*float64(k.Uncached) {
		k.service.reading.Observe(k.queued+k.Uncached, now.Sub(k.at))
		k.tracker.agree(k.request.Service)
	}
}

// Streamed says whether a whole stream paused for longer than it should.
func (k *Ticket) Streamed(late bool) {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	k.service.pauses.note(late, k.state.longAt.After(k.at))
	k.tracker.agree(k.request.Service)
}

// Done ends the request at the server.
func (k *Ticket) Done(result Result, now time.Time) {
	if k.end(result, now) && k.watcher != nil {
		k.watcher.Done(result)
	}
}

// end ends the request, and says whether it had not ended before.
func (k *Ticket) end(result Result, now time.Time) bool {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	if k.done {
		return false
	}
	k.done = true
	k.markRead(now, result == Answered && !k.request.Engine)
	k.state.use.Open--
	if k.request.Engine && k.request.Slots > 0 {
		k.service.held.Add(float64(now.Sub(k.readAt))/float64(k.request.Slots), demandOver, now)
	}
	if result != Cancelled {
		k.state.note(result, now)
	}
	return true
}

func (s *serverState) note(result Result, now time.Time) {
	failing := s.failingAt(now)
	s.failedAt = now
	if result == Answered {
		s.failing = failing * (1 - failureWeight)
		s.inRow = 0
		s.restUntil = time.Time{}
		return
	}
	s.failing = failing + failureWeight*(1-failing)
	s.inRow++
	if s.inRow >= restAfter {
		rest := min(restMost, restFirst<<min(s.inRow-restAfter, 8))
		s.restUntil = now.Add(rest)
	}
}

// News is what another node tells. Brief news leave all but the uses as it was.
type News struct {
	Uses    map[string]Use
	Demand  map[string]Demand // by service
	Lessons Lessons
	Brief   bool
}

// Heard takes another node's news, which count until the node is heard of again
// or until a deadline.
func (t *Tracker) Heard(node string, news News, until, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if news.Brief {
		news.Demand, news.Lessons = t.remotes[node].demand, t.remotes[node].lessons
	}
	if last, known := t.remotes[node]; known {
		t.newsEvery += newsWeight * (float64(now.Sub(last.at)) - t.newsEvery)
	}
	t.remotes[node] = remote{news.Uses, news.Demand, news.Lessons, now, until}
	clear(t.sums)
	for name, r := range t.remotes {
		if now.After(r.until) {
			delete(t.remotes, name)
			continue
		}
		for id, u := range r.uses {
			sum := t.sums[id]
			sum.Open += u.Open
			sum.Prompt += u.Prompt
			sum.Holdup += u.Holdup
			t.sums[id] = sum
			if u.Holdup >= longHoldup {
				t.server(id).longAt = now
			}
		}
	}
}

// Uses returns this node's use of the servers.
func (t *Tracker) Uses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Use)
	for id, s := range t.servers {
		if s.use.Open != 0 {
			out[id] = s.use
		}
	}
	return out
}

// Forget drops what is believed of servers that are gone.
func (t *Tracker) Forget(wanted func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		if s.use.Open == 0 && !wanted(id) {
			delete(t.servers, id)
		}
	}
}
