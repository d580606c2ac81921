package clock

import "time"

// System is the machine that this process runs on.
type System struct{}

// Steady implements Machine.
func (System) Steady() time.Duration { return time.Since(processStart) }

// processStart has a steady reading.
var processStart = time.Now()
