package front

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A hall whose servers are lost is asked again at once, not only when the last
// order had time to show: it may have none to give, and then the others have to
// be ordered.
func TestLostServersAreOrderedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	const boot = 4 * time.Second
	now := time.Unix(1000, 0)
	l := ordered{count: 9, at: now, most: 6}
	is.True(!l.again(6, boot, now.Add(time.Second))) // three start
	is.True(l.again(0, boot, now.Add(time.Second)))  // all that were there are lost
	is.True(l.again(6, boot, now.Add(boot+orderAgain+time.Second)))
	l.most = 9
	is.True(!l.again(9, boot, now.Add(time.Minute)))
}
