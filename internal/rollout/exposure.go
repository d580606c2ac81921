package rollout

import "math/rand/v2"

// Bound limits how many requests of a service may reach a version that turns out to be bad.
type Bound struct {
	Share float64 // of all requests that reach the service
	Slack float64 // number of requests on top of the share, over all instances
}

// exposureMargin is the part of the allowed share that a trial uses. The rest covers requests that
// an instance sent but does not know to have arrived, and requests that arrived just before the
// order.
const exposureMargin = 0.8

// TrialShare returns the share of the requests that the version on trial gets.
func (b Bound) TrialShare() float64 { return exposureMargin * b.Share }

// Exposure limits the requests that one instance sends to the version on trial. It counts only that
// instance's own requests. If each instance keeps to a share of its own requests, all together keep
// to that share of all, whatever the instances know of each other.
type Exposure struct {
	bound  Bound
	credit float64 // requests that may be sent before the share allows them, less than 1
	all    int     // requests that reached the service
	trial  int     // requests sent to the version on trial
}

// NewExposure returns the exposure, without any requests, of one of a number of instances. It has a
// random credit, so that the first requests reach the version on trial at once, instead of after
// each of many instances has served a dozen; the credits of all instances add up to half of the
// slack on average. An instance that started after the order (startedBefore is false) has no
// credit, because it may have used it before a restart.
func NewExposure(b Bound, instances int, startedBefore bool, random *rand.Rand) Exposure {
	e := Exposure{bound: b}
	if startedBefore {
		e.credit = random.Float64() * min(1, b.Slack/float64(max(1, instances)))
	}
	return e
}

// Allowed reports whether one more request may go to the version on trial.
func (e *Exposure) Allowed() bool {
	return float64(e.trial+1) <= e.bound.TrialShare()*float64(e.all)+e.credit
}

// CountArrival counts a request that reached an endpoint of either version.
func (e *Exposure) CountArrival() { e.all++ }

// CountTrial counts a request that is about to be sent to the version on trial.
func (e *Exposure) CountTrial() { e.trial++ }
