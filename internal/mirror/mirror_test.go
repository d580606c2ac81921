package mirror

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

func TestAReaderThatIsFarBehindGetsAllItems(t *testing.T) {
	is := is.New(t)
	c := New()
	_, known := c.Since(0)
	is.True(!known)
	c.Replace([]store.Item{{Key: "a", Revision: 3}}, 5)
	for i := range minEvents + 10 {
		c.Apply([]store.Event{{Item: store.Item{Key: fmt.Sprint("k", i%7), Revision: store.Revision(6 + i)}}}, store.Revision(6+i))
	}
	change, _ := c.Since(5)
	is.True(change.Snapshot)
	is.Equal(len(change.Events), 8) // a and k0 to k6
	change, _ = c.Since(change.At)
	is.True(!change.Snapshot)
	is.Equal(len(change.Events), 0)
}

// A reader that alternates between two replicas which lag behind the store by different amounts
// ends with the items of the store once a replica has caught up.
func TestReadersOfSeveralCopiesSeeTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := make(map[string]store.Revision)
		var log []store.Event
		rev := store.Revision(0)
		replicas := []*Replica{New(), New()}
		position := []int{0, 0} // of each replica in the log
		for _, c := range replicas {
			c.Replace(nil, 0)
		}
		seen, after := make(map[string]store.Revision), store.Revision(0)
		read := func(c *Replica) {
			change, _ := c.Since(after)
			if change.Snapshot {
				clear(seen)
			}
			for _, e := range change.Events {
				if e.Deleted {
					delete(seen, e.Key)
				} else {
					seen[e.Key] = e.Revision
				}
			}
			after = change.At
		}
		catchUp := func(i int) {
			replicas[i].Apply(log[position[i]:], rev)
			position[i] = len(log)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				rev++
				e := store.Event{Item: store.Item{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Revision: rev}, Deleted: rapid.Bool().Draw(t, "gone")}
				log = append(log, e)
				if e.Deleted {
					delete(stored, e.Key)
				} else {
					stored[e.Key] = rev
				}
			case 2:
				catchUp(rapid.IntRange(0, 1).Draw(t, "replica"))
			case 3:
				read(replicas[rapid.IntRange(0, 1).Draw(t, "replica")])
			}
		}
		catchUp(0)
		read(replicas[0])
		if !maps.Equal(seen, stored) {
			t.Fatalf("seen %v, the store has %v", seen, stored)
		}
	})
}
