package rollout

import "math/rand/v2"

// Bound is how much of a service's requests a version may get that turns out bad.
type Bound struct {
	Share float64 // of all requests that reach the service
	Slack float64 // requests beside, over all instances
}

// exposureMargin is the part of the allowed share that a trial uses. What an instance
// sent and does not know to have arrived, and requests that arrived just before the
// order, are in the rest.
const exposureMargin = 0.8

// TrialShare returns the share of the requests that a trial gets.
func (b Bound) TrialShare() float64 { return exposureMargin * b.Share }

// Exposure keeps one instance to its part of the bound. Each counts only what it sent
// itself, so that the sum over all instances keeps to the bound whatever they learn of
// each other and when: a share of each one's own requests is that share of all.
type Exposure struct {
	bound  Bound
	credit float64 // requests that may be sent before the share allows them, under 1
	all    int     // requests that reached the service
	trial  int     // requests sent to the version on trial
}

// NewExposure returns the exposure of one of so many instances that has sent nothing
// yet. The credits of all sum up to half of the slack, so that the first requests of a
// trial come at once and not when each of many instances has served a dozen. seasoned
// is false at an instance that began after the order: it may have used its credit
// before it was restarted.
func NewExposure(b Bound, instances int, seasoned bool, random *rand.Rand) Exposure {
	e := Exposure{bound: b}
	if seasoned {
		e.credit = random.Float64() * min(1, b.Slack/float64(max(1, instances)))
	}
	return e
}

// Allowed reports whether one more request may go to the version on trial.
func (e *Exposure) Allowed() bool {
	return float64(e.trial+1) <= e.bound.TrialShare()*float64(e.all)+e.credit
}

// Arrived counts a request that reached an endpoint of either version.
func (e *Exposure) Arrived() { e.all++ }

// Sent counts a request that is about to be sent to the version on trial.
func (e *Exposure) Sent() { e.trial++ }
