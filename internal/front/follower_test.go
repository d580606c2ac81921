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

// large is a fleet that has hubs.
const large = topology.SmallFleet + 6

func hubsOf(w *world) (hubs, spokes []string) {
	for i := range w.starts {
		name := fmt.Sprint("n", i)
		switch r := w.nodes[name]; {
		case r == nil:
		case r.node.reading.Load():
			hubs = append(hubs, name)
		default:
			spokes = append(spokes, name)
		}
	}
	return hubs, spokes
}

// Each call of the store is paid for: in a large fleet they do not grow with
// the nodes times the changes.
func TestALargeFleetReadsTheStoreThroughHubs(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(5 * time.Second)
		hubs, _ := hubsOf(w)
		is.Equal(len(hubs), topology.HubsInHall)
		before := w.store.Calls()
		for i := range 20 {
			w.putServer(10+i, true)
			time.Sleep(500 * time.Millisecond)
		}
		calls := w.store.Calls() - before
		// Ten seconds: each node keeps its lease five times; the holder of the
		// duty renews its own and keeps counts, with room to spare; the hubs prove and watch.
		const allowed = large*5 + 100 + topology.HubsInHall*(10+20+3*5)
		t.Logf("%d calls, %d allowed", calls, allowed)
		is.True(calls <= allowed)
	})
}

func TestAConfigurationReachesFollowersSoon(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		w.configure(4, "k2", "k3")
		time.Sleep(1200 * time.Millisecond)
		for name := range w.nodes {
			is.Equal(w.ask(name, "/new/a", "k3", "d"+name), 200)
			is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
		}
	})
}

// A hub that the store turns away, or that dies, is left; what the others know
// is in force within the bounds.
func TestAHubWithoutTheStoreIsLeft(t *testing.T) {
	for _, killed := range []bool{false, true} {
		play(t, large, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			hubs, spokes := hubsOf(w)
			if killed {
				w.kill(hubs[0])
			} else {
				w.store.SetFaults(hubs[0], storetest.Faults{Busy: true})
			}
			w.configure(4, "k2")
			w.putServer(0, true)
			time.Sleep(2900 * time.Millisecond)
			for _, name := range spokes {
				is.True(w.ready(name))
				is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
				is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
			}
			is.True(time.Since(w.lastAt(serverID(0))) > 2900*time.Millisecond)
		})
	}
}

// The store turns all hubs away and serves the others: they read it themselves.
func TestAllHubsWithoutTheStore(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		hubs, spokes := hubsOf(w)
		for _, name := range hubs {
			w.store.SetFaults(name, storetest.Faults{Busy: true})
		}
		w.configure(4, "k2")
		time.Sleep(5 * time.Second)
		for _, name := range spokes {
			is.True(w.ready(name))
			is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
			is.Equal(w.ask(name, "/safe/a", "k1", "e"+name), 401)
		}
		for _, name := range hubs {
			is.Equal(w.ask(name, "/safe/a", "k1", "f"+name), 503) // a key may be gone
		}
	})
}

// After an outage of the store all are back within seconds, and no storm of
// calls comes with it.
func TestALargeFleetAfterAnOutage(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		w.store.SetFaults("", storetest.Faults{Busy: true})
		before := w.store.Calls()
		time.Sleep(5 * time.Second)
		down := w.store.Calls() - before
		w.store.SetFaults("", storetest.Faults{})
		w.configure(4, "k2")
		before = w.store.Calls()
		time.Sleep(1800 * time.Millisecond)
		back := w.store.Calls() - before
		t.Logf("%d calls while it was down, %d after", down, back)
		is.True(down < large*12)
		is.True(back < large*5)
		for name := range w.nodes {
			is.True(w.ready(name))
			is.Equal(w.ask(name, "/new/a", "k2", "d"+name), 200)
		}
	})
}

// ofLarge returns a node that is not running, and knows 111 others.
func ofLarge(is *is.I, now time.Time) *Instance { return ofFleet(is, 111, now) }

// ofFleet returns a node that is not running, and knows so many others.
func ofFleet(is *is.I, others int, now time.Time) *Instance {
	n, err := New(Options{Settings: settings.Front{Name: "self"}, Decoder: plain{}, Protocol: plain{}, Log: zap.NewNop()})
	is.NoErr(err)
	m := n.state.members
	for i := range others {
		value, err := json.Marshal(registration{Addr: addrOf(i, 8002)})
		is.NoErr(err)
		m.take([]store.Event{store.Event{Item: store.Item{Key: fmt.Sprint(m.prefix(), "n", i), Value: value}}}, now)
	}
	return n
}

// The store turns a node away for long, so that its registration ends; the
// others receive its updates all the while, however seldom the nodes of a large fleet
// speak to each other.
func TestANodeWithoutTheStoreStaysAMember(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := ofLarge(is, now)
	m := n.state.members
	m.seen("n7", now)
	m.take([]store.Event{store.Event{Item: store.Item{Key: m.prefix() + "n7"}, Gone: true}}, now)
	m.expire(now.Add(n.shareEvery() + time.Second))
	is.Equal(len(m.list()), 111)
	m.expire(now.Add(n.memberTTL() - time.Millisecond))
	is.Equal(len(m.list()), 111)
	m.expire(now.Add(n.memberTTL()))
	is.Equal(len(m.list()), 110)
}

// After all nodes were killed, limits are refused by until nodes know of each
// other: the first exchanges of a large fleet must not take long.
func TestANewNodeSpeaksToTheOthersSoon(t *testing.T) {
	is := is.New(t)
	n := ofLarge(is, time.Now())
	now := n.start
	rounds := 0
	for now.Sub(n.start) < 2*time.Second {
		now = now.Add(n.sharePause(now))
		rounds++
	}
	is.True(rounds >= 4)
	// Each round is paid for by those that are spoken to: a start costs one more than the
	// usual pace does, and a part of one.
	is.True(rounds <= 2+int(2*time.Second/n.shareEvery()))
	is.Equal(n.sharePause(now.Add(time.Minute)), n.shareEvery())
}

// All nodes of a large fleet start at the same moment, and once more after all
// were killed: what only hubs need is not read by all.
func TestALargeFleetStartsWithFewCalls(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(3 * time.Second)
		first := w.store.Calls()
		w.kill(namesOf(w)...)
		before := w.store.Calls()
		for i := range large {
			w.start(fmt.Sprint("n", i))
		}
		time.Sleep(4 * time.Second)
		again := w.store.Calls() - before
		// A node registers with two calls, lists the others once or twice, and keeps
		// its lease twice; hubs and the holder have ten more.
		const allowed = large*6 + topology.HubsInHall*40
		t.Logf("%d calls at the first start, %d at the second, %d allowed", first, again, allowed)
		is.True(first <= allowed)
		is.True(again <= allowed)
	})
}

// The store turns away all instances that read it for the others, and serves these: a
// few take over, and not each reads for itself.
func TestFewStandInForTheReaders(t *testing.T) {
	play(t, large, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		readers, spokes := hubsOf(w)
		refuse := func(f storetest.Faults) {
			for _, name := range readers {
				w.store.SetFaults(name, f)
			}
		}
		refuse(storetest.Faults{Busy: true})
		before := w.store.Calls()
		for i := range 6 {
			time.Sleep(time.Second)
			w.putServer(10+i, true)
			for _, name := range spokes {
				is.True(w.ready(name))
			}
		}
		now, _ := hubsOf(w)
		calls := w.store.Calls() - before
		t.Logf("%d calls, %d instances read", calls, len(now))
		is.True(len(now) <= 2*len(readers))
		// In six seconds each instance keeps its lease twice, and those that read or
		// try to have some 25 calls each.
		is.True(calls <= large*2+4*30+30)
		refuse(storetest.Faults{})
		time.Sleep(directAtLeast + standInFor + 3*time.Second)
		now, _ = hubsOf(w)
		is.Equal(now, readers) // the readers do it again
	})
}

// While the store is down for all, those that read it find out when it is back; the
// others have few calls of their own to pay for.
func TestAnOutageIsWatchedByFew(t *testing.T) {
	const nodes, length = 4 * large, 5 * time.Second
	play(t, nodes, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		w.store.SetFaults("", storetest.Faults{Busy: true})
		before := w.store.Calls()
		time.Sleep(length)
		calls := w.store.Calls() - before
		// Each keeps its lease twice and tries the store once; those that read it have
		// some 25 calls.
		const allowed = nodes*3 + (1+3)*topology.HubsInHall*25
		t.Logf("%d calls, %d allowed", calls, allowed)
		is.True(calls <= allowed)
	})
}
