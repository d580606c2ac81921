// Package duty makes sure that at most one node at a time acts for all.
//
// The holder has a key in the store that goes with a lease. It acts only until
// a deadline of its own that lies well before the lease can end, counted by the
// steady clock from the sending of the last renewal, so that it is silent
// before another node can get the key. Its fence is the revision at which the
// key was written, which goes up with each holder, and when the store is restored.
// The lease is never ended early: between two holders there is always the length
// of a lease. After a restore nobody takes the key for that long.
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

// Token identifies who acts to the receiver of an order.
type Token struct {
	Holder string
	Fence  store.Revision
}

// Errors of orders. Any other error leaves open whether the order was taken.
var (
	ErrRefused = errors.New("the order was refused; nothing was done")
	ErrSoldOut = errors.New("no such servers are to be had there now")
)

// Parts of the lease.
const (
	marginShare = 0.25 // of the lease that a holder stays silent before its end
	renewShare  = 0.3  // of the lease after which it is renewed
	campaignMin = 20 * time.Millisecond
	campaignMax = 250 * time.Millisecond
	restMin     = 1500 * time.Millisecond
	lookEvery   = 1500 * time.Millisecond // a node that is no holder looks at the key
)

// Options are what an elector is made of.
type Options struct {
	Instance string // name of this machine
	Value    []byte // of the key; differs between incarnations
	Key      string
	TTL      time.Duration // of the lease
	Store    interface {
		store.Reader
		store.Writer
	}
	Clock *clock.Clock // may be nil
	Log   *zap.Logger
	Rand  *rand.Rand // used by Run only
	// Eligible says whether this node may compete now; nil if it always may. In
	// a large fleet few compete: each campaign costs calls of the store.
	Eligible func() bool
}

// Elector competes for a duty. Token and Saw are safe for concurrent use.
type Elector struct {
	Options
	kick chan struct{} // the key went; has room for one

	// Of Run: the store's era, and from when on no holder of an earlier one acts any more.
	era       int64
	settledAt time.Time

	mu    sync.Mutex
	token Token
	until time.Time // when this node stops acting; guarded by mu
	taken bool      // the key is assumed to be there; guarded by mu
}

// New returns an elector; Run runs it.
func New(o Options) *Elector {
	return &Elector{Options: o, kick: make(chan struct{}, 1)}
}

// Token returns the right to act and until when it holds, if this node has it.
func (e *Elector) Token(now time.Time) (Token, time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.token, e.until, now.Before(e.until)
}

// Saw takes note of the key as the store has it.
func (e *Elector) Saw(taken bool) {
	e.mu.Lock()
	e.taken = taken
	e.mu.Unlock()
	if taken {
		return
	}
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

func (e *Elector) hold(fence store.Revision, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.token.Fence != fence {
		event.Log(e.Log, event.DutyTaken, zap.Int64("fence", int64(fence)), zap.Time("until", until))
	}
	e.token, e.until = Token{e.Instance, fence}, until
}

func (e *Elector) drop(why string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until = time.Time{}
	event.Log(e.Log, event.DutyLost, zap.Int64("fence", int64(e.token.Fence)), zap.String("why", why))
}

func (e *Elector) deadline(sent time.Time) time.Time {
	return sent.Add(e.TTL - time.Duration(marginShare*float64(e.TTL)))
}

// Run competes until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.awaitFree(ctx) {
			continue
		}
		lease, fence, sent, ok := e.campaign(ctx)
		if !ok {
			e.rest(ctx)
			continue
		}
		e.hold(fence, e.deadline(sent))
		e.renew(ctx, lease, fence)
	}
	return ctx.Err()
}

// rest waits after a campaign that came to nothing: the store may be down, and
// each call is paid for.
func (e *Elector) rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.Clock.After(restMin + time.Duration(e.Rand.Int64N(int64(restMin)))):
	}
}

// settled reports whether every holder of an earlier era has stopped acting. A restored store
// may lack the key of one that acts on until shortly before its lease would have ended.
func (e *Elector) settled() bool {
	now := e.Clock.Now()
	if era := e.Store.Era(); era != e.era {
		e.era, e.settledAt = era, now.Add(e.TTL)
	}
	return !now.Before(e.settledAt)
}

// awaitFree waits until the key seems to be free, or looks when there is no
// news for long.
func (e *Elector) awaitFree(ctx context.Context) bool {
	wait := lookEvery
	e.mu.Lock()
	taken := e.taken
	e.mu.Unlock()
	if !taken {
		wait = campaignMin + time.Duration(e.Rand.Int64N(int64(campaignMax-campaignMin)))
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.kick:
		return false // wait a random moment first
	case <-e.Clock.After(wait):
	}
	if !e.settled() || e.Eligible != nil && !e.Eligible() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.taken
}

// campaign tries to get the key. sent is when the lease was asked for.
func (e *Elector) campaign(ctx context.Context) (lease int64, fence store.Revision, sent time.Time, ok bool) {
	call, cancel := context.WithTimeout(ctx, e.TTL/3)
	defer cancel()
	sent = e.Clock.Now()
	lease, err := e.Store.Grant(call, e.TTL.Milliseconds())
	if err != nil || !e.settled() {
		return 0, 0, sent, false // a lease without a key ends by itself
	}
	fence, err = e.Store.Do(call, store.Txn{
		Expect: []store.Expect{{Key: e.Key}}, Put: []store.Put{{Key: e.Key, Value: e.Value, Lease: lease}},
	})
	switch {
	case err == nil:
		return lease, fence, sent, fence.Era() == e.era
	case errors.Is(err, store.ErrConflict):
		e.Saw(true)
		_ = e.Store.End(call, lease) // else it ends by itself
		return 0, 0, sent, false
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrNotFound):
		return 0, 0, sent, false
	}
	return e.settle(ctx, lease, sent)
}

// settle finds out what became of a write whose answer was lost.
func (e *Elector) settle(ctx context.Context, lease int64, sent time.Time) (int64, store.Revision, time.Time, bool) {
	for e.Clock.Since(sent) < e.TTL && ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, e.TTL/6)
		item, _, err := e.Store.Get(call, e.Key)
		cancel()
		if err == nil && e.owns(item, lease) {
			return lease, item.Revision, sent, item.Revision.Era() == e.era
		}
		if err == nil {
			e.Saw(true)
			return 0, 0, sent, false
		}
		select {
		case <-ctx.Done():
		case <-e.Clock.After(e.TTL / 10):
		}
	}
	return 0, 0, sent, false
}

// owns reports whether the key was written with a lease by this elector.
func (e *Elector) owns(item store.Item, lease int64) bool {
	return item.Lease == lease && string(item.Value) == string(e.Value)
}

// confirm returns the fence after the lease was renewed at a time, which is a new one if the
// store was restored meanwhile. It reports false if the key is another's, or may have been
// another's in between.
func (e *Elector) confirm(ctx context.Context, lease int64, fence store.Revision, sent time.Time) (store.Revision, bool, error) {
	if e.Store.Era() == fence.Era() {
		return fence, true, nil
	}
	if _, until, _ := e.Token(sent); !sent.Before(until) {
		return 0, false, nil
	}
	call, cancel := context.WithTimeout(ctx, e.TTL/4)
	defer cancel()
	item, _, err := e.Store.Get(call, e.Key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	return item.Revision, e.owns(item, lease), err
}

// renew keeps the lease until it is lost.
func (e *Elector) renew(ctx context.Context, lease int64, fence store.Revision) {
	pause := time.Duration(renewShare * float64(e.TTL))
	for {
		select {
		case <-ctx.Done():
			e.drop("this node stops")
			return
		case <-e.Clock.After(pause):
		}
		pause = e.TTL / 6
		sent := e.Clock.Now()
		call, cancel := context.WithTimeout(ctx, e.TTL/4)
		err := e.Store.Keep(call, lease)
		cancel()
		switch {
		case err == nil:
			next, owned, err := e.confirm(ctx, lease, fence, sent)
			if err != nil {
				continue
			}
			if !owned {
				e.drop("the store was restored")
				return
			}
			fence = next
			e.hold(fence, e.deadline(sent))
			pause = time.Duration(renewShare * float64(e.TTL))
		case errors.Is(err, store.ErrNotFound):
			e.drop("the lease is over")
			e.Saw(false)
			return
		}
	}
}
