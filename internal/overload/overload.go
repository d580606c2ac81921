// Package overload decides which requests a service with too little capacity admits.
//
// The package is pure; a Controller must not be used concurrently.
package overload

import (
	"math"
	"time"
)

// Request holds the properties of a request that its admission depends on.
type Request struct {
	Service     string
	Account     string    // client account; empty on a public route
	Weight      float64   // of the account's fair share: its limit in units a second, the mean of all limits if it has none
	Priority    int       // 0 is the most urgent
	Work        float64   // what it costs an endpoint: prompt tokens to process, or 1
	Target      time.Time // when the first event, or the answer, should come; zero if the route has no target
	Latest      time.Time // after which a first event is of no use to the client
	Fingerprint uint64    // the same for a repetition of the request by its client; 0 if unknown
}

// Forecast is how a request would be served now.
type Forecast struct {
	FirstAt   time.Time     // when the first event would come from the best endpoint
	RoomAt    time.Time     // from when a request like this one would meet its target
	Occupancy float64       // share of the slots of the endpoints known to the hub that are taken
	Waiting   int           // requests that wait there for a slot
	Alone     time.Duration // time to the first event there if nothing else was queued; 0 if unknown
	Rate      float64       // work per second that these endpoints process together; 0 if unknown
}

// Reason is the reason of a decision.
type Reason string

// The reasons of decisions.
const (
	InTime     Reason = "in time"
	Capacity   Reason = "slots are free"
	Reserved   Reason = "reservation kept"
	Late       Reason = "late, but of use"
	TooLate    Reason = "the first event would come too late to be of use"
	TooEarly   Reason = "returned before the reserved time"
	OverShare  Reason = "the client account is over its fair share"
	NoCapacity Reason = "no capacity to meet the target"
)

// Decision is whether a request is admitted.
type Decision struct {
	Admitted bool
	Reason   Reason
	RetryAt  time.Time // when the client should return; zero if no time can be given
	Returned bool      // the request returned after a refusal
	Reserved bool      // RetryAt is reserved for the request
}

// Share is an account's share of a service. Rates are in work per second.
type Share struct {
	Over   bool    // whether the account asks for more than its fair share
	Fair   float64 // rate of its fair share; infinite while the service admits all requests
	Demand float64 // rate that it asks for
}

// Options turn parts of the decision on.
type Options struct {
	FairShares   bool
	Reservations bool
}

// Controller decides for the services of a hub.
type Controller struct {
	options      Options
	services     map[string]*service
	sweepAt      time.Time // when to look for unused services next
	reservations *table    // held for callers
	refused      *table    // refused without a reservation, or with one that expired
}

// service is the state of one service.
type service struct {
	since    time.Time // when its first request came
	lastSeen time.Time // when its latest request came
	accepted accepted
	shares   shares
	pressure pressure
	slots    slots
}

const (
	// averaging is the time constant of all averages. Its mean age, one second, is that of a plain
	// window of the two seconds over which fair shares are defined.
	averaging = time.Second

	// observation is how long requests of a service are observed before shares count: before it,
	// the demands of accounts that have not sent yet are unknown, and callers would be refused on
	// the ground of chance.
	observation = 2 * time.Second

	// retention is how long the state of a service or an account is kept without a request. After
	// ten time constants its averages are below 0.01% of what they were.
	retention = 10 * averaging

	// freeOccupancy is the occupancy below which no caller is refused while nothing waits.
	freeOccupancy = 0.5

	// protectedShare is the part of its share that an account over it gets while less urgent requests
	// of accounts within theirs have less than half of their time to spare. With 0.6, accounts within
	// their shares lost 3.3% of their requests, 4.8% at worst, to a large one that sends six times its
	// usual load, and the most urgent requests 2.7% where all send one and a half times what fits;
	// with 0.5 these were 2.7%, 4.0% and 5.5% (24 seeds of load_test.go).
	protectedShare = 0.6

	// retryFraction is the part of the time left to a caller for which it waits when asked to.
	retryFraction = 3

	// numPriorities is the number of priorities that are distinguished; less urgent ones count as the last.
	numPriorities = 8

	// maxWork bounds the work of a request, so that sums stay finite.
	maxWork = 1e12
)

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{
		options:      o,
		services:     make(map[string]*service),
		reservations: newTable(maxReservations),
		refused:      newTable(maxRefused),
	}
}

// Decide decides whether a request is admitted.
func (c *Controller) Decide(r Request, f Forecast, now time.Time) Decision {
	r = normalized(r)
	c.expire(now)
	s := c.service(r.Service, now)
	a := s.shares.account(r.Account, r.Weight, now)
	held, returns := c.returning(r, now)
	returned := returns > 0
	if returns != 1 { // clients repeat once: what comes again and again is demand of its own
		a.ask(r.Work, now)
	}
	if s.shares.due(now) {
		s.shares.update(s.accepted.upTo(numPriorities-1, now), now)
	}
	corrected := s.accepted.correct(f, r, now)
	over := c.over(s, a, now)
	if s.shares.within(a, now) {
		s.pressure.note(r, corrected, now)
	}
	var d Decision
	switch {
	// (a) A first event that is of no use would only delay others.
	case tooLate(r, f):
		d.Reason = TooLate
	// (b) A refusal would leave slots unused.
	case f.Occupancy < freeOccupancy && f.Waiting == 0:
		d = Decision{Admitted: true, Reason: Capacity}
	default:
		d = c.decide(r, corrected, s, a, held, returned, over, now)
	}
	d.Returned = returned
	if d.Admitted {
		s.accepted.add(r.Priority, r.Work, now)
		a.admitted.add(r.Priority, r.Work, now)
		c.forget(r)
	} else if d.Reason != TooEarly {
		c.remember(r, d, returns, now)
	}
	return d
}

// Share returns an account's share of a service as of its latest request. It is the zero Share if the
// account sent none recently.
func (c *Controller) Share(service, account string, now time.Time) Share {
	s := c.services[service]
	if s == nil {
		return Share{}
	}
	a := s.shares.accounts[account]
	if a == nil {
		return Share{}
	}
	return Share{Over: c.over(s, a, now), Fair: s.shares.level * a.weight, Demand: a.demand}
}

// over reports whether an account is over its fair share. Requests of public routes have no account
// that could be.
func (c *Controller) over(s *service, a *account, now time.Time) bool {
	return c.options.FairShares && a.name != "" && now.Sub(s.since) >= observation && s.shares.over(a, now)
}

// Declined takes back the admission of a request that another hub serves, or nobody does. Without
// it, the work that the service accepts would be overestimated, and with it the work that may be
// reserved; the demand is taken back too, as the difference between the two would look like refusals.
func (c *Controller) Declined(r Request, now time.Time) {
	r = normalized(r)
	s := c.services[r.Service]
	if s == nil {
		return
	}
	s.accepted.add(r.Priority, -r.Work, now)
	if a := s.shares.accounts[r.Account]; a != nil {
		a.admitted.add(r.Priority, -r.Work, now)
		a.ask(-r.Work, now)
	}
}

// decide applies the rules of docs/design/overload.md from (c) on to a request that finds the service
// short of capacity. The forecast is corrected; held is the reservation of the request, or nil;
// returned is whether it was refused before; over is whether its account is over its fair share.
func (c *Controller) decide(r Request, f Forecast, s *service, a *account, held *entry, returned, over bool, now time.Time) Decision {
	if tooLate(r, f) {
		return Decision{Reason: TooLate}
	}
	if held != nil && now.Before(held.at.Add(-maxEarly)) {
		// It is not judged by (c): a caller that does not wait would get a second chance that one
		// that waits does not get.
		return Decision{Reason: TooEarly, RetryAt: held.at}
	}
	// (c) While accounts within their shares are short of time, one over its share leaves half of the
	// time to spare, so that their requests find a queue in which they still meet their targets. It also delays less urgent
	// requests, whose queues its own forecast does not contain: while these are short of time, it
	// gets only a part of its share.
	used := 0.0
	if over {
		used = s.shares.used(a, r.Priority, now)
	}
	harmful := used >= protectedShare && s.pressure.high(r.Priority, now)
	if meetsTarget(r, f, over && s.pressure.recent(now), now) && !harmful {
		return Decision{Admitted: true, Reason: InTime}
	}
	// (d) The caller returned at the reserved time.
	if held != nil {
		return Decision{Admitted: true, Reason: Reserved}
	}
	reason := NoCapacity
	if over {
		reason = OverShare
	}
	// (e) With a reservation the caller is served in time after a wait instead of late now. Callers
	// return once, so that a reservation for one that has returned would be lost. Those of an account
	// that had its share are given to others.
	limit := retryLimit(r, now)
	if !returned && used < 1 && !harmful {
		if at, ok := c.reserve(r, f, s, a, over, limit, now); ok {
			return Decision{Reason: reason, RetryAt: at, Reserved: true}
		}
	}
	// (f) The forecast may err; a request is refused only if it is late beyond that error.
	if over || f.FirstAt.Sub(r.Target) > forecastError(r, now) {
		d := Decision{Reason: reason}
		if f.RoomAt.After(now) && !f.RoomAt.After(limit) {
			d.RetryAt = f.RoomAt
		}
		return d
	}
	return Decision{Admitted: true, Reason: Late}
}

// normalized returns the request with numbers that can be computed with, and with Latest as the
// target if it has none: any first event up to Latest is in time then.
func normalized(r Request) Request {
	if !(r.Work >= 1) { // also if it is not a number
		r.Work = 1
	}
	r.Work = min(r.Work, maxWork)
	r.Priority = min(max(r.Priority, 0), numPriorities-1)
	if !(r.Weight > 0) || math.IsInf(r.Weight, 1) {
		r.Weight = 1
	}
	if r.Target.IsZero() {
		r.Target = r.Latest
	}
	return r
}

// tooLate reports whether the first event comes when it is of no use any more.
func tooLate(r Request, f Forecast) bool {
	return !r.Latest.IsZero() && f.FirstAt.After(r.Latest)
}

// meetsTarget reports whether the first event comes by the target, or, for an account over its
// share, in half of the time until then.
func meetsTarget(r Request, f Forecast, over bool, now time.Time) bool {
	if r.Target.IsZero() {
		return true
	}
	due := r.Target
	if over {
		due = now.Add(r.Target.Sub(now) / 2)
	}
	return !f.FirstAt.After(due)
}

// forecastError returns the usual error of a forecast: half of the time until the target. A longer
// wait holds more requests that may be overtaken by more urgent ones, or meet a slower endpoint. Up
// to one and a half times the target, a response is of more use to its caller than a refusal.
func forecastError(r Request, now time.Time) time.Duration {
	return max(0, r.Target.Sub(now)/2)
}

// retryLimit returns the latest time to which the caller waits when asked to. Callers without a
// deadline wait as long as times can be reserved for.
func retryLimit(r Request, now time.Time) time.Time {
	if r.Latest.IsZero() {
		return now.Add(slotLength * numSlots)
	}
	return now.Add(r.Latest.Sub(now) / retryFraction)
}

// service returns the state of a service.
func (c *Controller) service(name string, now time.Time) *service {
	if !now.Before(c.sweepAt) {
		for name, s := range c.services {
			if now.Sub(s.lastSeen) >= retention {
				delete(c.services, name)
			}
		}
		c.sweepAt = now.Add(retention)
	}
	s := c.services[name]
	if s == nil {
		s = &service{since: now, shares: newShares(), slots: slots{epoch: now}}
		c.services[name] = s
	}
	s.lastSeen = now
	return s
}
