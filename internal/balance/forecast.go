package balance

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Forecast is how a request would be served by the endpoint that was chosen for it, and how much
// capacity is left at the endpoints that it was chosen from.
type Forecast struct {
	Uncached  int           // prompt tokens that the chosen endpoint probably has to process
	First     time.Duration // until the first event of a model endpoint, or the response of a plain one
	Alone     time.Duration // the same if nothing else was queued at the endpoint
	Rate      float64       // work that all endpoints process together: prompt tokens a second, or requests of a plain service; 0 if unknown
	Occupancy float64       // share of the slots of all endpoints that are taken; 0 if their slots are unknown
	Waiting   int           // requests that wait for a slot at any of the endpoints
	ReportAge time.Duration // of the chosen endpoint's load report, if one was recent enough to count; else 0
}

// backlog is what a request finds at an endpoint.
type backlog struct {
	slots         int           // 0 if unknown
	occupied      int           // slots that are taken
	waiting       int           // requests that wait for a slot
	reportAge     time.Duration // of the load report that counted; 0 if there is none
	aheadRequests int           // requests that get a slot before this one
	aheadTokens   int           // prompt tokens that are processed before this request's
	slotHeld      time.Duration // mean time that a request holds a slot, at an endpoint of the usual speed
	expected      float64       // see usualTimeToFirst
}

// slotWait returns how long an endpoint of the usual speed needs to free a slot for the request. A
// slot becomes free every slotHeld/slots on average.
func (b *backlog) slotWait() time.Duration {
	if b.slots <= 0 || b.occupied < b.slots {
		return 0
	}
	return time.Duration(float64(b.aheadRequests+1) * float64(b.slotHeld) / float64(b.slots))
}

// usualTimeToFirst forecasts the time to the first event of a request at a model endpoint, or to the
// response of a plain one, in nanoseconds, as if the endpoint had the usual speed. The prompts ahead
// of a request are processed while it waits for a slot, so that the longer of the two waits counts,
// not their sum.
func (v *Candidate) usualTimeToFirst(r *Request, uncached int, b *backlog) float64 {
	wait, own := float64(b.slotWait()), float64(v.Work)
	if r.Engine {
		wait = max(wait, float64(b.aheadTokens)*v.Pace.Token)
		own = float64(v.Pace.FirstEventTime(uncached))
	}
	return wait + own
}

// timeToFirst is usualTimeToFirst at the speed that the endpoint has now.
func (v *Candidate) timeToFirst(r *Request, uncached int, b *backlog) time.Duration {
	return time.Duration(v.usualTimeToFirst(r, uncached, b) * v.Slowdown)
}

// rate returns the work that the endpoint processes a second at the speed that it has now.
func (v *Candidate) rate(r *Request, slots int) float64 {
	if r.Engine {
		return float64(time.Second) / (v.Pace.Token * v.Slowdown)
	}
	return float64(slots) * float64(time.Second) / (float64(v.Work) * v.Slowdown)
}

// unread counts the requests of one priority level at an endpoint whose prompts are not processed
// yet.
type unread struct {
	requests int
	tokens   int
}

// level returns the priority of a request as an index below policy.Priorities.
func (r *Request) level() int { return min(max(r.Priority, 0), policy.Priorities-1) }
