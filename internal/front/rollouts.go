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

// rolloutState is what an instance knows of roll-outs. It belongs to the state's
// goroutine.
type rolloutState struct {
	instance *Instance
	orders   map[string]rollout.Order        // newest, by service
	records  map[string]writtenRecord        // newest, by service
	seen     map[string]map[string]time.Time // when a version came up, by service and version
	read     bool                            // what the operators wrote was read once
	fresh    map[string]bool                 // services whose order came after that
}

// writtenRecord is a record as the store has it.
type writtenRecord struct {
	rollout.Record
	revision store.Revision
	lost     bool // the store has none, or an earlier one than this, at the revision
}

func newRolloutState(n *Instance) *rolloutState {
	return &rolloutState{
		instance: n, orders: make(map[string]rollout.Order), records: make(map[string]writtenRecord),
		seen: make(map[string]map[string]time.Time), fresh: make(map[string]bool),
	}
}

// takeOperators takes what the operators wrote, as read, and reports whether an order is
// new.
func (s *rolloutState) takeOperators(items []store.Item) (changed bool) {
	for _, item := range items {
		changed = s.takeOrder(item) || changed
	}
	s.read = true
	return changed
}

func (s *rolloutState) takeOrder(item store.Item) bool {
	if item.Key == s.instance.Decoder.ConfigKey() {
		return false
	}
	order, ok, err := s.instance.Decoder.Order(item.Key, item.Value)
	if err != nil {
		s.instance.event(event.RolloutOdd, zap.String("key", item.Key), zap.Inline(item.Revision), zap.Error(err))
	}
	if !ok || err != nil || item.Revision <= s.orders[order.Service].Revision {
		return false
	}
	order.Revision = item.Revision
	if known, ok := s.orders[order.Service]; ok && known.Revision.Era() < order.Revision.Era() || s.settling() {
		return s.takeOrderAgain(known, order, ok)
	}
	s.orders[order.Service], s.fresh[order.Service] = order, s.read
	s.instance.event(event.RolloutOrdered, zap.String("service", order.Service), zap.String("target", order.Target), zap.Int64("order", int64(order.Revision)), zap.Duration("window", order.Window))
	return true
}

func (s *rolloutState) settling() bool {
	return s.instance.state.settling(s.instance.Clock.Now())
}

// takeOrderAgain takes an order that is read in a later era of the store than the one known, if
// there is one. Another one than that counts once the store has settled: it may be older.
func (s *rolloutState) takeOrderAgain(known, order rollout.Order, exists bool) bool {
	same := exists && known.Target == order.Target && known.Window == order.Window
	if !same && s.settling() {
		return false
	}
	s.orders[order.Service] = order
	s.fresh[order.Service] = s.fresh[order.Service] && same || !same && s.read
	return true
}

// listed takes note of records that a listing of a later era lacks.
func (s *rolloutState) listed(items []store.Item, at store.Revision) {
	for service, r := range s.records {
		key := s.instance.Decoder.OwnPrefix() + keyRollouts + service
		if r.revision.Era() < at.Era() && !hasKey(items, key) {
			r.revision, r.lost = 0, true
			s.records[service] = r
		}
	}
}

// takeRecord takes a record, and reports whether it is new.
func (s *rolloutState) takeRecord(item store.Item) bool {
	name, ok := strings.CutPrefix(item.Key, s.instance.Decoder.OwnPrefix()+keyRollouts)
	if !ok || item.Revision <= s.records[name].revision {
		return false // an earlier one, that came late
	}
	var r rollout.Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		s.instance.event(event.RolloutOdd, zap.String("key", item.Key), zap.Inline(item.Revision), zap.Error(err))
		return false
	}
	if known := s.records[name]; known.After(r) {
		known.revision, known.lost = item.Revision, true
		s.records[name] = known
		return false
	}
	return s.wrote(r, item.Revision)
}

// wrote notes a record as written at a revision, and reports whether it is new:
// the watch may have brought a later one.
func (s *rolloutState) wrote(r rollout.Record, at store.Revision) bool {
	if at <= s.records[r.Service].revision {
		return false
	}
	s.records[r.Service] = writtenRecord{Record: r, revision: at}
	return true
}

// known returns what is known of a service's roll-out.
func (s *rolloutState) known(service string) rollctl.Known {
	var k rollctl.Known
	if order, ok := s.orders[service]; ok {
		k.Order = &order
	}
	if r, ok := s.records[service]; ok {
		k.Record, k.Revision, k.Lost = &r.Record, r.revision, r.lost
	}
	k.Settled = !s.settling()
	return k
}

// see notes when the versions of a service's endpoints came up. One that is gone is
// forgotten: if it comes up again an order may have named it since.
func (s *rolloutState) see(service string, servers []registry.Endpoint, now time.Time) {
	seen := make(map[string]time.Time, len(s.seen[service]))
	for _, server := range servers {
		at, known := s.seen[service][server.Version]
		if !known {
			at = now
		}
		seen[server.Version] = at
	}
	s.seen[service] = seen
}

// divide puts a service's endpoints into a view, divided as its roll-out asks for.
func (s *rolloutState) divide(v *forward.View, service string, servers []registry.Endpoint, now time.Time) *rollctl.Known {
	s.see(service, servers, now)
	// A version may be one that an order names of which this instance has not read yet,
	// until what the operators wrote was read after the version came up.
	unproved := func(version string) bool { return !v.ProvedAt.After(s.seen[service][version]) }
	known := s.known(service)
	r, ok := rollout.Current(known.Order, known.Record)
	arms := s.instance.rollouts.Divide(servers, r, unproved)
	v.Endpoints[service] = arms.Main
	if !ok {
		return nil
	}
	v.Trial[service], v.Rollouts[service] = arms.Trial, r
	if s.instance.rollouts.Follow(r, arms, v.Instances, s.fresh[service]) {
		s.instance.event(event.RolloutFollowed, zap.String("service", service), zap.Int64("order", int64(r.Order)), zap.String("target", r.Target), zap.String("phase", string(r.Phase)), zap.Int("main", len(arms.Main)), zap.Int("trial", len(arms.Trial)))
	}
	for _, server := range servers {
		if server.Version == r.Target {
			known.Targets++
		} else if !slices.Contains(r.Rejected, server.Version) {
			known.Others++
		}
	}
	return &known
}

// rolloutHost is what the leader of roll-outs needs of its instance. It implements
// rollctl.Host.
type rolloutHost struct{ *Instance }

// Acting implements rollctl.Host.
func (h rolloutHost) Acting(ctx context.Context) (context.Context, context.CancelFunc, duty.Token, bool) {
	return h.acting(ctx)
}

// Day implements rollctl.Host.
func (h rolloutHost) Day(now time.Time) time.Time { return h.walltime.At(now) }

// Rollouts implements rollctl.Host.
func (h rolloutHost) Rollouts() []rollctl.Known { return *h.knownRollouts.Load() }

// Instances implements rollctl.Host.
func (h rolloutHost) Instances() int { return h.view.Load().Instances }

// Fleet implements rollctl.Host.
func (h rolloutHost) Fleet() rollctl.Fleet {
	switch hubs := h.state.members.topology(); {
	case len(hubs.Hubs) == 0:
		return rollctl.Peers
	case hubs.Self:
		return rollctl.AsHub
	}
	return rollctl.ByHubs
}

// Open implements rollctl.Host.
func (h rolloutHost) Open() map[string]int { return h.openRequests() }

// openRequests returns this instance's requests by endpoint.
func (n *Instance) openRequests() map[string]int {
	open := make(map[string]int)
	for id, use := range n.tracker.Uses() {
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

// Wrote implements rollctl.Host.
func (h rolloutHost) Wrote(r rollout.Record, at store.Revision) { h.state.send(wroteRecord{r, at}) }

// Status implements rollctl.Host.
func (h rolloutHost) Status(r rollout.Record) (string, []byte, error) { return h.Decoder.Status(r) }

// Event implements rollctl.Host.
func (h rolloutHost) Event(c event.Code, fields ...zap.Field) { h.event(c, fields...) }
