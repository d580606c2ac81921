package balance

import "github.com/shelfcrank/shelfcrank/internal/pace"

// Estimate is what an instance has learned about a service's model endpoints.
type Estimate struct {
	Pace pace.WeightedModel
	Risk float64 // that streams pause for too long beside a long prompt, from 0 to 1
}

// Estimates holds the estimates of all services, by name.
type Estimates map[string]Estimate

// estimator holds the measurements of a service by this instance, and the estimates combined
// from those of all instances.
type estimator struct {
	prefill      pace.Estimator
	interference interferenceRisk
	pace         pace.Model // combined over all instances
	risk         float64    // combined over all instances
	adopted      bool       // pace and risk were taken over from another tracker of this instance
}

func newEstimator() estimator { return estimator{interference: newInterferenceRisk()} }

// interferenceRisk estimates how much the processing (prefill) of long prompts disturbs streams at
// the same endpoint. Some model endpoints process a prompt in chunks so small that no stream is
// delayed, at others all streams stall; only the pauses of streams show which. What delays streams
// both with and without a long prompt beside them does not count.
type interferenceRisk struct {
	beside share // share of late streams among those with a long prompt beside them
	apart  share // share of late streams among the others
}

// Parameters of the risk. It is 1 if the share of late streams is higher by one in ten beside long
// prompts, which is about what keeping the two apart costs.
const (
	fullRisk   = 0.1
	priorRisk  = 0.3 // before any stream was measured
	riskMemory = 100 // number of streams averaged over; older ones fade
)

func newInterferenceRisk() interferenceRisk { return interferenceRisk{beside: priorRisk * fullRisk} }

// share is an exponential moving average of the share of events for which something holds.
type share float64

func (s *share) add(yes bool) {
	x := 0.0
	if yes {
		x = 1
	}
	*s += share((x - float64(*s)) / riskMemory)
}

func (r *interferenceRisk) add(late, beside bool) {
	if beside {
		r.beside.add(late)
	} else {
		r.apart.add(late)
	}
}

// risk returns the risk from 0 to 1.
func (r *interferenceRisk) risk() float64 {
	return min(1, max(0, float64(r.beside-r.apart)/fullRisk))
}

// combine updates the estimates of a service from the measurements of this instance and of the
// others.
func (t *Tracker) combine(service string) {
	s := t.services[service]
	if s.adopted {
		return
	}
	models := []pace.WeightedModel{{Model: s.prefill.Model(), Weight: 1 + s.prefill.Weight()}}
	if d, reported := t.hubEstimates[service]; reported {
		models = append(models, d.Pace)
	}
	risk, instances := s.interference.risk(), 1.0
	for _, r := range t.remotes {
		if l, reported := r.estimates[service]; reported {
			models = append(models, l.Pace)
			risk += l.Risk
			instances++
		}
	}
	s.pace, s.risk = pace.Mean(models), risk/instances
}

// Estimates returns what this instance has measured itself, including what it measured as a hub.
func (t *Tracker) Estimates() Estimates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(Estimates)
	for name, s := range t.services {
		if s.engine {
			own := pace.WeightedModel{Model: s.prefill.Model(), Weight: s.prefill.Weight()}
			out[name] = Estimate{pace.Merge(own, t.hubEstimates[name].Pace), s.interference.risk()}
		}
	}
	return out
}

// SetHubEstimates sets what this instance has measured as a hub, from all requests that it placed.
func (t *Tracker) SetHubEstimates(estimates Estimates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hubEstimates = estimates
	for name := range estimates {
		t.service(name)
		t.combine(name)
	}
}

// CombinedEstimates returns the estimates combined over all instances.
func (t *Tracker) CombinedEstimates() Estimates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(Estimates)
	for name, s := range t.services {
		out[name] = Estimate{pace.WeightedModel{Model: s.pace, Weight: 1}, s.risk}
	}
	return out
}

// AdoptEstimates makes this tracker use the estimates of another tracker of the same instance in
// place of its own.
func (t *Tracker) AdoptEstimates(estimates Estimates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range estimates {
		s := t.service(name)
		s.adopted, s.pace, s.risk = true, l.Pace.Model, l.Risk
	}
}
