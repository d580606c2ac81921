package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// usageReporter reports, while its instance acts for all, how many requests began to run in
// each window. The counts of a window are settled in the store first, so that whoever acts next
// reports exactly the same. It belongs to one goroutine.
type usageReporter struct {
	*Instance
	holder  duty.Token
	next    int64                  // window to report
	settled map[int64]usage.Counts // that may have been reported
	era     int64                  // of the store
	eraAt   time.Time              // when that was first seen by any instance, of the day; zero for the first era
	entered bool                   // eraAt is known, and what is settled is in the store
}

// reportUsage runs the reporter until ctx ends.
func (n *Instance) reportUsage(ctx context.Context) error {
	r := &usageReporter{Instance: n, settled: make(map[int64]usage.Counts), next: n.usageWindow(), entered: true}
	for n.Clock.Sleep(ctx, usageLook) {
		r.look(ctx)
	}
	return ctx.Err()
}

// usageWindow returns the window that is open now.
func (n *Instance) usageWindow() int64 {
	return usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow())
}

// look reports the next window if it is due.
func (r *usageReporter) look(ctx context.Context) {
	current, behind := r.usageWindow(), r.usageBehind()
	maps.DeleteFunc(r.settled, func(w int64, _ usage.Counts) bool { return w < current-2*behind })
	now := r.Clock.Now()
	if era := r.Store.Era(); era != r.era {
		r.era, r.eraAt, r.entered = era, r.walltime.At(now), false
	}
	if !r.entered {
		if r.enter(ctx) != nil {
			return
		}
		r.entered = true
	}
	token, _, ok := r.elector.Token(now)
	if !ok || r.view.Load().Config == nil {
		return
	}
	if token != r.holder {
		if !r.recallUsage(ctx) {
			return
		}
		r.holder, r.next = token, current-behind
	}
	if r.next < current-behind {
		r.event(event.UsageMissed, zap.Int64("window", r.next))
		r.next = current - behind
	}
	if !r.walltime.At(now).Before(r.due(r.next)) && r.report(ctx, r.next) {
		r.next++
	}
}

// due returns when a window may be settled, of the day.
func (r *usageReporter) due(window int64) time.Time {
	return usage.End(window, r.Settings.Bounds.UsageWindow()).Add(usageSettles + r.propagation())
}

// eraMark is kept in the store: when an era was first seen.
type eraMark struct {
	Era int64
	At  time.Time // of the day
}

// enter writes the settled counts again in a new era of the store, whoever acts now, and finds
// out when the era began at the latest.
func (r *usageReporter) enter(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := r.mark(call); err != nil {
		return err
	}
	for window, counts := range r.settled {
		value, err := json.Marshal(counts)
		if err != nil {
			return fmt.Errorf("encode counts: %w", err)
		}
		key := r.usageKey(window)
		_, err = r.Store.Do(call, store.Txn{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: value}}})
		if err != nil && !errors.Is(err, store.ErrConflict) { // what is there is the same
			return fmt.Errorf("write counts again: %w", err)
		}
	}
	return nil
}

// mark reads when the era was first seen, or writes it.
func (r *usageReporter) mark(ctx context.Context) error {
	key := r.Decoder.OwnPrefix() + keyEra
	item, _, err := r.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var known eraMark
	if err == nil && json.Unmarshal(item.Value, &known) == nil && known.Era == r.era {
		r.eraAt = known.At
		r.state.send(eraMarked{r.era, r.eraAt})
		return nil
	}
	value, err := json.Marshal(eraMark{r.era, r.eraAt})
	if err != nil {
		return fmt.Errorf("encode the era: %w", err)
	}
	_, err = r.Store.Do(ctx, store.Txn{Put: []store.Put{{Key: key, Value: value}}})
	return err
}

// report reports one window, and says whether it is done with.
func (r *usageReporter) report(ctx context.Context, window int64) bool {
	call, cancel, token, ok := r.acting(ctx)
	if !ok {
		return false
	}
	defer cancel()
	counts, err := r.settle(call, token, window)
	if errors.Is(err, errUsageLost) {
		r.event(event.UsageMissed, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		return true
	}
	if err != nil {
		return false
	}
	if len(counts) == 0 {
		return true
	}
	if err := r.Cloud.ReportUsage(call, token, window, counts); err != nil {
		r.event(event.UsageMissed, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		return false
	}
	r.event(event.UsageReported, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Any("counts", counts))
	return true
}

// errUsageLost says that the counts of a window may have been reported, and are not known.
var errUsageLost = errors.New("the store lost the counts of a window that may have been reported")

// settle returns the counts of a window as an earlier holder settled them, or writes them to
// the store. Those of a window that an earlier holder may have settled before the store was
// restored are not counted anew.
func (r *usageReporter) settle(ctx context.Context, token duty.Token, window int64) (usage.Counts, error) {
	if counts, ok := r.settled[window]; ok {
		return counts, nil
	}
	if !r.eraAt.IsZero() && !r.due(window).After(r.eraAt) {
		item, _, err := r.Store.Get(ctx, r.usageKey(window))
		if errors.Is(err, store.ErrNotFound) {
			return nil, errUsageLost
		}
		if err != nil {
			return nil, err
		}
		return r.keep(window, item.Value)
	}
	var accounts []string
	for _, c := range r.view.Load().Config.Accounts {
		accounts = append(accounts, c.Name)
	}
	counts := r.admission.sum(window, accounts)
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, fmt.Errorf("encode counts: %w", err)
	}
	key := r.usageKey(window)
	_, err = r.Store.Do(ctx, store.Txn{
		Expect: []store.Expect{{Key: key}, {Key: r.elector.Key, Revision: token.Fence}},
		Put:    []store.Put{{Key: key, Value: value}},
		Drop:   []string{r.usageKey(window - 2*r.usageBehind())},
	})
	if err == nil {
		r.settled[window] = counts
		return counts, nil
	}
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return nil, err // it may have been written: the next look finds it
	}
	for _, item := range conflict.Items {
		if item.Key == key && item.Revision != 0 {
			return r.keep(window, item.Value)
		}
	}
	return nil, err
}

// keep decodes counts that are in the store, and remembers them.
func (r *usageReporter) keep(window int64, value []byte) (usage.Counts, error) {
	var counts usage.Counts
	if err := json.Unmarshal(value, &counts); err != nil {
		return nil, fmt.Errorf("decode counts: %w", err)
	}
	r.settled[window] = counts
	return counts, nil
}
