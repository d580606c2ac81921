package clock

import (
	"context"
	"time"
)

// Deadline ends a context at a time by a clock. Where the machine is suspended until after it
// the context ends as soon as Run sees that, and not as late as a timer would fire: that one
// has all the time before it that it had at the suspension.
type Deadline struct {
	clock  *Clock
	number uint64 // among the clock's deadlines
	timer  Timer
	cancel context.CancelCauseFunc
}

// pending is a deadline that was not stopped.
type pending struct {
	at  time.Time
	end func()
}

// WithDeadline returns a context that ends at a time, with a cause. The deadline has to be
// stopped.
func (c *Clock) WithDeadline(parent context.Context, at time.Time, cause error) (context.Context, Deadline) {
	ctx, cancel := context.WithCancelCause(parent)
	left := c.Until(at)
	if left <= 0 {
		cancel(cause)
	}
	end := func() { cancel(cause) }
	return ctx, Deadline{clock: c, number: c.add(pending{at, end}), timer: c.afterFunc(left, end), cancel: cancel}
}

// Stop ends the context, and releases what belongs to it.
func (d Deadline) Stop() {
	d.timer.Stop()
	d.clock.remove(d.number)
	d.cancel(nil)
}

func (c *Clock) add(p pending) (number uint64) {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.numbers++
	c.pending[c.numbers] = p
	return c.numbers
}

func (c *Clock) remove(number uint64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, number)
}
