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
	slackKept = 0.25 // of the slack: what all nodes may have saved of their requests at the most
)

// Budget is one node's budget for one service.
type Budget struct {
	level float64
	at    time.Time
}

// most returns what a node may save up.
func (t Terms) most(nodes int) float64 { return slackUsed * t.Slack / float64(max(1, nodes)) }

// cap returns what a node may have altogether: its part of the slack, and what its
// requests brought, which must not add up to much over many nodes.
func (t Terms) cap(nodes int) float64 {
	return t.most(nodes) + min(t.Ratio, slackKept*t.Slack/float64(max(1, nodes)))
}

func (b *Budget) fill(t Terms, nodes int, now time.Time) {
	most := t.most(nodes)
	if b.at.IsZero() {
		b.level = most
	} else {
		b.level += most * float64(now.Sub(b.at)) / float64(max(t.Window, time.Second))
	}
	b.level = min(b.level, t.cap(nodes))
	b.at = now
}

// Sent takes note of a request's first try.
func (b *Budget) Sent(t Terms, nodes int, now time.Time) {
	b.fill(t, nodes, now)
	b.level = min(b.level+ratioUsed*t.Ratio, t.cap(nodes))
}

// Take asks for a second try. draw is a random number from 0 to 1: a node of a large
// fleet never has a whole try, and may go into debt as often as it has a part of one.
// With 295 nodes none of the failures of an endpoint was tried again before.
func (b *Budget) Take(t Terms, nodes int, draw float64, now time.Time) bool {
	b.fill(t, nodes, now)
	if b.level <= draw {
		return false
	}
	b.level--
	return true
}
