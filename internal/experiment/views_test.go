package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/relay"
)

// cutOff parts an instance from all others, or joins it to them again.
func (c *chaos) cutOff(entry int, cut bool) {
	for i := range c.spec.Entries {
		if i != entry {
			c.mem.Cut(c.spec.Entry(chaosBase, entry).Name, c.spec.Entry(chaosBase, i).Name, cut)
		}
	}
}

// An instance that reaches the platform but no other instance does not write the first
// view: the others could never agree on one without it, since it might have claims.
func TestAnInstanceThatReachesNobodyWritesNoFirstView(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		c := newChaos(t, "voltra", 1, relay.Switches{})
		defer c.e.Stop()
		c.cutOff(0, true)
		time.Sleep(readyWait)
		for i := 1; i < c.spec.Entries; i++ {
			v := c.e.Entry(i).Snapshot().View
			is.True(v != nil)                           // the others agree on a view
			is.Equal(len(v.Members), c.spec.Entries-1)  // which has all of them
			is.True(c.e.Entry(i).Relay().KeeperReady()) // and they know their claims
		}
		c.cutOff(0, false)
		is.NoErr(c.e.WaitView())
	})
}
