package check

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// stream makes an attempt one at a stream of which it receives events from first to last.
func stream(a *Attempt, first, last int, runs ...StreamRun) {
	a.Stream, a.Resumable, a.EventCount, a.Runs, a.After = true, true, 3, runs, first-1
	for n := first; n <= last; n++ {
		a.Events = append(a.Events, n)
	}
}

// addMixedStreams records n streams that begin at one version and go on at another, half of them within
// an attempt, and some of one version.
func (h *History) addMixedStreams(n int) {
	for i := range n {
		id := fmt.Sprint("mixed", i)
		if i%2 == 0 {
			h.add(id, 10*i, func(a *Attempt, _ *Arrival) { stream(a, 1, 3, StreamRun{"r", "v1", 1}, StreamRun{"s", "v2", 2}) })
			continue
		}
		h.add(id, 10*i, func(a *Attempt, _ *Arrival) { stream(a, 1, 1, StreamRun{"r", "v1", 1}); a.Complete = false })
		h.add(id+"again", 500+10*i, func(a *Attempt, _ *Arrival) { stream(a, 2, 3, StreamRun{"s", "v2", 2}); a.Resumes = id })
	}
	h.addMany("whole", 5, 0, func(a *Attempt, _ *Arrival) {
		stream(a, 1, 3, StreamRun{"r", "v1", 1}, StreamRun{"s", "v1", 2})
	})
}

// addTakenUp records streams that are taken up while two endpoints of their version serve, of which some go on,
// beside as many new ones that begin. Others are taken up where one endpoint of their version serves, or at an
// instance out of touch.
func (h *History) addTakenUp(n, on int) {
	h.EndedAt = at(20_000)
	h.Endpoints = []EndpointLife{
		{"e", "s", "v1", at(0), at(0)}, {"f", "s", "v1", at(0), at(15_000)}, {"g", "s", "v1", at(0), at(9000)}, {"k", "s", "v2", at(0), at(20_000)},
	}
	h.Endpoints[0].To = h.Endpoints[0].To.AddDate(1, 0, 0)
	h.Disruptions = []Disruption{{"m", "kill", false, at(6000), at(6500)}}
	refused := func(a *Attempt, r *Arrival) { a.Status, a.Sealed, a.Complete, r.Ran = 503, false, false, false }
	begin := func(id, version string) {
		h.add(id, 1000, func(a *Attempt, _ *Arrival) { stream(a, 1, 1, StreamRun{"r", version, 1}); a.Complete = false })
	}
	takeUp := func(id string, ms int, instance string, goesOn bool) {
		h.add(id+"again", ms, func(a *Attempt, r *Arrival) {
			stream(a, 2, 3, StreamRun{"s", "v1", 2})
			a.Resumes, a.Instance = id, instance
			if !goesOn {
				a.Events, a.Runs = nil, nil
				refused(a, r)
			}
		})
	}
	for i := range n {
		id := fmt.Sprint("x", i)
		begin(id, "v1")
		if i%3 == 0 { // a stream counts once
			takeUp(id, 7900, "n", false)
		}
		takeUp(id, 8000+10*i, "n", i < on)
	}
	overLimit := func(a *Attempt, r *Arrival) { refused(a, r); a.Status = 429 }
	for i := range 20 {
		id := fmt.Sprint("limit", i)
		begin(id, "v1")
		h.add(id+"again", 8000, func(a *Attempt, r *Arrival) { stream(a, 2, 1); a.Resumes = id; overLimit(a, r) })
		h.add(fmt.Sprint("new over limit", i), 8000, func(a *Attempt, r *Arrival) { stream(a, 1, 0); overLimit(a, r) })
	}
	for i := range 20 {
		begin(fmt.Sprint("alone", i), "v2")
		takeUp(fmt.Sprint("alone", i), 8000, "n", false)
		begin(fmt.Sprint("killed", i), "v1")
		takeUp(fmt.Sprint("killed", i), 8000, "m", false)
	}
	h.addMany("new", 20, 8000, func(a *Attempt, _ *Arrival) { stream(a, 1, 3, StreamRun{"r", "v1", 3}) })
	h.addMany("new at another time", 20, 12_000, func(a *Attempt, r *Arrival) { stream(a, 1, 0); refused(a, r) })
}

// Guards against disordered streams that pass, and against streams that go on after Last-Event-Id that do not.
func TestDisorderedStreamsAreReported(t *testing.T) {
	r, s := StreamRun{"r", "v1", 1}, StreamRun{"s", "v1", 1}
	for _, c := range []struct {
		want   string
		change func(a *Attempt)
	}{
		{"", func(a *Attempt) { stream(a, 1, 3, r) }},
		{"", func(a *Attempt) { stream(a, 1, 3, r, s) }},
		{"", func(a *Attempt) { stream(a, 3, 3, s) }},
		{"", func(a *Attempt) { stream(a, 4, 3) }}, // all events had come
		{"missing", func(a *Attempt) { stream(a, 1, 3, r); a.Events = []int{1, 3} }},
		{"missing", func(a *Attempt) { stream(a, 3, 3, s); a.After = 1 }},
		{"doubled", func(a *Attempt) { stream(a, 1, 3, r); a.Events = []int{1, 2, 2, 3} }},
		{"doubled", func(a *Attempt) { stream(a, 2, 3, s); a.After = 2 }},
		{"back", func(a *Attempt) { stream(a, 1, 3, r); a.Events = []int{1, 2, 1, 2, 3} }},
		{"joined", func(a *Attempt) { stream(a, 1, 3, r, s); a.Resumable = false }},
		{"joined", func(a *Attempt) { stream(a, 1, 3, r, s, r) }},
		{"early end", func(a *Attempt) { stream(a, 1, 2, r) }},
		{"early end", func(a *Attempt) { stream(a, 2, 2, s) }},
		{"early end", func(a *Attempt) { stream(a, 1, 0) }},
	} {
		is := is.New(t)
		h := &History{Bounds: testBounds}
		h.add("x", 0, func(a *Attempt, _ *Arrival) { c.change(a) })
		out := checkOrder(newIndex(h))
		if c.want == "" {
			is.Equal(len(out), 0)
			continue
		}
		is.Equal(len(out), 1)
		is.True(strings.Contains(out[0].Text, c.want+": "))
	}
}

// Guards against a bound on streams taken up that binds for fewer than its rule names.
func TestFewStreamsTakenUpAreNotCompared(t *testing.T) {
	is := is.New(t)
	h := &History{Bounds: testBounds}
	h.addTakenUp(11, 0)
	is.Equal(len(checkResumedStreams(newIndex(h))), 0)
}
