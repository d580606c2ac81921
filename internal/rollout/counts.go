package rollout

import (
	"math/bits"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// Counter is what is counted of the requests to a service that is rolled out.
type Counter uint8

// The counters. A request that is not answered by a stream starts and ends at the same time.
const (
	Started    Counter = iota // requests whose first event or answer came, or that ended without one after a slow time
	SlowStart                 // of these, slower than slowFactor times the old version's median
	Ended                     // requests that ended with a conclusive outcome
	Failed                    // of these, failed or cut off by the endpoint
	SlowStream                // of these, streams with events slower than slowFactor times the old version's median
)

// Buckets is the number of groups into which the endpoints of the target are divided for counting.
// A single faulty endpoint affects one group, a bad version all.
const Buckets = 8

// Key identifies a count.
type Key struct {
	Service string
	Order   store.Revision // revision of the order
	Route   string
	Trial   bool  // counted at the version on trial, else at the old one
	Bucket  uint8 // group of the endpoint; 0 for the old version
	Counter Counter
}

// Counts are running totals since the order was first seen.
type Counts = tally.Counts[Key, int64]

// Outcome is the outcome of one request at its endpoint.
type Outcome struct {
	Route         string
	PromptTokens  int           // 0 for requests without a prompt
	TimeToFirst   time.Duration // from sending the request to the first event or the answer, or to its end if none came
	Started       bool          // the first event or the answer came
	Conclusive    bool          // the endpoint answered, failed or did not answer in time; false if it refused the request or the caller gave up
	Failed        bool
	EventInterval time.Duration // mean time between two events; 0 if there were too few
}

// Parameters of the comparison with the old version's times.
const (
	// slowFactor is the multiple of the median from which a time counts as slow. A bad version is
	// several times as slow; an endpoint that is merely loaded to its limit takes up to twice as long.
	slowFactor = 2.5
	// minSamples is the number of samples from which a median is used.
	minSamples = 8
	// medianStep is the factor, less 1, by which a sample moves the median, once there are enough.
	medianStep = 0.04
)

// median estimates a running median: each sample moves the estimate by a small factor towards
// itself.
type median struct {
	value   float64 // in nanoseconds
	samples int
}

func (m *median) add(x time.Duration) {
	m.samples++
	if m.value == 0 {
		m.value = float64(x)
		return
	}
	step := max(medianStep, 1/float64(1+m.samples))
	if float64(x) > m.value {
		m.value *= 1 + step
	} else {
		m.value /= 1 + step
	}
}

// slow reports whether x is slow. Nothing is before there are minSamples samples.
func (m *median) slow(x time.Duration) bool {
	return m.samples >= minSamples && float64(x) > slowFactor*m.value
}

// medianKey identifies a median.
type medianKey struct {
	route         string
	sizeClass     int  // bit length of the number of prompt tokens; 0 for intervals
	eventInterval bool // of the intervals between events, else of the time to the first event
}

// Timing holds the median times of one instance's requests to one service, by route and size of
// the prompt.
type Timing struct{ medians map[medianKey]*median }

// NewTiming returns a timing without samples.
func NewTiming() *Timing { return &Timing{medians: make(map[medianKey]*median)} }

// medianFor returns the median that an outcome is compared with: of the intervals between events,
// or of the time to the first event.
func (t *Timing) medianFor(o Outcome, eventInterval bool) *median {
	key := medianKey{route: o.Route, eventInterval: eventInterval}
	if !eventInterval {
		key.sizeClass = bits.Len(uint(o.PromptTokens))
	}
	m := t.medians[key]
	if m == nil {
		m = &median{}
		t.medians[key] = m
	}
	return m
}

// AddBaseline adds an outcome at an endpoint of the old version to the medians.
func (t *Timing) AddBaseline(o Outcome) {
	if o.Started && !o.Failed {
		t.medianFor(o, false).add(o.TimeToFirst)
	}
	if o.EventInterval > 0 {
		t.medianFor(o, true).add(o.EventInterval)
	}
}

// CountStart counts the first event or the answer of a request, or a request that ended without one
// after a time that counts as slow.
func (t *Timing) CountStart(c Counts, k Key, o Outcome) {
	slow := t.medianFor(o, false).slow(o.TimeToFirst)
	if !o.Started && !slow {
		return // it ended too early to be counted as slow
	}
	count(c, k, Started, true)
	count(c, k, SlowStart, slow)
}

// CountEnd counts the end of a request, if its outcome is conclusive.
func (t *Timing) CountEnd(c Counts, k Key, o Outcome) {
	if !o.Conclusive {
		return
	}
	count(c, k, Ended, true)
	count(c, k, Failed, o.Failed)
	count(c, k, SlowStream, o.EventInterval > 0 && t.medianFor(o, true).slow(o.EventInterval))
}

// count adds one to a counter of k if the condition holds.
func count(c Counts, k Key, counter Counter, condition bool) {
	if condition {
		k.Counter = counter
		c[k]++
	}
}
