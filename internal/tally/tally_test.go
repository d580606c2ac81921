package tally

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type (
	ledger = Ledger[string, int64]
	pool   = Pool[string, int64]
	counts = Counts[string, int64]
)

func hub(i int) Source { return Source{Instance: fmt.Sprint("hub", i), Incarnation: 1} }

// tell tells a hub of an instance's totals; the call or its answer may be lost.
func exchange(l *ledger, self, to Source, p *pool, total counts, callLost, answerLost bool) {
	offer := l.Offer(to, maps.Clone(total))
	if callLost {
		return
	}
	p.Take(self, offer)
	if !answerLost {
		l.Confirmed(to, offer)
	}
}

// Whatever messages are lost, and whichever hubs an instance goes to: once it has
// spoken to each of them again, each count is in the sum once.
func TestEachCountIsSummedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hubs, instances = 3, 4
		var pools []*pool
		for range hubs {
			pools = append(pools, NewPool[string, int64]())
		}
		totals, ledgers := make([]counts, instances), make([]*ledger, instances)
		for i := range instances {
			totals[i], ledgers[i] = make(counts), NewLedger[string, int64]()
		}
		self := func(i int) Source { return Source{Instance: fmt.Sprint("i", i), Incarnation: 1} }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i, h := rapid.IntRange(0, instances-1).Draw(t, "instance"), rapid.IntRange(0, hubs-1).Draw(t, "hub")
			totals[i][rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")] += rapid.Int64Range(-2, 9).Draw(t, "more")
			exchange(ledgers[i], self(i), hub(h), pools[h], totals[i], rapid.Bool().Draw(t, "call lost"), rapid.Bool().Draw(t, "answer lost"))
		}
		for i := range instances {
			for h := range hubs {
				exchange(ledgers[i], self(i), hub(h), pools[h], totals[i], false, false)
			}
		}
		for _, key := range []string{"a", "b"} {
			var want, got int64
			for i := range instances {
				want += totals[i][key]
			}
			for _, p := range pools {
				got += p.Sum()[key]
			}
			if want != got {
				t.Fatalf("%s: counted %d, summed %d", key, want, got)
			}
		}
	})
}

// Until then a count may be there twice, but none is missing while the hubs live.
func TestNoCountIsMissing(t *testing.T) {
	is := is.New(t)
	l, first, second := NewLedger[string, int64](), NewPool[string, int64](), NewPool[string, int64]()
	self := Source{"i", 1}
	exchange(l, self, hub(0), first, counts{"a": 5}, false, true) // counted, but not confirmed
	exchange(l, self, hub(1), second, counts{"a": 7}, false, false)
	is.Equal(first.Sum()["a"]+second.Sum()["a"], int64(12))
	exchange(l, self, hub(0), first, counts{"a": 8}, false, false)
	is.Equal(first.Sum()["a"]+second.Sum()["a"], int64(8))
}

// A restarted instance counts from zero; what it counted before stays.
func TestARestartedInstance(t *testing.T) {
	is := is.New(t)
	p := NewPool[string, int64]()
	p.Take(Source{"i", 1}, counts{"a": 5})
	p.Take(Source{"i", 2}, counts{"a": 1})
	is.Equal(p.Sum()["a"], int64(6))
}

func TestKeysThatAreDropped(t *testing.T) {
	is := is.New(t)
	old := func(key string) bool { return key == "old" }
	l, p := NewLedger[string, int64](), NewPool[string, int64]()
	exchange(l, Source{"i", 1}, hub(0), p, counts{"old": 5, "new": 1}, false, false)
	l.Drop(old)
	p.Drop(old)
	is.Equal(p.Sum(), counts{"new": 1})
	is.Equal(l.Reported(hub(0)), counts{"new": 1})
}
