package balance

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Result is how a request went at a server.
type Result int

// The results.
const (
	Answered  Result = iota
	Failed           // broken, timed out, or answered with a failure of the server's own
	Refused          // the server was full or gone; nothing ran
	Cancelled        // given up from this side; says nothing of the server
)

// Ticket is a request that was sent to a server. Read and Done are called on it.
type Ticket struct {
	Endpoint registry.Endpoint
	Cost     float64 // of the choice, see Choice
	Uncached int     // prompt tokens that the server probably has to read
	tracker  *Tracker
	request  *Request
	state    *endpointState
	service  *serviceState
	queued   int  // prompt tokens that were to be read before
	learns   bool // how it goes tells how fast the server is
	holdup   float64
	at       time.Time
	readAt   time.Time
	expect   float64 // nanoseconds
	read     bool
	done     bool
	watchers []Observer

	// What the goroutine that serves the request alone notes.
	arrived bool
	events  int
	lastAt  time.Time
}

// Observer is told how a request goes on at its server.
type Observer interface {
	Read() // its first event is there
	Done(result Result)
}

// Observe adds one who is told of the ticket from now on.
func (k *Ticket) Observe(o Observer) { k.watchers = append(k.watchers, o) }

// Arrive notes that the request reached the server, or may have.
func (k *Ticket) Arrive() { k.arrived = true }

// Arrived reports whether the request reached the server, as far as is known.
func (k *Ticket) Arrived() bool { return k.arrived }

// Event notes an event of the stream that answers the request.
func (k *Ticket) Event(now time.Time) {
	k.events++
	k.lastAt = now
}

// leastPaced is the number of events from which their pace says something.
const leastPaced = 4

// PerEvent returns the mean time between two events, or 0 if there were too few.
func (k *Ticket) PerEvent() time.Duration {
	if k.events < leastPaced {
		return 0
	}
	return k.lastAt.Sub(k.readAt) / time.Duration(k.events-1)
}

// work is how long the request keeps a server busy, in nanoseconds.
func (k *Ticket) work() float64 {
	if k.request.Engine {
		return float64(k.service.pace.Reading(k.Uncached))
	}
	return k.service.work
}

// Read says that the server has read the prompt: its first event is there.
func (k *Ticket) Read(now time.Time) {
	k.tracker.mu.Lock()
	news := !k.read
	k.markRead(now, true)
	k.tracker.mu.Unlock()
	if !news {
		return
	}
	for _, w := range k.watchers {
		w.Read()
	}
}

func (k *Ticket) markRead(now time.Time, learn bool) {
	if k.read {
		return
	}
	k.read, k.readAt = true, now
	k.state.use.Prompt -= k.Uncached
	k.state.use.Holdup = max(0, k.state.use.Holdup-k.holdup)
	if !learn || !k.learns {
		return
	}
	took := float64(now.Sub(k.at))
	if k.expect > 0 {
		ratio := min(max(took/k.expect, slowLeast), slowMost)
		slow := k.state.slowNow(now)
		k.state.slow, k.state.slowAt = slow+slowWeight*(ratio-slow), now
	}
	if !k.request.Engine {
		k.service.work += serviceWeight * (took - k.service.work)
	} else if float64(k.queued) <= aloneShare*float64(k.Uncached) {
		k.service.reading.Observe(k.queued+k.Uncached, now.Sub(k.at))
		k.tracker.agree(k.request.Service)
	}
}

// Streamed says whether a whole stream paused for longer than it should.
func (k *Ticket) Streamed(late bool) {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	k.service.pauses.note(late, k.state.longAt.After(k.at))
	k.tracker.agree(k.request.Service)
}

// Done ends the request at the server.
func (k *Ticket) Done(result Result, now time.Time) {
	if !k.end(result, now) {
		return
	}
	for _, w := range k.watchers {
		w.Done(result)
	}
}

// end ends the request, and says whether it had not ended before.
func (k *Ticket) end(result Result, now time.Time) bool {
	k.tracker.mu.Lock()
	defer k.tracker.mu.Unlock()
	if k.done {
		return false
	}
	k.done = true
	k.markRead(now, result == Answered && !k.request.Engine)
	k.state.use.Open--
	if k.request.Engine && k.request.Slots > 0 {
		k.service.held.Add(float64(now.Sub(k.readAt))/float64(k.request.Slots), demandOver, now)
	}
	if result != Cancelled {
		k.state.note(result, now)
	}
	return true
}
