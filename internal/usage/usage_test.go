package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWindows(t *testing.T) {
	is := is.New(t)
	const w = 5 * time.Second
	is.Equal(WindowOf(time.Unix(10, 0), w), int64(2))
	is.Equal(WindowOf(time.Unix(14, 999), w), int64(2))
	is.Equal(WindowOf(time.Unix(-1, 0), w), int64(-1))
	is.Equal(WindowEnd(2, w), time.Unix(15, 0))
}

func TestTheSumIsOverInstancesAndIncarnations(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Add(7, "a", 2)
	c.Add(7, "a", -1) // did not run after all
	c.Apply("n1", 1, map[int64]Counts{7: {"a": 3}})
	c.Apply("n1", 1, map[int64]Counts{7: {"a": 5}}) // replaces
	c.Apply("n1", 2, map[int64]Counts{7: {"b": 1}}) // restarted
	is.Equal(c.Sum(7, []string{"a", "b", "c"}), Counts{"a": 6, "b": 1, "c": 0})
	c.Expire(7 + RetainedWindows + 1)
	is.Equal(c.Sum(7, nil), Counts{})
}

func TestRecordsAreRestored(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Add(6, "a", 1)
	c.Add(7, "a", 2)
	c.Apply("n1", 5, map[int64]Counts{7: {"a": 3}})
	records := c.Records("n0", 4, 7)
	is.Equal(len(records), 2)

	restarted := New()
	restarted.Add(7, "a", 10)
	restarted.Apply("n1", 5, map[int64]Counts{7: {"a": 4}}) // reported since
	restarted.Restore(records, "n0", 9)                     // restarted
	restarted.Restore(records, "n0", 9)                     // a repetition changes nothing
	is.Equal(restarted.Sum(7, nil), Counts{"a": 10 + 2 + 4})

	running := New()
	running.Add(7, "a", 5)
	running.Restore(records, "n0", 4) // its own counts
	is.Equal(running.Sum(7, nil), Counts{"a": 5 + 3})
}
