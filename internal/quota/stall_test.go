package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// All instances were stalled for so long that their buckets would be full, and receive the updates of
// each other only later.
func TestStalledInstancesStartWithEmptyBuckets(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 40, Burst: 80}
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Minute))
	l.SetInstances(4)
	is.True(l.Admit("north", limit, 1, now).OK)
	now = now.Add(20 * time.Second)
	l.ResetAfterStall(map[string]Limit{"north": limit}, now)
	is.True(!l.Admit("north", limit, 1, now).OK) // what the others admitted is not known here
	is.Equal(l.Admitted()["north"], 1.0)         // others count further from this total
	now = now.Add(time.Second)
	is.True(l.Admit("north", limit, 1, now).OK)
}

// An instance that was stalled applies what the others admitted meanwhile, before it detects the stall.
func TestDebtAfterAStallIsBoundByOneBurst(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 40, Burst: 80}
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Minute))
	l.SetInstances(2)
	update := func(admitted float64) Update {
		return Update{Instance: "n1", Incarnation: 1, Admitted: map[string]float64{"north": admitted}}
	}
	l.Apply(update(100), now)
	is.True(l.Admit("north", limit, 1, now).OK)
	now = now.Add(20 * time.Second)
	l.Apply(update(900), now)
	l.ResetAfterStall(map[string]Limit{"north": limit}, now)
	l.Apply(update(910), now.Add(200*time.Millisecond))
	l.Refill(map[string]Limit{"north": limit}, now.Add(time.Second))
	l.Refill(map[string]Limit{"north": limit}, now.Add(2*time.Second))
	is.True(l.Admit("north", limit, 1, now.Add(3*time.Second)).OK) // a debt of one burst is paid off in 2 s
}

// An instance that was stalled first receives totals from before the stall, of a peer that was stalled
// as well, and then the current ones.
func TestOldTotalsAfterAStallAreNoDebt(t *testing.T) {
	is := is.New(t)
	limits := map[string]Limit{"north": {Rate: 40, Burst: 80}}
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Minute))
	l.SetInstances(2)
	is.True(l.Admit("north", limits["north"], 1, now).OK)
	now = now.Add(20 * time.Second)
	l.ResetAfterStall(limits, now)
	for _, admitted := range []float64{100, 900, 910} {
		now = now.Add(300 * time.Millisecond)
		l.Refill(limits, now)
		l.Apply(Update{Instance: "n1", Incarnation: 1, Admitted: map[string]float64{"north": admitted}}, now)
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		l.Refill(limits, now)
	}
	is.True(l.Admit("north", limits["north"], 1, now).OK)
}

// Guards against admitting what waited during a stall from levels of before it, and against taking such
// levels over from others that were stalled as well.
func TestLevelsFromBeforeAStallAreNotUsed(t *testing.T) {
	is := is.New(t)
	limits := map[string]Limit{"north": {Rate: 40, Burst: 80}}
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Minute))
	l.SetInstances(4)
	l.ResetIfStalled(limits, now)
	is.True(l.Admit("north", limits["north"], 1, now).OK)
	now = now.Add(2500 * time.Millisecond)
	l.ResetIfStalled(limits, now)
	is.True(!l.Admit("north", limits["north"], 1, now).OK) // waited during the stall
	update := Update{Instance: "n1", Incarnation: 1, Age: time.Minute, WarmedUp: true, Admitted: map[string]float64{"north": 100}, Levels: map[string]float64{"north": 79}}
	l.Apply(update, now)
	is.True(!l.Admit("north", limits["north"], 1, now).OK) // the update was sent before the stall
	for range 7 {
		now = now.Add(100 * time.Millisecond)
		l.ResetIfStalled(limits, now)
		l.Refill(limits, now)
	}
	update.Levels["north"] = 30
	l.Apply(update, now)
	is.Equal(l.Levels(limits, now)["north"], 30.0) // after it
}
