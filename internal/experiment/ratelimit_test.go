package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/relay"
)

// Endpoints that speak the system's own protocol announce a rate limit in their
// responses. This test guards against instances that together send an endpoint
// more than that.
func TestAnnouncedRateLimitsAreKept(t *testing.T) {
	is := is.New(t)
	var violations []check.Violation
	tally, _, guaranteeViolations := runDirected(t, "voltra", relay.Switches{}, func(c *chaos, ctx context.Context) {
		set, err := c.spec.StandinSettings(chaosBasePort, 1)
		is.NoErr(err)
		sleepContext(ctx, 2*time.Second)
		limited := []string{set.Engine[0].ID, set.Engine[1].ID, set.Service[0].ID}
		for i, id := range limited {
			c.embedded.World.SetRateLimit(id, 0.5+0.5*float64(i))
		}
		sleepContext(ctx, 14*time.Second)
		violations = c.embedded.World.RateLimitViolations()
		for _, id := range limited {
			c.embedded.World.ClearRateLimit(id)
		}
		sleepContext(ctx, 4*time.Second)
	})
	t.Logf("%d of %d answered", tally.Answered, tally.Sent)
	is.Equal(violations, nil)
	is.Equal(guaranteeViolations, nil)
}
