package relay

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const (
	pushInterval   = 50 * time.Millisecond
	expireInterval = 2 * time.Second
)

// markUpdated marks a record as having updates for the holder of its second copy. PushUpdates sends
// them.
func (r *Relay) markUpdated(rec *record.Record) {
	r.runMu.Lock()
	r.updated[rec] = struct{}{}
	r.runMu.Unlock()
}

// PushUpdates sends the updates of records to the holders of their second copies until ctx ends,
// at each interval one message per holder.
func (r *Relay) PushUpdates(ctx context.Context) error {
	t := time.NewTicker(pushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			r.pushOnce(ctx)
		}
	}
}

type sentUpdate struct {
	rec    *record.Record
	update record.Update
}

func (r *Relay) pushOnce(ctx context.Context) {
	r.runMu.Lock()
	records := r.updated
	r.updated = make(map[*record.Record]struct{})
	r.runMu.Unlock()
	updates := make(map[string][]*peerpb.Update)
	sent := make(map[string][]sentUpdate)
	for rec := range records {
		n, any := rec.PendingUpdate()
		holder := rec.Holder()
		if !any || holder == "" || rec.Owner() != r.Self {
			continue
		}
		updates[holder] = append(updates[holder], &peerpb.Update{Id: rec.ID, From: int32(n.From), Tokens: n.Tokens, Endpoint: n.Endpoint, Version: n.Version, Result: peer.ToResult(n.Result), Drop: n.Fetched})
		sent[holder] = append(sent[holder], sentUpdate{rec, n})
	}
	for holder, list := range updates {
		r.wait.Go(func() { r.pushTo(ctx, holder, list, sent[holder]) })
	}
}

func (r *Relay) pushTo(ctx context.Context, holder string, updates []*peerpb.Update, sent []sentUpdate) {
	m, ok := r.snapshot().Member(holder)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	_, err := r.Peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Progress{Progress: &peerpb.Progress{Updates: updates}}})
	for _, s := range sent {
		if err != nil || s.rec.Acknowledge(holder, s.update) {
			r.markUpdated(s.rec)
		}
	}
}

// Expire removes expired records, claims, suspects and rate limits, until ctx ends.
func (r *Relay) Expire(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		s := r.snapshot()
		if s.Table == nil {
			continue
		}
		now := r.Clock.Now()
		for _, rec := range r.store.Expired(now, s.Table.System.Retention) {
			r.store.Remove(rec)
		}
		r.replicaMu.Lock()
		r.replica.Expire(now)
		r.replicaMu.Unlock()
		r.suspects.expire(now)
		r.expireLimits(now)
	}
}

// ApplyEffect handles the effects of the control loop that concern requests.
func (r *Relay) ApplyEffect(e control.Effect) {
	switch e := e.(type) {
	case control.ViewActivated:
		r.InstallView(e.View)
	case control.MemberChanged:
		r.memberChanged(e.Change)
	case control.EndpointLeaving:
		r.wait.Go(func() { r.drainEndpoint(e) })
	case control.SelfLeaving:
		r.draining.Store(true)
	}
}

// memberChanged takes over the records that a dead instance owned and this one holds, and replaces
// the second copies that a dead or leaving instance held. Requests that may not be repeated are not
// taken over.
func (r *Relay) memberChanged(c member.Change) {
	m := c.Member
	if m.State == member.Dead && !r.Switches.NoTakeOver {
		for _, rec := range r.store.Filter(func(rec *record.Record) bool { return rec.Owner() == m.ID && rec.Repeatable && !rec.Done() }) {
			if !rec.TakeOver(m.ID, r.Self) {
				continue
			}
			r.event(event.RecordTakenOver, zap.String("request", rec.ID), zap.String("owner", m.ID))
			r.resume(rec)
		}
	}
	if m.State != member.Dead && !m.Leaving {
		return
	}
	held := r.store.Filter(func(rec *record.Record) bool {
		return rec.Owner() == r.Self && rec.Holder() == m.ID && rec.Repeatable && !rec.Fetched()
	})
	for _, rec := range held {
		r.replaceSecondCopy(rec)
	}
}

// FetchFrom fetches the table and the view from a peer that has newer ones, and passes them to the
// control loop.
func (r *Relay) FetchFrom(addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(r.ctx, holdTimeout)
	defer cancel()
	a, err := r.Peers.Call(ctx, addr, &peerpb.Call{Body: &peerpb.Call_FetchTable{FetchTable: &peerpb.FetchTable{}}})
	if err != nil || a.GetTable() == nil {
		return
	}
	t := a.GetTable()
	if v, err := claim.DecodeView(t.View); err == nil && v.Epoch > 0 {
		r.InstallView(v)
		r.Control.Send(ctx, control.ViewRead{View: v})
	}
	if doc, err := table.Decode(t.Document); err == nil && doc.Revision > 0 {
		r.Control.Send(ctx, control.TableRead{Stored: table.Stored{Doc: doc, Revision: t.StoreRevision}, From: addr.String()})
	}
}
