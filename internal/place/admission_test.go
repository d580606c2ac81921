package place

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/overload"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// fakeAdmission admits requests that meet their target, and records what it was asked.
type fakeAdmission struct {
	requests  []overload.Request
	forecasts []overload.Forecast
	declined  []overload.Request
	retryAt   time.Time
}

func (a *fakeAdmission) Decide(r overload.Request, f overload.Forecast, _ time.Time) overload.Decision {
	a.requests, a.forecasts = append(a.requests, r), append(a.forecasts, f)
	if f.FirstAt.After(r.Target) {
		return overload.Decision{Reason: overload.NoCapacity, RetryAt: a.retryAt}
	}
	return overload.Decision{Admitted: true, Reason: overload.InTime}
}

func (a *fakeAdmission) Share(string, string, time.Time) overload.Share { return overload.Share{} }

func (a *fakeAdmission) Declined(r overload.Request, _ time.Time) { a.declined = append(a.declined, r) }

// newOverloadScheduler returns a scheduler for endpoints that report their slowdown.
func newOverloadScheduler(a Admission, all []registry.Endpoint) *Scheduler {
	loads := loadreport.New()
	loads.Observe(&all[0], loadreport.Report{Slots: 4, Slowdown: 1}, start)
	d := New(start, loads)
	d.SetAdmission(a, func(account string) float64 { return float64(len(account)) }, ignoreShare)
	return d
}

var _ Admission = overload.New(overload.Options{})

// A hub must refuse what its forecast shows to be late, say when there is room, and keep no trace of
// what it refused.
func TestARequestThatIsNotAdmittedIsRefused(t *testing.T) {
	is := is.New(t)
	a := &fakeAdmission{retryAt: start.Add(time.Second)}
	d := newOverloadScheduler(a, endpoints(2))
	offer := func(id string) (Offer, bool) {
		r := prompt(id)
		r.Tokens, r.Payer, r.Priority, r.Fingerprint = 10_000, "north", 2, 7
		r.Target, r.Latest = start.Add(300*time.Millisecond), start.Add(time.Second)
		return d.Offer(Requester{"a", 1}, endpoints(2), r, start.Add(time.Minute), start)
	}
	for i := range 2 {
		_, ok := offer(fmt.Sprint(i))
		is.True(ok)
	}
	o, ok := offer("late")
	is.True(!ok)
	is.Equal(o.Endpoint, "")
	is.Equal(o.Refusal.Reason, overload.NoCapacity)
	is.Equal(o.Refusal.RetryAt, a.retryAt)
	is.True(o.Refusal.FirstAt.After(start.Add(300 * time.Millisecond)))
	is.Equal(o.Refusal.RoomAt, start.Add(o.Refusal.FirstAt.Sub(start.Add(300*time.Millisecond))))
	is.Equal(o.Refusal.Occupancy, 0.25) // 2 of 8
	is.Equal(d.Open(), 2)
	again, _ := offer("late")
	is.Equal(again.Refusal.Forecast, o.Refusal.Forecast)
	got := a.requests[0]
	is.Equal(got, overload.Request{
		Service: "llm", Account: "north", Weight: 5, Priority: 2, Work: 10_000,
		Target: start.Add(300 * time.Millisecond), Latest: start.Add(time.Second), Fingerprint: 7,
	})
}

// Requests that a hub must not refuse are not even asked about: a decision would count them in the
// fair shares of the accounts.
func TestRequestsThatMayNotBeRefused(t *testing.T) {
	late := func() *balance.Request {
		r := prompt("x")
		r.Target = start.Add(time.Nanosecond)
		return r
	}
	for _, test := range []struct {
		name  string
		asked int
		with  func(d *Scheduler, r *balance.Request) time.Time
	}{
		{"one that may", 1, func(*Scheduler, *balance.Request) time.Time { return start }},
		{"placed before", 0, func(_ *Scheduler, r *balance.Request) time.Time {
			r.NoRefusal = true
			return start
		}},
		{"endpoints that no longer report", 0, func(*Scheduler, *balance.Request) time.Time { return start.Add(time.Minute) }},
		{"another service", 0, func(_ *Scheduler, r *balance.Request) time.Time {
			r.Service = "plain"
			return start
		}},
		{"no admission control", 0, func(d *Scheduler, _ *balance.Request) time.Time {
			d.admission = nil
			return start
		}},
	} {
		is := is.New(t)
		a := &fakeAdmission{}
		d, r := newOverloadScheduler(a, endpoints(2)), late()
		now := test.with(d, r)
		o, ok := d.Offer(Requester{"a", 1}, endpoints(2), r, now.Add(time.Minute), now)
		t.Log(test.name)
		is.Equal(len(a.requests), test.asked)
		is.Equal(ok, test.asked == 0)
		is.Equal(o.Refusal != nil, test.asked == 1)
	}
}

// A request without a target is late if it would come too late to be of use; one that fits has room
// now.
func TestRoomAt(t *testing.T) {
	is := is.New(t)
	f := balance.Forecast{First: 500 * time.Millisecond}
	room := func(r balance.Request) time.Duration { return forecastOf(&r, f, start).RoomAt.Sub(start) }
	is.Equal(room(balance.Request{}), 0*time.Second)
	is.Equal(room(balance.Request{Target: start.Add(time.Second)}), 0*time.Second)
	is.Equal(room(balance.Request{Target: start.Add(200 * time.Millisecond), Latest: start.Add(time.Second)}), 300*time.Millisecond)
	is.Equal(room(balance.Request{Latest: start.Add(400 * time.Millisecond)}), 100*time.Millisecond)
}

// The version on trial has its own endpoints: what is admitted there must not count as work that the
// endpoints of the service accept.
func TestTheVersionOnTrialIsDecidedOnItsOwn(t *testing.T) {
	is := is.New(t)
	r := prompt("x")
	r.Trial = true
	a := &admission{weight: func(string) float64 { return 1 }}
	is.True(a.requestOf(r, balance.Forecast{}).Service != r.Service)
}

// The controller is not safe for concurrent use; the race detector reports a call that is not
// guarded. Endpoints with room for one request each must not get two.
func TestConcurrentOffers(t *testing.T) {
	is := is.New(t)
	const hubEndpoints = 8
	a := &fakeAdmission{}
	all := endpoints(hubEndpoints)
	d := newOverloadScheduler(a, all)
	var wait sync.WaitGroup
	offers := make(chan Offer, 4*hubEndpoints)
	for i := range 4 * hubEndpoints {
		wait.Go(func() {
			r := prompt(fmt.Sprint(i))
			r.Tokens, r.Target = 10_000, start.Add(250*time.Millisecond)
			if o, ok := d.Offer(Requester{fmt.Sprint("n", i), 1}, all, r, start.Add(time.Minute), start); ok {
				offers <- o
			}
		})
	}
	wait.Wait()
	close(offers)
	got := make(map[string]int)
	for o := range offers {
		got[o.Endpoint]++
	}
	is.Equal(len(got), hubEndpoints)
	for _, n := range got {
		is.Equal(n, 1)
	}
}

// Each request is offered by two hubs and served by one. What the other admitted must not count as work
// that its endpoints took, which would double its reservations and the shares of accounts.
func TestADeclinedOfferIsNoAdmittedWork(t *testing.T) {
	is := is.New(t)
	a := &fakeAdmission{}
	d := newOverloadScheduler(a, endpoints(2))
	offer := func(id string) uint64 {
		r := prompt(id)
		r.Payer, r.Target = "north", start.Add(time.Second)
		o, ok := d.Offer(Requester{"a", 1}, endpoints(2), r, start.Add(time.Minute), start)
		is.True(ok)
		return o.Ticket
	}
	declined, answered, cancelled := offer("1"), offer("2"), offer("3")
	d.Update(Progress{Ticket: declined, Done: true, Result: balance.Cancelled, Declined: true}, start)
	is.Equal(a.declined, a.requests[:1])
	d.Update(Progress{Ticket: answered, PromptRead: true}, start)
	d.Update(Progress{Ticket: answered, Done: true, Result: balance.Answered}, start)
	d.Update(Progress{Ticket: cancelled, Done: true, Result: balance.Cancelled}, start)
	is.Equal(len(a.declined), 1) // the others were sent to their endpoints
}

func ignoreShare(overload.Request, overload.Share, time.Time) {}
