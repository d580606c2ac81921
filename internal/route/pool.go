package route

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/prefix"
)

// Priorities is the number of priority levels, 0 to 9; 9 is the highest.
const Priorities = 10

// Load is a load report of an endpoint.
type Load struct {
	At              time.Time       // when the report was requested, on the clock of this instance
	Running         int             // sequences or calls in progress
	QueuedTokens    [Priorities]int // prompt tokens waiting to be computed, by priority
	PromptTokenTime time.Duration   // time to compute one prompt token
	TokenInterval   time.Duration   // time between two tokens of a stream at the current batch size
}

// Endpoint is one incarnation of an endpoint, with its load. The exported fields
// are immutable. The load and the failure state are atomics that are updated in
// place, so that a load report needs no copy of the pool.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Key         string // ID#Incarnation
	Addr        netip.AddrPort
	Hall        string
	Model       string        // name of the model or service that it serves
	Version     string        // of its software; empty if it states none
	Blocks      *prefix.Index // prompt blocks expected in its KV cache; nil for a plain service
	JoinedAt    time.Time     // when this instance added it; slow start begins here

	hash                uint64 // of the ID, for rendezvous hashing
	load                atomic.Pointer[Load]
	open                atomic.Int64 // requests of this instance in progress
	pending             atomic.Int64 // uncached prompt tokens sent by this instance and not yet covered by a load report
	meanCallTime        atomic.Int64 // moving average of the duration of service calls, in nanoseconds
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64 // outlier ejection: no new work before this time, in Unix nanoseconds
	backoffUntil        atomic.Int64 // end of the backoff that the endpoint requested, in Unix nanoseconds
}

// NewEndpoint returns an endpoint with no load and default token times. blocks is
// the capacity of its prefix index; it is 0 for a plain service, which has none.
func NewEndpoint(id string, incarnation uint64, addr netip.AddrPort, hall, model string, blocks int, now time.Time) *Endpoint {
	e := &Endpoint{ID: id, Incarnation: incarnation, Key: fmt.Sprintf("%s#%d", id, incarnation), Addr: addr, Hall: hall, Model: model, JoinedAt: now}
	e.hash = xxhash.Sum64String(id)
	if blocks > 0 {
		e.Blocks = prefix.NewIndex(blocks)
	}
	e.load.Store(&Load{At: now, PromptTokenTime: defaultPerToken, TokenInterval: defaultStep})
	return e
}

// Token times that are assumed until the first load report.
const (
	defaultPerToken = 100 * time.Microsecond
	defaultStep     = 10 * time.Millisecond
)

// Load returns the last load report.
func (e *Endpoint) Load() Load { return *e.load.Load() }

// PendingTokens returns the number of prompt tokens sent and not yet covered by a
// load report. Read it just before a report is requested and pass it to Report.
func (e *Endpoint) PendingTokens() int64 { return e.pending.Load() }

// Report stores a load report. pendingAtRequest is the value of PendingTokens when
// the report was requested: the report includes those tokens, so they no longer
// count as pending.
func (e *Endpoint) Report(l Load, pendingAtRequest int64) {
	e.load.Store(&l)
	e.pending.Add(-pendingAtRequest)
}

// Begin counts a request as in progress and its uncached prompt tokens as pending.
// The caller must call End when the request ends.
func (e *Endpoint) Begin(tokens int) {
	e.open.Add(1)
	e.pending.Add(int64(tokens))
}

// End counts a request as no longer in progress.
func (e *Endpoint) End() { e.open.Add(-1) }

// Open returns the number of requests of this instance in progress.
func (e *Endpoint) Open() int { return int(e.open.Load()) }

// Parameters of outlier ejection.
const (
	ejectionThreshold = 3           // consecutive failures
	ejectionBase      = time.Second // duration of the first ejection; doubles with each further failure
	ejectionMax       = 30 * time.Second
)

// Succeeded records a successful call and its duration. It resets the count of
// consecutive failures and updates the moving average of the call duration, of
// which the new call makes up 1/8.
func (e *Endpoint) Succeeded(took time.Duration) {
	e.consecutiveFailures.Store(0)
	old := e.meanCallTime.Load()
	if old == 0 {
		e.meanCallTime.Store(int64(took))
		return
	}
	e.meanCallTime.Store(old + (int64(took)-old)/8)
}

// Failed records a failed call. From the third consecutive failure on, each one
// ejects the endpoint from routing: for 1 s, then 2 s, 4 s and so on, up to 30 s.
// It reports whether this failure is the one that reached the threshold.
func (e *Endpoint) Failed(now time.Time) bool {
	n := e.consecutiveFailures.Add(1)
	if n < ejectionThreshold {
		return false
	}
	ejection := min(ejectionBase<<min(n-ejectionThreshold, 10), ejectionMax)
	e.ejectedUntil.Store(now.Add(ejection).UnixNano())
	return n == ejectionThreshold
}

// SetBackoff stops all calls to the endpoint until the given time, because the endpoint
// requested in an answer. An earlier time than one already set has no effect. It
// reports whether no backoff was in force before.
func (e *Endpoint) SetBackoff(until, now time.Time) bool {
	for {
		old := e.backoffUntil.Load()
		if until.UnixNano() <= old {
			return false
		}
		if e.backoffUntil.CompareAndSwap(old, until.UnixNano()) {
			return old <= now.UnixNano()
		}
	}
}

// InBackoff reports whether a backoff that the endpoint requested is in force: no calls
// are made to it, not even to read its load report.
func (e *Endpoint) InBackoff(now time.Time) bool { return now.UnixNano() < e.backoffUntil.Load() }

// Unavailable reports whether the endpoint gets no work for now, because it is
// ejected or in a backoff. The status shows such an endpoint as resting.
func (e *Endpoint) Unavailable(now time.Time) bool {
	return now.UnixNano() < e.ejectedUntil.Load() || e.InBackoff(now)
}

// Hall holds the endpoints of a pool that are in one hall.
type Hall struct {
	Name      string
	Endpoints []*Endpoint // sorted by ID
	hash      uint64      // of the name, for rendezvous hashing
}

// Pool is the immutable set of endpoints that may get new work for one model or
// service. With and Without copy the slice of one hall, not those of all halls.
type Pool struct {
	Model string // name of the model or service
	Halls []Hall // sorted by name
	Size  int    // number of endpoints
}

// NewPool returns an empty pool for a model or service.
func NewPool(model string) *Pool { return &Pool{Model: model} }

// With returns a copy of the pool that contains e in place of any other incarnation
// with the same ID.
func (p *Pool) With(e *Endpoint) *Pool {
	q := p.Without(e.ID)
	i, ok := slices.BinarySearchFunc(q.Halls, e.Hall, compareHall)
	if !ok {
		q.Halls = slices.Insert(q.Halls, i, Hall{Name: e.Hall, hash: xxhash.Sum64String(e.Hall)})
	}
	h := &q.Halls[i]
	j, _ := slices.BinarySearchFunc(h.Endpoints, e.ID, compareEndpoint)
	h.Endpoints = slices.Insert(slices.Clone(h.Endpoints), j, e)
	q.Size++
	return q
}

// Without returns a copy of the pool without the endpoint with this ID.
func (p *Pool) Without(id string) *Pool {
	q := &Pool{Model: p.Model, Halls: slices.Clone(p.Halls), Size: p.Size}
	for i := range q.Halls {
		j, ok := slices.BinarySearchFunc(q.Halls[i].Endpoints, id, compareEndpoint)
		if !ok {
			continue
		}
		q.Halls[i].Endpoints = slices.Delete(slices.Clone(q.Halls[i].Endpoints), j, j+1)
		q.Size--
		if len(q.Halls[i].Endpoints) == 0 {
			q.Halls = slices.Delete(q.Halls, i, i+1)
		}
		break
	}
	return q
}

// Find returns the endpoint with this ID, or nil.
func (p *Pool) Find(id string) *Endpoint {
	for _, h := range p.Halls {
		if j, ok := slices.BinarySearchFunc(h.Endpoints, id, compareEndpoint); ok {
			return h.Endpoints[j]
		}
	}
	return nil
}

// at returns the i-th endpoint in order of halls and IDs, or nil if there is none.
func (p *Pool) at(i int) *Endpoint {
	for _, h := range p.Halls {
		if i < len(h.Endpoints) {
			return h.Endpoints[i]
		}
		i -= len(h.Endpoints)
	}
	return nil
}

func compareHall(h Hall, name string) int        { return strings.Compare(h.Name, name) }
func compareEndpoint(e *Endpoint, id string) int { return strings.Compare(e.ID, id) }
