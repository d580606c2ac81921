package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against urgent requests of an account over its share that overtake what they have already made
// late: the pressure was forgotten while the request that showed it still waited.
func TestPressureLastsWhileTheRequestThatShowedItWaits(t *testing.T) {
	is := is.New(t)
	var p pressure
	r := typical(0, start)
	r.Priority = 2
	p.note(r, busy(1500*time.Millisecond, start), start)
	is.True(p.high(1, start.Add(1400*time.Millisecond)))
	is.True(!p.high(2, start.Add(1400*time.Millisecond))) // no less urgent one waits
	is.True(!p.high(1, start.Add(1500*time.Millisecond)))
	r.Latest = start.Add(time.Second)
	p = pressure{}
	p.note(r, busy(1500*time.Millisecond, start), start)
	is.True(!p.high(1, start.Add(time.Second))) // its client has left
}
