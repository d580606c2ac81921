package front

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/storehealth"
)

// change is an input to the state's goroutine.
type change interface{ change() }

// configRead carries a configuration from a read or a watch. provedAt is when the read was sent,
// zero for a watch.
type configRead struct {
	value    []byte
	revision store.Revision
	provedAt time.Time
	byPeer   bool // read by another instance while this one could not
}

// sharedOutage reports that the other instances cannot read the store either.
type sharedOutage struct{ at time.Time }

// listedEndpoints and listedInstances carry all entries of a kind; watched carries later changes.
type (
	listedEndpoints struct {
		items []store.Item
		at    store.Revision // at which they were listed
		sent  time.Time      // when the call was sent
	}
	listedInstances struct {
		items []store.Item
		at    store.Revision // zero if unknown
	}
	watched struct {
		events []store.Event
		sent   time.Time // when the call was sent
	}
)

// storeCalled reports the outcome of a store call and when it was sent.
type storeCalled struct {
	ok   bool
	sent time.Time
}

// operatorsRead carries the operators' entries as read, for their roll-out orders, of which there
// may be none. A configuration among them is ignored.
type operatorsRead struct{ items []store.Item }

// wroteRecord reports that this instance wrote a roll-out record at a revision.
type wroteRecord struct {
	record rollout.Record
	at     store.Revision
}

// announcedLeaving reports that an endpoint announced in an answer that it is leaving.
type announcedLeaving struct{ endpoint string }

// drainStarted reports that this instance has begun to drain, and until when it serves requests.
type drainStarted struct{ servesUntil time.Time }

func (configRead) change()       {}
func (sharedOutage) change()     {}
func (listedEndpoints) change()  {}
func (listedInstances) change()  {}
func (watched) change()          {}
func (storeCalled) change()      {}
func (announcedLeaving) change() {}
func (drainStarted) change()     {}
func (operatorsRead) change()    {}
func (wroteRecord) change()      {}

const (
	changeQueue = 256
	stateTick   = clock.StallCheckInterval
)

// state is the control state of an instance. It is owned by the goroutine that runs Serve.
type state struct {
	instance *Instance
	changes  chan change
	registry *registry.Registry
	members  *members
	rollouts *rolloutState

	config        *policy.Config
	revision      store.Revision // of the configuration's item
	lastOutdated  store.Revision // of the last older configuration that was read, for logging
	provedAt      time.Time      // when the latest read that proved the configuration was sent
	readAt        time.Time      // the same, without reads by proveThroughPeers
	outageAt      time.Time      // when the others last reported that they cannot read the store either
	stale         bool           // the configuration was logged as stale
	store         storehealth.Tracker
	servesUntil   time.Time // zero unless this instance is shutting down
	era           era
	behind        bool       // the store has an older version than the one in force
	deferredProof configRead // a proof to apply once the restored store has settled
	listed        bool       // the endpoints were listed
	synced        bool       // Instance.synced is closed
	publishDue    bool
	active        registry.Active
}

func newState(n *Instance) *state {
	return &state{instance: n, changes: make(chan change, changeQueue), registry: registry.New(n.Settings.Bounds.Drain()), members: newMembers(n), rollouts: newRolloutState(n)}
}

func (s *state) send(c change) { s.changes <- c }

// Serve applies changes and publishes views until ctx ends. It implements suture.Service.
func (s *state) Serve(ctx context.Context) error {
	t := time.NewTicker(stateTick)
	defer t.Stop()
	watcher := s.instance.Clock.NewStallDetector()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-s.changes:
			s.apply(c, s.instance.Clock.Now())
		case <-t.C:
			if w, resumed := watcher.Check(); resumed {
				s.store.Resumed(s.instance.Clock.Now())
				s.instance.onResume(w)
			}
			s.tick(s.instance.Clock.Now())
		}
		if s.publishDue {
			s.publish()
		}
	}
}

func (s *state) apply(c change, now time.Time) {
	if !s.observeEra(c, now) {
		return
	}
	switch c := c.(type) {
	case configRead:
		s.applyConfig(c, now)
	case eraFirstSeen:
		s.applyEraFirstSeen(c, now)
	case peerConfig:
		s.applyPeerConfig(c)
	case sharedOutage:
		s.outageAt, s.publishDue = c.at, true
	case listedEndpoints:
		s.applyEndpointList(c, now)
		s.instance.watchProgress.ObserveListing(c.items, c.at)
	case operatorsRead:
		s.publishDue = s.rollouts.applyOperatorItems(c.items) || s.publishDue
	case wroteRecord:
		s.publishDue = s.rollouts.recordWritten(c.record, c.at) || s.publishDue
	case listedInstances:
		for _, item := range c.items {
			s.rollouts.applyRecord(item)
		}
		s.rollouts.markLostRecords(c.items, c.at)
		s.instance.versionRecorder.ApplyListing(c.items, c.at)
		s.members.replace(c.items, now)
		s.publishDue = true
	case watched:
		s.applyEvents(c, now)
	case peerInstances:
		s.publishDue = s.members.applyPeers(c, now) || s.publishDue
	case storeCalled:
		s.applyStoreCall(c, now)
	case announcedLeaving:
		s.logChanges(s.registry.MarkLeaving(c.endpoint, now))
	case drainStarted:
		s.servesUntil, s.publishDue = c.servesUntil, true
	}
}

// applyConfig puts a newer configuration in force, or records a proof of the one in force. It never
// goes back to an older version.
func (s *state) applyConfig(c configRead, now time.Time) {
	if c.revision > s.revision {
		next, err := s.instance.Decoder.Config(c.value)
		if err != nil {
			s.instance.event(event.ConfigRejected, zap.Inline(c.revision), zap.Error(err))
			return // it may revoke keys, so it is no proof of the one in force
		}
		if s.revision != 0 && s.revision.Era() == c.revision.Era() {
			s.era.startedIn = false // the operators have written since the restore
		}
		s.revision, s.behind = c.revision, s.config != nil && next.Version < s.config.Version
		s.instance.revision.Store(int64(c.revision))
		if s.config == nil || next.Version > s.config.Version {
			s.putInForce(next, c.value)
			s.instance.event(event.ConfigInForce, zap.Int64("version", next.Version), zap.Inline(c.revision), zap.Bool("by_watch", c.provedAt.IsZero()))
		}
	}
	if c.revision != s.revision {
		s.logOutdated(c)
		return
	}
	if s.storeMayLackVersions(now) {
		s.deferredProof = c
		return
	}
	if !c.byPeer && c.provedAt.After(s.readAt) {
		s.readAt, s.publishDue = c.provedAt, true
	}
	if c.provedAt.After(s.provedAt) {
		s.provedAt, s.publishDue = c.provedAt, true
		if s.stale {
			s.stale = false
			s.instance.event(event.ConfigConfirmed, zap.Int64("version", s.config.Version), zap.Bool("by_peer", c.byPeer))
		}
	}
}

func (s *state) putInForce(c *policy.Config, value []byte) {
	s.config, s.publishDue = c, true
	s.instance.versions.SetInForce(c.Version, value)
	s.instance.streams.Versions.Extend(2 * c.LongestResumable())
}

// logOutdated logs a configuration that is older than the one held, once for each revision.
func (s *state) logOutdated(c configRead) {
	if c.revision >= s.revision || c.revision == s.lastOutdated {
		return
	}
	s.lastOutdated = c.revision
	s.instance.event(event.OlderConfigIgnored, zap.Inline(c.revision), zap.Object("in_hand", s.revision), zap.Int64("version", s.config.Version), zap.Bool("by_peer", c.byPeer))
}

// keysUntil returns until when keys may be accepted. During an outage of the store for all
// instances they are accepted for longer, unless StrictRevoke demands that revoked keys stop
// working within the bound regardless.
func (s *state) keysUntil() time.Time {
	b := s.instance.Settings.Bounds
	if b.StrictRevoke {
		return s.provedAt.Add(fractionOf(revokeBoundShare, b.Revoke()))
	}
	known := s.provedAt
	if s.outageAt.After(known) {
		known = s.outageAt
	}
	return known.Add(fractionOf(revokeBoundShare, b.Config()+b.StoreRefusedExtra()))
}

// outageUntil returns until when the store counts as down for all instances.
func (s *state) outageUntil() time.Time { return s.outageAt.Add(sharedOutageTTL) }

func fractionOf(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }

// applyStoreCall records whether the store can be reached.
func (s *state) applyStoreCall(c storeCalled, now time.Time) {
	switch s.store.Called(c.ok, c.sent, now) {
	case storehealth.Recovered:
		s.instance.event(event.StoreRecovered)
		s.instance.restartWatches()
	case storehealth.Down:
		s.instance.event(event.StoreDown)
	}
}

// listVersions reads the endpoints from the store and returns the versions, by service, of those that accept
// requests.
func (n *Instance) listVersions(ctx context.Context) (map[string][]string, error) {
	sent := n.Clock.Now()
	items, at, err := n.Store.Range(ctx, n.Decoder.EndpointPrefix())
	if err != nil {
		return nil, err
	}
	n.state.send(listedEndpoints{items, at, sent})
	active := registry.ActiveOf(lo.FilterMap(items, func(item store.Item, _ int) (registry.Endpoint, bool) {
		id, _ := n.Decoder.EndpointID(item.Key)
		e, err := n.Decoder.Endpoint(id, item.Value, n.Clock.Now())
		return e, err == nil
	}))
	return active.Versions(), nil
}

func (s *state) applyEndpointList(c listedEndpoints, now time.Time) {
	var endpoints []registry.Endpoint
	var invalid []string
	for _, item := range c.items {
		id, ok := s.instance.Decoder.EndpointID(item.Key)
		if !ok {
			continue
		}
		if endpoint, ok := s.decode(id, item, now); ok {
			endpoints = append(endpoints, endpoint)
		} else {
			invalid = append(invalid, id)
		}
	}
	s.logChanges(s.registry.ApplyListing(endpoints, invalid, c.at, s.store.MissingSince(now), now))
	s.store.EndpointsRead(c.sent)
	s.listed, s.publishDue = true, true
}

// decode decodes an endpoint's entry. An entry that can't be decoded withholds its endpoint from
// use, and is logged once for each change; other entries are unaffected.
func (s *state) decode(id string, item store.Item, now time.Time) (registry.Endpoint, bool) {
	endpoint, err := s.instance.Decoder.Endpoint(id, item.Value, now)
	if err == nil {
		endpoint.Revision = item.Revision
		if s.registry.IsStale(endpoint) {
			s.instance.event(event.OlderEndpointIgnored, zap.String("server", endpoint.ID), zap.Inline(item.Revision), zap.Bool("leaving", endpoint.Leaving))
		}
		return endpoint, true
	}
	if s.registry.Withhold(id, item.Revision, now) != registry.None {
		s.instance.event(event.FrontEndpointInvalid, zap.String("server", truncate(id)), zap.Inline(item.Revision), zap.String("error", truncate(err.Error())))
	}
	return registry.Endpoint{}, false
}

// maxLoggedText limits the bytes logged of text that another process wrote.
const maxLoggedText = 200

func truncate(text string) string { return text[:min(len(text), maxLoggedText)] }

func (s *state) applyEvents(c watched, now time.Time) {
	var own []store.Event // of keys below OwnPrefix
	read := false         // endpoints
	for _, e := range c.events {
		if e.Key == s.instance.Decoder.ConfigKey() {
			if !e.Deleted {
				s.applyConfig(configRead{value: e.Value, revision: e.Revision}, now)
			}
		} else if id, ok := s.instance.Decoder.EndpointID(e.Key); ok {
			s.applyEndpointEvent(id, e, now)
			read = true
		} else if strings.HasPrefix(e.Key, s.instance.Decoder.OperatorPrefix()) {
			s.applyOrder(e)
		} else {
			own = append(own, e)
		}
	}
	if read {
		s.store.EndpointsRead(c.sent)
	}
	if len(own) > 0 {
		for _, e := range own {
			if !e.Deleted {
				s.rollouts.applyRecord(e.Item)
				s.instance.versionRecorder.Apply(e.Item)
			}
		}
		s.members.applyEvents(own, now)
		s.publishDue = true
	}
}

// applyOrder applies a change of a roll-out order from a watch.
func (s *state) applyOrder(e store.Event) {
	if !e.Deleted && s.rollouts.applyOrder(e.Item) {
		s.publishDue = true
	}
}

func (s *state) applyEndpointEvent(id string, e store.Event, now time.Time) {
	s.publishDue = true
	s.instance.watchProgress.ObserveChange(e.Revision)
	if e.Deleted {
		endpoint, _ := s.registry.Find(id)
		s.logChanges([]registry.Event{{Change: s.registry.Remove(id, e.Revision, s.store.MissingSince(now), now), Endpoint: endpoint}})
		return
	}
	if endpoint, ok := s.decode(id, e.Item, now); ok {
		s.logChanges([]registry.Event{{Change: s.registry.Put(endpoint, now), Endpoint: endpoint}})
	}
}

var endpointEvents = map[registry.Change]event.Code{
	registry.Joined: event.FrontEndpointJoined, registry.Draining: event.FrontEndpointLeaving,
	registry.Gone: event.FrontEndpointGone, registry.Absent: event.FrontEndpointLapsed,
	registry.Restarted: event.FrontEndpointRestarted, registry.Withheld: event.FrontEndpointWithheld,
}

func (s *state) logChanges(changed []registry.Event) {
	for _, c := range changed {
		s.instance.suspects.endpointChanged(c, s.instance.Clock.Now())
		if code, ok := endpointEvents[c.Change]; ok {
			s.instance.event(code, zap.String("server", c.Endpoint.ID), zap.String("service", c.Endpoint.Service), zap.String("hall", c.Endpoint.Hall), zap.String("version", c.Endpoint.Version), zap.Bool("spot", c.Endpoint.Spot), zap.Inline(c.Endpoint.Revision))
			s.publishDue = true
		}
	}
}

func (s *state) tick(now time.Time) {
	if s.deferredProof.revision != 0 && !s.restoreSettling(now) {
		s.applyConfig(s.deferredProof, now)
		s.deferredProof = configRead{}
		s.instance.refresh()
	}
	s.logChanges(s.registry.Expire(s.store.Outage(now), now))
	if s.config != nil && !s.stale && now.After(s.keysUntil()) {
		s.stale = true
		s.instance.event(event.ConfigStale, zap.Int64("version", s.config.Version), zap.Duration("age", now.Sub(s.provedAt)))
	}
	if s.members.expire(now) {
		s.publishDue = true
	}
	s.instance.admission.tick(s.members.count(), now)
	if !s.instance.isCurrent(now) {
		s.instance.streams.Versions.Interrupt(now)
	}
}

// publish publishes a new view. Most views differ only in the proof of the configuration, so the
// selection of active endpoints is reused unless the registry's list has changed.
func (s *state) publish() {
	s.publishDue = false
	if list := s.registry.List(); !s.active.IsOf(list) {
		s.active = registry.ActiveOf(list)
		s.instance.streams.Observe(s.active.Versions(), s.instance.Clock.Now())
	}
	v := &forward.View{
		Config: s.config, ConfirmedAt: s.provedAt, OwnConfirmedAt: s.readAt, KeysValidUntil: s.keysUntil(), OutageUntil: s.outageUntil(), Instances: s.members.count(), ServesUntil: s.servesUntil,
		Listed: s.active.All, Endpoints: maps.Clone(s.active.ByService), TrialEndpoints: make(map[string][]registry.Endpoint), Rollouts: make(map[string]rollout.Record),
	}
	s.splitByRollout(v)
	s.instance.view.Store(v)
	if !s.synced && s.config != nil && s.listed {
		s.synced = true
		close(s.instance.synced)
	}
}

// splitByRollout splits the endpoints of a view into those on trial and the others, as the
// roll-outs require.
func (s *state) splitByRollout(v *forward.View) {
	if !s.instance.rollouts.Enabled() {
		return
	}
	now := s.instance.Clock.Now()
	known := []rollctl.ServiceRollout{}
	for service, endpoints := range v.Endpoints {
		if k := s.rollouts.divide(v, service, endpoints, now); k != nil {
			known = append(known, *k)
		}
	}
	s.instance.knownRollouts.Store(&known)
}
