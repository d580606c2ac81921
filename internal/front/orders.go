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

// Parameters of ordering capacity from the platform.
const (
	planInterval = 400 * time.Millisecond
	reorderDelay = 3 * time.Second // beyond the boot time; then an order without effect is sent again
	listingDelay = 6 * time.Second // after its start an instance has listed the endpoints that exist
	minTraffic   = 0.02            // load, in endpoints, from which a service counts as having traffic
)

// lastOrder is the last order sent for an orderKey.
type lastOrder struct {
	count       int
	sentAt      time.Time
	mostPresent int // highest number of endpoints present since then
}

// mustRepeat reports whether the order has to be sent again: endpoints were lost since, or
// the order had no effect within the boot time plus reorderDelay.
func (l lastOrder) mustRepeat(present int, boot time.Duration, now time.Time) bool {
	if present >= l.count {
		return false
	}
	return present < l.mostPresent || now.Sub(l.sentAt) > boot+reorderDelay
}

// orderKey identifies the capacity that an order sets: endpoints of a service in a hall,
// either reclaimable (spot) or regular.
type orderKey struct {
	service, hall string
	spot          bool
}

// scaler orders capacity according to the fleet plans while this instance is the leader.
type scaler struct {
	instance  *Instance
	planners  map[string]*fleet.Planner // by service
	last      map[orderKey]lastOrder    // sent in this term
	lastToken duty.Token                // of the term that planners and last belong to
}

// scaleEndpoints runs the scaler, which orders endpoints and gives them back, until ctx
// ends.
func (n *Instance) scaleEndpoints(ctx context.Context) error {
	o := &scaler{instance: n}
	for n.Clock.Sleep(ctx, planInterval) {
		token, _, ok := n.elector.Token(n.Clock.Now())
		if !ok || n.Settings.Cloud.Port() == 0 {
			continue
		}
		if token != o.lastToken {
			// Orders of the previous leader are unknown: start over and order everything again.
			o.lastToken, o.planners, o.last = token, make(map[string]*fleet.Planner), make(map[orderKey]lastOrder)
		}
		o.planAll(ctx)
	}
	return ctx.Err()
}

// planAll plans for each service with scaling. A service without endpoints is skipped until
// listingDelay after the start: they may not have been listed yet.
func (o *scaler) planAll(ctx context.Context) {
	view := o.instance.view.Load()
	if view.Config == nil {
		return
	}
	for i := range view.Config.Services {
		s := &view.Config.Services[i]
		if s.Scaling == nil || len(view.Endpoints[s.Name]) == 0 && o.instance.Clock.Since(o.instance.start) < listingDelay {
			continue
		}
		o.planService(ctx, s)
	}
}

// planService plans for one service and sends the orders that differ from the last ones.
func (o *scaler) planService(ctx context.Context, s *policy.Service) {
	p := o.planners[s.Name]
	if p == nil {
		p = fleet.New()
		o.planners[s.Name] = p
	}
	now := o.instance.Clock.Now()
	in := o.planInput(s, now)
	wants := p.Plan(in, now)
	// Increases are ordered before decreases.
	for _, more := range []bool{true, false} {
		if !more && o.rolloutActive(s.Name) {
			return
		}
		for _, w := range wants {
			o.order(ctx, s, p, in, orderKey{s.Name, w.Hall, true}, w.Spot, more)
			o.order(ctx, s, p, in, orderKey{s.Name, w.Hall, false}, w.Regular, more)
		}
	}
}

// rolloutActive reports whether a roll-out of a service is in progress. No endpoints are
// given back then: two versions run side by side, and this instance cannot choose which
// endpoints the platform removes.
func (o *scaler) rolloutActive(service string) bool {
	r, ordered := o.instance.view.Load().Rollouts[service]
	return ordered && !r.Phase.Final()
}

// planInput collects the demand, prices and endpoint counts from which a plan is made.
func (o *scaler) planInput(s *policy.Service, now time.Time) fleet.Input {
	x := s.Scaling
	in := fleet.Input{Min: x.Min, Max: x.Max, SpotPrice: x.SpotPrice}
	demand := o.instance.tracker.FleetDemand(s.Name, now)
	in.PrefillLoad, in.SlotLoad = demand.Busy, demand.Held
	in.LoadKnown = in.PrefillLoad > minTraffic
	halls := make(map[string]*fleet.Hall)
	for name, price := range x.HallPrices {
		halls[name] = &fleet.Hall{Name: name, Price: price}
	}
	for _, endpoint := range o.instance.view.Load().Endpoints[s.Name] {
		h := halls[endpoint.Hall]
		if h == nil {
			h = &fleet.Hall{Name: endpoint.Hall, Price: 1}
			halls[endpoint.Hall] = h
		}
		if endpoint.Spot {
			h.Spot++
		} else {
			h.Regular++
		}
	}
	for _, h := range halls {
		h.SpotStarting = o.pendingCount(s, orderKey{s.Name, h.Name, true}, h.Spot, now)
		h.RegularStarting = o.pendingCount(s, orderKey{s.Name, h.Name, false}, h.Regular, now)
		in.Halls = append(in.Halls, *h)
	}
	slices.SortFunc(in.Halls, func(a, b fleet.Hall) int { return strings.Compare(a.Name, b.Name) })
	return in
}

// pendingCount returns how many of the endpoints last ordered have not appeared yet. An order
// older than the boot time plus reorderDelay is no longer counted.
func (o *scaler) pendingCount(s *policy.Service, k orderKey, present int, now time.Time) int {
	last, exists := o.last[k]
	if !exists || now.Sub(last.sentAt) > s.Scaling.Boot+reorderDelay {
		return 0
	}
	return max(0, last.count-present)
}

// order sends one order if the count changed or the last order must be repeated. more
// selects increases and repeats; otherwise only decreases are sent.
func (o *scaler) order(ctx context.Context, s *policy.Service, p *fleet.Planner, in fleet.Input, k orderKey, count int, more bool) {
	now := o.instance.Clock.Now()
	present := presentCount(in, k)
	last, exists := o.last[k]
	if exists {
		last.mostPresent = max(last.mostPresent, present)
		o.last[k] = last
	} else {
		last.count = present
	}
	again := exists && count == last.count && last.mustRepeat(present, s.Scaling.Boot, now)
	if count == last.count && !again || (count > last.count || again) != more {
		return
	}
	if k.spot && count > present && !p.MayRequestSpot(k.hall, now) {
		return
	}
	call, cancel, token, ok := o.instance.leaderContext(ctx)
	if !ok {
		return
	}
	defer cancel()
	err := o.instance.Cloud.Order(call, token, k.service, k.hall, count, k.spot)
	fields := []zap.Field{
		zap.String("service", k.service), zap.String("hall", k.hall), zap.Bool("spot", k.spot), zap.Int("count", count),
		zap.Int("there", present), zap.Float64("busy", in.PrefillLoad), zap.Float64("held", in.SlotLoad), zap.Int64("fence", int64(token.Fence)),
	}
	if err != nil {
		if errors.Is(err, duty.ErrNoCapacity) {
			p.SpotRefused(k.hall, now)
			delete(o.last, k)
		}
		o.instance.event(event.EndpointOrderRefused, append(fields, zap.Error(err))...)
		return
	}
	o.last[k] = lastOrder{count: count, sentAt: now, mostPresent: present}
	if k.spot && count > present {
		p.SpotGranted(k.hall)
	}
	o.instance.event(event.EndpointsOrdered, fields...)
}

// presentCount returns how many endpoints of the kind that the key names are present.
func presentCount(in fleet.Input, k orderKey) int {
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
