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

// Chunk is a part of an answer on its way to a caller.
type Chunk struct {
	Head   *record.Record // the request, without its body when it is kept elsewhere
	Tokens []string
	Result *record.Result // set with the last chunk
}

const (
	followPause = 100 * time.Millisecond
	lostAfter   = 5 * time.Second  // how long a record may be nowhere before it is given up
	unsureAfter = 12 * time.Second // how long its owner may stay silent
)

// Follow hands the answer of a request, from a position on, to each, in order
// and once, wherever the request runs and however often it moves. It returns
// nil after the last chunk.
func (r *Relay) Follow(ctx context.Context, id string, from int, each func(Chunk) error) error {
	pos := from
	var missingSince time.Time
	movedAt := r.Clock.Now() // when the answer last made progress, or its owner was reached
	deliver := func(c Chunk) error {
		pos += len(c.Tokens)
		movedAt = r.Clock.Now()
		return each(c)
	}
	for {
		done, err := r.followOnce(ctx, id, &pos, deliver)
		if done || ctx.Err() != nil {
			return errors.Join(err, ctx.Err())
		}
		switch {
		case err == errNowhere && missingSince.IsZero() && from == 0 && pos == 0 && !r.wasHere(id):
			return fault.New(fault.StepResume, "", fault.KindNotFound, fault.MayHaveRun, "no such request")
		case (err == errNowhere || err == errGone) && missingSince.IsZero():
			missingSince = r.Clock.Now()
		case (err == errNowhere || err == errGone) && r.Clock.Since(missingSince) > lostAfter:
			r.event(event.RecordLost, zap.String("request", id))
			return fault.New(fault.StepResume, "", fault.KindNotFound, fault.MayHaveRun, "no entry instance holds the request")
		case err == errUnsure && r.Clock.Since(movedAt) > unsureAfter:
			return fault.New(fault.StepResume, "", fault.KindTimeout, fault.MayHaveRun, "the instance that holds the request does not answer").Retry(r.Clock.Now().Add(retryAfter))
		case err == nil:
			movedAt, missingSince = r.Clock.Now(), time.Time{}
		case err != errNowhere && err != errGone:
			missingSince = time.Time{}
		}
		select {
		case <-time.After(followPause):
		case <-ctx.Done():
		}
	}
}

// errNowhere says that no instance that answered holds the record.
var errNowhere = errors.New("no instance holds the record")

// errGone says that the record was claimed here and is no longer here: the
// claim is on its way to be released, or another attempt has won meanwhile.
var errGone = errors.New("the record was here and is no longer")

// errUnsure says that an instance which may hold the record did not answer.
var errUnsure = errors.New("an instance that may hold the record did not answer")

func (r *Relay) wasHere(id string) bool {
	_, ok := r.store.Get(id)
	return ok
}

// followOnce follows at the place where the record is now. done is true when
// the answer ended or the caller's side failed.
func (r *Relay) followOnce(ctx context.Context, id string, pos *int, deliver func(Chunk) error) (done bool, err error) {
	if rec, ok := r.store.Get(id); ok && (rec.Owner() == r.Self || rec.Done()) {
		return r.followLocal(ctx, rec, pos, deliver)
	}
	where, ok := r.locate(ctx, id)
	if !ok {
		if where.unsure {
			return false, errUnsure
		}
		return false, errNowhere
	}
	m, known := r.snap().Member(where.owner)
	if where.voted && !where.done && (!known || m.State == member.Dead) {
		return true, fault.New(fault.StepResume, where.owner, fault.KindBroken, fault.MayHaveRun, "the instance that made the call is gone; the call may have run")
	}
	if where.owner == r.Self {
		return false, errGone
	}
	if !known {
		return false, errUnsure
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
				r.markUpdated(rec) // the second copy may go too
			}
			return true, nil
		}
		if p.Owner != r.Self {
			return false, nil // it has moved
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true, ctx.Err()
		case <-r.ctx.Done():
			return true, fault.New(fault.StepStream, "", fault.KindBroken, fault.MayHaveRun, "this instance stops; resume at another")
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

// place is where a record was found.
type place struct {
	owner  string
	digest uint64
	done   bool
	voted  bool
	unsure bool // not found, but an instance that may hold it did not answer
}

// locate asks the keepers of an id, and in a small fleet all instances, who
// owns its record.
func (r *Relay) locate(ctx context.Context, id string) (place, bool) {
	s := r.snap()
	if rec, ok := r.store.Get(id); ok && rec.Owner() != "" {
		if m, known := s.Member(rec.Owner()); known && m.State != member.Dead && m.ID != r.Self {
			return place{owner: rec.Owner(), digest: rec.Digest, voted: !rec.Repeatable}, true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	ask := r.candidates(s, id)
	found := make([]*peerpb.FindAnswer, len(ask))
	var wait sync.WaitGroup
	for i, m := range ask {
		wait.Go(func() {
			a, err := r.Peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_Find{Find: &peerpb.Find{Id: id}}})
			if err == nil {
				found[i] = a.GetFind()
			}
		})
	}
	wait.Wait()
	return r.best(s, id, ask, found)
}

// candidates returns the instances that may hold a record.
func (r *Relay) candidates(s *control.Snapshot, id string) []member.Member {
	if len(s.Members) <= member.FullMesh {
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

// best chooses among the answers: one that has the result, then a living owner.
func (r *Relay) best(s *control.Snapshot, id string, ask []member.Member, found []*peerpb.FindAnswer) (place, bool) {
	var best place
	ok := false
	consider := func(p place) {
		if ok && p.owner == r.Self {
			return // not here, or it would have been followed here
		}
		m, known := s.Member(p.owner)
		alive := known && m.State != member.Dead
		b, bestKnown := s.Member(best.owner)
		bestAlive := bestKnown && b.State != member.Dead
		if !ok || best.owner == r.Self || (p.done && !best.done) || (p.done == best.done && alive && !bestAlive) {
			best, ok = p, true
		}
	}
	r.keeperMu.Lock()
	c, voted := r.keeper.Look(id, r.Clock.Now())
	r.keeperMu.Unlock()
	if voted {
		consider(place{owner: c.Owner, digest: c.Digest, voted: true})
	}
	unsure := false
	for i, f := range found {
		switch {
		case f == nil:
			unsure = unsure || ask[i].State != member.Dead
		case f.Found && f.Done:
			consider(place{owner: ask[i].ID, digest: f.Digest, done: true, voted: f.Voted})
		case f.Found:
			consider(place{owner: f.Owner, digest: f.Digest, voted: f.Voted})
		}
	}
	best.unsure = unsure
	return best, ok
}
