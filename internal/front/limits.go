package front

import (
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// newLimits returns the table of rate limits that endpoints announce. Instances share it
// with their peers.
func newLimits(n *Instance) *ratelimit.Table {
	return ratelimit.New(ratelimit.Options{
		Self:      n.Settings.Name,
		Instances: n.otherNames,
		TimeOfDay: n.walltime.At,
		OnChange:  n.rateLimitChanged,
	})
}

// otherNames returns the names of the other instances.
func (n *Instance) otherNames() []string {
	return lo.Map(n.state.members.list(), func(m member, _ int) string { return m.Name })
}

// rateLimitChanged logs a change of an endpoint's rate limit.
func (n *Instance) rateLimitChanged(endpoint string, c ratelimit.Change) {
	n.event(event.FrontEndpointRateLimit, zap.String("server", endpoint), zap.Float64("from", c.From.Rate), zap.Float64("to", c.To.Rate),
		zap.Bool("limited", c.To.Kind == ratelimit.Limited), zap.Bool("by_peer", !c.Local))
}

// unavailable returns the ids of those endpoints to which this instance may not send now:
// endpoints that announced in their answers that they leave, that requested a backoff, or
// whose rate limit is used up. opensAt is when the first of them accepts requests again; it
// is zero if none does.
func (n *Instance) unavailable(endpoints []registry.Endpoint, now time.Time) (ids []string, opensAt time.Time) {
	ids, opensAt = n.notices.Unavailable(endpoints, now)
	exhausted := n.limits.Exhausted(now)
	if len(exhausted) == 0 {
		return ids, opensAt
	}
	for i := range endpoints {
		id := endpoints[i].ID
		if !exhausted[id] || slices.Contains(ids, id) {
			continue
		}
		ids = append(ids, id)
		if next := n.limits.NextAllowed(id, now); opensAt.IsZero() || next.Before(opensAt) {
			opensAt = next
		}
	}
	return ids, opensAt
}

// available returns those endpoints to which this instance may send now; see unavailable.
func (n *Instance) available(endpoints []registry.Endpoint, now time.Time) []registry.Endpoint {
	endpoints = n.notices.Available(endpoints, now)
	exhausted := n.limits.Exhausted(now)
	if len(exhausted) == 0 {
		return endpoints
	}
	return lo.Filter(endpoints, func(e registry.Endpoint, _ int) bool { return !exhausted[e.ID] })
}

// isAvailable reports whether this instance may send to an endpoint now; see unavailable.
func (n *Instance) isAvailable(endpoint *registry.Endpoint, now time.Time) bool {
	return n.notices.Allows(endpoint, now) == nil && n.limits.Allows(endpoint.ID, now)
}

// groupLimits returns the newest rate limits that endpoints announced to this hub or to the
// instances that report to it.
func (n *Instance) groupLimits(reports map[string]instanceReport, now time.Time) []ratelimit.Report {
	all := n.limits.Reports(now)
	for _, r := range reports {
		all = append(all, aged(r.limits, now.Sub(r.at))...)
	}
	return ratelimit.Newest(all)
}

// aged returns copies of reports with their age increased by the given time.
func aged(reports []ratelimit.Report, by time.Duration) []ratelimit.Report {
	return lo.Map(reports, func(r ratelimit.Report, _ int) ratelimit.Report {
		r.Age += by
		return r
	})
}
