package tally

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	reporter   = Reporter[string, int64]
	aggregator = Aggregator[string, int64]
	counts     = Counts[string, int64]
)

func hub(i int) Source { return Source{Instance: fmt.Sprint("hub", i), Incarnation: 1} }

// exchange reports the totals of an instance to a hub. The call or its answer may be lost.
func exchange(l *reporter, self, to Source, p *aggregator, total counts, callLost, answerLost bool) {
	report := l.TotalsFor(to, maps.Clone(total))
	if callLost {
		return
	}
	p.Apply(self, report)
	if !answerLost {
		l.Acknowledge(to, report)
	}
}

// Whatever messages are lost, and whichever hubs an instance reports to: after one more successful
// report to each of them, each count is in the sum once.
func TestEachCountIsSummedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hubs, instances = 3, 4
		var aggregators []*aggregator
		for range hubs {
			aggregators = append(aggregators, NewAggregator[string, int64]())
		}
		totals, reporters := make([]counts, instances), make([]*reporter, instances)
		for i := range instances {
			totals[i], reporters[i] = make(counts), NewReporter[string, int64]()
		}
		self := func(i int) Source { return Source{Instance: fmt.Sprint("i", i), Incarnation: 1} }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, h := rapid.IntRange(0, instances-1).Draw(t, "instance"), rapid.IntRange(0, hubs-1).Draw(t, "hub")
			totals[i][rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")] += rapid.Int64Range(-2, 9).Draw(t, "more")
			exchange(reporters[i], self(i), hub(h), aggregators[h], totals[i], rapid.Bool().Draw(t, "call lost"), rapid.Bool().Draw(t, "answer lost"))
		}
		for i := range instances {
			for h := range hubs {
				exchange(reporters[i], self(i), hub(h), aggregators[h], totals[i], false, false)
			}
		}
		for _, key := range []string{"a", "b"} {
			var want, got int64
			for i := range instances {
				want += totals[i][key]
			}
			for _, p := range aggregators {
				got += p.Sum()[key]
			}
			if want != got {
				t.Fatalf("%s: counted %d, summed %d", key, want, got)
			}
		}
	})
}

// Until an instance has reported to each hub again, a count may be in the sum twice, but none is missing
// while the hubs are alive.
func TestNoCountIsMissing(t *testing.T) {
	is := is.New(t)
	l, first, second := NewReporter[string, int64](), NewAggregator[string, int64](), NewAggregator[string, int64]()
	self := Source{"i", 1}
	exchange(l, self, hub(0), first, counts{"a": 5}, false, true) // received, but not acknowledged
	exchange(l, self, hub(1), second, counts{"a": 7}, false, false)
	is.Equal(first.Sum()["a"]+second.Sum()["a"], int64(12))
	exchange(l, self, hub(0), first, counts{"a": 8}, false, false)
	is.Equal(first.Sum()["a"]+second.Sum()["a"], int64(8))
}

// A restarted instance counts from zero; its earlier counts stay in the sum.
func TestARestartedInstance(t *testing.T) {
	is := is.New(t)
	p := NewAggregator[string, int64]()
	p.Apply(Source{"i", 1}, counts{"a": 5})
	p.Apply(Source{"i", 2}, counts{"a": 1})
	is.Equal(p.Sum()["a"], int64(6))
}

func TestKeysThatAreDropped(t *testing.T) {
	is := is.New(t)
	old := func(key string) bool { return key == "old" }
	l, p := NewReporter[string, int64](), NewAggregator[string, int64]()
	exchange(l, Source{"i", 1}, hub(0), p, counts{"old": 5, "new": 1}, false, false)
	l.DropKeys(old)
	p.DropKeys(old)
	is.Equal(p.Sum(), counts{"new": 1})
	is.Equal(l.Acknowledged(hub(0)), counts{"new": 1})
}
