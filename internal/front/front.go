// Package front runs a node that stands between clients and servers.
//
// One goroutine (state.go) owns the control state and publishes immutable
// views for traffic. Others follow the store (follow.go), exchange soft state
// with the other nodes (share.go), do the duties of the one node that acts for
// all (duties.go), and serve clients. All run under a supervisor.
package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/hub"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/version"
	"github.com/shelfcrank/shelfcrank/internal/walltime"
)

// Store is the platform's metadata store.
type Store interface {
	store.Reader
	store.Writer
}

// Decoder reads what the operators and the servers write to the store.
type Decoder interface {
	OperatorPrefix() string // of what the operators write
	ConfigKey() string      // of the configuration, below that
	EndpointPrefix() string // of the servers' entries
	OwnPrefix() string      // of the keys that the product writes
	Config(value []byte) (*policy.Config, error)
	EndpointID(key string) (string, bool)
	Endpoint(id string, value []byte, now time.Time) (registry.Endpoint, error)
	// Order decodes the order of a roll-out; false if the key is none of one.
	Order(key string, value []byte) (rollout.Order, bool, error)
	// Status encodes how far a roll-out is, for the operators.
	Status(r rollout.Record) (key string, value []byte, err error)
}

// Cloud takes the orders of the node that acts for all.
type Cloud interface {
	ReportUsage(ctx context.Context, d duty.Token, window int64, counts map[string]int64) error
	Order(ctx context.Context, d duty.Token, service, hall string, desired int, spot bool) error
}

// Options are what a node is made of.
type Options struct {
	Settings settings.Front
	Net      netx.Network
	Store    Store
	Cloud    Cloud
	Decoder  Decoder
	Protocol forward.Protocol
	Clock    *clock.Clock // may be nil
	Log      *zap.Logger
	Seed     uint64                         // of the random numbers
	Reload   <-chan os.Signal               // asks for the settings to be read again; may be nil
	Reread   func() (settings.Front, error) // reads the settings again; nil where they can't change
}

// Instance is a running node.
type Instance struct {
	Options
	start         time.Time
	injector      do.Injector
	metrics       *metrics.Metrics
	state         *state
	view          atomic.Pointer[forward.View]
	walltime      *walltime.Clock
	peers         *peer.Instance
	backends      *backend.Client
	notices       *notice.Table // what endpoints said of themselves in their answers
	limits        *ratelimit.Table
	tracker       *balance.Tracker
	admission     *admission
	elector       *duty.Elector
	handler       *forward.Handler
	placer        *placer
	suspects      *suspects
	rollouts      *rollctl.Control
	knownRollouts atomic.Pointer[[]rollctl.Known]
	hub           *hub.Mirror
	groups        *groups
	versions      *version.Tracker
	watchProgress mirror.Progress
	reading       atomic.Bool  // this node reads the store itself
	registered    atomic.Bool  // the store has this node's registration, as far as is known
	revision      atomic.Int64 // of the configuration's item in hand, a store.Revision
	standIn       *standIn     // whether it reads the store in place of the readers
	leaving       atomic.Bool
	outage        atomic.Pointer[outage] // ends with the next outage of the store
	resumed       atomic.Pointer[outage] // ends with the next refresh
	knows         chan struct{}          // closed when a configuration and the servers are known
}

// incarnation distinguishes this start of the instance from earlier ones.
func (n *Instance) incarnation() int64 { return n.start.UnixNano() }

// Parts of the bounds that the node keeps to.
const (
	keysShare = 0.88 // of the time after which what was taken away must not work
	certain   = 2200 * time.Millisecond
	readyFor  = 3000 * time.Millisecond // after the last proof of the configuration
)

// New wires a node; Run starts it.
func New(o Options) (*Instance, error) {
	n := &Instance{Options: o, start: o.Clock.Now(), injector: do.New(), knows: make(chan struct{}), standIn: newStandIn(o.Clock), hub: hub.New(o.Decoder.ConfigKey(), o.Clock), groups: newGroups(), versions: version.New()}
	n.walltime = walltime.New(n.start)
	n.view.Store(&forward.View{Instances: 1})
	n.outage.Store(newOutage())
	n.resumed.Store(newOutage())
	n.notices = notice.New(notice.Options{Changed: n.noticed, TimeOfDay: n.walltime.At})
	n.limits = newLimits(n)
	n.placer = newPlacer(n)
	n.suspects = newSuspects(n)
	n.rollouts = rollctl.New(rollout.Bound{Share: o.Settings.Bounds.ExposeShare, Slack: o.Settings.Bounds.ExposeSlack}, n.run(), rand.New(rand.NewPCG(o.Seed, seedRollouts)), o.Clock)
	n.knownRollouts.Store(&[]rollctl.Known{})
	n.provide()
	var err error
	if n.metrics, err = do.Invoke[*metrics.Metrics](n.injector); err != nil {
		return nil, fmt.Errorf("wire node: %w", err)
	}
	n.peers = do.MustInvoke[*peer.Instance](n.injector)
	n.backends = do.MustInvoke[*backend.Client](n.injector)
	n.tracker = do.MustInvoke[*balance.Tracker](n.injector)
	n.admission = do.MustInvoke[*admission](n.injector)
	n.elector = do.MustInvoke[*duty.Elector](n.injector)
	n.handler = do.MustInvoke[*forward.Handler](n.injector)
	n.state = newState(n)
	n.peers.SetHandler(n)
	n.peers.SetCrosses(n.inOtherHall)
	return n, nil
}

func (n *Instance) provide() {
	o, s := n.Options, n.Options.Settings
	do.Provide(n.injector, func(do.Injector) (*metrics.Metrics, error) {
		return metrics.New(metrics.Gauges{
			Records: func() int64 { return 0 },
			Claims:  func() int64 { return 0 },
			Table:   func() int64 { return n.version() },
			Members: func() int64 { return int64(n.view.Load().Instances - 1) },
			Traffic: n.peerTraffic,
		})
	})
	do.Provide(n.injector, func(do.Injector) (*peer.Instance, error) { return peer.New(o.Net, s.Name, nil, o.Clock), nil })
	do.Provide(n.injector, func(do.Injector) (*backend.Client, error) {
		return backend.New(backend.Options{Net: o.Net, Protocol: o.Protocol, Notices: n.notices, Limits: n.limits, Clock: o.Clock}), nil
	})
	do.Provide(n.injector, func(do.Injector) (*balance.Tracker, error) { return balance.NewTracker(), nil })
	do.Provide(n.injector, func(do.Injector) (*admission, error) { return newAdmission(n), nil })
	do.Provide(n.injector, func(do.Injector) (*duty.Elector, error) {
		return duty.New(duty.Options{
			Instance: s.Name, Value: fmt.Appendf(nil, "%s %d", s.Name, n.incarnation()),
			Key: o.Decoder.OwnPrefix() + keyLeader, TTL: s.Bounds.Lease(), Store: o.Store, Clock: o.Clock, Log: o.Log,
			Rand: rand.New(rand.NewPCG(o.Seed, seedElector)), Eligible: n.mayLead,
		}), nil
	})
	do.Provide(n.injector, func(do.Injector) (*forward.Handler, error) {
		return forward.New(forward.Options{
			Protocol: o.Protocol, View: n.view.Load, Backends: n.backends, Placer: n.placer, Admission: n.admission, Quarantine: n.suspects,
			Clock: o.Clock, Log: o.Log, Metrics: n.metrics, CertainFor: certain,
		}), nil
	})
}

// Keys of the store below the product's own prefix. Those below live/ are
// watched by all nodes; the others change too often for that.
const (
	keyLive      = "live/"
	keyLeader    = keyLive + "leader"
	keyInstances = keyLive + "nodes/"
	keyRollouts  = keyLive + "rollouts/"
	keyUsage     = "usage/"
	keyOpen      = "open-usage"
	keyEra       = "era"
)

// Second halves of the seeds of random numbers.
const (
	seedElector   = 0x9e3779b9
	seedAdmission = 0x85ebca6b
	seedRollouts  = 0xc2b2ae35
)

func (n *Instance) version() int64 {
	if c := n.view.Load().Config; c != nil {
		return c.Version
	}
	return 0
}

func (n *Instance) event(c event.Code, fields ...zap.Field) {
	event.Log(n.Log, c, fields...)
	n.metrics.Event(int(c))
}

const (
	stopTimeout       = 2 * time.Second
	failureBackoff    = 500 * time.Millisecond
	failuresToBackoff = 5
)

// part is a part of the node that the supervisor runs.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String names the part in events.
func (p part) String() string { return p.name }

// Run serves until ctx ends, then finishes what it has taken and stops.
func (n *Instance) Run(ctx context.Context) error {
	s := n.Settings
	listeners := make([]net.Listener, 0, 4)
	for _, addr := range []netip.AddrPort{s.Front, s.Ready, s.Peer, s.Metrics} {
		l, err := n.Net.Listen(addr)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return fmt.Errorf("listen at %s: %w", addr, err)
		}
		listeners = append(listeners, l)
	}
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := n.tree(listeners[2]).ServeBackground(work)
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	go func() { _ = ready.Serve(listeners[1]) }()
	figures := &http.Server{Handler: n.serveMetrics(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = figures.Serve(listeners[3]) }()
	if err := n.Clock.Err(); err != nil {
		n.event(event.ClockStandsStill, zap.Error(err))
	}
	n.event(event.Started, zap.String("node", s.Name), zap.Stringer("front", s.Front), zap.Int64("incarnation", n.incarnation()))
	clients := n.serveClients(ctx, listeners[0])
	<-ctx.Done()
	n.drain(clients)
	_ = ready.Close()
	_ = figures.Close()
	stop()
	n.peers.Close()
	<-ended
	n.backends.CloseIdle()
	_ = n.injector.Shutdown()
	n.event(event.Stopped)
	return nil
}

func (n *Instance) tree(peers net.Listener) *suture.Supervisor {
	spec := suture.Spec{
		EventHook: n.supervised, Timeout: stopTimeout,
		FailureBackoff: failureBackoff, FailureThreshold: failuresToBackoff,
	}
	root := suture.New("front", spec)
	for _, p := range []part{
		{"state", n.state.Serve},
		{"follow store", n.followStore},
		{"ask peers", n.proveThroughPeers},
		{"versions", n.fetchVersions},
		{"register", n.register},
		{"peers", func(ctx context.Context) error { return n.peers.Serve(ctx, peers) }},
		{"share", n.shareState},
		{"tell", n.broadcastUses},
		{"notes", n.placer.sendNotes},
		{"suspects", n.suspects.sendUpdates},
		{"elector", n.elector.Run},
		{"usage", n.reportUsage},
		{"open usage", n.keepOpenUsage},
		{"fleet", n.orderEndpoints},
		{"roll-outs", n.leadRollouts},
		{"upkeep", n.upkeep},
		{"reload", n.reload},
	} {
		root.Add(p)
	}
	return root
}

func (n *Instance) supervised(e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServiceTerminate, suture.EventTypeServicePanic:
		n.event(event.ChildRestarted, zap.String("what", e.String()))
	}
}

const upkeepEvery = time.Second

// upkeep closes connections that are not wanted any more.
func (n *Instance) upkeep(ctx context.Context) error {
	t := time.NewTicker(upkeepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			now := n.Clock.Now()
			inUse := n.endpointsInUse()
			is := func(id string) bool { return inUse[id] }
			n.backends.Tidy(now, is)
			n.notices.Forget(n.listedNames(), now)
			n.limits.Expire(is, now)
			n.tracker.Forget(is)
			n.placer.tidy(is, now)
			n.suspects.tidy(is, now)
			n.peers.Tidy(now)
		}
	}
}

// longStandstill is the shortest standstill after which the others no longer count with this
// node, nor it with them.
const longStandstill = shareTTLLeast

// onResume handles a standstill of this node. Most of the state needs nothing then: its
// age says that it has to be received anew. Watches are begun anew, whose connections may be dead, and
// what keeps this node proved and registered is done at once.
func (n *Instance) onResume(w clock.Resumption) {
	n.event(event.Resumed, zap.Duration("stood", w.Stood), zap.Duration("suspended", w.Suspended), zap.Int("ended", w.Ended), zap.Duration("config_age", n.Clock.Since(n.view.Load().ReadAt)))
	if w.Stood >= longStandstill {
		n.admission.resume(n.Clock.Now())
	}
	n.refresh()
}

// refresh begins the watches anew, and does at once what keeps this node proved and registered.
func (n *Instance) refresh() {
	n.rewatch()
	n.resumed.Swap(newOutage()).end()
}

// inOtherHall reports whether another instance's address is in another hall.
func (n *Instance) inOtherHall(addr netip.AddrPort) bool {
	hall, known := (*n.state.members.halls.Load())[addr]
	return known && hall != n.Settings.Hall
}

// peerTraffic returns what the calls to other instances took.
func (n *Instance) peerTraffic() []metrics.Traffic {
	var out []metrics.Traffic
	for f, v := range n.peers.Traffic() {
		out = append(out, metrics.Traffic{Kind: f.Kind, Crosses: f.Crosses, Calls: v.Calls, Sent: v.Sent, Received: v.Received})
	}
	return out
}

// noticed takes something new that an endpoint said of itself in an answer.
func (n *Instance) noticed(endpoint registry.Endpoint, said notice.Notice, until time.Time) {
	if said.Leaving {
		n.event(event.ServerSaysLeaving, zap.String("server", endpoint.ID), zap.Bool("listed", n.endpointsInUse()[endpoint.ID]))
		n.state.send(announcedLeaving{endpoint.ID})
	}
	if said.RestFor > 0 {
		n.event(event.ServerAsksRest, zap.String("server", endpoint.ID), zap.Duration("rest", said.RestFor), zap.Time("until", until))
	}
}

// endpointsInUse returns the ids of all servers that may have connections and requests,
// whichever the requests that they may get.
func (n *Instance) endpointsInUse() map[string]bool {
	return n.listed(func(s registry.Endpoint) string { return s.ID })
}

// listedNames returns a test for the ids over all incarnations of the servers in use.
func (n *Instance) listedNames() func(name string) bool {
	names := n.listed(func(s registry.Endpoint) string { return s.StoreID() })
	return func(name string) bool { return names[name] }
}

// listed returns the servers in use by a name.
func (n *Instance) listed(by func(registry.Endpoint) string) map[string]bool {
	return lo.SliceToMap(n.view.Load().Listed, func(s registry.Endpoint) (string, bool) { return by(s), true })
}

// reload reads the settings again when asked to. Addresses and the like cannot
// change while a process runs; a change is logged.
func (n *Instance) reload(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.Reload:
			if n.Reread == nil {
				continue
			}
			s, err := n.Reread()
			n.event(event.Reloaded, zap.Bool("changed", err == nil && s != n.Settings), zap.Error(err))
		}
	}
}

// leadRollouts leads the roll-outs while this node acts for all.
func (n *Instance) leadRollouts(ctx context.Context) error {
	if !n.rollouts.Enabled() {
		<-ctx.Done()
		return ctx.Err()
	}
	l := rollctl.Leader{Host: rolloutHost{n}, Control: n.rollouts, Store: n.Store}
	return l.Run(ctx)
}
