// Package progress bounds what an endpoint may send without any progress of its answer.
//
// Silence is never held against an endpoint: it may be slow. Only bytes that are no answer prove that it is faulty, by
// their number, or because they keep coming after the answer was due. A few of them are allowed at any time: comments
// that keep a stream alive, or an answer in small packets.
package progress

import (
	"errors"
	"time"
)

const (
	// MaxBytes is the number of bytes without progress, twice the size of the largest event: one that comes in chunks of
	// a byte each is cut off before.
	MaxBytes = 2 << 20
	// maxPieces is the number of small pieces that may arrive without progress after the answer was due. A comment a
	// second stays below it within the longest deadlines.
	maxPieces = 32
	// smallPiece is the size in bytes below which a piece counts as small. A long event on a slow path comes in whole
	// packets, which are larger.
	smallPiece = 512
)

// Reasons for which an answer is given up.
var (
	ErrTooManyBytes = errors.New("2 MiB without progress of the answer")
	ErrOverdue      = errors.New("bytes go on without progress after the answer was due")
)

// Budget is what may still arrive without progress. It is not safe for concurrent use.
type Budget struct {
	bytes   int
	pieces  int
	due     time.Time
	overdue bool
}

// New returns the budget of an answer that is due at a time; zero for an answer that may come at any time.
func New(due time.Time) Budget { return Budget{bytes: MaxBytes, pieces: maxPieces, due: due} }

// Progress records that the answer went on. The next progress is due at a time.
func (b *Budget) Progress(due time.Time) { *b = New(due) }

// Continue records that the answer went on, which is still due at the same time.
func (b *Budget) Continue() { *b = New(b.due) }

// Receive records that a piece of n bytes arrived.
func (b *Budget) Receive(n int, now time.Time) {
	b.bytes -= n
	if n < smallPiece {
		b.pieces--
	}
	b.overdue = b.pieces < 0 && !b.due.IsZero() && now.After(b.due)
}

// Err returns why the answer has to be given up, or nil.
func (b *Budget) Err() error {
	switch {
	case b.bytes < 0:
		return ErrTooManyBytes
	case b.overdue:
		return ErrOverdue
	}
	return nil
}
