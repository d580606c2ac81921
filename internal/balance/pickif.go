package balance

import (
	"cmp"
	"math"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// maxReportAge is the age up to which a load report counts in a forecast; requests start and end at
// an endpoint so often that an older one says nothing about its queue.
const maxReportAge = 300 * time.Millisecond

// PickIf is Pick, except that the request is counted at the endpoint only if admit returns true for
// the forecast there. Forecast and count are one step, so that requests that are placed at the same
// moment do not both count on the same free slot. admit must not call the tracker.
func (t *Tracker) PickIf(endpoints []registry.Endpoint, r *Request, now time.Time, admit func(Forecast) bool) (*Ticket, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pick(endpoints, r, now, admit)
}

// capacity is the load of all endpoints that requests of a service are placed on.
type capacity struct {
	first    *registry.Endpoint // identifies the list of endpoints
	count    int                // of endpoints
	at       time.Time          // when the load was summed
	slots    int
	occupied int
	waiting  int
	rate     float64 // work per second that the endpoints process together, see Forecast.Rate
}

// capacityTTL is how long a sum of the load of all endpoints is used. Reading 400 load reports takes
// as long as a choice among 400 endpoints. The requests that are placed in the meantime are added.
const capacityTTL = 10 * time.Millisecond

// capacity returns the load of all candidates, which stand for the endpoints.
func (t *Tracker) capacity(endpoints []registry.Endpoint, candidates []Candidate, r *Request, now time.Time) *capacity {
	c := &t.service(r.Service).capacity
	if c.first == &endpoints[0] && c.count == len(endpoints) && now.Sub(c.at) < capacityTTL {
		return c
	}
	*c = capacity{first: &endpoints[0], count: len(endpoints), at: now}
	for i := range candidates {
		b := t.load(&candidates[i], r, now)
		c.slots += b.slots
		c.occupied += b.occupied
		c.waiting += b.waiting
		c.rate += candidates[i].rate(r, b.slots)
	}
	return c
}

// add counts a request that is placed.
func (c *capacity) add(b *backlog) {
	if b.occupied < b.slots {
		c.occupied++
	} else if b.slots > 0 {
		c.waiting++
	}
}

// admitted asks whether a request may be placed on the best of the candidates, which stand for the
// endpoints. It returns what the request finds there.
func (t *Tracker) admitted(endpoints []registry.Endpoint, candidates []Candidate, best Choice, r *Request, now time.Time, admit func(Forecast) bool) (backlog, bool) {
	c := t.capacity(endpoints, candidates, r, now)
	v := &candidates[best.Index]
	b := t.load(v, r, now)
	t.findAhead(v, r, &b)
	b.expected = v.usualTimeToFirst(r, best.Uncached, &b)
	f := Forecast{
		Uncached: best.Uncached, First: v.timeToFirst(r, best.Uncached, &b), Alone: v.timeToFirst(r, best.Uncached, &backlog{}),
		Rate: c.rate, Waiting: c.waiting, ReportAge: b.reportAge,
	}
	if c.slots > 0 {
		f.Occupancy = float64(c.occupied) / float64(c.slots)
	}
	if !admit(f) {
		return b, false
	}
	c.add(&b)
	return b, true
}

// load returns the load of a candidate: for each value the larger of what its requests known here
// amount to and of what it reported.
func (t *Tracker) load(v *Candidate, r *Request, now time.Time) backlog {
	running := int(math.Ceil(v.Open))
	b := backlog{slots: cmp.Or(r.Slots, v.Endpoint.Slots)}
	reported := t.recentReport(v.Endpoint.ID, now)
	if reported.Known {
		b.slots = cmp.Or(b.slots, reported.Slots)
		b.reportAge = max(1, reported.Age) // 0 means none
	}
	if b.slots > 0 {
		b.waiting = max(reported.Waiting, running-b.slots)
		b.occupied = min(b.slots, max(reported.Running, running))
	}
	return b
}

// findAhead sets what is served before a request at an endpoint. What is known only from reports
// counts as the most urgent, since reports contain no priorities.
func (t *Tracker) findAhead(v *Candidate, r *Request, b *backlog) {
	b.slotHeld, b.aheadRequests = v.Work, b.waiting
	if !r.Engine {
		return
	}
	st := t.endpoint(v.Endpoint.ID)
	b.slotHeld = time.Duration(t.service(r.Service).slotHeld.mean)
	b.aheadTokens = t.remoteLoads[v.Endpoint.ID].Prompt
	known := 0
	for _, u := range st.unread[:r.level()+1] {
		known += u.requests
		b.aheadTokens += u.tokens
	}
	// A part of the prompt that is processed at the moment does not count in the candidate.
	processed := st.load.Prompt + t.remoteLoads[v.Endpoint.ID].Prompt - v.Prompt
	b.aheadTokens = max(0, b.aheadTokens-processed)
	reportedOnly := b.waiting - max(0, st.load.Open-b.slots)
	b.aheadRequests = min(b.waiting, known+reportedOnly)
}

// slotHeld estimates how long a request holds a slot at an endpoint of the usual speed. The mean is
// 0 before the first measurement: no wait for a slot is forecast then.
type slotHeld struct {
	mean  float64 // nanoseconds
	count float64
}

// add adds a measurement, in nanoseconds. The first ones are averaged evenly.
func (s *slotHeld) add(held float64) {
	s.count++
	s.mean += max(serviceWeight, 1/s.count) * (held - s.mean)
}

// observeHeld measures how long an answered request held its slot: from when it got one, according
// to the forecast, to its end. If the forecast of the wait is too long, the measurement is too short
// and shortens the next forecast.
func (k *Ticket) observeHeld(now time.Time) {
	held := float64(now.Sub(k.at)) - float64(k.slotWait)*k.slowdown
	held = max(held, float64(now.Sub(k.readAt)))
	k.service.slotHeld.add(held / k.slowdown)
}

// queued reports whether requests wait at an endpoint, according to its load report. The response time of
// a request that a hub placed contains a wait that this instance did not forecast then.
func (t *Tracker) queued(endpoint string, now time.Time) bool {
	return t.recentReport(endpoint, now).Waiting > 0
}

// recentReport returns an endpoint's load report, if it is recent enough to count.
func (t *Tracker) recentReport(endpoint string, now time.Time) loadreport.State {
	if t.queues == nil {
		return loadreport.State{}
	}
	if s := t.queues.State(endpoint, now); s.Known && s.Age <= maxReportAge {
		return s
	}
	return loadreport.State{}
}
