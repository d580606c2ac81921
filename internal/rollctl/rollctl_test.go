package rollctl

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

var begin = time.Unix(1000, 0)

// onTrial returns a control with a service on trial, and a request to the service.
func onTrial() (*Control, *balance.Request) {
	c := New(rollout.Bound{Share: 0.1, Slack: 50}, tally.Source{Instance: "a", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)), nil)
	c.SetRollout(rollout.Record{Service: "s", Order: 5, Target: "v2", Phase: rollout.Trial}, rollout.Arms{Replaced: map[string]bool{"old": true}}, 1, true)
	return c, &balance.Request{Service: "s", Route: "r", ID: "1"}
}

// serve sends a request to an endpoint of a version, which answers it.
func serve(c *Control, r *balance.Request, version string) {
	tracker := balance.NewTracker(nil)
	k, _ := tracker.Pick([]registry.Endpoint{{ID: "e", Service: "s", Version: version}}, r, begin)
	c.Observe(k, r, begin)
	k.MarkReached()
	k.Done(balance.Answered, begin)
}

func TestATrialNeedsThePermitOfTheLeader(t *testing.T) {
	is := is.New(t)
	c, r := onTrial()
	for range 30 {
		serve(c, r, "v1")
	}
	is.True(!c.AdmitTrial(r, begin)) // no permit yet
	c.ApplyPermit(Permit{Service: "s", Order: 4, Number: 9}, begin)
	is.True(!c.AdmitTrial(r, begin)) // a permit of an earlier order
	c.ApplyPermit(Permit{Service: "s", Order: 5, Number: 1}, begin)
	is.True(c.AdmitTrial(r, begin.Add(permitTTL)))
	is.True(!c.AdmitTrial(r, begin.Add(permitTTL+1)))
	c.ApplyPermit(Permit{Service: "s", Order: 5, Number: 1}, begin.Add(time.Minute))
	is.True(!c.AdmitTrial(r, begin.Add(time.Minute))) // the same permit, forwarded late
	c.ApplyPermit(Permit{Service: "s", Order: 5, Number: 2}, begin.Add(time.Minute))
	is.True(c.AdmitTrial(r, begin.Add(time.Minute)))
	second := *r
	second.Avoid = []string{"e"}
	is.True(!c.AdmitTrial(&second, begin.Add(time.Minute)))
}

func TestATrialEndsWithItsPhase(t *testing.T) {
	is := is.New(t)
	c, r := onTrial()
	for range 30 {
		serve(c, r, "v1")
	}
	c.ApplyPermit(Permit{Service: "s", Order: 5, Number: 1}, begin)
	is.True(c.AdmitTrial(r, begin))
	c.SetRollout(rollout.Record{Service: "s", Order: 5, Target: "v2", Phase: rollout.RolledBack}, rollout.Arms{}, 1, true)
	is.True(!c.AdmitTrial(r, begin))
}

// Counts are in the total once, whether it is formed at the instance that counted, at its hub, at
// another hub, or from the sum that the hub sends back.
func TestCountsOfAllInstancesAreSummedOnce(t *testing.T) {
	is := is.New(t)
	begun := rollout.Key{Service: "s", Order: 5, Route: "r", Counter: rollout.Started}
	instance, r := onTrial()
	for range 7 {
		serve(instance, r, "v1")
	}
	hub, _ := onTrial()
	otherHub, _ := onTrial()
	hubSource, from := tally.Source{Instance: "hub", Incarnation: 1}, tally.Source{Instance: "a", Incarnation: 1}
	for range 3 { // repeated reports must not add to the sums
		offer := instance.OfferTo(hubSource)
		hub.ApplyReport(from, offer)
		instance.Confirmed(hubSource, offer)
		otherHub.ApplyCounts(AtHub, hubSource, hub.GroupCounts())
		instance.ApplyCounts(ThroughHub, tally.Source{}, hub.AllCounts())
	}
	is.Equal(hub.TotalCounts(AtHub, "s", 5)[begun], int64(7))
	is.Equal(otherHub.TotalCounts(AtHub, "s", 5)[begun], int64(7))
	is.Equal(instance.TotalCounts(ThroughHub, "s", 5)[begun], int64(7))
	is.Equal(instance.TotalCounts(AllToAll, "s", 5)[begun], int64(7))
	is.Equal(len(otherHub.TotalCounts(AtHub, "s", 6)), 0)
}

// The counts of an order must be dropped when the instance follows a later order.
func TestCountsOfAnEarlierOrderAreDropped(t *testing.T) {
	is := is.New(t)
	c, r := onTrial()
	serve(c, r, "v1")
	is.True(len(c.OwnCounts()) > 0)
	c.SetRollout(rollout.Record{Service: "s", Order: 8, Target: "v3", Phase: rollout.Trial}, rollout.Arms{}, 1, true)
	is.Equal(len(c.OwnCounts()), 0)
}
