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

// What instances tell each other of suspects.

// Times of news.
const (
	suspectTimeout = 400 * time.Millisecond // for news to arrive
	syncInterval   = time.Second            // one that does not answer is told all so often at the most
)

// syncState is what another instance was told.
type syncState struct {
	incarnation int64     // its newest; one that starts knows nothing
	pending     bool      // something did not reach it
	triedAt     time.Time // when it was last told all, or tried to
}

// broadcast logs changes and has the other instances told.
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

// apply takes what another instance tells. The first end that it saw of a request is not
// logged here: all that ran on a server that ended has one.
func (s *suspects) apply(news []*peerpb.Suspect) {
	now := s.instance.Clock.Now()
	changes := s.table.Apply(wire.Decode(news, now), now)
	s.broadcast(lo.Filter(changes, func(c quarantine.Change, _ int) bool {
		return c.Kind != quarantine.EndSeen || len(c.Suspect.Ends) > 1
	}))
}

// sendUpdates sends news to the other instances as soon as there are any.
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

// met takes note that an instance was heard of, and tells it all if it has started since it
// was told, or something did not reach it.
func (s *suspects) met(name string, incarnation int64) {
	now := s.instance.Clock.Now()
	if !s.needsSync(name, incarnation, now) {
		return
	}
	to, listed := lo.Find(s.instance.state.members.list(), func(m member) bool { return m.Name == name })
	if !listed {
		return // it is told once its address is known
	}
	s.mu.Lock()
	b := s.syncStateOf(name)
	b.pending, b.triedAt = false, now
	s.mu.Unlock()
	if all := s.table.Suspects(s.receivesAll(name), now); len(all) > 0 {
		go s.sendOnce(context.Background(), to.Member, wire.Encode(all, now))
	}
}

// needsSync reports whether an instance has to be told all now.
func (s *suspects) needsSync(name string, incarnation int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.syncStateOf(name)
	if b.incarnation != incarnation {
		b.incarnation, b.pending = incarnation, true
	}
	return b.pending && now.Sub(b.triedAt) >= syncInterval
}

// syncStateOf returns what an instance was told. s.mu is held.
func (s *suspects) syncStateOf(name string) *syncState {
	b := s.peers[name]
	if b == nil {
		b = &syncState{}
		s.peers[name] = b
	}
	return b
}

// receivesAll reports whether an instance hears of all ends of servers.
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

// send tells some instances, and does not wait for them.
func (s *suspects) send(ctx context.Context, wait *sync.WaitGroup, to []topology.Member, news []quarantine.Suspect, now time.Time) {
	if len(news) == 0 {
		return
	}
	messages := wire.Encode(news, now)
	for _, m := range to {
		wait.Go(func() { s.sendOnce(ctx, m, messages) })
	}
}

// sendOnce tells an instance. What does not reach it is owed.
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
