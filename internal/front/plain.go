package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Plain services through hubs: docs/design/plain-services.md.

const (
	// plainTargetShare is the part of the time left until the target in which a hub has to make an
	// offer for a request to a plain service, if that is less than offerTimeout.
	plainTargetShare = 4
	// minHubSilence is the shortest wait after which a hub that did not answer is not asked for
	// hubBackoff. A request close to its target waits less, which says nothing about the hub.
	minHubSilence = 10 * time.Millisecond
	// maxPlainNoteCalls bounds the calls with notes on plain requests in progress. At the limit, notes
	// gather and are sent together.
	maxPlainNoteCalls = 64
)

// usesPlainHubs reports whether hubs choose the endpoints for requests to a plain service. They do
// while its endpoints report a slowdown.
func (p *placer) usesPlainHubs(service string, now time.Time) bool {
	return p.instance.Settings.Overload.PlainHubs && p.instance.loads.Reporting(service, now)
}

// placePlain places a request to a plain service. It asks the hub of the request's partition, if hubs
// place such requests, and chooses an endpoint locally if there is no usable offer.
func (p *placer) placePlain(ctx context.Context, hubs *topology.Topology, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	if len(hubs.Hubs) == 0 || !p.usesPlainHubs(r.Service, now) {
		return p.pick(ctx, endpoints, r, now)
	}
	offers, err := p.plainOffers(ctx, hubs, r, until, now)
	if err != nil {
		return nil, err
	}
	now = p.instance.Clock.Now() // the wait for the hub is no part of the response time of the endpoint
	best, ok := p.bestOffer(offers, endpoints, now)
	if !ok {
		return p.pick(ctx, endpoints, r, now)
	}
	return p.accept(best, r, now), nil
}

// plainOffers asks one hub for an offer: the first for the request's partition that is not in backoff.
// It returns no offer if the hub has none or does not make it in time, and an error if the hub lacks the
// capacity for the request.
func (p *placer) plainOffers(ctx context.Context, hubs *topology.Topology, r *balance.Request, until, now time.Time) ([]hubOffer, error) {
	timeout := plainTimeout(r, now)
	hub, ok := p.availableHub(p.partitions.hubs(p.instance.view.Load(), hubs, r), now)
	if !ok || timeout <= 0 {
		return nil, nil
	}
	q := *r
	q.Account, q.Units = "", 0 // the limit was checked by Admission.Admit
	replies := p.requestOffers(ctx, []topology.Member{hub}, &q, until)
	late := time.NewTimer(timeout)
	defer late.Stop()
	select {
	case reply := <-replies:
		var refused *forward.OverloadError
		switch {
		case reply.err == nil:
			return []hubOffer{reply.offer}, nil
		case errors.As(reply.err, &refused):
			return nil, refused
		case !errors.Is(reply.err, errNoEndpoint):
			p.backOffPlain(hub) // it cannot be reached, so that the next one is asked
		}
		return nil, nil
	case <-late.C:
		if timeout >= minHubSilence {
			p.backOffPlain(hub)
		}
	case <-ctx.Done(): // the client left, which says nothing about the hub
	}
	go p.declineLateOffers(replies, 1)
	return nil, nil
}

// plainTimeout returns how long a request to a plain service waits for a hub.
func plainTimeout(r *balance.Request, now time.Time) time.Duration {
	if r.Target.IsZero() {
		return offerTimeout
	}
	return min(offerTimeout, r.Target.Sub(now)/plainTargetShare)
}

// backOffPlain excludes a hub from requests for offers for plain services for hubBackoff. It is still
// asked for model endpoints: their requests wait longer for a hub, and lose more without one.
func (p *placer) backOffPlain(hub topology.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plainBackoffUntil[hub.Name] = p.instance.Clock.Now().Add(hubBackoff)
}

// availableHub returns the first of the hubs that is not in backoff for plain services.
func (p *placer) availableHub(hubs []topology.Member, now time.Time) (topology.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, hub := range hubs {
		if !now.Before(p.plainBackoffUntil[hub.Name]) {
			return hub, true
		}
	}
	return topology.Member{}, false
}

// plainCandidates returns the endpoints that this hub may offer for a request to a plain service:
// those that it assigns to the request's partition, whether or not it is the first hub for that.
func (p *placer) plainCandidates(r *balance.Request) []registry.Endpoint {
	return p.partitions.endpoints(p.instance.view.Load(), r)
}

// applyLocalLoads lets this hub count, for plain services, the requests whose endpoints the instances
// of a group chose themselves, as they and their hub reported them.
func (p *placer) applyLocalLoads(group string, loads map[string]balance.Load, until, now time.Time) {
	if p.instance.Settings.Overload.PlainHubs {
		p.scheduler.ApplyLoads(group, loads, until, now)
	}
}

// applyGroupLoads does the same for this hub's own group.
func (p *placer) applyGroupLoads(reported map[string]balance.Load, now time.Time) {
	if !p.instance.Settings.Overload.PlainHubs {
		return
	}
	loads := p.instance.locallyPlacedUses()
	addUses(loads, reported)
	p.scheduler.ApplyLoads(groupName(p.instance.Settings.Name), loads, now.Add(minShareTTL), now)
}

// partitionCache caches the partitions of plain services and the hubs that are asked for them.
type partitionCache struct {
	mu       sync.Mutex
	view     *forward.View
	topology *topology.Topology
	services map[partitionedService]*partitionEntry
}

// partitionedService identifies a list of endpoints in a view.
type partitionedService struct {
	name  string
	trial bool // the endpoints of the version on trial
}

type partitionEntry struct {
	source     []registry.Endpoint // the endpoints that were partitioned
	partitions place.Partitions
	hubs       [][]topology.Member // by partition, in the order in which they are asked; nil if not computed yet
}

// hubs returns the hubs to ask for a request, the first first.
func (c *partitionCache) hubs(view *forward.View, hubs *topology.Topology, r *balance.Request) []topology.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topology != hubs {
		c.topology = hubs
		for _, e := range c.services {
			e.hubs = nil
		}
	}
	e := c.entry(view, r)
	partition := e.partitions.Index(r)
	if partition < 0 {
		return nil
	}
	if e.hubs == nil {
		e.hubs = make([][]topology.Member, e.partitions.Len())
	}
	if e.hubs[partition] == nil {
		for _, name := range place.PartitionHubs(r.Service, partition, hubs.HubNames()) {
			e.hubs[partition] = append(e.hubs[partition], hubs.Hub(name))
		}
	}
	return e.hubs[partition]
}

// endpoints returns the endpoints of the partition that serves a request.
func (c *partitionCache) endpoints(view *forward.View, r *balance.Request) []registry.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(view, r)
	return e.partitions.Endpoints(e.partitions.Index(r))
}

// entry returns the partitions of a request's service. They are computed again only if its endpoints
// have changed: a view is published each second, and 2,300 endpoints take 18 ms. The caller holds mu.
func (c *partitionCache) entry(view *forward.View, r *balance.Request) *partitionEntry {
	if c.view != view {
		c.view = view
		for key, e := range c.services {
			if !slices.Equal(e.source, endpointsIn(view, key)) {
				delete(c.services, key)
			}
		}
	}
	key := partitionedService{r.Service, r.Trial}
	e := c.services[key]
	if e == nil {
		source := endpointsIn(view, key)
		e = &partitionEntry{source: source, partitions: place.Partition(r.Service, source)}
		if c.services == nil {
			c.services = make(map[partitionedService]*partitionEntry)
		}
		c.services[key] = e
	}
	return e
}

func endpointsIn(view *forward.View, s partitionedService) []registry.Endpoint {
	if s.trial {
		return view.TrialEndpoints[s.name]
	}
	return view.Endpoints[s.name]
}

// plainNotes are notes on requests to plain services, which are sent at once. Such a request often
// ends after 15 to 60 ms; a hub that is notified 8 ms late takes its slot to be occupied for up to
// half as long again.
type plainNotes struct {
	mu     sync.Mutex
	byHub  map[string][]queuedNote // by name of the hub; guarded by mu
	queued chan struct{}           // signals send; capacity 1
}

func newPlainNotes() *plainNotes {
	return &plainNotes{byHub: make(map[string][]queuedNote), queued: make(chan struct{}, 1)}
}

// add queues a note without blocking.
func (q *plainNotes) add(hub string, note queuedNote) {
	q.mu.Lock()
	if len(q.byHub[hub]) < maxQueuedNotes {
		q.byHub[hub] = append(q.byHub[hub], note)
	}
	q.mu.Unlock()
	select {
	case q.queued <- struct{}{}:
	default:
	}
}

// take removes and returns all queued notes.
func (q *plainNotes) take() map[string][]queuedNote {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.byHub
	q.byHub = make(map[string][]queuedNote, len(all))
	return all
}

// sendPlainNotes sends queued notes on plain requests to the hubs until ctx ends.
func (p *placer) sendPlainNotes(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	calls := make(chan struct{}, maxPlainNoteCalls)
	sent := make(sentReports)
	for awaitSignal(ctx, p.plainNotes.queued) {
		hubs := p.instance.state.members.topology()
		now := p.instance.Clock.Now()
		sent.expire(now)
		for name, queue := range p.plainNotes.take() {
			hub := hubs.Hub(name)
			if !hub.Addr.IsValid() {
				continue // no longer a hub
			}
			select {
			case calls <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			notes := p.withReports(name, queue, sent, now)
			wait.Go(func() {
				p.deliverNotes(ctx, hub, notes)
				<-calls
			})
		}
	}
	return ctx.Err()
}
