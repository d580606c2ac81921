package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Boot implements Machine.
func (System) Boot() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read boot time: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
