package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// inject injects one fault and returns when it is over.
func (r *run) inject(ctx context.Context, a Action) {
	switch a.Kind {
	case Stop, Kill, Pause:
		r.injectInstanceFault(ctx, a)
	case StoreDown, StoreSlow:
		r.injectStoreFault(ctx, a, "")
	case StoreRefuses, StoreLosesAnswers, StoreSilent:
		r.injectStoreFault(ctx, a, r.instances[a.Target%uint64(len(r.instances))].name)
	case StoreRestored:
		r.restoreStore(ctx, a)
	case StoreCompacts:
		r.world.store.Compact()
	case CloudDown:
		r.world.cloud.down.Store(true)
		sleep(ctx, a.For)
		r.world.cloud.down.Store(false)
	case Configure:
		r.recordError(r.operator.configure())
	case Revoke:
		r.recordError(r.operator.revoke(a.Target))
	case GiveUp:
		r.traffic.setCancelShare(0.3)
		sleep(ctx, a.For)
		r.traffic.setCancelShare(0)
	case Burst:
		r.traffic.setFactor(2.5)
		sleep(ctx, a.For)
		r.traffic.setFactor(1)
	case Overload:
		r.overload(ctx, a)
	case Deadly:
		r.sendCrashingRequest(ctx, a)
	case DeadlyPart:
		r.sendDeadlyPart(ctx, a)
	case LinkSlow, LinkReset, LinkSilent:
		r.injectLinkFault(ctx, a)
	case Partition:
		r.partition(ctx, a)
	case Release:
		r.release(ctx, a)
	case KillAll:
		r.killAll(ctx, a)
	default:
		if e := r.world.pickEndpoint(a.Target); e != nil {
			r.injectEndpointFault(ctx, a, e)
		}
	}
}

// recordError records an error of the soak test itself as a violation.
func (r *run) recordError(err error) {
	if err != nil {
		r.record.exit("soak", err.Error())
	}
}

// startupTime is how long after its start an instance still counts as disrupted.
const startupTime = time.Second

func (r *run) injectInstanceFault(ctx context.Context, a Action) {
	i := r.instances[a.Target%uint64(len(r.instances))]
	if !i.acquireForFault() {
		return // another fault is in progress
	}
	defer i.releaseFromFault()
	end := r.record.beginDisruption(i.name, a.Kind, a.Kind == Stop)
	defer end()
	switch a.Kind {
	case Pause:
		i.signal(syscall.SIGSTOP, false)
		sleep(ctx, a.For)
		i.signal(syscall.SIGCONT, false)
		return
	case Stop:
		i.stop(bounds.Grace())
	case Kill:
		i.kill()
		sleep(ctx, a.For)
	}
	if ctx.Err() == nil {
		r.recordError(i.start())
		sleep(ctx, startupTime)
	}
}

// settleTime is how long instances run between two kills of all.
const settleTime = 1500 * time.Millisecond

// killAll kills all instances at once and restarts them, at times twice. Those that are being stopped are
// killed too, and restarted by the fault that stops them.
func (r *run) killAll(ctx context.Context, a Action) {
	var struck []*instance
	for _, i := range r.instances {
		if i.acquireForFault() {
			defer i.releaseFromFault()
			defer r.record.beginDisruption(i.name, a.Kind, false)()
			struck = append(struck, i)
		} else {
			defer r.record.beginDisruption(i.name, a.Kind, false)()
		}
	}
	for n := range 1 + a.Target/3%2 {
		if n > 0 {
			sleep(ctx, settleTime)
		}
		var wait sync.WaitGroup
		for _, i := range r.instances {
			wait.Go(i.kill)
		}
		wait.Wait()
		sleep(ctx, a.For)
		if ctx.Err() != nil {
			return
		}
		for _, i := range struck {
			r.recordError(i.start())
		}
	}
	sleep(ctx, startupTime)
}

// release replaces half of the engines or all, one after the other, by endpoints of a later software
// version or an earlier one.
func (r *run) release(ctx context.Context, a Action) {
	old := r.world.endpointsOf(engineService)
	if a.Target%2 == 0 {
		old = old[:(len(old)+1)/2]
	}
	version := r.world.nextVersion(a.Target/2%3 == 0)
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, e := range old {
		wait.Go(func() { r.recordError(r.world.replace(ctx, e, a.Target/6%3 == 0, version)) })
		sleep(ctx, a.For/time.Duration(len(old)))
	}
}

func (r *run) injectStoreFault(ctx context.Context, a Action, instance string) {
	defer r.record.beginDisruption(instance, a.Kind, false)()
	r.world.store.SetFaults(instance, storeFaults[a.Kind])
	sleep(ctx, a.For)
	r.world.store.ClearFaults(instance)
}

// linkStates lists, for each kind of link fault, the link states of which the target selects one.
var linkStates = map[Kind][]linkState{
	LinkSlow:   {{delay: 150 * time.Millisecond, bytesPerSecond: 200_000}},
	LinkReset:  {{refuse: true}},
	LinkSilent: {{stallToTarget: true}, {stallFromTarget: true}},
}

// injectLinkFault injects a fault into the link from one instance to the store, or into the link
// from all instances to one endpoint.
func (r *run) injectLinkFault(ctx context.Context, a Action) {
	var k *link
	if a.Target%3 == 0 {
		i := r.instances[a.Target/3%uint64(len(r.instances))]
		k = r.world.links[i.name]
		defer r.record.beginDisruption(i.name, a.Kind, false)()
	} else {
		e := r.world.pickEndpoint(a.Target / 3)
		if e == nil {
			return
		}
		k = e.link
		defer r.record.beginLinkFault(e.id)()
	}
	states := linkStates[a.Kind]
	k.set(states[a.Target/5%uint64(len(states))])
	if a.Kind == LinkReset {
		k.reset()
	}
	sleep(ctx, a.For)
	k.set(linkState{})
}

// partition takes the paths of some instances to all endpoints. New connections are refused; open ones
// are reset, or live on.
func (r *run) partition(ctx context.Context, a Action) {
	cut := r.partitioned(a.Target)
	resets := a.Target/4%2 == 0
	reset, end := r.record.beginPartition(lo.Map(cut, func(i *instance, _ int) string { return i.name }))
	defer end()
	for _, i := range cut {
		r.world.partition(i.addr, true, resets)
	}
	if resets {
		reset()
	}
	sleep(ctx, a.For)
	for _, i := range cut {
		r.world.partition(i.addr, false, false)
	}
}

// partitioned selects the instances of a partition: one, those of a hall, half of all, or all but one.
func (r *run) partitioned(target uint64) []*instance {
	n := len(r.instances)
	first := int(target / 8 % uint64(n))
	order := slices.Concat(r.instances[first:], r.instances[:first])
	switch target % 4 {
	case 0:
		return order[:1]
	case 1:
		return lo.Filter(order, func(i *instance, _ int) bool { return i.settings.Hall == order[0].settings.Hall })
	case 2:
		return order[:(n+1)/2]
	}
	return order[:max(1, n-1)]
}

// rateLimits are the rate limits, in requests per second, that endpoints announce.
var rateLimits = []float64{3, 1, 0.5, 6, 2}

func (r *run) injectEndpointFault(ctx context.Context, a Action, e *endpoint) {
	during := func(set, undo func(b *behavior)) {
		e.updateBehavior(set)
		sleep(ctx, a.For)
		e.updateBehavior(undo)
	}
	switch a.Kind {
	case Leave, LeaveQuietly:
		r.recordError(r.world.retire(ctx, e, a.Kind == LeaveQuietly))
	case Backoff:
		during(func(b *behavior) { b.backoff = time.Second }, func(b *behavior) { b.backoff = 0 })
	case Refuse:
		during(func(b *behavior) { b.refuse = 0.5 }, func(b *behavior) { b.refuse = 0 })
	case Fail:
		r.failService(ctx, a, e.service)
	case Hang:
		during(func(b *behavior) { b.hang = true }, func(b *behavior) { b.hang = false })
	case Garble:
		during(func(b *behavior) { b.garble = 0.3 }, func(b *behavior) { b.garble = 0 })
	case LoseAnswers:
		during(func(b *behavior) { b.loseAnswers = 0.2 }, func(b *behavior) { b.loseAnswers = 0 })
	case Crash:
		r.world.crash(e)
	case End:
		r.world.end(ctx, e, a.Target)
	case Limit:
		r.cycleRateLimits(ctx, a, e)
	}
}

// failService makes the first endpoint or all endpoints of a service fail most requests.
func (r *run) failService(ctx context.Context, a Action, service string) {
	failing := r.world.endpointsOf(service)
	if a.Target/2%2 == 0 {
		failing = failing[:1]
	}
	for _, e := range failing {
		e.updateBehavior(func(b *behavior) { b.fail = 0.7 })
	}
	sleep(ctx, a.For)
	for _, e := range failing {
		e.updateBehavior(func(b *behavior) { b.fail = 0 })
	}
}

// cycleRateLimits makes an endpoint announce two rate limits, one after the other, and then none.
func (r *run) cycleRateLimits(ctx context.Context, a Action, e *endpoint) {
	for n := range uint64(2) {
		rate := rateLimits[(a.Target/7+n)%uint64(len(rateLimits))]
		r.record.rateChange(check.RateChange{Endpoint: e.id, At: time.Now(), Limited: true, Rate: rate})
		e.updateBehavior(func(b *behavior) { b.rateLimit = strconv.FormatFloat(rate, 'f', -1, 64) })
		sleep(ctx, a.For/2)
	}
	r.record.rateChange(check.RateChange{Endpoint: e.id, At: time.Now()})
	e.updateBehavior(func(b *behavior) { b.rateLimit = "" })
}

// crashingInterval is the pause between two sends of a request that crashes endpoints.
const crashingInterval = 400 * time.Millisecond

// sendCrashingRequest sends the same crashing request repeatedly, each time from a new caller to any
// ready instance.
func (r *run) sendCrashingRequest(ctx context.Context, a Action) {
	class := r.operator.classes[a.Target%uint64(len(r.operator.classes))]
	q := &request{route: class.route, method: "POST", key: r.operator.pickKey("north"), body: []byte(strings.Join([]string{crashingBody, fmt.Sprint(a.Target)}, " "))}
	for end := time.Now().Add(a.For); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, crashingInterval) {
		c := &caller{traffic: r.traffic}
		c.sendWithRetry(ctx, q)
		c.close()
	}
}

// sendDeadlyPart sends new streams, no two alike, with a part of their prompt that crashes each endpoint that begins an
// answer on it. Their other parts and their client account are those of other requests.
func (r *run) sendDeadlyPart(ctx context.Context, a Action) {
	part := deadlyPart + strconv.FormatUint(a.Target, 16)
	rnd := rand.New(rand.NewPCG(a.Target, 404))
	var wait sync.WaitGroup
	defer wait.Wait()
	for end := time.Now().Add(a.For); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, crashingInterval) {
		q := &request{route: r.operator.overloadRoute(), method: "POST", key: r.operator.pickKey("north"), body: fmt.Appendf(nil, "body %d", rnd.Uint64())}
		q.parts = append(sharedParts(q.route.Name, rnd), part, ownPart(rnd))
		wait.Go(func() {
			c := &caller{traffic: r.traffic}
			c.sendWithRetry(ctx, q)
			c.close()
		})
	}
}

// overloadFactor is the rate of an overload as a multiple of what undisturbed engines can serve. At 2,
// requests wait for about a second per second of overload; the target latency is one second.
const overloadFactor = 2

// overload sends long requests to the engines, at overloadFactor times the rate that they can serve,
// beside the other traffic. The requests are of one client account without a limit, or of all accounts.
func (r *run) overload(ctx context.Context, a Action) {
	account := []string{"", "north", "", "south"}[a.Target%4]
	defer r.record.beginOverload(engineService, account)()
	rate := overloadFactor * float64(len(r.world.endpointsOf(engineService))*r.Scenario.Slots) / longRequestTime.Seconds()
	rnd := rand.New(rand.NewPCG(a.Target, 303))
	var wait sync.WaitGroup
	defer wait.Wait()
	for end := time.Now().Add(a.For); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)))
		name := account
		if name == "" {
			name = accountNames[rnd.IntN(len(accountNames))]
		}
		q := &request{
			route: r.operator.overloadRoute(), method: "POST", key: r.operator.pickKey(name),
			body: fmt.Appendf(nil, "%s %d", longBody, rnd.Uint64()),
		}
		r.traffic.send(ctx, &wait, q)
	}
}

// overloadRoute returns the route of the requests of an overload.
func (o *operator) overloadRoute() policy.Route {
	i := slices.IndexFunc(o.classes, func(c class) bool { return c.route.Name == "chat" })
	return o.classes[i].route
}
