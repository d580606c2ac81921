package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/topology"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func TestTable(t *testing.T) {
	is := is.New(t)
	table := NewTable(3)
	until := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	table.Put(Record{"a", "svc", "v1", until(10)})
	table.Put(Record{"a", "svc", "v2", until(12)}) // a stream does not change its version
	r, ok := table.Get("a", until(11))
	is.True(ok)
	is.Equal(r, Record{"a", "svc", "v1", until(12)})
	_, ok = table.Get("a", until(12))
	is.True(!ok) // can no longer be resumed
	table.Put(Record{"b", "svc", "v2", until(20)})
	table.Put(Record{"c", "svc", "v2", until(20)})
	table.Put(Record{"d", "svc", "v2", until(20)})
	is.Equal(table.Len(), 3)
	_, ok = table.Get("a", start)
	is.True(!ok) // dropped as the oldest
	table.Drop("b")
	is.Equal(len(table.All(start)), 2)
	table.Expire(until(20))
	is.Equal(table.Len(), 0)
}

// fleet returns instances that are spread over halls.
func fleet(instances, halls int) []topology.Member {
	var out []topology.Member
	for i := range instances {
		out = append(out, topology.Member{Name: fmt.Sprint("n", i), Hall: fmt.Sprint("h", i%halls)})
	}
	return out
}

func TestHoldersAreSpreadOverHalls(t *testing.T) {
	for _, test := range []struct{ instances, halls, want, wantHalls int }{
		{1, 1, 1, 1}, {2, 1, 2, 1}, {9, 1, 3, 1}, {9, 2, 3, 2}, {9, 4, 3, 3}, {330, 5, 3, 3},
	} {
		is := is.New(t)
		all := fleet(test.instances, test.halls)
		held := make(map[string]int)
		for i := range 300 {
			stream := fmt.Sprint("stream", i)
			holders := Holders(stream, all)
			is.Equal(len(holders), test.want)
			halls := make(map[string]bool)
			for _, m := range holders {
				halls[m.Hall] = true
				held[m.Name]++
			}
			is.Equal(len(halls), test.wantHalls)
			reversed := slices.Clone(all)
			slices.Reverse(reversed)
			is.Equal(Holders(stream, reversed), holders) // the same at instances that list the fleet in another order
		}
	}
}

func TestTheLossOfAnInstanceLeavesTheOtherHolders(t *testing.T) {
	is := is.New(t)
	all := fleet(24, 4)
	for i := range 200 {
		stream := fmt.Sprint("stream", i)
		before := Holders(stream, all)
		left := slices.DeleteFunc(slices.Clone(all), func(m topology.Member) bool { return m.Name == before[0].Name })
		after := Holders(stream, left)
		is.True(slices.Contains(after, before[1]))
		is.True(slices.Contains(after, before[2]))
	}
}

// observation is an input of Versions at a time.
type observation struct {
	at      int                 // seconds
	serving map[string][]string // versions by service; nil for none
	restore Recorded            // recorded versions that are read then; nil for none
	gap     bool                // the list of endpoints is out of date until then
}

func TestVersionsThatMayHaveBegunAStream(t *testing.T) {
	const life = 10
	one := map[string][]string{"svc": {"v1"}}
	two := map[string][]string{"svc": {"v1", "v2"}}
	other := map[string][]string{"svc": {"v2"}}
	for _, test := range []struct {
		name     string
		inputs   []observation
		at       int
		versions []string
		complete bool
	}{
		{"nothing observed yet", nil, 0, nil, false},
		{"an instance that has started knows only what serves now", []observation{{at: 0, serving: one}}, 9, []string{"v1"}, false},
		{"after the longest life of a stream it knows all", []observation{{at: 0, serving: one}}, 10, []string{"v1"}, true},
		{"earlier instances recorded the same version", []observation{{at: 0, restore: Recorded{"svc": {"v1"}}}, {at: 0, serving: one}}, 1, []string{"v1"}, true},
		{"earlier instances recorded a version that has ended", []observation{{at: 0, serving: other}, {at: 1, restore: Recorded{"svc": {"v1"}}}}, 2, []string{"v1", "v2"}, true},
		{"it counts no longer than a stream lives", []observation{{at: 0, serving: other}, {at: 1, restore: Recorded{"svc": {"v1"}}}}, 10, []string{"v2"}, true},
		{"a second version", []observation{{at: 0, serving: one}, {at: 20, serving: two}}, 20, []string{"v1", "v2"}, true},
		{"a version that ended less than a life ago", []observation{{at: 0, serving: two}, {at: 20, serving: other}}, 29, []string{"v1", "v2"}, true},
		{"a version that ended longer ago", []observation{{at: 0, serving: two}, {at: 20, serving: other}}, 30, []string{"v2"}, true},
		{"a version that came back", []observation{{at: 0, serving: two}, {at: 20, serving: other}, {at: 40, serving: two}}, 60, []string{"v1", "v2"}, true},
		{"versions may have been missed", []observation{{at: 0, serving: one}, {at: 30, gap: true}}, 39, []string{"v1"}, false},
		{"not any more", []observation{{at: 0, serving: one}, {at: 30, gap: true}}, 40, []string{"v1"}, true},
		{"all endpoints gone", []observation{{at: 0, serving: one}, {at: 20, serving: map[string][]string{}}}, 25, []string{"v1"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			v := NewVersions(life * time.Second)
			for _, o := range test.inputs {
				now := start.Add(time.Duration(o.at) * time.Second)
				if o.serving != nil {
					v.Observe(o.serving, now)
				}
				if o.restore != nil {
					v.Restore(o.restore)
				}
				if o.gap {
					v.Interrupt(now)
				}
			}
			versions, complete := v.Candidates("svc", start.Add(time.Duration(test.at)*time.Second))
			is.Equal(versions, test.versions)
			is.Equal(complete, test.complete)
		})
	}
}

func TestObserveReportsServicesThatGetASecondVersion(t *testing.T) {
	is := is.New(t)
	v := NewVersions(10 * time.Second)
	is.Equal(len(v.Observe(map[string][]string{"a": {"v1"}, "b": {"v1"}}, start)), 0)
	is.Equal(v.Observe(map[string][]string{"a": {"v1", "v2"}, "b": {"v1"}}, start.Add(time.Second)), []string{"a"})
	is.Equal(len(v.Observe(map[string][]string{"a": {"v1", "v2"}, "b": {"v1"}}, start.Add(2*time.Second))), 0)
	is.Equal(v.Observe(map[string][]string{"a": {"v1", "v2"}, "b": {"v2"}}, start.Add(3*time.Second)), []string{"b"}) // one replaces the other
}

func TestRecordChangesWithTheVersions(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v := NewVersions(10 * time.Second)
	_, changed := v.Record(at(0))
	is.True(!changed) // nothing observed
	v.Observe(map[string][]string{"svc": {"v1"}}, at(0))
	_, changed = v.Record(at(0))
	is.True(!changed) // other versions may have begun streams before
	v.NoRecord()
	r, changed := v.Record(at(0))
	is.True(changed)
	is.Equal(r, Recorded{"svc": {"v1"}})
	v.Restore(r)
	_, changed = v.Record(at(5))
	is.True(!changed)
	v.Observe(map[string][]string{"svc": {"v2"}}, at(6))
	r, changed = v.Record(at(6))
	is.True(changed)
	is.Equal(r, Recorded{"svc": {"v1", "v2"}})
	v.Restore(r)
	_, changed = v.Record(at(15))
	is.True(!changed) // a stream that began at v1 may still be resumed
	r, changed = v.Record(at(16))
	is.True(changed)
	is.Equal(r, Recorded{"svc": {"v2"}})
	v.Restore(r)
	v.RecordLost()
	_, changed = v.Record(at(17))
	is.True(changed) // it is written again after a restore of the store
}

// A version that another instance recorded must not be dropped by a leader that never observed it.
func TestAVersionThatOnlyOthersObservedStaysRecordedForTheLifeOfAStream(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v := NewVersions(10 * time.Second)
	v.Observe(map[string][]string{"svc": {"v1"}}, at(0))
	v.Restore(Recorded{"svc": {"v1"}})
	r, since := v.Unrecorded(at(20))
	is.Equal(r, Recorded{"svc": {"v1"}})
	is.True(since.IsZero())
	v.Restore(Recorded{"svc": {"v1", "v2"}})
	_, changed := v.Record(at(20))
	is.True(!changed)
	_, changed = v.Record(at(29))
	is.True(!changed)
	r, changed = v.Record(at(30))
	is.True(changed)
	is.Equal(r, Recorded{"svc": {"v1"}})
}

func TestUnrecordedVersionsAreKnownSinceTheyWereFirstMissed(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v := NewVersions(10 * time.Second)
	v.Observe(map[string][]string{"svc": {"v1"}}, at(0))
	_, since := v.Unrecorded(at(1))
	is.True(since.IsZero()) // what is recorded is not known
	v.Restore(Recorded{"svc": {"v1"}, "gone": {"v7"}})
	v.Observe(map[string][]string{"svc": {"v1", "v2"}}, at(20))
	v.Unrecorded(at(20))
	r, since := v.Unrecorded(at(22))
	is.Equal(r, Recorded{"svc": {"v1", "v2"}, "gone": {"v7"}})
	is.Equal(since, at(20))
	v.Restore(r)
	_, since = v.Unrecorded(at(23))
	is.True(since.IsZero())
}
