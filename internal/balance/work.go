package balance

import "time"

// Parameters of the mean response times that are passed from one tracker to another.
const (
	minWorkSamples = 60               // after which little of initialWork is left in the moving average: a twentieth
	workTTL        = 10 * time.Second // since the last response; an older mean is not passed on
)

// workEstimate is the mean response time of a plain service as this tracker measured it.
type workEstimate struct {
	mean    float64 // nanoseconds
	samples int
	at      time.Time // of the last sample
	adopted bool      // another tracker's mean is used in its place
}

// observeWork adds a response time, in nanoseconds, to the mean of a plain service.
func (s *serviceState) observeWork(took float64, now time.Time) {
	m := &s.measured
	m.mean += serviceWeight * (took - m.mean)
	m.samples++
	m.at = now
	if !m.adopted {
		s.work = m.mean
	}
}

// MeanWork returns the mean response times of the plain services, by name, that this tracker has
// measured recently.
func (t *Tracker) MeanWork(now time.Time) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]time.Duration)
	for name, s := range t.services {
		if m := &s.measured; m.samples >= minWorkSamples && now.Sub(m.at) < workTTL {
			out[name] = time.Duration(m.mean)
		}
	}
	return out
}

// AdoptWork makes this tracker use mean response times in place of its own, and its own where there
// are none. The tracker of a hub's scheduler measures from its offer to the arrival of the progress
// report, which adds the time of two messages; the instance itself measures only the endpoint. What the
// scheduler measures remains the basis of its endpoints' slowdown, which compares like with like.
func (t *Tracker) AdoptWork(means map[string]time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range means {
		t.service(name)
	}
	for name, s := range t.services {
		mean, known := means[name]
		s.measured.adopted = known
		if !known {
			s.work = s.measured.mean
			continue
		}
		s.work = float64(mean)
		if s.measured.samples == 0 {
			s.measured.mean = s.work
		}
	}
}
