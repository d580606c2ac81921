// Package retry implements retry budgets that hold over all instances together.
//
// Each instance spends only its own part: a fraction of the requests that it sent, and its part of
// the slack of all instances. The total is kept without communication, as long as each instance
// knows roughly how many instances there are.
//
// The package is pure; a Budget must not be used concurrently.
package retry

import "time"

// Limits is the retry budget of all instances together, for any window.
type Limits struct {
	Ratio  float64       // retries per request
	Slack  float64       // further retries per window
	Window time.Duration // length of the window that the slack is for
}

// Fractions of the limits that are used. The rest allows for instances that start or stop, while
// the number of instances is not known exactly.
const (
	ratioFraction    = 0.75
	slackFraction    = 0.35 // of the slack: available at once, and once more over a window
	maxSavedFraction = 0.25 // of the slack: maximum that all instances together may accumulate from their requests
)

// Budget is the budget of one instance for one service.
type Budget struct {
	level float64
	at    time.Time
}

// slackPart returns the part of the slack that an instance may accumulate.
func (t Limits) slackPart(instances int) float64 {
	return slackFraction * t.Slack / float64(max(1, instances))
}

// maxLevel returns the maximum level of an instance: its part of the slack and what it accumulated
// from requests. The latter is limited because it adds up over many instances.
func (t Limits) maxLevel(instances int) float64 {
	return t.slackPart(instances) + min(t.Ratio, maxSavedFraction*t.Slack/float64(max(1, instances)))
}

func (b *Budget) refill(t Limits, instances int, now time.Time) {
	part := t.slackPart(instances)
	if b.at.IsZero() {
		b.level = part
	} else {
		b.level += part * float64(now.Sub(b.at)) / float64(max(t.Window, time.Second))
	}
	b.level = min(b.level, t.maxLevel(instances))
	b.at = now
}

// RecordRequest adds the share of a request's first attempt to the budget.
func (b *Budget) RecordRequest(t Limits, instances int, now time.Time) {
	b.refill(t, instances, now)
	b.level = min(b.level+ratioFraction*t.Ratio, t.maxLevel(instances))
}

// Take takes a retry from the budget and reports whether it is allowed. draw is a random number
// from 0 to 1: an instance of a large fleet never accumulates a whole retry, so it may overdraw
// its budget with a probability equal to the fraction that it has. Without this, no failed request
// was retried in a fleet of 295 instances.
func (b *Budget) Take(t Limits, instances int, draw float64, now time.Time) bool {
	b.refill(t, instances, now)
	if b.level <= draw {
		return false
	}
	b.level--
	return true
}
