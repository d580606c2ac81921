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

// engines makes the world's service one of model servers.
func (w *world) engines(version int64) {
	c := policy.Config{
		Version: version, Accounts: []policy.Account{{Name: "north", Keys: []string{"k1"}, Rate: w.rate, Burst: w.burst}},
		Routes: []policy.Route{{
			Name: "safe", Host: testHost, Prefix: "/safe/", Kind: policy.Safe, Timeout: 3 * time.Second, MaxAttempts: 2,
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

// askAll sends a request to each node at the same moment and returns how many
// were answered.
func (w *world) askAll(what string) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for name := range w.nodes {
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

func (w *world) placed() (open int) {
	for _, r := range w.nodes {
		open += r.node.placer.desk.Open()
	}
	return open
}

// Hubs place the requests of all nodes, and learn of the end of each.
func TestHubsPlaceRequests(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		w.engines(5)
		w.work(time.Second)
		time.Sleep(4 * time.Second)
		done := make(chan int)
		go func() { done <- w.askAll("a") }()
		time.Sleep(500 * time.Millisecond)
		is.Equal(w.placed(), large)
		is.Equal(<-done, large)
		time.Sleep(200 * time.Millisecond)
		is.Equal(w.placed(), 0)
	})
}

// A caller that leaves while hubs are asked says nothing of the hubs.
func TestACallerThatLeavesRestsNoHub(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		_, spokes := hubsOf(w)
		p := w.nodes[spokes[0]].node.placer
		hubs := p.instance.state.members.topology()
		ctx, leave := context.WithTimeout(context.Background(), time.Millisecond)
		defer leave()
		_, refusal := p.offers(ctx, hubs, &balance.Request{Service: "svc", ID: "1", Engine: true}, time.Now().Add(time.Second))
		is.True(refusal == nil)
		is.Equal(len(p.awake(hubs, time.Now())), len(hubs.Hubs))
	})
}

// An offer that comes too late to be taken does not count at its hub any more.
func TestLateOffersAreDeclined(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		w.engines(5)
		time.Sleep(4 * time.Second)
		hubs, _ := hubsOf(w)
		w.slowDown(hubs...)
		is.Equal(w.askAll("a"), large) // the instances choose by themselves
		time.Sleep(4 * slowDelay)
		is.Equal(w.placed(), 0)
	})
}

// When hubs die, the others choose by themselves until there are new ones.
func TestRequestsAreServedWhileHubsDie(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		w.engines(5)
		time.Sleep(4 * time.Second)
		hubs, _ := hubsOf(w)
		w.kill(hubs...)
		for i := range 12 {
			is.Equal(w.askAll(fmt.Sprint("b", i, "-")), large-len(hubs))
			time.Sleep(time.Second)
		}
		after, _ := hubsOf(w)
		is.Equal(len(after), topology.HubsInHall)
		is.Equal(w.placed(), 0)
	})
}

// All instances of a large fleet are asked at the same moment by one account. Each
// could admit its one request; the hubs see that the account's limit does not bear
// them all.
func TestHubsSeeWhatSingleInstancesCannot(t *testing.T) {
	const nodes, burst = 120, 40
	play(t, nodes, func(is *is.I, w *world) {
		w.engines(5)
		time.Sleep(12 * time.Second)
		answered := w.askAll("a")
		t.Logf("%d of %d answered", answered, nodes)
		is.True(answered >= burst*3/4)
		is.True(answered <= 2*burst) // hubs estimate what the others see
	}, limited(10, burst, 0))
}
