package clock

import (
	"context"
	"time"
)

// Deadline ends a context at a time of a Clock. If the instance is suspended past that time,
// the context ends as soon as Run or a StallDetector detects the resumption. The timer alone
// would fire late, since it does not run during the suspension.
type Deadline struct {
	clock  *Clock
	id     uint64 // key in the clock's map of pending deadlines
	timer  Timer
	cancel context.CancelCauseFunc
}

// pending is a deadline that has not been stopped.
type pending struct {
	at  time.Time
	end func()
}

// WithDeadline returns a context that ends with the given cause at the given time. The caller
// must stop the returned Deadline to release its resources.
func (c *Clock) WithDeadline(parent context.Context, at time.Time, cause error) (context.Context, Deadline) {
	ctx, cancel := context.WithCancelCause(parent)
	left := c.Until(at)
	if left <= 0 {
		cancel(cause)
	}
	end := func() { cancel(cause) }
	return ctx, Deadline{clock: c, id: c.add(pending{at, end}), timer: c.afterFunc(left, end), cancel: cancel}
}

// Stop ends the context and releases its timer.
func (d Deadline) Stop() {
	d.timer.Stop()
	d.clock.remove(d.id)
	d.cancel(nil)
}

func (c *Clock) add(p pending) (id uint64) {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	c.pending[c.lastID] = p
	return c.lastID
}

func (c *Clock) remove(id uint64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
