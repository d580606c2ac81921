// Package intake bounds what clients can make an instance hold.
//
// A Budget bounds the memory of request bodies, whatever their number, length and pace. A body takes memory piece by
// piece, as it arrives. When memory is short, bodies are dropped that only a further attempt would need; then the reader
// that has been stalled for longest gives way; if all readers make progress, the newcomer does. A part of the memory is
// reserved for small bodies, so that a crowd of large ones does not starve ordinary requests.
//
// Connections bounds the connections of clients to a listener, with the headers of their requests; Shares, how many of them
// the requests of one client account keep busy.
//
// The package reads no clock. Budget, Connections and Shares are safe for concurrent use; a Lease belongs to one goroutine.
package intake

import (
	"container/list"
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/payload"
)

const (
	// smallBody is the size in bytes up to which a body may use the reserve.
	smallBody = 128 << 10
	// reserveShare is the share of the memory that only small bodies may use.
	reserveShare = 0.25
	// minRate is the pace in bytes per second below which a reader counts as stalled, once it has used up
	// stallTolerance. It is half of what the slowest lines of clients carry.
	minRate = 32 << 10
	// stallTolerance is how long a reader may receive nothing.
	stallTolerance = time.Second
)

var (
	// ErrFull reports that there is no memory for a body, and no stalled reader that could give way.
	ErrFull = errors.New("no memory for the body of the request")
	// ErrGaveWay reports that the memory of a stalled reader was needed for others.
	ErrGaveWay = errors.New("the body came too slowly while memory was short")
)

// Reader is a request whose body is being read.
type Reader interface {
	// GiveWay makes reading the body fail at once. It must not block or call back.
	GiveWay()
}

// UnreadBytes limits what the system holds of a client's connection that is not read, as while a request is served or after
// one was refused. A client can send this much each round trip.
const UnreadBytes = 32 << 10

// Limits are what clients may take of an instance. Zero stands for no bound.
type Limits struct {
	BodyBytes       int64 // of requests in progress
	Connections     int   // open at a time
	ConnectionBytes int64 // of connections, with the headers of their requests
}

// Intake is what bounds the clients of an instance.
type Intake struct {
	Bodies      *Budget
	Connections *Connections
	Shares      *Shares // of client accounts

	reported ConnectionCounts // at the last call of Maintain
}

// New returns an Intake of which nothing is used. now tells the time.
func New(l Limits, now func() time.Time) *Intake {
	bodies := NewBudget(l.BodyBytes)
	limits := ConnectionLimits{Open: l.Connections, Bytes: l.ConnectionBytes, Unread: UnreadBytes}
	return &Intake{
		Bodies: bodies, Shares: NewShares(l.Connections),
		Connections: NewConnections(limits, now, func() { bodies.YieldStalled(now()) }),
	}
}

// Budget bounds the memory of request bodies.
type Budget struct {
	limit      int64 // bytes
	largeLimit int64 // bytes of bodies that are not small

	mu       sync.Mutex
	used     usage         // guarded by mu
	yielding usage         // part of used whose readers were told to give way; guarded by mu
	readers  *Lease        // a list of those that are being read; guarded by mu
	spares   list.List     // of *Lease, those that are spare, the oldest first; guarded by mu
	changed  chan struct{} // closed when memory was given back or a reader has to give way; nil if nobody waits; guarded by mu
}

// usage is an amount of memory in bytes.
type usage struct{ all, large int64 }

func (u *usage) add(n int64, large bool) {
	u.all += n
	if large {
		u.large += n
	}
}

// NewBudget returns a budget of a number of bytes, without a bound if that is not positive.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = math.MaxInt64 / 2
	}
	return &Budget{limit: limit, largeLimit: limit - int64(reserveShare*float64(limit))}
}

// Used returns the bytes that bodies hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used.all
}

type state int

const (
	closed   state = iota
	reading        // the body is being read
	yielding       // the body was being read, and the reader has to give way
	complete       // the body was read
	spare          // the body was read, and is only needed if the request fails
	dropped        // the body was spare, and its memory was needed for others
)

// Lease is the memory of one body. The zero value holds nothing.
type Lease struct {
	budget *Budget
	reader Reader

	// Guarded by budget.mu.
	state      state
	held       int64
	due        time.Time        // the reader counts as stalled from then on
	prev, next *Lease           // in the list of readers
	body       *payload.Payload // while it is spare
	place      *list.Element    // in budget.spares while it is spare
}

// Open begins a lease for a body that is about to be read.
func (b *Budget) Open(l *Lease, r Reader, now time.Time) {
	*l = Lease{budget: b, reader: r, state: reading, due: now.Add(stallTolerance)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.next = b.readers; l.next != nil {
		l.next.prev = l
	}
	b.readers = l
}

// unlist removes a lease from the list of readers. b.mu is held.
func (b *Budget) unlist(l *Lease) {
	if l.prev != nil {
		l.prev.next = l.next
	} else {
		b.readers = l.next
	}
	if l.next != nil {
		l.next.prev = l.prev
	}
	l.prev, l.next = nil, nil
}

// Grow takes n more bytes. It waits for memory that other readers are about to give back, and fails with ErrFull if
// there is none, with ErrGaveWay, or with the error of ctx.
func (l *Lease) Grow(ctx context.Context, n int64, now time.Time) error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		if l.state == yielding {
			return ErrGaveWay
		}
		if b.fits(l, n, usage{}) {
			b.take(l, n)
			return nil
		}
		if !b.makeRoom(l, n, now) {
			return ErrFull
		}
		if b.fits(l, n, usage{}) {
			continue
		}
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		b.mu.Lock()
		if err := ctx.Err(); err != nil {
			return context.Cause(ctx)
		}
	}
}

// Hold takes n more bytes for a lease whose owner can do without, and reports whether there were any. Nobody gives way
// for them. The first call begins the lease.
func (b *Budget) Hold(l *Lease, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state == closed {
		*l = Lease{budget: b, state: complete}
	}
	if !b.fits(l, n, usage{}) {
		return false
	}
	b.take(l, n)
	return true
}

// fits reports whether a lease can take n more bytes once others have given some back. The only large body may also
// use the reserve, so that in calm each body that fits at all is read. b.mu is held.
func (b *Budget) fits(l *Lease, n int64, back usage) bool {
	if b.used.all-back.all+n > b.limit {
		return false
	}
	total := l.held + n
	if total <= smallBody {
		return true
	}
	others := b.used.large - back.large
	if l.held > smallBody {
		others -= l.held
	}
	return others == 0 || others+total <= b.largeLimit
}

// take adds n bytes to a lease. b.mu is held.
func (b *Budget) take(l *Lease, n int64) {
	b.used.add(-l.held, l.held > smallBody)
	l.held += n
	b.used.add(l.held, l.held > smallBody)
}

// makeRoom drops spare bodies, the oldest first, and tells stalled readers to give way, those first that have been
// stalled for longest, until n more bytes will fit. If they won't even without all stalled readers, none of these gives
// way and makeRoom reports false. b.mu is held.
func (b *Budget) makeRoom(l *Lease, n int64, now time.Time) bool {
	for !b.fits(l, n, b.yielding) && b.spares.Len() > 0 {
		b.drop(b.spares.Front().Value.(*Lease))
	}
	back := b.yielding
	for r := b.readers; r != nil; r = r.next {
		if r != l && r.stalled(now) {
			back.add(r.held, r.held > smallBody)
		}
	}
	if !b.fits(l, n, back) {
		return false
	}
	for !b.fits(l, n, b.yielding) {
		// Small bodies don't use what a large one lacks outside the reserve.
		onlyLarge := b.used.all-b.yielding.all+n <= b.limit
		b.yield(b.longestStalled(l, onlyLarge, now))
	}
	return true
}

// stalled reports whether memory is held for a body that comes too slowly. budget.mu is held.
func (l *Lease) stalled(now time.Time) bool {
	return l.state == reading && l.held > 0 && l.due.Before(now)
}

// longestStalled returns the reader other than l, of a large body if onlyLarge is set, that has been stalled for longest;
// nil if there is none. b.mu is held.
func (b *Budget) longestStalled(l *Lease, onlyLarge bool, now time.Time) *Lease {
	var found *Lease
	for r := b.readers; r != nil; r = r.next {
		if r == l || !r.stalled(now) || onlyLarge && r.held <= smallBody {
			continue
		}
		if found == nil || r.due.Before(found.due) {
			found = r
		}
	}
	return found
}

// YieldStalled tells the reader that has been stalled for longest to give way, if there is one. Its connection is
// closed then.
func (b *Budget) YieldStalled(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if victim := b.longestStalled(nil, false, now); victim != nil {
		b.yield(victim)
	}
}

// yield tells a reader to give way. b.mu is held.
func (b *Budget) yield(l *Lease) {
	b.yielding.add(l.held, l.held > smallBody)
	l.state = yielding
	l.reader.GiveWay()
	b.notify()
}

// notify wakes those that wait in Grow. b.mu is held.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Received records that n bytes of the body arrived, which put off the time from which the reader counts as stalled.
func (l *Lease) Received(n int, now time.Time) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.due = l.due.Add(time.Duration(n) * time.Second / minRate)
	if most := now.Add(stallTolerance); l.due.After(most) {
		l.due = most
	}
}

// Complete records that the body was read. It fails with ErrGaveWay if the reader had to give way before.
func (l *Lease) Complete() error {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state != reading {
		return ErrGaveWay
	}
	l.state = complete
	b.unlist(l)
	return nil
}

// Spare records that the body, which has been read, is only needed if the request has to be sent again. Until Reclaim,
// it may be dropped, and nobody else may use it. Small bodies are kept.
func (l *Lease) Spare(body *payload.Payload) {
	b := l.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state != complete || l.held <= smallBody {
		return
	}
	l.state, l.body = spare, body
	l.place = b.spares.PushBack(l)
}

// Reclaim ends Spare, and reports whether the body is still there.
func (l *Lease) Reclaim() bool {
	b := l.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state == spare {
		b.unspare(l)
		l.state = complete
	}
	return l.state == complete
}

// drop drops a spare body. b.mu is held.
func (b *Budget) drop(l *Lease) {
	*l.body = payload.Payload{}
	b.used.add(-l.held, l.held > smallBody)
	b.unspare(l)
	l.state, l.held = dropped, 0
	b.notify()
}

// unspare takes a lease from the list of those that are spare. b.mu is held.
func (b *Budget) unspare(l *Lease) {
	b.spares.Remove(l.place)
	l.place, l.body = nil, nil
}

// GaveWay reports whether the reader had to give way.
func (l *Lease) GaveWay() bool {
	if l.budget == nil {
		return false
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.state == yielding
}

// Release gives all memory back. It may be called more than once, and on a lease that was never opened.
func (l *Lease) Release() {
	b := l.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.state == closed {
		return
	}
	switch l.state {
	case yielding:
		b.yielding.add(-l.held, l.held > smallBody)
		b.unlist(l)
	case reading:
		b.unlist(l)
	case spare:
		b.unspare(l)
	}
	b.used.add(-l.held, l.held > smallBody)
	l.state, l.held = closed, 0
	b.notify()
}
