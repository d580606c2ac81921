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

// Priorities is the number of priority levels; 9 is the highest.
const Priorities = 10

// Load is what an endpoint last said about itself.
type Load struct {
	At           time.Time       // when the report was asked for, on this instance's clock
	Running      int             // sequences or calls in progress
	QueuedTokens [Priorities]int // prompt tokens still to be computed, by priority
	PerToken     time.Duration   // time to compute one prompt token
	Step         time.Duration   // time between two tokens of a stream at the present batch
}

// Endpoint is one incarnation of a back end. Its identity never changes; its
// load is updated in place by atomics, so that a report costs no copy of the
// pool.
type Endpoint struct {
	ID          string
	Incarnation uint64
	Key         string // ID and incarnation
	Addr        netip.AddrPort
	Hall        string
	Model       string        // model or service that it serves
	Blocks      *prefix.Index // nil for a plain service
	JoinedAt    time.Time

	seed    uint64
	load    atomic.Pointer[Load]
	open    atomic.Int64 // own requests in progress
	pending atomic.Int64 // own prompt tokens sent since the last report was asked for
	ewma    atomic.Int64 // mean time of a service call, in nanoseconds
	fails   atomic.Int64 // failures in a row
	restAt  atomic.Int64 // no new work before this time, in Unix nanoseconds
	askedAt atomic.Int64 // until when it asked for rest, in Unix nanoseconds
}

// NewEndpoint returns an endpoint without load. blocks bounds what is
// remembered of its cache; 0 for a plain service.
func NewEndpoint(id string, incarnation uint64, addr netip.AddrPort, hall, model string, blocks int, now time.Time) *Endpoint {
	e := &Endpoint{ID: id, Incarnation: incarnation, Key: fmt.Sprintf("%s#%d", id, incarnation), Addr: addr, Hall: hall, Model: model, JoinedAt: now}
	e.seed = xxhash.Sum64String(id)
	if blocks > 0 {
		e.Blocks = prefix.NewIndex(blocks)
	}
	e.load.Store(&Load{At: now, PerToken: defaultPerToken, Step: defaultStep})
	return e
}

const (
	defaultPerToken = 100 * time.Microsecond
	defaultStep     = 10 * time.Millisecond
)

// Load returns the last report.
func (e *Endpoint) Load() Load { return *e.load.Load() }

// Mark returns a mark to hand to Report with the answer to a question for load
// that is asked now.
func (e *Endpoint) Mark() int64 { return e.pending.Load() }

// Report takes a load report. What was sent before the question was asked is
// in the report and no longer counted apart.
func (e *Endpoint) Report(l Load, mark int64) {
	e.load.Store(&l)
	e.pending.Add(-mark)
}

// Begin counts a request that is being sent, with its uncached prompt tokens.
func (e *Endpoint) Begin(tokens int) {
	e.open.Add(1)
	e.pending.Add(int64(tokens))
}

// End counts a request as finished.
func (e *Endpoint) End() { e.open.Add(-1) }

// Open returns the number of own requests in progress.
func (e *Endpoint) Open() int { return int(e.open.Load()) }

const (
	failsToRest = 3
	restBase    = time.Second
	restMost    = 30 * time.Second
)

// Succeeded notes a good answer and how long it took.
func (e *Endpoint) Succeeded(took time.Duration) {
	e.fails.Store(0)
	old := e.ewma.Load()
	if old == 0 {
		e.ewma.Store(int64(took))
		return
	}
	e.ewma.Store(old + (int64(took)-old)/8)
}

// Failed notes a failure. It reports whether the endpoint now rests: after
// three failures in a row it gets no work for a second, then two, four, and
// so on up to half a minute.
func (e *Endpoint) Failed(now time.Time) bool {
	n := e.fails.Add(1)
	if n < failsToRest {
		return false
	}
	rest := min(restBase<<min(n-failsToRest, 10), restMost)
	e.restAt.Store(now.Add(rest).UnixNano())
	return n == failsToRest
}

// RestUntil keeps all calls from an endpoint that asked for it until a time. A shorter rest
// does not take back a longer one. It reports whether the endpoint did not rest already.
func (e *Endpoint) RestUntil(until, now time.Time) bool {
	for {
		old := e.askedAt.Load()
		if until.UnixNano() <= old {
			return false
		}
		if e.askedAt.CompareAndSwap(old, until.UnixNano()) {
			return old <= now.UnixNano()
		}
	}
}

// AskedForRest reports whether the endpoint wants no calls for now, those for its load
// included.
func (e *Endpoint) AskedForRest(now time.Time) bool { return now.UnixNano() < e.askedAt.Load() }

// Resting reports whether the endpoint gets no work for now: it is ejected, or asked for
// rest.
func (e *Endpoint) Resting(now time.Time) bool {
	return now.UnixNano() < e.restAt.Load() || e.AskedForRest(now)
}

// Hall is the part of a pool that is in one hall.
type Hall struct {
	Name      string
	Endpoints []*Endpoint // sorted by ID
	seed      uint64
}

// Pool is the immutable set of endpoints that may get new work for one model
// or service. A change copies one hall's slice, not the fleet.
type Pool struct {
	Model string
	Halls []Hall // sorted by name
	Size  int
}

// NewPool returns an empty pool.
func NewPool(model string) *Pool { return &Pool{Model: model} }

// With returns a pool that has e instead of any other incarnation of it.
func (p *Pool) With(e *Endpoint) *Pool {
	q := p.Without(e.ID)
	i, ok := slices.BinarySearchFunc(q.Halls, e.Hall, compareHall)
	if !ok {
		q.Halls = slices.Insert(q.Halls, i, Hall{Name: e.Hall, seed: xxhash.Sum64String(e.Hall)})
	}
	h := &q.Halls[i]
	j, _ := slices.BinarySearchFunc(h.Endpoints, e.ID, compareEndpoint)
	h.Endpoints = slices.Insert(slices.Clone(h.Endpoints), j, e)
	q.Size++
	return q
}

// Without returns a pool that lacks the endpoint.
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

// at returns the i-th endpoint in the order of halls and IDs.
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
