package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/route"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const (
	listEvery    = time.Second
	reportEvery  = 150 * time.Millisecond
	viewEvery    = 300 * time.Millisecond
	viewSettle   = 1500 * time.Millisecond // how long a change of members must last
	viewReadGap  = 15 * time.Second        // between reads of the view that nothing asked for
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 3 * time.Second
)

// newBackoff returns the jittered backoff of calls to the platform, so that
// the fleet does not come back all at once after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = backoffFirst, backoffMost
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watchTable brings each revision of the table from the store.
func (i *Instance) watchTable(ctx context.Context) error {
	b := newBackoff()
	var after uint64
	for ctx.Err() == nil {
		e, err := i.store.Watch(ctx, platform.KeyTable, after)
		if errors.Is(err, kv.ErrNotFound) {
			sleep(ctx, backoffMost)
			continue
		}
		if err != nil {
			if ctx.Err() == nil && i.storeOK.CompareAndSwap(true, false) {
				i.event(event.StoreDown, zap.Error(err))
			}
			sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		if i.storeOK.CompareAndSwap(false, true) {
			i.event(event.StoreBack)
		}
		after = max(after, e.Revision)
		i.tableFrom(ctx, e)
	}
	return ctx.Err()
}

func (i *Instance) tableFrom(ctx context.Context, e kv.Entry) {
	doc, err := table.Decode(e.Value)
	if err != nil {
		i.opts.Log.Error("stored table", zap.Error(err))
		return
	}
	if v := i.loop.Snapshot().Table; v != nil && doc.Revision < v.Revision {
		i.event(event.TableStale, zap.Uint64("offered", doc.Revision), zap.Uint64("in_force", v.Revision))
		sleep(ctx, backoffFirst)
	}
	i.loop.Send(ctx, control.TableRead{Stored: table.Stored{Doc: doc, Revision: e.Revision}, From: "store"})
}

// readList reads the lagging list of instances.
func (i *Instance) readList(ctx context.Context) error {
	b := newBackoff()
	for ctx.Err() == nil {
		list, err := i.platform.Instances(ctx)
		if err != nil {
			sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		i.list.Store(&list)
		i.loop.Send(ctx, control.ListRead{Instances: list})
		sleep(ctx, listEvery)
	}
	return ctx.Err()
}

// watchNotices brings reclaim notices as they come.
func (i *Instance) watchNotices(ctx context.Context) error {
	b := newBackoff()
	after := 0
	for ctx.Err() == nil {
		n, err := i.platform.Notices(ctx, after)
		if err != nil {
			sleep(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		after = n.Next
		current := n.Notices[:0]
		for _, notice := range n.Notices {
			// A notice for an earlier life of this instance's name is not for it.
			if notice.ID != i.opts.Settings.Name || notice.Deadline.After(time.Now()) {
				current = append(current, notice)
			}
		}
		i.loop.Send(ctx, control.NoticesRead{Notices: current})
	}
	return ctx.Err()
}

// poll is the reading of one endpoint's reports.
type poll struct {
	since int // number of the next cache event
	busy  bool
}

// readReports asks each endpoint for its load and cache events.
//
// TODO: every instance asks every endpoint, which is right for today's fleet
// and not for 330 instances; docs/CAPACITY.md names what has to replace it.
func (i *Instance) readReports(ctx context.Context) error {
	var mu sync.Mutex
	polls := make(map[*route.Endpoint]*poll) // guarded by mu
	var wait sync.WaitGroup
	defer wait.Wait()
	for ctx.Err() == nil {
		s := i.loop.Snapshot()
		seen := make(map[*route.Endpoint]bool)
		for _, pool := range s.Models {
			for _, hall := range pool.Halls {
				for _, e := range hall.Endpoints {
					seen[e] = true
					mu.Lock()
					p := polls[e]
					if p == nil {
						p = &poll{}
						polls[e] = p
					}
					idle := !p.busy
					p.busy = true
					mu.Unlock()
					if !idle {
						continue
					}
					wait.Go(func() {
						i.readReport(ctx, e, p)
						mu.Lock()
						p.busy = false
						mu.Unlock()
					})
				}
			}
		}
		mu.Lock()
		for e := range polls {
			if !seen[e] {
				delete(polls, e)
			}
		}
		mu.Unlock()
		sleep(ctx, reportEvery*time.Duration(1+len(s.Members)/member.FullMesh))
	}
	return ctx.Err()
}

func (i *Instance) readReport(ctx context.Context, e *route.Endpoint, p *poll) {
	mark, at := e.Mark(), time.Now()
	rep, err := i.endpoints.Report(ctx, e.Addr, p.since)
	if err != nil {
		return // an old report makes the endpoint suspect
	}
	l := route.Load{At: at, Running: rep.Running, PerToken: time.Duration(rep.PerTokenUs) * time.Microsecond, Step: time.Duration(rep.StepUs) * time.Microsecond}
	copy(l.QueuedTokens[:], rep.QueuedTokens)
	e.Report(l, mark)
	for _, ev := range rep.Events {
		if ev.Evicted {
			e.Blocks.Remove(ev.Block)
		} else {
			e.Blocks.Add(ev.Block)
		}
	}
	p.since = rep.First + len(rep.Events)
}

// proposeViews keeps the agreed view in step with the instances that live. The
// first usable instance of the fleet proposes; the others wait longer, in case
// it fails to.
func (i *Instance) proposeViews(ctx context.Context) error {
	var want []claim.Member
	var since, readAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, viewEvery)
		now := time.Now()
		s := i.loop.Snapshot()
		if s.View == nil || now.Sub(readAt) > viewReadGap {
			readAt = now
			if v, err := i.readView(ctx); err == nil {
				i.loop.Send(ctx, control.ViewRead{View: v})
			} else if errors.Is(err, kv.ErrNotFound) && !s.Leaving {
				i.writeView(ctx, (&claim.View{}).Next([]claim.Member{self(s)}))
			}
			continue
		}
		now = time.Now()
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
		if !i.relay.KeeperReady() && now.Sub(since) < 2*viewSettle+turn {
			continue // one change at a time, while that is possible
		}
		i.writeView(ctx, s.View.Next(next))
		since = time.Now()
	}
	return ctx.Err()
}

func (i *Instance) readView(ctx context.Context) (*claim.View, error) {
	e, err := i.store.Get(ctx, platform.KeyView)
	if err != nil {
		return nil, err
	}
	return claim.DecodeView(e.Value)
}

// writeView writes a view if the one before it is still in the store.
func (i *Instance) writeView(ctx context.Context, v *claim.View) {
	var expect uint64
	if v.Epoch > 1 {
		e, err := i.store.Get(ctx, platform.KeyView)
		if err != nil {
			return
		}
		cur, err := claim.DecodeView(e.Value)
		if err != nil {
			return
		}
		if cur.Epoch != v.Epoch-1 {
			i.loop.Send(ctx, control.ViewRead{View: cur})
			return
		}
		expect = e.Revision
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
	if cur, err := i.readView(ctx); err == nil {
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
