package place

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/overload"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Admission decides whether a request is admitted, given how it would be served. Scheduler makes
// one call at a time. *overload.Controller implements it.
type Admission interface {
	Decide(r overload.Request, f overload.Forecast, now time.Time) overload.Decision
	// Share returns a client account's share of a service.
	Share(service, account string, now time.Time) overload.Share
	// Declined takes back the admission of a request that was not run here.
	Declined(r overload.Request, now time.Time)
}

// Refusal is why a request was refused for lack of capacity, and the forecast that the decision is
// based on.
type Refusal struct {
	overload.Decision
	overload.Forecast
	ReportAge time.Duration // of the load report of the endpoint that was forecast; 0 if there is none
}

// admission is the use of an Admission by a scheduler.
type admission struct {
	weight  func(account string) float64
	observe func(r overload.Request, s overload.Share, now time.Time)

	mu     sync.Mutex
	decide Admission // guarded by mu
}

// admitted is a request that was admitted.
type admitted struct {
	request  overload.Request
	firstAt  time.Time // forecast
	returned bool
}

// SetAdmission makes the scheduler refuse requests that are not admitted. weight returns the weight of a
// client account's fair share; observe is called with the account's share after each decision.
// SetAdmission must be called before the first offer.
func (d *Scheduler) SetAdmission(a Admission, weight func(account string) float64, observe func(r overload.Request, s overload.Share, now time.Time)) {
	d.admission = &admission{weight: weight, observe: observe, decide: a}
}

// mayRefuse reports whether a request may be refused for lack of capacity: not if it was placed
// before, nor if the endpoints of its service do not report how long work takes there.
func (d *Scheduler) mayRefuse(r *balance.Request, now time.Time) bool {
	return d.admission != nil && !r.NoRefusal && d.loads != nil && d.loads.Reporting(r.Service, now)
}

// pick chooses an endpoint and counts the request there. It returns nil if there is no endpoint for
// the request, with a refusal if the request was refused. The second result is nil if the admission of
// the request was not asked for.
func (d *Scheduler) pick(endpoints []registry.Endpoint, r *balance.Request, now time.Time) (ticket *balance.Ticket, a *admitted, refusal *Refusal) {
	if !d.mayRefuse(r, now) {
		ticket, _ := d.tracker.Pick(endpoints, r, now)
		return ticket, nil, nil
	}
	ticket, _ = d.tracker.PickIf(endpoints, r, now, func(f balance.Forecast) bool {
		forecast, request := forecastOf(r, f, now), d.admission.requestOf(r, f)
		decision := d.admission.ask(request, forecast, now)
		a = &admitted{request, forecast.FirstAt, decision.Returned}
		if !decision.Admitted {
			refusal = &Refusal{decision, forecast, f.ReportAge}
		}
		return decision.Admitted
	})
	if a != nil {
		d.admission.observeShare(a.request, now)
	}
	return ticket, a, refusal
}

func (a *admission) ask(r overload.Request, f overload.Forecast, now time.Time) overload.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.decide.Decide(r, f, now)
}

// observeShare reports the share of a request's account. It is called without the tracker's lock, as a log
// may be slow.
func (a *admission) observeShare(r overload.Request, now time.Time) {
	a.mu.Lock()
	share := a.decide.Share(r.Service, r.Account, now)
	a.mu.Unlock()
	a.observe(r, share, now)
}

func (a *admission) declined(r overload.Request, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.decide.Declined(r, now)
}

// requestOf returns the properties of a request that its admission depends on. The version on trial
// has its own endpoints, so that it counts as a service of its own. A request that is refused there
// is placed on other endpoints at once, so that it has no fingerprint: its client does not return.
func (a *admission) requestOf(r *balance.Request, f balance.Forecast) overload.Request {
	q := overload.Request{
		Service: r.Service, Account: r.Payer, Weight: a.weight(r.Payer), Priority: r.Priority, Work: 1,
		Target: r.Target, Latest: r.Latest, Fingerprint: r.Fingerprint,
	}
	if r.Engine {
		q.Work = float64(max(1, f.Uncached))
	}
	if r.Trial {
		q.Service += " on trial"
		q.Fingerprint = 0
	}
	return q
}

// forecastOf converts a forecast to times. A request would be in time as soon as the queue is shorter
// by the time that it would be late now. A request without a target is late if it is of no use.
func forecastOf(r *balance.Request, f balance.Forecast, now time.Time) overload.Forecast {
	out := overload.Forecast{FirstAt: now.Add(f.First), RoomAt: now, Occupancy: f.Occupancy, Waiting: f.Waiting, Alone: f.Alone, Rate: f.Rate}
	due := r.Target
	if due.IsZero() {
		due = r.Latest
	}
	if late := out.FirstAt.Sub(due); !due.IsZero() && late > 0 {
		out.RoomAt = now.Add(late)
	}
	return out
}
