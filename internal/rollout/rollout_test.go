package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shelfcrank/shelfcrank/internal/registry"

	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Whatever share of the requests each instance gets, however often instances are
// restarted and whatever they believe of the size of the fleet, all of them together
// keep to the bound.
func TestExposureOfAllInstancesKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Share: rapid.Float64Range(0.01, 0.3).Draw(t, "share"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		instances := make([]Exposure, n)
		for i := range instances {
			instances[i] = NewExposure(bound, n, true, random)
		}
		all, trial := 0, 0
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			i := random.IntN(n)
			if random.IntN(200) == 0 {
				instances[i] = NewExposure(bound, n, false, random) // restarted
			}
			e := &instances[i]
			if e.Allowed() {
				e.Sent()
				trial++
			}
			e.Arrived()
			all++
		}
		if float64(trial) > bound.Share*float64(all)+bound.Slack {
			t.Fatalf("%d of %d, allowed are %v", trial, all, bound)
		}
	})
}

func TestTheFirstRequestsOfATrialComeAtOnce(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for range 78 {
		e := NewExposure(Bound{Share: 0.1, Slack: 50}, 78, true, random)
		for range 8 {
			e.Arrived()
		}
		if e.Allowed() {
			sent++
		}
	}
	is.True(sent >= 20) // after eight requests each, of which the share alone allows none
}

func endpoints(version string, n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprint(version, "-", i), Version: version})
	}
	return out
}

func versionsOf(servers []registry.Endpoint) map[string]int {
	out := make(map[string]int)
	for _, s := range servers {
		out[s.Version]++
	}
	return out
}

func TestWhichVersionsGetRequests(t *testing.T) {
	all := append(append(endpoints("v1", 60), endpoints("v2", 60)...), endpoints("v3", 4)...)
	order := func(target string, revision store.Revision) *Order {
		return &Order{Service: "s", Target: target, Revision: revision}
	}
	for name, c := range map[string]struct {
		order       *Order
		last        *Record
		servers     []registry.Endpoint
		unproved    string
		main, trial map[string]int
	}{
		"no order":              {nil, nil, all, "", map[string]int{"v1": 60, "v2": 60, "v3": 4}, nil},
		"new version, no proof": {nil, nil, all, "v3", map[string]int{"v1": 60, "v2": 60}, nil},
		"only one, no proof":    {nil, nil, endpoints("v3", 4), "v3", map[string]int{"v3": 4}, nil},
		// As many endpoints are on trial as get the trial's share at the load of the others.
		"on trial":                      {order("v2", 5), nil, all[:120], "", map[string]int{"v1": 60}, map[string]int{"v2": 5}},
		"on trial, the old unproved":    {order("v2", 5), nil, all[:120], "v1", map[string]int{"v1": 60}, map[string]int{"v2": 5}},
		"order before its endpoints":    {order("v4", 5), nil, all[:60], "", map[string]int{"v1": 60}, nil},
		"all have it":                   {order("v1", 5), nil, all[:60], "", map[string]int{"v1": 60}, nil},
		"shift":                         {order("v2", 5), &Record{Order: 5, Target: "v2", Phase: Shift}, all[:120], "", map[string]int{"v2": 60}, nil},
		"completed":                     {order("v2", 5), &Record{Order: 5, Target: "v2", Phase: Completed}, all[:120], "", map[string]int{"v2": 60}, nil},
		"completed, all gone":           {order("v2", 5), &Record{Order: 5, Target: "v2", Phase: Completed}, all[:60], "", map[string]int{"v1": 60}, nil},
		"rolled back":                   {order("v2", 5), &Record{Order: 5, Target: "v2", Phase: RolledBack, Rejected: []string{"v2"}}, all[:120], "", map[string]int{"v1": 60}, nil},
		"another order meanwhile":       {order("v3", 7), &Record{Order: 5, Target: "v2", Phase: Trial}, all, "", map[string]int{"v1": 60}, map[string]int{"v3": 4}},
		"another order in the shift":    {order("v3", 7), &Record{Order: 5, Target: "v2", Phase: Shift}, all, "", map[string]int{"v1": 60, "v2": 60}, map[string]int{"v3": 4}},
		"back to the old one":           {order("v1", 7), &Record{Order: 5, Target: "v2", Phase: Completed}, all[:120], "", map[string]int{"v2": 60}, map[string]int{"v1": 5}},
		"once more after a roll-back":   {order("v2", 7), &Record{Order: 5, Target: "v2", Phase: RolledBack, Rejected: []string{"v2"}}, all[:120], "", map[string]int{"v1": 60}, map[string]int{"v2": 5}},
		"a record newer than the order": {order("v2", 5), &Record{Order: 7, Target: "v3", Phase: Completed}, all, "", map[string]int{"v3": 4}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _ := Current(c.order, c.last)
			arms := Divide(c.servers, r, 0.08, func(v string) bool { return v == c.unproved })
			is.Equal(versionsOf(arms.Main), c.main)
			if c.trial == nil {
				c.trial = make(map[string]int)
			}
			is.Equal(versionsOf(arms.Trial), c.trial)
		})
	}
}

func TestHowARollOutGoesOn(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	trial := Begin(Order{Service: "s", Target: "v2", Revision: 1, Window: 10 * time.Second}, nil, begin)
	shift := trial.shifted("", at(5))
	seen := func(n int64) Verdict { return Verdict{Seen: n} }
	for name, c := range map[string]struct {
		r    Record
		s    Standing
		want Phase
	}{
		"good, but early":              {trial, Standing{Now: at(4), Verdict: seen(500), Targets: 9, Others: 9}, Trial},
		"good":                         {trial, Standing{Now: at(4.6), Verdict: seen(100), Targets: 9, Others: 9}, Shift},
		"bad early":                    {trial, Standing{Now: at(1), Verdict: Verdict{Bad: true}, Targets: 9, Others: 9}, RolledBack},
		"doubtful, there is time":      {trial, Standing{Now: at(5), Verdict: Verdict{Seen: 100, Doubtful: true}, Targets: 9, Others: 9}, Trial},
		"doubtful to the end":          {trial, Standing{Now: at(7.1), Verdict: Verdict{Seen: 100, Doubtful: true}, Targets: 9, Others: 9}, RolledBack},
		"few requests, there is time":  {trial, Standing{Now: at(6), Verdict: seen(20), Targets: 9, Others: 9}, Trial},
		"few requests at the end":      {trial, Standing{Now: at(7.1), Verdict: seen(20), Targets: 9, Others: 9}, Shift},
		"hardly any, before the end":   {trial, Standing{Now: at(9), Verdict: seen(3), Targets: 9, Others: 9}, Trial},
		"nobody asked it":              {trial, Standing{Now: at(10.1), Verdict: seen(3), Targets: 9, Others: 9}, RolledBack},
		"no endpoints ever":            {trial, Standing{Now: at(10.1), Others: 9}, RolledBack},
		"all have it already":          {trial, Standing{Now: at(0.3), Targets: 9}, Completed},
		"some run on the old one":      {shift, Standing{Now: at(7), Targets: 9, Others: 9, OldOpen: 1, Following: true}, Shift},
		"just ended":                   {shift, Standing{Now: at(7), Targets: 9, Others: 9, Following: true, EmptyFor: settle / 2}, Shift},
		"not all follow":               {shift, Standing{Now: at(7), Targets: 9, Others: 9, EmptyFor: settle}, Shift},
		"nothing runs on the old one":  {shift, Standing{Now: at(7), Targets: 9, Others: 9, Following: true, EmptyFor: settle}, Completed},
		"those not heard of are given": {shift, Standing{Now: at(9.5), Targets: 9, Others: 9, EmptyFor: settle}, Completed},
		"a stream outlasts the window": {shift, Standing{Now: at(14), Targets: 9, Others: 9, OldOpen: 1, Following: true}, Shift},
		"bad in the shift":             {shift, Standing{Now: at(7), Verdict: Verdict{Bad: true}, Targets: 9, Others: 9}, RolledBack},
		"targets are gone":             {shift, Standing{Now: at(7), Others: 9, Following: true, EmptyFor: settle}, Shift},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next, changed := Next(c.r, c.s)
			is.Equal(next.Phase, c.want)
			is.Equal(changed, c.want != c.r.Phase)
		})
	}
	for _, phase := range []Phase{Completed, RolledBack} {
		r := trial
		r.Phase = phase
		_, changed := Next(r, Standing{Now: at(30), Verdict: Verdict{Bad: true}})
		is.New(t).True(!changed) // what is over stays as it is
	}
}

func TestARecordCoversItsOrderInALaterEra(t *testing.T) {
	is := is.New(t)
	at := func(era, number int64) store.Revision {
		r, err := store.NewRevision(era, number)
		is.NoErr(err)
		return r
	}
	r := Record{Service: "s", Order: at(1, 50), Target: "v2", Phase: RolledBack}
	for order, covered := range map[Order]bool{
		{Target: "v2", Revision: at(1, 50)}: true,
		{Target: "v2", Revision: at(1, 51)}: false,
		{Target: "v2", Revision: at(2, 40)}: true,
		{Target: "v3", Revision: at(2, 40)}: false,
		{Target: "v3", Revision: at(0, 90)}: true,
	} {
		is.Equal(r.Covers(order), covered)
	}
	is.True(r.After(Record{Order: at(1, 50), Phase: Shift}))
	is.True(!r.After(Record{Order: at(1, 50), Phase: Completed}))
	is.True(!r.After(Record{Order: at(2, 1), Phase: Trial}))
}
