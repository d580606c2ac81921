package front

import (
	"cmp"
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/brittle"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// newBrittle returns the table of services whose endpoints fall over after too many rejections.
func newBrittle(n *Instance) *brittle.Table {
	return brittle.New(brittle.Options{
		Self: n.Settings.Name, Start: n.start,
		Instances: n.otherNames,
		TimeOfDay: n.walltime.At,
		Slots:     n.slotsOf,
		Endpoints: func(service string) []registry.Endpoint { return n.view.Load().Endpoints[service] },
		OnChange: func(service string, most int) {
			n.event(event.ServiceBrittle, zap.String("service", service), zap.Int("most", most))
		},
	})
}

// slotsOf returns how many requests an endpoint handles at once; 0 if that is unknown.
func (n *Instance) slotsOf(e *registry.Endpoint) int {
	if c := n.view.Load().Config; c != nil {
		if s := c.Service(e.Service); s != nil && s.Engine != nil {
			return cmp.Or(s.Engine.Slots, e.Slots)
		}
	}
	return e.Slots
}

const (
	// brittleWait is after what time a request that brittle endpoints have no room for may come again.
	brittleWait = 100 * time.Millisecond
	// maxRoomWait and roomPollInterval are for requests that wait here for room, as they would in the
	// queue of an endpoint that is not brittle, for no longer than if they were refused.
	maxRoomWait      = brittleWait
	roomPollInterval = 2 * time.Millisecond
	// waitingShare bounds how many requests wait, as a share of this instance's slots, so that most of
	// them find room in time.
	waitingShare = 0.5
)

// pickBrittle chooses an endpoint of a brittle service: one at which the request is certain to find
// room, or else one at which this instance may risk a rejection. If there is none, a few requests wait
// for a moment.
func (p *placer) pickBrittle(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, now time.Time) (*balance.Ticket, error) {
	n := p.instance
	end, waits := now.Add(maxRoomWait), false
	for {
		room := n.brittle.Split(n.available(endpoints, now), n.tracker.Open, now)
		if ticket, ok := n.tracker.Pick(room.Within, r, now); ok {
			ticket.Observe(brittle.Observer{Table: n.brittle, Clock: n.Clock, Endpoint: &ticket.Endpoint})
			return ticket, nil
		}
		if ticket, ok := n.tracker.Pick(room.Beyond, r, now); ok {
			if n.brittle.TakeRisk(ticket.Endpoint.ID, now) {
				ticket.Observe(brittle.Observer{Table: n.brittle, Clock: n.Clock, Endpoint: &ticket.Endpoint, Beyond: true})
				return ticket, nil
			}
			ticket.Done(balance.Cancelled, now)
		}
		if !waits {
			waits = true
			defer p.waiting.Add(-1)
			if float64(p.waiting.Add(1)) > max(1, waitingShare*float64(room.Share)) {
				break
			}
		}
		if !now.Before(end) || !n.Clock.Sleep(ctx, roomPollInterval) {
			break
		}
		now = n.Clock.Now()
	}
	return nil, &forward.ThrottledError{Until: now.Add(brittleWait)}
}

// withRoom returns those of the endpoints that this hub may offer: of a brittle service, only those with
// a free slot. The hub places nearly all requests there, so that it knows.
func (p *placer) withRoom(endpoints []registry.Endpoint, now time.Time) []registry.Endpoint {
	n := p.instance
	if len(endpoints) == 0 || n.brittle.Most(endpoints[0].Service, now) == 0 {
		return endpoints
	}
	return lo.Filter(endpoints, func(e registry.Endpoint, _ int) bool {
		slots := n.slotsOf(&e)
		return slots == 0 || p.scheduler.OpenAt(e.ID) < slots
	})
}
