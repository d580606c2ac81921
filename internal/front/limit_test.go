package front

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// A client account that sent many times its limit got 4% more than a window allows.
//
// What happened: the store turned two of seven instances away for longer than their
// registrations last, while the others still received their updates. Meanwhile four others
// were stopped as planned and started again. They learned who runs from the store alone,
// so that they did not know the two, or dropped them: of a pair the one that is named
// first asks the other, and those that did not know the last one never asked it. Neither
// side took off what the other admitted. When the two were registered again, what they
// had admitted until then was taken for old.
//
// Evidence: the events of the four that started have "node gone" for the two, or no "node
// joined", until the store let these in again. Days with the same traffic were within the
// limit without the restarts (four of four), and went beyond it with them (two of seven).
func TestALimitHoldsWhileInstancesRestartAndTheStoreTurnsOthersAway(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	const instances, backAt = 5, 4 // second in which the store serves all again
	lost, restarted := []string{"n3", "n4"}, []string{"n0", "n1", "n2"}
	play(t, instances, func(_ *is.I, w *world) {
		time.Sleep(4 * time.Second)
		w.fault(storetest.Faults{Busy: true}, lost...)
		time.Sleep(registerTTL + 3*time.Second)
		for _, name := range restarted {
			w.restart(name)
		}
		time.Sleep(5 * time.Second)
		for name, r := range w.nodes {
			if known := len(r.node.state.members.list()); known != instances-1 {
				t.Errorf("%s knows %d of %d others", name, known, instances-1)
			}
		}
		r := rand.New(rand.NewPCG(1, 2))
		var runs []int // at the end of each second
		for second := range 20 {
			if second == backAt {
				w.fault(storetest.Faults{}, lost...)
			}
			w.askMany(fmt.Sprint(second, "-"), 5*rate, time.Second, func(int) string { return fmt.Sprint("n", r.IntN(instances)) })
			runs = append(runs, w.started())
			if second < window {
				continue
			}
			if in := runs[second] - runs[second-window]; float64(in) > (rate*window+burst)*(1+over) {
				t.Errorf("%d ran in the window that ended with second %d", in, second)
			}
		}
	}, limited(rate, burst, over), lenient)
}

// The same in a large fleet, where the hubs tell who runs: a hub and a spoke that start
// while the store turns another hub and another spoke away know both of them.
func TestStartingInstancesOfALargeFleetKnowThoseThatTheStoreLost(t *testing.T) {
	play(t, large, func(_ *is.I, w *world) {
		time.Sleep(4 * time.Second)
		hubs, spokes := hubsOf(w)
		w.fault(storetest.Faults{Busy: true}, hubs[0], spokes[0])
		time.Sleep(registerTTL + 5*time.Second)
		restarted := []string{hubs[1], spokes[1]}
		for _, name := range restarted {
			w.restart(name)
		}
		time.Sleep(5 * time.Second)
		for _, name := range restarted {
			if known := len(w.nodes[name].node.state.members.list()); known != large-1 {
				t.Errorf("%s knows %d of %d others", name, known, large-1)
			}
		}
	}, lenient)
}

// A store that is away for a moment takes no registration: nobody is told who runs, as
// that would be each instance to all others of a large fleet. Only one whose registration
// may have ended tells of itself.
func TestAShortOutageDoesNotAdvertiseInstances(t *testing.T) {
	play(t, 3, func(is *is.I, w *world) {
		time.Sleep(4 * time.Second)
		w.fault(storetest.Faults{Busy: true}, "n0", "n1", "n2")
		time.Sleep(5 * time.Second)
		for _, r := range w.nodes {
			is.Equal(len(r.node.advertisedInstances(time.Now())), 0)
		}
		time.Sleep(registerTTL)
		for _, r := range w.nodes {
			is.Equal(len(r.node.advertisedInstances(time.Now())), 3)
		}
		w.fault(storetest.Faults{}, "n0", "n1", "n2")
		time.Sleep(2*registerKeep + retryMost)
		for _, r := range w.nodes {
			is.Equal(len(r.node.advertisedInstances(time.Now())), 0)
		}
	})
}
