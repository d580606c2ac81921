package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
)

const (
	leavePoll       = 30 * time.Millisecond
	handoverShare   = 0.5                     // share of a notice after which records are handed over
	handoverSend    = 100 * time.Millisecond  // kept for the last messages
	claimsWait      = 6 * time.Second         // most that a planned stop waits for its claims to be collected
	collectWait     = 1200 * time.Millisecond // for the keepers of a new view to collect the claims kept here
	followersWait   = 500 * time.Millisecond  // for callers that follow through this instance
	heldWait        = 1500 * time.Millisecond // for owners to place second copies elsewhere
	handoverAgain   = 150 * time.Millisecond
	handoverAtOnce  = 32 // handovers in flight
	handoverTimeout = time.Second
)

// Leave gives away all that this instance holds and returns the number of
// requests that it could not give away. by is when the instance goes; for a
// planned stop it is zero and the table's stop deadline counts.
func (r *Relay) Leave(ctx context.Context, by time.Time) int {
	r.draining.Store(true)
	start := r.Clock.Now()
	planned := by.IsZero()
	var handover time.Time
	if planned {
		handover = start.Add(r.stopDeadline())
		by = handover.Add(handoverTimeout + claimsWait)
	} else {
		handover = start.Add(time.Duration(float64(by.Sub(start)) * handoverShare))
	}
	limit := by.Add(-handoverSend)
	r.waitUntil(ctx, handover, r.ownsNothing)
	r.giveAway(ctx, limit)
	r.waitUntil(ctx, earlier(limit, r.Clock.Now().Add(heldWait)), r.updatesDelivered)
	if planned {
		limit = earlier(limit, r.Clock.Now().Add(claimsWait))
	}
	r.waitUntil(ctx, limit, r.replaced)
	if planned {
		r.waitUntil(ctx, r.Clock.Now().Add(followersWait), func() bool { return false })
		limit = by.Add(-handoverSend)
	}
	// The death of another instance may have made this one the owner of its
	// records meanwhile.
	r.giveAway(ctx, limit)
	left := r.owned()
	for _, rec := range left {
		r.Log.Warn("left behind", zap.String("request", rec.ID), zap.String("class", rec.Class), zap.Int("position", rec.Position()))
	}
	return len(left)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Relay) ownsNothing() bool { return len(r.owned()) == 0 }

// giveAway hands over what runs here, again and again, since a target may
// refuse or die, until nothing is left or the limit comes.
func (r *Relay) giveAway(ctx context.Context, limit time.Time) {
	for !r.Switches.NoHandover && !r.ownsNothing() && r.Clock.Now().Before(limit) && ctx.Err() == nil {
		r.handOver(ctx, limit)
		r.waitUntil(ctx, earlier(limit, r.Clock.Now().Add(handoverAgain)), r.ownsNothing)
	}
	r.waitUntil(ctx, limit, r.ownsNothing)
}

func (r *Relay) stopDeadline() time.Duration {
	if s := r.snap(); s.Table != nil {
		return s.Table.System.StopDeadline
	}
	return 0
}

// owned returns the unfinished records that this instance runs.
func (r *Relay) owned() []*record.Record {
	return r.store.All(func(rec *record.Record) bool { return rec.Owner() == r.Self && !rec.Done() })
}

// updatesDelivered reports whether all holders know all there is to know, and all
// results of requests that may not be repeated are with their keepers.
func (r *Relay) updatesDelivered() bool {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	return len(r.updated) == 0
}

// replaced reports whether a view without this instance is in force and its
// keepers have had time to collect the claims kept here.
func (r *Relay) replaced() bool {
	r.keeperMu.Lock()
	defer r.keeperMu.Unlock()
	v := r.keeper.View()
	return v == nil || !v.Has(r.Self) && r.Clock.Since(r.installedAt) > collectWait
}

func (r *Relay) waitUntil(ctx context.Context, limit time.Time, ok func() bool) {
	for !ok() && r.Clock.Now().Before(limit) && ctx.Err() == nil {
		select {
		case <-time.After(leavePoll):
		case <-ctx.Done():
		}
	}
}

// handOver gives the running records to other owners, the most urgent first.
func (r *Relay) handOver(ctx context.Context, by time.Time) {
	records := r.owned()
	slices.SortFunc(records, func(a, b *record.Record) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.Deadline.Compare(b.Deadline))
	})
	ctx, deadline := r.Clock.WithDeadline(ctx, by, context.DeadlineExceeded)
	defer deadline.Stop()
	slots := make(chan struct{}, handoverAtOnce)
	for _, rec := range records {
		if !rec.Repeatable {
			continue // its call is on its way; only its answer can be waited for
		}
		slots <- struct{}{}
		r.wait.Go(func() {
			defer func() { <-slots }()
			r.handOverOne(ctx, rec)
		})
	}
	for range handoverAtOnce {
		slots <- struct{}{}
	}
}

func (r *Relay) handOverOne(ctx context.Context, rec *record.Record) {
	s := r.snap()
	targets := r.seconds(s, rec.ID)
	if m, ok := s.Member(rec.Holder()); ok && m.Usable() {
		targets = append(targets[:0:0], m)
		targets = append(targets, r.seconds(s, rec.ID)...)
	}
	for _, m := range targets {
		call := &peerpb.Call{Body: &peerpb.Call_Handover{Handover: &peerpb.Handover{Record: peer.ToRecord(rec)}}}
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		_, err := r.Peers.Call(ctx, m.Addr, call)
		cancel()
		if err != nil {
			continue
		}
		rec.SetOwner(m.ID)
		r.cancelRun(rec.ID, errHandedOver)
		return
	}
}

func (r *Relay) cancelRun(id string, cause error) {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	if a, ok := r.runs[id]; ok {
		a.cancel(cause)
	}
}
