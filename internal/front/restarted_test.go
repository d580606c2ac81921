package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
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
