package rollout

import (
	"math"
	"slices"
)

// Parameters of the verdict. TestFalseVerdicts bounds the rate of false verdicts.
const (
	// badThreshold is the sum of log-likelihood ratios from which a version is bad. With a higher
	// threshold fewer good versions are found bad, but a bad one gets more requests until it is.
	badThreshold = 4.0
	// goodShareFactor is the multiple of the old version's share of bad requests that is still good.
	// It allows for the variance of shares of a few hundred requests.
	goodShareFactor = 1.5
	// baselineDecay is the part of the old version's counts that is kept from one evaluation to the
	// next. At one evaluation in 0.3 s the baseline covers some 3 s, so that both versions are
	// compared over the same time.
	baselineDecay = 0.9
)

// indicator is a share of bad requests by which the versions are compared.
type indicator struct {
	total, bad   Counter
	minGoodShare float64 // a share up to this is good whatever the old version's is
	badMargin    float64 // difference between the share of a bad version and a good one
}

var indicators = []indicator{
	{Ended, Failed, 0.02, 0.10},
	{Started, SlowStart, 0.10, 0.25},
	{Ended, SlowStream, 0.10, 0.25},
}

// Verdict is the result of comparing the version on trial with the old one.
type Verdict struct {
	Bad       bool
	Doubtful  bool    // the evidence is at least a third of badThreshold
	Started   int64   // requests of the version on trial counted as Started
	Ended     int64   // requests of the version on trial counted as Ended
	Failures  int64   // of these, that failed
	Evidence  float64 // highest evidence over all indicators and routes; the version is bad from badThreshold on
	Indicator string  // indicator with the highest evidence, and the route unless it is over all routes
}

// cell identifies a cumulative sum.
type cell struct {
	route     string // "" for all routes together
	indicator int    // index in indicators
	bucket    uint8  // group of endpoints
}

// baselineKey identifies a baseline.
type baselineKey struct {
	route     string // "" for all routes together
	indicator int    // index in indicators
}

// baseline is the old version's recent counts of one indicator, decayed over time.
type baseline struct{ total, bad float64 }

// goodShare returns the largest share of bad requests at which a version is good.
func (b baseline) goodShare(ind indicator) float64 {
	// The added half of a bad request in ten keeps the share of few requests from being near 0.
	return min(0.9, max(ind.minGoodShare, goodShareFactor*(b.bad+0.5)/(b.total+10)))
}

// Judge compares the two versions of one roll-out, evaluation by evaluation. For each indicator,
// route and group of endpoints it keeps a cumulative sum of log-likelihood ratios that never falls
// below zero (CUSUM). A version that turns bad after a while is then found as soon as one that is
// bad from the start.
type Judge struct {
	last      Counts
	baselines map[baselineKey]baseline
	sums      map[cell]float64
	frozen    bool // the baselines stay as they are
}

// NewJudge returns a judge without any counts.
func NewJudge() *Judge {
	return &Judge{last: make(Counts), baselines: make(map[baselineKey]baseline), sums: make(map[cell]float64)}
}

// FreezeBaseline keeps the baselines as they are from now on, because the old version gets no more
// new requests.
func (j *Judge) FreezeBaseline() { j.frozen = true }

// Evaluate takes the totals of all instances for one order and returns the verdict. A total that
// fell, as when an instance that counted is gone, is ignored until it exceeds its highest value.
func (j *Judge) Evaluate(total Counts) Verdict {
	increments := make(map[Key]float64, len(total))
	for key, n := range total {
		if d := n - j.last[key]; d > 0 {
			increments[key] = float64(d)
		}
		j.last[key] = max(n, j.last[key])
	}
	if !j.frozen {
		j.updateBaseline(increments)
	}
	j.updateSums(increments)
	return j.verdict(total)
}

// updateBaseline decays the baselines and adds the old version's counts since the last evaluation.
func (j *Judge) updateBaseline(increments map[Key]float64) {
	for key, b := range j.baselines {
		j.baselines[key] = baseline{baselineDecay * b.total, baselineDecay * b.bad}
	}
	for key, n := range increments {
		if key.Trial {
			continue
		}
		for i, ind := range indicators {
			for _, route := range []string{"", key.Route} {
				b := j.baselines[baselineKey{route, i}]
				switch key.Counter {
				case ind.total:
					b.total += n
				case ind.bad:
					b.bad += n
				}
				j.baselines[baselineKey{route, i}] = b
			}
		}
	}
}

// updateSums adds the log-likelihood ratios of the trial version's counts since the last evaluation
// to the cumulative sums.
func (j *Judge) updateSums(increments map[Key]float64) {
	type shareCounts struct{ total, bad float64 }
	cells := make(map[cell]shareCounts)
	for key, n := range increments {
		if !key.Trial {
			continue
		}
		for i, ind := range indicators {
			for _, route := range []string{"", key.Route} {
				c := cells[cell{route, i, key.Bucket}]
				switch key.Counter {
				case ind.total:
					c.total += n
				case ind.bad:
					c.bad += n
				}
				cells[cell{route, i, key.Bucket}] = c
			}
		}
	}
	for c, x := range cells {
		ind := indicators[c.indicator]
		good := j.baselines[baselineKey{c.route, c.indicator}].goodShare(ind)
		bad := min(0.95, good+ind.badMargin)
		rest := max(0, x.total-x.bad)
		ratio := x.bad*math.Log(bad/good) + rest*math.Log((1-bad)/(1-good))
		j.sums[c] = max(0, j.sums[c]+ratio)
	}
}

// verdict returns the verdict. The evidence of an indicator is its sum over the half of the groups
// of endpoints with the lowest sums. So faulty endpoints in up to half of the groups do not make a
// good version bad.
func (j *Judge) verdict(total Counts) Verdict {
	var v Verdict
	for key, n := range total {
		if key.Trial {
			switch key.Counter {
			case Started:
				v.Started += n
			case Ended:
				v.Ended += n
			case Failed:
				v.Failures += n
			}
		}
	}
	groups := make(map[baselineKey][]float64)
	for c, sum := range j.sums {
		key := baselineKey{c.route, c.indicator}
		groups[key] = append(groups[key], sum)
	}
	for key, sums := range groups {
		slices.Sort(sums)
		half := (len(sums) + 1) / 2
		evidence := 0.0
		for _, sum := range sums[:half] {
			evidence += sum
		}
		if evidence > v.Evidence {
			v.Evidence, v.Indicator = evidence, indicatorNames[key.indicator]
			if key.route != "" {
				v.Indicator += " on " + key.route
			}
		}
	}
	v.Bad, v.Doubtful = v.Evidence >= badThreshold, v.Evidence >= badThreshold/3
	return v
}

// indicatorNames are the names of indicators, in the same order.
var indicatorNames = []string{"failures", "late first events", "slow streams"}
