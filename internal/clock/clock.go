// Package clock tells the time that passes, a suspension of the machine included.
//
// What binds others (leases, proofs, deadlines, rests, windows of limits) goes on while this
// machine is suspended, but Go's steady clock, on which time.Now, timers and contexts run, stands
// still. A Clock follows the machine's boot time instead. Its times can be compared
// with each other, and with those of time.Now for as long as the machine was not suspended.
//
// Timers and deadlines of contexts still run on the steady clock: whether something is over
// is asked of a Clock, never taken from a timer that has not fired.
//
// Clock is safe for concurrent use. A nil Clock tells the steady time.
package clock

import (
	"context"
	"sync"
	"time"
)

// Machine is the part of a machine that a clock reads.
type Machine interface {
	// Counts says why Boot cannot be told, or nil.
	Counts() error
	// Boot returns the time since some moment of the past, suspensions included.
	Boot() time.Duration
	// Steady returns the same without the time for which the machine was suspended.
	Steady() time.Duration
	// After returns a channel that gets the time after d on the steady clock.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f after d on the steady clock.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a call to come.
type Timer interface {
	Stop() bool
}

// Clock tells the time.
type Clock struct {
	machine Machine
	start   time.Time     // with a steady reading
	boot    time.Duration // the machine's boot time at the start
	err     error         // why the boot time cannot be told

	mu      sync.Mutex
	numbers uint64             // of deadlines so far; guarded by mu
	pending map[uint64]pending // by number; guarded by mu
}

// New returns a clock of a machine. Where this cannot tell its boot time the clock stands still
// while the machine is suspended, and Err says why.
func New(m Machine) *Clock {
	c := &Clock{machine: m, start: time.Now(), pending: make(map[uint64]pending)}
	c.err = m.Counts()
	c.boot = c.elapsed()
	return c
}

// Err returns why the clock does not count suspensions, or nil.
func (c *Clock) Err() error {
	if c == nil {
		return nil
	}
	return c.err
}

// Now returns the time. Its time of day is the one of the clock's start and what has passed
// since then.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	return c.start.Add(c.elapsed() - c.boot)
}

// elapsed returns the time since some moment of the past, suspensions included if they can be
// told.
func (c *Clock) elapsed() time.Duration {
	if c.err != nil {
		return c.machine.Steady()
	}
	return c.machine.Boot()
}

// Since returns the time that has passed since t.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time left until t.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Sleep waits for d on the steady clock, and reports false if ctx ends before.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.After(d):
		return true
	}
}

// After returns a channel that gets the time after d on the steady clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	if c == nil {
		return time.After(d)
	}
	return c.machine.After(d)
}

func (c *Clock) afterFunc(d time.Duration, f func()) Timer {
	if c == nil {
		return time.AfterFunc(d, f)
	}
	return c.machine.AfterFunc(d, f)
}

// Steady returns when t will be on the steady clock, if the machine is not suspended until
// then: what timers and deadlines of connections go by.
func (c *Clock) Steady(t time.Time) time.Time { return time.Now().Add(c.Until(t)) }
