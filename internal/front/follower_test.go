package front

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// largeFleet is the size of a fleet that has hubs.
const largeFleet = topology.SmallFleet + 6

func hubsAndFollowers(w *testCluster) (hubs, followers []string) {
	for i := range w.starts {
		name := fmt.Sprint("n", i)
		switch r := w.instances[name]; {
		case r == nil:
		case r.instance.reading.Load():
			hubs = append(hubs, name)
		default:
			followers = append(followers, name)
		}
	}
	return hubs, followers
}

// The platform charges for each call of the store. In a large fleet the number of calls must not
// grow with the product of instances and changes.
func TestALargeFleetReadsTheStoreThroughHubs(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(5 * time.Second)
		hubs, _ := hubsAndFollowers(w)
		is.Equal(len(hubs), topology.HubsPerHall)
		before := w.store.Calls()
		for i := range 20 {
			w.putEndpoint(10+i, true)
			time.Sleep(500 * time.Millisecond)
		}
		calls := w.store.Calls() - before
		// In ten seconds each instance renews its lease five times; the leader renews its own
		// and stores counts, with a generous allowance; the hubs poll the configuration and watch.
		const allowed = largeFleet*5 + 100 + topology.HubsPerHall*(10+20+3*5)
		t.Logf("%d calls, %d allowed", calls, allowed)
		is.True(calls <= allowed)
	})
}

func TestAConfigurationReachesFollowersSoon(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.configure(4, "k2", "k3")
		time.Sleep(1200 * time.Millisecond)
		for name := range w.instances {
			is.Equal(w.ask(name, "/new/a", "k3", "d"+name), 200)
			is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
		}
	})
}

// Followers leave a hub that the store refuses or that dies, and changes read by the other hubs
// are in force within the bounds.
func TestAHubWithoutTheStoreIsLeft(t *testing.T) {
	for _, killed := range []bool{false, true} {
		runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			hubs, followers := hubsAndFollowers(w)
			if killed {
				w.kill(hubs[0])
			} else {
				w.store.SetFaults(hubs[0], storetest.Faults{Refuse: true})
			}
			w.configure(4, "k2")
			w.putEndpoint(0, true)
			time.Sleep(2900 * time.Millisecond)
			for _, name := range followers {
				is.True(w.ready(name))
				is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
				is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
			}
			is.True(time.Since(w.lastRequestAt(endpointID(0))) > 2900*time.Millisecond)
		})
	}
}

// The store refuses all hubs and serves the other instances, which then read it themselves.
func TestAllHubsWithoutTheStore(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		hubs, followers := hubsAndFollowers(w)
		for _, name := range hubs {
			w.store.SetFaults(name, storetest.Faults{Refuse: true})
		}
		w.configure(4, "k2")
		time.Sleep(5 * time.Second)
		for _, name := range followers {
			is.True(w.ready(name))
			is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
			is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
		}
		for _, name := range hubs {
			is.Equal(w.ask(name, "/safe/a", "k1", "f"+name), 503) // the key may be revoked
		}
	})
}

// After an outage of the store all instances are ready within seconds, without a burst of store
// calls.
func TestALargeFleetAfterAnOutage(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.store.SetFaults("", storetest.Faults{Refuse: true})
		before := w.store.Calls()
		time.Sleep(5 * time.Second)
		down := w.store.Calls() - before
		w.store.SetFaults("", storetest.Faults{})
		w.configure(4, "k2")
		before = w.store.Calls()
		time.Sleep(1800 * time.Millisecond)
		back := w.store.Calls() - before
		t.Logf("%d calls while it was down, %d after", down, back)
		is.True(down < largeFleet*12)
		is.True(back < largeFleet*5)
		for name := range w.instances {
			is.True(w.ready(name))
			is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
		}
	})
}

// newLargeFleetInstance returns an instance that is not running, with 111 other members.
func newLargeFleetInstance(is *is.I, now time.Time) *Instance { return newFleetInstance(is, 111, now) }

// newFleetInstance returns an instance that is not running, with the given number of other members.
func newFleetInstance(is *is.I, others int, now time.Time) *Instance {
	n, err := New(Options{Settings: settings.Front{Name: "self"}, Decoder: testPlatform{}, Protocol: testPlatform{}, Log: zap.NewNop()})
	is.NoErr(err)
	m := n.state.members
	for i := range others {
		value, err := json.Marshal(registration{Addr: addrOf(i, 8002)})
		is.NoErr(err)
		m.applyEvents([]store.Event{store.Event{Item: store.Item{Key: fmt.Sprint(m.prefix(), "n", i), Value: value}}}, now)
	}
	return n
}

// The store refuses an instance until its registration expires, while the others still receive its
// updates. It must stay a member although the instances of a large fleet exchange rarely.
func TestAnInstanceWithoutTheStoreStaysAMember(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := newLargeFleetInstance(is, now)
	m := n.state.members
	m.markSeen("n7", now)
	m.applyEvents([]store.Event{store.Event{Item: store.Item{Key: m.prefix() + "n7"}, Deleted: true}}, now)
	m.expire(now.Add(n.shareInterval() + time.Second))
	is.Equal(len(m.list()), 111)
	m.expire(now.Add(n.memberTTL() - time.Millisecond))
	is.Equal(len(m.list()), 111)
	m.expire(now.Add(n.memberTTL()))
	is.Equal(len(m.list()), 110)
}

// After a kill of all instances, quotas stay restrictive until the instances know of each other.
// The first exchanges of an instance must therefore follow each other quickly.
func TestANewInstanceExchangesWithTheOthersSoon(t *testing.T) {
	is := is.New(t)
	n := newLargeFleetInstance(is, time.Now())
	now := n.start
	rounds := 0
	for now.Sub(n.start) < 2*time.Second {
		now = now.Add(n.sharePause(now))
		rounds++
	}
	is.True(rounds >= 4)
	// Each round costs the other instances work: a start may take at most two rounds more than
	// the usual interval does.
	is.True(rounds <= 2+int(2*time.Second/n.shareInterval()))
	is.Equal(n.sharePause(now.Add(time.Minute)), n.shareInterval())
}

// All instances of a large fleet start at the same moment, and again after all were killed. Data
// that only hubs need must not be read by all.
func TestALargeFleetStartsWithFewCalls(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(3 * time.Second)
		first := w.store.Calls()
		w.kill(runningNames(w)...)
		before := w.store.Calls()
		for i := range largeFleet {
			w.start(fmt.Sprint("n", i))
		}
		time.Sleep(4 * time.Second)
		again := w.store.Calls() - before
		// An instance registers with two calls, lists the others once or twice, and renews
		// its lease twice; hubs and the leader make more calls.
		const allowed = largeFleet*6 + topology.HubsPerHall*40
		t.Logf("%d calls at the first start, %d at the second, %d allowed", first, again, allowed)
		is.True(first <= allowed)
		is.True(again <= allowed)
	})
}

// The store refuses all readers and serves the other instances. A few of these must stand in for
// the readers, instead of each reading for itself.
func TestFewStandInForTheReaders(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		readers, followers := hubsAndFollowers(w)
		refuse := func(f storetest.Faults) {
			for _, name := range readers {
				w.store.SetFaults(name, f)
			}
		}
		refuse(storetest.Faults{Refuse: true})
		before := w.store.Calls()
		for i := range 6 {
			time.Sleep(time.Second)
			w.putEndpoint(10+i, true)
			for _, name := range followers {
				is.True(w.ready(name))
			}
		}
		now, _ := hubsAndFollowers(w)
		calls := w.store.Calls() - before
		t.Logf("%d calls, %d instances read", calls, len(now))
		is.True(len(now) <= 2*len(readers))
		// In six seconds each instance renews its lease twice, and those that read the store
		// or try to make about 25 calls each.
		is.True(calls <= largeFleet*2+4*30+30)
		refuse(storetest.Faults{})
		time.Sleep(minDirectReading + readerRetryInterval + 3*time.Second)
		now, _ = hubsAndFollowers(w)
		is.Equal(now, readers) // the readers have taken over again
	})
}

// While the store is down for all, the readers detect when it is back, and the other instances make
// few calls of their own.
func TestFewInstancesCallTheStoreDuringAnOutage(t *testing.T) {
	const nodes, length = 4 * largeFleet, 5 * time.Second
	runCluster(t, nodes, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.store.SetFaults("", storetest.Faults{Refuse: true})
		before := w.store.Calls()
		time.Sleep(length)
		calls := w.store.Calls() - before
		// Each instance renews its lease twice and tries the store once; those that read it
		// make about 25 calls.
		const allowed = nodes*3 + (1+3)*topology.HubsPerHall*25
		t.Logf("%d calls, %d allowed", calls, allowed)
		is.True(calls <= allowed)
	})
}
