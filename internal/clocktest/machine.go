// Package clocktest is a stand-in of a machine that can be suspended, for tests in virtual time.
package clocktest

import (
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
)

// Machine is a stand-in of a machine's clocks. What runs while it is suspended reads the time
// at which that began, as a process does that stands still between two instructions.
//
// Machine is safe for concurrent use.
type Machine struct {
	start time.Time

	mu    sync.Mutex
	since time.Time     // when the suspension began; zero while the machine runs; guarded by mu
	lost  time.Duration // that earlier suspensions took; guarded by mu
	skips time.Duration // that were skipped; guarded by mu
}

// New returns a machine that runs.
func New() *Machine { return &Machine{start: time.Now()} }

// now returns the moment that a process sees, and how long the machine was suspended before.
func (m *Machine) now() (time.Time, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.since.IsZero() {
		return m.since, m.lost
	}
	return time.Now(), m.lost
}

// Counts implements clock.Machine.
func (m *Machine) Counts() error { return nil }

// Boot implements clock.Machine.
func (m *Machine) Boot() time.Duration {
	now, _ := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.start) + m.skips
}

// Steady implements clock.Machine.
func (m *Machine) Steady() time.Duration {
	now, lost := m.now()
	return now.Sub(m.start) - lost
}

// Suspend suspends the machine until Resume.
func (m *Machine) Suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() {
		m.since = time.Now()
	}
}

// Skip suspends the machine for d in no time of the test: only its boot time tells.
func (m *Machine) Skip(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skips += d
}

// Resume ends a suspension.
func (m *Machine) Resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() {
		return
	}
	m.lost += time.Since(m.since)
	m.since = time.Time{}
}

// AwaitResume returns once the machine runs.
func (m *Machine) AwaitResume() {
	for m.suspended() {
		time.Sleep(resumePoll)
	}
}

// resumePoll is how often a suspended machine is looked at.
const resumePoll = 5 * time.Millisecond

func (m *Machine) suspended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.since.IsZero()
}

// After implements clock.Machine.
func (m *Machine) After(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	m.AfterFunc(d, func() { c <- time.Now() })
	return c
}

// AfterFunc implements clock.Machine: what is due while the machine is suspended, or after,
// comes as much later as the suspension takes.
func (m *Machine) AfterFunc(d time.Duration, f func()) clock.Timer {
	t := &timer{machine: m, due: m.Steady() + d, call: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wait = time.AfterFunc(d, t.look)
	return t
}

// timer is a call on the steady clock of a machine.
type timer struct {
	machine *Machine
	due     time.Duration
	call    func()

	mu   sync.Mutex
	wait *time.Timer // guarded by mu
	over bool        // called or stopped; guarded by mu
}

// look calls if it is time, or waits on.
func (t *timer) look() {
	t.machine.AwaitResume()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return
	}
	if left := t.due - t.machine.Steady(); left > 0 {
		t.wait = time.AfterFunc(left, t.look)
		return
	}
	t.over = true
	go t.call()
}

// Stop implements clock.Timer.
func (t *timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stopped := !t.over
	t.over = true
	t.wait.Stop()
	return stopped
}
