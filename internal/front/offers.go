package front

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Parameters of requests to hubs for offers.
const (
	hubsPerRequest   = 2                      // hubs asked in parallel
	offerTimeout     = 70 * time.Millisecond  // a request does not wait longer for a hub
	offerCallTimeout = time.Second            // later offers are not declined: they end on the hub with the client's deadline
	hubBackoff       = 800 * time.Millisecond // for which a hub that did not answer is not asked
)

// offers asks the hubs that rendezvous hashing assigns to a request, in parallel. The first
// of them owns the shared parts of the prompt and also confirms that the limit of the
// client account allows the request. It returns an error if that hub refuses the request
// because of the limit, or if all hubs that answered lack the capacity for it. confirmed is false if no
// hub counts the request's units.
func (p *placer) offers(ctx context.Context, hubs *topology.Topology, r *balance.Request, until time.Time) (offers []hubOffer, confirmed bool, err error) {
	owners := rendezvous.Order(r.AffinityKey(), p.availableHubs(hubs, p.instance.Clock.Now()))
	asked := lo.Map(owners[:min(hubsPerRequest, len(owners))], func(name string, _ int) topology.Member { return hubs.Hub(name) })
	if len(asked) == 0 {
		return nil, false, nil // no hub answered lately
	}
	replies := p.requestOffers(ctx, asked, r, until)
	got := collectReplies(ctx, replies, len(asked))
	if missing := len(asked) - len(got); missing > 0 {
		go p.declineLateOffers(replies, missing)
		if ctx.Err() == nil { // otherwise the client left, which says nothing about the hubs
			p.backOffSilent(asked, got)
		}
	}
	return chooseReplies(got, asked[0])
}

// chooseReplies returns the offers among the replies of hubs, or why there are none if the hubs refused
// the request. first is the hub that confirms the limit of the client account; confirmed is false if it
// took its confirmation back as it lacks the capacity.
func chooseReplies(got []reply, first topology.Member) (offers []hubOffer, confirmed bool, err error) {
	confirmed = true
	var overLimit *forward.LimitError
	var overload *forward.OverloadError
	for _, reply := range got {
		var refused *forward.OverloadError
		switch {
		case reply.err == nil:
			offers = append(offers, reply.offer)
		case errors.As(reply.err, &refused):
			overload = betterReturn(overload, refused)
			confirmed = confirmed && reply.hub.Name != first.Name
		case reply.hub.Name == first.Name:
			errors.As(reply.err, &overLimit)
		}
	}
	switch {
	case overLimit != nil:
		return offers, false, overLimit
	case overload != nil && len(offers) == 0:
		return nil, false, overload
	}
	return offers, confirmed, nil
}

// reply is a hub's answer to a request for an offer.
type reply struct {
	hub   topology.Member
	offer hubOffer
	err   error
}

// collectReplies returns the replies received within offerTimeout, or until the client
// leaves.
func collectReplies(ctx context.Context, replies <-chan reply, count int) []reply {
	late := time.NewTimer(offerTimeout)
	defer late.Stop()
	var got []reply
	for len(got) < count {
		select {
		case reply := <-replies:
			got = append(got, reply)
		case <-late.C:
			return got
		case <-ctx.Done():
			return got
		}
	}
	return got
}

// backOffSilent stops asking the hubs that did not reply for hubBackoff.
func (p *placer) backOffSilent(asked []topology.Member, got []reply) {
	for _, hub := range asked {
		if !slices.ContainsFunc(got, func(r reply) bool { return r.hub.Name == hub.Name }) {
			p.backOff(hub)
		}
	}
}

// requestOffers asks hubs for an offer. The returned channel delivers one reply from each.
func (p *placer) requestOffers(ctx context.Context, hubs []topology.Member, r *balance.Request, until time.Time) <-chan reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), offerCallTimeout)
	replies := make(chan reply, len(hubs))
	var wait sync.WaitGroup
	for i, hub := range hubs {
		q := *r
		if i > 0 {
			q.HomeElsewhere, q.Units = true, 0
		}
		wait.Go(func() {
			o, err := p.requestOffer(ctx, hub, &q, until)
			replies <- reply{hub, o, err}
		})
	}
	go func() {
		wait.Wait()
		cancel()
	}()
	return replies
}

// declineLateOffers declines offers that arrive after offerTimeout. Otherwise the hub would
// count the request on its endpoint until the client's deadline (15 s of a long prompt that
// never runs), and the slower a hub answers, the more of these would accumulate.
func (p *placer) declineLateOffers(replies <-chan reply, count int) {
	for range count {
		if reply := <-replies; reply.err == nil {
			p.decline(reply.offer)
		}
	}
}

// availableHubs returns the names of the hubs that are not in backoff.
func (p *placer) availableHubs(hubs *topology.Topology, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(hubs.Hubs, func(h topology.Member, _ int) (string, bool) { return h.Name, !now.Before(p.backoffUntil[h.Name]) })
}

// backOff excludes a hub from requests for offers for hubBackoff.
func (p *placer) backOff(hub topology.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[hub.Name] = p.instance.Clock.Now().Add(hubBackoff)
}

// requestOffer asks one hub for an offer; if that is this instance, it asks its own
// scheduler.
func (p *placer) requestOffer(ctx context.Context, hub topology.Member, r *balance.Request, until time.Time) (hubOffer, error) {
	now := p.instance.Clock.Now()
	if hub.Name == p.instance.Settings.Name {
		if v := p.instance.admission.confirmAtHub(r.Account, r.Units, now); !v.OK {
			return hubOffer{}, &forward.LimitError{Verdict: v}
		}
		o, ok := p.scheduler.Offer(p.self(), p.candidates(r), r, until, now)
		if o.Refusal != nil {
			p.instance.admission.withdrawAtHub(r.Account, r.Units, now)
			return hubOffer{}, overloadError(hub, refusalMessage(o.Refusal, now), now)
		}
		if !ok {
			return hubOffer{}, errNoEndpoint
		}
		return hubOffer{Offer: o, hub: hub, plain: !r.Engine}, nil
	}
	q := &peerpb.Place{
		Service: r.Service, Id: r.ID, Tokens: int64(r.Tokens), Avoid: r.Avoid, Slots: int64(r.Slots), Once: r.NonIdempotent, Away: r.HomeElsewhere,
		Account: r.Account, Units: r.Units, Trial: r.Trial, Resumes: r.Resumes, Version: r.Version, Plain: !r.Engine, Fingerprint: r.Fingerprint,
		Left: int64(until.Sub(now)), Incarnation: p.instance.incarnation(),
		Parts: lo.Map(r.Parts, func(part balance.Part, _ int) *peerpb.PromptPart {
			return &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)}
		}),
	}
	p.writeScheduling(q, r, now)
	a, err := p.instance.peers.Call(ctx, hub.Addr, &peerpb.Call{Body: &peerpb.Call_Place{Place: q}})
	if err != nil {
		return hubOffer{}, fmt.Errorf("ask hub %s for an offer: %w", hub.Name, err)
	}
	o := a.GetPlace()
	if x := o.GetRefusal(); x != nil {
		return hubOffer{}, &forward.LimitError{Verdict: quota.Verdict{Level: x.Level, RequiredLevel: x.Need, KnownShare: x.Known, RetryAt: now.Add(time.Duration(x.Wait))}}
	}
	if x := o.GetOverload(); x != nil {
		return hubOffer{}, overloadError(hub, x, p.instance.Clock.Now())
	}
	if o.GetServer() == "" {
		return hubOffer{}, errNoEndpoint
	}
	return hubOffer{Offer: place.Offer{
		Endpoint: o.Server, Cost: o.Cost, Uncached: int(o.Uncached), Ticket: o.Ticket, FirstAt: timeAfter(o.First, p.instance.Clock.Now()), Returned: o.Returned,
	}, hub: hub, plain: !r.Engine}, nil
}

var errNoEndpoint = fault.New(fault.StepPeer, "", fault.KindLimit, fault.NotRun, "the hub has no endpoint to offer")
