package front

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// rolloutState holds the roll-out orders and records read from the store. It belongs to the
// goroutine of state.
type rolloutState struct {
	instance            *Instance
	orders              map[string]rollout.Order        // newest, by service
	records             map[string]storedRecord         // newest, by service
	versionSeenAt       map[string]map[string]time.Time // when a version first appeared, by service and version
	ordersRead          bool                            // the operators' keys were read at least once
	orderedWhileRunning map[string]bool                 // services whose order was first seen after ordersRead was set
}

// storedRecord is a roll-out record and its state in the store.
type storedRecord struct {
	rollout.Record
	revision store.Revision // of the record in the store; 0 if there is none
	lost     bool           // the store has no record, or an older one than this
}

func newRolloutState(n *Instance) *rolloutState {
	return &rolloutState{
		instance: n, orders: make(map[string]rollout.Order), records: make(map[string]storedRecord),
		versionSeenAt: make(map[string]map[string]time.Time), orderedWhileRunning: make(map[string]bool),
	}
}

// applyOperatorItems applies a read of the operators' keys, and reports whether an order is
// new.
func (s *rolloutState) applyOperatorItems(items []store.Item) (changed bool) {
	for _, item := range items {
		changed = s.applyOrder(item) || changed
	}
	s.ordersRead = true
	return changed
}

// applyOrder applies an operators' item if it is a roll-out order, and reports whether the
// order is new.
func (s *rolloutState) applyOrder(item store.Item) bool {
	if item.Key == s.instance.Decoder.ConfigKey() {
		return false
	}
	order, ok, err := s.instance.Decoder.Order(item.Key, item.Value)
	if err != nil {
		s.instance.event(event.RolloutInvalid, zap.String("key", item.Key), zap.Inline(item.Revision), zap.Error(err))
	}
	if !ok || err != nil || item.Revision <= s.orders[order.Service].Revision {
		return false
	}
	order.Revision = item.Revision
	if known, ok := s.orders[order.Service]; ok && known.Revision.Era() < order.Revision.Era() || s.settling() {
		return s.applyRestoredOrder(known, order, ok)
	}
	s.orders[order.Service], s.orderedWhileRunning[order.Service] = order, s.ordersRead
	s.instance.event(event.RolloutOrdered, zap.String("service", order.Service), zap.String("target", order.Target), zap.Int64("order", int64(order.Revision)), zap.Duration("window", order.Window))
	return true
}

// settling reports whether operators and endpoints may still be rewriting what a restore of
// the store lost.
func (s *rolloutState) settling() bool {
	return s.instance.state.restoreSettling(s.instance.Clock.Now())
}

// applyRestoredOrder applies an order read after a restore of the store. An order that
// differs from the known one is ignored until the store has settled: it may be older.
func (s *rolloutState) applyRestoredOrder(known, order rollout.Order, exists bool) bool {
	same := exists && known.Target == order.Target && known.Window == order.Window
	if !same && s.settling() {
		return false
	}
	s.orders[order.Service] = order
	s.orderedWhileRunning[order.Service] = s.orderedWhileRunning[order.Service] && same || !same && s.ordersRead
	return true
}

// markLostRecords marks known records as lost if they are missing from a listing that was
// made after a restore of the store.
func (s *rolloutState) markLostRecords(items []store.Item, at store.Revision) {
	for service, r := range s.records {
		key := s.instance.Decoder.OwnPrefix() + keyRollouts + service
		if r.revision.Era() < at.Era() && !hasKey(items, key) {
			r.revision, r.lost = 0, true
			s.records[service] = r
		}
	}
}

// applyRecord applies an item if it is a roll-out record, and reports whether the record is
// new. If the store has an older record than the known one, that is kept and marked as lost.
func (s *rolloutState) applyRecord(item store.Item) bool {
	name, ok := strings.CutPrefix(item.Key, s.instance.Decoder.OwnPrefix()+keyRollouts)
	if !ok || item.Revision <= s.records[name].revision {
		return false // older, delivered late
	}
	var r rollout.Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		s.instance.event(event.RolloutInvalid, zap.String("key", item.Key), zap.Inline(item.Revision), zap.Error(err))
		return false
	}
	if known := s.records[name]; known.After(r) {
		known.revision, known.lost = item.Revision, true
		s.records[name] = known
		return false
	}
	return s.recordWritten(r, item.Revision)
}

// recordWritten sets the record written at a revision, and reports whether it is new: the
// watch may have delivered a later one before.
func (s *rolloutState) recordWritten(r rollout.Record, at store.Revision) bool {
	if at <= s.records[r.Service].revision {
		return false
	}
	s.records[r.Service] = storedRecord{Record: r, revision: at}
	return true
}

// known returns the order and the record of a service's roll-out.
func (s *rolloutState) known(service string) rollctl.ServiceRollout {
	var k rollctl.ServiceRollout
	if order, ok := s.orders[service]; ok {
		k.Order = &order
	}
	if r, ok := s.records[service]; ok {
		k.Record, k.Revision, k.Lost = &r.Record, r.revision, r.lost
	}
	k.Settled = !s.settling()
	return k
}

// trackVersions records when each version among a service's endpoints appeared. A version
// without endpoints is dropped: an order may name it before it appears again.
func (s *rolloutState) trackVersions(service string, endpoints []registry.Endpoint, now time.Time) {
	seen := make(map[string]time.Time, len(s.versionSeenAt[service]))
	for _, endpoint := range endpoints {
		at, known := s.versionSeenAt[service][endpoint.Version]
		if !known {
			at = now
		}
		seen[endpoint.Version] = at
	}
	s.versionSeenAt[service] = seen
}

// divide puts a service's endpoints into a view, split into main and trial according to its
// roll-out. It returns nil if the service has no roll-out.
func (s *rolloutState) divide(v *forward.View, service string, endpoints []registry.Endpoint, now time.Time) *rollctl.ServiceRollout {
	s.trackVersions(service, endpoints, now)
	// An order not yet read may name a version, until the operators' keys are read after
	// the version appeared.
	unproved := func(version string) bool { return !v.ConfirmedAt.After(s.versionSeenAt[service][version]) }
	known := s.known(service)
	r, ok := rollout.Current(known.Order, known.Record)
	arms := s.instance.rollouts.Divide(endpoints, r, unproved)
	v.Endpoints[service] = arms.Main
	if !ok {
		return nil
	}
	v.TrialEndpoints[service], v.Rollouts[service] = arms.Trial, r
	if s.instance.rollouts.SetRollout(r, arms, v.Instances, s.orderedWhileRunning[service]) {
		s.instance.event(event.RolloutPhaseApplied, zap.String("service", service), zap.Int64("order", int64(r.Order)), zap.String("target", r.Target), zap.String("phase", string(r.Phase)), zap.Int("main", len(arms.Main)), zap.Int("trial", len(arms.Trial)))
	}
	for _, endpoint := range endpoints {
		if endpoint.Version == r.Target {
			known.Targets++
		} else if !slices.Contains(r.Rejected, endpoint.Version) {
			known.Others++
		}
	}
	return &known
}

// rolloutHost gives the roll-out leader access to its instance. It implements rollctl.Host.
type rolloutHost struct{ *Instance }

// Acting implements rollctl.Host.
func (h rolloutHost) Acting(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool) {
	return h.leaderContext(ctx)
}

// WallTime implements rollctl.Host.
func (h rolloutHost) WallTime(now time.Time) time.Time { return h.walltime.At(now) }

// Rollouts implements rollctl.Host.
func (h rolloutHost) Rollouts() []rollctl.ServiceRollout { return *h.knownRollouts.Load() }

// Instances implements rollctl.Host.
func (h rolloutHost) Instances() int { return h.view.Load().Instances }

// Aggregation implements rollctl.Host.
func (h rolloutHost) Aggregation() rollctl.Aggregation {
	switch hubs := h.state.members.topology(); {
	case len(hubs.Hubs) == 0:
		return rollctl.AllToAll
	case hubs.IsHub:
		return rollctl.AtHub
	}
	return rollctl.ThroughHub
}

// OpenRequests implements rollctl.Host.
func (h rolloutHost) OpenRequests() map[string]int { return h.openRequests() }

// openRequests returns the number of this instance's open requests by endpoint.
func (n *Instance) openRequests() map[string]int {
	open := make(map[string]int)
	for id, use := range n.tracker.Loads() {
		open[id] = use.Open
	}
	return open
}

// DutyKey implements rollctl.Host.
func (h rolloutHost) DutyKey() string { return h.elector.Key }

// RecordKey implements rollctl.Host.
func (h rolloutHost) RecordKey(service string) string {
	return h.Decoder.OwnPrefix() + keyRollouts + service
}

// RecordWritten implements rollctl.Host.
func (h rolloutHost) RecordWritten(r rollout.Record, at store.Revision) {
	h.state.send(wroteRecord{r, at})
}

// Status implements rollctl.Host.
func (h rolloutHost) Status(r rollout.Record) (string, []byte, error) { return h.Decoder.Status(r) }

// Event implements rollctl.Host.
func (h rolloutHost) Event(c event.Code, fields ...zap.Field) { h.event(c, fields...) }
