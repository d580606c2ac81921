package balance

import (
	"math"
	"time"
)

// Parameters of the expected times of endpoints that report their slowdown.
const (
	ownHalfLife  = 2 * time.Minute // of an endpoint's own factor, which depends on its hardware
	ownWeight    = 0.02            // least weight of the newest measurement in the moving average of the own factor
	ownPrior     = 2               // measurements that the initial factor of 1 counts as
	minOwn       = 0.25            // least own factor,
	maxOwn       = 4               // and largest, also of one measurement: requests wait for work that is not known here
	factorWeight = 0.02            // weight of the newest request in the moving average of the factors of a service
	minReported  = 0.1             // a reported slowdown counts as no less than this,
	maxReported  = 20              // and as no more than this: a faulty report must not make a cost infinite
)

// ownFactor is the ratio of the time that an endpoint takes for its work to that expected, with the
// slowdown that the endpoint reported divided out. It tends to 1 while nothing is measured.
type ownFactor struct {
	took, expected float64 // moving averages, in nanoseconds
	count          float64 // measurements
	updated        time.Time
}

func (f *ownFactor) at(now time.Time) float64 {
	if f.count == 0 {
		return 1
	}
	ratio := min(max(f.took/f.expected, minOwn), maxOwn)
	return 1 + (ratio-1)*math.Exp2(-float64(now.Sub(f.updated))/float64(ownHalfLife))
}

// add adds a measurement. The factor is the ratio of two averages, not the average of ratios: the time
// of a small piece of work depends mostly on what is not known here.
func (f *ownFactor) add(took, expected float64, now time.Time) {
	if expected <= 0 {
		return
	}
	if f.count == 0 {
		f.took, f.expected = expected, expected
	}
	f.took = f.expected * f.at(now)
	f.count++
	weight := max(ownWeight, 1/(f.count+ownPrior))
	f.took += weight * (min(took, maxOwn*expected) - f.took)
	f.expected += weight * (expected - f.expected)
	f.updated = now
}

// processed estimates how many of the prompt tokens that count at the endpoint it has processed, given
// the time that it takes for one. They are at most those of one prompt of average length.
func (s *endpointState) processed(token float64, now time.Time) int {
	if s.unprocessed == 0 || token <= 0 {
		return 0
	}
	return int(min(float64(now.Sub(s.startedAt))/token, float64(s.load.Prompt)/float64(s.unprocessed)))
}

// processedFrom returns since when the endpoint has processed the request, as far as is known, and the
// slowdown that it reported then, 0 if none. Endpoints process prompts one after the other.
func (k *Ticket) processedFrom() (time.Time, float64) {
	if k.request.Engine && k.state.startedAt.After(k.at) {
		return k.state.startedAt, k.state.startSlowdown
	}
	return k.at, k.reported
}

// waitUnknown reports whether the request may wait at an endpoint for a time that is not known here:
// for prompts of other instances, or for a slot.
func (k *Ticket) waitUnknown(v *Candidate, othersPrompt int) bool {
	if k.request.Engine && float64(othersPrompt) > maxQueuedShare*float64(k.Uncached) {
		return true
	}
	slots := v.slots(k.request)
	return slots > 0 && v.Open >= slots
}

// learnOwn records how long the endpoint took for the request, given since when it has processed it and
// the slowdown that it reported then and now. It returns the factor by which a response time there is
// to be multiplied to be that of an average endpoint of the service.
func (k *Ticket) learnOwn(from time.Time, before, reported float64, now time.Time) float64 {
	if before > 0 { // it may have changed meanwhile
		reported = (reported + before) / 2
	}
	if !k.unclear {
		expected := k.expected
		if k.request.Engine {
			expected = float64(k.service.pace.PrefillTime(k.Uncached))
			if from.Equal(k.at) {
				expected = float64(k.service.pace.FirstEventTime(k.Uncached))
			}
		}
		k.state.own.add(float64(now.Sub(from))/reported, expected, now)
	}
	factor := k.state.own.at(now) * reported
	k.service.meanFactor += factorWeight * (factor - k.service.meanFactor)
	return k.service.meanFactor / factor
}

// reporting reports whether the slowdown that endpoints of a service report counts.
func (t *Tracker) reporting(service string, now time.Time) bool {
	return t.loads != nil && t.loads.Reporting(service, now)
}

// reportedFor returns the slowdown that the endpoint of a request reports if that counts, 0 otherwise.
func (t *Tracker) reportedFor(k *Ticket, now time.Time) float64 {
	if !t.reporting(k.request.Service, now) {
		return 0
	}
	return t.reportedSlowdown(k.Endpoint.ID, now)
}

// reportedSlowdown returns the slowdown that an endpoint reports, 0 if it reports none.
func (t *Tracker) reportedSlowdown(endpoint string, now time.Time) float64 {
	s := t.loads.State(endpoint, now).Slowdown
	if s <= 0 {
		return 0
	}
	return min(max(s, minReported), maxReported)
}
