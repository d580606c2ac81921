// Package duty elects a leader: at most one instance at a time acts on behalf of all instances. A
// duty is work that only the leader does, such as reporting usage and ordering endpoints.
//
// The leader has a key in the store that is bound to a lease. It acts only until a deadline of its
// own, which lies well before the earliest time at which the lease can expire and is counted from
// when the last renewal was sent. So it has stopped acting before another instance can get the
// key. Its fence, a fencing token, is the revision at which the key was written; it rises with each
// leader and whenever the store is restored. A leader's lease is never revoked but left to expire,
// so that a lease's time passes between two leaders. After a restore of the store no instance
// takes the key for that time.
package duty

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Token identifies the leader to the receiver of an order, which rejects orders with a lower fence
// than it has seen.
type Token struct {
	Leader string
	Fence  store.Revision
}

// Errors of orders. After any other error it is unknown whether the order was carried out.
var (
	ErrRefused    = errors.New("order refused; nothing was done")
	ErrNoCapacity = errors.New("no capacity for such endpoints in this hall now")
)

// Timing of the election.
const (
	guardFraction    = 0.25                  // of the lease's TTL; a leader stops acting this long before the lease can expire
	renewFraction    = 0.3                   // of the lease's TTL, after which the lease is renewed
	campaignDelayMin = 20 * time.Millisecond // random delays keep instances from campaigning at once
	campaignDelayMax = 250 * time.Millisecond
	retryDelayMin    = 1500 * time.Millisecond // after a failed campaign; the delay is random, up to twice this
	recheckInterval  = 1500 * time.Millisecond // between two checks whether the key is still taken
)

// Options configure an elector.
type Options struct {
	Instance string        // name of this instance
	Value    []byte        // written to the key; must differ between instances and between their incarnations
	Key      string        // in the store
	TTL      time.Duration // of the lease
	Store    interface {
		store.Reader
		store.Writer
	}
	Clock *clock.Clock // may be nil; deadlines are counted by it, so that suspensions of the instance count
	Log   *zap.Logger
	Rand  *rand.Rand // used by Run only
	// Eligible reports whether this instance may campaign now; nil means always. In a large fleet
	// only a few instances campaign, because each campaign costs calls to the store.
	Eligible func() bool
}

// Elector campaigns for the leader lease and renews it. Token and ObserveKey are safe for concurrent use.
type Elector struct {
	Options
	keyFreed chan struct{} // signals that the key was deleted; buffered, with room for one

	// The store's latest era, and when the last leader of an earlier era has stopped acting. Used by
	// Run only.
	era                 int64
	earlierErasExpireAt time.Time
	granted             time.Duration // time to live of the last lease, at most TTL; used by Run only

	mu       sync.Mutex
	token    Token
	actUntil time.Time // when this instance must stop acting; guarded by mu
	keyTaken bool      // the key existed when last observed; guarded by mu
}

// New returns an elector, which campaigns once Run is called.
func New(o Options) *Elector {
	return &Elector{Options: o, keyFreed: make(chan struct{}, 1)}
}

// Token returns this instance's token and when it must stop acting. The last result reports whether
// it is the leader at the time now.
func (e *Elector) Token(now time.Time) (Token, time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.actUntil, now.Before(e.actUntil)
}

// ObserveKey records whether the key exists, as a watch or a read of the store reported it.
func (e *Elector) ObserveKey(taken bool) {
	e.mu.Lock()
	e.keyTaken = taken
	e.mu.Unlock()
	if taken {
		return
	}
	select {
	case e.keyFreed <- struct{}{}:
	default:
	}
}

// acquired records that this instance is the leader until a time.
func (e *Elector) acquired(fence store.Revision, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token.Fence != fence {
		event.Log(e.Log, event.LeaseAcquired, zap.Int64("fence", int64(fence)), zap.Time("until", until))
	}
	e.token, e.actUntil = Token{e.Instance, fence}, until
}

// lost records that this instance is no longer the leader.
func (e *Elector) lost(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.actUntil = time.Time{}
	event.Log(e.Log, event.LeaseLost, zap.Int64("fence", int64(e.token.Fence)), zap.String("why", why))
}

// deadline returns when a leader must stop acting whose lease was granted or renewed by a call sent
// at a time.
func (e *Elector) deadline(sent time.Time) time.Time {
	return sent.Add(e.granted - time.Duration(guardFraction*float64(e.granted)))
}

// Run campaigns for the leader lease, and renews it while this instance is the leader, until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.awaitKeyFree(ctx) {
			continue
		}
		lease, fence, sent, ok := e.campaign(ctx)
		if !ok {
			e.backOff(ctx)
			continue
		}
		e.acquired(fence, e.deadline(sent))
		e.renew(ctx, lease, fence)
	}
	return ctx.Err()
}

// backOff waits after a failed campaign: the store may be down, and every call to it, a failed one
// as well, is charged for.
func (e *Elector) backOff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Clock.After(retryDelayMin + time.Duration(e.Rand.Int64N(int64(retryDelayMin)))):
	}
}

// earlierErasExpired reports whether every leader of an earlier era has stopped acting. A restored
// store may lack the key of a leader, which acts until shortly before its lease would have expired.
func (e *Elector) earlierErasExpired() bool {
	now := e.Clock.Now()
	if era := e.Store.Era(); era != e.era {
		e.era, e.earlierErasExpireAt = era, now.Add(e.TTL)
	}
	return !now.Before(e.earlierErasExpireAt)
}

// awaitKeyFree waits for a random delay if the key was free when last observed, else for
// recheckInterval. It reports whether this instance should campaign then. It returns false early
// when the key is freed, so that the next call starts with the random delay.
func (e *Elector) awaitKeyFree(ctx context.Context) bool {
	wait := recheckInterval
	e.mu.Lock()
	taken := e.keyTaken
	e.mu.Unlock()
	if !taken {
		wait = campaignDelayMin + time.Duration(e.Rand.Int64N(int64(campaignDelayMax-campaignDelayMin)))
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.keyFreed:
		return false // the next call waits for a random delay first
	case <-e.Clock.After(wait):
	}
	if !e.earlierErasExpired() || e.Eligible != nil && !e.Eligible() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.keyTaken
}

// campaign tries to create the key with a new lease, and returns the lease, the fence and when the
// lease was requested. ok reports whether it succeeded.
func (e *Elector) campaign(ctx context.Context) (lease int64, fence store.Revision, sent time.Time, ok bool) {
	call, cancel := context.WithTimeout(ctx, e.TTL/3)
	defer cancel()
	sent = e.Clock.Now()
	lease, granted, err := e.Store.Grant(call, e.TTL)
	if err != nil || !e.earlierErasExpired() {
		return 0, 0, sent, false // a lease without a key is left to expire
	}
	e.granted = min(e.TTL, granted)
	fence, err = e.Store.Do(call, store.Txn{
		Expect: []store.Expect{{Key: e.Key}}, Put: []store.Put{{Key: e.Key, Value: e.Value, Lease: lease}},
	})
	switch {
	case err == nil:
		return lease, fence, sent, fence.Era() == e.era
	case errors.Is(err, store.ErrConflict):
		e.ObserveKey(true)
		_ = e.Store.End(call, lease) // if this fails the lease expires
		return 0, 0, sent, false
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrNotFound):
		return 0, 0, sent, false
	}
	return e.resolveWrite(ctx, lease, sent)
}

// resolveWrite finds out whether the write of the key succeeded after its answer was lost. It
// returns the same results as campaign. While the key does not exist it goes on reading until the
// lease has expired, because the write may still be applied.
func (e *Elector) resolveWrite(ctx context.Context, lease int64, sent time.Time) (int64, store.Revision, time.Time, bool) {
	for e.Clock.Since(sent) < e.TTL && ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, e.TTL/6)
		item, _, err := e.Store.Get(call, e.Key)
		cancel()
		if err == nil && e.ownsKey(item, lease) {
			return lease, item.Revision, sent, item.Revision.Era() == e.era
		}
		if err == nil {
			e.ObserveKey(true)
			return 0, 0, sent, false
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(e.TTL / 10):
		}
	}
	return 0, 0, sent, false
}

// ownsKey reports whether item was written by this elector with the given lease.
func (e *Elector) ownsKey(item store.Item, lease int64) bool {
	return item.Lease == lease && string(item.Value) == string(e.Value)
}

// confirmOwnership returns the fence after a renewal of the lease sent at a time: a new one if the
// store was restored since the key was written. It reports false if another instance owns the key,
// or may have owned it in between.
func (e *Elector) confirmOwnership(ctx context.Context, lease int64, fence store.Revision, sent time.Time) (store.Revision, bool, error) {
	if e.Store.Era() == fence.Era() {
		return fence, true, nil
	}
	if _, until, _ := e.Token(sent); !sent.Before(until) {
		return 0, false, nil
	}
	call, cancel := context.WithTimeout(ctx, e.granted/4)
	defer cancel()
	item, _, err := e.Store.Get(call, e.Key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	return item.Revision, e.ownsKey(item, lease), err
}

// renew renews the lease until it is lost or ctx ends.
func (e *Elector) renew(ctx context.Context, lease int64, fence store.Revision) {
	pause := time.Duration(renewFraction * float64(e.granted))
	for {
		select {
		case <-ctx.Done():
			e.lost("this instance is stopping")
			return
		case <-e.Clock.After(pause):
		}
		pause = e.granted / 6
		sent := e.Clock.Now()
		call, cancel := context.WithTimeout(ctx, e.granted/4)
		err := e.Store.Keep(call, lease)
		cancel()
		switch {
		case err == nil:
			next, owned, err := e.confirmOwnership(ctx, lease, fence, sent)
			if err != nil {
				continue
			}
			if !owned {
				e.lost("the store was restored")
				return
			}
			fence = next
			e.acquired(fence, e.deadline(sent))
			pause = time.Duration(renewFraction * float64(e.granted))
		case errors.Is(err, store.ErrNotFound):
			e.lost("the lease has expired")
			e.ObserveKey(false)
			return
		}
	}
}
