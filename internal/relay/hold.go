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
	holdTimeout      = 700 * time.Millisecond
	claimTimeout     = 500 * time.Millisecond
	claimRetryPeriod = 3 * time.Second // attempts without a majority of votes are repeated for so long
	claimPause       = 40 * time.Millisecond
)

// secondCopyCandidates returns the instances that may hold the second copy of a record, best
// first: the replicas of the id's shard, then all others, rotated by shard to spread the load.
// Instances in this hall are left out unless all instances are in one hall.
func (r *Relay) secondCopyCandidates(s *control.Snapshot, id string) []member.Member {
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

// onlyInstance reports whether this is the only entry instance that lives and the only one in the view.
func onlyInstance(s *control.Snapshot) bool {
	for _, m := range s.Members {
		if m.State != member.Dead {
			return false
		}
	}
	return s.View == nil || len(s.View.Members) < 2
}

// replaceSecondCopy places a new second copy of a record in the background. If that fails, the record
// goes on without one and is lost when this instance dies.
func (r *Relay) replaceSecondCopy(rec *record.Record) {
	r.wait.Go(func() {
		if err := r.placeSecondCopy(r.ctx, rec); err != nil {
			r.Log.Warn("could not place a second copy", zap.String("request", rec.ID), zap.Error(err))
		}
	})
}

// placeSecondCopy stores a second copy of the record at the first of the secondCopyCandidates that
// accepts it. A fleet of one instance needs no copy. The error is errTaken if another instance
// already owns the request.
func (r *Relay) placeSecondCopy(ctx context.Context, rec *record.Record) error {
	s := r.snapshot()
	if onlyInstance(s) {
		return nil
	}
	lastErr := errors.New("no usable instance")
	for _, m := range r.secondCopyCandidates(s, rec.ID) {
		ctx, cancel := context.WithTimeout(ctx, holdTimeout)
		pos := rec.Position()
		a, err := r.Peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Hold{Hold: &peerpb.Hold{Record: peer.ToRecord(rec)}}})
		cancel()
		if err != nil {
			lastErr = err
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
			lastErr = fault.New(fault.StepHold, m.ID, fault.KindRefused, fault.NotRun, "second copy: %s", h.GetOutcome())
		}
	}
	return fault.New(fault.StepHold, "", fault.KindRefused, notRunIf(rec.GeneratedID), "no instance in another hall accepted a second copy: %w", lastErr).WithRetryAt(r.Clock.Now().Add(retryAfter))
}

// voteCount counts the replicas' answers to one attempt to claim a key.
type voteCount struct {
	self       string // ID of the entry instance that makes the attempt
	granted    []string
	taken      map[string]int // number of replicas that voted for another attempt, by that attempt
	conflict   bool
	unknown    int            // replicas that may have lost earlier claims
	newerEpoch uint64         // highest epoch of the replicas with a newer view than this instance
	newerAddr  netip.AddrPort // address of that replica
	done       bool           // a taken key's attempt has ended with a result
}

// acceptWithClaim claims the key of a request that may not be repeated, and starts the request. It
// starts it only after a majority of the replicas of the key's shard have recorded this attempt.
// The error is errTaken if another attempt has the key.
func (r *Relay) acceptWithClaim(ctx context.Context, rec *record.Record) error {
	if r.Switches.NoClaim {
		r.start(rec, nil)
		return nil
	}
	limit := r.Clock.Now().Add(claimRetryPeriod)
	if rec.Deadline.Before(limit) {
		limit = rec.Deadline
	}
	lapse := rec.Deadline.Add(r.snapshot().Table.System.Retention)
	for {
		s := r.snapshot()
		if s.View != nil {
			group := s.View.Group(claim.ShardOf(rec.ID))
			attempt := r.Self + "/" + strconv.FormatUint(r.random(), 36)
			b := r.requestVotes(ctx, rec, s.View, group, attempt, lapse)
			if len(b.granted) >= claim.Majority(len(group)) {
				rec.SetAttempt(attempt)
				r.start(rec, nil)
				return nil
			}
			r.releaseVotes(rec, group, attempt, lapse)
			if done, err := r.afterLostVote(rec, group, b); done {
				return err
			}
		}
		if !r.Clock.Now().Before(limit) || ctx.Err() != nil {
			return fault.New(fault.StepClaim, "", fault.KindTimeout, notRunIf(rec.GeneratedID), "no majority of the replicas of the key voted for the attempt in time").WithRetryAt(r.Clock.Now().Add(retryAfter))
		}
		pause := claimPause + time.Duration(r.random()%uint64(claimPause))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// afterLostVote decides what follows an attempt without a majority. done is true if a further attempt
// is useless; err then says why, and is errTaken if another attempt has the key, whose answer the
// caller gets. A replica with a newer view is asked for it first.
func (r *Relay) afterLostVote(rec *record.Record, group []claim.Member, b voteCount) (done bool, err error) {
	if b.newerEpoch > 0 {
		r.FetchFrom(b.newerAddr)
	}
	if b.conflict {
		return true, fault.New(fault.StepClaim, "", fault.KindConflict, fault.NotRun, "the Idempotency-Key is in use for another request")
	}
	majority := claim.Majority(len(group))
	for _, n := range b.taken {
		if n >= majority || b.done {
			return true, errTaken
		}
	}
	if b.unknown >= majority || b.unknown+len(b.granted) >= len(group) && b.unknown > 0 {
		return true, fault.New(fault.StepClaim, "", fault.KindInternal, fault.MayHaveRun, "claims of the key may have been lost, so an earlier attempt may have run")
	}
	return false, nil
}

// errTaken means that another attempt has the key or owns the request; its answer is followed.
var errTaken = fault.New(fault.StepClaim, "", fault.KindConflict, fault.MayHaveRun, "another attempt has the key")

// requestVotes asks all replicas of a shard for their votes in parallel, and returns when a majority
// has granted them or all have answered or timed out.
func (r *Relay) requestVotes(ctx context.Context, rec *record.Record, v *claim.View, group []claim.Member, attempt string, lapse time.Time) voteCount {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	head := peer.ToHead(rec)
	answers := make(chan replicaAnswer, len(group))
	for _, k := range group {
		go func() { answers <- r.requestVote(ctx, k, head, v.Epoch, attempt, lapse) }()
	}
	b := voteCount{self: r.Self, taken: make(map[string]int)}
	for range group {
		a := <-answers
		b.count(a)
		if len(b.granted) >= claim.Majority(len(group)) {
			break // the remaining answers cannot change the result
		}
	}
	return b
}

type replicaAnswer struct {
	from   claim.Member
	answer *peerpb.HoldAnswer // nil when the replica did not answer
}

func (r *Relay) requestVote(ctx context.Context, k claim.Member, head *peerpb.Record, epoch uint64, attempt string, lapse time.Time) replicaAnswer {
	hold := &peerpb.Hold{Record: head, Attempt: attempt, Epoch: epoch, Lapse: peer.ToUnixNano(lapse)}
	if k.ID == r.Self {
		return replicaAnswer{k, r.vote(hold)}
	}
	a, err := r.Peers.Call(ctx, k.Addr, &peerpb.Call{Body: &peerpb.Call_Hold{Hold: hold}})
	if err != nil {
		return replicaAnswer{from: k}
	}
	return replicaAnswer{k, a.GetHold()}
}

func (b *voteCount) count(a replicaAnswer) {
	if a.answer == nil {
		return
	}
	switch a.answer.Outcome {
	case peerpb.HoldAnswer_HELD:
		b.granted = append(b.granted, a.from.ID)
	case peerpb.HoldAnswer_TAKEN:
		if a.answer.Owner == b.self && !a.answer.Done {
			// The vote is for an earlier attempt of this instance that was abandoned: the
			// replica voted after the call had timed out, and the release is on its way.
			return
		}
		b.taken[a.answer.Attempt]++
		b.done = b.done || a.answer.Done
	case peerpb.HoldAnswer_CONFLICT:
		b.conflict = true
	case peerpb.HoldAnswer_UNKNOWN:
		b.unknown++
	case peerpb.HoldAnswer_STALE:
		if a.answer.Epoch > b.newerEpoch {
			b.newerEpoch, b.newerAddr = a.answer.Epoch, a.from.Addr
		}
	}
}

// vote answers a request for this instance's vote as a replica.
func (r *Relay) vote(h *peerpb.Hold) *peerpb.HoldAnswer {
	now := r.Clock.Now()
	m := h.Record
	r.replicaMu.Lock()
	a := r.replica.Vote(claim.VoteRequest{
		Epoch: h.Epoch, Key: m.Id, Attempt: h.Attempt, Owner: m.Owner,
		ExpiresAt: peer.FromUnixNano(h.Lapse), Digest: m.Digest, GeneratedKey: m.Fresh,
	}, now)
	r.replicaMu.Unlock()
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

// releaseVotes makes the replicas take back their votes for an attempt that has run nothing. Calls to
// other replicas are sent in the background, once each.
func (r *Relay) releaseVotes(rec *record.Record, group []claim.Member, attempt string, lapse time.Time) {
	for _, k := range group {
		if k.ID == r.Self {
			r.releaseClaim(rec.ID, attempt, lapse)
			continue
		}
		r.wait.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, claimTimeout)
			defer cancel()
			_, _ = r.Peers.Call(ctx, k.Addr, &peerpb.Call{Body: &peerpb.Call_Release{Release: &peerpb.Release{Id: rec.ID, Attempt: attempt, Lapse: peer.ToUnixNano(lapse)}}})
		})
	}
}

const maxPublishAttempts = 5

// publishResult sends the result of a request that may not be repeated to the replicas of its
// claim, so that a repeat at any entry instance gets that result. Calls to other replicas run in the
// background, with up to maxPublishAttempts attempts each.
func (r *Relay) publishResult(rec *record.Record) {
	p, _ := rec.Progress(0)
	s := r.snapshot()
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
			for range maxPublishAttempts {
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
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	r.replica.Release(id, attempt, lapse)
}

func (r *Relay) finishClaim(id, attempt string) {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	r.replica.Finish(id, attempt)
}

// InstallView makes the replica use a view if it is newer than the installed one. PullClaims then
// collects the claims that the replica lacks in it.
func (r *Relay) InstallView(v *claim.View) {
	s := r.snapshot()
	retention := defaultRetention
	if s.Table != nil {
		retention = s.Table.System.Retention
	}
	r.replicaMu.Lock()
	moved := r.replica.Install(v, r.Clock.Now(), retention)
	if moved {
		r.installedAt = r.Clock.Now()
	}
	r.replicaMu.Unlock()
	if moved {
		r.event(event.ViewInstalled, zap.Uint64("epoch", v.Epoch), zap.Int("members", len(v.Members)))
	}
}

const defaultRetention = 10 * time.Minute

const pullInterval = 150 * time.Millisecond

// PullClaims asks the old replicas for the claims that this replica lacks, until ctx ends. It logs
// when more shards may have lost claims than before.
func (r *Relay) PullClaims(ctx context.Context) error {
	t := time.NewTicker(pullInterval)
	defer t.Stop()
	unknown := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		r.replicaMu.Lock()
		missing, view := r.replica.PendingTransfers(), r.replica.View()
		n := r.replica.UnknownShards(r.Clock.Now())
		r.replicaMu.Unlock()
		if n > unknown {
			r.event(event.ClaimsUncertain, zap.Int("shards", n))
		}
		unknown = n
		var wait sync.WaitGroup
		for _, m := range missing {
			wait.Go(func() { r.pullFrom(ctx, view, m) })
		}
		wait.Wait()
	}
}

func (r *Relay) pullFrom(ctx context.Context, v *claim.View, from claim.Member) {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	doc, err := v.Encode()
	if err != nil {
		return
	}
	a, err := r.Peers.Call(ctx, from.Addr, &peerpb.Call{Body: &peerpb.Call_Pull{Pull: &peerpb.Pull{Epoch: v.Epoch, View: doc}}})
	if err != nil || a.GetPull() == nil || a.GetPull().From != from.ID {
		return // no answer, or another incarnation of the instance has the address now
	}
	p := a.GetPull()
	t := claim.Transfer{Epoch: p.Epoch, Complete: make([]bool, claim.Shards)}
	for i := range t.Complete {
		t.Complete[i] = p.Ready[i/8]&(1<<(i%8)) != 0
	}
	for _, c := range p.Claims {
		t.Claims = append(t.Claims, claim.Claim{
			Key: c.Key, Attempt: c.Attempt, Owner: c.Owner, ExpiresAt: peer.FromUnixNano(c.Lapse), Digest: c.Digest,
			Done: c.Done, Contested: c.Contested, Released: c.Released,
		})
		if c.Result != nil {
			r.storeResult(c.Head, c.Result, from.ID)
		}
	}
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	r.replica.Receive(from.ID, t)
}

// storeResult stores the request and the result of a claim that this instance keeps.
func (r *Relay) storeResult(head *peerpb.Record, res *peerpb.Result, from string) {
	if head == nil {
		return
	}
	rec, _ := r.store.Add(peer.FromRecord(head, from))
	if result := peer.FromResult(res, from); result != nil {
		rec.Finish(*result)
	}
}
