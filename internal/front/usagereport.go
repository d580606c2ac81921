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

// usageReporter reports to the platform, while its instance is the leader, how many requests
// began to run in each window. The counts of a window are first settled: written to the store
// once, so that a later leader reports exactly the same. It belongs to one goroutine.
type usageReporter struct {
	*Instance
	lastToken  duty.Token             // of the term that nextWindow belongs to
	nextWindow int64                  // next window to report
	settled    map[int64]usage.Counts // by window; may already have been reported
	era        int64                  // of the store; increases with each restore from a backup
	eraAt      time.Time              // time of day at which any instance first saw the era; zero for the first era
	eraEntered bool                   // eraAt is known, and the settled counts were rewritten in this era
}

// reportUsage runs the reporter until ctx ends.
func (n *Instance) reportUsage(ctx context.Context) error {
	r := &usageReporter{Instance: n, settled: make(map[int64]usage.Counts), nextWindow: n.usageWindow(), eraEntered: true}
	for n.Clock.Sleep(ctx, usagePollInterval) {
		r.poll(ctx)
	}
	return ctx.Err()
}

// usageWindow returns the number of the current window.
func (n *Instance) usageWindow() int64 {
	return usage.WindowOf(n.walltime.At(n.Clock.Now()), n.Settings.Bounds.UsageWindow())
}

// poll enters a new era of the store if there is one, and reports the next window if it is due.
func (r *usageReporter) poll(ctx context.Context) {
	current, behind := r.usageWindow(), r.usageCatchUpWindows()
	maps.DeleteFunc(r.settled, func(w int64, _ usage.Counts) bool { return w < current-2*behind })
	now := r.Clock.Now()
	if era := r.Store.Era(); era != r.era {
		r.era, r.eraAt, r.eraEntered = era, r.walltime.At(now), false
	}
	if !r.eraEntered {
		if r.enterEra(ctx) != nil {
			return
		}
		r.eraEntered = true
	}
	token, _, ok := r.elector.Token(now)
	if !ok || r.view.Load().Config == nil {
		return
	}
	if token != r.lastToken {
		if !r.restoreOpenUsage(ctx) {
			return
		}
		r.lastToken, r.nextWindow = token, current-behind
	}
	if r.nextWindow < current-behind {
		r.event(event.UsageReportFailed, zap.Int64("window", r.nextWindow))
		r.nextWindow = current - behind
	}
	if !r.walltime.At(now).Before(r.dueAt(r.nextWindow)) && r.report(ctx, r.nextWindow) {
		r.nextWindow++
	}
}

// dueAt returns the time of day from which a window may be settled.
func (r *usageReporter) dueAt(window int64) time.Time {
	return usage.WindowEnd(window, r.Settings.Bounds.UsageWindow()).Add(usageSettleDelay + r.propagation())
}

// eraRecord is stored under keyEra: when an era was first seen.
type eraRecord struct {
	Era int64
	At  time.Time // time of day
}

// enterEra rewrites the settled counts to the store after a restore, which may have lost
// them, and records when the new era was first seen. All instances do so, not only the
// leader.
func (r *usageReporter) enterEra(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	if err := r.recordEra(call); err != nil {
		return err
	}
	for window, counts := range r.settled {
		value, err := json.Marshal(counts)
		if err != nil {
			return fmt.Errorf("encode usage counts: %w", err)
		}
		key := r.usageKey(window)
		_, err = r.Store.Do(call, store.Txn{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: value}}})
		if err != nil && !errors.Is(err, store.ErrConflict) { // already there, with the same counts
			return fmt.Errorf("rewrite settled usage counts: %w", err)
		}
	}
	return nil
}

// recordEra reads from the store when the era was first seen, or writes it if no instance has
// done so yet.
func (r *usageReporter) recordEra(ctx context.Context) error {
	key := r.Decoder.OwnPrefix() + keyEra
	item, _, err := r.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var known eraRecord
	if err == nil && json.Unmarshal(item.Value, &known) == nil && known.Era == r.era {
		r.eraAt = known.At
		r.state.send(eraFirstSeen{r.era, r.eraAt})
		return nil
	}
	value, err := json.Marshal(eraRecord{r.era, r.eraAt})
	if err != nil {
		return fmt.Errorf("encode store era: %w", err)
	}
	_, err = r.Store.Do(ctx, store.Txn{Put: []store.Put{{Key: key, Value: value}}})
	return err
}

// report reports one window, and returns whether the window is finished.
func (r *usageReporter) report(ctx context.Context, window int64) bool {
	call, cancel, token, ok := r.leaderContext(ctx)
	if !ok {
		return false
	}
	defer cancel()
	counts, err := r.settle(call, token, window)
	if errors.Is(err, errUsageLost) {
		r.event(event.UsageReportFailed, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		return true
	}
	if err != nil {
		return false
	}
	if len(counts) == 0 {
		return true
	}
	if err := r.Cloud.ReportUsage(call, token, window, counts); err != nil {
		r.event(event.UsageReportFailed, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		return false
	}
	r.event(event.UsageReported, zap.Int64("window", window), zap.Int64("fence", int64(token.Fence)), zap.Any("counts", counts))
	return true
}

// errUsageLost is returned for a window whose settled counts a restore of the store lost.
// They may have been reported already, so that counting anew could report other figures.
var errUsageLost = errors.New("settled usage counts lost in a store restore; the window may have been reported already")

// settle returns the counts of a window as an earlier leader settled them; if there are none,
// it counts and writes them to the store. A window that may have been settled before the
// store was restored is not counted anew.
func (r *usageReporter) settle(ctx context.Context, token duty.Token, window int64) (usage.Counts, error) {
	if counts, ok := r.settled[window]; ok {
		return counts, nil
	}
	if !r.eraAt.IsZero() && !r.dueAt(window).After(r.eraAt) {
		item, _, err := r.Store.Get(ctx, r.usageKey(window))
		if errors.Is(err, store.ErrNotFound) {
			return nil, errUsageLost
		}
		if err != nil {
			return nil, err
		}
		return r.cacheSettled(window, item.Value)
	}
	var accounts []string
	for _, c := range r.view.Load().Config.Accounts {
		accounts = append(accounts, c.Name)
	}
	counts := r.admission.sum(window, accounts)
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, fmt.Errorf("encode usage counts: %w", err)
	}
	key := r.usageKey(window)
	_, err = r.Store.Do(ctx, store.Txn{
		Expect: []store.Expect{{Key: key}, {Key: r.elector.Key, Revision: token.Fence}},
		Put:    []store.Put{{Key: key, Value: value}},
		Delete: []string{r.usageKey(window - 2*r.usageCatchUpWindows())},
	})
	if err == nil {
		r.settled[window] = counts
		return counts, nil
	}
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return nil, err // it may have been written: the next poll finds out
	}
	for _, item := range conflict.Items {
		if item.Key == key && item.Revision != 0 {
			return r.cacheSettled(window, item.Value)
		}
	}
	return nil, err
}

// cacheSettled decodes settled counts read from the store, and adds them to r.settled.
func (r *usageReporter) cacheSettled(window int64, value []byte) (usage.Counts, error) {
	var counts usage.Counts
	if err := json.Unmarshal(value, &counts); err != nil {
		return nil, fmt.Errorf("decode usage counts: %w", err)
	}
	r.settled[window] = counts
	return counts, nil
}
