// Package walltime keeps a time of day that does not jump.
//
// A Clock takes the time of day once and follows the steady clock from there.
// It is put right by the median of what the other nodes take the time to be.
// Clock is safe for concurrent use.
package walltime

import (
	"slices"
	"sync"
	"time"
)

const (
	// believed is how long another node's word counts.
	wordTTL = 10 * time.Second
	// apart is how far the median may be from this node's own time.
	apart = 400 * time.Millisecond
)

type word struct {
	offset time.Duration // of the other node's time from this node's own
	at     time.Time
}

// Clock is a time of day.
type Clock struct {
	start time.Time // with its steady reading

	mu         sync.Mutex
	words      map[string]word // by node; guarded by mu
	correction time.Duration   // guarded by mu
}

// New returns a clock that starts at a time read just now.
func New(now time.Time) *Clock {
	return &Clock{start: now, words: make(map[string]word)}
}

// raw is the time of day without correction.
func (c *Clock) raw(now time.Time) time.Time {
	return c.start.Round(0).Add(now.Sub(c.start))
}

// At returns the time of day at a moment of the steady clock.
func (c *Clock) At(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.raw(now).Add(c.correction)
}

// Own returns the time of day without what others say, which is what others
// are told: else nodes would follow one another.
func (c *Clock) Own(now time.Time) time.Time { return c.raw(now) }

// Apply takes what another node takes the time of day to be, and returns the
// correction that holds.
func (c *Clock) Apply(node string, wall, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.words[node] = word{wall.Sub(c.raw(now)), now}
	offsets := []time.Duration{0}
	for name, w := range c.words {
		if now.Sub(w.at) > wordTTL {
			delete(c.words, name)
			continue
		}
		offsets = append(offsets, w.offset)
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	c.correction = 0
	if median > apart || median < -apart {
		c.correction = median
	}
	return c.correction
}
