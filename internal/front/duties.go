package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// Times of usage reports.
const (
	usageSettleDelay  = 700 * time.Millisecond // beyond the end of a window and the propagation time, until all counts have arrived
	usagePollInterval = 300 * time.Millisecond
	leaderCallTimeout = time.Second
	minLeaseForCall   = 150 * time.Millisecond // with less time left in the leader lease no call is started
)

// usageCatchUpWindows returns how many past windows a new leader reports: those whose
// reports are not late yet.
func (n *Instance) usageCatchUpWindows() int64 {
	b := n.Settings.Bounds
	return int64(b.UsageLate()/b.UsageWindow()) + 1
}

// errLeaseEnding is the cause for cancelling a call that takes too long or would outlast the
// leader lease.
var errLeaseEnding = errors.New("call timed out, or leader lease is ending")

// leaderContext returns a context for a call that only the leader may make, with the fencing
// token. The context ends after leaderCallTimeout, and before the lease does. It returns
// false if this instance is not the leader or its lease is about to end.
func (n *Instance) leaderContext(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool) {
	token, until, ok := n.elector.Token(n.Clock.Now())
	if !ok || n.Clock.Until(until) < minLeaseForCall {
		return nil, nil, token, false
	}
	end := n.Clock.Now().Add(leaderCallTimeout)
	if until.Before(end) {
		end = until
	}
	call, deadline := n.Clock.WithDeadline(ctx, end, errLeaseEnding)
	return call, deadline.Stop, token, true
}

// usageKey returns the store key of the settled counts of a window.
func (n *Instance) usageKey(window int64) string {
	return n.Decoder.OwnPrefix() + keyUsage + strconv.FormatInt(window, 10)
}

// openUsageInterval is how often the counts of open windows are saved to the store.
const openUsageInterval = time.Second

// saveOpenUsage saves the counts of the windows that are not reported yet to the store,
// while this instance is the leader, so that they survive if all instances die at once.
func (n *Instance) saveOpenUsage(ctx context.Context) error {
	var last []byte
	for n.Clock.Sleep(ctx, openUsageInterval) {
		call, cancel, token, ok := n.leaderContext(ctx)
		if !ok {
			continue
		}
		current := usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow())
		value, err := json.Marshal(n.admission.records(current - 1))
		if err == nil && !bytes.Equal(value, last) {
			_, err = n.Store.Do(call, store.Txn{
				Expect: []store.Expect{{Key: n.elector.Key, Revision: token.Fence}},
				Put:    []store.Put{{Key: n.Decoder.OwnPrefix() + keyOpen, Value: value}},
			})
			if err == nil {
				last = value
			}
		}
		cancel()
	}
	return ctx.Err()
}

// restoreOpenUsage merges the counts that an earlier leader saved. It returns false if the
// store could not be read.
func (n *Instance) restoreOpenUsage(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	item, _, err := n.Store.Get(call, n.Decoder.OwnPrefix()+keyOpen)
	if errors.Is(err, store.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	var records []usage.Record
	if err := json.Unmarshal(item.Value, &records); err != nil {
		return true // unreadable: go on without it
	}
	n.admission.restore(records)
	return true
}
