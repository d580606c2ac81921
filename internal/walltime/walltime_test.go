package walltime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheMajoritySetsTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := New(now)
	for _, name := range []string{"a", "b", "c"} {
		c.AddSample(name, now.Add(2*time.Second), now)
	}
	is.Equal(c.At(now).Sub(now.Round(0)).Round(time.Millisecond), 2*time.Second)
	is.Equal(c.Uncorrected(now).Sub(now.Round(0)).Round(time.Millisecond), time.Duration(0)) // sent to others without the correction
}

func TestMinorityDoesNotSetTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := New(now)
	c.AddSample("a", now.Add(time.Hour), now)
	c.AddSample("b", now.Add(100*time.Millisecond), now)
	is.Equal(c.AddSample("c", now.Add(-100*time.Millisecond), now), time.Duration(0))
	later := now.Add(20 * time.Second) // old samples have expired
	is.Equal(c.AddSample("d", later.Add(time.Minute), later), time.Minute)
}

// Messages that waited for a broken link to heal tell the time at which they were sent.
func TestDelayedMessagesDoNotSetTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := New(now)
	for _, name := range []string{"a", "b", "c"} {
		c.AddSample(name, now, now)
	}
	healed := now.Add(6 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		is.Equal(c.AddSample(name, now.Add(100*time.Millisecond), healed), time.Duration(0))
	}
	later := healed.Add(sampleTTL) // an instance that restarted with another time of day is believed then
	is.Equal(c.AddSample("a", later.Add(-time.Minute), later), time.Duration(0))
	is.Equal(c.AddSample("b", later.Add(-time.Minute), later), -time.Minute)
}
