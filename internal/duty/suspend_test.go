package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// Guards against orders of an old leader that reach the platform after orders of the next one. It
// happens when the leader is suspended for longer than its lease and another instance becomes the
// leader, if the first counts its deadline by Go's monotonic clock, which stops during a suspension:
// it then goes on under the old fence until its next renewal, up to 2.25 s later.
func TestALeaderThatWasSuspendedIsSilent(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second, 20 * time.Second} {
		virtual.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := storetest.New()
			host := clocktest.New()
			a := startWithClock(s, "a", 1, clock.New(host))
			time.Sleep(time.Second)
			b := start(s, "b", 2)
			defer func() { // also let pending waits and calls end
				a.stop()
				b.stop()
				time.Sleep(testTTL)
			}()
			for range 2 { // a may or may not be the leader again before the second suspension
				host.Suspend()
				s.SetFaults("a", storetest.Faults{Frozen: true})
				time.Sleep(d)
				host.Resume()
				s.SetFaults("a", storetest.Faults{})
				var last store.Revision // fence of the last order
				for range 500 {
					for _, c := range []*contender{b, a} {
						token, _, ok := c.elector.Token(c.elector.Clock.Now())
						if ok && token.Fence < last {
							t.Fatalf("suspended for %s: an order with fence %d after one with %d", d, token.Fence, last)
						}
						if ok {
							last = token.Fence
						}
					}
					time.Sleep(10 * time.Millisecond)
				}
				is.True(last > 0) // one of them acts
			}
		})
	}
}
