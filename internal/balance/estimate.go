package balance

import "github.com/shelfcrank/shelfcrank/internal/pace"

// Estimate is what an instance learned of a service's model endpoints.
type Estimate struct {
	Pace pace.Opinion
	Risk float64 // that streams pause for too long beside a long prompt, 0 to 1
}

// Estimates are those of all services, by name.
type Estimates map[string]Estimate

// estimator is what is learned of a service here, and what all instances make of it.
type estimator struct {
	reading pace.Learner
	pauses  holdRisk
	pace    pace.Model // of all instances
	risk    float64    // of all instances
	adopted bool       // pace and risk come from another tracker of this instance
}

func newEstimator() estimator { return estimator{pauses: newHoldRisk()} }

// holdRisk learns how far long prompts have to be kept apart from streams. There
// are endpoints that read a prompt in pieces so small that no stream is held up,
// and others at which it stands still: only what streams show tells which. What
// makes streams late with and without a long prompt beside them is no reason.
type holdRisk struct {
	beside share // of streams that were late, of those with a long prompt beside them
	apart  share // and of the others
}

// Terms of the risk. It is assumed in full if one in ten streams more is late
// beside long prompts, which is what keeping them apart costs about.
const (
	fullRisk  = 0.1
	firstRisk = 0.3 // before anything was seen
	riskSeen  = 100 // streams that count; older ones fade
)

func newHoldRisk() holdRisk { return holdRisk{beside: firstRisk * fullRisk} }

// share is a fading share of events.
type share float64

func (s *share) note(yes bool) {
	x := 0.0
	if yes {
		x = 1
	}
	*s += share((x - float64(*s)) / riskSeen)
}

func (r *holdRisk) note(late, beside bool) {
	if beside {
		r.beside.note(late)
	} else {
		r.apart.note(late)
	}
}

// risk returns the risk, 0 to 1.
func (r *holdRisk) risk() float64 {
	return min(1, max(0, float64(r.beside-r.apart)/fullRisk))
}

// agree works out what follows for a service from what this instance and the others
// learned.
func (t *Tracker) agree(service string) {
	s := t.services[service]
	if s.adopted {
		return
	}
	opinions := []pace.Opinion{{Model: s.reading.Model(), Weight: 1 + s.reading.Weight()}}
	if d, told := t.desk[service]; told {
		opinions = append(opinions, d.Pace)
	}
	risk, nodes := s.pauses.risk(), 1.0
	for _, r := range t.remotes {
		if l, told := r.estimates[service]; told {
			opinions = append(opinions, l.Pace)
			risk += l.Risk
			nodes++
		}
	}
	s.pace, s.risk = pace.Agreed(opinions), risk/nodes
}

// Estimates returns what this instance learned itself, as a hub too.
func (t *Tracker) Estimates() Estimates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(Estimates)
	for name, s := range t.services {
		if s.engine {
			own := pace.Opinion{Model: s.reading.Model(), Weight: s.reading.Weight()}
			out[name] = Estimate{pace.Joined(own, t.desk[name].Pace), s.pauses.risk()}
		}
	}
	return out
}

// FromDesk takes what this instance learned as a hub, from all that it placed.
func (t *Tracker) FromDesk(lessons Estimates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.desk = lessons
	for name := range lessons {
		t.service(name)
		t.agree(name)
	}
}

// Agreed returns what follows from the lessons of all instances.
func (t *Tracker) Agreed() Estimates {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(Estimates)
	for name, s := range t.services {
		out[name] = Estimate{pace.Opinion{Model: s.pace, Weight: 1}, s.risk}
	}
	return out
}

// Adopt makes this tracker go by what another tracker of the same instance learned.
func (t *Tracker) Adopt(lessons Estimates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range lessons {
		s := t.service(name)
		s.adopted, s.pace, s.risk = true, l.Pace.Model, l.Risk
	}
}
