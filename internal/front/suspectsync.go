package front

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/eventlog"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// This file exchanges suspects between instances.

// Times of updates.
const (
	suspectTimeout = 400 * time.Millisecond // for one call
	syncInterval   = time.Second            // between two attempts to send everything to a peer
)

// syncState tracks what a peer was sent.
type syncState struct {
	incarnation int64     // of the peer; a new incarnation knows no suspects
	pending     bool      // an update did not reach it
	triedAt     time.Time // when sending everything was last attempted
}

// broadcast logs changes and triggers sendUpdates.
func (s *suspects) broadcast(changes []quarantine.Change) {
	for _, c := range changes {
		if code, fields, ok := eventlog.Event(c); ok {
			s.instance.event(code, fields...)
		}
	}
	if len(changes) == 0 {
		return
	}
	select {
	case s.updatesQueued <- struct{}{}:
	default:
	}
}

// apply applies an update from a peer. The first end of a request is not logged: every
// request that was running on an ended endpoint has one.
func (s *suspects) apply(updates *peerpb.Suspects) {
	now := s.instance.Clock.Now()
	changes := s.table.Apply(wire.Decode(updates, now), now)
	s.broadcast(lo.Filter(changes, func(c quarantine.Change, _ int) bool {
		return c.Kind != quarantine.EndSeen || len(c.Suspect.Ends) > 1
	}))
}

// sendUpdates sends updates to peers, and as a hub to its group, whenever there are any.
func (s *suspects) sendUpdates(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for awaitSignal(ctx, s.updatesQueued) {
		own, received := s.table.Updates()
		now := s.instance.Clock.Now()
		s.send(ctx, &wait, s.peersTrackingEnds(), own, now)
		concerning := lo.Filter(append(own, received...), func(x quarantine.Suspect, _ int) bool { return x.RelevantToAll(now) })
		s.send(ctx, &wait, s.instance.groupMembers(now), concerning, now)
	}
	return ctx.Err()
}

// syncPeer is called when a peer is seen. It sends the peer all suspects if the peer has
// restarted since it was last synced, or missed an update.
func (s *suspects) syncPeer(name string, incarnation int64) {
	now := s.instance.Clock.Now()
	if !s.needsSync(name, incarnation, now) {
		return
	}
	to, listed := lo.Find(s.instance.state.members.list(), func(m member) bool { return m.Name == name })
	if !listed {
		return // synced once its address is known
	}
	s.mu.Lock()
	b := s.syncStateOf(name)
	b.pending, b.triedAt = false, now
	s.mu.Unlock()
	if all := s.table.Suspects(s.peerTracksEnds(name), now); len(all) > 0 {
		go s.sendTo(context.Background(), to.Member, wire.Encode(all, now))
	}
}

// needsSync reports whether all suspects have to be sent to a peer now.
func (s *suspects) needsSync(name string, incarnation int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.syncStateOf(name)
	if b.incarnation != incarnation {
		b.incarnation, b.pending = incarnation, true
	}
	return b.pending && now.Sub(b.triedAt) >= syncInterval
}

// syncStateOf returns the sync state of a peer. The caller holds s.mu.
func (s *suspects) syncStateOf(name string) *syncState {
	b := s.peers[name]
	if b == nil {
		b = &syncState{}
		s.peers[name] = b
	}
	return b
}

// peerTracksEnds reports whether a peer is sent all ends of endpoints; see tracksEnds.
func (s *suspects) peerTracksEnds(name string) bool {
	hubs := s.instance.state.members.topology()
	return len(hubs.Hubs) == 0 || hubs.Hub(name).Name == name
}

// groupMembers returns the instances that report to this one; none unless it is a hub.
func (n *Instance) groupMembers(now time.Time) []topology.Member {
	if !n.state.members.topology().IsHub {
		return nil
	}
	reports := n.groups.currentReports(now)
	return lo.Filter(membersOf(n.state.members.list()), func(m topology.Member, _ int) bool {
		_, reporting := reports[m.Name]
		return reporting
	})
}

// send sends updates to peers in the background; wait tracks the calls.
func (s *suspects) send(ctx context.Context, wait *sync.WaitGroup, to []topology.Member, updates []quarantine.Suspect, now time.Time) {
	if len(updates) == 0 {
		return
	}
	messages := wire.Encode(updates, now)
	for _, m := range to {
		wait.Go(func() { s.sendTo(ctx, m, messages) })
	}
}

// sendTo sends updates to a peer, and marks it as pending if the call fails.
func (s *suspects) sendTo(ctx context.Context, to topology.Member, updates *peerpb.Suspects) {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	call := &peerpb.Call{Body: &peerpb.Call_Suspects{Suspects: updates}}
	if _, err := s.instance.peers.Call(ctx, to.Addr, call); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.syncStateOf(to.Name).pending = true
	}
}
