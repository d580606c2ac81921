package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/admit"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/inflight"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit/wire"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const (
	heartbeatTimeout   = 900 * time.Millisecond
	membersInHeartbeat = 3  // other members that one heartbeat reports, in rotation
	maxNewSeeds        = 16 // most listed but unknown instances that one round of heartbeats goes to
	editTimeout        = 10 * time.Second
	minReportedRate    = 0.01 // requests per second below which the usage of a client account without open requests is not reported
)

// heartbeats sends this instance's heartbeat to its neighbours and to listed instances that it does
// not know yet, at an interval that depends on the fleet's size and at once when there is an update,
// until ctx ends. At most one heartbeat to an address is in flight.
func (i *Instance) heartbeats(ctx context.Context) error {
	t := time.NewTimer(member.MeshHeartbeatInterval)
	defer t.Stop()
	calls := inflight.New[netip.AddrPort]()
	var wait sync.WaitGroup
	defer wait.Wait()
	all := true
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			t.Reset(member.HeartbeatInterval(len(i.loop.Snapshot().Members)))
			all = false
		case <-i.heartbeatNow:
			all = true // there is an update
		}
		i.heartbeatSeq.Add(1)
		i.peers.CloseIdle(i.opts.Clock.Now())
		for _, addr := range i.heartbeatTargets(all) {
			if !calls.Begin(addr) {
				continue
			}
			wait.Go(func() {
				defer calls.End(addr)
				i.heartbeat(ctx, addr)
			})
		}
	}
}

// heartbeatTargets returns the addresses that the next heartbeats go to. A heartbeat is answered with
// one, so of two instances that are neighbours of each other only the one with the lower ID sends.
// The other one sends too if there is an update (all is true) or its neighbour is suspect.
func (i *Instance) heartbeatTargets(all bool) []netip.AddrPort {
	s := i.loop.Snapshot()
	l := member.NewList(s.Self)
	now := i.opts.Clock.Now()
	known := make(map[netip.AddrPort]bool)
	for _, m := range s.Members {
		known[m.Addr] = true
		l.Apply(m, now)
	}
	var out []netip.AddrPort
	for _, m := range l.Neighbours() {
		mutual := len(s.Members) < member.FullMeshLimit // in a larger fleet, a neighbour may not have this instance as its neighbour
		if all || !mutual || s.Self.ID < m.ID || m.State != member.Alive {
			out = append(out, m.Addr)
		}
	}
	newSeeds := 0
	for _, addr := range control.Seeds(*i.list.Load(), i.opts.Settings.Name) {
		if !known[addr] && newSeeds < maxNewSeeds {
			out = append(out, addr)
			newSeeds++
		}
	}
	return out
}

func (i *Instance) heartbeat(ctx context.Context, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	a, err := i.peers.Call(ctx, addr, &peerpb.Call{Body: &peerpb.Call_Heartbeat{Heartbeat: i.makeHeartbeat()}})
	if err != nil || a.GetHeartbeat() == nil {
		return
	}
	i.applyHeartbeat(ctx, a.GetHeartbeat())
}

func (i *Instance) makeHeartbeat() *peerpb.Heartbeat {
	s := i.loop.Snapshot()
	h := &peerpb.Heartbeat{Self: wireMember(s.Self)}
	h.Self.Beat = i.heartbeatSeq.Load()
	offset := int(i.heartbeatSeq.Load())
	for k := range min(membersInHeartbeat, len(s.Members)) {
		m := s.Members[(offset+k)%len(s.Members)]
		if m.State != member.Dead {
			h.Members = append(h.Members, wireMember(m))
		}
	}
	for _, n := range i.loop.RecentLeaving() {
		h.Leaving = append(h.Leaving, &peerpb.Leaving{Endpoint: n.ID, Incarnation: n.Incarnation, Deadline: peer.ToUnixNano(n.Deadline)})
	}
	for _, u := range i.gateway.Usage(i.opts.Clock.Now()) {
		if u.Open == 0 && u.Rate < minReportedRate {
			continue
		}
		h.Usage = append(h.Usage, &peerpb.Usage{Account: u.Account, Rate: u.Rate, Tokens: u.Tokens, Open: int64(u.Open)})
	}
	h.Limits = wire.Encode(i.relay.Limits().Reports(i.opts.Clock.Now()))
	return h
}

// applyHeartbeat applies a received heartbeat, and fetches the table and the view from the sender if
// it has newer ones.
func (i *Instance) applyHeartbeat(ctx context.Context, h *peerpb.Heartbeat) {
	if h.Self == nil {
		return
	}
	e := control.HeartbeatReceived{From: h.Self.Id, Members: []member.Member{fromWire(h.Self)}, Usage: []admit.Usage{}}
	for _, m := range h.Members {
		e.Members = append(e.Members, fromWire(m))
	}
	for _, l := range h.Leaving {
		e.Leaving = append(e.Leaving, platform.Notice{ID: l.Endpoint, Incarnation: l.Incarnation, Deadline: peer.FromUnixNano(l.Deadline)})
	}
	for _, u := range h.Usage {
		e.Usage = append(e.Usage, admit.Usage{Account: u.Account, Rate: u.Rate, Tokens: u.Tokens, Open: int(u.Open)})
	}
	i.loop.Send(ctx, e)
	i.relay.Limits().Apply(wire.Decode(h.Limits), i.opts.Clock.Now())
	s := i.loop.Snapshot()
	if h.Self.TableRevision > s.Self.TableRevision || h.Self.ViewEpoch > s.Self.ViewEpoch {
		if addr, err := netip.ParseAddrPort(h.Self.Address); err == nil {
			i.relay.FetchFrom(addr)
		}
	}
}

func wireMember(m member.Member) *peerpb.Member {
	return &peerpb.Member{
		Id: m.ID, Name: m.Name, Hall: m.Hall, Address: m.Addr.String(), Leaving: m.Leaving,
		TableRevision: m.TableRevision, ViewEpoch: m.ViewEpoch, Beat: m.HeartbeatSeq,
	}
}

func fromWire(m *peerpb.Member) member.Member {
	addr, _ := netip.ParseAddrPort(m.Address) // the zero address of an invalid one cannot be dialled
	return member.Member{
		ID: m.Id, Name: m.Name, Hall: m.Hall, Addr: addr, Leaving: m.Leaving,
		TableRevision: m.TableRevision, ViewEpoch: m.ViewEpoch, HeartbeatSeq: m.Beat,
	}
}

// Handle implements peer.Handler: it answers the calls of other instances.
func (i *Instance) Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	switch b := call.Body.(type) {
	case *peerpb.Call_Heartbeat:
		i.applyHeartbeat(ctx, b.Heartbeat)
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Heartbeat{Heartbeat: i.makeHeartbeat()}})
	case *peerpb.Call_FetchTable:
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Table{Table: i.tableMessage()}})
	}
	handled, err := i.relay.Handle(ctx, call, answer)
	if !handled {
		return fault.New(fault.StepPeer, call.From, fault.KindInput, fault.NotRun, "unknown peer call")
	}
	return err
}

func (i *Instance) tableMessage() *peerpb.Table {
	s := i.loop.Snapshot()
	t := &peerpb.Table{StoreRevision: s.Stored.Revision}
	if s.Stored.Doc != nil {
		t.Document, _ = s.Stored.Doc.Encode() // cannot fail, since the document was decoded before
	}
	if s.View != nil {
		t.View, _ = s.View.Encode()
	}
	return t
}

// Edit implements gateway.Operator.
func (i *Instance) Edit(ctx context.Context, e table.Edit) (table.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	acc, stored, err := i.editor.Apply(ctx, e, i.loop.Snapshot().Self.TableRevision)
	fields := []zap.Field{zap.String("edit", e.ID), zap.String("by", e.By), zap.String("row", e.Row), zap.String("column", e.Column)}
	if err != nil {
		i.event(event.EditRefused, append(fields, zap.Error(err))...)
		return acc, err
	}
	i.event(event.EditAccepted, append(fields, zap.Uint64("revision", acc.Revision))...)
	i.loop.Send(ctx, control.TableRead{Stored: stored, From: "edit"})
	return acc, nil
}

// History implements gateway.Operator.
func (i *Instance) History(ctx context.Context, limit int) ([]table.Accepted, error) {
	return i.editor.History(ctx, limit)
}

// Status implements gateway.Operator.
func (i *Instance) Status(ctx context.Context) gateway.Status {
	s := i.loop.Snapshot()
	sent, received := i.peers.Bytes()
	out := gateway.Status{
		Instance: i.id, Hall: s.Self.Hall, Leaving: s.Leaving, Revision: s.Self.TableRevision, Epoch: s.Self.ViewEpoch,
		Records: i.relay.Store().Len(), Claims: i.relay.Claims(), SentBytes: sent, ReceivedBytes: received,
	}
	for _, m := range i.loop.Members(ctx) {
		out.Members = append(out.Members, gateway.StatusMember{
			ID: m.ID, Hall: m.Hall, State: m.State.String(), Leaving: m.Leaving, Revision: m.TableRevision, SeenAt: m.SeenAt,
		})
	}
	now := i.opts.Clock.Now()
	for _, pools := range []control.Pools{s.Models, s.Services} {
		for _, p := range pools {
			out.Endpoints = append(out.Endpoints, statusEndpoints(p, now)...)
		}
	}
	return out
}

func statusEndpoints(p *route.Pool, now time.Time) []gateway.StatusEndpoint {
	var out []gateway.StatusEndpoint
	for _, h := range p.Halls {
		for _, e := range h.Endpoints {
			out = append(out, gateway.StatusEndpoint{ID: e.ID, Hall: e.Hall, Serves: p.Model, Open: e.Open(), Running: e.Load().Running, Unavailable: e.Unavailable(now)})
		}
	}
	return out
}
