package front

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of standing in for the readers. In a large fleet a few hubs, the readers, read the
// store for all instances; while they cannot, standby instances read it on request.
const (
	standInTTL     = 2 * time.Second        // a standby reads this long after the last request
	standInMaxWait = 300 * time.Millisecond // a request waits this long for the first read of the store
	standInPoll    = 20 * time.Millisecond  // between checks for that read; a listing takes about 10 ms
	// readerRetryInterval is how long an instance reads through a standby before it tries
	// a reader again.
	readerRetryInterval = 4 * time.Second
)

// standIn tracks requests of peers that this instance read the store in place of the
// readers. It is safe for concurrent use.
type standIn struct {
	since    atomic.Int64  // first request of the current period, Unix nanoseconds
	until    atomic.Int64  // end of the period unless requested again, Unix nanoseconds
	requests chan struct{} // signals a request; capacity 1
	clock    *clock.Clock
}

func newStandIn(c *clock.Clock) *standIn { return &standIn{requests: make(chan struct{}, 1), clock: c} }

// requested reports whether a peer requested reading within standInTTL.
func (s *standIn) requested(now time.Time) bool { return now.UnixNano() < s.until.Load() }

// request records a request, and returns when the current period began.
func (s *standIn) request(now time.Time) time.Time {
	if !s.requested(now) {
		s.since.Store(now.UnixNano())
	}
	s.until.Store(now.Add(standInTTL).UnixNano())
	return time.Unix(0, s.since.Load())
}

// signal cancels the context of untilRequested.
func (s *standIn) signal() {
	select {
	case s.requests <- struct{}{}:
	default:
	}
}

// untilRequested returns a context that is cancelled when a peer requests reading, even
// while this instance itself waits for a dead reader.
func (s *standIn) untilRequested(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !s.requested(s.clock.Now()) {
		select {
		case <-s.requests: // left over from an earlier period
		default:
		}
	}
	go func() {
		if awaitSignal(ctx, s.requests) {
			cancel()
		}
	}()
	return ctx, cancel
}

// readsForOthers reports whether this instance reads the store for others, as a reader or
// as a standby.
func (n *Instance) readsForOthers() bool {
	return n.state.members.topology().IsReader || n.standIn.requested(n.Clock.Now())
}

// readForOthers makes this instance read the store for standInTTL. It waits up to
// standInMaxWait for the first read to complete.
func (n *Instance) readForOthers(ctx context.Context, now time.Time) {
	latest := n.standIn.request(now).Add(standInMaxWait)
	if !n.reading.Load() {
		n.standIn.signal()
	}
	for n.Clock.Now().Before(latest) && !n.hub.Ready(n.Clock.Now()) {
		if !n.Clock.Sleep(ctx, standInPoll) {
			return
		}
	}
}

// throughStandbys follows the store through the first standby of a round that can read it.
// It reports whether the caller should go on without reading the store directly: a standby
// helped, this instance became a standby, or a round of standbys is left to try. This
// keeps the whole fleet from reading the store when the store refuses all readers.
func (s *follower) throughStandbys(ctx context.Context, hubs *topology.Topology) bool {
	if len(hubs.Standbys) == 0 {
		return false
	}
	for _, m := range hubs.Standbys[s.standbyRound%len(hubs.Standbys)] {
		if m.Name != s.instance.Settings.Name && s.follow(ctx, m, true) {
			return true
		}
		if s.instance.mustReadStore() {
			return true // it reads the store now, maybe as a standby
		}
	}
	s.setStandby("")
	s.standbyRound++
	return s.standbyRound%len(hubs.Standbys) != 0
}

// setStandby sets the standby that this instance reads through, and logs a change; "" is none.
func (s *follower) setStandby(name string) {
	if name != s.standby {
		s.instance.event(event.StoreSourceChanged, zap.Bool("directly", false), zap.String("standby", name))
	}
	s.standby = name
}

// Parameters of reading the store directly while readers and standbys report that they
// cannot read it: it is most likely down for all, and they will notice when it is back.
const (
	outageThreshold    = 5               // consecutive such reports; a store that refuses a third of all instances rarely refuses five in a row
	directReadDelay    = time.Second     // minimum delay after the threshold is reached
	directReadInterval = 3 * time.Second // API keys stay valid for 4.4 s after the configuration was last confirmed
)

// storeDown reports whether the store seems to be down for all instances and this instance
// should not try it now.
func (s *follower) storeDown() bool {
	now := s.instance.Clock.Now()
	switch {
	case s.unavailable < outageThreshold:
		s.nextDirectRead = time.Time{}
		return false
	case s.nextDirectRead.IsZero(): // spread over the instances of the fleet
		spread := topology.PairHash(s.instance.Settings.Name, "alone") % uint64(directReadInterval-directReadDelay)
		s.nextDirectRead = now.Add(directReadDelay + time.Duration(spread))
	case now.After(s.nextDirectRead):
		s.nextDirectRead = now.Add(directReadInterval)
		return false
	}
	return true
}
