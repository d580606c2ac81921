package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// placer chooses servers: by itself in a small fleet and for plain services,
// else by the offers of hubs. It implements forward.Placer.
type placer struct {
	instance *Instance
	desk     *place.Desk // what this node placed as a hub

	mu    sync.Mutex
	rests map[string]time.Time      // hubs that did not answer, until when; guarded by mu
	notes map[string][]*peerpb.Note // to be sent, by hub; guarded by mu
	kick  chan struct{}             // notes are there; has room for one

	owned ownedEndpoints
}

func newPlacer(n *Instance) *placer {
	return &placer{
		instance: n, desk: place.New(n.start), rests: make(map[string]time.Time),
		notes: make(map[string][]*peerpb.Note), kick: make(chan struct{}, 1),
	}
}

// offered is an offer and the hub that made it.
type offered struct {
	place.Offer
	hub      topology.Member
	endpoint registry.Endpoint // as this node knows it; set where the offer is taken
}

// Place implements forward.Placer. A request that a version on trial may get goes there
// if it can.
func (p *placer) Place(ctx context.Context, servers []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	ticket, err := p.placeOnTrial(ctx, r, until, now)
	if ticket == nil && err == nil {
		ticket, err = p.place(ctx, servers, r, until, now)
	}
	if err != nil {
		return nil, err
	}
	p.instance.rollouts.Watch(ticket, r, now)
	return ticket, nil
}

// placeOnTrial places a request at an endpoint of the version on trial. It returns
// neither a ticket nor an error if the request does not go there.
func (p *placer) placeOnTrial(ctx context.Context, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	trial := p.instance.view.Load().Trial[r.Service]
	if len(trial) == 0 || !p.instance.rollouts.Try(r, now) {
		return nil, nil
	}
	q := *r
	q.Trial = true
	ticket, err := p.place(ctx, trial, &q, until, now)
	if errors.Is(err, forward.ErrNoEndpoint) {
		return nil, nil
	}
	return ticket, err
}

// mostClosed bounds the servers that a hub is asked not to offer, a dozen bytes each. Of
// those beyond, an offer is declined.
const mostClosed = 64

// place chooses one of the servers that take requests from this node, by what they said in
// their answers.
func (p *placer) place(ctx context.Context, servers []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	closed, opensAt := p.instance.closed(servers, now)
	if len(closed) == len(servers) && !opensAt.IsZero() {
		return nil, &forward.ClosedError{Until: opensAt}
	}
	if len(closed) > 0 {
		q := *r
		q.Avoid = slices.Concat(r.Avoid, closed[:min(len(closed), mostClosed)])
		r = &q
	}
	hubs := p.instance.state.members.topology()
	if !r.Engine || len(hubs.Hubs) == 0 {
		return p.pick(servers, r, now)
	}
	offers, refusal := p.offers(ctx, hubs, r, until)
	if refusal != nil {
		for _, o := range offers {
			p.decline(o)
		}
		return nil, refusal
	}
	best, ok := p.bestOffer(offers, servers, now)
	if !ok {
		if v := p.instance.admission.alone(r.Account, r.Units, now); !v.OK {
			return nil, &forward.LimitError{Verdict: v}
		}
		return p.pick(servers, r, now)
	}
	ticket := p.instance.tracker.Take(best.endpoint, r, best.Uncached, now)
	ticket.Observe(&noter{p, best})
	return ticket, nil
}

// pick chooses a server by what this node knows itself.
func (p *placer) pick(servers []registry.Endpoint, r *balance.Request, now time.Time) (*balance.Ticket, error) {
	ticket, ok := p.instance.tracker.Pick(p.instance.open(servers, now), r, now)
	if !ok {
		return nil, forward.ErrNoEndpoint
	}
	return ticket, nil
}

// bestOffer takes the best offer of a server that this node knows to take work, and
// declines the others.
func (p *placer) bestOffer(offers []offered, servers []registry.Endpoint, now time.Time) (best offered, found bool) {
	for _, o := range offers {
		var known bool
		o.endpoint, known = lo.Find(servers, func(s registry.Endpoint) bool { return s.ID == o.Endpoint })
		if !known || !p.instance.allows(&o.endpoint, now) || found && o.Cost >= best.Cost {
			p.decline(o)
			continue
		}
		if found {
			p.decline(best)
		}
		best, found = o, true
	}
	return best, found
}

// decline frees the place that an offer holds.
func (p *placer) decline(o offered) {
	p.note(o, &peerpb.Note{Done: true, Result: int32(balance.Cancelled)})
}

func (p *placer) self() place.Asker {
	return place.Asker{Instance: p.instance.Settings.Name, Incarnation: p.instance.incarnation()}
}

// mine returns the servers of a service that this node places requests on.
func (p *placer) mine(service string) []registry.Endpoint {
	return p.owned.get(p.instance.view.Load(), p.instance.state.members.topology(), p.instance.Settings.Name, service)
}

// candidates returns the servers that this node may offer for a request. Those of a
// trial are few, and belong to all hubs.
func (p *placer) candidates(r *balance.Request) []registry.Endpoint {
	if r.Trial {
		return p.instance.view.Load().Trial[r.Service]
	}
	return p.mine(r.Service)
}

// serve answers a node that asks for an offer.
func (p *placer) serve(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q, now := call.GetPlace(), p.instance.Clock.Now()
	r := &balance.Request{
		Service: q.Service, ID: q.Id, Engine: true, Tokens: int(q.Tokens), Avoid: q.Avoid, Slots: int(q.Slots), Once: q.Once, Away: q.Away, Trial: q.Trial,
		Parts: lo.Map(q.Parts, func(part *peerpb.PromptPart, _ int) balance.Part {
			return balance.Part{ID: part.Id, Tokens: int(part.Tokens)}
		}),
	}
	if v := p.instance.admission.confirm(q.Account, q.Units, now); !v.OK {
		x := &peerpb.Refusal{Level: v.Level, Need: v.Need, Known: v.Known, Wait: int64(v.RetryAt.Sub(now))}
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Refusal: x}}})
	}
	asker := place.Asker{Instance: call.From, Incarnation: q.Incarnation}
	o, _ := p.desk.Offer(asker, p.candidates(r), r, now.Add(time.Duration(q.Left)), now)
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Server: o.Endpoint, Cost: o.Cost, Ticket: o.Ticket, Uncached: int64(o.Uncached)}}})
}

// tidy ends what must be over.
func (p *placer) tidy(wanted func(server string) bool, now time.Time) {
	p.instance.tracker.FromDesk(p.desk.Estimates())
	p.desk.Adopt(p.instance.tracker.Agreed())
	members := map[string]bool{p.instance.Settings.Name: true}
	for _, m := range p.instance.state.members.list() {
		members[m.Name] = true
	}
	p.desk.Expire(func(node string) bool { return members[node] }, wanted, now)
}

var _ forward.Placer = (*placer)(nil)

// ownedEndpoints remembers which servers belong to this node while neither the
// servers nor the hubs change.
type ownedEndpoints struct {
	mu   sync.Mutex
	view *forward.View
	hubs *topology.Topology
	by   map[string][]registry.Endpoint // by service
}

func (o *ownedEndpoints) get(view *forward.View, hubs *topology.Topology, self, service string) []registry.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view != view || o.hubs != hubs {
		o.view, o.hubs, o.by = view, hubs, make(map[string][]registry.Endpoint)
	}
	servers, known := o.by[service]
	if !known {
		servers = place.Owned(self, hubs.Names(), view.Endpoints[service])
		o.by[service] = servers
	}
	return servers
}
