package store

import (
	"errors"
	"fmt"

	"go.uber.org/zap/zapcore"
)

// Revision is a place in the history of the store: an era, which rises by one each time the
// store is restored from an older copy, and a number, which rises with each change and goes
// back with a restore. Revisions are ordered by era, then by number, so that whatever was read
// in a later era is newer. The zero value comes before all others.
//
// As an integer it is exact in JSON numbers and grows from one holder of a key to the next,
// across eras as well, so that it serves as a fencing token.
type Revision int64

const (
	numberBits = 40 // a century at hundreds of writes a second
	eraBits    = 53 - numberBits
	numberMask = 1<<numberBits - 1
)

// ErrRevision says that an era or a number is out of range.
var ErrRevision = errors.New("no revision of the store")

// NewRevision returns the revision of a number in an era.
func NewRevision(era, number int64) (Revision, error) {
	if era < 0 || era >= 1<<eraBits || number < 0 || number > numberMask {
		return 0, fmt.Errorf("%w: era %d, number %d", ErrRevision, era, number)
	}
	return Revision(era<<numberBits | number), nil
}

// Era returns how often the store had been restored.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the store's own number of the revision.
func (r Revision) Number() int64 { return int64(r) & numberMask }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r Revision) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt64("era", r.Era())
	e.AddInt64("revision", r.Number())
	return nil
}
