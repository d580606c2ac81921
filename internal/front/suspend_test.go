package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// suspendable gives each node a machine of its own that can be suspended.
func suspendable(w *world) { w.machines = make(map[string]*clocktest.Machine) }

// suspend suspends nodes' machines for a time. Nothing leaves or reaches them meanwhile, and
// their watches of the store hear nothing any more until they are begun anew.
func (w *world) suspend(d time.Duration, names ...string) {
	for _, name := range names {
		w.machines[name].Suspend()
		w.mem.Freeze(w.nodes[name].site, true)
		w.store.SetFaults(name, storetest.Faults{Frozen: true})
	}
	time.Sleep(d)
	for _, name := range names {
		w.machines[name].Resume()
		w.store.SetFaults(name, storetest.Faults{Silent: true})
		w.mem.Freeze(w.nodes[name].site, false)
	}
}

// machineCloud is the cloud as a node sees it whose machine can be suspended.
type machineCloud struct {
	*cloud
	machine *clocktest.Machine
}

func (c machineCloud) ReportUsage(ctx context.Context, d duty.Token, window int64, counts map[string]int64) error {
	c.machine.AwaitResume()
	return c.cloud.ReportUsage(ctx, d, window, counts)
}

func (c machineCloud) Order(ctx context.Context, d duty.Token, service, hall string, desired int, spot bool) error {
	c.machine.AwaitResume()
	return c.cloud.Order(ctx, d, service, hall, desired, spot)
}

// suspensions are lengths from below to above all bounds of the product.
var suspensions = []time.Duration{500 * time.Millisecond, 2500 * time.Millisecond, 5500 * time.Millisecond, 20 * time.Second}

// A client account whose key was taken away was served on by one instance.
//
// Order of events: the machine of the instance is suspended; the key is taken away, longer ago
// than is allowed for it to work on; the machine goes on, and the instance takes a request with
// the key before it has read the configuration again. Cause: the age of the proof of the
// configuration went by Go's steady clock, which stands still meanwhile. Evidence: the line of
// the request tells the configuration's age without the suspension.
func TestAKeyTakenAwayWhileSuspended(t *testing.T) {
	for _, d := range suspensions {
		play(t, 4, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			is.Equal(w.ask("n0", "/safe/a", "k1", "n0/before"), http.StatusOK)
			var taken time.Time
			var wait sync.WaitGroup
			wait.Go(func() {
				time.Sleep(d / 10)
				w.configure(2, "k2")
				taken = time.Now()
			})
			w.suspend(d, "n0")
			wait.Wait()
			bound := w.settings("n0", 1).Bounds.Revoke()
			for i := range 40 {
				late := time.Since(taken) > bound
				id := fmt.Sprint("n0/after", i)
				status := w.ask("n0", "/safe/a", "k1", id)
				if late && (status == http.StatusOK || w.runsOf(id) > 0) {
					t.Errorf("suspended for %s: request %d with the key ran %s after it was taken away", d, i, time.Since(taken))
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(w.ask("n0", "/safe/a", "k2", "n0/other"), http.StatusOK)
		}, suspendable)
	}
}

// Callers of a new route were told by one instance that there is none, after its machine had
// been suspended while the route was added.
//
// Cause: the instance took the configuration that it held for one that it had just proved.
// Evidence: 404 where it had nothing but a configuration that was seconds old.
func TestAnOldConfigurationAfterASuspension(t *testing.T) {
	for _, d := range suspensions {
		play(t, 4, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			var added time.Time
			var wait sync.WaitGroup
			wait.Go(func() {
				time.Sleep(d / 10)
				w.configure(2, "k1", "k2")
				added = time.Now()
			})
			w.suspend(d, "n0")
			wait.Wait()
			bound := w.settings("n0", 1).Bounds.Config()
			for i := range 40 {
				late := time.Since(added) > bound
				status := w.ask("n0", "/new/a", "k1", fmt.Sprint("n0/new", i))
				if late && status == http.StatusNotFound {
					t.Errorf("suspended for %s: request %d was told of no route %s after it was added", d, i, time.Since(added))
				}
				time.Sleep(50 * time.Millisecond)
			}
			is.Equal(w.ask("n0", "/new/a", "k1", "n0/known"), http.StatusOK)
		}, suspendable)
	}
}

// Endpoints worked on requests whose time was over long ago.
//
// Cause: the context of a request ends by a timer, which has all the time before it that it
// had when the machine was suspended.
func TestRequestsInHandEndWithTheirTime(t *testing.T) {
	const inHand = 500 * time.Millisecond // so long the request is under way when the machine is suspended
	const work = 30 * time.Second
	for _, d := range suspensions[2:] {
		play(t, 4, func(is *is.I, w *world) {
			time.Sleep(4 * time.Second)
			w.work(work)
			var wait sync.WaitGroup
			wait.Go(func() { w.askUntil("n0", "/safe/a", "k1", "n0/long", work) })
			time.Sleep(inHand)
			w.suspend(d, "n0")
			woken := time.Now()
			wait.Wait()
			time.Sleep(3 * time.Second)
			cancelled := w.cancelledAt("n0/long")
			t.Logf("suspended for %s: cancelled %s after it", d, cancelled.Sub(woken))
			is.True(!cancelled.IsZero())
			is.True(cancelled.Sub(woken) < 500*time.Millisecond)
			w.work(20 * time.Millisecond)
			is.Equal(w.ask("n0", "/safe/a", "k1", "n0/next"), http.StatusOK)
			time.Sleep(work) // until the server has done it
		}, suspendable)
	}
}

// A client account got 480 requests through in a window of 440, after all instances had stood
// still.
//
// Order of events: the account is at its limit; all instances stand still for 20 s; they go on at
// the same moment, each with a bucket that time has filled, and each lets a whole burst through
// before it learns of the others. Their registrations have lapsed, so that each takes itself for
// the only one. Cause: a level counts time in which the instance could not learn of what the others
// admit. Evidence: 80 were admitted by each of four in the first quarter of a second.
//
// Whoever is suspended, for however long, once or twice: the limit holds, and each instance serves
// the account again.
func TestALimitHoldsWhileInstancesAreSuspended(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	const again = 10 * time.Second // after a suspension, all serve the account by then
	for _, names := range [][]string{{"n0"}, {"n0", "n2"}, {"n0", "n1", "n2", "n3"}} {
		for _, d := range suspensions {
			play(t, 4, func(_ *is.I, w *world) {
				time.Sleep(4 * time.Second)
				w.limitHolds(2*d+2*again, 3*rate, window, (rate*window+burst)*(1+over), func() {
					for range 2 {
						time.Sleep(again / 2)
						w.suspend(d, names...)
					}
				})
				time.Sleep(again) // the account pays its debts
				for _, name := range namesOf(w) {
					if status := w.ask(name, "/safe/a", "k1", name+"/last"); status != http.StatusOK {
						t.Errorf("%v suspended for %s: %s answers %d afterwards", names, d, name, status)
					}
				}
			}, limited(rate, burst, over), suspendable)
		}
	}
}

// The same in a large fleet, where hubs and readers are among those that are suspended.
func TestALimitHoldsWhileHubsAreSuspended(t *testing.T) {
	const rate, burst, over, window = 40, 80, 0.1, 8
	for _, share := range []int{4, 1} { // one in so many
		for _, d := range []time.Duration{suspensions[1], suspensions[3]} {
			play(t, large, func(_ *is.I, w *world) {
				time.Sleep(8 * time.Second)
				var names []string
				for i := 0; i < large; i += share {
					names = append(names, fmt.Sprint("n", i))
				}
				w.limitHolds(d+20*time.Second, 3*rate, window, (rate*window+burst)*(1+over), func() {
					time.Sleep(5 * time.Second)
					w.suspend(d, names...)
				})
				time.Sleep(10 * time.Second)
				for _, name := range names {
					if status := w.ask(name, "/safe/a", "k1", name+"/last"); status != http.StatusOK {
						t.Errorf("one in %d suspended for %s: %s answers %d afterwards", share, d, name, status)
					}
				}
			}, limited(rate, burst, over), suspendable, func(w *world) { w.halls = 2 })
		}
	}
}

// limitHolds sends requests to all nodes for a time, so many a second, while something else
// happens, and checks that no more than most run in any window of whole seconds.
func (w *world) limitHolds(d time.Duration, perSecond, window int, most float64, meanwhile func()) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(meanwhile)
	r := rand.New(rand.NewPCG(1, 2))
	var runs []int // at the end of each second
	for second := range int(d / time.Second) {
		for i := range perSecond {
			time.Sleep(time.Second / time.Duration(perSecond))
			name := fmt.Sprint("n", r.IntN(len(w.nodes)))
			wait.Go(func() { w.ask(name, "/safe/a", "k1", fmt.Sprint(name, "/", w.started(), "-", second, "-", i)) })
		}
		runs = append(runs, w.started())
		if second < window {
			continue
		}
		if in := runs[second] - runs[second-window]; float64(in) > most {
			w.t.Errorf("%d ran in the window that ended with second %d of %s", in, second, d)
		}
	}
}
