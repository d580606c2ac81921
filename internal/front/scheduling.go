package front

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/overload"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// startAdmission makes this instance, as a hub, refuse requests that it lacks the capacity for, if the
// settings ask for it.
func (p *placer) startAdmission() {
	s := p.instance.Settings.Overload
	if !s.Admission {
		return
	}
	c := overload.New(overload.Options{FairShares: s.FairShares, Reservations: s.Reservations})
	shares := event.NewShareLog(p.instance.event)
	p.scheduler.SetAdmission(c, p.accountWeight, func(r overload.Request, s overload.Share, now time.Time) {
		shares.Observe(event.Share{Service: r.Service, Account: r.Account, Over: s.Over, Share: s.Fair, Demand: s.Demand, Weight: r.Weight}, now)
	})
}

// accountWeight returns the weight of a client account's fair share.
func (p *placer) accountWeight(account string) float64 {
	if c := p.instance.view.Load().Config; c != nil {
		return c.Weight(account)
	}
	return 1
}

// observeScheduled logs when services begin and stop being scheduled with load reports.
func (n *Instance) observeScheduled(now time.Time) {
	config := n.view.Load().Config
	if config == nil || n.Settings.Overload == (settings.Overload{}) {
		return
	}
	for i := range config.Services {
		name := config.Services[i].Name
		n.scheduledServices.Observe(name, n.loads.Reporting(name, now))
	}
}

// writeScheduling adds to a request for an offer by what the hub decides on its admission. Times are
// sent as durations, since the clocks of instances differ.
func (p *placer) writeScheduling(q *peerpb.Place, r *balance.Request, now time.Time) {
	q.Priority, q.Output = int32(r.Priority), int64(r.OutputTokens)
	if !p.instance.Settings.Overload.Admission {
		return
	}
	q.Scheduled = !r.NoRefusal
	q.Payer = r.Payer
	q.Target, q.Useful = durationUntil(r.Target, now), durationUntil(r.Latest, now)
}

// readScheduling is the hub's side of writeScheduling. A hub must not refuse a request of an instance
// that does not schedule its requests, since the instance would not understand the refusal.
func readScheduling(r *balance.Request, q *peerpb.Place, now time.Time) {
	r.Priority, r.OutputTokens = int(q.Priority), int(q.Output)
	r.NoRefusal = !q.Scheduled
	r.Payer = q.Payer
	r.Target, r.Latest = timeAfter(q.Target, now), timeAfter(q.Useful, now)
}

// refusalMessage returns a hub's refusal for lack of capacity as it is sent.
func refusalMessage(r *place.Refusal, now time.Time) *peerpb.Overload {
	retry := durationUntil(r.RetryAt, now)
	if retry < 0 {
		retry = 1 // the client may return now
	}
	return &peerpb.Overload{
		Reason: string(r.Reason), Retry: retry, First: durationUntil(r.FirstAt, now),
		Occupancy: r.Occupancy, Waiting: int64(r.Waiting), ReportAge: int64(r.ReportAge), Returned: r.Returned, Reserved: r.Reserved,
	}
}

// overloadError returns the error for a hub's refusal, which arrived at now. The time to return counts
// from the arrival: a client that returns too early gains nothing, and the time that the message took
// is short.
func overloadError(hub topology.Member, x *peerpb.Overload, now time.Time) *forward.OverloadError {
	return &forward.OverloadError{
		Hub: hub.Name, Reason: x.Reason, RetryAt: timeAfter(x.Retry, now), FirstAt: timeAfter(x.First, now),
		Occupancy: x.Occupancy, Waiting: int(x.Waiting), ReportAge: time.Duration(x.ReportAge), Returned: x.Returned, Reserved: x.Reserved,
	}
}

// betterReturn returns the refusal whose time to return is better for the client: one that is reserved
// for it, as it comes only once, and else the earlier one. a may be nil.
func betterReturn(a, b *forward.OverloadError) *forward.OverloadError {
	switch {
	case a == nil || a.RetryAt.IsZero():
		return b
	case b.RetryAt.IsZero():
		return a
	case a.Reserved != b.Reserved:
		if a.Reserved {
			return a
		}
		return b
	case b.RetryAt.Before(a.RetryAt):
		return b
	}
	return a
}

// durationUntil returns the nanoseconds until a time as they are sent: 0 stands for no time.
func durationUntil(t, now time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	if d := t.Sub(now); d != 0 {
		return int64(d)
	}
	return 1
}

// timeAfter is the reverse of durationUntil.
func timeAfter(nanoseconds int64, now time.Time) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(nanoseconds))
}
