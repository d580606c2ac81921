package front

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// How instances exchange suspects.

// Times of updates.
const (
	suspectTimeout = 400 * time.Millisecond // for an update to arrive
	syncInterval   = time.Second            // between two attempts to send everything to an instance that does not answer
)

// syncState is what was sent to another instance.
type syncState struct {
	incarnation int64     // its newest; one that starts knows nothing
	pending     bool      // something did not reach it
	triedAt     time.Time // when everything was last sent, or tried to be
}

// broadcast logs changes and has them sent to the other instances.
func (s *suspects) broadcast(changes []quarantine.Change) {
	for _, c := range changes {
		s.log(c)
	}
	if len(changes) == 0 {
		return
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

func (s *suspects) log(c quarantine.Change) {
	f := zap.Stringer("fingerprint", c.Suspect.Fingerprint)
	account := zap.String("account", c.Suspect.Account)
	switch c.Kind {
	case quarantine.EndSeen:
		s.instance.event(event.EndedUnder, f, account, zap.String("server", c.Endpoint), zap.Int("ends", len(c.Suspect.Ends)))
	case quarantine.Quarantined:
		s.instance.event(event.Quarantined, f, account, zap.Strings("servers", lo.Keys(c.Suspect.Ends)), zap.Time("until", c.Suspect.Until), zap.Int("strikes", c.Suspect.Strikes))
	case quarantine.Released:
		s.instance.event(event.QuarantineOver, f, account, zap.String("server", c.Endpoint))
	}
}

// apply takes the update of another instance. The first end that it saw of a request is not
// logged here: all that ran on a server that ended has one.
func (s *suspects) apply(news []*peerpb.Suspect) {
	now := s.instance.Clock.Now()
	changes := s.table.Apply(wire.Decode(news, now), now)
	s.broadcast(lo.Filter(changes, func(c quarantine.Change, _ int) bool {
		return c.Kind != quarantine.EndSeen || len(c.Suspect.Ends) > 1
	}))
}

// sendUpdates sends updates to the other instances as soon as there are any.
func (s *suspects) sendUpdates(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for kicked(ctx, s.kick) {
		own, heard := s.table.Updates()
		now := s.instance.Clock.Now()
		s.send(ctx, &wait, s.counting(), own, now)
		concerning := lo.Filter(append(own, heard...), func(x quarantine.Suspect, _ int) bool { return x.Concerns(now) })
		s.send(ctx, &wait, s.instance.group(now), concerning, now)
	}
	return ctx.Err()
}

// met notes that an instance was seen, and sends it everything if it has started since it
// was last synced, or missed an update.
func (s *suspects) met(name string, incarnation int64) {
	now := s.instance.Clock.Now()
	if !s.needsSync(name, incarnation, now) {
		return
	}
	to, listed := lo.Find(s.instance.state.members.list(), func(m member) bool { return m.Name == name })
	if !listed {
		return // it is synced once its address is known
	}
	s.mu.Lock()
	b := s.syncStateOf(name)
	b.pending, b.triedAt = false, now
	s.mu.Unlock()
	if all := s.table.Suspects(s.receivesAll(name), now); len(all) > 0 {
		go s.sendOnce(context.Background(), to.Member, wire.Encode(all, now))
	}
}

// needsSync reports whether everything has to be sent to an instance now.
func (s *suspects) needsSync(name string, incarnation int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.syncStateOf(name)
	if b.incarnation != incarnation {
		b.incarnation, b.pending = incarnation, true
	}
	return b.pending && now.Sub(b.triedAt) >= syncInterval
}

// syncStateOf returns what was sent to an instance. s.mu is held.
func (s *suspects) syncStateOf(name string) *syncState {
	b := s.peers[name]
	if b == nil {
		b = &syncState{}
		s.peers[name] = b
	}
	return b
}

// receivesAll reports whether an instance learns of all ends of servers.
func (s *suspects) receivesAll(name string) bool {
	hubs := s.instance.state.members.topology()
	return len(hubs.Hubs) == 0 || hubs.Named(name).Name == name
}

// group returns the instances that report to this one, if it is a hub.
func (n *Instance) group(now time.Time) []topology.Member {
	if !n.state.members.topology().Self {
		return nil
	}
	reports := n.groups.own(now)
	return lo.Filter(membersOf(n.state.members.list()), func(m topology.Member, _ int) bool {
		_, reporting := reports[m.Name]
		return reporting
	})
}

// send sends updates to some instances, and does not wait for them.
func (s *suspects) send(ctx context.Context, wait *sync.WaitGroup, to []topology.Member, news []quarantine.Suspect, now time.Time) {
	if len(news) == 0 {
		return
	}
	messages := wire.Encode(news, now)
	for _, m := range to {
		wait.Go(func() { s.sendOnce(ctx, m, messages) })
	}
}

// sendOnce sends updates to an instance. What does not reach it is pending.
func (s *suspects) sendOnce(ctx context.Context, to topology.Member, news []*peerpb.Suspect) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	call := &peerpb.Call{Body: &peerpb.Call_Suspects{Suspects: &peerpb.Suspects{Suspects: news}}}
	if _, err := s.instance.peers.Call(ctx, to.Addr, call); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.syncStateOf(to.Name).pending = true
	}
}
