package front

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// configureEngines configures the world's service as one of model engines.
func (w *testCluster) configureEngines(version int64) { w.configureEnginesFor(version, policy.Safe) }

// configureEnginesFor configures the world's service as one of model engines with a route of a kind.
func (w *testCluster) configureEnginesFor(version int64, kind policy.Kind) {
	c := policy.Config{
		Version: version, Accounts: []policy.Account{{Name: "north", Keys: []string{"k1"}, Rate: w.rate, Burst: w.burst}},
		Routes: []policy.Route{{
			Name: "safe", Host: testHost, Prefix: "/safe/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 2,
			Split: []policy.Share{{Service: "svc", Weight: 1}},
		}},
		Services: []policy.Service{{Name: "svc", Engine: &policy.Engine{Slots: 4}}},
	}
	value, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", value)
}

// askAll sends one request to each instance at the same time and returns how many succeeded.
func (w *testCluster) askAll(what string) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for name := range w.instances {
		wait.Go(func() {
			if w.ask(name, "/safe/a", "k1", what+name) == 200 {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return answered
}

// placedRequests returns how many requests the hubs count as placed and not done.
func (w *testCluster) placedRequests() (open int) {
	for _, r := range w.instances {
		open += r.instance.placer.scheduler.Open()
	}
	return open
}

// Hubs place the requests of all instances, and are notified when each ends.
func TestHubsPlaceRequests(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		w.setWorkTime(time.Second)
		time.Sleep(4 * time.Second)
		done := make(chan int)
		go func() { done <- w.askAll("a") }()
		time.Sleep(500 * time.Millisecond)
		is.Equal(w.placedRequests(), largeFleet)
		is.Equal(<-done, largeFleet)
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.placedRequests(), 0)
	})
}

// A client that disconnects while hubs are being asked must not put these hubs into backoff.
func TestAClientThatLeavesPutsNoHubIntoBackoff(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		_, followers := hubsAndFollowers(w)
		p := w.instances[followers[0]].instance.placer
		hubs := p.instance.state.members.topology()
		ctx, leave := context.WithTimeout(context.Background(), time.Millisecond)
		defer leave()
		_, _, refusal := p.offers(ctx, hubs, &balance.Request{Service: "svc", ID: "1", Engine: true}, time.Now().Add(time.Second))
		is.True(refusal == nil)
		is.Equal(len(p.availableHubs(hubs, time.Now())), len(hubs.Hubs))
	})
}

// An offer that arrives too late to be used is declined, so that the hub stops counting it.
func TestLateOffersAreDeclined(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		time.Sleep(4 * time.Second)
		hubs, _ := hubsAndFollowers(w)
		w.slowDown(hubs...)
		is.Equal(w.askAll("a"), largeFleet) // the instances choose endpoints locally
		time.Sleep(4 * slowDelay)
		is.Equal(w.placedRequests(), 0)
	})
}

// When hubs die, the other instances choose endpoints locally until there are new hubs.
func TestRequestsAreServedWhileHubsDie(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		time.Sleep(4 * time.Second)
		hubs, _ := hubsAndFollowers(w)
		w.kill(hubs...)
		for i := range 12 {
			is.Equal(w.askAll(fmt.Sprint("b", i, "-")), largeFleet-len(hubs))
			time.Sleep(time.Second)
		}
		after, _ := hubsAndFollowers(w)
		is.Equal(len(after), topology.HubsPerHall)
		is.Equal(w.placedRequests(), 0)
	})
}

// One client account sends a request to each instance of a large fleet at the same time. Each
// instance alone could admit its one request; the hubs see that together they exceed the
// limit.
func TestHubsSeeWhatSingleInstancesCannot(t *testing.T) {
	const instances, burst = 120, 40
	runCluster(t, instances, func(is *is.I, w *testCluster) {
		w.configureEngines(5)
		time.Sleep(12 * time.Second)
		answered := w.askAll("a")
		t.Logf("%d of %d answered", answered, instances)
		is.True(answered >= burst*3/4)
		is.True(answered <= 2*burst) // hubs estimate what the other hubs see
	}, withLimit(10, burst, 0))
}
