package clock_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

func TestASuspensionCounts(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.New()
		c := clock.New(m)
		is.NoErr(c.Err())
		begun := c.Now()
		time.Sleep(time.Second)
		m.Suspend()
		time.Sleep(5 * time.Second)
		is.Equal(c.Since(begun), time.Second) // as long as it stands
		m.Resume()
		is.Equal(c.Since(begun), 6*time.Second)
		is.Equal(c.Until(begun.Add(10*time.Second)), 4*time.Second)
		is.Equal(time.Until(c.Steady(begun.Add(10*time.Second))), 4*time.Second)
	})
}

// mute is a machine that cannot tell its boot time.
type mute struct{ *clocktest.Machine }

func (mute) Counts() error { return errMute }

var errMute = errors.New("no boot time")

func TestAClockWithoutBootTimeIsSteady(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.New()
		c := clock.New(mute{m})
		is.Equal(c.Err(), errMute)
		begun := c.Now()
		m.Suspend()
		time.Sleep(5 * time.Second)
		m.Resume()
		time.Sleep(time.Second)
		is.Equal(c.Since(begun), time.Second)
	})
}

func TestDeadlinesPassWhileSuspended(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := clocktest.New()
		c := clock.New(m)
		ctx, stop := context.WithCancel(context.Background())
		wakings := make(chan clock.Resumption, 2)
		go func() { _ = c.Run(ctx, func(w clock.Resumption) { wakings <- w }) }()
		first, soon := c.WithDeadline(ctx, c.Now().Add(2*time.Second), errMute)
		second, late := c.WithDeadline(ctx, c.Now().Add(8*time.Second), errMute)
		third, stopped := c.WithDeadline(ctx, c.Now().Add(time.Second), errMute)
		stopped.Stop()
		is.True(!errors.Is(context.Cause(third), errMute))
		m.Suspend()
		time.Sleep(5 * time.Second)
		m.Resume()
		time.Sleep(110 * time.Millisecond)
		is.Equal(context.Cause(first), errMute)
		is.NoErr(second.Err())
		w := <-wakings
		is.Equal(w.Ended, 1)
		is.Equal(w.Suspended, 5*time.Second)
		time.Sleep(9 * time.Second)
		is.Equal(context.Cause(second), errMute)
		is.Equal(len(wakings), 0)
		soon.Stop()
		late.Stop()
		stop()
		time.Sleep(time.Second)
	})
}

// serving are the packages in which what is assumed, promised or bounded hangs on time.
var serving = []string{"front", "forward", "backend", "peer", "duty", "rollctl", "relay", "gateway", "entry", "control"}

// steadyTime is what tells the steady time, which stands still while the machine is suspended.
var steadyTime = []string{"time.Now()", "time.Since(", "time.Until(", "context.WithDeadline(", "context.WithDeadlineCause("}

// steadyUses are what may go by it: deadlines of connections and contexts, which run on that
// clock, and dates.
var steadyUses = []string{"Deadline(time.Now()", "time.Now().Unix(),", "time.Until(end)"}

// TestServingAsksTheClock finds places that ask Go for the time.
func TestServingAsksTheClock(t *testing.T) {
	is := is.New(t)
	for _, name := range serving {
		files, err := filepath.Glob(filepath.Join("..", name, "*.go"))
		is.NoErr(err)
		is.True(len(files) > 0)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			is.NoErr(err)
			for line := range bytes.Lines(text) {
				if slices.ContainsFunc(steadyUses, func(use string) bool { return bytes.Contains(line, []byte(use)) }) {
					continue
				}
				for _, asks := range steadyTime {
					if bytes.Contains(line, []byte(asks)) {
						t.Errorf("%s asks for the steady time: %s", file, bytes.TrimSpace(line))
					}
				}
			}
		}
	}
}

// Before, with time.Now, a reading took 111 ns; by boot time it takes 311 ns.
func BenchmarkNow(b *testing.B) {
	c := clock.New(clock.System{})
	for b.Loop() {
		_ = c.Now()
	}
}
