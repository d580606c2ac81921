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
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// Tuning of placing through hubs.
const (
	offersAsked  = 2                      // hubs that are asked for an offer
	offerTimeout = 70 * time.Millisecond  // a hub that takes longer is done without
	lateOffer    = time.Second            // an offer that comes later ends at the hub with the client's deadline
	hubRests     = 800 * time.Millisecond // a hub that did not answer is not asked
	noteGather   = 8 * time.Millisecond   // notes to a hub travel together
	noteTimeout  = 600 * time.Millisecond
)

// placer chooses servers: by itself in a small fleet and for plain services,
// else by the offers of hubs. It implements forward.Placer.
type placer struct {
	node *Node
	desk *place.Desk // what this node placed as a hub

	mu    sync.Mutex
	rests map[string]time.Time      // hubs that did not answer, until when; guarded by mu
	notes map[string][]*peerpb.Note // to be sent, by hub; guarded by mu
	kick  chan struct{}             // notes are there; has room for one

	owned ownedServers
}

func newPlacer(n *Node) *placer {
	return &placer{
		node: n, desk: place.New(n.start), rests: make(map[string]time.Time),
		notes: make(map[string][]*peerpb.Note), kick: make(chan struct{}, 1),
	}
}

// offered is an offer and the hub that made it.
type offered struct {
	place.Offer
	hub    member
	server registry.Server // as this node knows it; set where the offer is taken
}

// Place implements forward.Placer.
func (p *placer) Place(ctx context.Context, servers []registry.Server, r *balance.Request, until, now time.Time) (*balance.Ticket, error) {
	hubs := p.node.state.members.topology()
	if !r.Engine || len(hubs.hubs) == 0 {
		return p.pick(servers, r, now)
	}
	offers, refusal := p.offers(ctx, hubs, r, until)
	if refusal != nil {
		for _, o := range offers {
			p.decline(o)
		}
		return nil, refusal
	}
	best, ok := p.bestOffer(offers, servers)
	if !ok {
		if v := p.node.admission.alone(r.Account, r.Units, now); !v.OK {
			return nil, &forward.LimitError{Verdict: v}
		}
		return p.pick(servers, r, now)
	}
	ticket := p.node.tracker.Take(best.server, r, best.Uncached, now)
	ticket.Observe(&noter{p, best})
	return ticket, nil
}

// pick chooses a server by what this node knows itself.
func (p *placer) pick(servers []registry.Server, r *balance.Request, now time.Time) (*balance.Ticket, error) {
	ticket, ok := p.node.tracker.Pick(servers, r, now)
	if !ok {
		return nil, forward.ErrNoServer
	}
	return ticket, nil
}

// bestOffer takes the best offer of a server that this node knows to take work, and
// declines the others.
func (p *placer) bestOffer(offers []offered, servers []registry.Server) (best offered, found bool) {
	for _, o := range offers {
		var known bool
		o.server, known = lo.Find(servers, func(s registry.Server) bool { return s.ID == o.Server })
		if !known || found && o.Cost >= best.Cost {
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

// offers asks the hubs that a request belongs to, all at once. The first of them is
// where its shared parts have their home, and confirms that the limit of the client
// account bears the request.
func (p *placer) offers(ctx context.Context, hubs *topology, r *balance.Request, until time.Time) ([]offered, *forward.LimitError) {
	owners := rendezvous.Order(r.Subject(), p.awake(hubs, time.Now()))
	asked := lo.Map(owners[:min(offersAsked, len(owners))], func(name string, _ int) member { return hubs.named(name) })
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
		case reply.hub.name == asked[0].name:
			errors.As(reply.err, &refusal)
		}
	}
	return offers, refusal
}

// reply is what a hub answered.
type reply struct {
	hub   member
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
func (p *placer) restSilent(asked []member, got []reply) {
	for _, hub := range asked {
		if !slices.ContainsFunc(got, func(r reply) bool { return r.hub.name == hub.name }) {
			p.rest(hub)
		}
	}
}

// askHubs asks hubs for an offer. It returns where their replies come, one of each.
func (p *placer) askHubs(ctx context.Context, hubs []member, r *balance.Request, until time.Time) <-chan reply {
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
func (p *placer) awake(hubs *topology, now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return lo.FilterMap(hubs.hubs, func(h member, _ int) (string, bool) { return h.name, !now.Before(p.rests[h.name]) })
}

func (p *placer) rest(hub member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests[hub.name] = time.Now().Add(hubRests)
}

func (p *placer) ask(ctx context.Context, hub member, r *balance.Request, until time.Time) (offered, error) {
	now := time.Now()
	if hub.name == p.node.Settings.Name {
		if v := p.node.admission.confirm(r.Account, r.Units, now); !v.OK {
			return offered{}, &forward.LimitError{Verdict: v}
		}
		o, ok := p.desk.Offer(p.self(), p.mine(r.Service), r, until, now)
		if !ok {
			return offered{}, errNoServer
		}
		return offered{Offer: o, hub: hub}, nil
	}
	q := &peerpb.Place{
		Service: r.Service, Id: r.ID, Tokens: int64(r.Tokens), Avoid: r.Avoid, Slots: int64(r.Slots), Once: r.Once, Away: r.Away,
		Account: r.Account, Units: r.Units,
		Left: int64(until.Sub(now)), Incarnation: p.node.incarnation(),
		Parts: lo.Map(r.Parts, func(part balance.Part, _ int) *peerpb.PromptPart {
			return &peerpb.PromptPart{Id: part.ID, Tokens: int64(part.Tokens)}
		}),
	}
	a, err := p.node.peers.Call(ctx, hub.addr, &peerpb.Call{Body: &peerpb.Call_Place{Place: q}})
	if err != nil {
		return offered{}, fmt.Errorf("ask hub %s for an offer: %w", hub.name, err)
	}
	o := a.GetPlace()
	if x := o.GetRefusal(); x != nil {
		return offered{}, &forward.LimitError{Verdict: quota.Verdict{Level: x.Level, Need: x.Need, Known: x.Known, RetryAt: now.Add(time.Duration(x.Wait))}}
	}
	if o.GetServer() == "" {
		return offered{}, errNoServer
	}
	return offered{Offer: place.Offer{Server: o.Server, Cost: o.Cost, Uncached: int(o.Uncached), Ticket: o.Ticket}, hub: hub}, nil
}

var errNoServer = fault.New(fault.StepPeer, "", fault.KindLimit, fault.NotRun, "the hub has no server to offer")

func (p *placer) self() place.Asker {
	return place.Asker{Node: p.node.Settings.Name, Incarnation: p.node.incarnation()}
}

// mine returns the servers of a service that this node places requests on.
func (p *placer) mine(service string) []registry.Server {
	return p.owned.get(p.node.view.Load(), p.node.state.members.topology(), p.node.Settings.Name, service)
}

// serve answers a node that asks for an offer.
func (p *placer) serve(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q, now := call.GetPlace(), time.Now()
	r := &balance.Request{
		Service: q.Service, ID: q.Id, Engine: true, Tokens: int(q.Tokens), Avoid: q.Avoid, Slots: int(q.Slots), Once: q.Once, Away: q.Away,
		Parts: lo.Map(q.Parts, func(part *peerpb.PromptPart, _ int) balance.Part {
			return balance.Part{ID: part.Id, Tokens: int(part.Tokens)}
		}),
	}
	if v := p.node.admission.confirm(q.Account, q.Units, now); !v.OK {
		x := &peerpb.Refusal{Level: v.Level, Need: v.Need, Known: v.Known, Wait: int64(v.RetryAt.Sub(now))}
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Refusal: x}}})
	}
	asker := place.Asker{Node: call.From, Incarnation: q.Incarnation}
	o, _ := p.desk.Offer(asker, p.mine(q.Service), r, now.Add(time.Duration(q.Left)), now)
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Place{Place: &peerpb.PlaceAnswer{Server: o.Server, Cost: o.Cost, Ticket: o.Ticket, Uncached: int64(o.Uncached)}}})
}

// serveNotes takes notes.
func (p *placer) serveNotes(notes []*peerpb.Note, answer func(*peerpb.Answer) error) error {
	for _, note := range notes {
		p.take(note)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

func (p *placer) take(note *peerpb.Note) {
	p.desk.Note(place.Note{Ticket: note.Ticket, Read: note.Read, Done: note.Done, Result: balance.Result(note.Result)}, time.Now())
}

// noter tells a hub how a request goes on. It implements balance.Observer.
type noter struct {
	placer *placer
	offer  offered
}

// Read implements balance.Observer.
func (n *noter) Read() { n.placer.note(n.offer, &peerpb.Note{Read: true}) }

// Done implements balance.Observer.
func (n *noter) Done(result balance.Result) {
	n.placer.note(n.offer, &peerpb.Note{Done: true, Result: int32(result)})
}

// note tells a hub of a request that it placed. It does not block.
func (p *placer) note(o offered, note *peerpb.Note) {
	note.Ticket = o.Ticket
	if o.hub.name == p.node.Settings.Name {
		p.take(note)
		return
	}
	p.mu.Lock()
	if queue := p.notes[o.hub.name]; len(queue) < mostNotes {
		p.notes[o.hub.name] = append(queue, note)
	}
	p.mu.Unlock()
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// mostNotes bounds what waits for one hub. What is dropped ends at its deadline.
const mostNotes = 4096

// tellNotes sends notes to the hubs.
func (p *placer) tellNotes(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for kicked(ctx, p.kick) && sleep(ctx, noteGather) {
		p.mu.Lock()
		all := p.notes
		p.notes = make(map[string][]*peerpb.Note, len(all))
		p.mu.Unlock()
		hubs := p.node.state.members.topology()
		for name, notes := range all {
			hub := hubs.named(name)
			if !hub.addr.IsValid() {
				continue // no hub any more
			}
			wait.Go(func() {
				call, cancel := context.WithTimeout(ctx, noteTimeout)
				defer cancel()
				// A lost note is made good by the deadline of its request.
				_, _ = p.node.peers.Call(call, hub.addr, &peerpb.Call{Body: &peerpb.Call_Notes{Notes: &peerpb.Notes{Notes: notes}}})
			})
		}
	}
	return ctx.Err()
}

// tidy ends what must be over.
func (p *placer) tidy(wanted func(server string) bool, now time.Time) {
	p.node.tracker.FromDesk(p.desk.Lessons())
	p.desk.Adopt(p.node.tracker.Agreed())
	members := map[string]bool{p.node.Settings.Name: true}
	for _, m := range p.node.state.members.list() {
		members[m.name] = true
	}
	p.desk.Expire(func(node string) bool { return members[node] }, wanted, now)
}

var _ forward.Placer = (*placer)(nil)

// ownedServers remembers which servers belong to this node while neither the
// servers nor the hubs change.
type ownedServers struct {
	mu   sync.Mutex
	view *forward.View
	hubs *topology
	by   map[string][]registry.Server // by service
}

func (o *ownedServers) get(view *forward.View, hubs *topology, self, service string) []registry.Server {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.view != view || o.hubs != hubs {
		o.view, o.hubs, o.by = view, hubs, make(map[string][]registry.Server)
	}
	servers, known := o.by[service]
	if !known {
		servers = place.Owned(self, hubs.names(), view.Servers[service])
		o.by[service] = servers
	}
	return servers
}
