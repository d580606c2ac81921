// Package place lets a few hubs choose servers for all nodes of a large fleet.
//
// Nodes that choose by seconds-old updates of each other send their
// requests to the same servers. So the servers are divided among the hubs; a
// hub knows all requests that run at its servers, since it placed them, and
// hears how each goes on. A node asks the two hubs that a request's subject
// belongs to and takes the better offer.
//
// Desk is a hub's side and is safe for concurrent use.
package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// Offer is the best of a hub's servers for a request.
type Offer struct {
	Endpoint string
	Cost     float64 // see balance.Choice
	Uncached int     // prompt tokens that it probably has to read
	Ticket   uint64  // names the request in notes; it counts until it is done
}

// Note tells how a request that was placed went on.
type Note struct {
	Ticket uint64
	Read   bool // the prompt was read
	Done   bool
	Result balance.Result // when done
}

// Asker is the node that a request is placed for.
type Asker struct {
	Instance    string
	Incarnation int64 // a restarted node has a higher one
}

type held struct {
	ticket *balance.Ticket
	asker  Asker
	until  time.Time // when the request is given up on at the latest
}

// Desk places requests on the servers of one hub.
type Desk struct {
	tracker *balance.Tracker

	mu     sync.Mutex
	last   uint64           // guarded by mu
	open   map[uint64]held  // guarded by mu
	starts map[string]int64 // newest incarnation of each node; guarded by mu
}

// New returns a desk that has placed nothing yet. Its tickets differ from those
// of a desk that was started earlier.
func New(start time.Time) *Desk {
	return &Desk{
		tracker: balance.NewTracker(), last: uint64(start.UnixNano()),
		open: make(map[uint64]held), starts: make(map[string]int64),
	}
}

// Offer places a request of a node on the best of the servers. It counts there
// until it is done, or until a deadline.
func (d *Desk) Offer(asker Asker, servers []registry.Endpoint, r *balance.Request, until, now time.Time) (Offer, bool) {
	d.met(asker, now)
	ticket, ok := d.tracker.Pick(servers, r, now)
	if !ok {
		return Offer{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.open[d.last] = held{ticket, asker, until}
	return Offer{Endpoint: ticket.Endpoint.ID, Cost: ticket.Cost, Uncached: ticket.Uncached, Ticket: d.last}, true
}

// met ends what ran for an earlier incarnation of a node.
func (d *Desk) met(asker Asker, now time.Time) {
	d.mu.Lock()
	restarted := asker.Incarnation > d.starts[asker.Instance]
	d.starts[asker.Instance] = max(asker.Incarnation, d.starts[asker.Instance])
	d.mu.Unlock()
	if restarted {
		d.end(func(h held) bool {
			return h.asker.Instance == asker.Instance && h.asker.Incarnation < asker.Incarnation
		}, now)
	}
}

// end ends the requests that are over, without a verdict on their servers.
func (d *Desk) end(over func(held) bool, now time.Time) {
	var tickets []*balance.Ticket
	d.mu.Lock()
	for id, h := range d.open {
		if over(h) {
			tickets = append(tickets, h.ticket)
			delete(d.open, id)
		}
	}
	d.mu.Unlock()
	for _, t := range tickets {
		t.Done(balance.Cancelled, now)
	}
}

// Note takes a note.
func (d *Desk) Note(note Note, now time.Time) {
	d.mu.Lock()
	h, ok := d.open[note.Ticket]
	if ok && note.Done {
		delete(d.open, note.Ticket)
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	if note.Read {
		h.ticket.Read(now)
	}
	if note.Done {
		h.ticket.Done(note.Result, now)
	}
}

// Adopt makes the desk go by what the node learned of the servers.
func (d *Desk) Adopt(lessons balance.Estimates) { d.tracker.Adopt(lessons) }

// Estimates returns what the desk learned from all that it placed.
func (d *Desk) Estimates() balance.Estimates { return d.tracker.Estimates() }

// Open returns how many requests are placed and not done.
func (d *Desk) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// Expire ends what must be over: notes may be lost, and nodes die. known says
// whether a node is a member, wanted whether a server is still there.
func (d *Desk) Expire(known, wanted func(name string) bool, now time.Time) {
	d.end(func(h held) bool { return now.After(h.until) || !known(h.asker.Instance) }, now)
	d.tracker.Forget(wanted)
}

// Owned returns those of the servers that belong to a hub.
func Owned(hub string, hubs []string, servers []registry.Endpoint) []registry.Endpoint {
	var owned []registry.Endpoint
	for _, s := range servers {
		if rendezvous.Best(xxhash.Sum64String(s.ID), hubs) == hub {
			owned = append(owned, s)
		}
	}
	return owned
}
