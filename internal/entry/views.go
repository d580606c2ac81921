package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
)

const (
	viewEvery   = 300 * time.Millisecond
	viewSettle  = 1500 * time.Millisecond // how long a change of members must last
	viewReadGap = 15 * time.Second        // between reads of the view that nothing asked for
	foundAlone  = 10 * time.Second        // after its start, an instance that reached fewer than half writes the first view too: most may be down
)

// proposeViews keeps the agreed view in step with the instances that live. The
// first usable instance of the fleet proposes; the others wait longer, in case
// it fails to.
func (i *Instance) proposeViews(ctx context.Context) error {
	var want []claim.Member
	var since, readAt time.Time
	foundLatest := i.opts.Clock.Now().Add(foundAlone)
	for ctx.Err() == nil {
		sleep(ctx, viewEvery)
		now := i.opts.Clock.Now()
		s := i.loop.Snapshot()
		if s.View == nil || now.Sub(readAt) > viewReadGap {
			readAt = now
			v, _, err := i.readView(ctx)
			switch {
			case err == nil:
				i.loop.Send(ctx, control.ViewRead{View: v})
			case errors.Is(err, kv.ErrNotFound) && !s.Leaving:
				i.foundView(ctx, usable(s), now.After(foundLatest))
			}
			continue
		}
		now = i.opts.Clock.Now()
		next := usable(s)
		if !sameIDs(want, next) {
			want, since = next, now
		}
		if sameIDs(next, s.View.Members) || len(next) == 0 {
			continue
		}
		turn := time.Duration(rankOf(next, s.Self.ID)) * viewSettle
		if now.Sub(since) < viewSettle+turn {
			continue
		}
		if !i.safe(s) {
			continue
		}
		if !i.relay.KeeperReady() && now.Sub(since) < 2*viewSettle+turn {
			continue // one change at a time, while that is possible
		}
		i.writeView(ctx, s.View.Next(next))
		since = i.opts.Clock.Now()
	}
	return ctx.Err()
}

// foundView writes the first view, of the instances that this one reaches, itself
// included. It waits until these are most of those that the platform lists, or until it
// is late: a view without the others could be left only once its keepers are no longer
// listed. An instance with a wrong certificate, which the store lets in and no other
// instance does, may write it first when many processes start at once.
func (i *Instance) foundView(ctx context.Context, reached []claim.Member, late bool) {
	if 2*len(reached) > lo.CountBy(*i.list.Load(), isServingEntry) || late {
		i.writeView(ctx, (&claim.View{}).Next(reached))
	}
}

// isServingEntry reports whether a listed instance is one of these and does not leave.
func isServingEntry(inst platform.Instance) bool {
	return inst.Kind == platform.KindEntry && inst.State != platform.StateLeaving
}

// safe reports whether most keepers of every shard can still hand their claims
// on. If not, the view stays while any keeper that does not answer may only be
// cut off: when the cut ends, nothing was lost. It is given up on when the
// platform no longer lists it, or when it came back as another incarnation.
func (i *Instance) safe(s *control.Snapshot) bool {
	answers := map[string]bool{s.Self.ID: true}
	newer := make(map[string]bool) // names under which an incarnation lives
	for _, m := range s.Members {
		if m.State != member.Dead {
			answers[m.ID] = true
			newer[m.Name] = true
		}
	}
	listed := make(map[string]bool)
	for _, inst := range *i.list.Load() {
		if isServingEntry(inst) {
			listed[inst.ID] = true
		}
	}
	for sh := range claim.Shard(claim.Shards) {
		group := s.View.Group(sh)
		n, perhaps := 0, 0
		for _, k := range group {
			name, _, _ := strings.Cut(k.ID, "#")
			switch {
			case answers[k.ID]:
				n++
			case listed[name] && !newer[name]:
				perhaps++
			}
		}
		if n < claim.Majority(len(group)) && n+perhaps >= claim.Majority(len(group)) {
			return false
		}
	}
	return true
}

// readView returns the stored view and the store's revision of it.
func (i *Instance) readView(ctx context.Context) (*claim.View, uint64, error) {
	e, err := i.store.Get(ctx, platform.KeyView)
	if err != nil {
		return nil, 0, err
	}
	v, err := claim.DecodeView(e.Value)
	return v, e.Revision, err
}

// writeView writes a view if the one before it is still in the store.
func (i *Instance) writeView(ctx context.Context, v *claim.View) {
	var expect uint64
	if v.Epoch > 1 {
		cur, revision, err := i.readView(ctx)
		if err != nil {
			return
		}
		if cur.Epoch != v.Epoch-1 {
			i.loop.Send(ctx, control.ViewRead{View: cur})
			return
		}
		expect = revision
	}
	doc, err := v.Encode()
	if err != nil {
		return
	}
	if _, err := i.store.Put(ctx, platform.KeyView, doc, expect, time.Time{}); err == nil {
		i.loop.Send(ctx, control.ViewRead{View: v})
		return
	}
	// It may have been written all the same, or another was first: read it.
	if cur, _, err := i.readView(ctx); err == nil {
		i.loop.Send(ctx, control.ViewRead{View: cur})
	}
}

func self(s *control.Snapshot) claim.Member {
	return claim.Member{ID: s.Self.ID, Hall: s.Self.Hall, Addr: s.Self.Addr}
}

// usable returns the members that a view should have, sorted by ID. One that
// is only suspect stays.
func usable(s *control.Snapshot) []claim.Member {
	var out []claim.Member
	if !s.Leaving {
		out = append(out, self(s))
	}
	for _, m := range s.Members {
		if m.State != member.Dead && !m.Leaving {
			out = append(out, claim.Member{ID: m.ID, Hall: m.Hall, Addr: m.Addr})
		}
	}
	return (&claim.View{}).Next(out).Members
}

func sameIDs(a, b []claim.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// rankOf returns the place of an instance in the order of proposers; one that
// is leaving comes last.
func rankOf(members []claim.Member, id string) int {
	for i, m := range members {
		if m.ID == id {
			return min(i, 3)
		}
	}
	return 4
}
