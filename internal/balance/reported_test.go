package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// simulation plays requests to model endpoints that process prompts one after the other. Their speeds
// differ, and each of them is slower at times, which it reports in its answers.
type simulation struct {
	speeds    []float64
	load      float64       // share of the capacity
	duration  time.Duration // of the arrivals
	noteDelay time.Duration // after which the tracker learns of an answer
	slowdown  float64       // during a disturbance
	reports   bool          // whether endpoints report their slowdown
	seed      uint64
}

const (
	disturbedFor   = 600 * time.Millisecond
	disturbedShare = 0.15
	tokensPerMs    = 40.8
	simulatedBase  = 5 * time.Millisecond // of a response, besides the tokens
)

// simulatedEndpoint is an endpoint in a simulation.
type simulatedEndpoint struct {
	registry.Endpoint
	speed   float64
	changes []time.Time // when disturbances begin and end, in turn
	idleAt  time.Time
}

// slowdownAt returns the slowdown at a moment and when it changes next.
func (e *simulatedEndpoint) slowdownAt(slowdown float64, now time.Time) (float64, time.Time) {
	i, _ := slices.BinarySearchFunc(e.changes, now.Add(1), time.Time.Compare)
	if i%2 == 1 {
		return slowdown, e.changes[i]
	}
	return 1, e.changes[i]
}

// process returns when the endpoint has processed a prompt that arrives now.
func (e *simulatedEndpoint) process(tokens int, slowdown float64, now time.Time) time.Time {
	if e.idleAt.Before(now) {
		e.idleAt = now
	}
	work := float64(simulatedBase) + float64(tokens)/tokensPerMs/e.speed*float64(time.Millisecond)
	for work > 0 {
		slow, until := e.slowdownAt(slowdown, e.idleAt)
		step := min(work*slow, float64(until.Sub(e.idleAt)))
		e.idleAt = e.idleAt.Add(time.Duration(step) + 1)
		work -= step / slow
		if work < 1 {
			break
		}
	}
	return e.idleAt
}

// answer is an answer on its way to the tracker.
type answer struct {
	ticket   *Ticket
	endpoint *simulatedEndpoint
	at       time.Time // when the endpoint sent it
	took     time.Duration
}

type answerHeap []answer

func (h answerHeap) Len() int           { return len(h) }
func (h answerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h answerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *answerHeap) Push(x any)        { *h = append(*h, x.(answer)) }
func (h *answerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// run plays the simulation and returns the sorted times until the first event of the requests, without
// those of the first quarter.
func (s *simulation) run(tracker *Tracker, loads *loadreport.Table) []time.Duration {
	random := rand.New(rand.NewPCG(s.seed, 1))
	start := time.Unix(1000, 0)
	end := start.Add(s.duration)
	var endpoints []registry.Endpoint
	byID := make(map[string]*simulatedEndpoint)
	capacity := 0.0 // tokens per millisecond
	for i, speed := range s.speeds {
		e := &simulatedEndpoint{Endpoint: registry.Endpoint{ID: fmt.Sprint("s", i), Service: "llm"}, speed: speed, idleAt: start}
		at := start
		for at.Before(end.Add(time.Hour)) {
			off := float64(disturbedFor) * (1 - disturbedShare) / disturbedShare
			at = at.Add(time.Duration(random.ExpFloat64() * off))
			e.changes = append(e.changes, at)
			at = at.Add(time.Duration(float64(disturbedFor) * (0.5 + random.Float64())))
			e.changes = append(e.changes, at)
		}
		endpoints = append(endpoints, e.Endpoint)
		byID[e.ID] = e
		capacity += tokensPerMs * speed / (1 + disturbedShare*(s.slowdown-1))
	}
	const least, most = 700, 4000 // prompt tokens
	interval := (least + most) / 2 / (capacity * s.load) * float64(time.Millisecond)
	var underWay answerHeap
	var waits []time.Duration
	deliver := func(until time.Time) {
		for len(underWay) > 0 && !underWay[0].at.Add(s.noteDelay).After(until) {
			a := heap.Pop(&underWay).(answer)
			now := a.at.Add(s.noteDelay)
			report := loadreport.Report{Slots: 16}
			if s.reports {
				report.Slowdown, _ = a.endpoint.slowdownAt(s.slowdown, a.at)
			}
			loads.Observe(&a.endpoint.Endpoint, report, a.at)
			a.ticket.PromptRead(now)
			a.ticket.Done(Answered, now)
			if a.ticket.at.After(start.Add(s.duration / 4)) {
				waits = append(waits, a.took)
			}
		}
	}
	for i, now := 0, start; now.Before(end); i++ {
		deliver(now)
		r := &Request{Service: "llm", ID: fmt.Sprint("r", i), Engine: true, Slots: 64, Tokens: least + random.IntN(most-least)}
		ticket, _ := tracker.Pick(endpoints, r, now)
		e := byID[ticket.Endpoint.ID]
		done := e.process(r.Tokens, s.slowdown, now)
		heap.Push(&underWay, answer{ticket, e, done, done.Sub(now)})
		now = now.Add(time.Duration(random.ExpFloat64() * interval))
	}
	deliver(end.Add(time.Hour))
	slices.Sort(waits)
	return waits
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// uneven returns a simulation of endpoints of three speeds.
func uneven(load float64, seed uint64) simulation {
	s := simulation{load: load, duration: 40 * time.Second, noteDelay: 10 * time.Millisecond, slowdown: 2.5, reports: true, seed: seed}
	for i := range 12 {
		s.speeds = append(s.speeds, []float64{0.6, 1, 1.6}[i%3])
	}
	return s
}

// Guards against reports that make the choice among uneven endpoints worse than response times alone.
func TestReportsShortenTheWaitAtUnevenEndpoints(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.6, 0.8, 0.9, 0.95} {
		for seed := range uint64(2) {
			s := uneven(load, seed)
			without := s.run(NewTracker(), loadreport.New())
			loads := loadreport.New()
			with := s.run(NewTracker(WithLoadReports(loads)), loads)
			t.Logf("load %v, seed %d: median %v without, %v with reports; 99th percentile %v and %v", load, seed,
				quantile(without, 0.5), quantile(with, 0.5), quantile(without, 0.99), quantile(with, 0.99))
			is.True(quantile(with, 0.5) < quantile(without, 0.5))
			is.True(quantile(with, 0.99) < quantile(without, 0.99))
		}
	}
}

// Guards against any change for services whose endpoints report no slowdown.
func TestReportsWithoutASlowdownChangeNothing(t *testing.T) {
	is := is.New(t)
	s := uneven(0.8, 1)
	s.reports, s.duration = false, 10*time.Second
	loads := loadreport.New()
	without, with := NewTracker(), NewTracker(WithLoadReports(loads))
	is.Equal(s.run(without, loadreport.New()), s.run(with, loads))
	is.True(loads.State("s0", time.Unix(1010, 0)).Known)
	is.Equal(without.Estimates(), with.Estimates())
}

// Guards against a speed that is lost with the 6 s half-life of the slowdown, or that contains the
// disturbances.
func TestTheSpeedOfAnEndpointIsLearnedAndKept(t *testing.T) {
	is := is.New(t)
	s := uneven(0.8, 1)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	s.run(tr, loads)
	factors := make(map[float64]float64) // mean by speed
	for i, speed := range s.speeds {
		e := tr.endpoint(fmt.Sprint("s", i))
		end := time.Unix(1040, 0)
		factors[speed] += e.own.at(end) / 4
		is.True(math.Abs(e.own.at(end.Add(20*time.Second))-1) > 0.85*math.Abs(e.own.at(end)-1))
	}
	t.Log(factors)
	for _, speed := range []float64{0.6, 1.6} {
		ratio := factors[speed] / factors[1] * speed // 1 if exact
		is.True(ratio > 0.8 && ratio < 1.2)
	}
}

// Guards against a reported slowdown that does not count, counts for other endpoints, or counts for
// longer than disturbances last.
func TestADisturbedEndpointIsAvoidedWhileItsReportIsFresh(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	all := endpoints(2)
	loads.Observe(&all[0], loadreport.Report{Slots: 4, Slowdown: 4}, now)
	loads.Observe(&all[1], loadreport.Report{Slots: 4, Slowdown: 1}, now)
	got := func(now time.Time) map[string]int {
		chosen := make(map[string]int)
		for i := range 40 {
			k, _ := tr.Pick(all, prompt(fmt.Sprint(i), 3000, ""), now)
			chosen[k.Endpoint.ID]++
			k.Done(Cancelled, now)
		}
		return chosen
	}
	is.Equal(got(now), map[string]int{"s1": 40})
	is.True(got(now.Add(3 * time.Second))["s0"] >= 10)
	is.True(got(now.Add(time.Minute))["s0"] >= 10)
}

// Guards against a queue that seems shorter than it is: an answer that is no stream shows only at its end
// that the endpoint has processed the prompt, and the next prompt has been processed since then at most.
func TestOnlyThePromptUnderWayCountsAsProcessedInPart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	all := endpoints(1)
	var tickets []*Ticket
	for i := range 3 {
		k, _ := tr.Pick(all, prompt(fmt.Sprint(i), 1000, ""), now)
		tickets = append(tickets, k)
	}
	queued := func(after time.Duration) int {
		at := now.Add(after)
		loads.Observe(&all[0], loadreport.Report{Slots: 4, Slowdown: 1}, at)
		return tr.candidate(all[0], tr.service("llm"), 0, true, at).Prompt
	}
	is.Equal(queued(0), 3000)
	is.Equal(queued(8*time.Millisecond), 2500) // 16 µs each
	is.Equal(queued(time.Second), 2000)
	tickets[0].Done(Answered, now.Add(time.Second))
	is.Equal(queued(time.Second), 2000)
	tickets[1].PromptRead(now.Add(time.Second))
	is.Equal(queued(time.Second), 1000)
	tickets[1].Done(Answered, now.Add(2*time.Second))
	left := queued(time.Second + 8*time.Millisecond)
	is.True(left > 0 && left < 1000) // at the speed learned from the one before
	tickets[2].Done(Cancelled, now.Add(2*time.Second))
	is.Equal(queued(2*time.Second), 0)
}

// Guards against costs that are zero or infinite after a faulty report.
func TestAReportedSlowdownIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	all := endpoints(1)
	for reported, want := range map[float64]float64{1e300: maxReported, 1e-9: minReported, 3: 3, 0: 0} {
		loads.Observe(&all[0], loadreport.Report{Slowdown: reported}, now)
		is.Equal(tr.reportedSlowdown(all[0].ID, now), want)
	}
}

// Guards against a queue that a plain endpoint's own factor is taken for: with full slots the time says
// little about the speed.
func TestTimesBehindAQueueDoNotCountForThePlainSpeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	all := endpoints(1)
	all[0].Service, all[0].Slots = "plain", 2
	loads.Observe(&all[0], loadreport.Report{Slots: 2, Slowdown: 1}, now)
	var tickets []*Ticket
	for i := range 6 {
		k, _ := tr.Pick(all, &Request{Service: "plain", ID: fmt.Sprint(i)}, now)
		tickets = append(tickets, k)
	}
	for i, k := range tickets {
		at := now.Add(time.Duration(1+i/2) * 50 * time.Millisecond)
		k.PromptRead(at)
		k.Done(Answered, at)
	}
	is.Equal(tr.endpoint("s0").own.count, 2.0)
	is.True(math.Abs(tr.endpoint("s0").own.at(now)-1) < 0.01)
}

// The choice among 90 endpoints that report a slowdown; see BenchmarkPick for those that do not.
func BenchmarkPickWithReports(b *testing.B) {
	now := time.Unix(1000, 0)
	loads := loadreport.New()
	tr := NewTracker(WithLoadReports(loads))
	all := endpoints(90)
	for i := range all {
		loads.Observe(&all[i], loadreport.Report{Slots: 64, Slowdown: 2.5}, now)
	}
	r := prompt("a", 9000, "x")
	now = now.Add(100 * time.Millisecond)
	for b.Loop() {
		k, _ := tr.Pick(all, r, now)
		k.Done(Answered, now)
	}
}
