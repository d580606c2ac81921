package front

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/directory"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Intervals and time-outs for following the store. The platform charges for each call of the
// store.
const (
	configReadInterval    = 1700 * time.Millisecond
	hubConfigReadInterval = time.Second // other instances rely on the hub's reads
	configReadTimeout     = 900 * time.Millisecond
	listTimeout           = 1500 * time.Millisecond
	minRetryDelay         = 150 * time.Millisecond
	retryMultiplier       = 2.5
	maxConfigReadRetry    = 400 * time.Millisecond  // upper bound between reads of the configuration while the store is down
	maxDirectReadRetry    = 1200 * time.Millisecond // upper bound between reads by an instance that gets no answer from any hub
	maxWatchRetry         = 700 * time.Millisecond  // upper bound between watches: missed changes must be applied within the bounds
	minOutageRetry        = 600 * time.Millisecond  // initial delay for listings and registration; the configuration read detects the store's return
	maxOutageRetry        = 6 * time.Second         // upper bound for the same
	stableWatchTime       = time.Second             // a watch that lasted longer resets the retry delay
	registerTTL           = 9 * time.Second         // long, since each renewal is a charged call
	registerRenewInterval = 3 * time.Second
	// WatchWait is how long the store may hold a watch call that has no changes to return.
	WatchWait          = 20 * time.Second
	watchSlack         = 1500 * time.Millisecond
	watchBatchDelay    = 300 * time.Millisecond // delay that batches changes, which come in bursts, into one call
	hubWatchBatchDelay = 500 * time.Millisecond // the same where other instances rely on this one: a large fleet has more changes
)

// recordStoreCall reports the outcome of a store call to the state and returns its error.
// ErrNotFound, ErrConflict and ErrCompacted count as answers of a reachable store.
func (n *Instance) recordStoreCall(sent time.Time, err error) error {
	answered := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrCompacted)
	n.state.send(storeCalled{ok: answered, sent: sent})
	return err
}

// pollConfig reads the configuration at regular intervals until ctx ends, because a watch may
// stop delivering changes without an error.
func (n *Instance) pollConfig(ctx context.Context) error {
	retry := newBackoff(minRetryDelay, maxConfigReadRetry)
	for {
		sent := n.Clock.Now()
		call, cancel := context.WithTimeout(ctx, configReadTimeout)
		items, _, err := n.Store.Range(call, n.Decoder.OperatorPrefix())
		cancel()
		pause := n.configReadPause() - n.Clock.Since(sent)
		if n.recordStoreCall(sent, err) != nil {
			pause = retry.NextBackOff()
		} else {
			retry.Reset()
			n.hub.RecordProof(items, sent)
			n.applyOperatorItems(items, sent)
		}
		if !n.sleepOrResume(ctx, pause) {
			return ctx.Err()
		}
	}
}

// sleepOrResume sleeps for d or until the next refresh. It reports false if ctx ended first.
func (n *Instance) sleepOrResume(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-n.refreshed.Load().ctx.Done():
	case <-n.Clock.After(d):
	}
	return true
}

// applyOperatorItems sends the operators' entries to the state; sent is when their read was sent.
// Roll-out orders go first, so that a proof of the configuration covers the orders as well.
func (n *Instance) applyOperatorItems(items []store.Item, sent time.Time) {
	n.state.send(operatorsRead{items})
	if config, ok := n.findConfig(items); ok {
		n.state.send(configRead{value: config.Value, revision: config.Revision, provedAt: sent})
	}
}

// findConfig returns the configuration among the operators' entries.
func (n *Instance) findConfig(items []store.Item) (store.Item, bool) {
	return lo.Find(items, func(i store.Item) bool { return i.Key == n.Decoder.ConfigKey() })
}

func (n *Instance) batchDelay() time.Duration {
	if n.readsForOthers() {
		return hubWatchBatchDelay
	}
	return watchBatchDelay
}

func (n *Instance) configReadPause() time.Duration {
	if n.readsForOthers() {
		return hubConfigReadInterval
	}
	return configReadInterval
}

// newBackoff returns an exponential backoff without jitter. The platform charges for refused
// calls of the store too.
func newBackoff(first, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, limit
	b.Multiplier, b.RandomizationFactor = retryMultiplier, 0
	b.Reset()
	return b
}

// sleepOrWatchReset sleeps for d or until the watches are restarted, as when the store is back
// after an outage.
func (n *Instance) sleepOrWatchReset(ctx context.Context, d time.Duration) {
	reset := n.watchReset.Load().ctx
	select {
	case <-ctx.Done():
	case <-reset.Done():
	case <-n.Clock.After(d):
	}
}

// awaitSignal waits for a value on the channel, and reports false if ctx ended first.
func awaitSignal(ctx context.Context, kick <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-kick:
		return true
	}
}

// signal is a broadcast to any number of waiting goroutines: its context ends when it is fired.
type signal struct {
	ctx  context.Context
	fire context.CancelFunc
}

func newSignal() *signal {
	ctx, fire := context.WithCancel(context.Background())
	return &signal{ctx, fire}
}

// restartWatches cancels all listings and watches of the store, which then start again. A call
// sent before an outage may never be answered.
func (n *Instance) restartWatches() { n.watchReset.Swap(newSignal()).fire() }

func (n *Instance) watchConfig(ctx context.Context) error {
	list := func([]store.Item, store.Revision, time.Time) {} // nothing to do: pollConfig applies the configuration
	return n.watch(ctx, watchTarget{n.Decoder.OperatorPrefix(), n.hub.OperatorKeys, list, alive})
}

func (n *Instance) watchEndpoints(ctx context.Context) error {
	list := func(items []store.Item, at store.Revision, sent time.Time) {
		n.state.send(listedEndpoints{items, at, sent})
	}
	return n.watch(ctx, watchTarget{n.Decoder.EndpointPrefix(), n.hub.Endpoints, list, alive})
}

func (n *Instance) watchInstances(ctx context.Context) error {
	list := func(items []store.Item, at store.Revision, _ time.Time) { n.state.send(listedInstances{items, at}) }
	return n.watch(ctx, watchTarget{n.Decoder.OwnPrefix() + keyLive, n.hub.Instances, list, n.awaitPeers})
}

// watchTarget is a key prefix of the store that an instance lists and watches.
type watchTarget struct {
	prefix string
	mirror *mirror.Replica                                             // served to instances that read the store through this one
	list   func(items []store.Item, at store.Revision, sent time.Time) // applies a complete listing
	await  func(context.Context) bool                                  // waits until changes have to be watched; false if ctx ended first
}

// alive reports whether ctx has not ended.
func alive(ctx context.Context) bool { return ctx.Err() == nil }

// watch lists a prefix of the store and watches its changes, and lists again whenever it may have
// missed one.
func (n *Instance) watch(ctx context.Context, p watchTarget) error {
	outageRetry, watchRetry := newBackoff(minOutageRetry, maxOutageRetry), newBackoff(minRetryDelay, maxWatchRetry)
	for ctx.Err() == nil {
		sent, reset := n.Clock.Now(), n.watchReset.Load().ctx
		items, at, err := n.list(ctx, p.prefix, reset)
		if err != nil && reset.Err() != nil {
			continue // cancelled by a restart of the watches, which says nothing about the store
		}
		if n.recordStoreCall(sent, err) != nil {
			n.sleepOrWatchReset(ctx, outageRetry.NextBackOff())
			continue
		}
		outageRetry.Reset()
		p.mirror.Replace(items, at)
		p.list(items, at, sent)
		begun := n.Clock.Now()
		n.followChanges(ctx, p, at)
		if n.Clock.Since(begun) > stableWatchTime {
			watchRetry.Reset()
		}
		n.sleepOrWatchReset(ctx, watchRetry.NextBackOff())
	}
	return ctx.Err()
}

// list lists a prefix of the store. The call is cancelled if reset ends, which it does when
// the store is back after an outage: a call sent before that may never be answered.
func (n *Instance) list(ctx context.Context, prefix string, reset context.Context) ([]store.Item, store.Revision, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	stop := context.AfterFunc(reset, cancel)
	defer stop()
	return n.Store.Range(call, prefix)
}

// followChanges watches a prefix from a revision on and applies its changes until a watch fails.
func (n *Instance) followChanges(ctx context.Context, p watchTarget, at store.Revision) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(n.watchReset.Load().ctx, cancel)
	defer stop()
	for p.await(ctx) {
		sent := n.Clock.Now()
		call, cancel := context.WithTimeout(ctx, WatchWait+watchSlack)
		events, next, err := n.Store.Watch(call, p.prefix, at)
		cancel()
		if err != nil {
			return
		}
		at = max(at, next)
		p.mirror.Apply(events, at)
		if len(events) > 0 {
			n.state.send(watched{events, sent})
			n.Clock.Sleep(ctx, n.batchDelay())
		}
	}
}

// register keeps this instance's registration in the store under a lease until ctx ends.
func (n *Instance) register(ctx context.Context) error {
	retry := newBackoff(minOutageRetry, maxOutageRetry)
	value, err := json.Marshal(n.registration())
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	if !n.bootstrap.awaitRegistration(ctx) {
		return ctx.Err()
	}
	n.registrationDue.Store(true)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		lease, _, err := n.Store.Grant(call, registerTTL)
		var at store.Revision
		if err == nil {
			at, err = n.Store.Do(call, store.Txn{Put: []store.Put{{
				Key: n.Decoder.OwnPrefix() + keyInstances + n.Settings.Name, Value: value, Lease: lease,
			}}})
		}
		cancel()
		if err != nil {
			n.sleepOrWatchReset(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		n.registered.Store(true)
		n.renewRegistration(ctx, lease, at.Era())
		n.registered.Store(false)
	}
	return ctx.Err()
}

// awaitRegistrationSlot delays this instance by a time derived from its name, given the number of
// instances. The instances of a large fleet may all start, or notice a restore of the store, at once,
// and would all register at the same moment. It reports false if ctx ended first.
func (n *Instance) awaitRegistrationSlot(ctx context.Context, instances int) bool {
	spread := directory.RegistrationSpread(instances, cmp.Or(n.Settings.StoreWritesPerSecond, defaultWritesPerSecond))
	if spread == 0 {
		return ctx.Err() == nil
	}
	return n.Clock.Sleep(ctx, time.Duration(topology.PairHash(n.Settings.Name, "register")%uint64(spread)))
}

// renewRegistration renews the lease of the registration until the lease has expired or the store
// was restored: the restored copy may lack the registration, and may have granted the lease's id
// to another instance. While the store does not answer, the registration is assumed to last until
// the end of the last renewal.
func (n *Instance) renewRegistration(ctx context.Context, lease, era int64) {
	until := n.Clock.Now().Add(registerTTL)
	for n.sleepOrResume(ctx, registerRenewInterval) {
		sent := n.Clock.Now()
		call, cancel := context.WithTimeout(ctx, registerRenewInterval/2)
		err := n.Store.Keep(call, lease)
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			return
		}
		if n.Store.Era() != era {
			n.awaitRegistrationSlot(ctx, n.state.members.count())
			return
		}
		if err == nil {
			until = sent.Add(registerTTL)
		}
		n.registered.Store(n.Clock.Now().Before(until))
	}
}
