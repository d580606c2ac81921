package front

import (
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

// newLimits returns the rate limits of endpoints, which this instance shares with its peers.
func newLimits(n *Node) *ratelimit.Table {
	return ratelimit.New(ratelimit.Options{
		Self:      n.Settings.Name,
		Instances: func() []string { return lo.Map(n.state.members.list(), func(m member, _ int) string { return m.Name }) },
		TimeOfDay: n.walltime.At,
		Changed:   n.rateLimitChanged,
	})
}

func (n *Node) rateLimitChanged(endpoint string, c ratelimit.Change) {
	n.event(event.ServerRateLimit, zap.String("server", endpoint), zap.Float64("from", c.From.Rate), zap.Float64("to", c.To.Rate),
		zap.Bool("limited", c.To.Kind == ratelimit.Named), zap.Bool("by_peer", !c.Own))
}
