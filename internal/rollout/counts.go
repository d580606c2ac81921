package rollout

import (
	"math/bits"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// What is counted of the requests of a roll-out.
type What uint8

// The counts. A request that is answered at once begins and ends at the same moment.
const (
	Begun  What = iota // first events and answers
	Late               // of these, that took several times as long as the old version's usually do
	Ended              // requests that came to an end
	Failed             // of these, that the endpoint failed or broke off
	Paced              // of these, whose events came several times as slowly as usual
)

// Buckets is the number of groups that the endpoints on trial are counted in. One sick
// endpoint shows in one group, a bad version in all.
const Buckets = 8

// Key names a count.
type Key struct {
	Service string
	Order   store.Revision // of the order
	Route   string
	Trial   bool  // of the version on trial, else of the old one
	Bucket  uint8 // of the endpoint; 0 for the old version
	What    What
}

// Counts are running totals since the order.
type Counts = tally.Counts[Key, int64]

// Outcome is how one request went at its endpoint.
type Outcome struct {
	Route    string
	Size     int           // prompt tokens; 0 where that does not matter
	First    time.Duration // from sending to the first event or the answer; until it ended if none came
	Began    bool          // a first event or answer came
	Judged   bool          // it ended by the endpoint's doing, or the time it had
	Failed   bool
	PerEvent time.Duration // between two events on the mean; 0 if there were too few
}

// What counts as slow.
const (
	// slowTimes is how many times the usual time counts as slow. A bad version is
	// several times as slow; an endpoint that is merely full takes up to twice.
	slowTimes = 2.5
	// leastSeen is how many times the old version's time has to be known for until
	// others are compared with it.
	leastSeen = 8
	// medianStep is the step by which the median moves with each time, as a share.
	medianStep = 0.04
)

// median follows the median of times by small steps.
type median struct {
	value float64
	seen  int
}

func (m *median) add(x time.Duration) {
	m.seen++
	if m.value == 0 {
		m.value = float64(x)
		return
	}
	step := max(medianStep, 1/float64(1+m.seen))
	if float64(x) > m.value {
		m.value *= 1 + step
	} else {
		m.value /= 1 + step
	}
}

func (m *median) slow(x time.Duration) bool {
	return m.seen >= leastSeen && float64(x) > slowTimes*m.value
}

type timeKey struct {
	route string
	size  int  // power of two of the prompt
	pace  bool // between events
}

// Timing learns how long an instance's requests usually take at one service, by route
// and length of the prompt.
type Timing struct{ medians map[timeKey]*median }

// NewTiming returns a timing that has seen nothing.
func NewTiming() *Timing { return &Timing{medians: make(map[timeKey]*median)} }

func (t *Timing) of(o Outcome, pace bool) *median {
	key := timeKey{route: o.Route, pace: pace}
	if !pace {
		key.size = bits.Len(uint(o.Size))
	}
	m := t.medians[key]
	if m == nil {
		m = &median{}
		t.medians[key] = m
	}
	return m
}

// Learn takes an outcome at an endpoint of the version in use.
func (t *Timing) Learn(o Outcome) {
	if o.Began && !o.Failed {
		t.of(o, false).add(o.First)
	}
	if o.PerEvent > 0 {
		t.of(o, true).add(o.PerEvent)
	}
}

// Began counts the first event or the answer of a request, or that none came for long.
func (t *Timing) Began(c Counts, k Key, o Outcome) {
	slow := t.of(o, false).slow(o.First)
	if !o.Began && !slow {
		return // it ended before that could be known
	}
	count(c, k, Begun, true)
	count(c, k, Late, slow)
}

// Ended counts the end of a request.
func (t *Timing) Ended(c Counts, k Key, o Outcome) {
	if !o.Judged {
		return
	}
	count(c, k, Ended, true)
	count(c, k, Failed, o.Failed)
	count(c, k, Paced, o.PerEvent > 0 && t.of(o, true).slow(o.PerEvent))
}

func count(c Counts, k Key, what What, happened bool) {
	if happened {
		k.What = what
		c[k]++
	}
}
