package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
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

// Intervals and time-outs for reading the store through hubs.
const (
	mirrorTimeout     = hub.LongPollWait + 350*time.Millisecond
	hubAnswerTimeout  = 500 * time.Millisecond // without an answer of any hub for this long, an instance reads the store itself
	hubRetryInterval  = 150 * time.Millisecond // between two rounds over the hubs while none has current data
	hubRecoveryGrace  = 700 * time.Millisecond // an instance that reaches the store waits this long for the hubs to reach it too
	minDirectReading  = 4 * time.Second        // an instance that found no hub reads the store directly at least this long
	roleCheckInterval = 300 * time.Millisecond
	roleChangeGrace   = 900 * time.Millisecond // before an instance stops reading the store directly: the choice of hubs may be changing
)

// followStore follows the contents of the store: directly if this instance reads it for others or
// the fleet is small, else through instances that do. The platform charges for each call of the store, which is why
// not all instances of a large fleet read it.
func (n *Instance) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		n.readThroughHubs(ctx)
		if n.mustReadStore() {
			n.readDirectly(ctx)
		}
	}
	return ctx.Err()
}

// readDirectly follows the store by own calls until this instance no longer has to.
func (n *Instance) readDirectly(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.reading.Store(true)
	defer n.reading.Store(false)
	n.event(event.StoreSourceChanged, zap.Bool("directly", true), zap.Bool("stands_in", n.standIn.requested(n.Clock.Now())))
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, serve := range []func(context.Context) error{n.pollConfig, n.watchConfig, n.watchEndpoints, n.watchInstances, n.bootstrap.holdSlot} {
		wait.Go(func() { _ = serve(ctx) }) // ends with ctx only
	}
	stayUntil := n.Clock.Now().Add(minDirectReading)
	needed := n.Clock.Now()
	for n.Clock.Sleep(ctx, roleCheckInterval) {
		now := n.Clock.Now()
		if n.readsByRole() || n.view.Load().Config == nil || n.configReadStale() {
			needed = now
		}
		if now.After(stayUntil) && now.Sub(needed) > roleChangeGrace {
			cancel()
			return
		}
	}
}

// configReadStale reports whether the last regular read of the configuration, directly or through
// hubs, is older than the maximum age of a proof that hubs answer with.
func (n *Instance) configReadStale() bool {
	return n.Clock.Since(n.view.Load().OwnConfirmedAt) > hub.MaxProofAge
}

// readThroughHubs follows the store through instances that read it. It returns when this instance
// has to read the store itself, or when it can reach the store and none of the others can.
func (n *Instance) readThroughHubs(ctx context.Context) {
	n.event(event.StoreSourceChanged, zap.Bool("directly", false))
	ctx, cancel := n.standIn.untilRequested(ctx)
	defer cancel()
	s := &follower{instance: n, lastAnswer: n.Clock.Now(), retry: newBackoff(minRetryDelay, maxDirectReadRetry), directoryRetry: newDirectoryRetry(), random: n.newBootstrapRand()}
	for ctx.Err() == nil {
		hubs := n.state.members.topology()
		if n.mustReadStore() {
			return
		}
		if len(hubs.Hubs) == 0 {
			s.throughDirectory(ctx)
			continue
		}
		s.followReaders(ctx, hubs)
		if s.standby == "" && n.Clock.Since(s.lastAnswer) < hubAnswerTimeout {
			n.Clock.Sleep(ctx, hubRetryInterval)
			continue
		}
		if n.view.Load().Config != nil {
			if s.throughStandbys(ctx, hubs) {
				continue
			}
			if s.storeDown() {
				n.Clock.Sleep(ctx, hubRetryInterval)
				continue
			}
			if !s.readConfigDirectly(ctx) || n.Clock.Since(s.directSince) <= hubRecoveryGrace {
				continue
			}
		}
		s.throughDirectory(ctx)
	}
}

// mustReadStore reports whether this instance has to read the store itself.
func (n *Instance) mustReadStore() bool { return n.readsByRole() || n.bootstrap.holds() }

// readsByRole is mustReadStore without the slot of the directory that this instance may hold in a
// large fleet, whose readers are known.
func (n *Instance) readsByRole() bool {
	hubs := n.state.members.topology()
	if len(hubs.Hubs) == 0 && n.bootstrap.readsAlone() {
		return true
	}
	return hubs.IsReader || n.standIn.requested(n.Clock.Now())
}

// follower is the state of reading the store through hubs.
type follower struct {
	instance                             *Instance
	endpointsRevision, instancesRevision store.Revision // up to which the entries are known
	configRevision                       store.Revision // of the configuration held
	ordersRevision                       store.Revision // highest revision of the roll-out orders held
	lastAnswer                           time.Time
	standby                              string                      // last instance that answered, if it is one that stands in for the readers; else empty
	standbyRound                         int                         // index of the round of standbys to ask next
	unavailable                          int                         // consecutive answers that the store cannot be read
	nextDirectRead                       time.Time                   // when this instance tries the store itself despite these answers
	retry                                *backoff.ExponentialBackOff // of direct reads of the store while no hub answers
	directSince                          time.Time                   // since when the store answers this instance while no hub has current data
	directoryRetry                       *backoff.ExponentialBackOff // of reads of the directory
	random                               *rand.Rand                  // of the times of claims
	claimAt                              time.Time                   // when to claim a slot of the directory; zero while there is no need
	answeredAt                           time.Time                   // when a holder of a slot answered first
	fleetSize                            int                         // estimated from the callers of a holder; 0 before that
	directoryReadAt                      time.Time                   // when the directory was last read; zero before that
}

// followReaders reads through each reader in turn until it fails, and then through the other
// instances of the directory: the readers may be new in their role. While another instance stands
// in for the readers, only the first reader is tried, to detect that the readers are back.
func (s *follower) followReaders(ctx context.Context, hubs *topology.Topology) {
	readers := hubs.Readers
	if s.standby != "" {
		readers = readers[:min(1, len(readers))]
	}
	for _, m := range readers {
		s.follow(ctx, m, false)
	}
	if s.standby != "" {
		return
	}
	for _, m := range s.instance.bootstrap.directory().Others(s.instance.Settings.Name) {
		if !slices.Contains(readers, m) {
			s.follow(ctx, m, false)
		}
	}
}

// follow reads through one instance until it fails or this instance has to read the store itself.
// It reads only for a limited time through an instance that stands in for the readers, so that
// these are tried again. It reports whether it got an answer.
func (s *follower) follow(ctx context.Context, through topology.Member, standIn bool) bool {
	answered := false
	begun := s.instance.Clock.Now()
	for ctx.Err() == nil && !s.instance.mustReadStore() {
		if standIn && s.instance.Clock.Since(begun) > readerRetryInterval {
			return true
		}
		sent := s.instance.Clock.Now()
		a, err := s.ask(ctx, through, standIn)
		if hub.IsNotCurrent(err) {
			s.unavailable++
		}
		if err != nil {
			return answered
		}
		read, err := mirroredConfig(a, sent)
		if err != nil {
			s.instance.event(event.ConfigRejected, zap.String("peer", through.Name), zap.Error(err))
			return answered
		}
		answered = true
		s.setStandby(lo.Ternary(standIn, through.Name, ""))
		s.lastAnswer, s.directSince, s.unavailable = sent, time.Time{}, 0
		s.retry.Reset()
		s.directoryRetry.Reset()
		s.claimAt = time.Time{}
		s.applyAnswer(a, read, sent)
		s.assessFleet(ctx, int(a.Callers))
	}
	return answered
}

func (s *follower) ask(ctx context.Context, through topology.Member, standIn bool) (*peerpb.MirrorAnswer, error) {
	return s.instance.askMirror(ctx, through, &peerpb.Mirror{Config: int64(s.configRevision), Servers: int64(s.endpointsRevision), Nodes: int64(s.instancesRevision), Orders: int64(s.ordersRevision), StandIn: standIn, Unpacks: true})
}

// askMirror asks an instance that reads the store for changes since the revisions in q.
func (n *Instance) askMirror(ctx context.Context, m topology.Member, q *peerpb.Mirror) (*peerpb.MirrorAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	a, err := n.peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Mirror{Mirror: q}})
	if err != nil {
		return nil, fmt.Errorf("read through %s: %w", m.Name, err)
	}
	if mirror := a.GetMirror(); mirror != nil {
		if err := errors.Join(hub.UnpackPart(mirror.Servers), hub.UnpackPart(mirror.Nodes)); err != nil {
			return nil, fault.New(fault.StepPeer, m.Name, fault.KindBroken, fault.NotRun, "unpack mirrored entries: %w", err)
		}
		return mirror, nil
	}
	return nil, fault.New(fault.StepPeer, m.Name, fault.KindBroken, fault.NotRun, "unexpected answer type %T", a.Body)
}

// mirroredConfig decodes the configuration in the answer to a request sent at a given time. The
// proof's age is counted back from the sending of the request, so that the proof is never taken
// for newer than it is.
func mirroredConfig(a *peerpb.MirrorAnswer, sent time.Time) (configRead, error) {
	read := configRead{revision: store.Revision(a.ConfigRevision)}
	if len(a.PackedConfig) > 0 {
		value, err := mirror.Unpack(a.PackedConfig)
		if err != nil {
			return configRead{}, fmt.Errorf("unpack configuration %d: %w", a.ConfigRevision, err)
		}
		read.value = value
	}
	if a.ProofAge != hub.NoProof {
		read.provedAt = sent.Add(-time.Duration(a.ProofAge))
	}
	return read, nil
}

// applyAnswer sends the contents of an answer to the state and advances the known revisions.
func (s *follower) applyAnswer(a *peerpb.MirrorAnswer, read configRead, sent time.Time) {
	n := s.instance
	n.state.send(storeCalled{ok: true, sent: sent})
	s.applyOrders(a.Orders)
	if read.revision >= s.configRevision {
		s.configRevision = read.revision
		n.state.send(read)
	}
	if p := a.Servers; p != nil {
		s.endpointsRevision = store.Revision(p.At)
		if events := hub.DecodeEvents(p); p.Whole {
			n.state.send(listedEndpoints{hub.Items(events), s.endpointsRevision, sent})
		} else {
			s.sendChanges(events, sent)
		}
	}
	if p := a.Nodes; p != nil {
		s.instancesRevision = store.Revision(p.At)
		if events := hub.DecodeEvents(p); p.Whole {
			n.state.send(listedInstances{hub.Items(events), s.instancesRevision})
		} else {
			s.sendChanges(events, sent)
		}
	}
}

// applyOrders sends roll-out orders to the state. It is called before the proof of the
// configuration is sent, which covers the orders too.
func (s *follower) applyOrders(orders []*peerpb.MirrorItem) {
	for _, order := range orders {
		s.ordersRevision = max(s.ordersRevision, store.Revision(order.Revision))
	}
	s.instance.state.send(mirroredOrders(orders))
}

// mirroredOrders decodes the roll-out orders of an answer.
func mirroredOrders(orders []*peerpb.MirrorItem) operatorsRead {
	return operatorsRead{hub.Items(hub.DecodeEvents(&peerpb.MirrorPart{Items: orders}))}
}

// sendChanges sends changes to the state, if there are any.
func (s *follower) sendChanges(events []store.Event, sent time.Time) {
	if len(events) > 0 {
		s.instance.state.send(watched{events, sent})
	}
}

// readConfigDirectly reads the configuration from the store when no hub has current data, and
// reports whether the store answered. Failed reads back off exponentially.
func (s *follower) readConfigDirectly(ctx context.Context) bool {
	n := s.instance
	sent := s.instance.Clock.Now()
	call, cancel := context.WithTimeout(ctx, configReadTimeout)
	items, _, err := n.Store.Range(call, n.Decoder.OperatorPrefix())
	cancel()
	if n.recordStoreCall(sent, err) == nil {
		n.applyOperatorItems(items, sent)
		if s.directSince.IsZero() {
			s.directSince = sent
		}
		s.instance.Clock.Sleep(ctx, 2*hubRetryInterval)
		return true
	}
	s.directSince = time.Time{}
	s.instance.Clock.Sleep(ctx, s.retry.NextBackOff())
	return false
}
