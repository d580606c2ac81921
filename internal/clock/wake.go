package clock

import (
	"context"
	"time"
)

const (
	// LookEvery is how soon a standstill is noticed: well before calls under a lease that
	// lapsed meanwhile count against their sender (300 ms).
	LookEvery = 100 * time.Millisecond
	// noticeable is the shortest standstill that counts. A process on a busy machine may not
	// be scheduled for some tenths of a second.
	noticeable = 400 * time.Millisecond
)

// Resumption is the end of a standstill: the process was stopped, or its machine suspended.
type Resumption struct {
	Stood     time.Duration
	Suspended time.Duration // the part of it that the steady clock did not count
	Ended     int           // contexts whose deadlines passed meanwhile
}

// Watcher sees standstills. It belongs to one goroutine, which looks each LookEvery.
type Watcher struct {
	clock     *Clock
	at        time.Time     // of the last look
	suspended time.Duration // until then
}

// Watch returns a watcher that looks for standstills from now on, or nil for a nil clock.
func (c *Clock) Watch() *Watcher {
	if c == nil {
		return nil
	}
	return &Watcher{clock: c, at: c.Now(), suspended: c.suspended()}
}

// Look reports whether the process has stood still since the last look. If so the contexts whose
// deadlines have passed are ended by now. A nil watcher sees nothing.
func (w *Watcher) Look() (Resumption, bool) {
	if w == nil {
		return Resumption{}, false
	}
	c := w.clock
	now, suspended := c.Now(), c.suspended()
	waking := Resumption{Stood: now.Sub(w.at) - LookEvery, Suspended: suspended - w.suspended}
	w.at, w.suspended = now, suspended
	if waking.Stood < noticeable {
		return Resumption{}, false
	}
	waking.Ended = c.endPassed()
	return waking, true
}

// Run looks for standstills until ctx ends, and tells of each.
func (c *Clock) Run(ctx context.Context, woken func(Resumption)) error {
	w := c.Watch()
	for c.Sleep(ctx, LookEvery) {
		if waking, ok := w.Look(); ok {
			woken(waking)
		}
	}
	return ctx.Err()
}

// suspended returns for how long the machine was suspended, from some moment on.
func (c *Clock) suspended() time.Duration {
	steady := c.machine.Steady()
	return c.elapsed() - steady
}

// endPassed ends the contexts whose deadlines have passed, and returns how many there are.
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
