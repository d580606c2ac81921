//go:build !linux

package clock

import (
	"errors"
	"time"
)

var errNoBootTime = errors.New("boot-time clock not available on this operating system")

// BootTimeErr implements TimeSource.
func (System) BootTimeErr() error { return errNoBootTime }

// BootTime implements TimeSource.
func (System) BootTime() time.Duration { return 0 }
