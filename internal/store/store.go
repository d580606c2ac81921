// Package store is the platform's metadata store as the product sees it: items
// with revisions, watches, transactions and leases. Implementations are safe
// for concurrent use.
package store

import (
	"context"
	"errors"
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
	Gone bool
}

// Expect is a condition of a transaction: the revision of a key, 0 for absent.
type Expect struct {
	Key      string
	Revision Revision
}

// Put is a write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Txn is done whole or not at all.
type Txn struct {
	Expect []Expect
	Put    []Put
	Drop   []string
}

// ExpectsBefore reports whether a condition is of an earlier era. The store would compare its
// number alone, with one that it may have given out again.
func (t Txn) ExpectsBefore(era int64) bool {
	for _, e := range t.Expect {
		if e.Revision != 0 && e.Revision.Era() < era {
			return true
		}
	}
	return false
}

// Errors of calls. Any other error leaves open whether a write was or will be
// done.
var (
	ErrNotFound  = errors.New("no such key or lease")
	ErrConflict  = errors.New("a condition of the transaction does not hold")
	ErrCompacted = errors.New("the history asked for is gone")
	ErrRefused   = errors.New("the store refused the call; nothing was done")
)

// Conflict is the error of a transaction whose condition does not hold.
type Conflict struct{ Items []Item }

// Error implements error.
func (*Conflict) Error() string { return ErrConflict.Error() }

// Is implements the interface that errors.Is looks for.
func (*Conflict) Is(target error) bool { return target == ErrConflict }

// Reader reads the store.
type Reader interface {
	// Era returns the latest era that an answer named, of reads and writes alike.
	Era() int64
	// Get returns an item as it is now, and the store's revision.
	Get(ctx context.Context, key string) (Item, Revision, error)
	// Range returns all items under a prefix and the revision to watch from.
	Range(ctx context.Context, prefix string) ([]Item, Revision, error)
	// Peek returns the items under a prefix as they were some seconds ago at the
	// worst. It costs a tenth of Range.
	Peek(ctx context.Context, prefix string) ([]Item, error)
	// Watch returns the changes under a prefix after a revision, as soon as
	// there are any or when it has waited long enough, and where to go on. It returns
	// ErrCompacted if the store was restored since that revision.
	Watch(ctx context.Context, prefix string, after Revision) ([]Event, Revision, error)
}

// Writer writes the store.
type Writer interface {
	// Do returns the revision of the transaction. Conditions with revisions of an earlier
	// era than the latest that is known do not hold.
	Do(ctx context.Context, t Txn) (Revision, error)
	Grant(ctx context.Context, ttlMs int64) (lease int64, err error)
	Keep(ctx context.Context, lease int64) error
	End(ctx context.Context, lease int64) error
}
