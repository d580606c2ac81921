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

// All instances together must keep to the bound, whatever share of the requests each one gets and
// however often instances are restarted.
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
				e.CountTrial()
				trial++
			}
			e.CountArrival()
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
			e.CountArrival()
		}
		if e.Allowed() {
			sent++
		}
	}
	is.True(sent >= 20) // after eight requests each, the share without the credit allows none
}

func endpoints(version string, n int) []registry.Endpoint {
	var out []registry.Endpoint
	for i := range n {
		out = append(out, registry.Endpoint{ID: fmt.Sprint(version, "-", i), Version: version})
	}
	return out
}

func countByVersion(endpoints []registry.Endpoint) map[string]int {
	out := make(map[string]int)
	for _, e := range endpoints {
		out[e.Version]++
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
		available   []registry.Endpoint
		unconfirmed string
		main, trial map[string]int
	}{
		"no order":              {nil, nil, all, "", map[string]int{"v1": 60, "v2": 60, "v3": 4}, nil},
		"new version, no proof": {nil, nil, all, "v3", map[string]int{"v1": 60, "v2": 60}, nil},
		"only one, no proof":    {nil, nil, endpoints("v3", 4), "v3", map[string]int{"v3": 4}, nil},
		// The number of endpoints on trial is the trial's share of the others' number.
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
			arms := Divide(c.available, r, 0.08, func(v string) bool { return v == c.unconfirmed })
			is.Equal(countByVersion(arms.Main), c.main)
			if c.trial == nil {
				c.trial = make(map[string]int)
			}
			is.Equal(countByVersion(arms.Trial), c.trial)
		})
	}
}

func TestHowARollOutGoesOn(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	trial := Begin(Order{Service: "s", Target: "v2", Revision: 1, Window: 10 * time.Second}, nil, begin)
	shift := trial.shifted("", at(5))
	seen := func(n int64) Verdict { return Verdict{Started: n} }
	for name, c := range map[string]struct {
		r    Record
		s    Observation
		want Phase
	}{
		"good, but early":              {trial, Observation{Now: at(4), Verdict: seen(500), Targets: 9, Others: 9}, Trial},
		"good":                         {trial, Observation{Now: at(4.6), Verdict: seen(100), Targets: 9, Others: 9}, Shift},
		"bad early":                    {trial, Observation{Now: at(1), Verdict: Verdict{Bad: true}, Targets: 9, Others: 9}, RolledBack},
		"doubtful, there is time":      {trial, Observation{Now: at(5), Verdict: Verdict{Started: 100, Doubtful: true}, Targets: 9, Others: 9}, Trial},
		"doubtful to the end":          {trial, Observation{Now: at(7.1), Verdict: Verdict{Started: 100, Doubtful: true}, Targets: 9, Others: 9}, RolledBack},
		"few requests, there is time":  {trial, Observation{Now: at(6), Verdict: seen(20), Targets: 9, Others: 9}, Trial},
		"few requests at the end":      {trial, Observation{Now: at(7.1), Verdict: seen(20), Targets: 9, Others: 9}, Shift},
		"hardly any, before the end":   {trial, Observation{Now: at(9), Verdict: seen(3), Targets: 9, Others: 9}, Trial},
		"nobody asked it":              {trial, Observation{Now: at(10.1), Verdict: seen(3), Targets: 9, Others: 9}, RolledBack},
		"no endpoints ever":            {trial, Observation{Now: at(10.1), Others: 9}, RolledBack},
		"all have it already":          {trial, Observation{Now: at(0.3), Targets: 9}, Completed},
		"some run on the old one":      {shift, Observation{Now: at(7), Targets: 9, Others: 9, OpenOnReplaced: 1, AllFollow: true}, Shift},
		"just ended":                   {shift, Observation{Now: at(7), Targets: 9, Others: 9, AllFollow: true, DrainedFor: drainConfirm / 2}, Shift},
		"not all follow":               {shift, Observation{Now: at(7), Targets: 9, Others: 9, DrainedFor: drainConfirm}, Shift},
		"nothing runs on the old one":  {shift, Observation{Now: at(7), Targets: 9, Others: 9, AllFollow: true, DrainedFor: drainConfirm}, Completed},
		"those not heard of are given": {shift, Observation{Now: at(9.5), Targets: 9, Others: 9, DrainedFor: drainConfirm}, Completed},
		"a stream outlasts the window": {shift, Observation{Now: at(14), Targets: 9, Others: 9, OpenOnReplaced: 1, AllFollow: true}, Shift},
		"bad in the shift":             {shift, Observation{Now: at(7), Verdict: Verdict{Bad: true}, Targets: 9, Others: 9}, RolledBack},
		"targets are gone":             {shift, Observation{Now: at(7), Others: 9, AllFollow: true, DrainedFor: drainConfirm}, Shift},
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
		_, changed := Next(r, Observation{Now: at(30), Verdict: Verdict{Bad: true}})
		is.New(t).True(!changed) // a final record does not change
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
