package rollctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Times of leading.
const (
	evaluateInterval  = 300 * time.Millisecond // as often as instances report
	evaluationsPerLog = 3                      // looks between two lines with the figures
)

// Known is what an instance knows of one service's roll-out.
type Known struct {
	Order    *rollout.Order  // newest, nil if none is known
	Record   *rollout.Record // newest, nil if there is none
	Revision store.Revision  // of the record in the store, 0 if there is none
	Lost     bool            // the store has no record, or an earlier one than this
	Settled  bool            // operators have written again what the store lost
	Targets  int             // endpoints of the target
	Others   int             // endpoints of other versions that may be used
}

// Host is the instance that leads.
type Host interface {
	// Acting returns a context that ends before this instance has to be silent; false
	// if it does not act for all.
	Acting(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool)
	Day(now time.Time) time.Time                                   // the time of day
	Rollouts() []Known                                             // of all services that have one
	Instances() int                                                // that run, this one included
	Fleet() Fleet                                                  // how counts come together here
	Open() map[string]int                                          // this instance's requests, by endpoint
	DutyKey() string                                               // of the holder in the store
	RecordKey(service string) string                               // where a record lasts
	Wrote(r rollout.Record, at store.Revision)                     // a record was written at a revision
	Status(r rollout.Record) (key string, value []byte, err error) // for the operators
	Event(c event.Code, fields ...zap.Field)
}

// Leader leads the roll-outs while its instance acts for all.
type Leader struct {
	Host    Host
	Control *Control
	Store   store.Writer

	token    duty.Token
	rollouts map[string]*ledRollout // by service
}

// ledRollout is what the leader keeps of one roll-out.
type ledRollout struct {
	order        store.Revision
	judge        *rollout.Judge
	drainedSince time.Time // since when nothing runs on the old version; zero if something does
	evaluations  int
	permitNumber int64 // number of the last permit
}

// Run leads until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	t := time.NewTicker(evaluateInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			l.evaluateAll(ctx)
		}
	}
}

// evaluateAll goes through the roll-outs once.
func (l *Leader) evaluateAll(ctx context.Context) {
	call, cancel, token, ok := l.Host.Acting(ctx)
	if !ok {
		return
	}
	defer cancel()
	if token != l.token {
		// What an earlier run of this instance found may not hold any more.
		l.token, l.rollouts = token, make(map[string]*ledRollout)
	}
	for _, k := range l.Host.Rollouts() {
		if err := l.advance(call, token, k, l.Control.clock.Now()); err != nil {
			l.Host.Event(event.RolloutNotWritten, zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		}
	}
}

// advance leads one roll-out on.
func (l *Leader) advance(ctx context.Context, token duty.Token, k Known, now time.Time) error {
	day := l.Host.Day(now)
	if k.Order != nil && (k.Record == nil || !k.Record.Covers(*k.Order)) {
		return l.write(ctx, token, k, rollout.Begin(*k.Order, k.Record, day), rollout.Verdict{})
	}
	if k.Record == nil {
		return nil
	}
	if r, again := recordToRewrite(k); again {
		return l.write(ctx, token, k, r, rollout.Verdict{})
	}
	if k.Record.Phase.Final() {
		return nil
	}
	r := *k.Record
	s := l.rolloutFor(r)
	standing := l.observe(s, r, k, now)
	s.evaluations++
	if s.evaluations%evaluationsPerLog == 0 {
		l.logDecision(event.RolloutLooked, r, standing.Verdict, zap.Int64("open_on_old", int64(standing.OpenOnReplaced)), zap.Bool("following", standing.AllFollow))
	}
	next, changed := rollout.Next(r, standing)
	if !changed {
		l.renewPermit(s, r, now)
		return nil
	}
	return l.write(ctx, token, k, next, standing.Verdict)
}

// recordToRewrite returns the record to write after a restore of the store, and whether it has to be: the
// store lost it, or a roll-out that is over goes by an order's revision of an earlier era, from
// which a later order for the same target could not be distinguished.
func recordToRewrite(k Known) (rollout.Record, bool) {
	r := *k.Record
	if k.Settled && k.Order != nil && r.Phase.Final() && r.Order < k.Order.Revision {
		r.Order = k.Order.Revision
		return r, true
	}
	return r, k.Lost
}

// rolloutFor returns what is kept rolloutFor a roll-out.
func (l *Leader) rolloutFor(r rollout.Record) *ledRollout {
	s := l.rollouts[r.Service]
	if s == nil || s.order != r.Order {
		s = &ledRollout{order: r.Order, judge: rollout.NewJudge()}
		l.rollouts[r.Service] = s
	}
	return s
}

// renewPermit lets a trial go on for a while.
func (l *Leader) renewPermit(s *ledRollout, r rollout.Record, now time.Time) {
	if r.Phase != rollout.Trial {
		return
	}
	s.permitNumber = max(s.permitNumber+1, now.UnixNano())
	l.Control.Permitted(Permit{Service: r.Service, Order: r.Order, Number: s.permitNumber}, now)
}

// observe sums what the instances report.
func (l *Leader) observe(s *ledRollout, r rollout.Record, k Known, now time.Time) rollout.Observation {
	if r.Phase == rollout.Shift {
		s.judge.FreezeBaseline()
	}
	out := rollout.Observation{
		Now: l.Host.Day(now), Targets: k.Targets, Others: k.Others,
		Verdict: s.judge.Evaluate(l.Control.TotalCounts(l.Host.Fleet(), r.Service, r.Order)),
	}
	following := int64(0)
	for _, state := range l.Control.AllStates(l.Control.States(l.Host.Open()), now) {
		if state.Service != r.Service {
			continue
		}
		out.OpenOnReplaced += int(state.Open)
		if state.Order == r.Order && state.Phase == r.Phase {
			following += state.Instances
		}
	}
	out.AllFollow = following >= int64(l.Host.Instances())
	if out.OpenOnReplaced > 0 || r.Phase != rollout.Shift {
		s.drainedSince = time.Time{}
		return out
	}
	if s.drainedSince.IsZero() {
		s.drainedSince = now
	}
	out.DrainedFor = now.Sub(s.drainedSince)
	return out
}

// write puts a record in the store, with its status for the operators, if this instance
// still holds the duty and nobody else wrote meanwhile.
func (l *Leader) write(ctx context.Context, token duty.Token, k Known, r rollout.Record, v rollout.Verdict) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the roll-out of %s: %w", r.Service, err)
	}
	status, told, err := l.Host.Status(r)
	if err != nil {
		return fmt.Errorf("encode the status of %s: %w", r.Service, err)
	}
	key := l.Host.RecordKey(r.Service)
	at, err := l.Store.Do(ctx, store.Txn{
		Expect: []store.Expect{{Key: key, Revision: k.Revision}, {Key: l.Host.DutyKey(), Revision: token.Fence}},
		Put:    []store.Put{{Key: key, Value: value}, {Key: status, Value: told}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // another holder wrote, or an answer was lost: the watch brings what is there
	}
	if err != nil {
		return fmt.Errorf("write the roll-out of %s: %w", r.Service, err)
	}
	l.logDecision(event.RolloutLed, r, v, zap.Inline(at), zap.Int64("fence", int64(token.Fence)))
	l.Host.Wrote(r, at)
	return nil
}

func (l *Leader) logDecision(c event.Code, r rollout.Record, v rollout.Verdict, more ...zap.Field) {
	l.Host.Event(c, append([]zap.Field{
		zap.String("service", r.Service), zap.Int64("order", int64(r.Order)), zap.String("target", r.Target), zap.String("phase", string(r.Phase)),
		zap.String("why", r.Why), zap.Int64("seen", v.Started), zap.Int64("ended", v.Ended), zap.Int64("failed", v.Failures),
		zap.Float64("evidence", v.Evidence), zap.String("sign", v.Indicator), zap.Time("deadline", r.Deadline),
	}, more...)...)
}
