package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/pace"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Guards against a forecast that leaves out one of its inputs or adds waits that overlap.
func TestTimeToFirst(t *testing.T) {
	engine := Candidate{Slowdown: 1, Pace: pace.Model{Base: float64(10 * time.Millisecond), Token: float64(20 * time.Microsecond)}}
	slow := engine
	slow.Slowdown = 2.5
	plain := Candidate{Slowdown: 1, Work: 60 * time.Millisecond}
	for _, test := range []struct {
		name string
		at   Candidate
		b    backlog
		want time.Duration
	}{
		{"an idle endpoint", engine, backlog{slots: 4}, 30 * time.Millisecond},
		{"prompts ahead", engine, backlog{slots: 4, occupied: 2, aheadTokens: 5000}, 130 * time.Millisecond},
		{"a slow endpoint", slow, backlog{slots: 4, occupied: 2, aheadTokens: 5000}, 325 * time.Millisecond},
		{"no free slot", engine, backlog{slots: 4, occupied: 4, slotHeld: 800 * time.Millisecond}, 230 * time.Millisecond},
		{"requests that wait", engine, backlog{slots: 4, occupied: 4, aheadRequests: 2, slotHeld: 800 * time.Millisecond}, 630 * time.Millisecond},
		{"prompts processed while it waits", engine, backlog{slots: 4, occupied: 4, aheadTokens: 5000, slotHeld: 800 * time.Millisecond}, 230 * time.Millisecond},
		{"prompts that take longer than a slot", engine, backlog{slots: 4, occupied: 4, aheadTokens: 20_000, slotHeld: 800 * time.Millisecond}, 430 * time.Millisecond},
		{"an endpoint whose slots are unknown", engine, backlog{occupied: 4, slotHeld: time.Second}, 30 * time.Millisecond},
		{"a plain endpoint", plain, backlog{slots: 6, occupied: 5, slotHeld: plain.Work}, 60 * time.Millisecond},
		{"a full plain endpoint", plain, backlog{slots: 6, occupied: 6, aheadRequests: 5, slotHeld: plain.Work}, 120 * time.Millisecond},
	} {
		r := &Request{Engine: test.at.Work == 0}
		if got := test.at.timeToFirst(r, 1000, &test.b); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

// forecastOf returns the forecast for a request that is not placed.
func forecastOf(t *Tracker, endpoints []registry.Endpoint, r *Request, now time.Time) (f Forecast) {
	t.PickIf(endpoints, r, now, func(got Forecast) bool {
		f = got
		return false
	})
	return f
}

func urgent(r *Request, priority int) *Request {
	r.Priority = priority
	return r
}

// Endpoints process the prompts of more urgent requests first: a forecast that counted all would
// refuse urgent requests because of others that do not delay them.
func TestOnlyPromptsOfTheSamePriorityOrAMoreUrgentOneDelayARequest(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	first := func(priority int) time.Duration {
		return forecastOf(tr, endpoints(1), urgent(prompt("x", 1000, ""), priority), now).First
	}
	idle := first(0)
	k, _ := tr.Pick(endpoints(1), urgent(prompt("a", 8000, ""), 1), now)
	is.Equal(first(0), idle)
	delayed := idle + time.Duration(8000*pace.Prior.Token)
	is.True(near(first(1), delayed))
	is.True(near(first(2), delayed))
	is.Equal(first(1), first(policy.Priorities+5)) // out of range
	now = now.Add(pace.Prior.FirstEventTime(8000))
	k.PromptRead(now)
	is.True(near(first(2), idle))
	// Reports of other instances contain no priorities.
	tr.Apply("other", Update{Loads: map[string]Load{"s0": {Open: 1, Prompt: 8000}}}, now.Add(time.Minute), now)
	is.True(near(first(0), delayed))
}

func near(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }

// Guards against two requests that are both admitted because each of them alone would be in time.
func TestTwoRequestsDoNotGetTheSameRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	latest := forecastOf(tr, endpoints(2), prompt("x", 5000, ""), now).First + time.Millisecond
	admitted := 0
	for i := range 6 {
		r := prompt(fmt.Sprint(i), 5000, "")
		if _, ok := tr.PickIf(endpoints(2), r, now, func(f Forecast) bool { return f.First <= latest }); ok {
			admitted++
		}
	}
	is.Equal(admitted, 2) // one at each endpoint
}

// A request that is refused must leave no trace, or later ones are refused because of it.
func TestARefusedRequestCountsNowhere(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	before := forecastOf(tr, endpoints(3), prompt("x", 5000, "subject"), now)
	for i := range 20 {
		_, ok := tr.PickIf(endpoints(3), prompt(fmt.Sprint(i), 5000, "subject"), now, func(Forecast) bool { return false })
		is.True(!ok)
	}
	is.Equal(len(tr.Loads()), 0)
	is.Equal(forecastOf(tr, endpoints(3), prompt("x", 5000, "subject"), now), before)
	is.Equal(tr.Demand(now)["llm"], Demand{})
}

// Occupancy comes from the requests placed here and from load reports, whichever is larger; reports
// that are older than the queue that they tell of must not count.
func TestOccupancy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithQueueReports(loads))
	all := endpoints(4)
	r := prompt("x", 100, "")
	r.Slots = 4
	got := func(now time.Time) Forecast { return forecastOf(tr, all, r, now) }
	is.Equal(got(now).Occupancy, 0.0)
	for range 8 {
		tr.PickIf(all, r, now, func(Forecast) bool { return true })
	}
	is.Equal(got(now).Occupancy, 0.5) // at the same moment: not from the last sum alone
	is.Equal(got(now.Add(time.Second)).Occupancy, 0.5)
	now = now.Add(time.Minute)
	loads.Observe(&all[0], loadreport.Report{Running: 4, Waiting: 3, Slots: 4, Slowdown: 1}, now)
	f := got(now.Add(maxReportAge))
	is.True(f.Occupancy > 0.5)
	is.Equal(f.Waiting, 3)
	f = got(now.Add(maxReportAge + time.Millisecond + capacityTTL))
	is.Equal(f.Occupancy, 0.5)
	is.Equal(f.Waiting, 0)
	for range 12 {
		tr.PickIf(all, r, now, func(Forecast) bool { return true })
	}
	f = got(now.Add(time.Minute))
	is.Equal(f.Occupancy, 1.0)
	is.Equal(f.Waiting, 4)
}

// The mean time that a slot is held must be found also while every request waits for a slot: then
// the whole time of a request is much longer.
func TestTheTimeThatASlotIsHeldIsLearnedUnderLoad(t *testing.T) {
	const held, slots, queue = 200 * time.Millisecond, 4, 12
	now := time.Unix(1000, 0)
	tr := NewTracker()
	var open []*Ticket
	for i := range 400 {
		r := prompt(fmt.Sprint(i), 100, "")
		r.Slots = slots
		k, _ := tr.PickIf(endpoints(1), r, now, func(Forecast) bool { return true })
		open = append(open, k)
		if len(open) >= slots+queue { // the endpoint works on the oldest requests
			now = now.Add(held / slots)
			open[0].PromptRead(now)
			open[0].Done(Answered, now)
			open = open[1:]
		}
	}
	got := time.Duration(tr.services["llm"].slotHeld.mean) // the endpoint's slowdown counts separately
	slow := tr.endpoints["s0"].slowdownAt(now)
	t.Log(got, slow)
	if at := time.Duration(float64(got) * slow); at < held*8/10 || at > held*12/10 {
		t.Errorf("a slot is held for %s, estimated %s", held, at)
	}
}

// Prompt tokens by priority must always add up to the endpoint's load: what is counted twice or
// never removed delays every later forecast.
func TestUnreadPromptsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, now := NewTracker(), time.Unix(1000, 0)
		var open []*Ticket
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch n := len(open); rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := urgent(prompt(fmt.Sprint(i), rapid.IntRange(0, 9000).Draw(t, "tokens"), ""), rapid.IntRange(-1, 12).Draw(t, "priority"))
				k, _ := tr.Pick(endpoints(3), r, now)
				open = append(open, k)
			case 2:
				if n > 0 {
					open[rapid.IntRange(0, n-1).Draw(t, "read")].PromptRead(now)
				}
			case 3:
				if n > 0 {
					open[rapid.IntRange(0, n-1).Draw(t, "done")].Done(Result(rapid.IntRange(0, 3).Draw(t, "result")), now)
				}
			}
			for id, s := range tr.endpoints {
				sum := unread{}
				for _, u := range s.unread {
					if u.requests < 0 || u.tokens < 0 {
						t.Fatalf("%s: negative count %+v", id, u)
					}
					sum.requests += u.requests
					sum.tokens += u.tokens
				}
				if sum.tokens != s.load.Prompt || sum.requests > s.load.Open {
					t.Fatalf("%s: %+v unread, load %+v", id, sum, s.load)
				}
			}
		}
	})
}
