package clock

import (
	"context"
	"time"
)

const (
	// lookEvery is how soon a standstill is noticed: well before calls under a lease that
	// lapsed meanwhile count against their sender (300 ms).
	lookEvery = 50 * time.Millisecond
	// noticeable is the shortest standstill that counts. A process on a busy machine may not
	// be scheduled for some tenths of a second.
	noticeable = 400 * time.Millisecond
)

// Waking is the end of a standstill: the process was stopped, or its machine suspended.
type Waking struct {
	Stood     time.Duration
	Suspended time.Duration // the part of it that the steady clock did not count
	Ended     int           // contexts whose deadlines passed meanwhile
}

// Run looks for standstills until ctx ends. After each it ends the contexts whose deadlines
// have passed, and then calls woken.
func (c *Clock) Run(ctx context.Context, woken func(Waking)) error {
	at, suspended := c.Now(), c.suspended()
	for c.Sleep(ctx, lookEvery) {
		w := Waking{Stood: c.Since(at) - lookEvery, Suspended: c.suspended() - suspended}
		at, suspended = c.Now(), c.suspended()
		if w.Stood >= noticeable {
			w.Ended = c.endPassed()
			woken(w)
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
