package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// Times of usage reports.
const (
	usageSettles = 700 * time.Millisecond // after the end of a window and an exchange, until all counts are here
	usageLook    = 300 * time.Millisecond
	orderTimeout = time.Second
	leastForCall = 150 * time.Millisecond // with less time left as holder no call is made
)

// reportUsage tells the platform, while this node acts for all, how many
// requests began to run in each window. What is told is written to the store
// first, so that whoever acts next tells exactly the same.
func (n *Instance) reportUsage(ctx context.Context) error {
	window := n.Settings.Bounds.UsageWindow()
	behind := n.usageBehind()
	next := usage.WindowOf(n.walltime.At(n.Clock.Now()), window)
	var holder duty.Token
	for n.Clock.Sleep(ctx, usageLook) {
		now := n.Clock.Now()
		token, _, ok := n.elector.Token(now)
		current := usage.WindowOf(n.walltime.At(now), window)
		if !ok || n.view.Load().Config == nil {
			continue
		}
		if token != holder {
			if !n.recallUsage(ctx) {
				continue
			}
			holder, next = token, current-behind
		}
		if next < current-behind {
			n.event(event.UsageMissed, zap.Int64("window", next))
			next = current - behind
		}
		due := usage.End(next, window).Add(usageSettles + n.propagation())
		if n.walltime.At(now).Before(due) {
			continue
		}
		if n.reportWindow(ctx, next) {
			next++
		}
	}
	return ctx.Err()
}

// usageBehind is how many windows a new holder catches up with: those whose
// reports are not late yet.
func (n *Instance) usageBehind() int64 {
	b := n.Settings.Bounds
	return int64(b.UsageLate()/b.UsageWindow()) + 1
}

// errSilent ends a call that this node may not make any more, or that takes too long.
var errSilent = errors.New("the time to act for all is over")

// acting returns a context that ends before this node has to be silent.
func (n *Instance) acting(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool) {
	token, until, ok := n.elector.Token(n.Clock.Now())
	if !ok || n.Clock.Until(until) < leastForCall {
		return nil, nil, token, false
	}
	end := n.Clock.Now().Add(orderTimeout)
	if until.Before(end) {
		end = until
	}
	call, deadline := n.Clock.WithDeadline(ctx, end, errSilent)
	return call, deadline.Stop, token, true
}

// reportWindow reports one window, and says whether it is done with.
func (n *Instance) reportWindow(ctx context.Context, window int64) bool {
	call, cancel, token, ok := n.acting(ctx)
	if !ok {
		return false
	}
	defer cancel()
	counts, err := n.settleCounts(call, token, window)
	if err != nil {
		return false
	}
	if len(counts) == 0 {
		return true
	}
	if err := n.Cloud.ReportUsage(call, token, window, counts); err != nil {
		n.event(event.UsageMissed, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		return false
	}
	n.event(event.UsageReported, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Any("counts", counts))
	return true
}

// settleCounts writes the counts of a window to the store, or reads those that
// an earlier holder wrote.
func (n *Instance) settleCounts(ctx context.Context, token duty.Token, window int64) (usage.Counts, error) {
	var accounts []string
	for _, c := range n.view.Load().Config.Accounts {
		accounts = append(accounts, c.Name)
	}
	counts := n.admission.sum(window, accounts)
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	key := n.usageKey(window)
	_, err = n.Store.Do(ctx, store.Txn{
		Expect: []store.Expect{{Key: key}, {Key: n.elector.Key, Revision: token.Fence}},
		Put:    []store.Put{{Key: key, Value: value}},
		Drop:   []string{n.usageKey(window - 2*n.usageBehind())},
	})
	if err == nil {
		return counts, nil
	}
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return nil, err // it may have been written: the next look finds it
	}
	for _, item := range conflict.Items {
		if item.Key != key || item.Revision == 0 {
			continue
		}
		var written usage.Counts
		if err := json.Unmarshal(item.Value, &written); err != nil {
			return nil, fmt.Errorf("decode counts: %w", err)
		}
		return written, nil
	}
	return nil, err
}

func (n *Instance) usageKey(window int64) string {
	return n.Decoder.OwnPrefix() + keyUsage + strconv.FormatInt(window, 10)
}

// openEvery is how often the counts of open windows are kept in the store.
const openEvery = time.Second

// keepOpenUsage keeps, while this node acts for all, the counts of the windows
// that are not reported yet in the store: all nodes may die at once.
func (n *Instance) keepOpenUsage(ctx context.Context) error {
	var last []byte
	for n.Clock.Sleep(ctx, openEvery) {
		call, cancel, token, ok := n.acting(ctx)
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

// recallUsage takes what an earlier holder kept, and says whether it knows.
func (n *Instance) recallUsage(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
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
		return true // nothing to be had from it
	}
	n.admission.recall(records)
	return true
}
