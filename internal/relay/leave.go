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
	leavePollInterval     = 30 * time.Millisecond
	handoverShare         = 0.5                     // share of the notice period in which requests may still end here; after it they are handed over
	finalMessagesReserve  = 100 * time.Millisecond  // reserved at the end for the last messages
	claimsTimeout         = 6 * time.Second         // longest wait of a planned stop for the new replicas to collect the claims
	claimCollectTime      = 1200 * time.Millisecond // time that the replicas of a new view have to collect the claims kept here
	followersGracePeriod  = 500 * time.Millisecond  // lets callers that follow answers through this instance get their last chunks
	updatesTimeout        = 1500 * time.Millisecond // longest wait for the delivery of updates; meanwhile owners replace the second copies held here
	handoverRetryInterval = 150 * time.Millisecond  // between two rounds of handovers
	maxHandovers          = 32                      // handovers in flight at once
	handoverTimeout       = time.Second
)

// Leave drains this instance and returns the number of requests that it could neither finish nor
// hand over. It waits for running requests, hands the rest over to other instances, and waits until
// updates are delivered and the replicas of a new view have the claims kept here. by is the time at
// which the instance goes. It is zero for a planned stop, which waits up to the table's stop
// deadline for running requests.
func (r *Relay) Leave(ctx context.Context, by time.Time) int {
	r.draining.Store(true)
	start := r.Clock.Now()
	planned := by.IsZero()
	var handover time.Time
	if planned {
		handover = start.Add(r.stopDeadline())
		by = handover.Add(handoverTimeout + claimsTimeout)
	} else {
		handover = start.Add(time.Duration(float64(by.Sub(start)) * handoverShare))
	}
	limit := by.Add(-finalMessagesReserve)
	r.waitUntil(ctx, handover, r.ownsNoRecords)
	r.handOverAll(ctx, limit)
	r.waitUntil(ctx, earlier(limit, r.Clock.Now().Add(updatesTimeout)), r.updatesDelivered)
	if planned {
		limit = earlier(limit, r.Clock.Now().Add(claimsTimeout))
	}
	r.waitUntil(ctx, limit, r.claimsCollected)
	if planned {
		r.waitUntil(ctx, r.Clock.Now().Add(followersGracePeriod), func() bool { return false })
		limit = by.Add(-finalMessagesReserve)
	}
	// This instance may have taken over records of an instance that died meanwhile.
	r.handOverAll(ctx, limit)
	left := r.owned()
	for _, rec := range left {
		r.Log.Warn("request neither finished nor handed over", zap.String("request", rec.ID), zap.String("class", rec.Class), zap.Int("position", rec.Position()))
	}
	return len(left)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (r *Relay) ownsNoRecords() bool { return len(r.owned()) == 0 }

// handOverAll hands over the records that this instance owns, until it owns none or the limit has
// passed. It repeats the handovers, since a target may refuse or die. Records that cannot be
// handed over get the remaining time to end here.
func (r *Relay) handOverAll(ctx context.Context, limit time.Time) {
	for !r.Switches.NoHandover && !r.ownsNoRecords() && r.Clock.Now().Before(limit) && ctx.Err() == nil {
		r.handOverRound(ctx, limit)
		r.waitUntil(ctx, earlier(limit, r.Clock.Now().Add(handoverRetryInterval)), r.ownsNoRecords)
	}
	r.waitUntil(ctx, limit, r.ownsNoRecords)
}

func (r *Relay) stopDeadline() time.Duration {
	if s := r.snapshot(); s.Table != nil {
		return s.Table.System.StopDeadline
	}
	return 0
}

// owned returns the unfinished records that this instance runs.
func (r *Relay) owned() []*record.Record {
	return r.store.Filter(func(rec *record.Record) bool { return rec.Owner() == r.Self && !rec.Done() })
}

// updatesDelivered reports whether no record has updates that wait to be sent to the holder of its
// second copy. Calls in flight are not counted.
func (r *Relay) updatesDelivered() bool {
	r.runMu.Lock()
	defer r.runMu.Unlock()
	return len(r.updated) == 0
}

// claimsCollected reports whether a view without this instance is installed and its replicas have had
// time to collect the claims kept here, or no view is installed at all.
func (r *Relay) claimsCollected() bool {
	r.replicaMu.Lock()
	defer r.replicaMu.Unlock()
	v := r.replica.View()
	return v == nil || !v.Has(r.Self) && r.Clock.Since(r.installedAt) > claimCollectTime
}

func (r *Relay) waitUntil(ctx context.Context, limit time.Time, ok func() bool) {
	for !ok() && r.Clock.Now().Before(limit) && ctx.Err() == nil {
		select {
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
		}
	}
}

// handOverRound tries once to hand over each repeatable record that this instance owns, by priority and
// then by deadline.
func (r *Relay) handOverRound(ctx context.Context, by time.Time) {
	records := r.owned()
	slices.SortFunc(records, func(a, b *record.Record) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), a.Deadline.Compare(b.Deadline))
	})
	ctx, deadline := r.Clock.WithDeadline(ctx, by, context.DeadlineExceeded)
	defer deadline.Stop()
	slots := make(chan struct{}, maxHandovers)
	for _, rec := range records {
		if !rec.Repeatable {
			continue // its call may have been sent, so it cannot run elsewhere; its answer can only be awaited
		}
		slots <- struct{}{}
		r.wait.Go(func() {
			defer func() { <-slots }()
			r.handOverRecord(ctx, rec)
		})
	}
	for range maxHandovers {
		slots <- struct{}{}
	}
}

func (r *Relay) handOverRecord(ctx context.Context, rec *record.Record) {
	s := r.snapshot()
	targets := r.secondCopyCandidates(s, rec.ID)
	if m, ok := s.Member(rec.Holder()); ok && m.Usable() {
		targets = append(targets[:0:0], m)
		targets = append(targets, r.secondCopyCandidates(s, rec.ID)...)
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
