package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
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

// standsIn reports whether this instance was asked of late to read the store in place
// of the readers.
func (n *Node) standsIn(now time.Time) bool { return now.UnixNano() < n.standInUntil.Load() }

// readsForOthers reports whether other instances rely on what this one reads.
func (n *Node) readsForOthers() bool {
	return n.state.members.topology().reads || n.standsIn(time.Now())
}

// untilStandIn returns a context that ends when this instance is asked to read the store
// for others: it may just be waiting for a reader that is dead.
func (n *Node) untilStandIn(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if !n.standsIn(time.Now()) {
		select {
		case <-n.standInKick: // from before this instance read the store the last time
		default:
		}
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-n.standInKick:
			cancel()
		}
	}()
	return ctx, cancel
}

// standIn makes this instance read the store for a while. If it begins to, it waits a
// moment until it knows what is there.
func (n *Node) standIn(ctx context.Context, now time.Time) {
	if !n.standsIn(now) {
		n.standInSince.Store(now.UnixNano())
	}
	n.standInUntil.Store(now.Add(standInKeep).UnixNano())
	if !n.reading.Load() {
		select {
		case n.standInKick <- struct{}{}:
		default:
		}
	}
	for latest := time.Unix(0, n.standInSince.Load()).Add(standInWait); time.Now().Before(latest) && !n.hub.knows(time.Now()); {
		if !sleep(ctx, standInLook) {
			return
		}
	}
}

// throughStandbys reads through the first instance of a round that reads the store in
// place of the readers, and reports whether there was one or another round is to be
// tried. In trouble-1 of a fleet of 295 the three readers were among those that the store
// turned away for 9 s: the 192 others all read it themselves, and made some 7,500 of
// 15,000 calls of the day.
func (s *spoke) throughStandbys(ctx context.Context, hubs *topology) bool {
	if len(hubs.standbys) == 0 {
		return false
	}
	for _, m := range hubs.standbys[s.round%len(hubs.standbys)] {
		if m.name != s.node.Settings.Name && s.follow(ctx, m, true) {
			return true
		}
		if s.node.readsItself() {
			return true // it was asked to stand in itself
		}
	}
	s.setStandby("")
	s.round++
	return s.round%len(hubs.standbys) != 0
}

// setStandby notes which instance stands in for the readers; "" is none.
func (s *spoke) setStandby(name string) {
	if name != s.standby {
		s.node.event(event.StoreFollowed, zap.Bool("directly", false), zap.String("standby", name))
	}
	s.standby = name
}

// Times of trying the store alone while those that read it for others say that they
// cannot: it is most likely down for all, and they find out when it is back.
const (
	outageSigns = 5               // so many in a row say so; a store that turns a third away turns five away in 0.4% of cases
	aloneLeast  = time.Second     // after the first sign
	aloneEvery  = 3 * time.Second // keys are honoured for 4.4 s after a proof
)

// storeDown reports whether the store seems to be down for all, so that this node need
// not try it now.
func (s *spoke) storeDown() bool {
	now := time.Now()
	switch {
	case s.without < outageSigns:
		s.aloneAt = time.Time{}
		return false
	case s.aloneAt.IsZero(): // the instances of a fleet try at different moments
		spread := pair(s.node.Settings.Name, "alone") % uint64(aloneEvery-aloneLeast)
		s.aloneAt = now.Add(aloneLeast + time.Duration(spread))
	case now.After(s.aloneAt):
		s.aloneAt = now.Add(aloneEvery)
		return false
	}
	return true
}
