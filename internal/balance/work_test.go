package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

var t0 = time.Unix(1000, 0)

func plainRequest(id string) *Request { return &Request{Service: "plain", ID: id} }

// respond runs requests one after the other, each of which takes a time.
func respond(t *Tracker, placed bool, count int, took time.Duration, now time.Time) time.Time {
	s := registry.Endpoint{ID: "a", Service: "plain", Slots: 6}
	for range count {
		var k *Ticket
		if placed {
			k = t.CountPlaced(s, plainRequest("1"), 0, now)
		} else {
			k, _ = t.Pick([]registry.Endpoint{s}, plainRequest("1"), now)
		}
		now = now.Add(took)
		k.Done(Answered, now)
	}
	return now
}

// The demand for a plain service, by which endpoints are started, is its rate times its mean response
// time; the instances must learn that also while hubs choose the endpoints.
func TestResponseTimesOfPlacedPlainRequestsAreLearned(t *testing.T) {
	is := is.New(t)
	for _, placed := range []bool{false, true} {
		tr := NewTracker()
		now := respond(tr, placed, 100, 15*time.Millisecond, t0)
		work := tr.MeanWork(now)["plain"]
		t.Logf("placed %t: %s", placed, work)
		is.True(work > 15*time.Millisecond && work < 16*time.Millisecond)
		is.Equal(len(tr.MeanWork(now.Add(workTTL))), 0) // too old to be passed on
	}
	few := NewTracker()
	now := respond(few, true, minWorkSamples-1, 15*time.Millisecond, t0)
	is.Equal(len(few.MeanWork(now)), 0)
}

// A hub's scheduler measures 3 ms more than its endpoints take, the time of the messages. Its mean
// must be that of the instance, and the endpoints must not appear slower than usual.
func TestTheSchedulersMeanWorkExcludesMessages(t *testing.T) {
	is := is.New(t)
	hub, now := NewTracker(), t0
	for range 3 {
		hub.AdoptWork(map[string]time.Duration{"plain": 15 * time.Millisecond})
		now = respond(hub, false, 50, 18*time.Millisecond, now)
	}
	work := func() (work time.Duration, slowdown float64) {
		hub.mu.Lock()
		defer hub.mu.Unlock()
		v := hub.candidate(registry.Endpoint{ID: "a"}, hub.service("plain"), 0, false, now)
		return v.Work, v.Slowdown
	}
	mean, slowdown := work()
	t.Logf("work %s, slowdown %.3f", mean, slowdown)
	is.Equal(mean, 15*time.Millisecond)
	is.True(slowdown < 1.03)
	hub.AdoptWork(nil) // the instance gets no requests any more
	mean, _ = work()
	is.True(mean > 17*time.Millisecond)
}

// What hubs placed is known to them, so that an instance must report only what it chose itself, also
// where both run at one endpoint.
func TestLocalLoadsLeaveOutWhatHubsPlaced(t *testing.T) {
	is := is.New(t)
	tr, s := NewTracker(), registry.Endpoint{ID: "a", Service: "plain", Slots: 6}
	placed := tr.CountPlaced(s, plainRequest("1"), 7, t0)
	is.Equal(len(tr.LocalLoads()), 0)
	chosen, _ := tr.Pick([]registry.Endpoint{s}, &Request{Service: "plain", ID: "2", Tokens: 3}, t0)
	is.Equal(tr.LocalLoads()["a"], Load{Open: 1, Prompt: 3})
	is.Equal(tr.Loads()["a"], Load{Open: 2, Prompt: 10})
	placed.Done(Answered, t0)
	placed.Done(Answered, t0) // a second time without effect
	is.Equal(tr.LocalLoads()["a"], Load{Open: 1, Prompt: 3})
	chosen.Done(Cancelled, t0)
	is.Equal(len(tr.LocalLoads()), 0)
	is.Equal(len(tr.Loads()), 0)
}

// A hub adds the wait at an endpoint to the mean work that it adopts. Response times that contain such a
// wait must not be learned as work: the wait would count twice, and the more the longer it is.
func TestResponseTimesBehindAQueueAreNotWork(t *testing.T) {
	is := is.New(t)
	loads := loadreport.New()
	tr := NewTracker(WithQueueReports(loads))
	now := respond(tr, true, 100, 15*time.Millisecond, t0)
	before := tr.MeanWork(now)["plain"]
	for range 100 {
		loads.Observe(&registry.Endpoint{ID: "a", Service: "plain"}, loadreport.Report{Running: 6, Waiting: 12, Slots: 6, Slowdown: 1}, now)
		now = respond(tr, true, 1, 60*time.Millisecond, now)
	}
	is.Equal(tr.MeanWork(now)["plain"], before)
}

// An endpoint whose slots are all taken takes longer until it starts a request; that is not its own
// slowness, which is remembered for minutes.
func TestAWaitForASlotIsNotSlowness(t *testing.T) {
	is := is.New(t)
	loads := loadreport.New()
	tr, now := NewTracker(WithLoadReports(loads)), t0
	s := []registry.Endpoint{{ID: "a", Service: "llm"}}
	request := func() *Request { return &Request{Service: "llm", ID: "1", Engine: true, Slots: 1, Tokens: 2000} }
	for range 50 {
		loads.Observe(&s[0], loadreport.Report{Running: 1, Slots: 1, Slowdown: 1}, now)
		first, _ := tr.Pick(s, request(), now)
		second, _ := tr.Pick(s, request(), now)
		took := tr.CombinedEstimates()["llm"].Pace.Model.FirstEventTime(2000)
		now = now.Add(took)
		first.PromptRead(now)
		now = now.Add(800 * time.Millisecond)
		first.Done(Answered, now)
		now = now.Add(took)
		second.PromptRead(now)
		second.Done(Answered, now)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	own := tr.endpoint("a").own.at(now)
	t.Logf("own factor %.2f", own)
	is.True(own < 1.1)
}
