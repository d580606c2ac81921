// Package clocktest is a stand-in of a machine that can be suspended, for tests in virtual time.
package clocktest

import (
	"sync"
	"time"
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

// Boot implements clock.Machine.
func (m *Machine) Boot() (time.Duration, error) {
	now, _ := m.now()
	return now.Sub(m.start), nil
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
