package overload

import (
	"container/heap"
	"math"
	"time"
)

const (
	// slotLength is the length of a time slot: short against the targets of callers (120 ms and
	// more), and long enough for a slot to hold whole requests.
	slotLength = 50 * time.Millisecond

	// numSlots is how far ahead times are reserved, 12.8 s: a third of the time left to a caller with
	// a deadline of 38 s.
	numSlots = 256

	// reservedFraction is the part of the accepted work that reservations may take, so that callers
	// that come for the first time still find capacity.
	reservedFraction = 0.5

	// maxUrgent is the part of the endpoints' rate which more urgent requests may take, if a less urgent
	// one is to get a reservation: above it, a caller that returns is admitted and then overtaken until
	// it leaves. Accounts within their shares get one nevertheless, as the others are restricted for
	// their sake.
	maxUrgent = 0.95

	// minWait is the shortest time until a reservation. A caller that does not wait returns within
	// 20 ms (a round trip of 6 ms, a new connection); it would keep a time within another maxEarly.
	minWait = 50 * time.Millisecond

	// maxEarly is how much too early a caller may return. Timers of clients and rounding of
	// Retry-After make it some milliseconds early.
	maxEarly = 20 * time.Millisecond

	// maxLate is how long a reservation outlasts its time: a new connection, and a client that is
	// slow for a moment. Capacity that is not used by then has gone to others.
	maxLate = 300 * time.Millisecond

	// maxReservations bounds the memory of reservations, to about 1 MB.
	maxReservations = 4096

	// maxRefused bounds the memory of refused requests that hold no reservation.
	maxRefused = 4096

	// refusedRetention is how long a request that was refused without a reservation is recognized
	// after the time at which it should return.
	refusedRetention = time.Second

	// maxExpired is the number of entries removed in one decision, at most, which bounds its time.
	// A decision adds at most one, so that the tables cannot grow from it.
	maxExpired = 8
)

// perPriority holds an amount of work for each priority.
type perPriority [numPriorities]float64

// slots holds the work reserved at a service, by time slot.
type slots struct {
	epoch time.Time     // start of slot 0
	first int64         // the earliest slot that is kept
	work  []perPriority // by slot modulo numSlots; allocated by the first reservation
}

// advance drops the slots that have passed.
func (s *slots) advance(now time.Time) {
	if s.work == nil {
		s.work = make([]perPriority, numSlots)
	}
	current := int64(now.Sub(s.epoch) / slotLength)
	if current-s.first >= numSlots {
		clear(s.work)
		s.first = current
	}
	for ; s.first < current; s.first++ {
		s.work[s.first%numSlots] = perPriority{}
	}
}

// free returns the work that can still be reserved in a slot at a priority. capacity holds, for each
// priority, the work that a slot may hold of it and of less urgent ones together: less urgent
// requests are served with what the others leave.
func (s *slots) free(slot int64, priority int, capacity perPriority) float64 {
	free, sum := math.Inf(1), 0.0
	for p := numPriorities - 1; p >= 0; p-- {
		sum += s.work[slot%numSlots][p]
		if p <= priority {
			free = min(free, capacity[p]-sum)
		}
	}
	return max(0, free)
}

// used returns the fraction of a slot's capacity that is reserved.
func (s *slots) used(slot int64, capacity perPriority) float64 {
	sum := 0.0
	for _, work := range s.work[slot%numSlots] {
		sum += work
	}
	return min(sum/capacity[0], 1)
}

// reserve reserves work in the first slot with capacity, and returns a time in it, not before
// earliest nor after latest. Within a slot, times are as far apart as the work reserved there.
// Work that exceeds the capacity of a slot also takes what is left in the slots before it, so that
// large requests get reservations too.
func (s *slots) reserve(work float64, priority int, capacity perPriority, earliest, latest, now time.Time) (time.Time, bool) {
	s.advance(now)
	if !(capacity[priority] > 0) {
		return time.Time{}, false
	}
	first := max(int64((earliest.Sub(s.epoch)+slotLength-1)/slotLength), s.first)
	sum := 0.0
	for i := first; i < s.first+numSlots; i++ {
		start := s.epoch.Add(time.Duration(i) * slotLength)
		if start.After(latest) {
			break
		}
		free := s.free(i, priority, capacity)
		sum += free
		if work <= capacity[priority] && free < work || sum < work {
			continue
		}
		at := start.Add(time.Duration(s.used(i, capacity) * float64(slotLength)))
		if at.After(latest) {
			break
		}
		for rest := work; rest > 0 && i >= first; i-- {
			part := min(rest, s.free(i, priority, capacity))
			s.work[i%numSlots][priority] += part
			rest -= part
		}
		return at, true
	}
	return time.Time{}, false
}

// reserve reserves a time for a request that is to be refused. A request without a fingerprint would
// not be recognized when it returns.
func (c *Controller) reserve(r Request, f Forecast, s *service, a *account, over bool, latest, now time.Time) (time.Time, bool) {
	if !c.options.Reservations || r.Fingerprint == 0 || f.RoomAt.IsZero() || c.reservations.full() {
		return time.Time{}, false
	}
	earliest := now.Add(minWait)
	if f.RoomAt.After(earliest) {
		earliest = f.RoomAt
	}
	if room := now.Add(f.FirstAt.Sub(r.Target)); !r.Target.IsZero() && room.After(earliest) {
		earliest = room // later than RoomAt if the forecast was corrected
	}
	if over && a.unreserved.After(earliest) {
		earliest = a.unreserved
	}
	if earliest.After(latest) {
		return time.Time{}, false
	}
	if c.options.FairShares && f.Rate > 0 && !s.shares.within(a, now) && s.accepted.upTo(r.Priority-1, now) > maxUrgent*f.Rate {
		return time.Time{}, false
	}
	capacity := s.accepted.from(s.since, now)
	for p := range capacity {
		capacity[p] *= slotLength.Seconds() * reservedFraction
	}
	at, ok := s.slots.reserve(r.Work, r.Priority, capacity, earliest, latest, now)
	if ok && over {
		perSecond := s.shares.level * a.weight * reservedFraction
		seconds := min(r.Work/perSecond, retention.Seconds())
		a.unreserved = at.Add(time.Duration(seconds * float64(time.Second)))
	}
	return at, ok
}

// returning returns the reservation that a request was given, or nil, and how often it has returned
// after a refusal, this time included.
func (c *Controller) returning(r Request, now time.Time) (held *entry, returns int) {
	if r.Fingerprint == 0 {
		return nil, 0
	}
	e := c.reservations.get(r)
	if e != nil && !now.After(e.expires) {
		held = e
	}
	if e == nil {
		e = c.refused.get(r)
	}
	if e == nil {
		return nil, 0
	}
	e.returns++
	return held, e.returns
}

// remember keeps a refused request, so that it is recognized when it returns.
func (c *Controller) remember(r Request, d Decision, returns int, now time.Time) {
	if r.Fingerprint == 0 {
		return
	}
	c.forget(r)
	k := key{r.Service, r.Account, r.Fingerprint}
	if d.Reserved {
		c.reservations.add(&entry{key: k, at: d.RetryAt, expires: d.RetryAt.Add(maxLate), returns: returns})
		return
	}
	expires := now.Add(refusedRetention)
	if d.RetryAt.After(now) {
		expires = d.RetryAt.Add(refusedRetention)
	}
	c.refused.add(&entry{key: k, expires: expires, returns: returns})
}

// forget drops what is kept of a request.
func (c *Controller) forget(r Request) {
	if r.Fingerprint == 0 {
		return
	}
	for _, t := range []*table{c.reservations, c.refused} {
		if e := t.get(r); e != nil {
			t.remove(e)
		}
	}
}

// expire ends the reservations of callers that did not return. Such a request is still recognized
// for a while, so that it is not counted again.
func (c *Controller) expire(now time.Time) {
	for range maxExpired {
		e := c.reservations.popExpired(now)
		if e == nil {
			break
		}
		c.refused.add(&entry{key: e.key, expires: e.expires.Add(refusedRetention)})
	}
	for range maxExpired {
		if c.refused.popExpired(now) == nil {
			break
		}
	}
}

// key identifies a request of a caller.
type key struct {
	service, account string
	fingerprint      uint64
}

// entry is a refused request.
type entry struct {
	key     key
	at      time.Time // when the caller should return; zero without a reservation
	expires time.Time
	returns int // how often the request returned
	index   int // in table.byExpiry
}

// table holds at most a given number of refused requests.
type table struct {
	capacity int
	entries  map[key]*entry
	byExpiry expiryHeap
}

func newTable(capacity int) *table {
	return &table{capacity: capacity, entries: make(map[key]*entry)}
}

func (t *table) full() bool { return len(t.entries) >= t.capacity }

// get returns the entry of a request, or nil.
func (t *table) get(r Request) *entry {
	if len(t.entries) == 0 {
		return nil
	}
	return t.entries[key{r.Service, r.Account, r.Fingerprint}]
}

// add adds an entry for a request that has none. If the table is full, it replaces the entry that
// would expire first.
func (t *table) add(e *entry) {
	if t.full() {
		t.remove(t.byExpiry[0])
	}
	t.entries[e.key] = e
	heap.Push(&t.byExpiry, e)
}

func (t *table) remove(e *entry) {
	heap.Remove(&t.byExpiry, e.index)
	delete(t.entries, e.key)
}

// popExpired removes and returns an expired entry, or nil.
func (t *table) popExpired(now time.Time) *entry {
	if len(t.byExpiry) == 0 || !now.After(t.byExpiry[0].expires) {
		return nil
	}
	e := t.byExpiry[0]
	t.remove(e)
	return e
}

// expiryHeap orders entries by the time at which they expire, for container/heap.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
