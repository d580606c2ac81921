package front

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// putIncarnation writes the entry of a server's incarnation that began at a time.
func (w *world) putIncarnation(i int, started time.Time, leaving bool) {
	w.store.Put("server/"+serverID(i), fmt.Appendf(nil, `{"Service":"svc","Addr":%q,"Hall":"z","StartedAt":%q,"Leaving":%t}`, addrOf(100+i, 80), started.Format(time.RFC3339Nano), leaving))
}

// askFor asks all nodes in turn for a while.
func (w *world) askFor(tag string, d time.Duration) {
	for i := 0; i < int(d/(20*time.Millisecond)); i++ {
		time.Sleep(20 * time.Millisecond)
		w.ask(fmt.Sprint("n", i%len(w.nodes)), "/safe/a", "k1", fmt.Sprint(tag, i))
	}
}

// A server says that it leaves, ends, and starts again under its id, with its entry gone
// between or not. Leaving is of the incarnation that said so: the later one gets work at all nodes,
// in a small fleet and in one that reads the store through hubs.
func TestAServerThatStartsAgainGetsWork(t *testing.T) {
	for _, nodes := range []int{3, large} {
		for _, gone := range []bool{false, true} {
			play(t, nodes, func(is *is.I, w *world) {
				time.Sleep(4 * time.Second)
				for i := range testServers {
					w.putIncarnation(i, time.Now(), false)
				}
				time.Sleep(time.Second)
				w.putIncarnation(0, time.Now().Add(-time.Second), true)
				time.Sleep(2 * time.Second)
				left := time.Now()
				w.askFor("a", time.Second)
				is.True(w.lastAt(serverID(0)).Before(left))
				if gone {
					w.store.Put("server/"+serverID(0), nil)
					time.Sleep(time.Second)
				}
				w.putIncarnation(0, time.Now(), false)
				time.Sleep(time.Second)
				again := time.Now()
				w.askFor("b", time.Second)
				is.True(w.lastAt(serverID(0)).After(again))
			})
		}
	}
}

// An entry that another writer left in the place of a server's names no server to use.
// The others hold, and the server is used again when its entry reads well.
func TestAnOddEntryNamesNoServerToUse(t *testing.T) {
	for _, value := range []string{"", "\xff\x00", "null", "[]", `{"Service":`, `{"Slots":"many"}`} {
		play(t, 2, func(is *is.I, w *world) {
			w.store.Put("server/"+serverID(0), []byte(value))
			w.store.Put("server/other", []byte(value))
			time.Sleep(time.Second)
			odd := time.Now()
			w.askFor("a", time.Second)
			is.True(w.lastAt(serverID(0)).Before(odd))
			is.True(w.lastAt(serverID(1)).After(odd))
			w.putServer(0, false)
			time.Sleep(time.Second)
			well := time.Now()
			w.askFor("b", time.Second)
			is.True(w.lastAt(serverID(0)).After(well))
		})
	}
}

// Servers leave, end, start again and have their entries spoilt in quick succession, while
// instances are killed, watches are silent or cut, and answers of the store are lost. What
// an entry takes away gets no new work after the bound, and in the end each server is used.
func TestRandomDaysOfServers(t *testing.T) {
	for seed := range uint64(3) {
		for _, nodes := range []int{3, large} {
			play(t, nodes, func(is *is.I, w *world) {
				time.Sleep(4 * time.Second)
				w.randomServers(rand.New(rand.NewPCG(seed, 13)), nodes)
				for i := range testServers {
					w.allow(i)
				}
				time.Sleep(4 * time.Second)
				end := time.Now()
				w.askFor("end", 2*time.Second)
				for i := range testServers {
					is.True(w.lastAt(serverID(i)).After(end))
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				is.Equal(w.bad, nil)
			})
		}
	}
}

// randomServers plays 30 s of changes of servers and faults of instances.
func (w *world) randomServers(rnd *rand.Rand, nodes int) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := range 1000 {
		time.Sleep(30 * time.Millisecond)
		name := fmt.Sprint("n", rnd.IntN(nodes))
		wait.Go(func() { w.ask(name, "/once/a", "k1", fmt.Sprint("r", i)) })
		server := rnd.IntN(testServers)
		switch x := rnd.Float64(); {
		case x < 0.02:
			w.takeOut(server, func() { w.putIncarnation(server, time.Now(), true) })
		case x < 0.03:
			w.takeOut(server, func() { w.store.Put("server/"+serverID(server), nil) })
		case x < 0.045:
			w.takeOut(server, func() { w.store.Put("server/"+serverID(server), []byte("{")) })
		case x < 0.08:
			w.allow(server)
		case x < 0.085:
			w.kill(name)
			w.start(name)
		case x < 0.09:
			w.store.SetFaults(name, storetest.Faults{Silent: true})
		case x < 0.1:
			w.store.SetFaults(name, storetest.Faults{LoseNext: 1})
		case x < 0.11:
			w.store.Compact()
		case x < 0.15:
			w.store.SetFaults(name, storetest.Faults{})
		}
	}
	for i := range nodes {
		w.store.SetFaults(fmt.Sprint("n", i), storetest.Faults{})
	}
}

// takeOut changes the entry of a server so that it allows no new work.
func (w *world) takeOut(i int, change func()) {
	change()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.out[serverID(i)].IsZero() {
		w.out[serverID(i)] = time.Now()
	}
}

// allow starts a server again.
func (w *world) allow(i int) {
	w.mu.Lock()
	delete(w.out, serverID(i))
	w.mu.Unlock()
	w.putIncarnation(i, time.Now(), false)
}
