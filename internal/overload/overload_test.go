package overload

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// typical returns a request of which the first event is due in 800 ms and of use for 3 s.
func typical(fingerprint uint64, now time.Time) Request {
	return Request{
		Service: "model", Account: "a", Weight: 1, Priority: 1, Work: 1000, Fingerprint: fingerprint,
		Target: now.Add(800 * time.Millisecond), Latest: now.Add(3 * time.Second),
	}
}

// busy returns a forecast of endpoints without free slots, by the time to the first event.
func busy(first time.Duration, now time.Time) Forecast {
	return Forecast{
		FirstAt: now.Add(first), RoomAt: now.Add(max(0, first-800*time.Millisecond)), Occupancy: 1, Waiting: 10,
	}
}

// observed returns a controller for which four accounts sent 400,000 units of work per second for 3 s,
// all admitted.
func observed() (*Controller, time.Time) { return observedWith(everything) }

func observedWith(o Options) (*Controller, time.Time) {
	c, now := New(o), start
	for i := range 1200 {
		now = start.Add(time.Duration(i) * 2500 * time.Microsecond)
		r := typical(0, now)
		r.Account = string(rune('a' + i%4))
		c.Decide(r, busy(100*time.Millisecond, now), now)
	}
	return c, now
}

// overShare makes account z ask for three times its share; all that it asks for beyond is refused.
func overShare(c *Controller, now time.Time) time.Time {
	for range 800 {
		now = now.Add(2500 * time.Microsecond)
		for i, account := range []string{"a", "z", "z", "z"} {
			r := typical(0, now)
			r.Account = account
			f := busy(100*time.Millisecond, now)
			if i > 1 {
				f = busy(5*time.Second, now)
			}
			c.Decide(r, f, now)
		}
	}
	return now
}

// Guards against a change of the rules, their order or their bounds.
func TestRules(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name   string
		over   bool
		first  time.Duration
		change func(*Request, *Forecast)
		want   Decision // without RetryAt
	}{
		{name: "(a) too late", first: 3001 * ms, want: Decision{Reason: TooLate}},
		{name: "(a) before (b)", first: 3001 * ms, change: free, want: Decision{Reason: TooLate}},
		{name: "(b) slots are free", first: 2900 * ms, change: free, want: Decision{Admitted: true, Reason: Capacity}},
		{name: "(b) over its share", over: true, first: 2900 * ms, change: free, want: Decision{Admitted: true, Reason: Capacity}},
		{name: "(b) not while requests wait", first: 1300 * ms, change: func(_ *Request, f *Forecast) { f.Occupancy = 0.3 }, want: Decision{Reason: NoCapacity}},
		{name: "(c) in time", first: 800 * ms, want: Decision{Admitted: true, Reason: InTime}},
		{name: "(c) over its share with half to spare", over: true, first: 400 * ms, want: Decision{Admitted: true, Reason: InTime}},
		{name: "(c) over its share without", over: true, first: 401 * ms, want: Decision{Reason: OverShare}},
		{name: "(c) no target", first: 2900 * ms, change: func(r *Request, _ *Forecast) { r.Target = time.Time{} }, want: Decision{Admitted: true, Reason: InTime}},
		{name: "(c) no target and no deadline", first: time.Hour, change: func(r *Request, _ *Forecast) { r.Target, r.Latest = time.Time{}, time.Time{} }, want: Decision{Admitted: true, Reason: InTime}},
		{name: "(e) a reservation", first: 900 * ms, change: recognized, want: Decision{Reason: NoCapacity, Reserved: true}},
		{name: "(e) not without a fingerprint", first: 900 * ms, want: Decision{Admitted: true, Reason: Late}},
		{name: "(e) not after a third of the time left", first: 1199 * ms, change: func(r *Request, f *Forecast) { recognized(r, f); r.Latest = r.Latest.Add(-1800 * ms) }, want: Decision{Admitted: true, Reason: Late}},
		{name: "(f) late within the error of the forecast", first: 1200 * ms, want: Decision{Admitted: true, Reason: Late}},
		{name: "(f) late beyond it", first: 1201 * ms, want: Decision{Reason: NoCapacity}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, now := observed()
			r := typical(0, now)
			if test.over {
				now = overShare(c, now)
				r = typical(0, now)
				r.Account = "z"
			}
			f := busy(test.first, now)
			if test.change != nil {
				test.change(&r, &f)
			}
			got := c.Decide(r, f, now)
			retry := got.RetryAt
			got.RetryAt = time.Time{}
			if got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if !retry.IsZero() && (got.Admitted || !retry.After(now) || retry.After(now.Add(r.Latest.Sub(now)/3))) {
				t.Errorf("told to return %v later", retry.Sub(now))
			}
		})
	}
}

func free(_ *Request, f *Forecast)       { f.Occupancy, f.Waiting = 0.49, 0 }
func recognized(r *Request, _ *Forecast) { r.Fingerprint = 1 }

// Guards against a time without room, or one that the client would not wait for.
func TestARefusalWithoutReservationNamesTheTimeOfRoom(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	d := c.Decide(typical(0, now), busy(1300*time.Millisecond, now), now)
	is.Equal(d, Decision{Reason: NoCapacity, RetryAt: now.Add(500 * time.Millisecond)})
	d = c.Decide(typical(0, now), busy(2*time.Second, now), now)
	is.Equal(d, Decision{Reason: NoCapacity}) // there is room after 1.2 s, more than a third of 3 s
}

// Guards against refusals on the ground of shares that are not known yet, and against requests that
// are admitted although they are of no use.
func TestANewControllerRefusesOnlyWhatIsTooLate(t *testing.T) {
	is := is.New(t)
	c, now := New(everything), start
	for now.Sub(start) < 1900*time.Millisecond {
		now = now.Add(5 * time.Millisecond)
		r := typical(0, now)
		first := 700 * time.Millisecond // without half of the time to spare
		switch {
		case now.UnixMilli()%100 == 0: // within its share, and short of time
			r.Account = "c"
		case now.UnixMilli()%2 == 0:
			r.Account, first = "b", 2*time.Second
		}
		d := c.Decide(r, busy(first, now), now)
		is.Equal(d.Admitted, r.Account != "b")
	}
	is.Equal(c.Decide(typical(0, now), busy(4*time.Second, now), now).Reason, TooLate)
	now = start.Add(2100 * time.Millisecond)
	is.Equal(c.Decide(typical(0, now), busy(700*time.Millisecond, now), now).Reason, OverShare)
}

// Guards against a reward for clients that come early, and against one lost by those that keep their
// time, also if their account is over its share.
func TestReturningRequests(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		early   time.Duration // before the time
		account string
		want    Reason
	}{
		{"at once", time.Hour, "a", TooEarly},
		{"too early", 21 * ms, "a", TooEarly},
		{"just early", 20 * ms, "a", Reserved},
		{"in time", 0, "a", Reserved},
		{"over its share", 0, "z", Reserved},
		{"late", -300 * ms, "a", Reserved},
		{"too late", -301 * ms, "a", NoCapacity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c, now := observed()
			if test.account == "z" {
				now = overShare(c, now)
				now = now.Add(600 * ms) // the account was admitted less than its share
			}
			r := typical(7, now)
			r.Account = test.account
			d := c.Decide(r, busy(1300*ms, now), now)
			is.True(d.Reserved)
			is.True(!d.RetryAt.Before(now.Add(500 * ms))) // when the forecast says that there is room

			at := d.RetryAt.Add(-test.early)
			if at.Before(now) {
				at = now.Add(time.Millisecond)
			}
			r.Target, r.Latest = at.Add(800*ms), now.Add(3*time.Second)
			again := c.Decide(r, busy(1500*ms, at), at)
			is.Equal(again.Reason, test.want)
			is.True(again.Returned)
			is.Equal(again.Admitted, test.want == Reserved)
			if test.want == TooEarly {
				is.Equal(again.RetryAt, d.RetryAt)
				at = d.RetryAt
				r.Target = at.Add(800 * ms)
				is.Equal(c.Decide(r, busy(1500*ms, at), at).Reason, Reserved) // its reservation is kept
			}
			third := c.Decide(r, busy(100*ms, at), at)
			is.Equal(third.Returned, test.want == NoCapacity) // a reservation admits once
		})
	}
}

// Guards against reservations that admit other callers' requests.
func TestReservationsBelongToServiceAccountAndFingerprint(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	d := c.Decide(typical(7, now), busy(1300*time.Millisecond, now), now)
	is.True(d.Reserved)
	for _, change := range []func(*Request){
		func(r *Request) { r.Account = "b" },
		func(r *Request) { r.Service = "other" },
		func(r *Request) { r.Fingerprint = 8 },
		func(r *Request) { r.Fingerprint = 0 },
	} {
		r := typical(7, d.RetryAt)
		change(&r)
		is.True(!c.Decide(r, busy(2*time.Second, d.RetryAt), d.RetryAt).Returned)
	}
}

// Guards against clients that are sent away together and return together, and against more of them
// than the endpoints can serve beside others.
func TestReservationsAreSpread(t *testing.T) {
	is := is.New(t)
	c, now := observedWith(Options{Reservations: true}) // a single account sends all
	accepted := c.services["model"].accepted.upTo(numPriorities-1, now)
	times := map[time.Time]bool{}
	slotWork := map[time.Duration]float64{}
	for i := range 400 {
		d := c.Decide(typical(uint64(i+1), now), busy(1300*time.Millisecond, now), now)
		if !d.Reserved {
			continue
		}
		is.True(!times[d.RetryAt])
		times[d.RetryAt] = true
		slotWork[d.RetryAt.Sub(start).Truncate(slotLength)] += 1000
	}
	// From 500 ms to 1 s, ten slots of 10 requests, less for the one that is cut.
	is.True(len(times) >= 90)
	for _, work := range slotWork {
		is.True(work <= accepted*slotLength.Seconds()/2*1.1) // the average is corrected for its beginning
	}
}

// Guards against services whose requests are larger than the capacity of a slot.
func TestLargeRequestsGetReservations(t *testing.T) {
	is := is.New(t)
	c, now := observedWith(Options{Reservations: true}) // a single account sends all
	var times []time.Time
	for i := range 10 {
		r := typical(uint64(i+1), now)
		r.Work = 35_000 // the capacity of a slot is 10,000
		if d := c.Decide(r, busy(1300*time.Millisecond, now), now); d.Reserved {
			times = append(times, d.RetryAt)
		}
	}
	is.Equal(len(times), 2) // of 35,000 each in the 100,000 between 500 ms and 1 s, with cut slots
	is.True(times[1].Sub(times[0]) >= 150*time.Millisecond)
}

// Guards against reservations for less urgent requests in capacity that more urgent ones take.
func TestLessUrgentRequestsReserveWhatTheOthersLeave(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	r := typical(1, now)
	r.Priority = 2 // none was accepted
	is.True(!c.Decide(r, busy(1300*time.Millisecond, now), now).Reserved)
	r.Fingerprint, r.Priority = 2, 0
	is.True(c.Decide(r, busy(1300*time.Millisecond, now), now).Reserved)
}

// Guards against the demand of an account that grows with each repetition, as the account would be
// over its share for being refused.
func TestARequestIsCountedOnceInTheDemand(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	a := c.services["model"].shares.accounts["a"]
	for _, first := range []time.Duration{1300 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		r := typical(uint64(first), now)
		c.Decide(r, busy(first, now), now)
		before := a.asked.At(averaging, now)
		d := c.Decide(r, busy(first, now), now)
		is.True(d.Returned)
		is.Equal(a.asked.At(averaging, now), before)
	}
}

// Guards against admissions that are counted at two hubs.
func TestDeclinedTakesBackAnAdmission(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	s := c.services["model"]
	state := func() [3]float64 {
		a := s.shares.accounts["a"]
		return [3]float64{s.accepted.upTo(7, now), a.admitted.upTo(7, now), a.asked.At(averaging, now)}
	}
	before := state()
	r := typical(1, now)
	is.True(c.Decide(r, busy(0, now), now).Admitted)
	is.True(state()[0] > before[0])
	c.Declined(r, now)
	after := state()
	for i := range after {
		is.True(math.Abs(after[i]-before[i]) < 1e-6*before[i])
	}
	c.Declined(Request{Service: "unknown"}, now)
}

// Guards against requests that are admitted in time by the queue of the moment and then overtaken.
func TestMoreUrgentArrivalsDelayAForecast(t *testing.T) {
	is := is.New(t)
	var a accepted
	now := start
	for range 5000 {
		now = now.Add(time.Millisecond)
		a.add(0, 50, now)
	}
	r := Request{Priority: 1, Target: now.Add(150 * time.Millisecond)}
	f := Forecast{FirstAt: now.Add(300 * time.Millisecond), RoomAt: now.Add(150 * time.Millisecond), Alone: 100 * time.Millisecond, Rate: 100_000}
	got := a.correct(f, r, now)
	is.True(got.FirstAt.Sub(now.Add(500*time.Millisecond)).Abs() < 5*time.Millisecond)
	is.Equal(a.correct(f, Request{Target: r.Target}, now), f) // nothing is more urgent
	f.Rate = 0
	is.Equal(a.correct(f, r, now), f) // the rate is not known
	f.Rate, f.FirstAt = 1, now.Add(1000*time.Hour)
	is.Equal(a.correct(f, r, now), f)
}

// Guards against memory that grows with callers, accounts and services.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	c, now := observedWith(Options{Reservations: true}) // a single account sends all
	for i := range 20_000 {
		r := typical(uint64(i+1), now)
		r.Work, r.Latest = 1, now.Add(30*time.Second)
		first := 1300 * time.Millisecond
		if i%2 == 0 {
			first = 20 * time.Second
		}
		c.Decide(r, busy(first, now), now)
	}
	is.Equal(len(c.reservations.entries), maxReservations)
	is.Equal(len(c.refused.entries), maxRefused)
	is.Equal(len(c.reservations.byExpiry), maxReservations)
	for i := range 1000 {
		r := typical(0, now)
		r.Account = fmt.Sprint("account ", i)
		c.Decide(r, busy(0, now), now)
		r.Service = fmt.Sprint("service ", i)
		c.Decide(r, busy(0, now), now)
	}
	for range 4000 {
		now = now.Add(5 * time.Millisecond)
		c.Decide(typical(0, now), busy(0, now), now)
	}
	is.Equal(len(c.services), 1)
	is.Equal(len(c.services["model"].shares.list), 1)
	is.Equal(len(c.services["model"].shares.accounts), 1)
	is.Equal(len(c.reservations.entries), 0)
	is.Equal(len(c.refused.entries), 0)
}

// Guards against decisions that panic, allocate without end or name past times for odd input.
func TestAnyInputIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(Options{rapid.Bool().Draw(t, "shares"), rapid.Bool().Draw(t, "reservations")}), start
		moment := rapid.Custom(func(t *rapid.T) time.Time {
			if rapid.IntRange(0, 9).Draw(t, "none") == 0 {
				return time.Time{}
			}
			return now.Add(time.Duration(rapid.Int64Range(-5e9, 20e9).Draw(t, "ns")))
		})
		number := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1e5), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1)}))
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 5e8).Draw(t, "later")))
			r := Request{
				Service:  rapid.SampledFrom([]string{"", "s", "t"}).Draw(t, "service"),
				Account:  rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"),
				Weight:   number.Draw(t, "weight"),
				Priority: rapid.IntRange(-1, 20).Draw(t, "priority"),
				Work:     number.Draw(t, "work"), Target: moment.Draw(t, "target"), Latest: moment.Draw(t, "latest"),
				Fingerprint: rapid.Uint64Range(0, 20).Draw(t, "fingerprint"),
			}
			f := Forecast{
				FirstAt: moment.Draw(t, "first"), RoomAt: moment.Draw(t, "room"), Occupancy: rapid.Float64Range(0, 1).Draw(t, "occupancy"),
				Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"), Rate: number.Draw(t, "rate"),
			}
			d := c.Decide(r, f, now)
			tooLate := !r.Latest.IsZero() && f.FirstAt.After(r.Latest)
			switch {
			case d.Admitted && (tooLate || !d.RetryAt.IsZero() || d.Reserved):
				t.Fatalf("%+v", d)
			case !d.Admitted && !tooLate && f.Occupancy < 0.5 && f.Waiting == 0:
				t.Fatalf("refused with free slots: %+v", d)
			case !d.RetryAt.IsZero() && !d.RetryAt.After(now):
				t.Fatalf("told to return in the past: %+v", d)
			case d.Reason == "":
				t.Fatal("no reason")
			}
		}
	})
}

// Guards against shares that are not max-min fair: a share lowered while a larger one, relative to its
// weight, is not.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []demand
		sum := 0.0
		for range rapid.IntRange(1, 20).Draw(t, "accounts") {
			d := demand{work: rapid.Float64Range(0, 100).Draw(t, "work"), weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			demands = append(demands, d)
			sum += d.work
		}
		total := rapid.Float64Range(0, sum*1.1).Draw(t, "total")
		level := maxMinLevel(slices.Clone(demands), total)
		got, cut := 0.0, false
		for _, d := range demands {
			got += min(d.work, level*d.weight)
			cut = cut || d.work > level*d.weight
		}
		if math.Abs(got-min(sum, total)) > 1e-6*(1+sum) {
			t.Fatalf("shares sum to %v of %v, demands to %v", got, total, sum)
		}
		if cut == math.IsInf(level, 1) {
			t.Fatalf("level %v for demands of %v and a total of %v", level, sum, total)
		}
	})
}

// benchmark measures the decisions on requests that are admitted in time, with one request per account
// in 5 ms.
func benchmark(b *testing.B, accounts int) {
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	c, now := New(everything), start
	step := 5 * time.Millisecond / time.Duration(accounts)
	decide := func(i int) {
		now = now.Add(step)
		r := typical(uint64(i+1), now)
		r.Account = names[i%accounts]
		f := busy(300*time.Millisecond, now)
		f.Rate = 1e9
		if !c.Decide(r, f, now).Admitted {
			b.Fatal("refused")
		}
	}
	for i := range 10 * accounts {
		decide(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		decide(i)
	}
}

func BenchmarkDecide16Accounts(b *testing.B)  { benchmark(b, 16) }
func BenchmarkDecide333Accounts(b *testing.B) { benchmark(b, 333) }

// BenchmarkLevel333Accounts measures the computation of the level, which one decision in 50 ms makes.
func BenchmarkLevel333Accounts(b *testing.B) {
	s, now := newShares(), start
	for i := range 333 {
		s.account(fmt.Sprint("account-", i), 1, now).ask(float64(100+i), now)
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		s.update(40_000, now)
	}
}

// BenchmarkRefuse333Accounts measures decisions under overload: one in four requests is admitted in
// time, the others are refused with a reservation or without.
func BenchmarkRefuse333Accounts(b *testing.B) {
	names := make([]string, 333)
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
	}
	c, now := New(everything), start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(500 * time.Microsecond)
		r := typical(uint64(i+1), now)
		r.Account = names[i%len(names)]
		first := 1300 * time.Millisecond
		if i%4 == 0 {
			first = 100 * time.Millisecond
		}
		c.Decide(r, busy(first, now), now)
	}
}

// Guards against an allocation for each admitted request.
func TestAdmittedRequestsAllocateNothing(t *testing.T) {
	c, now := observed()
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		c.Decide(typical(0, now), busy(100*time.Millisecond, now), now)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Guards against a log that shows other shares than those that requests are decided by.
func TestShare(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	is.Equal(c.Share("llm", "nobody", now), Share{})
	is.True(!c.Share(typical(0, now).Service, "a", now).Over)
	now = overShare(c, now)
	s := c.Share(typical(0, now).Service, "z", now)
	is.True(s.Over)
	is.True(s.Demand > 2*s.Fair && s.Demand < 4*s.Fair)
}

// Guards against refusals that help nobody: while all accounts ask for more than their shares, or no other
// is short of time, a request that meets its target is admitted.
func TestSharesRestrictOnlyForTheSakeOfOthers(t *testing.T) {
	is := is.New(t)
	c, now := New(everything), start
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for _, account := range []string{"a", "b"} { // each gets half of what it asks for
			r := typical(0, now)
			r.Account = account
			c.Decide(r, busy(700*time.Millisecond, now), now)
			c.Decide(r, busy(2*time.Second, now), now)
		}
	}
	r := typical(0, now)
	is.True(c.Share(r.Service, "a", now).Over)
	is.True(c.Decide(r, busy(700*time.Millisecond, now), now).Admitted)
}

// Guards against public routes that are served less than others: their requests have no account, so that
// together they would be one with the smallest weight.
func TestRequestsWithoutAccountAreNotOverAShare(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	for range 800 {
		now = now.Add(2500 * time.Microsecond)
		small, public := typical(0, now), typical(0, now)
		small.Account, public.Account = "a", ""
		c.Decide(small, busy(700*time.Millisecond, now), now)
		is.True(c.Decide(public, busy(700*time.Millisecond, now), now).Admitted)
		c.Decide(public, busy(5*time.Second, now), now)
	}
	is.True(!c.Share(typical(0, now).Service, "", now).Over)
}

// Guards against an account that escapes its share by sending the same request again and again.
func TestEndlessRepetitionsCountAsDemand(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	for range 800 {
		now = now.Add(2500 * time.Microsecond)
		r := typical(0, now)
		r.Account, r.Fingerprint = "a", 7
		is.True(!c.Decide(r, busy(5*time.Second, now), now).Admitted)
	}
	is.True(c.Share(typical(0, now).Service, "a", now).Demand > 100*typical(0, now).Work)
}

// Guards against a negative demand, which would raise the shares of others, after an offer for a request
// that returned is declined, or one is declined late.
func TestADemandIsNotNegative(t *testing.T) {
	is := is.New(t)
	c, now := New(everything), start
	r := typical(0, now)
	r.Fingerprint = 7
	is.True(!c.Decide(r, busy(5*time.Second, now), now).Admitted)
	now = now.Add(500 * time.Millisecond)
	r = typical(0, now)
	r.Fingerprint = 7
	is.True(c.Decide(r, busy(100*time.Millisecond, now), now).Admitted)
	c.Declined(r, now)
	c.Declined(r, now.Add(time.Second))
	is.True(c.Share(r.Service, r.Account, now).Demand >= 0)
}

// Guards against averages that are infinite or no number after a request is decided whose time was read
// before this process was suspended and one that was read after it.
func TestTimesOutOfOrderAreDecided(t *testing.T) {
	is := is.New(t)
	c, now := observed()
	resumed := now.Add(15 * time.Minute)
	c.Decide(typical(0, resumed), busy(100*time.Millisecond, resumed), resumed)
	c.Decide(typical(0, now), busy(100*time.Millisecond, now), now)
	is.Equal(c.Decide(typical(0, resumed), busy(5*time.Second, resumed), resumed).Reason, TooLate)
	s := c.Share(typical(0, now).Service, typical(0, now).Account, resumed)
	is.True(s.Demand >= 0 && !math.IsInf(s.Demand, 0))
}
