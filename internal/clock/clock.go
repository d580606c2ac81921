// Package clock provides a clock that includes the time for which the instance was suspended.
//
// Leases, freshness proofs, deadlines, backoffs and rate-limit windows are agreed with
// other processes and keep running while this instance is suspended. Go's monotonic clock, on
// which time.Now, timers and contexts run, stops during a suspension. A Clock follows the
// boot-time clock of the operating system instead. Its times can be compared with each other,
// and with those of time.Now as long as the instance has not been suspended.
//
// Timers and context deadlines still run on the monotonic clock. To find out whether a time
// has passed, ask a Clock; that a timer has not fired yet proves nothing.
//
// Clock is safe for concurrent use. A nil Clock uses Go's monotonic clock.
package clock

import (
	"context"
	"sync"
	"time"
)

// TimeSource gives access to the clocks and timers of the operating system.
type TimeSource interface {
	// BootTimeErr returns the reason why BootTime is not available, or nil if it is.
	BootTimeErr() error
	// BootTime returns the time since a fixed moment in the past, including suspensions.
	BootTime() time.Duration
	// Monotonic returns the time since a fixed moment in the past, excluding suspensions.
	Monotonic() time.Duration
	// After returns a channel that receives the time after d on the monotonic clock.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f after d on the monotonic clock.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call started by AfterFunc.
type Timer interface {
	// Stop cancels the call. It reports false if the call was already made or cancelled.
	Stop() bool
}

// Clock returns the current time, including the time for which the instance was suspended.
type Clock struct {
	source    TimeSource
	start     time.Time     // with a monotonic reading
	startBoot time.Duration // boot time at start
	err       error         // why the boot time is not available; nil if it is

	mu      sync.Mutex
	lastID  uint64             // latest deadline ID given out; guarded by mu
	pending map[uint64]pending // by deadline ID; guarded by mu
}

// New returns a clock that reads source. If source has no boot time, the clock stops while the
// instance is suspended, and Err returns the reason.
func New(source TimeSource) *Clock {
	c := &Clock{source: source, start: time.Now(), pending: make(map[uint64]pending)}
	c.err = source.BootTimeErr()
	c.startBoot = c.elapsed()
	return c
}

// Err returns the reason why the clock excludes suspensions, or nil if it includes them.
func (c *Clock) Err() error {
	if c == nil {
		return nil
	}
	return c.err
}

// Now returns the current time. Its time of day is the one at the clock's creation plus the
// time elapsed since, so later changes of the system's time of day have no effect.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.start.Add(c.elapsed() - c.startBoot)
}

// elapsed returns the time since a fixed moment in the past, including suspensions if the
// boot time is available.
func (c *Clock) elapsed() time.Duration {
	if c.err != nil {
		return c.source.Monotonic()
	}
	return c.source.BootTime()
}

// Since returns the time elapsed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time remaining until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep waits for d on the monotonic clock. It reports false if ctx ends first.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.After(d):
		return true
	}
}

// After returns a channel that receives the time after d on the monotonic clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	if c == nil {
		return time.After(d)
	}
	return c.source.After(d)
}

func (c *Clock) afterFunc(d time.Duration, f func()) Timer {
	if c == nil {
		return time.AfterFunc(d, f)
	}
	return c.source.AfterFunc(d, f)
}

// ToMonotonic converts t to a time of Go's monotonic clock, for timers and connection
// deadlines. The result holds if the instance is not suspended before t.
func (c *Clock) ToMonotonic(t time.Time) time.Time { return time.Now().Add(c.Until(t)) }
