// Package walltime provides a time of day that is independent of later changes
// of the system's time of day.
//
// A Clock takes the time of day once and then advances with the monotonic
// readings of the times given to it. If it is far from the median of the times
// of day that all instances report, it is corrected to the median. Clock is
// safe for concurrent use.
package walltime

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleTTL is the time for which a sample of another instance is used.
	sampleTTL = 10 * time.Second
	// correctionThreshold is the largest median offset that is left uncorrected.
	correctionThreshold = 400 * time.Millisecond
)

// sample is the time of day of another instance.
type sample struct {
	offset     time.Duration // from the uncorrected time of this clock
	receivedAt time.Time
}

// Clock is a time of day that advances with the monotonic clock and is corrected by samples of
// other instances.
type Clock struct {
	start time.Time // with a monotonic reading

	mu         sync.Mutex
	samples    map[string]sample // by instance; guarded by mu
	correction time.Duration     // guarded by mu
}

// New returns a clock that starts at now, which must have a monotonic reading.
func New(now time.Time) *Clock {
	return &Clock{start: now, samples: make(map[string]sample)}
}

// uncorrected returns the time of day without the correction by other instances.
func (c *Clock) uncorrected(now time.Time) time.Time {
	return c.start.Round(0).Add(now.Sub(c.start))
}

// At returns the corrected time of day at now, a time with a monotonic reading.
func (c *Clock) At(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uncorrected(now).Add(c.correction)
}

// Uncorrected returns the time of day without the correction by other instances. It is the time
// to send to other instances: with corrected times, instances would follow one another.
func (c *Clock) Uncorrected(now time.Time) time.Time { return c.uncorrected(now) }

// record records a sample, unless an earlier one shows that it was delayed: a message that waited
// for a broken link to heal makes its sender's clock look slow, and nothing makes it look fast.
func (c *Clock) record(instance string, s sample) {
	earlier, ok := c.samples[instance]
	if ok && s.receivedAt.Sub(earlier.receivedAt) <= sampleTTL && earlier.offset-s.offset > correctionThreshold {
		return
	}
	c.samples[instance] = s
}

// AddSample adds the uncorrected time of day of another instance, received at now, and returns
// the resulting correction: the median offset of all instances, this one included, or zero if
// the median is within 400 ms.
func (c *Clock) AddSample(instance string, wall, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(instance, sample{wall.Sub(c.uncorrected(now)), now})
	offsets := []time.Duration{0}
	for name, s := range c.samples {
		if now.Sub(s.receivedAt) > sampleTTL {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	c.correction = 0
	if median > correctionThreshold || median < -correctionThreshold {
		c.correction = median
	}
	return c.correction
}
