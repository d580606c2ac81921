// Package pace estimates how long the model endpoints of a service take until the first event of a
// response, from measured requests.
//
// That time has a constant part, a part proportional to the number of prompt tokens to be processed
// (prefill), and, as attention relates each token to all before it, a part that grows with the
// square of the length. An Estimator keeps a moving average of the measured times for each range of
// prompt lengths and fits the three coefficients to them.
//
// The package is pure; an Estimator must not be used concurrently.
package pace

import (
	"math"
	"math/bits"
	"time"
)

// Model is the latency model of a service's endpoints. Times are in nanoseconds.
type Model struct {
	Base  float64 // constant part
	Token float64 // per token to be processed
	Pair  float64 // per pair of tokens of one prompt
}

// PrefillTime returns how long an endpoint is busy processing the given number of tokens.
func (m Model) PrefillTime(tokens int) time.Duration {
	x := float64(tokens)
	return time.Duration(m.Token*x + m.Pair*x*x)
}

// FirstEventTime returns the time to the first event of a request alone at an endpoint.
func (m Model) FirstEventTime(tokens int) time.Duration {
	return time.Duration(m.Base) + m.PrefillTime(tokens)
}

// Prior is the model used before any measurement. Endpoints differ by a factor of ten, from 5 to 50
// microseconds per token; Prior is the geometric mean.
var Prior = Model{Base: 15 * float64(time.Millisecond), Token: 16 * float64(time.Microsecond)}

// Parameters of an Estimator.
const (
	numRanges   = 18                    // number of ranges of lengths, each twice as long as the one before
	maxCount    = 48                    // measurements of a range that are averaged over; older ones fade
	clipHigh    = 1.5                   // a measurement counts as no more than this multiple of the expected time, as the request may have waited for work that this instance does not know of,
	clipLow     = 3.0                   // and as no less than the expected time divided by this
	minTime     = 50 * time.Microsecond // lower bound of a measurement, faster than any real response,
	maxTime     = 10 * time.Minute      // and upper bound, longer than any client waits: they limit the weight of one measurement
	minForModel = 6                     // measurements after which the model gives the expected time
	minForRange = 4                     // measurements of a range after which its own average gives the expected time
	priorWeight = 0.25                  // weight of the prior at each of its lengths, in measurements
)

// priorLengths are the prompt lengths at which the prior counts as measured: short, typical and
// long.
var priorLengths = []int{100, 3000, 30_000}

type rangeStats struct {
	count  float64
	tokens float64 // mean
	took   float64 // nanoseconds, mean with outliers clipped
}

// Estimator estimates a Model from measurements.
type Estimator struct {
	byRange [numRanges]rangeStats
	count   float64
	model   Model
	fitted  bool // model is up to date
}

// Observe adds a measurement of a request that found almost no other prompt tokens queued at its
// endpoint: the number of tokens to be processed and the time to the first event.
func (l *Estimator) Observe(tokens int, took time.Duration) {
	if tokens < 0 || took <= 0 {
		return
	}
	s := &l.byRange[min(bits.Len(uint(tokens)), numRanges-1)]
	t := float64(took)
	if l.count >= minForModel {
		expected := float64(l.Model().FirstEventTime(tokens))
		if s.count >= minForRange {
			expected = s.took * max(1, float64(tokens)/max(1, s.tokens))
		}
		t = min(max(t, expected/clipLow), expected*clipHigh)
	}
	t = min(max(t, float64(minTime)), float64(maxTime))
	s.count = min(s.count+1, maxCount)
	s.tokens += (float64(tokens) - s.tokens) / s.count
	s.took += (t - s.took) / s.count
	l.count = min(l.count+1, maxCount*numRanges)
	l.fitted = false
}

// Weight returns the number of measurements that the model is based on.
func (l *Estimator) Weight() float64 { return l.count }

// Model returns the estimated model.
func (l *Estimator) Model() Model {
	if !l.fitted {
		l.model, l.fitted = l.fit(), true
	}
	return l.model
}

// fit computes the three coefficients by least squares of the relative errors. If one of them would
// be negative, it fits a model without the quadratic part, and if need be only the part per token.
func (l *Estimator) fit() Model {
	var s sums
	for _, tokens := range priorLengths {
		s.add(priorWeight, float64(tokens), float64(Prior.FirstEventTime(tokens)))
	}
	for _, r := range l.byRange {
		if r.count > 0 {
			s.add(r.count, r.tokens, r.took)
		}
	}
	for _, terms := range []int{3, 2} {
		if x, ok := s.solve(terms); ok && x[0] >= 0 && x[1] > 0 && x[2] >= 0 {
			return Model{Base: x[0], Token: x[1] * perToken, Pair: x[2] * perToken * perToken}
		}
	}
	// Only short prompts, or mostly noise: attribute all time to the tokens.
	return Model{Token: s.right[1] / s.left[1][1] * perToken}
}

// perToken scales lengths so that the equations are well-conditioned.
const perToken = 1e-3

// sums holds the normal equations of the fit.
type sums struct {
	left  [3][3]float64
	right [3]float64
}

func (s *sums) add(count, tokens, took float64) {
	x := tokens * perToken
	w := count / (took * took)
	terms := [3]float64{1, x, x * x}
	for i := range terms {
		for j := range terms {
			s.left[i][j] += w * terms[i] * terms[j]
		}
		s.right[i] += w * terms[i] * took
	}
}

// solve solves the equations for the first coefficients, as many as terms, by Gaussian elimination.
func (s *sums) solve(terms int) (x [3]float64, ok bool) {
	a, b := s.left, s.right
	for i := range terms {
		if a[i][i] <= 0 {
			return x, false
		}
		for j := i + 1; j < terms; j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < terms; k++ {
				a[j][k] -= f * a[i][k]
			}
			b[j] -= f * b[i]
		}
	}
	for i := terms - 1; i >= 0; i-- {
		x[i] = b[i]
		for k := i + 1; k < terms; k++ {
			x[i] -= a[i][k] * x[k]
		}
		x[i] /= a[i][i]
		if math.IsNaN(x[i]) || math.IsInf(x[i], 0) {
			return x, false
		}
	}
	return x, true
}

// WeightedModel is a model with the number of measurements that it is based on.
type WeightedModel struct {
	Model  Model
	Weight float64
}

// Mean returns the weighted mean of models, or the prior if the weights are zero.
func Mean(models []WeightedModel) Model {
	var sum Model
	total := 0.0
	for _, o := range models {
		sum.Base += o.Weight * o.Model.Base
		sum.Token += o.Weight * o.Model.Token
		sum.Pair += o.Weight * o.Model.Pair
		total += o.Weight
	}
	if total <= 0 {
		return Prior
	}
	return Model{Base: sum.Base / total, Token: sum.Token / total, Pair: sum.Pair / total}
}

// Merge returns the weighted mean of models with the sum of their weights.
func Merge(models ...WeightedModel) WeightedModel {
	merged := WeightedModel{Model: Mean(models)}
	for _, o := range models {
		merged.Weight += o.Weight
	}
	return merged
}
