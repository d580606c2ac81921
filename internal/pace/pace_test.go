package pace

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// near reports whether a is within a fraction of b.
func near(a, b time.Duration, share float64) bool {
	return math.Abs(float64(a-b)) <= share*float64(b)
}

// addMeasurements adds n measurements of endpoints with a known latency model and noise: some
// requests wait behind others, a few for much longer.
func addMeasurements(l *Estimator, truth Model, n int, r *rand.Rand) {
	for range n {
		tokens := int(math.Exp(6 + 1.2*r.NormFloat64()))
		took := float64(truth.FirstEventTime(tokens)) * (0.97 + 0.1*r.ExpFloat64())
		if r.IntN(20) == 0 {
			took *= 8
		}
		l.Observe(tokens, time.Duration(took))
	}
}

func TestAnyModelIsEstimatedFromTwoHundredRequests(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		scale := math.Exp((2*r.Float64() - 1) * math.Log(3)) // from 1/3 to 3
		truth := Model{Base: scale * 26e6, Token: scale * 10e3, Pair: scale * 0.1}
		var l Estimator
		addMeasurements(&l, truth, 200, r)
		for _, tokens := range []int{100, 500, 1500} {
			if got, want := l.Model().FirstEventTime(tokens), truth.FirstEventTime(tokens); !near(got, want, 0.35) {
				t.Errorf("seed %d, %d tokens: learned %v, is %v", seed, tokens, got, want)
			}
		}
		if got, want := l.Model().PrefillTime(3000), truth.PrefillTime(3000); !near(got, want, 0.6) {
			t.Errorf("seed %d, reading: learned %v, is %v", seed, got, want)
		}
	}
}

func TestANewModelReplacesTheOld(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 0))
	var l Estimator
	addMeasurements(&l, Model{Base: 20e6, Token: 8e3}, 2000, r)
	is.True(near(l.Model().FirstEventTime(1000), 28*time.Millisecond, 0.25))
	addMeasurements(&l, Model{Base: 40e6, Token: 24e3}, 1500, r)
	is.True(near(l.Model().FirstEventTime(1000), 64*time.Millisecond, 0.25))
}

func TestTheQuadraticPartIsEstimated(t *testing.T) {
	is := is.New(t)
	truth := Model{Base: 30e6, Token: 9e3, Pair: 0.12}
	var l Estimator
	for range 20 {
		for _, tokens := range []int{300, 900, 4000, 9000, 20_000, 40_000, 60_000} {
			l.Observe(tokens, truth.FirstEventTime(tokens))
		}
	}
	for _, tokens := range []int{500, 6000, 50_000} {
		is.True(near(l.Model().FirstEventTime(tokens), truth.FirstEventTime(tokens), 0.1))
	}
}

func TestCoefficientsAreNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Estimator
		for range rapid.IntRange(0, 60).Draw(t, "n") {
			l.Observe(rapid.IntRange(0, 200_000).Draw(t, "tokens"), time.Duration(rapid.Int64Range(-1, 20e9).Draw(t, "took")))
			m := l.Model()
			if !(m.Base >= 0 && m.Token > 0 && m.Pair >= 0) || math.IsInf(m.Token, 0) {
				t.Fatalf("%+v", m)
			}
		}
	})
}

func TestModelsCountByTheirWeights(t *testing.T) {
	is := is.New(t)
	is.Equal(Mean(nil), Prior)
	is.Equal(Mean([]WeightedModel{{Model{Base: 10, Token: 1}, 30}, {Model{Base: 50, Token: 5}, 10}}), Model{Base: 20, Token: 2})
}
