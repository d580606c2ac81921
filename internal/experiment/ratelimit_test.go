package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/relay"
)

func TestEndpointsOfTheOwnInterfaceGetNoMoreThanTheRateLimitThatTheyName(t *testing.T) {
	is := is.New(t)
	var violations []check.Violation
	tally, _, broken := directed(t, "voltra", relay.Switches{}, func(c *chaos, ctx context.Context) {
		set, err := c.spec.StandIns(chaosBase, 1)
		is.NoErr(err)
		sleepCtx(ctx, 2*time.Second)
		limited := []string{set.Engine[0].ID, set.Engine[1].ID, set.Service[0].ID}
		for i, id := range limited {
			c.e.World.SetRateLimit(id, 0.5+0.5*float64(i))
		}
		sleepCtx(ctx, 14*time.Second)
		violations = c.e.World.RateLimitViolations()
		for _, id := range limited {
			c.e.World.ClearRateLimit(id)
		}
		sleepCtx(ctx, 4*time.Second)
	})
	t.Logf("%d of %d answered", tally.Answered, tally.Sent)
	is.Equal(violations, nil)
	is.Equal(broken, nil)
}
