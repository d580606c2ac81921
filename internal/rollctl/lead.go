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

// Timing of the leader.
const (
	evaluateInterval  = 300 * time.Millisecond // the interval at which instances report
	evaluationsPerLog = 3                      // evaluations of a roll-out for each line in the log
)

// ServiceRollout is what an instance knows of one service's roll-out.
type ServiceRollout struct {
	Order    *rollout.Order  // newest, nil if none is known
	Record   *rollout.Record // newest, nil if none is known
	Revision store.Revision  // of the record in the store, 0 if the store has none
	Lost     bool            // the store lost Record in a restore: it has none, or an earlier one
	Settled  bool            // no restore of the store is so recent that operators may still be rewriting what it lost
	Targets  int             // number of endpoints of the target
	Others   int             // number of endpoints of other versions that may be used
}

// Host is the instance that a Leader belongs to.
type Host interface {
	// Acting returns a context that ends before this instance must stop acting as the leader,
	// and its token. The last result is false if it is not the leader.
	Acting(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool)
	WallTime(now time.Time) time.Time                              // the wall-clock time at now
	Rollouts() []ServiceRollout                                    // of all services that have one
	Instances() int                                                // number of running instances, including this one
	Aggregation() Aggregation                                      // how the counts of all instances are summed here
	OpenRequests() map[string]int                                  // number of this instance's open requests, by endpoint
	DutyKey() string                                               // key of the leader in the store
	RecordKey(service string) string                               // key of a service's record in the store
	RecordWritten(r rollout.Record, at store.Revision)             // called when a record was written at a revision
	Status(r rollout.Record) (key string, value []byte, err error) // status for operators, to be written to the store
	Event(c event.Code, fields ...zap.Field)                       // logs an event
}

// Leader advances the roll-outs while its instance is the leader.
type Leader struct {
	Host    Host
	Control *Control
	Store   store.Writer

	token    duty.Token             // under which rollouts were built up
	rollouts map[string]*ledRollout // by service
}

// ledRollout is the leader's state of one roll-out.
type ledRollout struct {
	order        store.Revision // revision of the order
	judge        *rollout.Judge
	drainedSince time.Time // since when no request has run on the old version during the shift; zero if one does
	evaluations  int       // number of evaluations so far
	permitNumber int64     // number of the last permit
}

// Run advances the roll-outs until ctx ends.
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

// evaluateAll evaluates and advances each roll-out once, if this instance is the leader.
func (l *Leader) evaluateAll(ctx context.Context) {
	call, cancel, token, ok := l.Host.Acting(ctx)
	if !ok {
		return
	}
	defer cancel()
	if token != l.token {
		// What was found under an earlier token may be outdated.
		l.token, l.rollouts = token, make(map[string]*ledRollout)
	}
	for _, k := range l.Host.Rollouts() {
		if err := l.advance(call, token, k, l.Control.clock.Now()); err != nil {
			l.Host.Event(event.RolloutWriteFailed, zap.Int64("fence", int64(token.Fence)), zap.Error(err))
		}
	}
}

// advance evaluates one roll-out, and writes its next record or renews its permit.
func (l *Leader) advance(ctx context.Context, token duty.Token, k ServiceRollout, now time.Time) error {
	wall := l.Host.WallTime(now)
	if k.Order != nil && (k.Record == nil || !k.Record.Covers(*k.Order)) {
		return l.write(ctx, token, k, rollout.Begin(*k.Order, k.Record, wall), rollout.Verdict{})
	}
	if k.Record == nil {
		return nil
	}
	if r, rewrite := recordToRewrite(k); rewrite {
		return l.write(ctx, token, k, r, rollout.Verdict{})
	}
	if k.Record.Phase.Final() {
		return nil
	}
	r := *k.Record
	s := l.rolloutFor(r)
	observation := l.observe(s, r, k, now)
	s.evaluations++
	if s.evaluations%evaluationsPerLog == 0 {
		l.logDecision(event.RolloutFigures, r, observation.Verdict, zap.Int64("open_on_old", int64(observation.OpenOnReplaced)), zap.Bool("following", observation.AllFollow))
	}
	next, changed := rollout.Next(r, observation)
	if !changed {
		l.renewPermit(s, r, now)
		return nil
	}
	return l.write(ctx, token, k, next, observation.Verdict)
}

// recordToRewrite returns the record that has to be written again after a restore of the store, and
// whether one has to be. It has to be if the store lost it. It also has to be if the roll-out is
// over and the record has the order's revision of an earlier era, because a later order for the same
// target could then not be distinguished from its own.
func recordToRewrite(k ServiceRollout) (rollout.Record, bool) {
	r := *k.Record
	if k.Settled && k.Order != nil && r.Phase.Final() && r.Order < k.Order.Revision {
		r.Order = k.Order.Revision
		return r, true
	}
	return r, k.Lost
}

// rolloutFor returns the state of a roll-out, and creates it if the order is new.
func (l *Leader) rolloutFor(r rollout.Record) *ledRollout {
	s := l.rollouts[r.Service]
	if s == nil || s.order != r.Order {
		s = &ledRollout{order: r.Order, judge: rollout.NewJudge()}
		l.rollouts[r.Service] = s
	}
	return s
}

// renewPermit issues the next permit of a roll-out that is on trial. The numbers of permits follow
// the clock, so that those of a later leader are usually higher.
func (l *Leader) renewPermit(s *ledRollout, r rollout.Record, now time.Time) {
	if r.Phase != rollout.Trial {
		return
	}
	s.permitNumber = max(s.permitNumber+1, now.UnixNano())
	l.Control.ApplyPermit(Permit{Service: r.Service, Order: r.Order, Number: s.permitNumber}, now)
}

// observe sums what all instances report of a roll-out.
func (l *Leader) observe(s *ledRollout, r rollout.Record, k ServiceRollout, now time.Time) rollout.Observation {
	if r.Phase == rollout.Shift {
		s.judge.FreezeBaseline()
	}
	out := rollout.Observation{
		Now: l.Host.WallTime(now), Targets: k.Targets, Others: k.Others,
		Verdict: s.judge.Evaluate(l.Control.TotalCounts(l.Host.Aggregation(), r.Service, r.Order)),
	}
	following := int64(0)
	for _, state := range l.Control.AllStates(l.Control.States(l.Host.OpenRequests()), now) {
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

// write writes a record to the store, with its status for operators, if this instance is still the
// leader and nobody else has written the record meanwhile.
func (l *Leader) write(ctx context.Context, token duty.Token, k ServiceRollout, r rollout.Record, v rollout.Verdict) error {
	value, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the roll-out record of service %s: %w", r.Service, err)
	}
	statusKey, status, err := l.Host.Status(r)
	if err != nil {
		return fmt.Errorf("encode the roll-out status of service %s: %w", r.Service, err)
	}
	key := l.Host.RecordKey(r.Service)
	at, err := l.Store.Do(ctx, store.Txn{
		Expect: []store.Expect{{Key: key, Revision: k.Revision}, {Key: l.Host.DutyKey(), Revision: token.Fence}},
		Put:    []store.Put{{Key: key, Value: value}, {Key: statusKey, Value: status}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil // another leader wrote, or the answer to an earlier write was lost; the watch delivers the stored record
	}
	if err != nil {
		return fmt.Errorf("write the roll-out record of service %s: %w", r.Service, err)
	}
	l.logDecision(event.RolloutPhaseWritten, r, v, zap.Inline(at), zap.Int64("fence", int64(token.Fence)))
	l.Host.RecordWritten(r, at)
	return nil
}

// logDecision logs a record with the verdict behind it.
func (l *Leader) logDecision(c event.Code, r rollout.Record, v rollout.Verdict, more ...zap.Field) {
	l.Host.Event(c, append([]zap.Field{
		zap.String("service", r.Service), zap.Int64("order", int64(r.Order)), zap.String("target", r.Target), zap.String("phase", string(r.Phase)),
		zap.String("why", r.Why), zap.Int64("seen", v.Started), zap.Int64("ended", v.Ended), zap.Int64("failed", v.Failures),
		zap.Float64("evidence", v.Evidence), zap.String("sign", v.Indicator), zap.Time("deadline", r.Deadline),
	}, more...)...)
}
