package relay

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
)

const (
	holdTimeout  = 700 * time.Millisecond
	claimTimeout = 500 * time.Millisecond
	claimGiveUp  = 3 * time.Second // an attempt that has no majority by then fails at once
	claimPause   = 40 * time.Millisecond
)

// seconds returns the instances that may hold a second copy, best first: the
// keepers of the id's shard, then any other, never in the own hall unless the
// whole fleet is in one.
func (r *Relay) seconds(s *control.Snapshot, id string) []member.Member {
	oneHall := s.Halls() < 2
	var out []member.Member
	add := func(m member.Member, ok bool) {
		if !ok || m.ID == r.Self || !m.Usable() || (m.Hall == r.Hall && !oneHall) {
			return
		}
		for _, o := range out {
			if o.ID == m.ID {
				return
			}
		}
		out = append(out, m)
	}
	if s.View != nil {
		for _, k := range s.View.Group(claim.ShardOf(id)) {
			add(s.Member(k.ID))
		}
	}
	offset := int(claim.ShardOf(id))
	for i := range s.Members {
		add(s.Members[(i+offset)%len(s.Members)], true)
	}
	return out
}

// alone reports whether this is the only entry instance there is.
func alone(s *control.Snapshot) bool {
	for _, m := range s.Members {
		if m.State != member.Dead {
			return false
		}
	}
	return s.View == nil || len(s.View.Members) < 2
}

// replaceSecond places a second copy of a record that lost its one, in the
// background.
func (r *Relay) replaceSecond(rec *record.Record) {
	r.wait.Go(func() {
		if err := r.placeSecond(r.ctx, rec); err != nil {
			r.Log.Warn("no second copy", zap.String("request", rec.ID), zap.Error(err))
		}
	})
}

// placeSecond has another instance in another hall hold a copy of the record.
func (r *Relay) placeSecond(ctx context.Context, rec *record.Record) error {
	s := r.snap()
	if alone(s) {
		return nil
	}
	last := errors.New("none is usable")
	for _, m := range r.seconds(s, rec.ID) {
		ctx, cancel := context.WithTimeout(ctx, holdTimeout)
		pos := rec.Position()
		a, err := r.Peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Hold{Hold: &peerpb.Hold{Record: peer.ToRecord(rec)}}})
		cancel()
		if err != nil {
			last = err
			continue
		}
		switch h := a.GetHold(); h.GetOutcome() {
		case peerpb.HoldAnswer_HELD:
			rec.SetHolder(m.ID, pos)
			r.markUpdated(rec)
			return nil
		case peerpb.HoldAnswer_TAKEN:
			return errTaken
		case peerpb.HoldAnswer_CONFLICT:
			return fault.New(fault.StepHold, m.ID, fault.KindConflict, fault.NotRun, "the Idempotency-Key is in use for another request")
		default:
			last = fault.New(fault.StepHold, m.ID, fault.KindRefused, fault.NotRun, "second copy: %s", h.GetOutcome())
		}
	}
	return fault.New(fault.StepHold, "", fault.KindRefused, notRunIf(rec.Fresh), "no instance in another hall holds a second copy: %w", last).Retry(r.Clock.Now().Add(retryAfter))
}

// ballot counts the keepers' answers to one attempt.
type ballot struct {
	self     string // entry instance that asks
	granted  []string
	taken    map[string]int // by attempt
	conflict bool
	unknown  int
	newer    uint64 // epoch of a keeper ahead of this instance
	newerAt  netip.AddrPort
	done     bool
}

// acceptOnce wins the claim for a request that may not be repeated. Before it
// returns nil, most keepers of the key's shard have recorded this attempt.
func (r *Relay) acceptOnce(ctx context.Context, rec *record.Record) error {
	if r.Switches.NoClaim {
		r.start(rec, nil)
		return nil
	}
	giveUp := r.Clock.Now().Add(claimGiveUp)
	if rec.Deadline.Before(giveUp) {
		giveUp = rec.Deadline
	}
	lapse := rec.Deadline.Add(r.snap().Table.System.Retention)
	for {
		s := r.snap()
		if s.View != nil {
			group := s.View.Group(claim.ShardOf(rec.ID))
			attempt := r.Self + "/" + strconv.FormatUint(r.draw(), 36)
			b := r.poll(ctx, rec, s.View, group, attempt, lapse)
			if len(b.granted) >= claim.Majority(len(group)) {
				rec.SetAttempt(attempt)
				r.start(rec, nil)
				return nil
			}
			r.release(rec, group, attempt, lapse)
			if done, err := r.lostBallot(rec, group, b); done {
				return err
			}
		}
		if !r.Clock.Now().Before(giveUp) || ctx.Err() != nil {
			return fault.New(fault.StepClaim, "", fault.KindTimeout, notRunIf(rec.Fresh), "most keepers of the key did not answer").Retry(r.Clock.Now().Add(retryAfter))
		}
		pause := claimPause + time.Duration(r.draw()%uint64(claimPause))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// lostBallot decides after an attempt that did not win: done says that there is
// no use in another one. A nil error then means that another attempt has the
// key, and its answer is to be followed.
func (r *Relay) lostBallot(rec *record.Record, group []claim.Member, b ballot) (done bool, err error) {
	if b.newer > 0 {
		r.FetchFrom(b.newerAt)
	}
	if b.conflict {
		return true, fault.New(fault.StepClaim, "", fault.KindConflict, fault.NotRun, "the Idempotency-Key is in use for another request")
	}
	most := claim.Majority(len(group))
	for _, n := range b.taken {
		if n >= most || b.done {
			return true, errTaken
		}
	}
	if b.unknown >= most || b.unknown+len(b.granted) >= len(group) && b.unknown > 0 {
		return true, fault.New(fault.StepClaim, "", fault.KindInternal, fault.MayHaveRun, "claims of the key may have been lost, so an earlier attempt may have run")
	}
	return false, nil
}

// errTaken says that another attempt has the key.
var errTaken = fault.New(fault.StepClaim, "", fault.KindConflict, fault.MayHaveRun, "another attempt has the key")

// poll asks all keepers of a shard for their vote at once.
func (r *Relay) poll(ctx context.Context, rec *record.Record, v *claim.View, group []claim.Member, attempt string, lapse time.Time) ballot {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	head := peer.ToHead(rec)
	answers := make(chan keeperAnswer, len(group))
	for _, k := range group {
		go func() { answers <- r.askKeeper(ctx, k, head, v.Epoch, attempt, lapse) }()
	}
	b := ballot{self: r.Self, taken: make(map[string]int)}
	for range group {
		a := <-answers
		b.count(a)
		if len(b.granted) >= claim.Majority(len(group)) {
			break // the other answers only confirm it
		}
	}
	return b
}

type keeperAnswer struct {
	from   claim.Member
	answer *peerpb.HoldAnswer // nil when the keeper did not answer
}

func (r *Relay) askKeeper(ctx context.Context, k claim.Member, head *peerpb.Record, epoch uint64, attempt string, lapse time.Time) keeperAnswer {
	hold := &peerpb.Hold{Record: head, Attempt: attempt, Epoch: epoch, Lapse: peer.Nanos(lapse)}
	if k.ID == r.Self {
		return keeperAnswer{k, r.vote(hold)}
	}
	a, err := r.Peers.Call(ctx, k.Addr, &peerpb.Call{Body: &peerpb.Call_Hold{Hold: hold}})
	if err != nil {
		return keeperAnswer{from: k}
	}
	return keeperAnswer{k, a.GetHold()}
}

func (b *ballot) count(a keeperAnswer) {
	if a.answer == nil {
		return
	}
	switch a.answer.Outcome {
	case peerpb.HoldAnswer_HELD:
		b.granted = append(b.granted, a.from.ID)
	case peerpb.HoldAnswer_TAKEN:
		if a.answer.Owner == b.self && !a.answer.Done {
			// An attempt of this very call that was given up: its vote was
			// given after the call had timed out, and its release is on its way.
			return
		}
		b.taken[a.answer.Attempt]++
		b.done = b.done || a.answer.Done
	case peerpb.HoldAnswer_CONFLICT:
		b.conflict = true
	case peerpb.HoldAnswer_UNKNOWN:
		b.unknown++
	case peerpb.HoldAnswer_STALE:
		if a.answer.Epoch > b.newer {
			b.newer, b.newerAt = a.answer.Epoch, a.from.Addr
		}
	}
}

// vote gives this instance's own vote.
func (r *Relay) vote(h *peerpb.Hold) *peerpb.HoldAnswer {
	now := r.Clock.Now()
	m := h.Record
	r.keeperMu.Lock()
	a := r.keeper.Vote(claim.Vote{
		Epoch: h.Epoch, Key: m.Id, Attempt: h.Attempt, Owner: m.Owner,
		Lapse: peer.Time(h.Lapse), Digest: m.Digest, Fresh: m.Fresh,
	}, now)
	r.keeperMu.Unlock()
	out := &peerpb.HoldAnswer{Epoch: a.Epoch, Owner: a.Claim.Owner, Attempt: a.Claim.Attempt, Done: a.Claim.Done}
	switch a.Outcome {
	case claim.Granted:
		out.Outcome = peerpb.HoldAnswer_HELD
	case claim.Taken:
		out.Outcome = peerpb.HoldAnswer_TAKEN
	case claim.Stale:
		out.Outcome = peerpb.HoldAnswer_STALE
	case claim.NotReady:
		out.Outcome = peerpb.HoldAnswer_NOT_READY
	case claim.Unknown:
		out.Outcome = peerpb.HoldAnswer_UNKNOWN
	case claim.Conflict:
		out.Outcome = peerpb.HoldAnswer_CONFLICT
	}
	return out
}

// release takes back the votes of an attempt that runs nothing.
func (r *Relay) release(rec *record.Record, group []claim.Member, attempt string, lapse time.Time) {
	for _, k := range group {
		if k.ID == r.Self {
			r.releaseClaim(rec.ID, attempt, lapse)
			continue
		}
		r.wait.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, claimTimeout)
			defer cancel()
			_, _ = r.Peers.Call(ctx, k.Addr, &peerpb.Call{Body: &peerpb.Call_Release{Release: &peerpb.Release{Id: rec.ID, Attempt: attempt, Lapse: peer.Nanos(lapse)}}})
		})
	}
}

const finishTries = 5

// publishResult gives the result of a request that may not be repeated to the
// keepers of its claim, so that a repeat anywhere gets it.
func (r *Relay) publishResult(rec *record.Record) {
	p, _ := rec.Progress(0)
	s := r.snap()
	if p.Result == nil || s.View == nil {
		return
	}
	update := &peerpb.Update{Id: rec.ID, Result: peer.ToResult(p.Result), Attempt: rec.Attempt(), Head: peer.ToHead(rec)}
	for _, k := range s.View.Group(claim.ShardOf(rec.ID)) {
		if k.ID == r.Self {
			r.finishClaim(rec.ID, rec.Attempt())
			continue
		}
		r.wait.Go(func() {
			for range finishTries {
				ctx, cancel := context.WithTimeout(r.ctx, holdTimeout)
				_, err := r.Peers.Call(ctx, k.Addr, &peerpb.Call{Body: &peerpb.Call_Progress{Progress: &peerpb.Progress{Updates: []*peerpb.Update{update}}}})
				cancel()
				if err == nil || r.ctx.Err() != nil {
					return
				}
				time.Sleep(claimPause)
			}
		})
	}
}

func (r *Relay) releaseClaim(id, attempt string, lapse time.Time) {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	r.keeper.Release(id, attempt, lapse)
}

func (r *Relay) finishClaim(id, attempt string) {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	r.keeper.Finish(id, attempt)
}

// InstallView moves the keeper to a view and collects the claims it lacks.
func (r *Relay) InstallView(v *claim.View) {
	s := r.snap()
	retention := defaultRetention
	if s.Table != nil {
		retention = s.Table.System.Retention
	}
	r.keeperMu.Lock()
	moved := r.keeper.Install(v, r.Clock.Now(), retention)
	if moved {
		r.installedAt = r.Clock.Now()
	}
	r.keeperMu.Unlock()
	if moved {
		r.event(event.ViewInstalled, zap.Uint64("epoch", v.Epoch), zap.Int("members", len(v.Members)))
	}
}

const defaultRetention = 10 * time.Minute

const pullEvery = 150 * time.Millisecond

// PullClaims collects the claims that this keeper lacks until ctx ends.
func (r *Relay) PullClaims(ctx context.Context) error {
	t := time.NewTicker(pullEvery)
	defer t.Stop()
	unknown := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		r.keeperMu.Lock()
		missing, view := r.keeper.Missing(), r.keeper.View()
		n := r.keeper.Unknown(r.Clock.Now())
		r.keeperMu.Unlock()
		if n > unknown {
			r.event(event.ShardsUnknown, zap.Int("shards", n))
		}
		unknown = n
		var wait sync.WaitGroup
		for _, m := range missing {
			wait.Go(func() { r.pull(ctx, view, m) })
		}
		wait.Wait()
	}
}

func (r *Relay) pull(ctx context.Context, v *claim.View, from claim.Member) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	doc, err := v.Encode()
	if err != nil {
		return
	}
	a, err := r.Peers.Call(ctx, from.Addr, &peerpb.Call{Body: &peerpb.Call_Pull{Pull: &peerpb.Pull{Epoch: v.Epoch, View: doc}}})
	if err != nil || a.GetPull() == nil || a.GetPull().From != from.ID {
		return // not there, or another incarnation under its address
	}
	p := a.GetPull()
	t := claim.Transfer{Epoch: p.Epoch, Knew: make([]bool, claim.Shards)}
	for i := range t.Knew {
		t.Knew[i] = p.Ready[i/8]&(1<<(i%8)) != 0
	}
	for _, c := range p.Claims {
		t.Claims = append(t.Claims, claim.Claim{
			Key: c.Key, Attempt: c.Attempt, Owner: c.Owner, Lapse: peer.Time(c.Lapse), Digest: c.Digest,
			Done: c.Done, Contested: c.Contested, Released: c.Released,
		})
		if c.Result != nil {
			r.storeResult(c.Head, c.Result, from.ID)
		}
	}
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	r.keeper.Receive(from.ID, t)
}

// storeResult keeps the result of a claim that this instance is a keeper of.
func (r *Relay) storeResult(head *peerpb.Record, res *peerpb.Result, from string) {
	if head == nil {
		return
	}
	rec, _ := r.store.Add(peer.FromRecord(head, from))
	if result := peer.FromResult(res, from); result != nil {
		rec.Finish(*result)
	}
}
