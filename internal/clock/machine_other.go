//go:build !linux

package clock

import (
	"errors"
	"time"
)

var errNoBoot = errors.New("this system's boot time cannot be read")

// Boot implements Machine.
func (System) Boot() (time.Duration, error) { return 0, errNoBoot }
