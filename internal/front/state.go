package front

import (
	"context"
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// change is something that the state's goroutine takes note of.
type change interface{ change() }

// configRead brings a configuration from a read or a watch. provedAt is when
// the read was sent, zero for a watch.
type configRead struct {
	value    []byte
	revision store.Revision
	provedAt time.Time
	byPeer   bool // another node read it, while this one could not
}

// sharedOutage reports that the other nodes cannot read the store either.
type sharedOutage struct{ at time.Time }

// listedServers and listedNodes bring all entries of a kind, watched the changes
// since.
type (
	listedEndpoints struct {
		items []store.Item
		at    store.Revision // at which they were listed
	}
	listedInstances struct {
		items []store.Item
		at    store.Revision // zero where that is not known
	}
	watched struct{ events []store.Event }
)

// storeCalled reports how a call of the store went that was sent at a time.
type storeCalled struct {
	ok   bool
	sent time.Time
}

// operatorsRead brings the orders of roll-outs as read, whether there are any or not; a
// configuration among them is passed over.
type operatorsRead struct{ items []store.Item }

// wroteRecord reports that this node wrote a record of a roll-out at a revision.
type wroteRecord struct {
	record rollout.Record
	at     store.Revision
}

// announcedLeaving reports that an answer of a server said that it leaves.
type announcedLeaving struct{ endpoint string }

// leave makes the node take leave.
type leave struct{}

func (configRead) change()       {}
func (sharedOutage) change()     {}
func (listedEndpoints) change()  {}
func (listedInstances) change()  {}
func (watched) change()          {}
func (storeCalled) change()      {}
func (announcedLeaving) change() {}
func (leave) change()            {}
func (operatorsRead) change()    {}
func (wroteRecord) change()      {}

const (
	changeQueue = 256
	stateTick   = clock.LookEvery
	// troubleFor is how long after a failed call the store counts as troubled:
	// entries that lapsed meanwhile take so long to be written again.
	troubleFor = 3 * time.Second
	// leastOutage is how long the store has to be down until entries that went
	// before are kept on: one late or unlucky call must not prolong them.
	leastOutage = time.Second
)

// state is the control state of an instance. It belongs to the goroutine that runs Serve.
type state struct {
	instance *Instance
	changes  chan change
	registry *registry.Registry
	members  *members
	rollouts *rolloutState

	config     *policy.Config
	revision   store.Revision // of the configuration's item
	passedOver store.Revision // of an older one that was read last
	provedAt   time.Time
	readAt     time.Time // the same for this node's own way to the store
	outageAt   time.Time // when the others last said that they cannot read the store either
	stale      bool      // a stale configuration was reported
	troubleAt  time.Time // of the last call that failed
	answeredAt time.Time // of the last call that did not
	storeDown  bool
	downAt     time.Time // since when the store is down
	leaving    bool
	era        era
	behind     bool       // the store has an older version than the one in force
	withheld   configRead // that counts once the store has settled
	listed     bool       // the servers are known
	knows      bool       // as Node.knows
	publishDue bool
	takers     takers
}

// takers are the servers that take work, as views show them.
type takers struct {
	of        []registry.Endpoint // the registry's list that they were taken from
	all       []registry.Endpoint
	byService map[string][]registry.Endpoint
}

// takersOf returns the servers of a list that take work.
func takersOf(list []registry.Endpoint) takers {
	t := takers{of: list, byService: make(map[string][]registry.Endpoint)}
	for _, server := range list {
		if !server.Leaving {
			t.all = append(t.all, server)
			t.byService[server.Service] = append(t.byService[server.Service], server)
		}
	}
	return t
}

// sameList reports whether two lists of a registry are one and the same.
func sameList(a, b []registry.Endpoint) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func newState(n *Instance) *state {
	return &state{instance: n, changes: make(chan change, changeQueue), registry: registry.New(n.Settings.Bounds.Drain()), members: newMembers(n), rollouts: newRolloutState(n)}
}

func (s *state) send(c change) { s.changes <- c }

// Serve runs the goroutine until ctx ends. It is a suture service.
func (s *state) Serve(ctx context.Context) error {
	t := time.NewTicker(stateTick)
	defer t.Stop()
	watcher := s.instance.Clock.Watch()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-s.changes:
			s.apply(c, s.instance.Clock.Now())
		case <-t.C:
			if w, woken := watcher.Look(); woken {
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
	if !s.enter(c, now) {
		return
	}
	switch c := c.(type) {
	case configRead:
		s.takeConfig(c, now)
	case eraMarked:
		s.marked(c, now)
	case peerConfig:
		s.takePeerConfig(c)
	case sharedOutage:
		s.outageAt, s.publishDue = c.at, true
	case listedEndpoints:
		s.takeEndpoints(c.items, c.at, now)
		s.instance.watchProgress.Listed(c.items, c.at)
	case operatorsRead:
		s.publishDue = s.rollouts.takeOperators(c.items) || s.publishDue
	case wroteRecord:
		s.publishDue = s.rollouts.wrote(c.record, c.at) || s.publishDue
	case listedInstances:
		for _, item := range c.items {
			s.rollouts.takeRecord(item)
		}
		s.rollouts.listed(c.items, c.at)
		s.members.replace(c.items, now)
		s.publishDue = true
	case watched:
		s.takeEvents(c.events, now)
	case peerInstances:
		s.publishDue = s.members.learn(c, now) || s.publishDue
	case storeCalled:
		s.takeCall(c, now)
	case announcedLeaving:
		s.logChanges(s.registry.Leave(c.endpoint, now))
	case leave:
		s.leaving, s.publishDue = true, true
	}
}

// takeConfig puts a newer configuration in force, and notes the proof of the
// one in force. It never goes back.
func (s *state) takeConfig(c configRead, now time.Time) {
	if c.revision > s.revision {
		next, err := s.instance.Decoder.Config(c.value)
		if err != nil {
			s.instance.event(event.ConfigRejected, zap.Inline(c.revision), zap.Error(err))
			return // what it takes away is not known: the one in force is not proved
		}
		if s.revision != 0 && s.revision.Era() == c.revision.Era() {
			s.era.joined = false // the operators wrote again
		}
		s.revision, s.behind = c.revision, s.config != nil && next.Version < s.config.Version
		s.instance.revision.Store(int64(c.revision))
		if s.config == nil || next.Version > s.config.Version {
			s.putInForce(next, c.value)
			s.instance.event(event.ConfigInForce, zap.Int64("version", next.Version), zap.Inline(c.revision), zap.Bool("by_watch", c.provedAt.IsZero()))
		}
	}
	if c.revision != s.revision {
		s.passOver(c)
		return
	}
	if s.mayLack(now) {
		s.withheld = c
		return
	}
	if !c.byPeer && c.provedAt.After(s.readAt) {
		s.readAt, s.publishDue = c.provedAt, true
	}
	if c.provedAt.After(s.provedAt) {
		s.provedAt, s.publishDue = c.provedAt, true
		if s.stale {
			s.stale = false
			s.instance.event(event.ConfigProved, zap.Int64("version", s.config.Version), zap.Bool("by_peer", c.byPeer))
		}
	}
}

func (s *state) putInForce(c *policy.Config, value []byte) {
	s.config, s.publishDue = c, true
	s.instance.versions.Hold(c.Version, value)
}

// passOver logs a configuration that is older than the one in hand, once for each revision.
func (s *state) passOver(c configRead) {
	if c.revision >= s.revision || c.revision == s.passedOver {
		return
	}
	s.passedOver = c.revision
	s.instance.event(event.ConfigPassedOver, zap.Inline(c.revision), zap.Object("in_hand", s.revision), zap.Int64("version", s.config.Version), zap.Bool("by_peer", c.byPeer))
}

// keysUntil is how long a key may be honoured. What no node can read binds
// none, unless the deployment says that a key taken away must end all the same.
func (s *state) keysUntil() time.Time {
	b := s.instance.Settings.Bounds
	if b.StrictRevoke {
		return s.provedAt.Add(shareOf(keysShare, b.Revoke()))
	}
	known := s.provedAt
	if s.outageAt.After(known) {
		known = s.outageAt
	}
	return known.Add(shareOf(keysShare, b.Config()+b.Outer()))
}

// outageUntil is how long the store counts as down for all nodes.
func (s *state) outageUntil() time.Time { return s.outageAt.Add(outageFor) }

func shareOf(x float64, d time.Duration) time.Duration { return time.Duration(x * float64(d)) }

// troubled reports whether the store is or just was not to be relied on.
func (s *state) troubled(now time.Time) bool {
	return s.storeDown || !s.troubleAt.IsZero() && now.Sub(s.troubleAt) < troubleFor
}

// takeCall notes whether the store can be reached. A failure of a call that was
// sent before the last good answer says nothing new: it may come late.
func (s *state) takeCall(c storeCalled, now time.Time) {
	if c.ok {
		s.answeredAt = now
		if s.storeDown {
			s.storeDown = false
			s.instance.event(event.StoreBack)
			s.instance.rewatch()
		}
		return
	}
	if c.sent.Before(s.answeredAt) {
		return
	}
	s.troubleAt = now
	if !s.storeDown {
		s.storeDown, s.downAt = true, now
		s.instance.event(event.StoreDown)
	}
}

// outage reports whether the store has been down for longer than one call that
// failed by chance.
func (s *state) outage(now time.Time) bool {
	return s.storeDown && now.Sub(s.downAt) > leastOutage
}

func (s *state) takeEndpoints(items []store.Item, at store.Revision, now time.Time) {
	var servers []registry.Endpoint
	var odd []string
	for _, item := range items {
		id, ok := s.instance.Decoder.EndpointID(item.Key)
		if !ok {
			continue
		}
		if server, ok := s.decode(id, item, now); ok {
			servers = append(servers, server)
		} else {
			odd = append(odd, id)
		}
	}
	s.logChanges(s.registry.Replace(servers, odd, at, s.troubled(now), now))
	s.listed, s.publishDue = true, true
}

// decode reads a server's entry. One that can't be read names no server to use, and is
// logged once for each change; the others hold.
func (s *state) decode(id string, item store.Item, now time.Time) (registry.Endpoint, bool) {
	server, err := s.instance.Decoder.Endpoint(id, item.Value, now)
	if err == nil {
		server.Revision = item.Revision
		if s.registry.Outdated(server) {
			s.instance.event(event.EndpointPassedOver, zap.String("server", server.ID), zap.Inline(item.Revision), zap.Bool("leaving", server.Leaving))
		}
		return server, true
	}
	if s.registry.Withhold(id, item.Revision, now) != registry.None {
		s.instance.event(event.ServerOdd, zap.String("server", cut(id)), zap.Inline(item.Revision), zap.String("error", cut(err.Error())))
	}
	return registry.Endpoint{}, false
}

// oddText bounds what is logged of an entry that another wrote, in bytes.
const oddText = 200

func cut(text string) string { return text[:min(len(text), oddText)] }

func (s *state) takeEvents(events []store.Event, now time.Time) {
	var own []store.Event // of the product's own keys
	for _, e := range events {
		if e.Key == s.instance.Decoder.ConfigKey() {
			if !e.Gone {
				s.takeConfig(configRead{value: e.Value, revision: e.Revision}, now)
			}
		} else if id, ok := s.instance.Decoder.EndpointID(e.Key); ok {
			s.takeEndpoint(id, e, now)
		} else if strings.HasPrefix(e.Key, s.instance.Decoder.OperatorPrefix()) {
			s.takeOrder(e)
		} else {
			own = append(own, e)
		}
	}
	if len(own) > 0 {
		for _, e := range own {
			if !e.Gone {
				s.rollouts.takeRecord(e.Item)
			}
		}
		s.members.take(own, now)
		s.publishDue = true
	}
}

// takeOrder takes an order that a watch brought.
func (s *state) takeOrder(e store.Event) {
	if !e.Gone && s.rollouts.takeOrder(e.Item) {
		s.publishDue = true
	}
}

func (s *state) takeEndpoint(id string, e store.Event, now time.Time) {
	s.publishDue = true
	s.instance.watchProgress.Saw(e.Revision)
	if e.Gone {
		server, _ := s.registry.Find(id)
		s.logChanges([]registry.Event{{Change: s.registry.Remove(id, e.Revision, s.troubled(now), now), Endpoint: server}})
		return
	}
	if server, ok := s.decode(id, e.Item, now); ok {
		s.logChanges([]registry.Event{{Change: s.registry.Put(server, now), Endpoint: server}})
	}
}

var endpointEvents = map[registry.Change]event.Code{
	registry.Joined: event.ServerJoined, registry.Left: event.ServerLeaving,
	registry.Gone: event.ServerGone, registry.Absent: event.ServerAbsent,
	registry.Restarted: event.ServerRestarted, registry.Withheld: event.ServerWithheld,
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
	if s.withheld.revision != 0 && !s.settling(now) {
		s.takeConfig(s.withheld, now)
		s.withheld = configRead{}
		s.instance.refresh()
	}
	s.logChanges(s.registry.Expire(s.outage(now), now))
	if s.config != nil && !s.stale && now.After(s.keysUntil()) {
		s.stale = true
		s.instance.event(event.ConfigStale, zap.Int64("version", s.config.Version), zap.Duration("age", now.Sub(s.provedAt)))
	}
	if s.members.expire(now) {
		s.publishDue = true
	}
	s.instance.admission.tick(s.members.count(), now)
}

// publish shows a new view. Most differ in the proof of the configuration alone: the servers
// are taken from the last one unless the registry's list has changed.
func (s *state) publish() {
	s.publishDue = false
	if list := s.registry.List(); s.takers.byService == nil || !sameList(list, s.takers.of) {
		s.takers = takersOf(list)
	}
	v := &forward.View{
		Config: s.config, ProvedAt: s.provedAt, ReadAt: s.readAt, KeysUntil: s.keysUntil(), OutageUntil: s.outageUntil(), Instances: s.members.count(), Leaving: s.leaving,
		Listed: s.takers.all, Endpoints: maps.Clone(s.takers.byService), Trial: make(map[string][]registry.Endpoint), Rollouts: make(map[string]rollout.Record),
	}
	s.divide(v)
	s.instance.view.Store(v)
	if !s.knows && s.config != nil && s.listed {
		s.knows = true
		close(s.instance.knows)
	}
}

// divide divides the endpoints of a view as roll-outs ask for.
func (s *state) divide(v *forward.View) {
	if !s.instance.rollouts.Enabled() {
		return
	}
	now := s.instance.Clock.Now()
	known := []rollctl.Known{}
	for service, servers := range v.Endpoints {
		if k := s.rollouts.divide(v, service, servers, now); k != nil {
			known = append(known, *k)
		}
	}
	s.instance.knownRollouts.Store(&known)
}
