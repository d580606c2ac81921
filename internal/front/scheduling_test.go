package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/overload"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// hubAdmission is the decision of one hub in a test, and the requests that it was asked about.
type hubAdmission struct {
	mu       sync.Mutex
	admits   bool                // guarded by mu
	retry    time.Duration       // until a refused client should return; 0 for no time; guarded by mu
	requests []overload.Request  // guarded by mu
	forecast []overload.Forecast // guarded by mu
	decided  []time.Time         // guarded by mu
}

func (a *hubAdmission) Decide(r overload.Request, f overload.Forecast, now time.Time) overload.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests, a.forecast, a.decided = append(a.requests, r), append(a.forecast, f), append(a.decided, now)
	d := overload.Decision{Admitted: a.admits, Reason: overload.NoCapacity}
	if a.retry != 0 {
		d.RetryAt = now.Add(a.retry)
	}
	return d
}

func (a *hubAdmission) Share(string, string, time.Time) overload.Share { return overload.Share{} }

func (a *hubAdmission) Declined(overload.Request, time.Time) {}

func (a *hubAdmission) asked() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

func withAdmission(w *testCluster) {
	w.endpoints = 8 // so that each hub owns some
	w.overload = settings.Overload{LoadReports: true, Admission: true}
}

const targetLatency = 400 * time.Millisecond

// configureOverload configures the service as one of model endpoints with a target latency.
func (w *testCluster) configureOverload(version int64) {
	value, err := json.Marshal(policy.Config{
		Version: version, Accounts: []policy.Account{{Name: "north", Keys: []string{"k1"}, Rate: 20, Burst: 100}},
		Routes: []policy.Route{{
			Name: "safe", Host: testHost, Prefix: "/safe/", Kind: policy.Safe, Timeout: 3 * time.Second, MaxAttempts: 2,
			TargetLatency: targetLatency, Priority: 1, Split: []policy.Share{{Service: "svc", Weight: 1}},
		}, {
			Name: "urgent", Host: testHost, Prefix: "/urgent/", Kind: policy.Safe, Timeout: 3 * time.Second, Split: []policy.Share{{Service: "svc", Weight: 1}},
		}},
		Services: []policy.Service{{Name: "svc", Engine: &policy.Engine{Slots: 4}}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", value)
}

// overloadedCluster waits until a cluster has hubs, and replaces the decision of each, in the order of
// hubsAndFollowers. Endpoints count as ones that report their slowdown if reporting is set.
func overloadedCluster(w *testCluster, reporting bool, decisions ...*hubAdmission) (hubs, followers []string) {
	w.configureOverload(5)
	time.Sleep(8 * time.Second) // the limit of the client account is new, too
	hubs, followers = hubsAndFollowers(w)
	if len(hubs) != len(decisions) {
		w.t.Fatalf("%d hubs, not %d", len(hubs), len(decisions))
	}
	for i, name := range hubs {
		n := w.instances[name].instance
		n.placer.scheduler.SetAdmission(decisions[i], n.placer.accountWeight, func(overload.Request, overload.Share, time.Time) {})
		if len(n.placer.ownEndpoints("svc")) == 0 {
			w.t.Fatalf("hub %s has no endpoints", name)
		}
	}
	if reporting {
		w.reportLoad(hubs...)
	}
	return hubs, followers
}

// reportLoad makes hubs know a load report of each endpoint.
func (w *testCluster) reportLoad(hubs ...string) {
	for _, name := range hubs {
		n := w.instances[name].instance
		endpoints := n.view.Load().Endpoints["svc"]
		for i := range endpoints {
			n.loads.Observe(&endpoints[i], loadreport.Report{Running: 4, Waiting: 2, Slots: 4, Slowdown: 1.5}, n.Clock.Now())
		}
	}
}

// askWithRetry sends a request and returns the status and the time after which the client may return.
func (w *testCluster) askWithRetry(instance, id string) (status int, retry string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addrOf(hostOf(instance), frontPort).String()+"/safe/a", strings.NewReader("body"))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k1")
	resp, err := w.client.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// A request that both hubs refuse was not run, gets the earlier of their times to return, and leaves
// nothing at the hubs or in the account. Its repetition by the client has the same fingerprint, also
// at another instance.
func TestARequestThatBothHubsRefuse(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		late, early := &hubAdmission{retry: 900 * time.Millisecond}, &hubAdmission{retry: 300 * time.Millisecond}
		_, followers := overloadedCluster(w, true, late, early)
		asked := time.Now()
		status, retry := w.askWithRetry(followers[0], "a")
		took := time.Since(asked)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(retry, "0.300") // counted from the arrival of the refusal, so that no client is early
		is.True(took < 20*time.Millisecond)
		is.Equal(w.runsOf("a"), 0)
		is.Equal(w.placedRequests(), 0)
		is.Equal(w.quotaLeft(followers[0]), 100.0) // full: at 20 a second, a unit would still be missing
		status, _ = w.askWithRetry(followers[1], "b")
		is.Equal(status, http.StatusServiceUnavailable)
		for _, hub := range []*hubAdmission{late, early} {
			is.Equal(hub.asked(), 2)
			first, second := hub.requests[0], hub.requests[1]
			is.True(first.Fingerprint != 0)
			is.Equal(first.Fingerprint, second.Fingerprint)
			is.Equal(first.Account, "north")
			is.Equal(first.Weight, 20.0)
			is.Equal(first.Priority, 1)
			// The deadline and the target count from the arrival at the instance, on the hub's clock.
			is.True(first.Target.Sub(asked) >= targetLatency && first.Target.Sub(asked) < targetLatency+10*time.Millisecond)
			is.True(first.Latest.Sub(asked) >= 3*time.Second && first.Latest.Sub(asked) < 3*time.Second+10*time.Millisecond)
			is.Equal(hub.forecast[0].Occupancy, 1.0) // from the load reports
		}
	}, withAdmission)
}

// A hub without a time to return must not hide the time that the other holds.
func TestATimeToReturnThatOneHubHolds(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		_, followers := overloadedCluster(w, true, &hubAdmission{}, &hubAdmission{retry: 700 * time.Millisecond})
		status, retry := w.askWithRetry(followers[0], "a")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(retry, "0.700")
	}, withAdmission)
}

// One hub with capacity is enough.
func TestARequestThatOneHubAdmitsIsServed(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		full, free := &hubAdmission{retry: 300 * time.Millisecond}, &hubAdmission{admits: true}
		_, followers := overloadedCluster(w, true, full, free)
		for i, name := range followers {
			is.Equal(w.ask(name, "/safe/a", "k1", name), http.StatusOK)
			is.Equal(full.asked(), i+1)
			is.Equal(free.asked(), i+1)
		}
	}, withAdmission)
}

// Hubs that do not answer in time refuse nothing: the instance chooses by itself, also while it asks
// no hub because none answered.
func TestRequestsAreServedWhileHubsThatRefuseAreSilent(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		hubs, followers := overloadedCluster(w, true, &hubAdmission{retry: time.Second}, &hubAdmission{retry: time.Second})
		w.slowDown(hubs...)
		for _, id := range []string{"a", "b", "c"} {
			is.Equal(w.ask(followers[0], "/safe/a", "k1", id), http.StatusOK)
		}
	}, withAdmission)
}

// A hub that dies takes its reservations with it. A client that returns at the time that it was given
// must not be refused because of that, before there are new hubs or after.
func TestAHubDiesBetweenARefusalAndTheReturn(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		hubs, followers := overloadedCluster(w, true, &hubAdmission{retry: 300 * time.Millisecond}, &hubAdmission{retry: 300 * time.Millisecond})
		for _, name := range followers[:2] {
			status, _ := w.askWithRetry(name, "refused "+name)
			is.Equal(status, http.StatusServiceUnavailable)
		}
		w.kill(hubs...)
		time.Sleep(300 * time.Millisecond)
		is.Equal(w.ask(followers[0], "/safe/a", "k1", "returned"), http.StatusOK)
		time.Sleep(12 * time.Second)
		is.Equal(w.ask(followers[1], "/safe/a", "k1", "returned later"), http.StatusOK)
	}, withAdmission)
}

// Where the setting is off at the instance, also if hubs would refuse, or the endpoints do not report
// their slowdown, no decision is made on a request.
func TestNothingIsRefusedWhereAdmissionIsNotInForce(t *testing.T) {
	for _, test := range []struct {
		name      string
		on        bool
		reporting bool
	}{{"the setting is off", false, true}, {"no reports", true, false}} {
		t.Run(test.name, func(t *testing.T) {
			runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
				a, b := &hubAdmission{}, &hubAdmission{}
				hubs, followers := overloadedCluster(w, test.reporting, a, b)
				for _, name := range followers {
					is.Equal(w.ask(name, "/safe/a", "k1", name), http.StatusOK)
				}
				is.Equal(a.asked()+b.asked(), 0)
				if test.on {
					w.reportLoad(hubs...)
					is.Equal(w.askAll("b"), 0) // the requests at the hubs themselves, too
				}
			}, withAdmission, func(w *testCluster) { w.overload.Admission = test.on })
		})
	}
}

// Only durations are sent: what is read on a hub must be the same time on another clock, and a time
// that is not set must not become one that has passed.
func TestSchedulingMessagesKeepTimes(t *testing.T) {
	is := is.New(t)
	here, there := time.Unix(1000, 0), time.Unix(5000, 0)
	for _, d := range []time.Duration{time.Second, -time.Second, time.Nanosecond} {
		is.Equal(timeAfter(durationUntil(here.Add(d), here), there), there.Add(d))
	}
	is.True(timeAfter(durationUntil(time.Time{}, here), there).IsZero())
	is.True(!timeAfter(durationUntil(here, here), there).IsZero())
	x := overloadError(topology.Member{Name: "h"}, &peerpb.Overload{Reason: "r", Retry: 5, First: 7, Occupancy: 0.5, Waiting: 3, ReportAge: 2, Returned: true}, here)
	is.Equal(x.RetryAt, here.Add(5))
	is.Equal(x.FirstAt, here.Add(7))
	is.Equal(x.Hub, "h")
}

// A client returns once: an earlier time at which nothing is reserved for it must not make it miss the
// reservation of the other hub.
func TestAReservedTimeIsPreferred(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(ms int, reserved bool) *forward.OverloadError {
		return &forward.OverloadError{RetryAt: now.Add(time.Duration(ms) * time.Millisecond), Reserved: reserved}
	}
	none, early, late, reserved, laterReserved := &forward.OverloadError{}, at(500, false), at(900, false), at(800, true), at(950, true)
	for _, c := range []struct{ a, b, want *forward.OverloadError }{
		{nil, none, none}, {none, early, early}, {early, none, early}, {early, late, early}, {late, early, early},
		{early, reserved, reserved}, {reserved, early, reserved}, {laterReserved, reserved, reserved},
	} {
		is.Equal(betterReturn(c.a, c.b), c.want)
	}
}
