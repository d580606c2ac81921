package decay

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestASteadyRateIsFound(t *testing.T) {
	is := is.New(t)
	var r Rate
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.Add(2, time.Second, now)
	}
	is.True(math.Abs(r.At(time.Second, now)-200) < 3)
	is.True(r.At(time.Second, now.Add(10*time.Second)) < 0.1)
}
