// Package decay implements exponentially decaying averages of rates.
//
// The package is pure; a Rate must not be used concurrently.
package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying average of the amount added per second.
type Rate struct {
	rate float64
	at   time.Time
}

// Add adds an amount to the rate; over is the time constant of the decay.
func (r *Rate) Add(n float64, over time.Duration, now time.Time) {
	r.rate = r.At(over, now) + n/over.Seconds()
	if now.After(r.at) {
		r.at = now
	}
}

// At returns the rate at a time, in amounts per second. It does not grow for a time before the latest
// amount: callers that read the clock before they get a lock may come in another order.
func (r *Rate) At(over time.Duration, now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-max(0, now.Sub(r.at)).Seconds()/over.Seconds())
}
