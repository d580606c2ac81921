package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

const (
	listInterval = time.Second
	backoffMin   = 100 * time.Millisecond
	backoffMax   = 3 * time.Second
)

// newBackoff returns the backoff for calls to the platform. It is jittered, so that the instances
// do not all call at once after an outage.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = backoffMin, backoffMax
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watchTable passes each new revision of the table in the store to the control loop, until ctx ends.
// It logs when the store becomes unavailable and when it is back.
func (i *Instance) watchTable(ctx context.Context) error {
	b := newBackoff()
	var after uint64
	for ctx.Err() == nil {
		e, err := i.store.Watch(ctx, platform.KeyTable, after)
		if errors.Is(err, kv.ErrNotFound) {
			sleep(ctx, backoffMax)
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
			i.event(event.StoreRecovered)
		}
		after = max(after, e.Revision)
		i.applyTable(ctx, e)
	}
	return ctx.Err()
}

func (i *Instance) applyTable(ctx context.Context, e kv.Entry) {
	doc, err := table.Decode(e.Value)
	if err != nil {
		i.opts.Log.Error("cannot decode the stored table", zap.Error(err))
		return
	}
	if v := i.loop.Snapshot().Table; v != nil && doc.Revision < v.Revision {
		i.event(event.TableStale, zap.Uint64("offered", doc.Revision), zap.Uint64("in_force", v.Revision))
		sleep(ctx, backoffMin)
	}
	i.loop.Send(ctx, control.TableRead{Stored: table.Stored{Doc: doc, Revision: e.Revision}, From: "store"})
}

// readList polls the platform's instance list, which may lag behind, until ctx ends.
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
		i.loop.Send(ctx, control.InstanceListRead{Instances: list})
		sleep(ctx, listInterval)
	}
	return ctx.Err()
}

// watchNotices passes the platform's reclaim notices to the control loop as they arrive, until ctx
// ends.
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
			// A notice for this instance's name whose deadline has passed was for an earlier incarnation.
			if notice.ID != i.opts.Settings.Name || notice.Deadline.After(i.opts.Clock.Now()) {
				current = append(current, notice)
			}
		}
		i.loop.Send(ctx, control.NoticesRead{Notices: current})
	}
	return ctx.Err()
}
