package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

func endpoints(n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprint("s", i), Service: "llm"})
	}
	return out
}

func prompt(id string, tokens int, prefix string) *Request {
	r := &Request{Service: "llm", ID: id, Engine: true, Slots: 64, Tokens: tokens}
	if prefix != "" {
		r.Parts = []Part{{ID: prefix, Tokens: tokens / 2}, {ID: id, Tokens: tokens - tokens/2}}
	}
	return r
}

func TestAPrefixHasOneHomeAtAllInstances(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	homes := make(map[string]int)
	for i := range 60 {
		prefix := fmt.Sprint("subject", i)
		a, ok := NewTracker().Pick(endpoints(6), prompt("a", 8000, prefix), now)
		is.True(ok)
		b, ok := NewTracker().Pick(endpoints(6), prompt("b", 8000, prefix), now)
		is.True(ok)
		is.Equal(a.Endpoint.ID, b.Endpoint.ID)
		homes[a.Endpoint.ID]++
	}
	is.Equal(len(homes), 6)
}

func TestAFullHomeIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	used := make(map[string]bool)
	for i := range 12 {
		k, _ := tr.Pick(endpoints(4), prompt(fmt.Sprint(i), 9000, "same"), now)
		used[k.Endpoint.ID] = true
	}
	is.Equal(len(used), 4)
}

// Two hubs offer endpoints for one shared prefix; only one of them has its home. The offer of the
// other includes the cost of processing the prefix there, until it has done so once.
func TestAPrefixHasNoSecondHome(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	home, away := NewTracker(), NewTracker()
	for i := range 4 {
		at, _ := home.Pick(endpoints(6), prompt(fmt.Sprint("a", i), 8000, "subject"), now)
		r := prompt(fmt.Sprint("b", i), 8000, "subject")
		r.HomeElsewhere = true
		elsewhere, _ := away.Pick(endpoints(6), r, now)
		if i == 0 {
			is.True(elsewhere.Uncached > 2*at.Uncached-1000)
			is.True(at.Cost < elsewhere.Cost)
		} else {
			is.Equal(elsewhere.Uncached, at.Uncached) // by now it is cached there as well
		}
		at.Done(Answered, now)
		elsewhere.Done(Answered, now)
	}
}

// homeBesideStreams has a request answered by one of four endpoints, starts streams with short
// prompts there, past their first event, and returns the ticket of the request.
func homeBesideStreams(tr *Tracker, r *Request, streams, tokens int, now time.Time) *Ticket {
	first, _ := tr.Pick(endpoints(4), r, now)
	first.PromptRead(now)
	first.Done(Answered, now)
	for i := range streams {
		k, _ := tr.Pick([]registry.Endpoint{first.Endpoint}, prompt(fmt.Sprint(i), tokens, ""), now)
		k.PromptRead(now)
	}
	return first
}

// The cost of processing cached tokens again is higher than the time that this takes.
func TestAPrefixStaysAtItsHomeBesideSomeStreams(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	first := homeBesideStreams(tr, prompt("first", 9000, "subject"), 3, 500, now)
	next, _ := tr.Pick(endpoints(4), prompt("next", 9000, "subject"), now)
	is.Equal(next.Endpoint.ID, first.Endpoint.ID)
}

// Where streams pause for too long beside long prompts, the two are kept apart.
func TestAStreamKeepsAwayFromALongPrompt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	measureStreams(tr, 100, true, now)
	now = now.Add(time.Hour)
	long, _ := tr.Pick(endpoints(3), prompt("long", 40_000, ""), now)
	for i := range 20 {
		k, _ := tr.Pick(endpoints(3), prompt(fmt.Sprint(i), 500, ""), now)
		is.True(k.Endpoint.ID != long.Endpoint.ID)
	}
	next, _ := tr.Pick(endpoints(3), prompt("next", 30_000, ""), now)
	is.Equal(next.Endpoint.ID, long.Endpoint.ID) // rather than delay the streams at the others
}

// measureStreams gives a tracker measurements of streams that run beside a long prompt; late says
// whether they pause for too long.
func measureStreams(tr *Tracker, n int, late bool, now time.Time) {
	for i := range n {
		k, _ := tr.Pick(endpoints(1), prompt(fmt.Sprint("seen", i), 100, ""), now)
		k.PromptRead(now.Add(20 * time.Millisecond))
		long, _ := tr.Pick(endpoints(1), prompt(fmt.Sprint("long", i), 30_000, ""), now.Add(time.Millisecond))
		long.PromptRead(now.Add(400 * time.Millisecond))
		long.Done(Cancelled, now.Add(400*time.Millisecond))
		k.Streamed(late)
		k.Done(Answered, now.Add(time.Second))
		now = now.Add(10 * time.Second)
	}
}

// Where endpoints process long prompts without delaying streams, a shared prefix stays at its
// home, although streams run there.
func TestALongPromptStaysAtItsHomeWhereItHoldsUpNothing(t *testing.T) {
	for _, late := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		tr := NewTracker()
		measureStreams(tr, 300, late, now)
		now = now.Add(time.Hour)
		first := homeBesideStreams(tr, prompt("first", 16_000, "subject"), 6, 300, now)
		next, _ := tr.Pick(endpoints(4), prompt("next", 16_000, "subject"), now)
		is.Equal(next.Endpoint.ID == first.Endpoint.ID, !late)
	}
}

// Streams that are late both with and without a long prompt are no reason to keep the two apart.
func TestOnlyWhatLongPromptsDoIsARisk(t *testing.T) {
	is := is.New(t)
	risk := func(besideOneIn, apartOneIn int) float64 {
		r := newInterferenceRisk()
		for i := range 3000 {
			r.add(i%besideOneIn == 0, true)
			r.add(i%apartOneIn == 0, false)
		}
		return r.risk()
	}
	is.True(risk(5, 1000) > 0.9)
	is.True(risk(1000, 1000) < 0.1)
	is.True(risk(5, 5) < 0.1)
}

func TestAdoptedEstimatesReplaceOwnMeasurements(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := NewTracker(), NewTracker()
	measureStreams(a, 20, true, now)
	b.AdoptEstimates(a.CombinedEstimates())
	measureStreams(b, 20, false, now)
	is.Equal(b.CombinedEstimates(), a.CombinedEstimates())
}

func TestTheLoadOfOtherInstancesCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	tr.Apply("n2", Update{Loads: map[string]Load{"s0": {Open: 9, Prompt: 90_000}, "s1": {Open: 9, Prompt: 90_000}}}, now.Add(time.Second), now)
	k, _ := tr.Pick(endpoints(3), prompt("a", 1000, ""), now)
	is.Equal(k.Endpoint.ID, "s2")
}

func TestTheDemandOfAllInstancesCountsUntilItsDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	for i := range 80 {
		tr.Apply(fmt.Sprint("n", i), Update{Demand: map[string]Demand{"llm": {Busy: 0.5, Held: 0.25}}}, now.Add(6*time.Second), now)
	}
	is.Equal(tr.FleetDemand("llm", now.Add(5*time.Second)), Demand{40, 20}) // instances of a large fleet send updates rarely
	is.Equal(tr.FleetDemand("llm", now.Add(7*time.Second)), Demand{})
}

func TestStreamsHoldSlots(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	r := prompt("a", 100, "")
	r.Slots = 4
	k, _ := tr.Pick(endpoints(1), r, now)
	k.PromptRead(now.Add(time.Second))
	k.Done(Answered, now.Add(7*time.Second))
	// Six seconds in one of four slots, averaged over three seconds.
	is.Equal(tr.Demand(now.Add(7 * time.Second))["llm"].Held, 0.5)
}

func TestAFailingEndpointIsEjectedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tr := NewTracker()
	for range ejectAfter {
		k, _ := tr.Pick(endpoints(1), prompt("a", 100, ""), now)
		k.Done(Failed, now)
	}
	k, _ := tr.Pick(endpoints(2), prompt("b", 100, ""), now)
	is.Equal(k.Endpoint.ID, "s1")
	k, _ = tr.Pick(endpoints(1), prompt("c", 100, ""), now) // better than no endpoint
	is.Equal(k.Endpoint.ID, "s0")
	k.Done(Answered, now)
	is.True(now.After(tr.endpoints["s0"].ejectedUntil))
}

// The load of a request is removed when it ends, whatever its result.
func TestLoadIsRemovedWhenRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now := time.Unix(1000, 0)
		var open []*Ticket
		for i, n := range rapid.SliceOfN(rapid.IntRange(0, 60_000), 0, 40).Draw(t, "prompts") {
			k, ok := tr.Pick(endpoints(3), prompt(fmt.Sprint(i), n, "x"), now)
			if !ok {
				t.Fatal("no endpoint")
			}
			open = append(open, k)
			now = now.Add(time.Millisecond)
		}
		for _, k := range open {
			if rapid.Bool().Draw(t, "read") {
				k.PromptRead(now)
			}
			result := Result(rapid.IntRange(0, 3).Draw(t, "result"))
			k.Done(result, now)
			k.Done(result, now) // the second call has no effect
		}
		for id, s := range tr.endpoints {
			if s.load.Open != 0 || s.load.Prompt != 0 || s.unprocessed != 0 || s.load.Interference > 1e-9 {
				t.Fatalf("%s: %+v", id, s.load)
			}
		}
	})
}

func BenchmarkPick(b *testing.B) {
	tr := NewTracker()
	all := endpoints(90)
	now := time.Unix(1000, 0)
	r := prompt("a", 9000, "x")
	for b.Loop() {
		k, _ := tr.Pick(all, r, now)
		k.Done(Answered, now)
	}
}

// Many instances with the same reports, seconds old, do not all send to the endpoint that had the
// least load then.
func TestStaleUpdatesDoNotHerdRequestsToOnePlainEndpoint(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	all := endpoints(5)
	for i := range all {
		all[i].Slots = 6
	}
	got := make(map[string]int)
	for i := range 100 {
		tr := NewTracker()
		for round := range 200 {
			uses := map[string]Load{"s1": {Open: 3}, "s2": {Open: 4}, "s3": {Open: 3}, "s4": {Open: 5}}
			at := now.Add(time.Duration(round) * 2 * time.Second)
			tr.Apply("n", Update{Loads: uses}, at.Add(6*time.Second), at)
		}
		k, _ := tr.Pick(all, &Request{Service: "plain", ID: fmt.Sprint("r", i)}, now.Add(401*time.Second))
		got[k.Endpoint.ID]++
	}
	for _, s := range all {
		is.True(got[s.ID] >= 8)
	}
}

func TestAFullPlainEndpointIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	all := endpoints(2)
	all[0].Slots, all[1].Slots = 3, 3
	tr := NewTracker()
	got := make(map[string]int)
	for i := range 6 {
		k, _ := tr.Pick(all, &Request{Service: "plain", ID: fmt.Sprint("r", i)}, now)
		got[k.Endpoint.ID]++
	}
	is.Equal(got, map[string]int{"s0": 3, "s1": 3})
}
