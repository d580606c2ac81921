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

// Times of asking hubs for offers.
const (
	offersAsked  = 2                      // hubs that are asked for an offer
	offerTimeout = 70 * time.Millisecond  // a hub that takes longer is done without
	lateOffer    = time.Second            // an offer that comes later ends at the hub with the client's deadline
	hubRests     = 800 * time.Millisecond // a hub that did not answer is not asked
)

// offers asks the hubs that a request belongs to, all at once. The first of them is
// where its shared parts have their home, and confirms that the limit of the client
// account bears the request.
func (p *placer) offers(ctx context.Context, hubs *topology.Topology, r *balance.Request, until time.Time) ([]offered, *forward.LimitError) {
	owners := rendezvous.Order(r.Subject(), p.awake(hubs, p.instance.Clock.Now()))
	asked := lo.Map(owners[:min(offersAsked, len(owners))], func(name string, _ int) topology.Member { return hubs.Named(name) })
	replies := p.askHubs(ctx, asked, r, until)
	got := collect(ctx, replies, len(asked))
	if missing := len(asked) - len(got); missing > 0 {
		go p.declineLate(replies, missing)
		if ctx.Err() == nil { // else the client left, and the hubs may be well
			p.restSilent(asked, got)
		}
	}
	var offers []offered
	var refusal *forward.LimitError // of the first hub
	for _, reply := range got {
		switch {
		case reply.err == nil:
			offers = append(offers, reply.offer)
		case reply.hub.Name == asked[0].Name:
			errors.As(reply.err, &refusal)
		}
	}
	return offers, refusal
}

// reply is what a hub answered.
type reply struct {
	hub   topology.Member
	offer offered
	err   error
}

// collect returns the replies that come in time, and while the client waits.
func collect(ctx context.Context, replies <-chan reply, count int) []reply {
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

// restSilent does without the hubs that did not reply for a while.
func (p *placer) restSilent(asked []topology.Member, got []reply) {
	for _, hub := range asked {
		if !slices.ContainsFunc(got, func(r reply) bool { return r.hub.Name == hub.Name }) {
			p.rest(hub)
		}
	}
}

// askHubs asks hubs for an offer. It returns where their replies come, one of each.
func (p *placer) askHubs(ctx context.Context, hubs []topology.Member, r *balance.Request, until time.Time) <-chan reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateOffer)
	replies := make(chan reply, len(hubs))
	var wait sync.WaitGroup
	for i, hub := range hubs {
		q := *r
		if i > 0 {
			q.Away, q.Units = true, 0
		}
		wait.Go(func() {
			o, err := p.ask(ctx, hub, &q, until)
			replies <- reply{hub, o, err}
		})
	}
	go func() {
		wait.Wait()
		cancel()
	}()
	return replies
}

// declineLate declines the offers that come when nobody waits for them any more. A hub
// would else count the request at its server until the client's deadline: 15 s of a long
// prompt that nobody reads, and the more of them the slower the hub answers.
func (p *placer) declineLate(replies <-chan reply, count int) {
	for range count {
		if reply := <-replies; reply.err == nil {
			p.decline(reply.offer)
		}
	}
}

// awake returns the names of the hubs that are not resting.
func (p *placer) awake(hubs *topology.Topology, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(hubs.Hubs, func(h topology.Member, _ int) (string, bool) { return h.Name, !now.Before(p.rests[h.Name]) })
}

func (p *placer) rest(hub topology.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests[hub.Name] = p.instance.Clock.Now().Add(hubRests)
}

func (p *placer) ask(ctx context.Context, hub topology.Member, r *balance.Request, until time.Time) (offered, error) {
	now := p.instance.Clock.Now()
	if hub.Name == p.instance.Settings.Name {
		if v := p.instance.admission.confirm(r.Account, r.Units, now); !v.OK {
			return offered{}, &forward.LimitError{Verdict: v}
		}
		o, ok := p.desk.Offer(p.self(), p.candidates(r), r, until, now)
		if !ok {
			return offered{}, errNoEndpoint
		}
		return offered{Offer: o, hub: hub}, nil
	}
	q := &peerpb.Place{
		Service: r.Service, Id: r.ID, Tokens: int64(r.Tokens), Avoid: r.Avoid, Slots: int64(r.Slots), Once: r.Once, Away: r.Away,
		Account: r.Account, Units: r.Units, Trial: r.Trial,
		Left: int64(until.Sub(now)), Incarnation: p.instance.incarnation(),
		Parts: lo.Map(r.Parts, func(part balance.Part, _ int) *peerpb.PromptPart {
			return &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)}
		}),
	}
	a, err := p.instance.peers.Call(ctx, hub.Addr, &peerpb.Call{Body: &peerpb.Call_Place{Place: q}})
	if err != nil {
		return offered{}, fmt.Errorf("ask hub %s for an offer: %w", hub.Name, err)
	}
	o := a.GetPlace()
	if x := o.GetRefusal(); x != nil {
		return offered{}, &forward.LimitError{Verdict: quota.Verdict{Level: x.Level, Need: x.Need, Known: x.Known, RetryAt: now.Add(time.Duration(x.Wait))}}
	}
	if o.GetServer() == "" {
		return offered{}, errNoEndpoint
	}
	return offered{Offer: place.Offer{Endpoint: o.Server, Cost: o.Cost, Uncached: int(o.Uncached), Ticket: o.Ticket}, hub: hub}, nil
}

var errNoEndpoint = fault.New(fault.StepPeer, "", fault.KindLimit, fault.NotRun, "the hub has no server to offer")
