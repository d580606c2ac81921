package front

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The loss of endpoints repeats the order for a hall at once, without waiting until the last
// order had time to take effect: the hall may have none left, and other halls have to replace
// them.
func TestLostEndpointsAreOrderedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	const boot = 4 * time.Second
	now := time.Unix(1000, 0)
	l := lastOrder{count: 9, sentAt: now, mostPresent: 6}
	is.True(!l.mustRepeat(6, boot, now.Add(time.Second))) // three are starting
	is.True(l.mustRepeat(0, boot, now.Add(time.Second)))  // all that were present are lost
	is.True(l.mustRepeat(6, boot, now.Add(boot+reorderDelay+time.Second)))
	l.mostPresent = 9
	is.True(!l.mustRepeat(9, boot, now.Add(time.Minute)))
}
