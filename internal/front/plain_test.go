package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// endpointQueues gives the endpoints of a cluster a number of slots and a bounded queue each. A nil
// *endpointQueues lets all requests in at once.
type endpointQueues struct {
	slots, queue int

	mu       sync.Mutex
	tokens   map[string]chan struct{} // free slots, by endpoint; guarded by mu
	present  map[string]int           // requests running or waiting, by endpoint; guarded by mu
	rejected int                      // requests turned away by a full endpoint; guarded by mu
}

func (q *endpointQueues) slotCount() int {
	if q == nil {
		return 0
	}
	return q.slots
}

// setQueue sets how many requests may wait for a slot.
func (q *endpointQueues) setQueue(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = n
}

// enter waits for a slot of an endpoint. It returns false if the endpoint is full.
func (q *endpointQueues) enter(endpoint string) bool {
	if q == nil {
		return true
	}
	q.mu.Lock()
	if q.present[endpoint] >= q.slots+q.queue {
		q.rejected++
		q.mu.Unlock()
		return false
	}
	q.present[endpoint]++
	free := q.tokens[endpoint]
	if free == nil {
		free = make(chan struct{}, q.slots)
		q.tokens[endpoint] = free
	}
	q.mu.Unlock()
	free <- struct{}{}
	return true
}

// leave frees the slot of a request that entered.
func (q *endpointQueues) leave(endpoint string) {
	if q == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.present[endpoint]--
	<-q.tokens[endpoint]
}

func (q *endpointQueues) rejections() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.rejected
}

// withPlainHubs lets hubs place requests to plain services.
func withPlainHubs(on bool) func(*testCluster) {
	return func(w *testCluster) { w.overload.PlainHubs = on }
}

// withQueues gives a number of endpoints slots and queues.
func withQueues(endpoints, slots, queue int) func(*testCluster) {
	return func(w *testCluster) {
		w.endpoints = endpoints
		w.queues = &endpointQueues{slots: slots, queue: queue, tokens: make(map[string]chan struct{}), present: make(map[string]int)}
	}
}

// reportSlowdowns records at instances that each endpoint reported a slowdown.
func (w *testCluster) reportSlowdowns(names ...string) {
	for _, name := range names {
		n := w.instances[name].instance
		for _, e := range n.view.Load().Listed {
			n.loads.Observe(&e, loadreport.Report{Slots: e.Slots, Slowdown: 1}, time.Now())
		}
	}
}

// stopReports drops the reports at all instances.
func (w *testCluster) stopReports() {
	for _, r := range w.instances {
		r.instance.loads.Forget(func(string) bool { return false })
	}
}

// names returns the names of the instances.
func (w *testCluster) names() []string {
	var names []string
	for i := range w.starts {
		if name := fmt.Sprint("n", i); w.instances[name] != nil {
			names = append(names, name)
		}
	}
	return names
}

// plainLoadOn sends requests at a rate to random ones of the named instances for a time. It returns how
// many were sent and answered, and the longest time that one of them took.
func (w *testCluster) plainLoadOn(names []string, tag string, perSecond float64, d time.Duration) (sent, answered int, longest time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	var wait sync.WaitGroup
	var mu sync.Mutex
	for begun := time.Now(); time.Since(begun) < d; sent++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		name, id := names[random.IntN(len(names))], fmt.Sprint(tag, sent)
		wait.Go(func() {
			at := time.Now()
			status := w.ask(name, "/safe/a", "k1", id)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(at))
			if status == 200 {
				answered++
			}
		})
	}
	wait.Wait()
	return sent, answered, longest
}

// Instances that choose by reports of each other that are older than a request lasts send to full
// endpoints while others have free slots. One hub that places all requests does not.
func TestAHubFillsPlainEndpointsEvenly(t *testing.T) {
	const endpoints, slots, work = 6, 6, 60 * time.Millisecond
	rate := 0.9 * endpoints * slots / work.Seconds()
	rejected := make(map[bool]int)
	for _, hubs := range []bool{false, true} {
		runCluster(t, fleetSize(48, largeFleet), func(is *is.I, w *testCluster) {
			w.setWorkTime(work)
			time.Sleep(4 * time.Second)
			w.reportSlowdowns(w.names()...)
			sent, answered, longest := w.plainLoadOn(w.names(), "a", rate, 3*time.Second)
			rejected[hubs] = w.queues.rejections()
			t.Logf("hubs %t: %d sent, %d answered, %d turned away by full endpoints, at most %s", hubs, sent, answered, rejected[hubs], longest)
			time.Sleep(time.Second)
			is.Equal(w.placedRequests(), 0)
		}, withQueues(endpoints, slots, 3), withPlainHubs(hubs))
	}
	is := is.New(t)
	is.True(rejected[false] > 100)
	is.True(rejected[true] < rejected[false]/20)
}

// plainRequest is a request to the cluster's service.
func plainRequest(id string) *balance.Request { return &balance.Request{Service: "svc", ID: id} }

// plainHubsOf returns the hubs that an instance asks for a request, the first first.
func (w *testCluster) plainHubsOf(name string, r *balance.Request) []string {
	p := w.instances[name].instance.placer
	hubs := p.partitions.hubs(p.instance.view.Load(), p.instance.state.members.topology(), r)
	return lo.Map(hubs, func(m topology.Member, _ int) string { return m.Name })
}

// placeCalls returns how many requests for an offer the instances sent to hubs.
func (w *testCluster) placeCalls() (calls int64) {
	for _, r := range w.instances {
		for f, v := range r.instance.peers.Traffic() {
			if f.Kind == "Place" {
				calls += v.Calls
			}
		}
	}
	return calls
}

// A hub that is gone, does not respond, or responds late must cost a request no more than the time-out;
// the next hub places the requests of the partition, so that endpoints do not fill up either.
func TestAHubThatDoesNotRespondCostsATimeOut(t *testing.T) {
	const endpoints, slots, work = 6, 6, 60 * time.Millisecond
	rate := 0.7 * endpoints * slots / work.Seconds()
	faults := map[string]func(w *testCluster, hub string){
		"dead":   func(w *testCluster, hub string) { w.kill(hub) },
		"frozen": func(w *testCluster, hub string) { w.mem.Freeze(w.instances[hub].site, true) },
		"slow":   func(w *testCluster, hub string) { w.slowDown(hub) },
	}
	for _, fault := range []string{"dead", "frozen", "slow"} {
		runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
			w.setWorkTime(work)
			time.Sleep(4 * time.Second)
			w.reportSlowdowns(w.names()...)
			hub := w.plainHubsOf("n0", plainRequest("1"))[0]
			faults[fault](w, hub)
			asked := lo.Without(w.names(), hub)
			sent, answered, longest := w.plainLoadOn(asked, fault, rate, 2*time.Second)
			t.Logf("%s: %d sent, %d answered, %d turned away by full endpoints, at most %s", fault, sent, answered, w.queues.rejections(), longest)
			is.Equal(answered, sent)
			// A request waits for the time-out, then for a slot, since the instances that all wait for the hub
			// choose endpoints by themselves at about the same time; messages take up to 10 ms in all.
			is.True(longest <= offerTimeout+2*work+10*time.Millisecond)
			if r := w.instances[hub]; r != nil {
				w.mem.Freeze(r.site, false)
			}
			time.Sleep(4 * time.Second)
			is.Equal(w.placedRequests(), 0) // late offers were declined, lost notes have expired
		}, withQueues(endpoints, slots, 24), withPlainHubs(true))
	}
}

// A request with a close target must not spend more than a quarter of its time on a hub, and its
// impatience must not put a hub that is well into backoff.
func TestAPlainRequestWaitsForAHubUpToAQuarterOfItsTarget(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.reportSlowdowns(w.names()...)
		hubs := w.plainHubsOf("n0", plainRequest("1"))
		w.slowDown(hubs...)
		name := w.follower(w.names())
		p := w.instances[name].instance.placer
		endpoints := p.instance.view.Load().Endpoints["svc"]
		available := func() int {
			all := p.instance.state.members.topology()
			is.Equal(len(p.availableHubs(all, time.Now())), len(all.Hubs)) // for model endpoints, whose requests wait longer
			p.mu.Lock()
			defer p.mu.Unlock()
			return lo.CountBy(all.Hubs, func(h topology.Member) bool { return !time.Now().Before(p.plainBackoffUntil[h.Name]) })
		}
		place := func(target time.Duration) time.Duration {
			at, r := time.Now(), plainRequest("1")
			if target != 0 {
				r.Target = at.Add(target)
			}
			ticket, err := p.Place(context.Background(), endpoints, r, at.Add(time.Second), at)
			is.NoErr(err)
			ticket.Done(balance.Cancelled, time.Now())
			return time.Since(at)
		}
		is.Equal(place(-time.Millisecond), time.Duration(0)) // late already: no hub is asked
		is.Equal(place(20*time.Millisecond), 5*time.Millisecond)
		is.Equal(available(), len(hubs)) // 5 ms are no proof that a hub does not respond
		is.Equal(place(120*time.Millisecond), 30*time.Millisecond)
		is.Equal(available(), len(hubs)-1)
		is.Equal(place(0), offerTimeout) // the next hub
		is.Equal(available(), len(hubs)-2)
		is.Equal(place(0), time.Duration(0)) // all are in backoff
		time.Sleep(hubBackoff)
		is.Equal(available(), len(hubs))
		ctx, leave := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer leave()
		at := time.Now()
		ticket, err := p.Place(ctx, endpoints, plainRequest("2"), at.Add(time.Second), at)
		is.NoErr(err)
		ticket.Done(balance.Cancelled, time.Now())
		is.Equal(available(), len(hubs)) // the client left, which says nothing about the hub
		time.Sleep(time.Second)
		is.Equal(w.placedRequests(), 0)
	}, withPlainHubs(true))
}

// Services that have not asked for it must be served as before: with the setting off, or while the
// endpoints report no slowdown, no hub is asked.
func TestHubsAreAskedForPlainServicesOnlyWhenInForce(t *testing.T) {
	for _, c := range []struct{ setting, reports bool }{{false, false}, {false, true}, {true, false}, {true, true}} {
		runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
			time.Sleep(4 * time.Second)
			if c.reports {
				w.reportSlowdowns(w.names()...)
			}
			is.Equal(w.askAll("a"), largeFleet)
			is.Equal(w.placeCalls() > 0, c.setting && c.reports)
			time.Sleep(reportingEnds)
			before := w.placeCalls()
			is.Equal(w.askAll("b"), largeFleet)
			is.Equal(w.placeCalls(), before)
		}, withPlainHubs(c.setting))
	}
}

// reportingEnds is the time after its endpoints' last report with a slowdown after which a service
// counts as one that reports none.
const reportingEnds = 11 * time.Second

// What hubs placed must not be reported to other instances, and what an instance chose itself must be,
// also while requests of both kinds are in progress, at the begin and at the end of the reports.
func TestPlainRequestsCountOnceWhileHubsTakeOver(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		w.setWorkTime(1500 * time.Millisecond)
		time.Sleep(4 * time.Second)
		// reported returns how many requests in progress the instances report.
		reported := func() (open int) {
			for _, r := range w.instances {
				n := r.instance
				for _, s := range n.reportShare(nil, nil, rollout.Counts{}, time.Now()).Servers {
					open += int(s.Open)
				}
			}
			return open
		}
		var wait sync.WaitGroup
		ask := func(tag string) { wait.Go(func() { is.Equal(w.askAll(tag), largeFleet) }) }
		expect := func(local, placed int) {
			time.Sleep(300 * time.Millisecond)
			t.Logf("%d reported, %d placed by hubs", reported(), w.placedRequests())
			is.Equal(reported(), local)
			is.Equal(w.placedRequests(), placed)
		}
		ask("a")
		expect(largeFleet, 0)
		w.reportSlowdowns(w.names()...)
		ask("b")
		expect(largeFleet, largeFleet)
		w.stopReports()
		ask("c")
		expect(2*largeFleet, largeFleet)
		wait.Wait()
		expect(0, 0)
	}, withPlainHubs(true))
}

// A hub and an instance may know different endpoints for a moment. An offer of an endpoint that the
// instance does not know is declined, and the instance chooses by itself.
func TestOffersOfUnknownPlainEndpointsAreDeclined(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.reportSlowdowns(w.names()...)
		p := w.instances[w.follower(w.names())].instance.placer
		known := p.instance.view.Load().Endpoints["svc"][:1]
		placed, total := 0, 30
		for i := range total {
			now := time.Now()
			ticket, err := p.Place(context.Background(), known, plainRequest(fmt.Sprint(i)), now.Add(time.Second), now)
			is.NoErr(err)
			is.Equal(ticket.Endpoint.ID, known[0].ID)
			if len(p.instance.tracker.LocalLoads()) == 0 {
				placed++
				is.Equal(w.placedRequests(), 1)
			}
			time.Sleep(5 * time.Millisecond)
			is.Equal(w.placedRequests(), len(p.instance.tracker.Loads())-len(p.instance.tracker.LocalLoads())) // others were declined
			ticket.Done(balance.Answered, time.Now())
			time.Sleep(5 * time.Millisecond) // notes on plain requests are not gathered
			is.Equal(w.placedRequests(), 0)
		}
		t.Logf("%d of %d placed by the hub at the known endpoint", placed, total)
		is.True(placed > 0 && placed < total)
	}, withPlainHubs(true))
}

// A hub must count the requests whose endpoints instances chose themselves, or it fills the same slots.
func TestAHubCountsWhatInstancesChoseThemselves(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.reportSlowdowns(w.names()...)
		asking := w.instances[w.follower(w.names())].instance
		endpoints := asking.view.Load().Endpoints["svc"]
		for i := range 60 { // all at one endpoint
			_, ok := asking.tracker.Pick(endpoints[:1], plainRequest(fmt.Sprint("local", i)), time.Now())
			is.True(ok)
		}
		time.Sleep(2 * time.Second)
		for i := range 12 {
			now := time.Now()
			ticket, err := asking.placer.Place(context.Background(), endpoints, plainRequest(fmt.Sprint(i)), now.Add(time.Second), now)
			is.NoErr(err)
			is.True(ticket.Endpoint.ID != endpoints[0].ID)
			ticket.Done(balance.Answered, time.Now())
		}
		is.Equal(w.placeCalls(), int64(12))
	}, withPlainHubs(true))
}

// A hub must take the mean response time from its own instance, since its scheduler's measurements include
// the messages.
func TestAHubAdoptsItsInstancesMeanWork(t *testing.T) {
	runCluster(t, largeFleet, func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		const work = 200 * time.Millisecond
		n := w.instances[w.plainHubsOf("n0", plainRequest("1"))[0]].instance
		endpoints := n.view.Load().Endpoints["svc"]
		for i := range 100 {
			ticket := n.tracker.CountPlaced(endpoints[i%len(endpoints)], plainRequest(fmt.Sprint(i)), 0, time.Now())
			time.Sleep(work)
			ticket.Done(balance.Answered, time.Now())
		}
		time.Sleep(2 * maintenanceInterval)
		now := time.Now()
		o, ok := n.placer.scheduler.Offer(n.placer.self(), endpoints, plainRequest("1"), now.Add(time.Second), now)
		is.True(ok)
		t.Logf("expected response time with a random part of up to a half: %s", time.Duration(o.Cost))
		is.True(o.Cost > 0.95*float64(work) && o.Cost < 1.5*float64(work)) // initially 50 to 75 ms
		n.placer.scheduler.Update(place.Progress{Ticket: o.Ticket, Done: true, Result: balance.Cancelled}, now)
	}, withPlainHubs(true))
}

// With more endpoints than one hub places requests on, all instances must ask the same hub for a
// request, and each hub must offer from its partition.
func TestInstancesAgreeOnTheHubsOfPartitions(t *testing.T) {
	const endpoints = 30
	runCluster(t, fleetSize(40, largeFleet), func(is *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		w.reportSlowdowns(w.names()...)
		firsts := make(map[string]bool)
		for i := range 50 {
			r := plainRequest(fmt.Sprint(i))
			first := w.plainHubsOf("n0", r)
			firsts[first[0]] = true
			var partition []registry.Endpoint
			for _, name := range w.names() {
				is.Equal(w.plainHubsOf(name, r), first)
				got := w.instances[name].instance.placer.plainCandidates(r)
				if partition == nil {
					partition = got
				}
				is.Equal(got, partition)
				is.True(len(got) <= place.MaxPartition && len(got) > 0)
			}
		}
		t.Logf("%d hubs for 4 partitions", len(firsts))
		is.True(len(firsts) > 1)
		is.Equal(w.askAll("a"), len(w.instances))
		is.True(w.placeCalls() > 0)
	}, withHalls(3), withQueues(endpoints, 6, 24), withPlainHubs(true))
}

// plainView returns a view with endpoints of one plain service.
func plainView(endpoints int) *forward.View {
	v := &forward.View{Endpoints: make(map[string][]registry.Endpoint)}
	for i := range endpoints {
		v.Endpoints["svc"] = append(v.Endpoints["svc"], registry.Endpoint{ID: endpointID(i), Service: "svc", Slots: 6})
	}
	return v
}

func plainTopology() *topology.Topology {
	t := &topology.Topology{}
	for i := range 8 {
		t.Hubs = append(t.Hubs, topology.Member{Name: fmt.Sprint("n", i)})
	}
	return t
}

// The cached partitions must follow the endpoints of the view and the hubs of the topology.
func TestCachedPartitionsFollowViewAndTopology(t *testing.T) {
	is := is.New(t)
	var c partitionCache
	r, hubs := plainRequest("1"), plainTopology()
	is.Equal(len(c.hubs(plainView(0), hubs, r)), 0)
	is.Equal(len(c.endpoints(plainView(0), r)), 0)
	is.Equal(len(c.endpoints(plainView(3), r)), 3)
	is.Equal(len(c.endpoints(plainView(8), r)), 8)
	is.Equal(len(c.hubs(plainView(8), hubs, r)), 8)
	fewer := &topology.Topology{Hubs: hubs.Hubs[:3]}
	is.Equal(len(c.hubs(plainView(8), fewer, r)), 3)
	trial := plainView(8)
	trial.TrialEndpoints = map[string][]registry.Endpoint{"svc": trial.Endpoints["svc"][:2]}
	onTrial := plainRequest("1")
	onTrial.Trial = true
	is.Equal(len(c.endpoints(trial, onTrial)), 2)
	is.Equal(len(c.endpoints(trial, r)), 8)
}

// Both sides' part of a decision with 2,300 endpoints: which hub is asked, and what it may offer.
func BenchmarkPlainPartitions(b *testing.B) {
	view, hubs, r := plainView(2300), plainTopology(), plainRequest("request-1")
	b.Run("cached", func(b *testing.B) {
		var c partitionCache
		b.ReportAllocs()
		for b.Loop() {
			c.hubs(view, hubs, r)
			c.endpoints(view, r)
		}
	})
	b.Run("new view", func(b *testing.B) {
		var c partitionCache
		c.endpoints(view, r)
		b.ReportAllocs()
		for b.Loop() {
			v := *view
			c.endpoints(&v, r)
		}
	})
	b.Run("new endpoints", func(b *testing.B) {
		for b.Loop() {
			var c partitionCache
			c.endpoints(view, r)
		}
	})
}
