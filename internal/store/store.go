// Package store defines the interface to the platform's metadata store, a
// key-value store with revisions, watches, transactions and leases.
// Implementations are safe for concurrent use.
package store

import (
	"context"
	"errors"
	"time"
)

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // of its last change
	Lease    int64    // 0 for none
}

// Event is a change of a key.
type Event struct {
	Item
	Deleted bool // the key was deleted; Value is empty
}

// Expect is a condition of a transaction: the key must have the given revision, or be absent
// if the revision is 0.
type Expect struct {
	Key      string
	Revision Revision
}

// Put is a write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease int64 // lease that the key is bound to; 0 for none
}

// Txn is a transaction. It is applied atomically if all its conditions hold, and otherwise not
// at all.
type Txn struct {
	Expect []Expect
	Put    []Put
	Delete []string // keys to delete
}

// ExpectsEarlierEra reports whether a condition has a revision of an earlier era. The store
// compares the numbers alone, and may have reused this one since it was restored.
func (t Txn) ExpectsEarlierEra(era int64) bool {
	for _, e := range t.Expect {
		if e.Revision != 0 && e.Revision.Era() < era {
			return true
		}
	}
	return false
}

// Errors of calls. After any other error, a write may have been applied, or may
// still be applied later.
var (
	ErrNotFound  = errors.New("no such key or lease")
	ErrConflict  = errors.New("a condition of the transaction does not hold")
	ErrCompacted = errors.New("the requested revision has been compacted")
	ErrRefused   = errors.New("the store refused the call; nothing was done")
)

// Conflict is the error of a transaction with a condition that does not hold. It matches
// ErrConflict.
type Conflict struct {
	Items []Item // current items of the keys of the conditions, in their order; may be empty
}

// Error implements error.
func (*Conflict) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict, for errors.Is.
func (*Conflict) Is(target error) bool { return target == ErrConflict }

// Reader reads the store.
type Reader interface {
	// Era returns the latest era seen in an answer to a read or a write.
	Era() int64
	// Get returns the current item of a key, and the store's revision.
	Get(ctx context.Context, key string) (Item, Revision, error)
	// Range returns all items with a key prefix, and the revision to watch from.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Peek returns the items with a key prefix from a stale read, which may be
	// some seconds old. It costs a tenth of Range.
	Peek(ctx context.Context, prefix string) ([]Item, error)
	// Watch is a long poll for changes of keys with a prefix after a revision.
	// It returns the changes as soon as there are any, or none after the store's
	// time limit, and the revision to continue from. It returns ErrCompacted if
	// the history since that revision is no longer available or the store was
	// restored since then.
	Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
}

// Writer writes the store.
type Writer interface {
	// Do applies a transaction and returns its revision. A condition with a revision of an
	// era before the latest known one does not hold.
	Do(ctx context.Context, t Txn) (Revision, error)
	// Grant creates a lease. Keys bound to it are deleted when it expires or ends. The time to live that was
	// granted may be another one than was asked for; it counts from the call's arrival.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	// Keep renews a lease for its full time to live.
	Keep(ctx context.Context, lease int64) error
	// End revokes a lease.
	End(ctx context.Context, lease int64) error
}
