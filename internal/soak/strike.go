package soak

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// strike plays one fault to its end.
func (r *run) strike(ctx context.Context, a Action) {
	switch a.Kind {
	case Stop, Kill, Pause:
		r.strikeInstance(ctx, a)
	case StoreDown, StoreSlow:
		r.strikeStore(ctx, a, "")
	case StoreRefuses, StoreLoses, StoreSilent:
		r.strikeStore(ctx, a, r.instances[a.Target%uint64(len(r.instances))].name)
	case Restored:
		r.restoreStore(ctx, a)
	case StoreForgets:
		r.world.store.Compact()
	case CloudDown:
		r.world.cloud.down.Store(true)
		sleep(ctx, a.For)
		r.world.cloud.down.Store(false)
	case Configure:
		r.fail(r.operator.configure())
	case Revoke:
		r.fail(r.operator.revoke(a.Target))
	case GiveUp:
		r.traffic.setLeaving(0.3)
		sleep(ctx, a.For)
		r.traffic.setLeaving(0)
	case Burst:
		r.traffic.setFactor(2.5)
		sleep(ctx, a.For)
		r.traffic.setFactor(1)
	case Deadly:
		r.sendDeadly(ctx, a)
	case LinkSlow, LinkReset, LinkSilent:
		r.strikeLink(ctx, a)
	default:
		if e := r.world.pick(a.Target); e != nil {
			r.strikeEndpoint(ctx, a, e)
		}
	}
}

// fail records that the run itself could not go on as planned.
func (r *run) fail(err error) {
	if err != nil {
		r.record.exit("soak", err.Error())
	}
}

// startsIn is how long after its start an instance counts as disturbed.
const startsIn = time.Second

func (r *run) strikeInstance(ctx context.Context, a Action) {
	i := r.instances[a.Target%uint64(len(r.instances))]
	if !i.acquire() {
		return // another fault strikes it
	}
	defer i.release()
	end := r.record.disrupt(i.name, a.Kind, a.Kind == Stop)
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
		r.fail(i.start())
		sleep(ctx, startsIn)
	}
}

func (r *run) strikeStore(ctx context.Context, a Action, instance string) {
	defer r.record.disrupt(instance, a.Kind, false)()
	r.world.store.SetFaults(instance, storeFaults[a.Kind])
	sleep(ctx, a.For)
	r.world.store.ClearFaults(instance)
}

// linkStates are what links do.
var linkStates = map[Kind][]linkState{
	LinkSlow:   {{delay: 150 * time.Millisecond, perSecond: 200_000}},
	LinkReset:  {{refuses: true}},
	LinkSilent: {{silentTo: true}, {silentOf: true}},
}

// strikeLink harms the link of an instance to the store, or that of all to an endpoint.
func (r *run) strikeLink(ctx context.Context, a Action) {
	var k *link
	if a.Target%3 == 0 {
		i := r.instances[a.Target/3%uint64(len(r.instances))]
		k = r.world.links[i.name]
		defer r.record.disrupt(i.name, a.Kind, false)()
	} else {
		e := r.world.pick(a.Target / 3)
		if e == nil {
			return
		}
		k = e.link
		defer r.record.holdUp(e.id)()
	}
	states := linkStates[a.Kind]
	k.set(states[a.Target/5%uint64(len(states))])
	if a.Kind == LinkReset {
		k.reset()
	}
	sleep(ctx, a.For)
	k.set(linkState{})
}

// rateLimits are what an endpoint names in turn while it is limited.
var rateLimits = []float64{3, 1, 0.5, 6, 2}

func (r *run) strikeEndpoint(ctx context.Context, a Action, e *endpoint) {
	during := func(set, undo func(b *behavior)) {
		e.change(set)
		sleep(ctx, a.For)
		e.change(undo)
	}
	switch a.Kind {
	case Leave, LeaveQuietly:
		r.fail(r.world.leave(ctx, e, a.Kind == LeaveQuietly))
	case Rest:
		during(func(b *behavior) { b.rest = time.Second }, func(b *behavior) { b.rest = 0 })
	case Refuse:
		during(func(b *behavior) { b.refuse = 0.5 }, func(b *behavior) { b.refuse = 0 })
	case Fail:
		r.failService(ctx, a, e.service)
	case Hang:
		during(func(b *behavior) { b.hang = true }, func(b *behavior) { b.hang = false })
	case LoseAnswers:
		during(func(b *behavior) { b.loseAnswers = 0.2 }, func(b *behavior) { b.loseAnswers = 0 })
	case Crash:
		r.world.crashed(e)
	case Limit:
		r.limit(ctx, a, e)
	}
}

// failService makes one or all endpoints of a service fail most of their requests.
func (r *run) failService(ctx context.Context, a Action, service string) {
	struck := r.world.of(service)
	if a.Target/2%2 == 0 {
		struck = struck[:1]
	}
	for _, e := range struck {
		e.change(func(b *behavior) { b.fail = 0.7 })
	}
	sleep(ctx, a.For)
	for _, e := range struck {
		e.change(func(b *behavior) { b.fail = 0 })
	}
}

// limit makes an endpoint name two rate limits in turn, and none after them.
func (r *run) limit(ctx context.Context, a Action, e *endpoint) {
	for n := range uint64(2) {
		rate := rateLimits[(a.Target/7+n)%uint64(len(rateLimits))]
		r.record.rate(check.RateChange{Endpoint: e.id, At: time.Now(), Limited: true, Rate: rate})
		e.change(func(b *behavior) { b.rateLimit = strconv.FormatFloat(rate, 'f', -1, 64) })
		sleep(ctx, a.For/2)
	}
	r.record.rate(check.RateChange{Endpoint: e.id, At: time.Now()})
	e.change(func(b *behavior) { b.rateLimit = "" })
}

// deadlyEvery is the time between two attempts of a request under which endpoints end.
const deadlyEvery = 400 * time.Millisecond

// sendDeadly sends one request again and again, from any caller to any instance.
func (r *run) sendDeadly(ctx context.Context, a Action) {
	class := classes[a.Target%uint64(len(classes))]
	q := &request{route: class.route, method: "POST", key: r.operator.pickKey("north"), body: []byte(strings.Join([]string{deadlyBody, fmt.Sprint(a.Target)}, " "))}
	for end := time.Now().Add(a.For); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, deadlyEvery) {
		c := &caller{traffic: r.traffic}
		c.serve(ctx, q)
		c.close()
	}
}
