package relay

import (
	"context"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
)

// Handle answers the peer calls that concern requests, records and claims. handled is false for
// all other calls, which are not answered.
func (r *Relay) Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) (handled bool, err error) {
	switch b := call.Body.(type) {
	case *peerpb.Call_Hold:
		return true, answer(&peerpb.Answer{Body: &peerpb.Answer_Hold{Hold: r.handleHold(b.Hold, call.From)}})
	case *peerpb.Call_Progress:
		for _, u := range b.Progress.Updates {
			r.applyUpdate(u, call.From)
		}
		return true, done(answer)
	case *peerpb.Call_Find:
		return true, answer(&peerpb.Answer{Body: &peerpb.Answer_Find{Find: r.findLocal(b.Find.Id)}})
	case *peerpb.Call_Suspects:
		r.applySuspects(b.Suspects)
		return true, done(answer)
	case *peerpb.Call_Release:
		r.releaseClaim(b.Release.Id, b.Release.Attempt, peer.FromUnixNano(b.Release.Lapse))
		return true, done(answer)
	case *peerpb.Call_Pull:
		return true, r.sendClaims(ctx, b.Pull, call.From, answer)
	case *peerpb.Call_Handover:
		return true, r.acceptHandover(ctx, b.Handover, call.From, answer)
	case *peerpb.Call_Follow:
		return true, r.serveFollow(ctx, b.Follow, answer)
	default:
		return false, nil
	}
}

func done(answer func(*peerpb.Answer) error) error {
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// handleHold stores the second copy of a record, or votes on a claim if the call names an attempt.
func (r *Relay) handleHold(h *peerpb.Hold, from string) *peerpb.HoldAnswer {
	if h.Attempt != "" {
		return r.vote(h)
	}
	s := r.snapshot()
	if s.Leaving {
		return &peerpb.HoldAnswer{Outcome: peerpb.HoldAnswer_LEAVING}
	}
	if s.Table != nil && r.store.Len() >= s.Table.System.RecordCapacity {
		return &peerpb.HoldAnswer{Outcome: peerpb.HoldAnswer_FULL}
	}
	rec, added := r.store.Add(peer.FromRecord(h.Record, from))
	if added {
		return &peerpb.HoldAnswer{}
	}
	if rec.Digest != h.Record.Digest {
		return &peerpb.HoldAnswer{Outcome: peerpb.HoldAnswer_CONFLICT}
	}
	if owner := rec.Owner(); owner != h.Record.Owner {
		if m, ok := s.Member(owner); ok && m.Usable() {
			return &peerpb.HoldAnswer{Outcome: peerpb.HoldAnswer_TAKEN, Owner: owner}
		}
	}
	rec.SetOwner(h.Record.Owner)
	r.merge(rec, 0, h.Record.Tokens, peer.FromResult(h.Record.Result, from))
	return &peerpb.HoldAnswer{}
}

// merge adds tokens, which start at position from, and a result that another instance sent. The
// result of a model call is taken only if no token before it is missing; a failure always.
func (r *Relay) merge(rec *record.Record, from int, tokens []string, res *record.Result) {
	if from <= rec.Position() && !rec.Done() {
		if err := rec.Append(from, tokens...); err != nil {
			r.logInvariantBroken("copies agree: "+err.Error(), rec)
			return
		}
	}
	if res != nil && (res.Failure != nil || rec.Kind == record.KindService || from+len(tokens) <= rec.Position()) {
		rec.Finish(*res)
	}
}

// applyUpdate applies the owner's progress to a second copy. An update that names an attempt carries
// the result of a request that may not be repeated, for the replicas of its claim.
func (r *Relay) applyUpdate(u *peerpb.Update, from string) {
	if u.Attempt != "" {
		r.finishClaim(u.Id, u.Attempt)
		r.storeResult(u.Head, u.Result, from)
		return
	}
	rec, ok := r.store.Get(u.Id)
	if !ok || rec.Owner() != from {
		return
	}
	if u.Drop {
		rec.MarkFetched()
	}
	rec.SetEndpoint(u.Endpoint, u.Version)
	r.merge(rec, int(u.From), u.Tokens, peer.FromResult(u.Result, from))
}

func (r *Relay) findLocal(id string) *peerpb.FindAnswer {
	if rec, ok := r.store.Get(id); ok && rec.Owner() != "" {
		return &peerpb.FindAnswer{Found: true, Owner: rec.Owner(), Done: rec.Done(), Voted: !rec.Repeatable, Digest: rec.Digest}
	}
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	if c, ok := r.replica.Lookup(id, r.Clock.Now()); ok {
		return &peerpb.FindAnswer{Found: true, Owner: c.Owner, Voted: true, Digest: c.Digest}
	}
	return &peerpb.FindAnswer{}
}

// sendClaims installs a newer view and sends this replica's claims to a replica of that view. The
// order matters: after the installation this replica gives no votes in the old view.
func (r *Relay) sendClaims(ctx context.Context, p *peerpb.Pull, to string, answer func(*peerpb.Answer) error) error {
	v, err := claim.DecodeView(p.View)
	if err != nil {
		return fault.New(fault.StepPeer, to, fault.KindInput, fault.NotRun, "%w", err)
	}
	r.InstallView(v)
	r.Control.Send(ctx, control.ViewRead{View: v})
	r.replicaMu.Lock()
	t, ok := r.replica.Transfer(to, p.Epoch)
	r.replicaMu.Unlock()
	if !ok {
		return fault.New(fault.StepPeer, to, fault.KindRefused, fault.NotRun, "this instance has installed another view")
	}
	out := &peerpb.PullAnswer{Epoch: t.Epoch, Ready: make([]byte, (claim.Shards+7)/8), From: r.Self}
	for i, knew := range t.Complete {
		if knew {
			out.Ready[i/8] |= 1 << (i % 8)
		}
	}
	for _, c := range t.Claims {
		out.Claims = append(out.Claims, r.wireClaim(c))
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Pull{Pull: out}})
}

func (r *Relay) wireClaim(c claim.Claim) *peerpb.Claim {
	m := &peerpb.Claim{
		Key: c.Key, Attempt: c.Attempt, Owner: c.Owner, Lapse: peer.ToUnixNano(c.ExpiresAt), Digest: c.Digest,
		Done: c.Done, Contested: c.Contested, Released: c.Released,
	}
	if rec, ok := r.store.Get(c.Key); ok && rec.Done() && !rec.Repeatable {
		p, _ := rec.Progress(0)
		m.Result, m.Head = peer.ToResult(p.Result), peer.ToHead(rec)
	}
	return m
}

// acceptHandover makes this instance the owner of a record that a leaving instance hands over, and
// continues it.
func (r *Relay) acceptHandover(ctx context.Context, h *peerpb.Handover, from string, answer func(*peerpb.Answer) error) error {
	if r.snapshot().Leaving {
		return fault.New(fault.StepHold, r.Self, fault.KindRefused, fault.NotRun, "this instance is leaving as well")
	}
	h.Record.Owner = r.Self
	rec, added := r.store.Add(peer.FromRecord(h.Record, from))
	if !added {
		r.merge(rec, 0, h.Record.Tokens, peer.FromResult(h.Record.Result, from))
		rec.SetEndpoint(h.Record.Endpoint, h.Record.Version)
		rec.TakeOver(rec.Owner(), r.Self)
	}
	r.event(event.RecordHandedOver, zap.String("request", rec.ID), zap.String("from", from))
	r.resume(rec)
	return done(answer)
}

// resume continues a record that this instance became the owner of and places a new second copy.
// The request must be repeatable.
func (r *Relay) resume(rec *record.Record) {
	r.replaceSecondCopy(rec)
	if !rec.Done() {
		r.start(rec, nil)
	}
}

// serveFollow streams the answer of a local record to another instance. A last chunk with Moved
// says that the record has another owner by now.
func (r *Relay) serveFollow(ctx context.Context, f *peerpb.Follow, answer func(*peerpb.Answer) error) error {
	rec, ok := r.store.Get(f.Id)
	if !ok {
		return fault.New(fault.StepResume, r.Self, fault.KindNotFound, fault.MayHaveRun, "this instance holds no record of the request")
	}
	pos := int(f.From)
	head := peer.ToHead(rec)
	finished, err := r.followLocal(ctx, rec, &pos, func(c Chunk) error {
		m := &peerpb.Chunk{From: int32(pos), Tokens: c.Tokens, Result: peer.ToResult(c.Result), Head: head}
		head = nil
		pos += len(c.Tokens)
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Chunk{Chunk: m}})
	})
	if err != nil || finished {
		return err
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Chunk{Chunk: &peerpb.Chunk{Moved: true}}})
}
