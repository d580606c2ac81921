package check

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const contact = 3 * time.Second

// limited returns a checker for an endpoint that announces a limit of one request per second, which
// the instance n knows from 100 ms on.
func limited() *RateLimits {
	c := NewRateLimits(contact)
	c.Announced("e", 1, at(0))
	c.Forwarded("e", "n", at(100))
	return c
}

// arrive records n evenly spaced requests between two times.
func (c *RateLimits) arrive(instance string, n, fromMs, toMs int) {
	for i := range n {
		c.Received("e", instance, at(fromMs+i*(toMs-fromMs)/n))
	}
}

func TestRateLimitsAtTheBound(t *testing.T) {
	is := is.New(t)
	below, above := limited(), limited()
	below.arrive("n", 11, 5000, 9000) // 1.5 x 4 + 5
	above.arrive("n", 12, 5000, 9000)
	is.Equal(len(below.Violations()), 0)
	is.Equal(len(above.Violations()), 1)
}

func TestRateLimitsSumOverInstances(t *testing.T) {
	is := is.New(t)
	c := limited()
	c.Forwarded("e", "m", at(200))
	c.arrive("n", 6, 5000, 9000)
	c.arrive("m", 6, 5000, 9000)
	is.Equal(len(c.Violations()), 1)
}

func TestRateLimitsBindInstancesThatForwardedThem(t *testing.T) {
	is := is.New(t)
	unknown, soon, late := limited(), limited(), limited()
	unknown.arrive("m", 50, 5000, 9000)
	soon.arrive("n", 50, 101, 599)
	late.arrive("n", 50, 600, 1000)
	for _, c := range []*RateLimits{unknown, soon, late} {
		c.Received("e", "n", at(3000))
	}
	is.Equal(len(unknown.Violations()), 0)
	is.Equal(len(soon.Violations()), 0)
	is.Equal(len(late.Violations()), 1)
}

func TestRateLimitsBindFromContactOn(t *testing.T) {
	is := is.New(t)
	before, after := limited(), limited()
	before.arrive("n", 50, 600, 2999)
	after.arrive("n", 50, 600, 3001)
	after.Received("e", "n", at(3000))
	is.Equal(len(before.Violations()), 0)
	is.Equal(len(after.Violations()), 1)
}

func TestRateLimitsExempt(t *testing.T) {
	is := is.New(t)
	c := limited()
	c.arrive("n", 50, 5000, 9000)
	c.Exempt("m", at(5000), at(9000))
	is.Equal(len(c.Violations()), 1)
	c.Exempt("n", at(5000), at(8000))
	is.Equal(len(c.Violations()), 1) // 12 or more after the exemption
	c.Exempt("n", at(8000), at(9000))
	is.Equal(len(c.Violations()), 0)
}

func TestRateLimitsThatChange(t *testing.T) {
	is := is.New(t)
	raised, lowered, lifted, again := limited(), limited(), limited(), limited()
	raised.Announced("e", 3, at(7000))
	raised.arrive("n", 23, 6000, 9500)
	is.Equal(len(raised.Violations()), 0) // 1.5 x 4 x 3 + 5
	lowered.Announced("e", 0.1, at(8000))
	lowered.arrive("n", 11, 6000, 9500)
	is.Equal(len(lowered.Violations()), 0)
	lowered.arrive("n", 6, 13_000, 14_000)
	is.Equal(len(lowered.Violations()), 1) // 1.5 x 4 x 0.1 + 5
	lifted.Removed("e", at(5000))
	lifted.arrive("n", 50, 5000, 9000)
	is.Equal(len(lifted.Violations()), 0)
	again.Removed("e", at(5000))
	again.Announced("e", 1, at(6000))
	again.arrive("n", 50, 10_000, 14_000)
	is.Equal(len(again.Violations()), 0) // no response has announced the new limit yet
	again.Forwarded("e", "n", at(7000))
	is.Equal(len(again.Violations()), 1)
}
