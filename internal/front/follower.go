package front

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/hub"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of reading the store through hubs.
const (
	mirrorTimeout = hub.Wait + 350*time.Millisecond
	hubless       = 500 * time.Millisecond // without any hub a node reads the store itself
	hubPause      = 150 * time.Millisecond // between two rounds of hubs that do not know
	aloneFor      = 700 * time.Millisecond // a node that reaches the store gives the hubs so long to reach it too
	directAtLeast = 4 * time.Second        // a node that found no hub stays with the store
	roleLook      = 300 * time.Millisecond
	roleSettles   = 900 * time.Millisecond // a node gives up reading the store not at once: who is a hub may just change
)

// followStore keeps up with what the store has: directly where this node is a
// hub or the fleet is small, else through the hubs. Each call of the store is
// paid for, so that not all nodes of a large fleet may make them.
func (n *Instance) followStore(ctx context.Context) error {
	n.meetOthers(ctx)
	if !n.state.members.topology().Direct() {
		n.readThroughHubs(ctx)
	}
	for ctx.Err() == nil {
		n.readDirectly(ctx)
		n.readThroughHubs(ctx)
	}
	return ctx.Err()
}

// readDirectly follows the store until this node need not any more.
func (n *Instance) readDirectly(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.reading.Store(true)
	defer n.reading.Store(false)
	n.event(event.StoreFollowed, zap.Bool("directly", true), zap.Bool("stands_in", n.standIn.asked(n.Clock.Now())))
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, serve := range []func(context.Context) error{n.proveConfig, n.watchConfig, n.watchEndpoints, n.watchInstances} {
		wait.Go(func() { _ = serve(ctx) }) // ends with ctx only
	}
	stay := n.Clock.Now().Add(directAtLeast)
	if n.view.Load().Config == nil {
		stay = n.Clock.Now() // at the start nothing was tried yet
	}
	needed := n.Clock.Now()
	for n.Clock.Sleep(ctx, roleLook) {
		now := n.Clock.Now()
		if n.readsItself() || n.view.Load().Config == nil || n.storeTroubled() {
			needed = now
		}
		if now.After(stay) && now.Sub(needed) > roleSettles {
			cancel()
			return
		}
	}
}

// storeTroubled reports whether this node's last own proof is old.
func (n *Instance) storeTroubled() bool { return n.Clock.Since(n.view.Load().ReadAt) > hub.Stale }

// readThroughHubs follows the store through those that read it, until this node becomes
// one or none of them knows what is in the store although this node can find out.
func (n *Instance) readThroughHubs(ctx context.Context) {
	n.event(event.StoreFollowed, zap.Bool("directly", false))
	ctx, cancel := n.standIn.untilAsked(ctx)
	defer cancel()
	s := &follower{instance: n, lastGood: n.Clock.Now(), retry: newBackoff(retryPause, retryAlone)}
	for ctx.Err() == nil {
		hubs := n.state.members.topology()
		if n.readsItself() {
			return
		}
		s.throughReaders(ctx, hubs)
		if s.standby == "" && n.Clock.Since(s.lastGood) < hubless {
			n.Clock.Sleep(ctx, hubPause)
			continue
		}
		if n.view.Load().Config == nil {
			return // it starts, and has nothing to serve by
		}
		if s.throughStandbys(ctx, hubs) {
			continue
		}
		if s.storeDown() {
			n.Clock.Sleep(ctx, hubPause)
			continue
		}
		if s.proveAlone(ctx) && n.Clock.Since(s.aloneSince) > aloneFor {
			return
		}
	}
}

// readsItself reports whether this node has to read the store.
func (n *Instance) readsItself() bool {
	return n.state.members.topology().Direct() || n.standIn.asked(n.Clock.Now())
}

// follower is a node that reads the store through hubs.
type follower struct {
	instance             *Instance
	endpoints, instances store.Revision // revisions up to which the entries are known
	revision             store.Revision // of the configuration in hand
	orders               store.Revision // highest revision of the orders in hand
	lastGood             time.Time
	standby              string                      // the last that helped, if it was one that stands in for the readers
	round                int                         // of standbys to ask next
	without              int                         // so many said in a row that they cannot read the store
	aloneAt              time.Time                   // when this node tries the store itself although they say so
	retry                *backoff.ExponentialBackOff // of reads of the store while no hub helps
	aloneSince           time.Time                   // when the store answered although no hub knew
}

// throughReaders reads through one reader after the other until each has failed. While
// an instance stands in for them one reader is asked, to find out whether they are back.
func (s *follower) throughReaders(ctx context.Context, hubs *topology.Topology) {
	readers := hubs.Readers
	if s.standby != "" {
		readers = readers[:min(1, len(readers))]
	}
	for _, m := range readers {
		s.follow(ctx, m, false)
	}
}

// follow reads through one instance until it fails, or for a while if it only stands in
// for the readers. It reports whether it got an answer.
func (s *follower) follow(ctx context.Context, through topology.Member, standIn bool) bool {
	helped := false
	begun := s.instance.Clock.Now()
	for ctx.Err() == nil && !s.instance.readsItself() {
		if standIn && s.instance.Clock.Since(begun) > standInFor {
			return true
		}
		sent := s.instance.Clock.Now()
		a, err := s.ask(ctx, through, standIn)
		if hub.SaysUnknown(err) {
			s.without++
		}
		if err != nil {
			return helped
		}
		read, err := mirroredConfig(a, sent)
		if err != nil {
			s.instance.event(event.ConfigRejected, zap.String("peer", through.Name), zap.Error(err))
			return helped
		}
		helped = true
		s.setStandby(lo.Ternary(standIn, through.Name, ""))
		s.lastGood, s.aloneSince, s.without = sent, time.Time{}, 0
		s.retry.Reset()
		s.take(a, read, sent)
	}
	return helped
}

func (s *follower) ask(ctx context.Context, through topology.Member, standIn bool) (*peerpb.MirrorAnswer, error) {
	return s.instance.askMirror(ctx, through, &peerpb.Mirror{Config: int64(s.revision), Servers: int64(s.endpoints), Nodes: int64(s.instances), Orders: int64(s.orders), StandIn: standIn, Unpacks: true})
}

// askMirror asks an instance that reads the store for what changed there.
func (n *Instance) askMirror(ctx context.Context, m topology.Member, q *peerpb.Mirror) (*peerpb.MirrorAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	a, err := n.peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Mirror{Mirror: q}})
	if err != nil {
		return nil, fmt.Errorf("read through %s: %w", m.Name, err)
	}
	if mirror := a.GetMirror(); mirror != nil {
		if err := errors.Join(hub.Unpack(mirror.Servers), hub.Unpack(mirror.Nodes)); err != nil {
			return nil, fault.New(fault.StepPeer, m.Name, fault.KindBroken, fault.NotRun, "read through it: %w", err)
		}
		return mirror, nil
	}
	return nil, fault.New(fault.StepPeer, m.Name, fault.KindBroken, fault.NotRun, "answered with %T", a.Body)
}

// mirroredConfig reads the configuration of an answer to a question sent at a
// time. Its proof is at least as young as its age says, counted from then.
func mirroredConfig(a *peerpb.MirrorAnswer, sent time.Time) (configRead, error) {
	read := configRead{revision: store.Revision(a.ConfigRevision)}
	if len(a.PackedConfig) > 0 {
		value, err := mirror.Unpack(a.PackedConfig)
		if err != nil {
			return configRead{}, fmt.Errorf("unpack configuration %d: %w", a.ConfigRevision, err)
		}
		read.value = value
	}
	if a.ProofAge != hub.NotProved {
		read.provedAt = sent.Add(-time.Duration(a.ProofAge))
	}
	return read, nil
}

// take hands an answer to the state.
func (s *follower) take(a *peerpb.MirrorAnswer, read configRead, sent time.Time) {
	n := s.instance
	n.state.send(storeCalled{ok: true, sent: sent})
	s.takeOrders(a.Orders)
	if read.revision >= s.revision {
		s.revision = read.revision
		n.state.send(read)
	}
	if p := a.Servers; p != nil {
		s.endpoints = store.Revision(p.At)
		if events := hub.Events(p); p.Whole {
			n.state.send(listedEndpoints{hub.Items(events), s.endpoints})
		} else {
			s.changed(events)
		}
	}
	if p := a.Nodes; p != nil {
		s.instances = store.Revision(p.At)
		if events := hub.Events(p); p.Whole {
			n.state.send(listedInstances{hub.Items(events), s.instances})
		} else {
			s.changed(events)
		}
	}
}

// takeOrders hands orders to the state, before the proof that comes with them.
func (s *follower) takeOrders(orders []*peerpb.MirrorItem) {
	for _, order := range orders {
		s.orders = max(s.orders, store.Revision(order.Revision))
	}
	s.instance.state.send(mirroredOrders(orders))
}

// mirroredOrders reads the orders of an answer.
func mirroredOrders(orders []*peerpb.MirrorItem) operatorsRead {
	return operatorsRead{hub.Items(hub.Events(&peerpb.MirrorPart{Items: orders}))}
}

// changed hands changes to the state, if there are any.
func (s *follower) changed(events []store.Event) {
	if len(events) > 0 {
		s.instance.state.send(watched{events})
	}
}

// proveAlone reads the configuration from the store when no hub knows it, and
// says whether the store answered. It asks ever more seldom.
func (s *follower) proveAlone(ctx context.Context) bool {
	n := s.instance
	sent := s.instance.Clock.Now()
	call, cancel := context.WithTimeout(ctx, proveTimeout)
	items, _, err := n.Store.Range(call, n.Decoder.OperatorPrefix())
	cancel()
	if n.called(sent, err) == nil {
		n.takeOperators(items, sent)
		if s.aloneSince.IsZero() {
			s.aloneSince = sent
		}
		s.instance.Clock.Sleep(ctx, 2*hubPause)
		return true
	}
	s.aloneSince = time.Time{}
	s.instance.Clock.Sleep(ctx, s.retry.NextBackOff())
	return false
}
