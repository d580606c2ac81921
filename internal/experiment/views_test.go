package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/relay"
)

// isolate cuts the network between an entry instance and all others, or restores
// it if cut is false.
func (c *chaos) isolate(entry int, cut bool) {
	for i := range c.spec.Entries {
		if i != entry {
			c.mem.Cut(c.spec.EntrySettings(chaosBasePort, entry).Name, c.spec.EntrySettings(chaosBasePort, i).Name, cut)
		}
	}
}

// An instance that reaches the platform but no other instance must not write the
// first view. If it did, the others could never agree on a view without it, since
// it might hold claims.
func TestIsolatedInstanceWritesNoFirstView(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		is := is.New(t)
		c := newChaos(t, "voltra", 1, relay.Switches{})
		defer c.embedded.Stop()
		c.isolate(0, true)
		time.Sleep(readyTimeout)
		for i := 1; i < c.spec.Entries; i++ {
			v := c.embedded.Entry(i).Snapshot().View
			is.True(v != nil)                                   // the other instances agree on a view
			is.Equal(len(v.Members), c.spec.Entries-1)          // all of them are members
			is.True(c.embedded.Entry(i).Relay().ReplicaReady()) // and their claims are loaded
		}
		c.isolate(0, false)
		is.NoErr(c.embedded.WaitView())
	})
}
