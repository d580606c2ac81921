// Package version tracks which version of the configuration this instance and the others have in
// force.
//
// The store may have lost a version that is in force, so that an instance which starts reads an
// older one there. Instances advertise their versions, and one that has been behind for long
// gets the configuration from the other.
package version

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tracker tracks versions. It is safe for concurrent use.
type Tracker struct {
	inForce atomic.Pointer[held]

	mu    sync.Mutex
	later later // guarded by mu
}

// held is the configuration in force, as the operators wrote it.
type held struct {
	version int64
	value   []byte
}

// later is the latest version that another instance advertised.
type later struct {
	version int64
	at      string    // instance
	since   time.Time // when a version after the one in force here was first advertised
}

// New returns a tracker without a version.
func New() *Tracker {
	t := &Tracker{}
	t.inForce.Store(&held{})
	return t
}

// Own returns the version in force here, 0 if there is none.
func (t *Tracker) Own() int64 { return t.inForce.Load().version }

// Value returns the configuration in force here, nil if there is none.
func (t *Tracker) Value() []byte { return t.inForce.Load().value }

// Hold notes the version in force here, with the configuration as the operators wrote it.
func (t *Tracker) Hold(version int64, value []byte) { t.inForce.Store(&held{version, value}) }

// Advertised takes the version that another instance has in force.
func (t *Tracker) Advertised(from string, version int64, now time.Time) {
	own := t.Own()
	if version <= own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.later.version <= own {
		t.later = later{since: now}
	}
	if version >= t.later.version {
		t.later.version, t.later.at = version, from
	}
}

// Missing returns an instance that has a later version which has been missing here for a time.
func (t *Tracker) Missing(now time.Time, after time.Duration) (instance string, missing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.later.version <= t.Own() || now.Sub(t.later.since) < after {
		return "", false
	}
	return t.later.at, true
}

// Forget drops what an instance advertised, which could not be got from it.
func (t *Tracker) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.later.at == instance {
		t.later = later{}
	}
}
