package relay

import (
	"context"
	"errors"
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

// Chunk is a part of an answer that Follow delivers.
type Chunk struct {
	Head   *record.Record // the request; without its body if the record is on another instance
	Tokens []string
	Result *record.Result // set in the last chunk only
}

const (
	followRetryInterval = 100 * time.Millisecond
	recordLostTimeout   = 5 * time.Second  // time without a record on any instance after which it is reported as lost
	holderSilentTimeout = 12 * time.Second // time without an answer of an instance that may hold the record after which Follow fails
)

// Follow calls each with the chunks of a request's answer, starting at token position from. Each
// token is delivered once and in order, whichever instance runs the request and even if it moves
// between instances meanwhile. Follow returns nil after the last chunk.
func (r *Relay) Follow(ctx context.Context, id string, from int, each func(Chunk) error) error {
	pos := from
	var missingSince time.Time
	progressAt := r.Clock.Now() // last time the answer made progress or its owner was reached
	deliver := func(c Chunk) error {
		pos += len(c.Tokens)
		progressAt = r.Clock.Now()
		return each(c)
	}
	for {
		done, err := r.followOnce(ctx, id, &pos, deliver)
		if done || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		switch {
		case err == errNoRecord && missingSince.IsZero() && from == 0 && pos == 0 && !r.hasRecord(id):
			return fault.New(fault.StepResume, "", fault.KindNotFound, fault.MayHaveRun, "no such request")
		case (err == errNoRecord || err == errRecordGone) && missingSince.IsZero():
			missingSince = r.Clock.Now()
		case (err == errNoRecord || err == errRecordGone) && r.Clock.Since(missingSince) > recordLostTimeout:
			r.event(event.RecordLost, zap.String("request", id))
			return fault.New(fault.StepResume, "", fault.KindNotFound, fault.MayHaveRun, "no entry instance holds the request")
		case err == errHolderSilent && r.Clock.Since(progressAt) > holderSilentTimeout:
			return fault.New(fault.StepResume, "", fault.KindTimeout, fault.MayHaveRun, "the instance that holds the request does not answer").WithRetryAt(r.Clock.Now().Add(retryAfter))
		case err == nil:
			progressAt, missingSince = r.Clock.Now(), time.Time{}
		case err != errNoRecord && err != errRecordGone:
			missingSince = time.Time{}
		}
		select {
		case <-time.After(followRetryInterval):
		case <-ctx.Done():
		}
	}
}

// errNoRecord means that no instance holds the record, and all that were asked answered.
var errNoRecord = errors.New("no instance holds the record")

// errRecordGone means that a claim names this instance as the owner but the record is not in its store:
// the claim is about to be released, or another attempt has won it meanwhile.
var errRecordGone = errors.New("the record was here and is no longer")

// errHolderSilent means that an instance that may hold the record did not answer, or that its address is
// not known here.
var errHolderSilent = errors.New("an instance that may hold the record did not answer")

func (r *Relay) hasRecord(id string) bool {
	_, ok := r.store.Get(id)
	return ok
}

// followOnce locates the record and follows it there until the answer ends or the record moves.
// done is true when the answer ended or the error is final; otherwise Follow tries again. pos is
// the position of the next token; deliver advances it.
func (r *Relay) followOnce(ctx context.Context, id string, pos *int, deliver func(Chunk) error) (done bool, err error) {
	if rec, ok := r.store.Get(id); ok && (rec.Owner() == r.Self || rec.Done()) {
		return r.followLocal(ctx, rec, pos, deliver)
	}
	where, ok := r.locate(ctx, id)
	if !ok {
		if where.incomplete {
			return false, errHolderSilent
		}
		return false, errNoRecord
	}
	m, known := r.snapshot().Member(where.owner)
	if where.claimed && !where.done && (!known || m.State == member.Dead) {
		return true, fault.New(fault.StepResume, where.owner, fault.KindBroken, fault.MayHaveRun, "the instance that made the call is gone; the call may have run")
	}
	if where.owner == r.Self {
		return false, errRecordGone
	}
	if !known {
		return false, errHolderSilent
	}
	return r.followRemote(ctx, id, m, pos, deliver)
}

func (r *Relay) followLocal(ctx context.Context, rec *record.Record, pos *int, deliver func(Chunk) error) (bool, error) {
	for {
		p, changed := rec.Progress(*pos)
		if len(p.Tokens) > 0 || p.Result != nil {
			if err := deliver(Chunk{Head: rec, Tokens: p.Tokens, Result: p.Result}); err != nil {
				return true, err
			}
		}
		if p.Result != nil {
			rec.MarkFetched()
			if rec.Repeatable && p.Owner == r.Self {
				r.markUpdated(rec) // the holder may drop the second copy
			}
			return true, nil
		}
		if p.Owner != r.Self {
			return false, nil // the record has moved to another instance
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true, ctx.Err()
		case <-r.ctx.Done():
			return true, fault.New(fault.StepStream, "", fault.KindBroken, fault.MayHaveRun, "this instance is stopping; resume at another one")
		}
	}
}

func (r *Relay) followRemote(ctx context.Context, id string, m member.Member, pos *int, deliver func(Chunk) error) (done bool, err error) {
	call := &peerpb.Call{Body: &peerpb.Call_Follow{Follow: &peerpb.Follow{Id: id, From: int32(*pos)}}}
	var head *record.Record
	err = r.Peers.Follow(ctx, m.Addr, call, func(a *peerpb.Answer) (bool, error) {
		c := a.GetChunk()
		if c == nil || c.Moved {
			return false, nil
		}
		if c.Head != nil {
			head = peer.FromRecord(c.Head, m.ID)
		}
		if skip := *pos - int(c.From); skip > 0 {
			c.Tokens = c.Tokens[min(skip, len(c.Tokens)):]
		}
		out := Chunk{Head: head, Tokens: c.Tokens, Result: peer.FromResult(c.Result, m.ID)}
		if err := deliver(out); err != nil {
			done = true
			return false, err
		}
		done = out.Result != nil
		return !done, nil
	})
	return done, err
}

// location is the result of a search for a record.
type location struct {
	owner      string
	digest     uint64
	done       bool
	claimed    bool // the request may not be repeated and runs under a claim
	incomplete bool // an instance that may hold the record did not answer
}

// locate finds the owner of a record. It uses the local copy if that names another living
// instance. Else it asks the replicas of the id's shard, or all instances in a fleet of at most
// member.FullMesh others. The second result is false if no instance holds the record.
func (r *Relay) locate(ctx context.Context, id string) (location, bool) {
	s := r.snapshot()
	if rec, ok := r.store.Get(id); ok && rec.Owner() != "" {
		if m, known := s.Member(rec.Owner()); known && m.State != member.Dead && m.ID != r.Self {
			return location{owner: rec.Owner(), digest: rec.Digest, claimed: !rec.Repeatable}, true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	asked := r.candidates(s, id)
	found := make([]*peerpb.FindAnswer, len(asked))
	var wait sync.WaitGroup
	for i, m := range asked {
		wait.Go(func() {
			a, err := r.Peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Find{Find: &peerpb.Find{Id: id}}})
			if err == nil {
				found[i] = a.GetFind()
			}
		})
	}
	wait.Wait()
	return r.chooseLocation(s, id, asked, found)
}

// candidates returns the instances to ask for a record: all that are not dead in a small fleet,
// else the replicas of the id's shard.
func (r *Relay) candidates(s *control.Snapshot, id string) []member.Member {
	if len(s.Members) <= member.FullMeshLimit {
		var out []member.Member
		for _, m := range s.Members {
			if m.State != member.Dead {
				out = append(out, m)
			}
		}
		return out
	}
	var out []member.Member
	if s.View == nil {
		return out
	}
	for _, k := range s.View.Group(claim.ShardOf(id)) {
		if m, ok := s.Member(k.ID); ok && m.ID != r.Self {
			out = append(out, m)
		}
	}
	return out
}

// chooseLocation chooses among the answers and this replica's own claim: first a record with its
// result, then one whose owner is not dead. found has the answers by the index in asked, nil for none.
func (r *Relay) chooseLocation(s *control.Snapshot, id string, asked []member.Member, found []*peerpb.FindAnswer) (location, bool) {
	var best location
	ok := false
	consider := func(p location) {
		if ok && p.owner == r.Self {
			return // the record is not in the local store, else followOnce would have used it
		}
		m, known := s.Member(p.owner)
		alive := known && m.State != member.Dead
		b, bestKnown := s.Member(best.owner)
		bestAlive := bestKnown && b.State != member.Dead
		if !ok || best.owner == r.Self || (p.done && !best.done) || (p.done == best.done && alive && !bestAlive) {
			best, ok = p, true
		}
	}
	r.replicaMu.Lock()
	c, voted := r.replica.Lookup(id, r.Clock.Now())
	r.replicaMu.Unlock()
	if voted {
		consider(location{owner: c.Owner, digest: c.Digest, claimed: true})
	}
	incomplete := false
	for i, f := range found {
		switch {
		case f == nil:
			incomplete = incomplete || asked[i].State != member.Dead
		case f.Found && f.Done:
			consider(location{owner: asked[i].ID, digest: f.Digest, done: true, claimed: f.Voted})
		case f.Found:
			consider(location{owner: f.Owner, digest: f.Digest, claimed: f.Voted})
		}
	}
	best.incomplete = incomplete
	return best, ok
}
