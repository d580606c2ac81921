package clock

import (
	"context"
	"time"
)

const (
	// StallCheckInterval is the time between two checks for a stall. It is well below the
	// 300 ms after which a call under a lease that lapsed during the stall counts against
	// its sender.
	StallCheckInterval = 100 * time.Millisecond
	// minStall is the shortest stall that is reported. On a busy host a process may not be
	// scheduled for some tenths of a second.
	minStall = 400 * time.Millisecond
)

// Resumption describes a stall that has ended: the process was stopped or the instance
// suspended, and runs again.
type Resumption struct {
	Stalled   time.Duration // length of the stall
	Suspended time.Duration // the part of it during which the monotonic clock was stopped
	Ended     int           // number of contexts whose deadlines passed during the stall
}

// StallDetector detects stalls of the process. It must be used by one goroutine only, which
// calls Check every StallCheckInterval.
type StallDetector struct {
	clock     *Clock
	lastCheck time.Time     // when Check was last called
	suspended time.Duration // result of Clock.suspended at lastCheck
}

// NewStallDetector returns a detector that reports stalls from now on, or nil for a nil clock.
func (c *Clock) NewStallDetector() *StallDetector {
	if c == nil {
		return nil
	}
	return &StallDetector{clock: c, lastCheck: c.Now(), suspended: c.suspended()}
}

// Check reports whether the process has stalled since the last call. If so, it has ended the
// contexts whose deadlines have passed. A nil detector never reports a stall.
func (d *StallDetector) Check() (Resumption, bool) {
	if d == nil {
		return Resumption{}, false
	}
	c := d.clock
	now, suspended := c.Now(), c.suspended()
	resumption := Resumption{Stalled: now.Sub(d.lastCheck) - StallCheckInterval, Suspended: suspended - d.suspended}
	d.lastCheck, d.suspended = now, suspended
	if resumption.Stalled < minStall {
		return Resumption{}, false
	}
	resumption.Ended = c.endPassed()
	return resumption, true
}

// Run checks for stalls until ctx ends, and calls onResume after each.
func (c *Clock) Run(ctx context.Context, onResume func(Resumption)) error {
	d := c.NewStallDetector()
	for c.Sleep(ctx, StallCheckInterval) {
		if resumption, ok := d.Check(); ok {
			onResume(resumption)
		}
	}
	return ctx.Err()
}

// suspended returns the total time for which the instance was suspended, plus a constant. Only
// differences of two results are meaningful.
func (c *Clock) suspended() time.Duration {
	monotonic := c.source.Monotonic()
	return c.elapsed() - monotonic
}

// endPassed ends the contexts whose deadlines have passed, and returns their number.
func (c *Clock) endPassed() (ended int) {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if now.Before(p.at) {
			continue
		}
		p.end()
		ended++
	}
	return ended
}
