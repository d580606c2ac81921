package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func halls(spot, regular int) []Hall {
	var out []Hall
	for i, name := range []string{"a", "b", "c", "d"} {
		out = append(out, Hall{Name: name, Price: 1 + float64(i)/10, Spot: spot, Regular: regular})
	}
	return out
}

func sums(wants []Want) (spot, regular, most int) {
	for _, w := range wants {
		spot += w.Spot
		regular += w.Regular
		most = max(most, w.Spot)
	}
	return spot, regular, most
}

// needed is how many servers carry the work without much room.
// Where streams hold no places, the work fills servers as far as prompts do.
func needed(busy float64) int {
	return int(math.Ceil(max(busy/regularLoad, busy/fullLoad)))
}

func TestEnoughIsLeftWhenAnyHallIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		busy := rapid.Float64Range(0, 6).Draw(t, "busy")
		in := Input{Min: 1, Max: 30, SpotPrice: 0.2, Halls: halls(3, 0), Busy: busy, Known: true}
		spot, _, most := sums(New().Plan(in, time.Unix(1000, 0)))
		if float64(spot-most) < spotFactor*busy {
			t.Fatalf("%d servers, %d in one hall, for %.1f", spot, most, busy)
		}
	})
}

func TestOthersStayUntilReclaimableOnesTakeWork(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 6, SpotPrice: 0.2, Halls: halls(0, 3)}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 12)
	for i := range in.Halls {
		in.Halls[i].SpotComing = 3
	}
	_, regular, _ = sums(p.Plan(in, now.Add(time.Second)))
	is.Equal(regular, 12) // those to come take no work yet
	in.Halls = halls(6, 3)
	_, regular, _ = sums(p.Plan(in, now.Add(5*time.Second)))
	is.Equal(regular, 0)
}

func TestOthersGoOnlyWhenNeedlessForAWhile(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(4, 2), Busy: 3, Known: true}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 8)
	_, regular, _ = sums(p.Plan(in, now.Add(giveBack+time.Second)))
	is.Equal(regular, 0)
}

// A hall after the other goes and none are to be had: the plan must not give
// back what it has just ordered whenever it is time to ask again.
func TestThePlanDoesNotWaverWhileNoneAreToBeHad(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(8, 0), Busy: 8, Known: true}
	p.Plan(in, now)
	in.Halls = halls(0, 0)
	last := 0
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for _, z := range in.Halls {
			if p.MayAsk(z.Name, now) {
				p.Refused(z.Name, now)
			}
		}
		wants := p.Plan(in, now)
		_, regular, _ := sums(wants)
		is.True(regular >= last) // never given back while it is needed
		last = regular
		for i := range in.Halls {
			for _, w := range wants {
				if w.Hall == in.Halls[i].Name {
					in.Halls[i].RegularComing = w.Regular
				}
			}
		}
	}
	is.Equal(last, needed(in.Busy))
}

func TestOthersAreOrderedBeforeTheNextHallGoes(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(4, 0), Busy: 4, Known: true}
	in.Halls[0].Spot = 0
	p.Refused("a", now)
	_, regular, _ := sums(p.Plan(in, now))
	is.True(needed(in.Busy) <= 8)
	is.Equal(regular, int(math.Ceil(in.Busy/twoLossLoad))-4) // eight of twelve would be left, or four
	in.Halls[1].Spot = 0
	_, regular, _ = sums(p.Plan(in, now))
	is.True(regular >= int(math.Ceil(in.Busy/lossLoad))-4) // the hall that has most may go next
	is.Equal(regular, int(math.Ceil(in.Busy/twoLossLoad))) // or both that have any
}

// Two halls that are left go within a second, while none are to be had: the others that
// are there can carry the work then. Planned for one hall, they had 1.5 times that.
func TestTheLossOfTheLastTwoHallsIsBorne(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 56, SpotPrice: 0.18, Halls: halls(27, 0), Busy: 25, Held: 37, Known: true}
	in.Halls[0].Spot, in.Halls[1].Spot = 0, 0
	for _, h := range in.Halls {
		p.Refused(h.Name, now)
	}
	_, regular, _ := sums(p.Plan(in, now))
	is.True(in.full() <= twoLossLoad*float64(regular))
}

// Some reclaimable servers are back, though fewer than the peak of the work
// would need: as many of the others go as these make up for.
func TestOthersGoOneForOne(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(2, 4), Busy: 10, Known: true}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 16)
	_, regular, _ = sums(p.Plan(in, now.Add(giveBack+time.Second)))
	is.Equal(regular, needed(in.Busy)-8)
}

// Servers have few places and streams hold them long: the prompts alone do not
// tell how many servers are needed, and two halls may go within a second.
func TestPlacesThatStreamsHoldCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		busy := rapid.Float64Range(1, 30).Draw(t, "busy")
		held := rapid.Float64Range(0, 40).Draw(t, "held")
		in := Input{Min: 1, Max: 60, SpotPrice: 0.2, Halls: halls(40, 0), Busy: busy, Held: held, Known: true}
		wants := New().Plan(in, time.Unix(1000, 0))
		spot, _, most := sums(wants)
		slowed := held * (1 - busy/160)
		if float64(spot-2*most) < busy+slowed {
			t.Fatalf("%d servers, %d in one hall, for prompts of %.1f and places of %.1f", spot, most, busy, held)
		}
	})
}

// The node that acts for all is replaced, all nodes perhaps: the next one does
// not know the work yet and must not give back what carries it.
func TestANewPlannerGivesLittleBackAtOnce(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 60, SpotPrice: 0.2, Halls: halls(20, 0), Busy: 0.1, Known: true}
	spot, _, most := sums(p.Plan(in, now))
	is.True(spot-most >= 80*2/3)
	in.Busy = 2
	spot, _, _ = sums(p.Plan(in, now.Add(settle-time.Second)))
	is.True(spot >= 70)
	spot, _, _ = sums(p.Plan(in, now.Add(settle+time.Second)))
	is.True(spot < 20)
}

// Servers that are not reclaimable are paid for by their hall; but one hall may
// fail.
func TestOthersAreOrderedWhereTheyAreCheapest(t *testing.T) {
	is := is.New(t)
	in := Input{Min: 0, Max: 10, SpotPrice: 0.2, Halls: halls(0, 0)}
	wants := []Want{{Hall: "a"}, {Hall: "b"}, {Hall: "c"}, {Hall: "d"}} // the cheapest first
	addRegular(in, wants, 7)
	is.Equal(wants, []Want{{Hall: "a", Regular: 4}, {Hall: "b", Regular: 3}, {Hall: "c"}, {Hall: "d"}})
	in.Max = 4
	addRegular(in, wants, 4)
	is.Equal(wants[0].Regular+wants[1].Regular, 8) // as many as the operators allow
	is.Equal(wants[2].Regular, 3)
}
