package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Counts implements Machine.
func (System) Counts() error {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fmt.Errorf("read boot time: %w", err)
	}
	return nil
}

// Boot implements Machine.
func (System) Boot() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) // what can be read once can be read again
	return time.Duration(t.Nano())
}
