package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// suspendingPlacer suspends the host while an endpoint is chosen.
type suspendingPlacer struct {
	Placer
	host *clocktest.TimeSource
	d    time.Duration
}

func (s suspendingPlacer) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	s.host.Suspend()
	time.Sleep(s.d)
	s.host.Resume()
	return s.Placer.Place(ctx, endpoints, r, until, now)
}

// Endpoints got requests whose deadline had passed, with as much time left as there was before
// the host of the instance was suspended.
func TestNothingIsSentAfterItsDeadline(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		status    int
		sent      int
	}{{500 * time.Millisecond, http.StatusOK, 1}, {3 * time.Second, http.StatusServiceUnavailable, 0}} {
		virtual.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t, 0, sealed(http.StatusOK, "hi"))
			m := clocktest.New()
			w.handler.Clock = clock.New(m)
			w.handler.Placer = suspendingPlacer{w.handler.Placer, m, c.suspended}
			rec, _ := w.ask("/safe/a", "k")
			is.Equal(rec.Code, c.status)
			is.Equal(len(w.got), c.sent)
			for _, h := range w.got {
				left, err := time.ParseDuration(h.Get("Deadline") + "ms")
				is.NoErr(err)
				is.True(left <= 1500*time.Millisecond-c.suspended)
			}
			w.handler.Backends.CloseIdle()
			time.Sleep(3 * time.Second)
		})
	}
}
