package clock

import "time"

// System is the machine that this process runs on.
type System struct{}

// Steady implements Machine.
func (System) Steady() time.Duration { return time.Since(processStart) }

// After implements Machine.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc implements Machine.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// processStart has a steady reading.
var processStart = time.Now()
