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

// Times of reading the store in place of readers that cannot.
const (
	standInKeep = 2 * time.Second        // after the last question an instance goes on reading
	standInWait = 300 * time.Millisecond // that a question is held until this instance knows what is in the store
	standInLook = 20 * time.Millisecond  // between looks whether it does: a listing takes some 10 ms
	// standInFor is how long an instance asks one that stands in before it tries a reader
	// again.
	standInFor = 4 * time.Second
)

// standIn is what others ask of this instance: to read the store in place of the
// readers. It is safe for concurrent use.
type standIn struct {
	since atomic.Int64  // when that began, Unix nanoseconds
	until atomic.Int64  // when it ends if nobody asks again, Unix nanoseconds
	kick  chan struct{} // somebody asked; has room for one
	clock *clock.Clock
}

func newStandIn(c *clock.Clock) *standIn { return &standIn{kick: make(chan struct{}, 1), clock: c} }

// asked reports whether this instance was asked of late.
func (s *standIn) asked(now time.Time) bool { return now.UnixNano() < s.until.Load() }

// ask notes that somebody asks, and returns when that began.
func (s *standIn) ask(now time.Time) time.Time {
	if !s.asked(now) {
		s.since.Store(now.UnixNano())
	}
	s.until.Store(now.Add(standInKeep).UnixNano())
	return time.Unix(0, s.since.Load())
}

// signal ends the contexts of untilAsked.
func (s *standIn) signal() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// untilAsked returns a context that ends when somebody asks: this instance may just be
// waiting for a reader that is dead.
func (s *standIn) untilAsked(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !s.asked(s.clock.Now()) {
		select {
		case <-s.kick: // from before this instance read the store the last time
		default:
		}
	}
	go func() {
		if kicked(ctx, s.kick) {
			cancel()
		}
	}()
	return ctx, cancel
}

// readsForOthers reports whether other instances rely on what this one reads.
func (n *Instance) readsForOthers() bool {
	return n.state.members.topology().Reads || n.standIn.asked(n.Clock.Now())
}

// readForOthers makes this instance read the store for a while. If it begins to, it waits
// a moment until it knows what is there.
func (n *Instance) readForOthers(ctx context.Context, now time.Time) {
	latest := n.standIn.ask(now).Add(standInWait)
	if !n.reading.Load() {
		n.standIn.signal()
	}
	for n.Clock.Now().Before(latest) && !n.hub.Knows(n.Clock.Now()) {
		if !n.Clock.Sleep(ctx, standInLook) {
			return
		}
	}
}

// throughStandbys reads through the first instance of a round that reads the store in
// place of the readers, and reports whether there was one or another round is to be
// tried. It keeps all others from reading the store themselves where it turns all readers
// away.
func (s *follower) throughStandbys(ctx context.Context, hubs *topology.Topology) bool {
	if len(hubs.Standbys) == 0 {
		return false
	}
	for _, m := range hubs.Standbys[s.round%len(hubs.Standbys)] {
		if m.Name != s.instance.Settings.Name && s.follow(ctx, m, true) {
			return true
		}
		if s.instance.readsItself() {
			return true // it was asked to stand in itself
		}
	}
	s.setStandby("")
	s.round++
	return s.round%len(hubs.Standbys) != 0
}

// setStandby notes which instance stands in for the readers; "" is none.
func (s *follower) setStandby(name string) {
	if name != s.standby {
		s.instance.event(event.StoreFollowed, zap.Bool("directly", false), zap.String("standby", name))
	}
	s.standby = name
}

// Times of trying the store alone while those that read it for others say that they
// cannot: it is most likely down for all, and they find out when it is back.
const (
	outageSigns = 5               // so many in a row say so; a store that turns a third of all away rarely turns five away
	aloneLeast  = time.Second     // after the first sign
	aloneEvery  = 3 * time.Second // keys are honoured for 4.4 s after a proof
)

// storeDown reports whether the store seems to be down for all, so that this node need
// not try it now.
func (s *follower) storeDown() bool {
	now := s.instance.Clock.Now()
	switch {
	case s.without < outageSigns:
		s.aloneAt = time.Time{}
		return false
	case s.aloneAt.IsZero(): // the instances of a fleet try at different moments
		spread := topology.Pair(s.instance.Settings.Name, "alone") % uint64(aloneEvery-aloneLeast)
		s.aloneAt = now.Add(aloneLeast + time.Duration(spread))
	case now.After(s.aloneAt):
		s.aloneAt = now.Add(aloneEvery)
		return false
	}
	return true
}
