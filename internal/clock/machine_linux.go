package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootTimeErr implements TimeSource.
func (System) BootTimeErr() error {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return fmt.Errorf("read boot time: %w", err)
	}
	return nil
}

// BootTime implements TimeSource.
func (System) BootTime() time.Duration {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) // BootTimeErr checks that this clock exists
	return time.Duration(t.Nano())
}
