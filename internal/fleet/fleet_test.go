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

func sums(targets []Target) (spot, regular, most int) {
	for _, t := range targets {
		spot += t.Spot
		regular += t.Regular
		most = max(most, t.Spot)
	}
	return spot, regular, most
}

// needed returns the number of endpoints that carry the load with little reserve. Without streams that
// hold slots, the occupancy equals the prompt load.
func needed(busy float64) int {
	return int(math.Ceil(max(busy/targetLoad, busy/targetOccupancy)))
}

func TestEnoughIsLeftWhenAnyHallIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		busy := rapid.Float64Range(0, 6).Draw(t, "busy")
		in := Input{Min: 1, Max: 30, SpotPrice: 0.2, Halls: halls(3, 0), PrefillLoad: busy, LoadKnown: true}
		spot, _, most := sums(New().Plan(in, time.Unix(1000, 0)))
		if float64(spot-most) < spotFactor*busy {
			t.Fatalf("%d endpoints, %d in one hall, for a load of %.1f", spot, most, busy)
		}
	})
}

func TestRegularEndpointsStayUntilSpotOnesAcceptRequests(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 6, SpotPrice: 0.2, Halls: halls(0, 3)}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 12)
	for i := range in.Halls {
		in.Halls[i].SpotStarting = 3
	}
	_, regular, _ = sums(p.Plan(in, now.Add(time.Second)))
	is.Equal(regular, 12) // starting ones do not accept requests yet
	in.Halls = halls(6, 3)
	_, regular, _ = sums(p.Plan(in, now.Add(5*time.Second)))
	is.Equal(regular, 0)
}

func TestRegularEndpointsAreRemovedOnlyAfterALastingSurplus(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(4, 2), PrefillLoad: 3, LoadKnown: true}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 8)
	_, regular, _ = sums(p.Plan(in, now.Add(surplusHold+time.Second)))
	is.Equal(regular, 0)
}

// All halls lose their spot endpoints and refuse new ones: the plan must not remove what it has just
// ordered each time that spot endpoints may be requested again.
func TestThePlanIsStableWhileNoSpotEndpointsAreAvailable(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(8, 0), PrefillLoad: 8, LoadKnown: true}
	p.Plan(in, now)
	in.Halls = halls(0, 0)
	last := 0
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for _, h := range in.Halls {
			if p.MayRequestSpot(h.Name, now) {
				p.SpotRefused(h.Name, now)
			}
		}
		targets := p.Plan(in, now)
		_, regular, _ := sums(targets)
		is.True(regular >= last) // never removed while needed
		last = regular
		for i := range in.Halls {
			for _, target := range targets {
				if target.Hall == in.Halls[i].Name {
					in.Halls[i].RegularStarting = target.Regular
				}
			}
		}
	}
	is.Equal(last, needed(in.PrefillLoad))
}

func TestRegularEndpointsAreOrderedBeforeTheNextHallIsLost(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(4, 0), PrefillLoad: 4, LoadKnown: true}
	in.Halls[0].Spot = 0
	p.SpotRefused("a", now)
	_, regular, _ := sums(p.Plan(in, now))
	is.True(needed(in.PrefillLoad) <= 8)
	is.Equal(regular, int(math.Ceil(in.PrefillLoad/twoLossLoad))-4) // after the loss of one or two halls, eight or four of twelve would remain
	in.Halls[1].Spot = 0
	_, regular, _ = sums(p.Plan(in, now))
	is.True(regular >= int(math.Ceil(in.PrefillLoad/oneLossLoad))-4) // any of the other halls may be lost next
	is.Equal(regular, int(math.Ceil(in.PrefillLoad/twoLossLoad)))    // or both that have endpoints
}

// The two halls that still have spot endpoints may be lost within a second while none are available.
// The regular endpoints must carry the load then; planned for the loss of one hall, they had 1.5 times
// as much to carry.
func TestRegularEndpointsCarryTheLoadAfterTheLastTwoHallsAreLost(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 56, SpotPrice: 0.18, Halls: halls(27, 0), PrefillLoad: 25, SlotLoad: 37, LoadKnown: true}
	in.Halls[0].Spot, in.Halls[1].Spot = 0, 0
	for _, h := range in.Halls {
		p.SpotRefused(h.Name, now)
	}
	_, regular, _ := sums(p.Plan(in, now))
	is.True(in.occupancy() <= twoLossLoad*float64(regular))
}

// Some spot endpoints are back, although fewer than the peak load needs: as many regular endpoints are
// removed as they replace.
func TestSpotEndpointsReplaceRegularOnesOneForOne(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 10, SpotPrice: 0.2, Halls: halls(2, 4), PrefillLoad: 10, LoadKnown: true}
	_, regular, _ := sums(p.Plan(in, now))
	is.Equal(regular, 16)
	_, regular, _ = sums(p.Plan(in, now.Add(surplusHold+time.Second)))
	is.Equal(regular, needed(in.PrefillLoad)-8)
}

// Endpoints have few slots and streams hold them for long: the prompt load alone does not determine
// how many endpoints are needed, and two halls may be lost within a second.
func TestSlotsHeldByStreamsCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		busy := rapid.Float64Range(1, 30).Draw(t, "busy")
		held := rapid.Float64Range(0, 40).Draw(t, "held")
		in := Input{Min: 1, Max: 60, SpotPrice: 0.2, Halls: halls(40, 0), PrefillLoad: busy, SlotLoad: held, LoadKnown: true}
		targets := New().Plan(in, time.Unix(1000, 0))
		spot, _, most := sums(targets)
		slowed := held * (1 - busy/160)
		if float64(spot-2*most) < busy+slowed {
			t.Fatalf("%d endpoints, %d in one hall, for a prompt load of %.1f and a slot load of %.1f", spot, most, busy, held)
		}
	})
}

// The instance that acts for all is replaced, or all instances are restarted: the new planner does not
// know the load yet and must not remove the endpoints that carry it.
func TestANewPlannerRemovesFewEndpointsAtFirst(t *testing.T) {
	is := is.New(t)
	p := New()
	now := time.Unix(1000, 0)
	in := Input{Min: 1, Max: 60, SpotPrice: 0.2, Halls: halls(20, 0), PrefillLoad: 0.1, LoadKnown: true}
	spot, _, most := sums(p.Plan(in, now))
	is.True(spot-most >= 80*2/3)
	in.PrefillLoad = 2
	spot, _, _ = sums(p.Plan(in, now.Add(startupHold-time.Second)))
	is.True(spot >= 70)
	spot, _, _ = sums(p.Plan(in, now.Add(startupHold+time.Second)))
	is.True(spot < 20)
}

// The price of regular endpoints depends on the hall, but they must not all be in one hall, which may
// fail.
func TestRegularEndpointsAreOrderedWhereTheyAreCheapest(t *testing.T) {
	is := is.New(t)
	in := Input{Min: 0, Max: 10, SpotPrice: 0.2, Halls: halls(0, 0)}
	targets := []Target{{Hall: "a"}, {Hall: "b"}, {Hall: "c"}, {Hall: "d"}} // the cheapest first
	addRegular(in, targets, 7)
	is.Equal(targets, []Target{{Hall: "a", Regular: 4}, {Hall: "b", Regular: 3}, {Hall: "c"}, {Hall: "d"}})
	in.Max = 4
	addRegular(in, targets, 4)
	is.Equal(targets[0].Regular+targets[1].Regular, 8) // limited by Input.Max
	is.Equal(targets[2].Regular, 3)
}
