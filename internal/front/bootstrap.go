package front

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/directory"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// An instance that starts knows no other. It reads the directory, a short list of instances that
// read the store for others, and follows the store through one of them. It reads the store itself
// only if the fleet is small, if it claims a slot of the directory because nobody on the list
// answers, or later if it is chosen as a reader. What all instances together read from the store
// therefore does not grow with the product of instances and entries.

// Times of calls that read or write the directory, and of the registration.
const (
	directoryTimeout       = 600 * time.Millisecond
	releaseTimeout         = 300 * time.Millisecond
	registerBy             = 3 * time.Second // age at which an instance registers although it could not estimate the size of the fleet
	defaultWritesPerSecond = 1000            // that the store accepts, if the settings do not tell
)

// bootstrap is this instance's view of the directory, and the slot that it holds. It is safe for
// concurrent use.
type bootstrap struct {
	instance *Instance
	claiming sync.Mutex // held while a slot is claimed or released

	mu    sync.Mutex
	known directory.Directory // guarded by mu
	held  *heldSlot           // guarded by mu; nil if this instance holds no slot
	small bool                // the fleet was found to be small; guarded by mu
	size  int                 // estimated number of instances; guarded by mu
	sized chan struct{}       // closed when size is known
}

// heldSlot is a slot of the directory that this instance holds.
type heldSlot struct {
	directory.Entry
	lease int64
}

func newBootstrap(n *Instance) *bootstrap { return &bootstrap{instance: n, sized: make(chan struct{})} }

func (b *bootstrap) prefix() string { return b.instance.Decoder.OwnPrefix() + keyDirectory }

// directory returns the latest known directory.
func (b *bootstrap) directory() directory.Directory {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// holds reports whether this instance holds a slot.
func (b *bootstrap) holds() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held != nil
}

// readsAlone reports whether this instance has to read the store while it knows no large fleet.
func (b *bootstrap) readsAlone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held != nil || b.small
}

// observeSize records the estimated number of instances.
func (b *bootstrap) observeSize(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size == 0 {
		close(b.sized)
	}
	b.size, b.small = max(b.size, size), size <= topology.SmallFleet
}

// apply applies a change of a key, and reports whether the key is one of the directory.
func (b *bootstrap) apply(e store.Event) bool {
	key, ok := strings.CutPrefix(e.Key, b.prefix())
	if !ok {
		return false
	}
	if entry, ok := b.decode(key, e); ok {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.known = b.known.Apply(entry)
	}
	return true
}

// decode decodes a change of a slot. The entry of a deleted slot has no holder.
func (b *bootstrap) decode(key string, e store.Event) (directory.Entry, bool) {
	entry, err := directory.Decode(key, e.Value, e.Revision)
	if e.Deleted {
		return directory.Entry{Slot: entry.Slot, Revision: e.Revision}, true
	}
	if err != nil {
		b.instance.event(event.InstanceInvalid, zap.String("told", truncate(key)), zap.Inline(e.Revision), zap.Error(err))
		return directory.Entry{}, false
	}
	return entry, true
}

// replace replaces the directory by the slots among listed items.
func (b *bootstrap) replace(items []store.Item) {
	var next directory.Directory
	for _, item := range items {
		if key, ok := strings.CutPrefix(item.Key, b.prefix()); ok {
			if entry, ok := b.decode(key, store.Event{Item: item}); ok {
				next = next.Apply(entry)
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = next
}

// peek reads the directory as it was some seconds ago at most, which is cheaper than read.
func (b *bootstrap) peek(ctx context.Context) error {
	return b.readWith(ctx, b.instance.Store.Peek)
}

// read reads the directory from the store.
func (b *bootstrap) read(ctx context.Context) error {
	return b.readWith(ctx, func(ctx context.Context, prefix string) ([]store.Item, error) {
		items, _, err := b.instance.Store.Range(ctx, prefix)
		return items, err
	})
}

func (b *bootstrap) readWith(ctx context.Context, list func(context.Context, string) ([]store.Item, error)) error {
	n := b.instance
	sent := n.Clock.Now()
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	items, err := list(call, b.prefix())
	if n.recordStoreCall(sent, err) != nil {
		return err
	}
	b.replace(items)
	return nil
}

// claim claims a slot, and reports whether this instance holds one then. If no slot is free it takes
// over one of another instance, provided that replace is true.
func (b *bootstrap) claim(ctx context.Context, replace bool) bool {
	b.claiming.Lock()
	defer b.claiming.Unlock()
	if b.holds() {
		return true
	}
	n := b.instance
	slot, ok := b.directory().Claim(n.self())
	if !ok && replace {
		slot, ok = b.directory().Replace(n.self())
	}
	if !ok {
		return false
	}
	held, err := b.write(ctx, slot)
	n.event(event.DirectorySlotClaimed, zap.Int("slot", slot.Slot), zap.Bool("replaces", slot.Revision != 0), zap.Bool("held", err == nil), zap.Error(err))
	if err != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held, b.known = held, b.known.Apply(held.Entry)
	return true
}

// write writes a slot under a new lease, on condition that it still has the revision of the entry.
func (b *bootstrap) write(ctx context.Context, slot directory.Entry) (*heldSlot, error) {
	n := b.instance
	value, err := directory.Encode(slot.Holder)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	sent := n.Clock.Now()
	lease, _, err := n.Store.Grant(call, registerTTL)
	if n.recordStoreCall(sent, err) != nil {
		return nil, err
	}
	key := b.prefix() + directory.Key(slot.Slot)
	at, err := n.Store.Do(call, store.Txn{
		Expect: []store.Expect{{Key: key, Revision: slot.Revision}}, Put: []store.Put{{Key: key, Value: value, Lease: lease}},
	})
	if n.recordStoreCall(sent, err) != nil {
		return nil, err
	}
	slot.Revision = at
	return &heldSlot{slot, lease}, nil
}

// holdSlot keeps this instance on the directory while it reads the store for others, and releases
// its slot when ctx ends.
func (b *bootstrap) holdSlot(ctx context.Context) error {
	n := b.instance
	defer b.release()
	for n.sleepOrResume(ctx, registerRenewInterval) {
		b.mu.Lock()
		held := b.held
		b.mu.Unlock()
		if held == nil {
			if n.state.members.topology().IsReader {
				b.claim(ctx, false)
			}
			continue
		}
		call, cancel := context.WithTimeout(ctx, registerRenewInterval/2)
		err := n.Store.Keep(call, held.lease)
		cancel()
		if errors.Is(err, store.ErrNotFound) || n.Store.Era() != held.Revision.Era() {
			b.drop()
		}
	}
	return ctx.Err()
}

// drop forgets the slot that this instance held.
func (b *bootstrap) drop() *heldSlot {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.held
	b.held = nil
	return held
}

// release gives the slot back, so that instances that start do not ask this one.
func (b *bootstrap) release() {
	b.claiming.Lock()
	defer b.claiming.Unlock()
	held := b.drop()
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	key := b.prefix() + directory.Key(held.Slot)
	_, _ = b.instance.Store.Do(ctx, store.Txn{Expect: []store.Expect{{Key: key, Revision: held.Revision}}, Delete: []string{key}}) // else the lease ends
}

// awaitRegistration waits until this instance should register: at once in a small fleet, and at a
// time of its own in a large one, whose instances may all start at the same moment. It reports false
// if ctx ended first.
func (b *bootstrap) awaitRegistration(ctx context.Context) bool {
	n := b.instance
	select {
	case <-ctx.Done():
		return false
	case <-b.sized:
	case <-n.Clock.After(n.Clock.Until(n.start.Add(registerBy))):
	}
	b.mu.Lock()
	size := b.size
	b.mu.Unlock()
	return n.awaitRegistrationSlot(ctx, max(size, n.state.members.count()))
}
