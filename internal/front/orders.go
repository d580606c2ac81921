package front

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fleet"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Times of orders.
const (
	planEvery    = 400 * time.Millisecond
	orderAgain   = 3 * time.Second // beside the time to boot, until an order that shows no effect is sent again
	listedBy     = 6 * time.Second // after its start a node knows which servers there are
	trafficFloor = 0.02            // servers' worth of work from which there is traffic
)

// ordered is the last order for a hall.
type ordered struct {
	count int
	at    time.Time
	most  int // servers that were there at once since then
}

// again reports whether the order has to be sent once more: servers that were
// there are lost, or it shows no effect although there was time to boot.
func (l ordered) again(there int, boot time.Duration, now time.Time) bool {
	if there >= l.count {
		return false
	}
	return there < l.most || now.Sub(l.at) > boot+orderAgain
}

// orderKey names what an order is about.
type orderKey struct {
	service, hall string
	spot          bool
}

// orders carries plans out while this node acts for all.
type orders struct {
	instance *Instance
	planners map[string]*fleet.Planner // by service
	last     map[orderKey]ordered
	holder   duty.Token
}

// orderEndpoints orders and gives back servers.
func (n *Instance) orderEndpoints(ctx context.Context) error {
	o := &orders{instance: n}
	for n.Clock.Sleep(ctx, planEvery) {
		token, _, ok := n.elector.Token(n.Clock.Now())
		if !ok || n.Settings.Cloud.Port() == 0 {
			continue
		}
		if token != o.holder {
			// What was ordered before is not known: all is ordered again.
			o.holder, o.planners, o.last = token, make(map[string]*fleet.Planner), make(map[orderKey]ordered)
		}
		o.round(ctx)
	}
	return ctx.Err()
}

func (o *orders) round(ctx context.Context) {
	view := o.instance.view.Load()
	if view.Config == nil {
		return
	}
	for i := range view.Config.Services {
		s := &view.Config.Services[i]
		if s.Scaling == nil || len(view.Endpoints[s.Name]) == 0 && o.instance.Clock.Since(o.instance.start) < listedBy {
			continue
		}
		o.service(ctx, s)
	}
}

// service plans for one service and sends what differs from the last orders.
func (o *orders) service(ctx context.Context, s *policy.Service) {
	p := o.planners[s.Name]
	if p == nil {
		p = fleet.New()
		o.planners[s.Name] = p
	}
	now := o.instance.Clock.Now()
	in := o.input(s, now)
	wants := p.Plan(in, now)
	// More is ordered before less is.
	for _, more := range []bool{true, false} {
		if !more && o.rollsOut(s.Name) {
			return
		}
		for _, w := range wants {
			o.order(ctx, s, p, in, orderKey{s.Name, w.Hall, true}, w.Spot, more)
			o.order(ctx, s, p, in, orderKey{s.Name, w.Hall, false}, w.Regular, more)
		}
	}
}

// rollsOut reports whether a roll-out of a service is under way. Nothing is given back
// then: endpoints of two versions stand side by side, and which of them would go is not
// for this node to say.
func (o *orders) rollsOut(service string) bool {
	r, ordered := o.instance.view.Load().Rollouts[service]
	return ordered && !r.Phase.Final()
}

func (o *orders) input(s *policy.Service, now time.Time) fleet.Input {
	x := s.Scaling
	in := fleet.Input{Min: x.Min, Max: x.Max, SpotPrice: x.SpotPrice}
	demand := o.instance.tracker.FleetDemand(s.Name, now)
	in.Busy, in.Held = demand.Busy, demand.Held
	in.Known = in.Busy > trafficFloor
	halls := make(map[string]*fleet.Hall)
	for name, price := range x.HallPrices {
		halls[name] = &fleet.Hall{Name: name, Price: price}
	}
	for _, server := range o.instance.view.Load().Endpoints[s.Name] {
		h := halls[server.Hall]
		if h == nil {
			h = &fleet.Hall{Name: server.Hall, Price: 1}
			halls[server.Hall] = h
		}
		if server.Spot {
			h.Spot++
		} else {
			h.Regular++
		}
	}
	for _, h := range halls {
		h.SpotComing = o.coming(s, orderKey{s.Name, h.Name, true}, h.Spot, now)
		h.RegularComing = o.coming(s, orderKey{s.Name, h.Name, false}, h.Regular, now)
		in.Halls = append(in.Halls, *h)
	}
	slices.SortFunc(in.Halls, func(a, b fleet.Hall) int { return strings.Compare(a.Name, b.Name) })
	return in
}

// coming returns how many of the servers last ordered are still to come.
func (o *orders) coming(s *policy.Service, k orderKey, there int, now time.Time) int {
	last, told := o.last[k]
	if !told || now.Sub(last.at) > s.Scaling.Boot+orderAgain {
		return 0
	}
	return max(0, last.count-there)
}

// order sends one order if it changes something, or if the last one seems to
// have come to nothing.
func (o *orders) order(ctx context.Context, s *policy.Service, p *fleet.Planner, in fleet.Input, k orderKey, count int, more bool) {
	now := o.instance.Clock.Now()
	there := there(in, k)
	last, told := o.last[k]
	if told {
		last.most = max(last.most, there)
		o.last[k] = last
	} else {
		last.count = there
	}
	again := told && count == last.count && last.again(there, s.Scaling.Boot, now)
	if count == last.count && !again || (count > last.count || again) != more {
		return
	}
	if k.spot && count > there && !p.MayAsk(k.hall, now) {
		return
	}
	call, cancel, token, ok := o.instance.acting(ctx)
	if !ok {
		return
	}
	defer cancel()
	err := o.instance.Cloud.Order(call, token, k.service, k.hall, count, k.spot)
	fields := []zap.Field{
		zap.String("service", k.service), zap.String("hall", k.hall), zap.Bool("spot", k.spot), zap.Int("count", count),
		zap.Int("there", there), zap.Float64("busy", in.Busy), zap.Float64("held", in.Held), zap.Int64("fence", int64(token.Fence)),
	}
	if err != nil {
		if errors.Is(err, duty.ErrSoldOut) {
			p.Refused(k.hall, now)
			delete(o.last, k)
		}
		o.instance.event(event.FleetRefused, append(fields, zap.Error(err))...)
		return
	}
	o.last[k] = ordered{count: count, at: now, most: there}
	if k.spot && count > there {
		p.Accepted(k.hall)
	}
	o.instance.event(event.FleetOrdered, fields...)
}

func there(in fleet.Input, k orderKey) int {
	for _, h := range in.Halls {
		if h.Name == k.hall && k.spot {
			return h.Spot
		}
		if h.Name == k.hall {
			return h.Regular
		}
	}
	return 0
}
