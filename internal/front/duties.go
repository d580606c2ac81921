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
	usageSettles = 700 * time.Millisecond // after the end of a window and an exchange, until all counts are here
	usageLook    = 300 * time.Millisecond
	orderTimeout = time.Second
	leastForCall = 150 * time.Millisecond // with less time left as holder no call is made
)

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
