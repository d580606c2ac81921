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
	at     time.Time
	cause  error
	cancel context.CancelCauseFunc
	timer  Timer
}

// Start returns a context that ends at a time, with a cause. Stop has to be called.
func (d *Deadline) Start(c *Clock, parent context.Context, at time.Time, cause error) context.Context {
	ctx, cancel := context.WithCancelCause(parent)
	*d = Deadline{clock: c, at: at, cause: cause, cancel: cancel}
	left := c.Until(at)
	if left <= 0 {
		cancel(cause)
	}
	d.timer = c.afterFunc(left, d.end)
	c.add(d)
	return ctx
}

func (d *Deadline) end() { d.cancel(d.cause) }

// Stop ends the context, and releases what belongs to it.
func (d *Deadline) Stop() {
	d.timer.Stop()
	d.clock.remove(d)
	d.cancel(nil)
}

func (c *Clock) add(d *Deadline) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadlines[d] = struct{}{}
}

func (c *Clock) remove(d *Deadline) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.deadlines, d)
}
