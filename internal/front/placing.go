package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// placer chooses the endpoint for a request. For the model engines of a fleet with hubs it
// asks the hubs for offers, and for plain services that hubs place (plain.go) one hub; in small
// fleets and for other services it decides locally. It implements forward.Placer.
type placer struct {
	instance  *Instance
	scheduler *place.Scheduler // requests that this instance placed as a hub

	mu                sync.Mutex
	backoffUntil      map[string]time.Time    // when hubs that did not answer are asked again; guarded by mu
	plainBackoffUntil map[string]time.Time    // the same for requests to plain services; guarded by mu
	notes             map[string][]queuedNote // to be sent, by name of the hub; guarded by mu
	notesQueued       chan struct{}           // signals sendNotes; capacity 1
	waiting           atomic.Int64            // requests that wait for room at brittle endpoints

	owned      ownershipCache
	partitions partitionCache
	plainNotes *plainNotes
}

func newPlacer(n *Instance) *placer {
	p := &placer{
		instance: n, scheduler: place.New(n.start, n.loads, balance.WithLoadReports(n.balancedLoads())), backoffUntil: make(map[string]time.Time), plainBackoffUntil: make(map[string]time.Time),
		notes: make(map[string][]queuedNote), notesQueued: make(chan struct{}, 1), plainNotes: newPlainNotes(),
	}
	p.startAdmission()
	return p
}

// hubOffer is an offer and the hub that made it.
type hubOffer struct {
	place.Offer
	hub      topology.Member
	plain    bool              // it is for a plain service
	endpoint registry.Endpoint // as this instance knows it; set by bestOffer
}

// Place implements forward.Placer. It prefers an endpoint of a version on trial if the
// roll-out allows this request there.
func (p *placer) Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	ticket, err := p.placeOnTrial(ctx, r, until, now)
	if ticket == nil && err == nil && r.Resumes && p.isOnTrial(r) {
		err = forward.ErrNoEndpoint
	}
	if ticket == nil && err == nil {
		ticket, err = p.place(ctx, endpoints, r, until, now)
	}
	if err != nil {
		return nil, err
	}
	p.instance.rollouts.Observe(ticket, r, now)
	return ticket, nil
}

// placeOnTrial places a request on an endpoint of the version on trial. It returns neither
// a ticket nor an error if the request is not eligible for the trial or no endpoint of it
// is available.
func (p *placer) placeOnTrial(ctx context.Context, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	trial := p.instance.view.Load().TrialEndpoints[r.Service]
	q := *r
	q.Trial = true
	if r.Resumes {
		if !p.isOnTrial(r) {
			return nil, nil
		}
		q.Avoid = nil // a stream that began at the version on trial has nowhere else to go on
	}
	if len(trial) == 0 || !p.instance.rollouts.AdmitTrial(&q, now) {
		return nil, nil
	}
	q.Avoid = r.Avoid
	ticket, err := p.place(ctx, trial, &q, until, now)
	if errors.Is(err, forward.ErrNoEndpoint) {
		return nil, nil
	}
	return ticket, err
}

// isOnTrial reports whether a request is for the rest of a stream that began at the version on trial.
func (p *placer) isOnTrial(r *balance.Request) bool {
	trial := p.instance.view.Load().TrialEndpoints[r.Service]
	return len(trial) > 0 && trial[0].Version == r.Version
}

// maxAvoid bounds the unavailable endpoints listed in a request for an offer, at a dozen
// bytes each. Offers of the ones left out are declined.
const maxAvoid = 64

// place chooses one of the endpoints to which this instance may send now. Endpoints are
// unavailable while they announce that they leave, during a backoff that they requested, and
// while they are at their rate limit.
func (p *placer) place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	excluded, opensAt := p.instance.unavailable(endpoints, now)
	if len(excluded) == len(endpoints) && !opensAt.IsZero() {
		return nil, &forward.ThrottledError{Until: opensAt}
	}
	if len(excluded) > 0 {
		q := *r
		q.Avoid = slices.Concat(r.Avoid, excluded[:min(len(excluded), maxAvoid)])
		r = &q
	}
	hubs := p.instance.state.members.topology()
	if !r.Engine {
		return p.placePlain(ctx, hubs, endpoints, r, until, now)
	}
	if len(hubs.Hubs) == 0 {
		return p.pick(ctx, endpoints, r, now)
	}
	offers, confirmed, refusal := p.offers(ctx, hubs, r, until)
	if refusal != nil {
		for _, o := range offers {
			p.decline(o)
		}
		return nil, refusal
	}
	best, ok := p.bestOffer(offers, endpoints, now)
	if !ok || !confirmed {
		if v := p.instance.admission.admitWithoutHub(r.Account, r.Units, now); !v.OK {
			if ok {
				p.decline(best)
			}
			return nil, &forward.LimitError{Verdict: v}
		}
	}
	if !ok {
		return p.pick(ctx, endpoints, r, now)
	}
	return p.accept(best, r, now), nil
}

// accept counts a request at the endpoint of an offer and reports its progress to the hub.
func (p *placer) accept(o hubOffer, r *balance.Request, now time.Time) *balance.Ticket {
	ticket := p.instance.tracker.CountPlaced(o.endpoint, r, o.Uncached, now)
	ticket.FirstAt, ticket.Returned = o.FirstAt, o.Returned
	ticket.Observe(&noteObserver{p, o})
	return ticket
}

// pick chooses an endpoint locally, without asking a hub.
func (p *placer) pick(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, now time.Time) (*balance.Ticket, error) {
	if p.instance.brittle.Most(r.Service, now) > 0 {
		return p.pickBrittle(ctx, endpoints, r, now)
	}
	ticket, ok := p.instance.tracker.Pick(p.instance.available(endpoints, now), r, now)
	if !ok {
		return nil, forward.ErrNoEndpoint
	}
	return ticket, nil
}

// bestOffer returns the cheapest offer whose endpoint is known and available here, and
// declines the others.
func (p *placer) bestOffer(offers []hubOffer, endpoints []registry.Endpoint, now time.Time) (best hubOffer, found bool) {
	for _, o := range offers {
		var known bool
		o.endpoint, known = lo.Find(endpoints, func(s registry.Endpoint) bool { return s.ID == o.Endpoint })
		if !known || !p.instance.isAvailable(&o.endpoint, now) || found && o.Cost >= best.Cost {
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

// decline releases the slot that the hub reserved for an offer.
func (p *placer) decline(o hubOffer) {
	p.note(o, &peerpb.Note{Done: true, Result: int32(balance.Cancelled), Declined: true})
}

// self identifies this instance and its incarnation to the scheduler of a hub.
func (p *placer) self() place.Requester {
	return place.Requester{Instance: p.instance.Settings.Name, Incarnation: p.instance.incarnation()}
}

// ownEndpoints returns the endpoints of a service that this hub is responsible for.
func (p *placer) ownEndpoints(service string) []registry.Endpoint {
	return p.owned.get(p.instance.view.Load(), p.instance.state.members.topology(), p.instance.Settings.Name, service)
}

// candidates returns the endpoints that this hub may offer for a request. The endpoints of
// a version on trial are few, so that every hub may offer all of them.
func (p *placer) candidates(r *balance.Request) []registry.Endpoint {
	var endpoints []registry.Endpoint
	switch {
	case !r.Engine:
		endpoints = p.plainCandidates(r)
	case r.Trial:
		endpoints = p.instance.view.Load().TrialEndpoints[r.Service]
	default:
		endpoints = p.ownEndpoints(r.Service)
	}
	if !r.Resumes {
		return endpoints
	}
	return lo.Filter(endpoints, func(e registry.Endpoint, _ int) bool { return e.Version == r.Version })
}

// servePlace answers an instance that asks this hub for an offer.
func (p *placer) servePlace(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q, now := call.GetPlace(), p.instance.Clock.Now()
	r := &balance.Request{
		Service: q.Service, ID: q.Id, Engine: !q.Plain, Fingerprint: q.Fingerprint, Tokens: int(q.Tokens), Avoid: q.Avoid, Slots: int(q.Slots), NonIdempotent: q.Once, HomeElsewhere: q.Away, Trial: q.Trial, Resumes: q.Resumes, Version: q.Version,
		Parts: lo.Map(q.Parts, func(part *peerpb.PromptPart, _ int) balance.Part {
			return balance.Part{ID: part.Id, Tokens: int(part.Tokens)}
		}),
	}
	readScheduling(r, q, now)
	if v := p.instance.admission.confirmAtHub(q.Account, q.Units, now); !v.OK {
		x := &peerpb.Refusal{Level: v.Level, Need: v.RequiredLevel, Known: v.KnownShare, Wait: int64(v.RetryAt.Sub(now))}
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Refusal: x}}})
	}
	asker := place.Requester{Instance: call.From, Incarnation: q.Incarnation}
	o, _ := p.scheduler.Offer(asker, p.withRoom(p.candidates(r), now), r, now.Add(time.Duration(q.Left)), now)
	if o.Refusal != nil {
		p.instance.admission.withdrawAtHub(q.Account, q.Units, now)
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Overload: refusalMessage(o.Refusal, now)}}})
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{
		Server: o.Endpoint, Cost: o.Cost, Ticket: o.Ticket, Uncached: int64(o.Uncached), First: durationUntil(o.FirstAt, now), Returned: o.Returned,
	}}})
}

// expire syncs estimates between the tracker and the scheduler, and ends placed requests
// whose deadline has passed or whose instance or endpoint is gone.
func (p *placer) expire(wanted func(endpoint string) bool, now time.Time) {
	p.instance.tracker.SetHubEstimates(p.scheduler.Estimates())
	p.scheduler.AdoptEstimates(p.instance.tracker.CombinedEstimates())
	p.scheduler.AdoptWork(p.instance.tracker.MeanWork(now))
	members := map[string]bool{p.instance.Settings.Name: true}
	for _, m := range p.instance.state.members.list() {
		members[m.Name] = true
	}
	p.scheduler.Expire(func(name string) bool { return members[name] }, wanted, now)
}

var _ forward.Placer = (*placer)(nil)

// ownershipCache caches which endpoints this hub is responsible for. It is cleared when the
// view or the topology changes.
type ownershipCache struct {
	mu        sync.Mutex
	view      *forward.View
	hubs      *topology.Topology
	byService map[string][]registry.Endpoint // by name of the service
}

// get returns the endpoints of a service that are assigned to the hub self.
func (o *ownershipCache) get(view *forward.View, hubs *topology.Topology, self, service string) []registry.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view != view || o.hubs != hubs {
		o.view, o.hubs, o.byService = view, hubs, make(map[string][]registry.Endpoint)
	}
	endpoints, known := o.byService[service]
	if !known {
		endpoints = place.Owned(self, hubs.HubNames(), view.Endpoints[service])
		o.byService[service] = endpoints
	}
	return endpoints
}
