//go:build !linux

package clock

import (
	"errors"
	"time"
)

var errNoBoot = errors.New("this system's boot time cannot be read")

// Counts implements Machine.
func (System) Counts() error { return errNoBoot }

// Boot implements Machine.
func (System) Boot() time.Duration { return 0 }
