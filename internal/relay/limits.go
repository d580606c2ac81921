package relay

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

// newLimits returns an empty table of the rate limits that endpoints announce. A limit applies to
// the requests of all instances together.
func newLimits(r *Relay) *ratelimit.Table {
	return ratelimit.New(ratelimit.Options{
		Self:      r.Self,
		Instances: r.liveInstances,
		OnChange: func(endpoint string, c ratelimit.Change) {
			r.event(event.EndpointRateLimit, zap.String("endpoint", endpoint), zap.Float64("from", c.From.Rate), zap.Float64("to", c.To.Rate),
				zap.Bool("limited", c.To.Kind == ratelimit.Limited), zap.Bool("by_peer", !c.Local))
		},
	})
}

// liveInstances returns the IDs of the other instances that are not dead and so may send requests
// to endpoints.
func (r *Relay) liveInstances() []string {
	return lo.FilterMap(r.snapshot().Members, func(m member.Member, _ int) (string, bool) { return m.ID, m.State != member.Dead })
}

// Limits returns the rate limits that endpoints have announced.
func (r *Relay) Limits() *ratelimit.Table { return r.limits }

// expireLimits drops expired rate limits and those of endpoints that are no longer listed.
func (r *Relay) expireLimits(now time.Time) {
	s := r.snapshot()
	listed := make(map[string]bool)
	each := func(e *route.Endpoint) { listed[e.Key] = true }
	s.Models.Each(each)
	s.Services.Each(each)
	r.limits.Expire(func(key string) bool { return listed[key] }, now)
}
