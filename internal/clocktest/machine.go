// Package clocktest provides a fake time source that can be suspended, for tests in virtual time.
package clocktest

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
)

// TimeSource is a fake of the operating system's clocks. Code that reads it while it is
// suspended gets the time at which the suspension began, as if the process were stopped
// between two instructions.
//
// TimeSource is safe for concurrent use.
type TimeSource struct {
	start time.Time

	mu           sync.Mutex
	suspendedAt  time.Time     // when the suspension began; zero while running; guarded by mu
	suspendedFor time.Duration // total length of earlier suspensions; guarded by mu
	skipped      time.Duration // total of SkipSuspended; guarded by mu
}

// New returns a time source that is not suspended.
func New() *TimeSource { return &TimeSource{start: time.Now()} }

// now returns the time that the process observes, and the total length of earlier suspensions.
func (s *TimeSource) now() (time.Time, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.suspendedAt.IsZero() {
		return s.suspendedAt, s.suspendedFor
	}
	return time.Now(), s.suspendedFor
}

// BootTimeErr implements clock.TimeSource.
func (s *TimeSource) BootTimeErr() error { return nil }

// BootTime implements clock.TimeSource.
func (s *TimeSource) BootTime() time.Duration {
	now, _ := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.start) + s.skipped
}

// Monotonic implements clock.TimeSource.
func (s *TimeSource) Monotonic() time.Duration {
	now, suspendedFor := s.now()
	return now.Sub(s.start) - suspendedFor
}

// Suspend stops the monotonic clock and the timers until Resume.
func (s *TimeSource) Suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspendedAt.IsZero() {
		s.suspendedAt = time.Now()
	}
}

// SkipSuspended simulates a suspension of length d that takes no time in the test: the boot
// time advances by d, the monotonic clock does not.
func (s *TimeSource) SkipSuspended(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped += d
}

// Resume ends a suspension started by Suspend.
func (s *TimeSource) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspendedAt.IsZero() {
		return
	}
	s.suspendedFor += time.Since(s.suspendedAt)
	s.suspendedAt = time.Time{}
}

// WaitResumed blocks while the time source is suspended.
func (s *TimeSource) WaitResumed() {
	for s.suspended() {
		time.Sleep(resumePollInterval)
	}
}

// resumePollInterval is the time between two checks of whether a suspension has ended.
const resumePollInterval = 5 * time.Millisecond

func (s *TimeSource) suspended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.suspendedAt.IsZero()
}

// After implements clock.TimeSource.
func (s *TimeSource) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	s.AfterFunc(d, func() { c <- time.Now() })
	return c
}

// AfterFunc implements clock.TimeSource. A suspension delays pending calls by its length.
func (s *TimeSource) AfterFunc(d time.Duration, f func()) clock.Timer {
	t := &timer{source: s, due: s.Monotonic() + d, call: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.goTimer = time.AfterFunc(d, t.fireOrWait)
	return t
}

// timer is a pending call on the monotonic clock of a time source.
type timer struct {
	source *TimeSource
	due    time.Duration
	call   func()

	mu      sync.Mutex
	goTimer *time.Timer // guarded by mu
	done    bool        // called or stopped; guarded by mu
}

// fireOrWait makes the call if it is due, or else starts the timer again for the time left.
func (t *timer) fireOrWait() {
	t.source.WaitResumed()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.done {
		return
	}
	if left := t.due - t.source.Monotonic(); left > 0 {
		t.goTimer = time.AfterFunc(left, t.fireOrWait)
		return
	}
	t.done = true
	go t.call()
}

// Stop implements clock.Timer.
func (t *timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped := !t.done
	t.done = true
	t.goTimer.Stop()
	return stopped
}
