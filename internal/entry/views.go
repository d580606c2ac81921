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
	viewInterval     = 300 * time.Millisecond
	viewSettleTime   = 1500 * time.Millisecond // a change of members must last so long before it changes the view
	viewReadInterval = 15 * time.Second        // between periodic reads of the stored view
	firstViewTimeout = 10 * time.Second        // after its start, an instance writes the first view even if it has reached only a minority: the others may be down
)

// proposeViews keeps the stored view in step with the instances that are alive, until ctx ends. The
// first instance of the intended view writes it; each later one waits longer, in case those before
// it fail to.
func (i *Instance) proposeViews(ctx context.Context) error {
	var want []claim.Member
	var since, readAt time.Time
	firstViewDeadline := i.opts.Clock.Now().Add(firstViewTimeout)
	for ctx.Err() == nil {
		sleep(ctx, viewInterval)
		now := i.opts.Clock.Now()
		s := i.loop.Snapshot()
		if s.View == nil || now.Sub(readAt) > viewReadInterval {
			readAt = now
			v, _, err := i.readView(ctx)
			switch {
			case err == nil:
				i.loop.Send(ctx, control.ViewRead{View: v})
			case errors.Is(err, kv.ErrNotFound) && !s.Leaving:
				i.writeFirstView(ctx, viewMembers(s), now.After(firstViewDeadline))
			}
			continue
		}
		now = i.opts.Clock.Now()
		next := viewMembers(s)
		if !sameIDs(want, next) {
			want, since = next, now
		}
		if sameIDs(next, s.View.Members) || len(next) == 0 {
			continue
		}
		delay := time.Duration(writerRank(next, s.Self.ID)) * viewSettleTime
		if now.Sub(since) < viewSettleTime+delay {
			continue
		}
		if !i.viewReplaceable(s) {
			continue
		}
		if !i.relay.ReplicaReady() && now.Sub(since) < 2*viewSettleTime+delay {
			continue // the claims of the last view are not collected yet: let that end first, but only for a while
		}
		i.writeView(ctx, s.View.Next(next))
		since = i.opts.Clock.Now()
	}
	return ctx.Err()
}

// writeFirstView writes the first view, with the instances that this one has reached and itself. It
// writes it only if these are more than half of the entry instances that the platform lists, or if
// late is true. Otherwise an instance with a wrong certificate, which the store accepts but no other
// instance does, could write a first view of its own when many processes start at once, and that
// view could be replaced only once its replicas are no longer listed.
func (i *Instance) writeFirstView(ctx context.Context, reached []claim.Member, late bool) {
	if 2*len(reached) > lo.CountBy(*i.list.Load(), isServingEntry) || late {
		i.writeView(ctx, (&claim.View{}).Next(reached))
	}
}

// isServingEntry reports whether a listed instance is an entry instance that is not leaving.
func isServingEntry(inst platform.Instance) bool {
	return inst.Kind == platform.KindEntry && inst.State != platform.StateLeaving
}

// viewReplaceable reports whether the view may be replaced without losing claims that could still be saved.
// Each shard needs a majority of replicas that are alive, to pass its claims on. If a shard lacks
// one only because some replicas do not answer, the view stays: they may be cut off, and their claims
// are available again when the network recovers. A replica counts as lost when the platform no longer
// lists it or its name lives on as another incarnation. If a majority is lost, the claims are lost
// anyway and the view may be replaced.
func (i *Instance) viewReplaceable(s *control.Snapshot) bool {
	alive := map[string]bool{s.Self.ID: true}
	aliveNames := make(map[string]bool) // names of the instances that live, in whatever incarnation
	for _, m := range s.Members {
		if m.State != member.Dead {
			alive[m.ID] = true
			aliveNames[m.Name] = true
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
		n, unreachable := 0, 0
		for _, k := range group {
			name, _, _ := strings.Cut(k.ID, "#")
			switch {
			case alive[k.ID]:
				n++
			case listed[name] && !aliveNames[name]:
				unreachable++
			}
		}
		if n < claim.Majority(len(group)) && n+unreachable >= claim.Majority(len(group)) {
			return false
		}
	}
	return true
}

// readView returns the stored view and its revision in the store.
func (i *Instance) readView(ctx context.Context) (*claim.View, uint64, error) {
	e, err := i.store.Get(ctx, platform.KeyView)
	if err != nil {
		return nil, 0, err
	}
	v, err := claim.DecodeView(e.Value)
	return v, e.Revision, err
}

// writeView stores a view if its predecessor is still the stored one, or if it is the first and none
// is stored. Otherwise it passes the stored view to the control loop.
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
	// The write may have succeeded nevertheless, or another instance was first.
	if cur, _, err := i.readView(ctx); err == nil {
		i.loop.Send(ctx, control.ViewRead{View: cur})
	}
}

func selfMember(s *control.Snapshot) claim.Member {
	return claim.Member{ID: s.Self.ID, Hall: s.Self.Hall, Addr: s.Self.Addr}
}

// viewMembers returns the members that the view should have, sorted by ID: all instances that are
// neither dead nor leaving. Suspect instances stay in the view.
func viewMembers(s *control.Snapshot) []claim.Member {
	var out []claim.Member
	if !s.Leaving {
		out = append(out, selfMember(s))
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

// writerRank returns the position of an instance in the order in which instances write a new view. All
// after the third share rank 3. An instance that is not among the members, since it is leaving,
// comes last.
func writerRank(members []claim.Member, id string) int {
	for i, m := range members {
		if m.ID == id {
			return min(i, 3)
		}
	}
	return 4
}
