// Package storehealth concludes from an instance's own calls of the store whether the store can be reached, and what an
// entry that is missing in it proves: entries expire with their leases while the store is down, although what they
// describe is alive.
//
// The package does no I/O and reads no clock. A Tracker is not safe for concurrent use.
package storehealth

import "time"

const (
	// troubleFor is how long after a failed call the store counts as troubled: entries whose
	// leases expired during the failure take this long to be rewritten.
	troubleFor = 3 * time.Second
	// minOutage is how long the store must be down before entries that were removed earlier are
	// kept in use: a single late or failed call must not prolong them.
	minOutage = time.Second
)

// Change is what a call changed.
type Change int

// The changes.
const (
	None Change = iota
	Down
	Recovered
)

// Tracker holds what is known of the store. The zero value is that of a store that was never called.
type Tracker struct {
	failedAt    time.Time // of the last call that failed
	answeredAt  time.Time // of the last call that was answered
	down        bool
	downAt      time.Time // when the store went down
	recoveredAt time.Time // when the store was last back
	resumedAt   time.Time // when the process last resumed after a stall
	currentAt   time.Time // when the last call was sent that brought the endpoints up to date
}

// Called applies the outcome of a call that was sent at a time. The failure of a call that was sent
// before the last answer is ignored, as it may arrive late.
func (t *Tracker) Called(ok bool, sent, now time.Time) Change {
	if ok {
		t.answeredAt = now
		if !t.down {
			return None
		}
		t.down = false
		if now.Sub(t.resumedAt) > minOutage { // calls that waited through a stall fail whatever the store does
			t.recoveredAt = now
		}
		return Recovered
	}
	if sent.Before(t.answeredAt) {
		return None
	}
	t.failedAt = now
	if t.down {
		return None
	}
	t.down, t.downAt = true, now
	return Down
}

// Restored records that the store was restored from a backup, which may lack entries.
func (t *Tracker) Restored(now time.Time) { t.failedAt, t.recoveredAt = now, now }

// Resumed records that the process resumed after a stall.
func (t *Tracker) Resumed(now time.Time) { t.resumedAt = now }

// EndpointsRead records that a call sent at a time brought the endpoints up to date.
func (t *Tracker) EndpointsRead(sent time.Time) {
	if sent.After(t.currentAt) {
		t.currentAt = sent
	}
}

// Outage reports whether the store has been down for a while.
func (t *Tracker) Outage(now time.Time) bool { return t.down && now.Sub(t.downAt) > minOutage }

// MissingSince returns since when an endpoint's entry that is found to be missing may have been. It is zero if the
// store is not the reason: it is not down, and no call has failed lately.
func (t *Tracker) MissingSince(now time.Time) time.Time {
	troubled := t.down || !t.failedAt.IsZero() && now.Sub(t.failedAt) < troubleFor
	switch {
	case !troubled:
		return time.Time{}
	case t.recoveredAt.After(t.currentAt):
		return t.recoveredAt
	}
	return t.currentAt
}
