package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestParse(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]Limit{
		"1.7": {Limited, 1.7}, " 2 ": {Limited, 2}, "0": {Limited, 0}, "1e2": {Limited, 100}, "1e999": {Limited, math.MaxFloat64},
		"": {Kind: Unknown}, "soon": {Kind: Unknown}, "-1": {Kind: Unknown}, "NaN": {Kind: Unknown}, "1,5": {Kind: Unknown},
	} {
		is.Equal(Parse(text), want)
	}
}

func limited(rate float64) Limit { return Limit{Limited, rate} }

func (t *Table) limit(endpoint string) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[endpoint]; e != nil {
		return e.limit
	}
	return Limit{}
}

func TestALooserLimitIsAsOldAsItsRequest(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	table.Observe("e", limited(2), at(0), at(100))
	table.Observe("e", Limit{}, at(50), at(200)) // may be older than the answer that stated the limit
	is.Equal(table.limit("e"), limited(2))
	table.Observe("e", limited(5), at(90), at(210))
	is.Equal(table.limit("e"), limited(2))
	table.Observe("e", limited(1), at(90), at(220)) // stricter: at once
	is.Equal(table.limit("e"), limited(1))
	table.Observe("e", Limit{Kind: Unknown}, at(300), at(310))
	is.Equal(table.limit("e"), limited(1))
	table.Observe("e", limited(5), at(300), at(310))
	is.Equal(table.limit("e"), limited(5))
	table.Observe("e", Limit{}, at(320), at(330))
	is.Equal(table.limit("e"), Limit{})
}

func TestAReportOlderThanALiftedLimitDoesNotRestoreIt(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	table.Apply([]Report{{Endpoint: "e", Limit: limited(2), Age: time.Second}}, at(2000))
	table.Observe("e", Limit{}, at(2100), at(2200))
	table.Apply([]Report{{Endpoint: "e", Limit: limited(2), Age: 1500 * time.Millisecond}}, at(2500))
	is.Equal(table.limit("e"), Limit{})
	is.Equal(len(table.Reports(at(2500))), 1) // the others receive that it was lifted
	table.Expire(func(string) bool { return true }, at(2200).Add(liftedRetention))
	is.Equal(len(table.Reports(at(20_000))), 0)
}

func TestOnlyOwnObservationsAreReported(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	table.Apply([]Report{{Endpoint: "e", Limit: limited(2)}}, at(0))
	is.Equal(len(table.Reports(at(10))), 0)
	table.Observe("e", limited(2), at(20), at(30))
	is.Equal(table.Reports(at(40)), []Report{{Endpoint: "e", Limit: limited(2), Age: 10 * time.Millisecond}})
}

func TestAChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var changes []Change
	table := New(Options{Self: "a", OnChange: func(_ string, c Change) { changes = append(changes, c) }})
	for ms := range 5 {
		table.Observe("e", limited(2), at(ms), at(ms+10))
	}
	table.Apply([]Report{{Endpoint: "e", Limit: limited(1)}}, at(100))
	table.Expire(func(string) bool { return false }, at(200))
	is.Equal(changes, []Change{{To: limited(2), Local: true}, {From: limited(2), To: limited(1)}})
	is.Equal(table.limitedCount.Load(), int64(0))
}

func TestAnInstanceAloneUsesTheWholeLimit(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	table.Observe("e", limited(3), at(0), at(0))
	sent := 0
	for ms := 0; ms < 60_000; ms += 20 {
		if table.Take("e", at(ms)) == nil {
			sent++
		}
	}
	is.True(sent >= 178 && sent <= 182)
	is.NoErr(table.Take("other", at(0)))
}

func TestGrantsOfALooserLimitAreVoidUnderAStricterOne(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	table.Observe("e", limited(40), at(0), at(0))
	is.True(table.Allows("e", at(2000)))
	table.Observe("e", limited(0), at(2000), at(2010))
	is.Equal(table.Take("e", at(2020)), ErrNoGrant)
	table.Observe("e", Limit{}, at(2100), at(2110))
	table.Observe("e", limited(4), at(9000), at(9000))
	is.Equal(table.Take("e", at(9000)), ErrNoGrant) // no grants for the time without a limit
}

func TestEndpointsWithoutAGrantAreExhausted(t *testing.T) {
	is := is.New(t)
	table := New(Options{Self: "a"})
	is.Equal(table.Exhausted(at(0)), nil)
	table.Observe("e", limited(0), at(0), at(0))
	table.Observe("f", limited(100), at(0), at(0))
	is.Equal(table.Exhausted(at(500)), map[string]bool{"e": true})
	for table.Take("f", at(500)) == nil {
		continue
	}
	is.Equal(table.Exhausted(at(500)), map[string]bool{"e": true, "f": true})
}

func TestNextReturnsWhenThereIsAGrant(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c"}
	table := New(Options{Self: "a", Instances: func() []string { return names }})
	table.Observe("e", limited(1), at(0), at(0))
	for ms := 0; ms < 30_000; ms += 50 {
		for table.Take("e", at(ms)) == nil {
			continue
		}
		next := table.NextAllowed("e", at(ms))
		is.True(next.After(at(ms)))
		is.True(next.Sub(at(ms)) == maxNextWait || GrantsOf(Slot{Endpoint: "e", Rate: 1, Index: slotAt(next)}, "a", names) > 0)
	}
}

// The bound of the platform: in any 4 s at most 1.5 times the limit, plus 5 requests.
const boundWindow = 4 * time.Second

func bound(rate float64) float64 { return 1.5*rate*boundWindow.Seconds() + 5 }

// simulate sends random requests at instances that share one limit, and returns the largest number
// sent in a window and the mean rate.
func simulate(seed uint64, instances int, rate float64) (most int, mean float64) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var names []string
	for i := range instances {
		names = append(names, fmt.Sprint("n", i))
	}
	tables := make([]*Table, instances)
	for i, name := range names {
		skew := time.Duration(rnd.IntN(100)) * time.Millisecond
		tables[i] = New(Options{
			Self: name, Instances: func() []string { return names },
			TimeOfDay: func(now time.Time) time.Time { return now.Add(skew) },
		})
		tables[i].Observe("e", limited(rate), at(0), at(0))
	}
	const length = 60_000
	var sent []time.Time
	for ms := 0; ms < length; ms += 2 {
		if rnd.Float64() > 0.3 { // 150 requests per second
			continue
		}
		if tables[rnd.IntN(instances)].Take("e", at(ms)) != nil {
			continue
		}
		sent = append(sent, at(ms))
		in := 0
		for i := len(sent) - 1; i >= 0 && at(ms).Sub(sent[i]) < boundWindow; i-- {
			in++
		}
		most = max(most, in)
	}
	return most, float64(len(sent)) / (length / 1000)
}

func TestAllInstancesTogetherKeepALimit(t *testing.T) {
	for _, instances := range []int{1, 3, 9, 22, 77, 300} {
		for _, rate := range []float64{0, 0.05, 0.5, 1, 1.7, 6, 40} {
			for seed := range uint64(4) {
				most, mean := simulate(seed, instances, rate)
				if float64(most) > bound(rate) {
					t.Errorf("%d instances, %v a second, seed %d: %d in a window of %v", instances, rate, seed, most, bound(rate))
				}
				if instances <= 22 && rate >= 0.5 && mean < rate/2 {
					t.Errorf("%d instances, %v a second, seed %d: only %v sent", instances, rate, seed, mean)
				}
			}
		}
	}
}

// Some grants are held twice while instances know only some of the others; the sum must still stay
// within the bound.
func TestALimitHoldsWhileMembersDiffer(t *testing.T) {
	is := is.New(t)
	for index := range int64(4000) {
		s := Slot{Endpoint: "e", Rate: 4, Index: index}
		total := 0
		for i := range 9 {
			var known []string
			for j := range 9 {
				if j != (i+1)%9 { // each instance does not know one of the others
					known = append(known, fmt.Sprint("n", j))
				}
			}
			total += GrantsOf(s, fmt.Sprint("n", i), known)
		}
		is.True(total <= 2*s.Grants())
	}
}

func TestGrantsOfSlotsAddUpToTheRate(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0.1, 0.7, 1, 3.3, 50, 1234.5} {
		sum := 0
		const slots = 40_000
		for i := range int64(slots) {
			sum += Slot{Endpoint: "e", Rate: rate, Index: 7_000_000_000 + i}.Grants()
		}
		is.True(math.Abs(float64(sum)-rate*slots*slotLength.Seconds()) < 1.01)
	}
}

func TestEachGrantIsOneInstances(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	for index := range int64(1000) {
		s := Slot{Endpoint: "x", Rate: 31, Index: index}
		sum := 0
		for _, name := range names {
			sum += GrantsOf(s, name, names)
		}
		is.Equal(sum, s.Grants())
	}
}

func TestACorrectedTimeOfDayGivesNoGrantTwice(t *testing.T) {
	is := is.New(t)
	var back time.Duration
	table := New(Options{Self: "a", TimeOfDay: func(now time.Time) time.Time { return now.Add(-back) }})
	table.Observe("e", limited(4), at(0), at(0))
	sent := 0
	for ms := 0; ms < 8000; ms += 10 {
		if ms == 4000 {
			back = time.Hour
		}
		if table.Take("e", at(ms)) == nil {
			sent++
		}
	}
	is.True(sent <= 33)
	is.True(sent > 20)
}
