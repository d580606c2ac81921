package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of following the store.
const (
	proveEvery     = 1700 * time.Millisecond
	proveAsHub     = time.Second // other nodes count on it
	proveTimeout   = 900 * time.Millisecond
	listTimeout    = 1500 * time.Millisecond
	retryPause     = 150 * time.Millisecond
	retryGrowth    = 2.5
	retryProof     = 400 * time.Millisecond  // at the most, between reads while the store is down
	retryAlone     = 1200 * time.Millisecond // at the most, for a node that no hub helps
	retryWatch     = 700 * time.Millisecond  // at the most, for watches: what they miss has to be known in time
	retryFirst     = 600 * time.Millisecond  // at first, and
	retryMost      = 6 * time.Second         // at the most, for others: the read shows when it is back
	steadyWatch    = time.Second             // a watch that held for longer is begun anew at once
	registerTTL    = 9 * time.Second         // each renewal of each instance is a call that is paid for
	registerKeep   = 3 * time.Second
	registerSpread = 3 * time.Second // the store takes some hundred writes a second
	// WatchWait is how long the store may hold a watch that has nothing to report.
	WatchWait  = 20 * time.Second
	watchSlack = 1500 * time.Millisecond
	gather     = 300 * time.Millisecond // changes come in series; each call is paid for
	gatherHub  = 500 * time.Millisecond // in a large fleet there are more of them
)

// called reports to the state how a call of the store went, and returns its error.
// A refusal by the rules of the store is an answer.
func (n *Instance) called(sent time.Time, err error) error {
	answered := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrCompacted)
	n.state.send(storeCalled{ok: answered, sent: sent})
	return err
}

// proveConfig reads the configuration again and again: a watch may be silent.
func (n *Instance) proveConfig(ctx context.Context) error {
	retry := newBackoff(retryPause, retryProof)
	for {
		sent := n.Clock.Now()
		call, cancel := context.WithTimeout(ctx, proveTimeout)
		items, _, err := n.Store.Range(call, n.Decoder.OperatorPrefix())
		cancel()
		pause := n.provePause() - n.Clock.Since(sent)
		if n.called(sent, err) != nil {
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
			n.hub.Proved(items, sent)
			n.takeOperators(items, sent)
		}
		if !n.sleepOrResume(ctx, pause) {
			return ctx.Err()
		}
	}
}

// sleepOrResume waits for a pause, or until the next refresh. It reports false when ctx ended
// before.
func (n *Instance) sleepOrResume(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.resumed.Load().ctx.Done():
	case <-n.Clock.After(d):
	}
	return true
}

// takeOperators hands what the operators wrote, as read at a time, to the state: orders
// first, so that a proof of the configuration is one of the orders as well.
func (n *Instance) takeOperators(items []store.Item, sent time.Time) {
	n.state.send(operatorsRead{items})
	if config, ok := n.configOf(items); ok {
		n.state.send(configRead{value: config.Value, revision: config.Revision, provedAt: sent})
	}
}

// configOf returns the configuration among what the operators wrote.
func (n *Instance) configOf(items []store.Item) (store.Item, bool) {
	return lo.Find(items, func(i store.Item) bool { return i.Key == n.Decoder.ConfigKey() })
}

func (n *Instance) gather() time.Duration {
	if n.readsForOthers() {
		return gatherHub
	}
	return gather
}

func (n *Instance) provePause() time.Duration {
	if n.readsForOthers() {
		return proveAsHub
	}
	return proveEvery
}

// newBackoff returns pauses that grow: each call of the store is paid for,
// refused ones too.
func newBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	b.Multiplier, b.RandomizationFactor = retryGrowth, 0
	b.Reset()
	return b
}

// pauseForStore waits for a pause, or until the store is back.
func (n *Instance) pauseForStore(ctx context.Context, d time.Duration) {
	back := n.outage.Load().ctx
	select {
	case <-ctx.Done():
	case <-back.Done():
	case <-n.Clock.After(d):
	}
}

// kicked waits for a kick, and reports false when ctx ended before.
func kicked(ctx context.Context, kick <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-kick:
		return true
	}
}

// outage is a context that ends when the store is back after it could not be
// reached: a watch from before may never answer.
type outage struct {
	ctx context.Context
	end context.CancelFunc
}

func newOutage() *outage {
	ctx, end := context.WithCancel(context.Background())
	return &outage{ctx, end}
}

// rewatch ends all watches, so that they begin anew.
func (n *Instance) rewatch() { n.outage.Swap(newOutage()).end() }

func (n *Instance) watchConfig(ctx context.Context) error {
	if !n.awaitRole(ctx) {
		return ctx.Err()
	}
	list := func([]store.Item, store.Revision) {} // the read proves it
	return n.watch(ctx, followed{n.Decoder.OperatorPrefix(), n.hub.Operators, list, n.awaitRole})
}

func (n *Instance) watchEndpoints(ctx context.Context) error {
	list := func(items []store.Item, at store.Revision) { n.state.send(listedEndpoints{items, at}) }
	return n.watch(ctx, followed{n.Decoder.EndpointPrefix(), n.hub.Endpoints, list, n.awaitRole})
}

func (n *Instance) watchInstances(ctx context.Context) error {
	list := func(items []store.Item, at store.Revision) { n.state.send(listedInstances{items, at}) }
	return n.watch(ctx, followed{n.Decoder.OwnPrefix() + keyLive, n.hub.Instances, list, n.awaitOthers})
}

// followed is a part of the store that an instance follows.
type followed struct {
	prefix string
	kept   *mirror.Copy                                // for those that ask this instance
	list   func(items []store.Item, at store.Revision) // takes the whole of it
	await  func(context.Context) bool                  // waits until changes have to be followed; false when ctx ended
}

// watch lists a part of the store and follows its changes, and lists anew
// whenever it may have missed one.
func (n *Instance) watch(ctx context.Context, p followed) error {
	down, cut := newBackoff(retryFirst, retryMost), newBackoff(retryPause, retryWatch)
	for ctx.Err() == nil {
		sent, refreshed := n.Clock.Now(), n.outage.Load().ctx
		items, at, err := n.list(ctx, p.prefix, refreshed)
		if err != nil && refreshed.Err() != nil {
			continue // given up, which says nothing of the store
		}
		if n.called(sent, err) != nil {
			n.pauseForStore(ctx, down.NextBackOff())
			continue
		}
		down.Reset()
		p.kept.Replace(items, at)
		p.list(items, at)
		begun := n.Clock.Now()
		n.follow(ctx, p, at)
		if n.Clock.Since(begun) > steadyWatch {
			cut.Reset()
		}
		n.pauseForStore(ctx, cut.NextBackOff())
	}
	return ctx.Err()
}

// list lists a part of the store, unless the store turns out to be back meanwhile: a call from
// before may never be answered.
func (n *Instance) list(ctx context.Context, prefix string, refreshed context.Context) ([]store.Item, store.Revision, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stop := context.AfterFunc(refreshed, cancel)
	defer stop()
	return n.Store.Range(call, prefix)
}

// follow passes changes on until a watch fails.
func (n *Instance) follow(ctx context.Context, p followed, at store.Revision) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.outage.Load().ctx, cancel)
	defer stop()
	for p.await(ctx) {
		call, cancel := context.WithTimeout(ctx, WatchWait+watchSlack)
		events, next, err := n.Store.Watch(call, p.prefix, at)
		cancel()
		if err != nil {
			return
		}
		at = max(at, next)
		p.kept.Apply(events, at)
		if len(events) > 0 {
			n.state.send(watched{events})
			n.Clock.Sleep(ctx, n.gather())
		}
	}
}

// register keeps this node's address in the store for the others.
func (n *Instance) register(ctx context.Context) error {
	retry := newBackoff(retryFirst, retryMost)
	value, err := json.Marshal(n.registration())
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		lease, err := n.Store.Grant(call, registerTTL.Milliseconds())
		var at store.Revision
		if err == nil {
			at, err = n.Store.Do(call, store.Txn{Put: []store.Put{{
				Key: n.Decoder.OwnPrefix() + keyInstances + n.Settings.Name, Value: value, Lease: lease,
			}}})
		}
		cancel()
		if err != nil {
			n.pauseForStore(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		n.registered.Store(true)
		n.keepRegistered(ctx, lease, at.Era())
		n.registered.Store(false)
	}
	return ctx.Err()
}

// awaitTurn spreads the registrations of a large fleet, which all notice a restore at once.
func (n *Instance) awaitTurn(ctx context.Context) {
	if n.grouped() {
		n.Clock.Sleep(ctx, time.Duration(topology.Pair(n.Settings.Name, "register")%uint64(registerSpread)))
	}
}

// keepRegistered renews the lease of the registration until it is over, or the store was
// restored: what it has now may lack the registration, and the lease be another's. While the
// store does not answer, the registration stands for as long as the lease was last renewed for.
func (n *Instance) keepRegistered(ctx context.Context, lease, era int64) {
	until := n.Clock.Now().Add(registerTTL)
	for n.sleepOrResume(ctx, registerKeep) {
		sent := n.Clock.Now()
		call, cancel := context.WithTimeout(ctx, registerKeep/2)
		err := n.Store.Keep(call, lease)
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		if n.Store.Era() != era {
			n.awaitTurn(ctx)
			return
		}
		if err == nil {
			until = sent.Add(registerTTL)
		}
		n.registered.Store(n.Clock.Now().Before(until))
	}
}
