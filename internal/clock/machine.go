package clock

import "time"

// System reads the clocks and timers of the operating system.
type System struct{}

// Monotonic implements TimeSource.
func (System) Monotonic() time.Duration { return time.Since(processStart) }

// After implements TimeSource.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc implements TimeSource.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// processStart has a monotonic reading.
var processStart = time.Now()
