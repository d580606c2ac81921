// Package decay averages a rate over the time just past.
//
// The package is pure; a Rate belongs to one goroutine at a time.
package decay

import (
	"math"
	"time"
)

// Rate is a decaying average of what was added in a second.
type Rate struct {
	rate float64
	at   time.Time
}

// Add adds to the rate; over is the time that the average is taken over.
func (r *Rate) Add(n float64, over time.Duration, now time.Time) {
	r.rate = r.At(over, now) + n/over.Seconds()
	r.at = now
}

// At returns the rate at a time.
func (r *Rate) At(over time.Duration, now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.at).Seconds()/over.Seconds())
}
