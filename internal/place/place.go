// Package place lets a few hubs choose endpoints for all instances of a large fleet.
//
// Instances that choose by reports of each other that are seconds old send their requests to the
// same endpoints. So the endpoints are divided among the hubs. A hub knows all requests in
// progress at its endpoints, since it placed them and is notified of their progress. An instance
// asks the two hubs that a request's affinity key maps to and takes the better offer.
//
// Scheduler is a hub's side and is safe for concurrent use.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/overload"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// Offer is the best of a hub's endpoints for a request. The request counts there until it is done.
type Offer struct {
	Endpoint string
	Cost     float64   // see balance.Choice
	Uncached int       // prompt tokens that the endpoint probably has to process, as they are not in its cache
	Ticket   uint64    // identifies the request in progress reports
	FirstAt  time.Time // forecast time of the first event, or of the response of a plain endpoint; zero if there was no forecast
	Returned bool      // the request returned after a refusal
	Refusal  *Refusal  // set instead of the other fields if the request was refused for lack of capacity
}

// Progress reports the progress of a request that was placed.
type Progress struct {
	Ticket     uint64
	PromptRead bool // the endpoint has processed the prompt
	Done       bool
	Result     balance.Result // set if Done is
	Declined   bool           // set if Done is and the offer was not taken
}

// Requester is the instance that a request is placed for.
type Requester struct {
	Instance    string
	Incarnation int64 // increases with each restart of the instance
}

type openRequest struct {
	ticket    *balance.Ticket
	requester Requester
	deadline  time.Time         // when the request has ended at the latest
	admitted  *overload.Request // nil if its admission was not asked for
}

// Scheduler places requests on the endpoints of one hub.
type Scheduler struct {
	tracker   *balance.Tracker
	loads     *loadreport.Table // may be nil
	admission *admission        // nil if no request is refused for lack of capacity

	mu           sync.Mutex
	lastTicket   uint64                 // guarded by mu
	open         map[uint64]openRequest // guarded by mu
	incarnations map[string]int64       // highest known incarnation of each instance; guarded by mu
}

// New returns a scheduler without open requests. Its tickets differ from those of a scheduler that
// was started earlier. loads holds what endpoints reported of their load; it may be nil.
func New(start time.Time, loads *loadreport.Table, options ...balance.Option) *Scheduler {
	return &Scheduler{
		tracker: balance.NewTracker(append(options, balance.WithQueueReports(loads))...), loads: loads, lastTicket: uint64(start.UnixNano()),
		open: make(map[uint64]openRequest), incarnations: make(map[string]int64),
	}
}

// Offer places a request of an instance on the best of the endpoints. The request counts there
// until it is done, or until a deadline. The second result is false if there is no endpoint for it,
// or if it is refused.
func (d *Scheduler) Offer(requester Requester, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (Offer, bool) {
	d.observeIncarnation(requester, now)
	ticket, a, refusal := d.pick(endpoints, r, now)
	if ticket == nil {
		return Offer{Refusal: refusal}, false
	}
	o := Offer{Endpoint: ticket.Endpoint.ID, Cost: ticket.Cost, Uncached: ticket.Uncached}
	open := openRequest{ticket: ticket, requester: requester, deadline: until}
	if a != nil {
		o.FirstAt, o.Returned, open.admitted = a.firstAt, a.returned, &a.request
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastTicket++
	d.open[d.lastTicket], o.Ticket = open, d.lastTicket
	return o, true
}

// observeIncarnation ends the requests of an earlier incarnation of an instance.
func (d *Scheduler) observeIncarnation(requester Requester, now time.Time) {
	d.mu.Lock()
	restarted := requester.Incarnation > d.incarnations[requester.Instance]
	d.incarnations[requester.Instance] = max(requester.Incarnation, d.incarnations[requester.Instance])
	d.mu.Unlock()
	if restarted {
		d.endWhere(func(h openRequest) bool {
			return h.requester.Instance == requester.Instance && h.requester.Incarnation < requester.Incarnation
		}, now)
	}
}

// endWhere ends the requests for which over is true. Their results do not count for the endpoints.
func (d *Scheduler) endWhere(over func(openRequest) bool, now time.Time) {
	var tickets []*balance.Ticket
	d.mu.Lock()
	for id, h := range d.open {
		if over(h) {
			tickets = append(tickets, h.ticket)
			delete(d.open, id)
		}
	}
	d.mu.Unlock()
	for _, t := range tickets {
		t.Done(balance.Cancelled, now)
	}
}

// Update applies a progress report. Reports on requests that have ended are ignored.
func (d *Scheduler) Update(note Progress, now time.Time) {
	d.mu.Lock()
	h, ok := d.open[note.Ticket]
	if ok && note.Done {
		delete(d.open, note.Ticket)
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	if note.PromptRead {
		h.ticket.PromptRead(now)
	}
	if note.Done {
		h.ticket.Done(note.Result, now)
	}
	if note.Done && note.Declined && h.admitted != nil {
		d.admission.declined(*h.admitted, now)
	}
}

// Endpoint returns the endpoint of an open request.
func (d *Scheduler) Endpoint(ticket uint64) (registry.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.open[ticket]
	if !ok {
		return registry.Endpoint{}, false
	}
	return h.ticket.Endpoint, true
}

// AdoptEstimates makes the scheduler use its instance's estimates of the endpoints.
func (d *Scheduler) AdoptEstimates(estimates balance.Estimates) { d.tracker.AdoptEstimates(estimates) }

// AdoptWork makes the scheduler use its instance's mean response times of plain services, by name.
func (d *Scheduler) AdoptWork(means map[string]time.Duration) { d.tracker.AdoptWork(means) }

// ApplyLoads applies the loads of requests whose endpoints other instances chose themselves, by
// endpoint ID. They count until the next update from the same source or until a deadline.
func (d *Scheduler) ApplyLoads(source string, loads map[string]balance.Load, until, now time.Time) {
	d.tracker.Apply(source, balance.Update{Loads: loads}, until, now)
}

// OpenAt returns the number of requests that this hub has placed at an endpoint and that have not ended.
func (d *Scheduler) OpenAt(endpoint string) int { return d.tracker.Open(endpoint) }

// Estimates returns the estimates from all requests that the scheduler placed.
func (d *Scheduler) Estimates() balance.Estimates { return d.tracker.Estimates() }

// Open returns the number of open requests.
func (d *Scheduler) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Expire ends requests that must be over, since progress reports may be lost and instances may
// crash. known reports whether an instance is a member, wanted whether an endpoint still exists.
func (d *Scheduler) Expire(known, wanted func(name string) bool, now time.Time) {
	d.endWhere(func(h openRequest) bool { return now.After(h.deadline) || !known(h.requester.Instance) }, now)
	d.tracker.Forget(wanted)
}

// Owned returns those of the endpoints that a hub is responsible for.
func Owned(hub string, hubs []string, endpoints []registry.Endpoint) []registry.Endpoint {
	var owned []registry.Endpoint
	for _, s := range endpoints {
		if rendezvous.Best(xxhash.Sum64String(s.ID), hubs) == hub {
			owned = append(owned, s)
		}
	}
	return owned
}
