package store

import (
	"errors"
	"fmt"

	"go.uber.org/zap/zapcore"
)

// Revision is a position in the history of the store. It consists of an era, which increases
// by one each time the store is restored from a backup, and a number, which increases with each
// change and falls back with a restore. Revisions are ordered by era, then by number, so that
// anything read in a later era is newer. The zero value precedes all others.
//
// As an integer a revision fits a JSON number without loss of precision. It increases from one
// holder of a key to the next, across eras as well, and can serve as a fencing token.
type Revision int64

const (
	numberBits = 40 // enough for a century at hundreds of writes per second
	eraBits    = 53 - numberBits
	numberMask = 1<<numberBits - 1
)

// ErrRevisionRange reports that the era or the number of a revision is out of range.
var ErrRevisionRange = errors.New("store revision out of range")

// NewRevision returns the revision with the given era and number. It returns ErrRevisionRange
// if one of them is out of range.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era >= 1<<eraBits || number < 0 || number > numberMask {
		return 0, fmt.Errorf("%w: era %d, number %d", ErrRevisionRange, era, number)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns the number of times that the store had been restored.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the revision number within the era, as the store itself reports it.
func (r Revision) Number() int64 { return int64(r) & numberMask }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r Revision) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt64("era", r.Era())
	e.AddInt64("revision", r.Number())
	return nil
}
