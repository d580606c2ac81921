// Package pace learns how long the model endpoints of a service take until the
// first event of an answer, from what was observed.
//
// An endpoint needs a moment for any request, a time for each token of the prompt
// that it has to read, and, as each token is weighed against all before it, a
// time that grows with the square of the length. A Learner keeps, for ranges of
// prompt lengths, what requests took there of late, and fits these three times
// to it.
//
// The package is pure; a Learner belongs to one goroutine at a time.
package pace

import (
	"math"
	"math/bits"
	"time"
)

// Model is what is assumed of a service's endpoints. Times are in nanoseconds.
type Model struct {
	Base  float64 // of any request
	Token float64 // of each token to be read
	Pair  float64 // of each pair of tokens of one prompt
}

// Reading returns the time that an endpoint is busy reading so many tokens.
func (m Model) Reading(tokens int) time.Duration {
	x := float64(tokens)
	return time.Duration(m.Token*x + m.Pair*x*x)
}

// First returns the time to the first event of a request alone at an endpoint.
func (m Model) First(tokens int) time.Duration {
	return time.Duration(m.Base) + m.Reading(tokens)
}

// Prior is assumed before anything was observed. Endpoints differ by more than
// ten: 5 to 50 microseconds a token; this is the middle of that on a scale of
// factors.
var Prior = Model{Base: 15 * float64(time.Millisecond), Token: 16 * float64(time.Microsecond)}

// Terms of a Learner.
const (
	ranges    = 18                    // of lengths: each is twice as long as the one before it
	memory    = 48                    // observations of a range that count; older ones fade
	clipHigh  = 1.5                   // an observation counts as no more than so many times the usual: it may have waited for what is not known here,
	clipLow   = 3.0                   // and as no less than the usual divided by this
	leastTook = 50 * time.Microsecond // nothing answers sooner,
	mostTook  = 10 * time.Minute      // and no client waits longer: they bound the weight of one observation
	credible  = 6                     // observations from which the model tells what is usual,
	ownUsual  = 4                     // and those of one range from which they tell it themselves
	priorSeen = 0.25                  // observations that the prior counts for at each of its lengths
)

// priorLengths are those at which the prior counts as observed: a short, a usual
// and a long prompt.
var priorLengths = []int{100, 3000, 30_000}

type seen struct {
	count  float64
	tokens float64 // on the mean
	took   float64 // nanoseconds, on the mean without outliers
}

// Learner learns a Model.
type Learner struct {
	seen  [ranges]seen
	count float64
	model Model
	known bool // model is up to date
}

// Observe takes note of a request that found next to nothing else to be read at
// its endpoint: how many tokens had to be read, and what its first event took.
func (l *Learner) Observe(tokens int, took time.Duration) {
	if tokens < 0 || took <= 0 {
		return
	}
	s := &l.seen[min(bits.Len(uint(tokens)), ranges-1)]
	t := float64(took)
	if l.count >= credible {
		usual := float64(l.Model().First(tokens))
		if s.count >= ownUsual {
			usual = s.took * max(1, float64(tokens)/max(1, s.tokens))
		}
		t = min(max(t, usual/clipLow), usual*clipHigh)
	}
	t = min(max(t, float64(leastTook)), float64(mostTook))
	s.count = min(s.count+1, memory)
	s.tokens += (float64(tokens) - s.tokens) / s.count
	s.took += (t - s.took) / s.count
	l.count = min(l.count+1, memory*ranges)
	l.known = false
}

// Weight is how many observations the model rests on.
func (l *Learner) Weight() float64 { return l.count }

// Model returns what was learned.
func (l *Learner) Model() Model {
	if !l.known {
		l.model, l.known = l.fit(), true
	}
	return l.model
}

// fit finds the three times by least squares of relative errors. A time that
// would be negative is left out.
func (l *Learner) fit() Model {
	var s sums
	for _, tokens := range priorLengths {
		s.add(priorSeen, float64(tokens), float64(Prior.First(tokens)))
	}
	for _, r := range l.seen {
		if r.count > 0 {
			s.add(r.count, r.tokens, r.took)
		}
	}
	for _, terms := range []int{3, 2} {
		if x, ok := s.solve(terms); ok && x[0] >= 0 && x[1] > 0 && x[2] >= 0 {
			return Model{Base: x[0], Token: x[1] * perToken, Pair: x[2] * perToken * perToken}
		}
	}
	// Short prompts only, or nothing but noise: all is put down to the tokens.
	return Model{Token: s.right[1] / s.left[1][1] * perToken}
}

// perToken scales lengths, so that the equations are well-conditioned.
const perToken = 1e-3

// sums are the normal equations of the fit.
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

// solve solves the equations for the first terms by elimination.
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

// Opinion is a model and the observations that it rests on.
type Opinion struct {
	Model  Model
	Weight float64
}

// Agreed returns the mean of opinions by their weights, the prior if there are
// none.
func Agreed(opinions []Opinion) Model {
	var sum Model
	total := 0.0
	for _, o := range opinions {
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

// Joined returns one opinion in place of several.
func Joined(opinions ...Opinion) Opinion {
	joined := Opinion{Model: Agreed(opinions)}
	for _, o := range opinions {
		joined.Weight += o.Weight
	}
	return joined
}
