// Package retry holds the budget of second tries over all nodes together.
//
// Each node spends its own part: a share of the requests that it sent, and its
// part of the slack that all nodes have. So the sum holds without a message,
// as long as each node knows about how many nodes there are.
//
// The package is pure; a Budget belongs to one goroutine at a time.
package retry

import "time"

// Terms are what all nodes together may spend in a window.
type Terms struct {
	Ratio  float64       // second tries for each request
	Slack  float64       // second tries beside
	Window time.Duration // of the slack
}

// Parts of the terms that are used; the rest covers nodes that come and go.
const (
	ratioUsed = 0.75
	slackUsed = 0.35 // at once, and once more over a window
)

// Budget is one node's budget for one service.
type Budget struct {
	level float64
	at    time.Time
}

// most returns what a node may save up.
func (t Terms) most(nodes int) float64 { return slackUsed * t.Slack / float64(max(1, nodes)) }

func (b *Budget) fill(t Terms, nodes int, now time.Time) {
	most := t.most(nodes)
	if b.at.IsZero() {
		b.level = most
	} else {
		b.level += most * float64(now.Sub(b.at)) / float64(max(t.Window, time.Second))
	}
	b.level = min(b.level, most+t.Ratio)
	b.at = now
}

// Sent takes note of a request's first try.
func (b *Budget) Sent(t Terms, nodes int, now time.Time) {
	b.fill(t, nodes, now)
	b.level = min(b.level+ratioUsed*t.Ratio, t.most(nodes)+1)
}

// Take asks for a second try.
func (b *Budget) Take(t Terms, nodes int, now time.Time) bool {
	b.fill(t, nodes, now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
