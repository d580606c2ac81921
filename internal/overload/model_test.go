package overload

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of request.
type kind struct {
	name     string
	share    float64 // of the work that the clients send
	work     float64 // mean, in prompt tokens
	target   time.Duration
	deadline time.Duration
	priority int
}

// kinds are those of deployment A of docs/design/overload.md, in about the same proportions; a quarter
// of the study guide has to be processed, as the rest is shared. The most urgent kind alone fits at
// three times the load.
var kinds = []kind{
	{"marking feedback", 0.34, 2368, 600 * time.Millisecond, 4 * time.Second, 0},
	{"study guide", 0.60, 2500, 800 * time.Millisecond, 6 * time.Second, 1},
	{"tutor chat", 0.06, 715, 500 * time.Millisecond, 15 * time.Second, 2},
}

// sender is a client account of the model.
type sender struct {
	name   string
	share  float64                           // of the usual load; its weight as well
	factor func(since time.Duration) float64 // of its usual load; nil for 1
	waits  float64                           // fraction of its clients that honour RetryAt
	kind   kind                              // the only kind that it sends; zero for a mix of all
}

// model is a small queueing model of the endpoints of one service behind one hub. An endpoint
// processes one prompt at a time, more urgent ones first, at a fixed rate.
type model struct {
	*rand.Rand
	c         *Controller
	start     time.Time
	now       time.Time
	events    events
	endpoints []*server
	senders   []sender
	rate      float64 // Forecast.Rate
	load      float64 // sum of the usual loads, as a fraction of the capacity
	end       time.Duration
	calls     []*call
	faults    []string
}

// server is a model endpoint.
type server struct {
	rate   float64 // tokens per second
	slots  int
	taken  int // requests that have or wait for a slot
	busy   time.Time
	queues [3][]*call
	queued [3]float64
}

// call is one request of a client, with its repetition.
type call struct {
	sender   int
	kind     kind
	waits    bool
	came     time.Duration
	request  Request
	attempts int
	reserved bool
	second   Decision // on the second attempt
	advised  bool     // was given a time to return, and returned then
	refused  Reason
	served   bool // the first event came before Latest
	inTime   bool // the first event came by the target
}

func newModel(seed uint64, o Options, load float64, end time.Duration, senders []sender) *model {
	m := &model{Rand: rand.New(rand.NewPCG(seed, 1)), c: New(o), start: time.Unix(1_000_000, 0), load: load, end: end, senders: senders}
	m.now = m.start
	for _, speed := range []float64{0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6} {
		m.endpoints = append(m.endpoints, &server{rate: 40_800 * speed, slots: 16, busy: m.start})
	}
	m.rate = m.capacity()
	return m
}

func (m *model) capacity() float64 {
	sum := 0.0
	for _, e := range m.endpoints {
		sum += e.rate
	}
	return sum
}

func (m *model) run() *model {
	for i := range m.senders {
		m.schedule(m.interval(i), func() { m.arrive(i) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m
}

func (m *model) schedule(in time.Duration, run func()) {
	heap.Push(&m.events, event{m.now.Add(in), run})
}

// interval draws the time to the next request of a sender.
func (m *model) interval(i int) time.Duration {
	s := m.senders[i]
	factor := 1.0
	if s.factor != nil {
		factor = s.factor(m.now.Sub(m.start))
	}
	if factor == 0 {
		return 10 * time.Millisecond
	}
	perSecond := m.load * m.capacity() * s.share * factor / m.meanWork(s)
	return time.Duration(m.ExpFloat64() / perSecond * float64(time.Second))
}

func (m *model) meanWork(s sender) float64 {
	if s.kind.work > 0 {
		return s.kind.work
	}
	requests := 0.0
	for _, k := range kinds {
		requests += k.share / k.work
	}
	return 1 / requests
}

func (m *model) drawKind(s sender) kind {
	if s.kind.work > 0 {
		return s.kind
	}
	x := m.Float64() / m.meanWork(s)
	for _, k := range kinds {
		if x -= k.share / k.work; x < 0 {
			return k
		}
	}
	return kinds[len(kinds)-1]
}

func (m *model) arrive(i int) {
	s := m.senders[i]
	if m.now.Sub(m.start) >= m.end {
		return
	}
	m.schedule(m.interval(i), func() { m.arrive(i) })
	if s.factor != nil && s.factor(m.now.Sub(m.start)) == 0 {
		return
	}
	k := m.drawKind(s)
	c := &call{sender: i, kind: k, waits: m.Float64() < s.waits, came: m.now.Sub(m.start)}
	c.request = Request{
		Service: "model", Account: s.name, Weight: s.share, Priority: k.priority,
		Work:        math.Ceil(k.work * (0.5 + m.Float64())),
		Fingerprint: m.Uint64() | 1,
	}
	m.calls = append(m.calls, c)
	m.attempt(c)
}

// attempt sends a call to the hub, for the first or the second time.
func (m *model) attempt(c *call) {
	c.attempts++
	r := &c.request
	r.Target = m.now.Add(c.kind.target)
	r.Latest = m.now.Add(max(2*time.Second, 4*c.kind.target))
	if d := m.start.Add(c.came + c.kind.deadline); d.Before(r.Latest) {
		r.Latest = d
	}
	best, f := m.forecast(c)
	d := m.c.Decide(*r, f, m.now)
	m.check(c, f, d)
	if c.attempts == 2 {
		c.second = d
	}
	if d.Admitted {
		m.admit(c, best)
		return
	}
	c.refused = d.Reason
	if c.attempts == 2 {
		return
	}
	// A client that is given no time, or too late a one, returns after a pause of its own.
	wait := 50*time.Millisecond + m.N(100*time.Millisecond)
	if advised := d.RetryAt.Sub(m.now); !c.waits {
		wait = 5*time.Millisecond + m.N(15*time.Millisecond)
	} else if !d.RetryAt.IsZero() && advised <= r.Latest.Sub(m.now)/3 {
		wait = max(0, advised-5*time.Millisecond+m.N(20*time.Millisecond))
		c.advised, c.reserved = true, d.Reserved
	}
	m.schedule(wait, func() { m.attempt(c) })
}

// N draws a duration below a bound.
func (m *model) N(below time.Duration) time.Duration { return time.Duration(m.Int64N(int64(below))) }

// forecast returns the best endpoint and what a hub knows of a request there.
func (m *model) forecast(c *call) (*server, Forecast) {
	var best *server
	var first time.Time
	f := Forecast{}
	taken, slots := 0, 0
	for _, e := range m.endpoints {
		backlog := c.request.Work
		for p := range c.kind.priority + 1 {
			backlog += e.queued[p]
		}
		at := m.now
		if e.busy.After(at) {
			at = e.busy
		}
		at = at.Add(time.Duration(backlog / e.rate * float64(time.Second)))
		if best == nil || at.Before(first) {
			best, first = e, at
			f.Alone = time.Duration(c.request.Work / e.rate * float64(time.Second))
		}
		taken += min(e.taken, e.slots)
		slots += e.slots
		f.Waiting += max(0, e.taken-e.slots)
	}
	f.FirstAt = first
	f.RoomAt = first.Add(-c.kind.target)
	if f.RoomAt.Before(m.now) {
		f.RoomAt = m.now
	}
	f.Rate = m.rate
	if m.rate == 0 {
		f.Alone = 0
	}
	f.Occupancy = float64(taken) / float64(slots)
	return best, f
}

// check notes decisions that are wrong whatever the load.
func (m *model) check(c *call, f Forecast, d Decision) {
	if d.Admitted {
		return
	}
	if f.Occupancy < 0.5 && f.Waiting == 0 && d.Reason != TooLate {
		m.faults = append(m.faults, "refused while less than half of the slots are taken: "+string(d.Reason))
	}
	if !d.RetryAt.IsZero() && !d.RetryAt.After(m.now) {
		m.faults = append(m.faults, "told to return in the past: "+string(d.Reason))
	}
	if !d.RetryAt.IsZero() && d.Reason != TooEarly && d.RetryAt.Sub(m.now) > c.request.Latest.Sub(m.now)/3 {
		m.faults = append(m.faults, "told to return after a third of the time left: "+string(d.Reason))
	}
}

func (m *model) admit(c *call, e *server) {
	p := c.kind.priority
	e.taken++
	e.queues[p] = append(e.queues[p], c)
	e.queued[p] += c.request.Work
	m.process(e)
}

// process starts the next prompt if the endpoint is idle.
func (m *model) process(e *server) {
	if m.now.Before(e.busy) {
		return
	}
	for p := range e.queues {
		if len(e.queues[p]) == 0 {
			continue
		}
		c := e.queues[p][0]
		e.queues[p] = e.queues[p][1:]
		e.queued[p] -= c.request.Work
		if m.now.After(c.request.Latest) { // the client has left
			e.taken--
			m.process(e)
			return
		}
		took := time.Duration(c.request.Work / e.rate * float64(time.Second))
		e.busy = m.now.Add(took)
		m.schedule(took, func() {
			c.served = !m.now.After(c.request.Latest)
			c.inTime = !m.now.After(c.request.Target)
			m.process(e)
		})
		// The response takes the slot for a while longer.
		m.schedule(took+200*time.Millisecond, func() { e.taken-- })
		return
	}
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// outcome counts calls.
type outcome struct {
	calls, served, inTime  int
	work                   float64 // of those served in time
	advised, advisedServed int     // of those that returned as told
	advisedInTime          int
	reserved, kept         int            // of those told, with a reservation
	reasons                map[Reason]int // of those not served
}

func (o outcome) lost() float64 { return 1 - float64(o.served)/float64(max(1, o.calls)) }
func (o outcome) late() float64 { return 1 - float64(o.inTime)/float64(max(1, o.calls)) }

// outcome counts the calls that came from a time on and that satisfy all conditions.
func (m *model) outcome(from time.Duration, conditions ...func(*call) bool) outcome {
	o := outcome{reasons: make(map[Reason]int)}
	for _, c := range m.calls {
		if c.came < from || slices.ContainsFunc(conditions, func(f func(*call) bool) bool { return !f(c) }) {
			continue
		}
		o.calls++
		if c.served {
			o.served++
		} else {
			o.reasons[c.refused]++
		}
		if c.inTime {
			o.inTime++
			o.work += c.request.Work
		}
		if c.advised {
			o.advised++
			if c.reserved {
				o.reserved++
				if c.served {
					o.kept++
				}
			}
			if c.served {
				o.advisedServed++
			}
			if c.inTime {
				o.advisedInTime++
			}
		}
	}
	return o
}

// evenSenders returns accounts with even shares of the load.
func evenSenders(n int, factor float64) []sender {
	var out []sender
	for i := range n {
		out = append(out, sender{name: string(rune('a' + i)), share: 1 / float64(n), waits: 0.8,
			factor: func(time.Duration) float64 { return factor }})
	}
	return out
}
