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

// newLimits returns the rate limits that endpoints name, which all instances keep together.
func newLimits(r *Relay) *ratelimit.Table {
	return ratelimit.New(ratelimit.Options{
		Self:      r.Self,
		Instances: r.liveInstances,
		Changed: func(endpoint string, c ratelimit.Change) {
			r.event(event.EndpointRateLimit, zap.String("endpoint", endpoint), zap.Float64("from", c.From.Rate), zap.Float64("to", c.To.Rate),
				zap.Bool("limited", c.To.Kind == ratelimit.Named), zap.Bool("by_peer", !c.Own))
		},
	})
}

// liveInstances returns the IDs of the other instances that may send to endpoints.
func (r *Relay) liveInstances() []string {
	return lo.FilterMap(r.snap().Members, func(m member.Member, _ int) (string, bool) { return m.ID, m.State != member.Dead })
}

// Limits returns the rate limits that endpoints name.
func (r *Relay) Limits() *ratelimit.Table { return r.limits }

// expireLimits drops what is known of endpoints that are gone.
func (r *Relay) expireLimits(now time.Time) {
	s := r.snap()
	listed := make(map[string]bool)
	each := func(e *route.Endpoint) { listed[e.Key] = true }
	s.Models.Each(each)
	s.Services.Each(each)
	r.limits.Expire(func(key string) bool { return listed[key] }, now)
}
