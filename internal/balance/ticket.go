package balance

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Result is the result of a request at an endpoint.
type Result int

// The results of requests.
const (
	Answered  Result = iota
	Failed           // broken off, timed out, or answered with an error of the endpoint's own
	Refused          // the endpoint was overloaded or gone; the request was not run
	Cancelled        // cancelled by this instance; tells nothing about the endpoint
)

// Ticket is a request that counts at an endpoint until Done is called. PromptRead is called when
// the endpoint has processed the prompt.
type Ticket struct {
	Endpoint     registry.Endpoint
	Cost         float64   // estimated by the choice, see Choice
	Uncached     int       // prompt tokens that the endpoint probably has to process, as they are not in its cache
	FirstAt      time.Time // forecast time of the first event, or of the response of a plain endpoint; zero if there was no forecast
	Returned     bool      // the request returned after a refusal
	tracker      *Tracker
	request      *Request
	state        *endpointState
	service      *serviceState
	queued       int  // prompt tokens queued at the endpoint before this request
	measured     bool // the times of this request count for the estimates
	placed       bool // a hub chose the endpoint
	interference float64
	at           time.Time
	readAt       time.Time
	expected     float64       // nanoseconds
	reported     float64       // slowdown that the endpoint reported before the request was sent; 0 if none was
	unclear      bool          // the time contains an unknown wait, so that it does not count for the endpoint's own factor
	slotWait     time.Duration // forecast wait for a slot at an endpoint of the usual speed; 0 if none was forecast
	slowdown     float64       // of the endpoint when the request was placed; set if the endpoint was chosen here
	read         bool
	done         bool
	observers    []Observer

	// Used only by the goroutine that serves the request.
	arrived bool
	events  int
	lastAt  time.Time
}

// Observer is notified of the progress of a request at its endpoint.
type Observer interface {
	PromptRead() // the first event has arrived
	Done(result Result)
}

// Observe adds an observer of what follows.
func (k *Ticket) Observe(o Observer) { k.observers = append(k.observers, o) }

// MarkReached records that the request reached the endpoint, or may have.
func (k *Ticket) MarkReached() { k.arrived = true }

// Reached reports whether the request has reached the endpoint, as far as is known.
func (k *Ticket) Reached() bool { return k.arrived }

// Event records an event of the response stream.
func (k *Ticket) Event(now time.Time) {
	k.events++
	k.lastAt = now
}

// minPacedEvents is the minimum number of events for a meaningful interval.
const minPacedEvents = 4

// EventInterval returns the mean time between two events, or 0 if there were too few.
func (k *Ticket) EventInterval() time.Duration {
	if k.events < minPacedEvents {
		return 0
	}
	return k.lastAt.Sub(k.readAt) / time.Duration(k.events-1)
}

// work returns how long the request keeps an endpoint busy, in nanoseconds.
func (k *Ticket) work() float64 {
	if k.request.Engine {
		return float64(k.service.pace.PrefillTime(k.Uncached))
	}
	return k.service.work
}

// PromptRead records that the endpoint has processed the prompt, as the first event has arrived.
func (k *Ticket) PromptRead(now time.Time) {
	k.tracker.mu.Lock()
	first := !k.read
	k.markRead(now, true)
	k.tracker.mu.Unlock()
	if !first {
		return
	}
	for _, w := range k.observers {
		w.PromptRead()
	}
}

// release takes a part of the request's load off its endpoint. The caller holds the tracker's mu.
func (k *Ticket) release(part Load) {
	k.state.load = k.state.load.minus(part)
	if k.placed {
		k.state.placed = k.state.placed.minus(part)
	}
}

func (k *Ticket) markRead(now time.Time, learn bool) {
	if k.read {
		return
	}
	k.read, k.readAt = true, now
	k.state.unprocessed--
	u := &k.state.unread[k.request.level()]
	u.requests--
	u.tokens -= k.Uncached
	k.release(Load{Prompt: k.Uncached, Interference: k.interference})
	if !learn {
		return
	}
	from, before := k.processedFrom()
	reported := k.tracker.reportedFor(k, now)
	k.state.startedAt, k.state.startSlowdown = now, reported
	if !k.measured || k.placed && k.tracker.queued(k.Endpoint.ID, now) {
		return
	}
	took := float64(now.Sub(k.at))
	if k.expected > 0 {
		ratio := min(max(took/k.expected, minSlowdown), maxSlowdown)
		slow := k.state.slowdownAt(now)
		k.state.slowdown, k.state.slowdownUpdated = slow+slowdownWeight*(ratio-slow), now
	}
	usual := max(0, took-float64(k.slotWait)*k.slowdown)
	if reported > 0 {
		usual *= k.learnOwn(from, before, reported, now)
	}
	if !k.request.Engine {
		k.service.observeWork(usual, now)
	} else if k.slotWait == 0 && float64(k.queued) <= maxQueuedShare*float64(k.Uncached) {
		k.service.prefill.Observe(k.queued+k.Uncached, time.Duration(usual))
		k.tracker.combine(k.request.Service)
	}
}

// Streamed records whether a completed stream paused for too long.
func (k *Ticket) Streamed(late bool) {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	k.service.interference.add(late, k.state.longPromptAt.After(k.at))
	k.tracker.combine(k.request.Service)
}

// Done ends the request at the endpoint. Further calls have no effect.
func (k *Ticket) Done(result Result, now time.Time) {
	if !k.end(result, now) {
		return
	}
	for _, w := range k.observers {
		w.Done(result)
	}
}

// end ends the request and reports whether it had not ended before.
func (k *Ticket) end(result Result, now time.Time) bool {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	if k.done {
		return false
	}
	k.done = true
	if !k.read && result == Answered {
		k.state.startedAt, k.state.startSlowdown = now, 0
	}
	k.markRead(now, result == Answered && !k.request.Engine)
	k.release(Load{Open: 1})
	if k.request.Engine && k.request.Slots > 0 {
		k.service.slotRate.Add(float64(now.Sub(k.readAt))/float64(k.request.Slots), demandWindow, now)
	}
	if k.request.Engine && k.measured && result == Answered {
		k.observeHeld(now)
	}
	if result != Cancelled {
		k.state.record(result, now)
	}
	return true
}
