package loadreport

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

var start = time.Unix(1000, 0)

func endpoint(id string) *registry.Endpoint { return &registry.Endpoint{ID: id, Service: "llm"} }

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against load values that decay like the slowdown, or an age counted from another moment.
func TestTheLatestReportIsReturnedWithItsAge(t *testing.T) {
	is := is.New(t)
	table := New()
	is.Equal(table.State("a", start), State{})
	table.Observe(endpoint("a"), Report{Running: 3, Waiting: 1, Slots: 8}, start)
	table.Observe(endpoint("a"), Report{Running: 5, Waiting: 2, Slots: 8}, after(10))
	is.Equal(table.State("a", after(50)), State{Report{5, 2, 8, 0}, true, 40 * time.Millisecond})
	r, at, known := table.Latest("a")
	is.True(known)
	is.Equal(r, Report{5, 2, 8, 0})
	is.Equal(at, after(10))
}

// Guards against a report that was delayed on its way to a hub and replaces a newer one.
func TestAnOlderReportIsIgnored(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Observe(endpoint("a"), Report{Running: 5, Slowdown: 1}, after(100))
	table.Observe(endpoint("a"), Report{Running: 1, Slowdown: 2.5}, after(99))
	is.Equal(table.State("a", after(100)).Report, Report{Running: 5, Slowdown: 1})
}

// Guards against load of a process that has ended and counts for the one started in its place, also
// if the report arrives after those of the later incarnation.
func TestAReportCountsForItsIncarnationOnly(t *testing.T) {
	is := is.New(t)
	table := New()
	first, second := endpoint(registry.IncarnationID("a", start)), endpoint(registry.IncarnationID("a", after(5000)))
	table.Observe(first, Report{Running: 7, Slowdown: 2.5}, after(4000))
	is.True(!table.State(second.ID, after(5000)).Known)
	table.Observe(second, Report{Running: 1, Slowdown: 1}, after(5100))
	table.Observe(first, Report{Running: 9, Slowdown: 2.5}, after(5200))
	is.Equal(table.State(second.ID, after(5200)).Report, Report{Running: 1, Slowdown: 1})
	table.Forget(func(id string) bool { return id == second.ID })
	is.True(!table.State(first.ID, after(5200)).Known)
	is.True(table.State(second.ID, after(5200)).Known)
}

// Guards against a slowdown that stays in force when the reports of an endpoint stop.
func TestASlowdownDecays(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Observe(endpoint("a"), Report{Slowdown: 2.5}, start)
	is.Equal(table.State("a", start).Slowdown, 2.5)
	is.Equal(table.State("a", start.Add(initialHalfLife)).Slowdown, 1.75)
	is.True(table.State("a", start.Add(reportingFor)).Slowdown < 1.001)
	table.Observe(endpoint("b"), Report{Slowdown: 0.5}, start)
	is.Equal(table.State("b", start.Add(initialHalfLife)).Slowdown, 0.75)
	is.Equal(table.State("b", start.Add(-time.Second)).Slowdown, 0.5) // an age is never negative
}

// disturbed gives a table the reports of endpoints whose slowdown is 2.5 for exponentially distributed
// times with a mean of on, and 1 for times with a mean of off. They report at random intervals.
func disturbed(table *Table, endpoints int, on, off, interval time.Duration, reports int) {
	r := rand.New(rand.NewPCG(1, 2))
	for i := range endpoints {
		e := endpoint(fmt.Sprint(i))
		now, changes, slow := start, start, false
		for range reports {
			now = now.Add(time.Duration(r.ExpFloat64() * float64(interval)))
			for changes.Before(now) {
				slow = !slow
				mean := off
				if slow {
					mean = on
				}
				changes = changes.Add(time.Duration(r.ExpFloat64() * float64(mean)))
			}
			s := 1.0
			if slow {
				s = 2.5
			}
			table.Observe(e, Report{Slowdown: s}, now)
		}
	}
}

// Guards against a fixed half-life, and against one that depends on how often endpoints report. The
// half-life of the mean deviation is about ln 2 times the mean duration of a disturbance, more with
// those that follow.
func TestTheHalfLifeFollowsTheDurationOfDisturbances(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond} {
		for _, on := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond} {
			table := New()
			disturbed(table, 40, on, on*85/15, interval, 2000)
			ratio := table.services["llm"].halfLife / (math.Ln2 * float64(on))
			t.Logf("disturbances of %v, reports each %v: half-life %v", on, interval, time.Duration(table.services["llm"].halfLife))
			is.New(t).True(ratio > 0.7 && ratio < 1.5)
		}
	}
}

// Guards against a half-life that leaves an endpoint without requests for long, or makes reports
// useless, whatever endpoints report.
func TestTheHalfLifeIsBounded(t *testing.T) {
	is := is.New(t)
	constant, alternating := New(), New()
	for i := range 5000 {
		constant.Observe(endpoint("a"), Report{Slowdown: 2.5}, after(100*i))
		alternating.Observe(endpoint("a"), Report{Slowdown: 1 + 1.5*float64(i%2)}, after(i))
	}
	is.Equal(time.Duration(constant.services["llm"].halfLife), maxHalfLife)
	is.Equal(time.Duration(alternating.services["llm"].halfLife), minHalfLife)
}

// Guards against decisions under load for services whose endpoints do not report a slowdown.
func TestAServiceIsReportingForAWhileAfterASlowdown(t *testing.T) {
	is := is.New(t)
	table := New()
	is.True(!table.Reporting("llm", start))
	table.Observe(endpoint("a"), Report{Running: 1, Slots: 4}, start)
	is.True(!table.Reporting("llm", start))
	table.Observe(endpoint("a"), Report{Slowdown: 1}, after(100))
	table.Observe(endpoint("b"), Report{Slowdown: 1}, start) // arrives later, but is older
	is.True(table.Reporting("llm", after(100).Add(reportingFor)))
	is.True(!table.Reporting("llm", after(101).Add(reportingFor)))
	is.True(!table.Reporting("other", after(100)))
	table.Forget(func(string) bool { return false })
	is.True(!table.Reporting("llm", after(100)))
	is.Equal(len(table.services), 0)
}

// Guards against unguarded state, with the race detector: answers arrive while requests are placed and
// endpoints are dropped.
func TestATableIsSafeForConcurrentUse(t *testing.T) {
	table := New()
	var wait sync.WaitGroup
	for i := range 4 {
		wait.Go(func() {
			for j := range 500 {
				id := fmt.Sprint(j % 10)
				table.Observe(endpoint(id), Report{Slowdown: 1 + float64(i)}, after(j))
				table.State(id, after(j))
				table.Latest(id)
				table.Reporting("llm", after(j))
				if j%50 == 0 {
					table.Forget(func(id string) bool { return id != "3" })
				}
			}
		})
	}
	wait.Wait()
}

// One read and one Reporting of a table with the reports of 2,300 endpoints.
func BenchmarkTable(b *testing.B) {
	table := New()
	ids := make([]string, 2300)
	for i := range ids {
		ids[i] = fmt.Sprint("i-", i, "@1700000000000")
		table.Observe(endpoint(ids[i]), Report{Running: 3, Slots: 16, Slowdown: 2.5}, start)
	}
	now := after(100)
	b.Run("state", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		for b.Loop() {
			table.State(ids[i%len(ids)], now)
			i++
		}
	})
	b.Run("reporting", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Reporting("llm", now)
		}
	})
	b.Run("observe", func(b *testing.B) {
		b.ReportAllocs()
		i := 0
		e := *endpoint("")
		for b.Loop() {
			e.ID = ids[i%len(ids)]
			table.Observe(&e, Report{Running: 3, Slots: 16, Slowdown: 1.5}, now)
			i++
		}
	})
}
