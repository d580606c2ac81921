// Package version tracks which versions of the configuration this instance and the other instances
// have in force.
//
// The store may lose a version that is in force, in a restore. An instance that starts then reads an
// older version from it. So instances advertise their versions to each other, and an instance that
// has lacked a later version for some time fetches it from an instance that has it.
package version

import (
	"sync"
	"sync/atomic"
	"time"
)

// Tracker holds the configuration in force here and the latest version advertised by others. It is
// safe for concurrent use.
type Tracker struct {
	inForce atomic.Pointer[config]

	mu     sync.Mutex
	newest peerVersion // guarded by mu
}

// config is a version of the configuration.
type config struct {
	version int64
	value   []byte // as the operators wrote it
}

// peerVersion is the latest version that another instance advertised.
type peerVersion struct {
	version  int64
	instance string    // that advertised it last
	since    time.Time // when a version after the one in force here was first advertised
}

// New returns a tracker without a version.
func New() *Tracker {
	t := &Tracker{}
	t.inForce.Store(&config{})
	return t
}

// InForce returns the version in force here, 0 if there is none.
func (t *Tracker) InForce() int64 { return t.inForce.Load().version }

// Config returns the configuration in force here as the operators wrote it, nil if there is none.
func (t *Tracker) Config() []byte { return t.inForce.Load().value }

// SetInForce sets the version in force here, and the configuration as the operators wrote it.
func (t *Tracker) SetInForce(version int64, value []byte) { t.inForce.Store(&config{version, value}) }

// RecordAdvertised records the version that another instance advertises. Versions that are not later
// than the one in force here are ignored.
func (t *Tracker) RecordAdvertised(from string, version int64, now time.Time) {
	own := t.InForce()
	if version <= own {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.version <= own {
		t.newest = peerVersion{since: now}
	}
	if version >= t.newest.version {
		t.newest.version, t.newest.instance = version, from
	}
}

// Missing returns an instance that has a later version than this one, if later versions have been
// advertised for at least the duration after.
func (t *Tracker) Missing(now time.Time, after time.Duration) (instance string, missing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.version <= t.InForce() || now.Sub(t.newest.since) < after {
		return "", false
	}
	return t.newest.instance, true
}

// Forget drops the latest advertised version if it came from an instance, from which the
// configuration could not be fetched. Other instances may advertise the same version again.
func (t *Tracker) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.instance == instance {
		t.newest = peerVersion{}
	}
}
