// Package front runs an instance in the front role, which forwards requests of clients to
// endpoints.
//
// One goroutine (state.go) owns the control state and publishes immutable views for the request
// path. Others follow the store (follow.go), exchange soft state with the other instances
// (share.go), perform the duties of the elected leader (duties.go), and serve clients. All run
// under a supervisor.
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
	"github.com/shelfcrank/shelfcrank/internal/brittle"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/hub"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/listen"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/reach"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/resume"
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

// Decoder decodes the entries that operators and endpoints write to the store.
type Decoder interface {
	OperatorPrefix() string // of the operators' entries
	ConfigKey() string      // of the configuration, below OperatorPrefix
	EndpointPrefix() string // of the endpoints' entries
	OwnPrefix() string      // of the keys that instances write
	Config(value []byte) (*policy.Config, error)
	EndpointID(key string) (string, bool)
	Endpoint(id string, value []byte, now time.Time) (registry.Endpoint, error)
	// Order decodes a roll-out order; false if the key is not one of an order.
	Order(key string, value []byte) (rollout.Order, bool, error)
	// Status encodes the progress of a roll-out for the operators.
	Status(r rollout.Record) (key string, value []byte, err error)
}

// Cloud is the platform's interface for usage reports and capacity orders, which only the leader
// calls.
type Cloud interface {
	ReportUsage(ctx context.Context, d duty.Token, window int64, counts map[string]int64) error
	Order(ctx context.Context, d duty.Token, service, hall string, desired int, spot bool) error
}

// Options are the settings and dependencies of an instance.
type Options struct {
	Settings settings.Front
	Net      netx.Network
	Store    Store
	Cloud    Cloud
	Decoder  Decoder
	Protocol forward.Protocol
	Clock    *clock.Clock // may be nil
	Log      *zap.Logger
	Seed     uint64                         // of the random number generators
	Reload   <-chan os.Signal               // requests a reload of the settings; may be nil
	Reread   func() (settings.Front, error) // loads the settings again; nil where they can't change
}

// Instance is a running instance in the front role.
type Instance struct {
	Options
	start             time.Time
	injector          do.Injector
	metrics           *metrics.Metrics
	state             *state
	view              atomic.Pointer[forward.View]
	walltime          *walltime.Clock
	peers             *peer.Transport
	proxyPeers        *peer.Transport // sessions of their own for requests that others serve: their bodies must not hold up control messages
	proxy             *peerproxy.Client
	proxied           *peerproxy.Acceptor // requests of others
	paths             *reach.Tracker
	brittle           *brittle.Table
	backends          *backend.Client
	notices           *notice.Table // what endpoints announced in their answers
	limits            *ratelimit.Table
	loads             *loadreport.Table // what endpoints reported of their load
	scheduledServices *event.ServiceLog
	tracker           *balance.Tracker
	admission         *admission
	elector           *duty.Elector
	handler           *forward.Handler
	intake            *intake.Intake                  // of clients
	clients           atomic.Pointer[listen.Acceptor] // nil until it serves
	placer            *placer
	suspects          *suspects
	streams           *resume.Directory // at which versions streams began
	versionRecorder   *resume.Recorder
	rollouts          *rollctl.Control
	knownRollouts     atomic.Pointer[[]rollctl.ServiceRollout]
	hub               *hub.Mirror
	callers           hub.Callers // instances that read the store through this one
	bootstrap         *bootstrap
	groups            *groups
	versions          *version.Tracker
	watchProgress     mirror.StallDetector
	reading           atomic.Bool  // this instance reads the store itself
	registered        atomic.Bool  // the store is believed to hold this instance's registration
	registrationDue   atomic.Bool  // this instance has begun to register
	revision          atomic.Int64 // of the configuration's item held, a store.Revision
	standIn           *standIn     // requests of others to read the store in place of the readers
	leaving           atomic.Bool
	watchReset        atomic.Pointer[signal] // fired to restart the watches
	refreshed         atomic.Pointer[signal] // fired by the next refresh
	synced            chan struct{}          // closed when a configuration and the endpoints are known
}

// incarnation identifies this run of the instance: its start time in Unix nanoseconds.
func (n *Instance) incarnation() int64 { return n.start.UnixNano() }

// Margins within the configured bounds.
const (
	revokeBoundShare = 0.88                    // share of the bound after which a revoked key must not work that a proof is trusted for
	denialProofAge   = 2200 * time.Millisecond // maximum age of the proof by which unknown routes and keys are denied
	readyProofAge    = 3000 * time.Millisecond // maximum age of the last regular read of the configuration for an instance to be ready
)

// New creates an instance; Run starts it.
func New(o Options) (*Instance, error) {
	n := &Instance{Options: o, start: o.Clock.Now(), injector: do.New(), synced: make(chan struct{}), standIn: newStandIn(o.Clock), hub: hub.New(o.Decoder.ConfigKey(), o.Clock), groups: newGroups(), versions: version.New()}
	n.walltime = walltime.New(n.start)
	n.view.Store(&forward.View{Instances: 1})
	n.watchReset.Store(newSignal())
	n.refreshed.Store(newSignal())
	n.notices = notice.New(notice.Options{OnChange: n.onNotice, TimeOfDay: n.walltime.At})
	n.limits = newLimits(n)
	n.loads = loadreport.New()
	n.scheduledServices = event.NewServiceLog(n.event)
	n.bootstrap = newBootstrap(n)
	n.paths = reach.New()
	n.brittle = newBrittle(n)
	n.placer = newPlacer(n)
	n.suspects = newSuspects(n)
	n.rollouts = rollctl.New(rollout.Bound{Share: o.Settings.Bounds.ExposeShare, Slack: o.Settings.Bounds.ExposeSlack}, n.source(), rand.New(rand.NewPCG(o.Seed, seedRollouts)), o.Clock)
	n.knownRollouts.Store(&[]rollctl.ServiceRollout{})
	n.intake = intake.New(o.Settings.Intake(), o.Clock.Now)
	n.provide()
	var err error
	if n.metrics, err = do.Invoke[*metrics.Metrics](n.injector); err != nil {
		return nil, fmt.Errorf("create instance: %w", err)
	}
	n.peers = do.MustInvoke[*peer.Transport](n.injector)
	n.streams = resume.New(resume.Options{Peers: n.peers, Self: n.self(), Others: n.others, Registered: n.registered.Load, Current: n.isCurrent, List: n.listVersions, Clock: o.Clock, Store: o.Store, Prefix: o.Decoder.OwnPrefix(), WritesPerSecond: o.Settings.StoreWritesPerSecond})
	n.proxy = do.MustInvoke[*peerproxy.Client](n.injector)
	n.backends = do.MustInvoke[*backend.Client](n.injector)
	n.tracker = do.MustInvoke[*balance.Tracker](n.injector)
	n.admission = do.MustInvoke[*admission](n.injector)
	n.elector = do.MustInvoke[*duty.Elector](n.injector)
	n.handler = do.MustInvoke[*forward.Handler](n.injector)
	n.versionRecorder = resume.NewRecorder(resume.RecorderOptions{Directory: n.streams, Leader: n.elector, LeaderKey: n.elector.Key, Store: o.Store, Key: o.Decoder.OwnPrefix() + keyVersions})
	n.proxied = peerproxy.NewAcceptor(o.Settings.Proxied(), http.HandlerFunc(n.handler.ServeProxied))
	n.state = newState(n)
	n.peers.SetHandler(n)
	n.peers.SetCrossHallFunc(n.inOtherHall)
	n.proxyPeers.SetCrossHallFunc(n.inOtherHall)
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
	do.Provide(n.injector, func(do.Injector) (*peer.Transport, error) { return peer.New(o.Net, s.Name, nil, o.Clock), nil })
	n.proxyPeers = peer.New(o.Net, s.Name, nil, o.Clock)
	do.Provide(n.injector, func(do.Injector) (*peerproxy.Client, error) {
		return peerproxy.NewClient(peerproxy.ClientOptions{Peers: n.proxyPeers, Others: n.others, Hall: s.Hall, Clock: o.Clock, Log: o.Log}), nil
	})
	do.Provide(n.injector, func(do.Injector) (*backend.Client, error) {
		return backend.New(backend.Options{Net: o.Net, Protocol: o.Protocol, Notices: n.notices, Limits: n.limits, Loads: n.loads, Paths: n.paths, Brittle: n.brittle, Clock: o.Clock}), nil
	})
	do.Provide(n.injector, func(do.Injector) (*balance.Tracker, error) {
		return balance.NewTracker(balance.WithLoadReports(n.balancedLoads()), balance.WithQueueReports(n.loads)), nil
	})
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
			Protocol: o.Protocol, View: n.view.Load, Backends: n.backends, Paths: n.paths, Proxy: n.proxy, Placer: n.placer, Admission: n.admission, Origins: n.streams, Quarantine: n.suspects,
			Bodies: n.intake.Bodies, Shares: n.intake.Shares, Clock: o.Clock, Log: o.Log, Metrics: n.metrics, ConfigFreshFor: denialProofAge,
			Fingerprints: s.Overload.Admission,
		}), nil
	})
}

// balancedLoads returns the table of the loads that count in the choice of an endpoint, nil if they do
// not count.
func (n *Instance) balancedLoads() *loadreport.Table {
	if !n.Settings.Overload.LoadReports {
		return nil
	}
	return n.loads
}

// Store keys below OwnPrefix. Keys below live/ are watched by all instances; the others change
// too often to be watched.
const (
	keyLive      = "live/"
	keyLeader    = keyLive + "leader"
	keyInstances = keyLive + "nodes/"
	keyDirectory = keyLive + "readers/"
	keyRollouts  = keyLive + "rollouts/"
	keyVersions  = keyLive + "versions"
	keyUsage     = "usage/"
	keyOpen      = "open-usage"
	keyEra       = "era"
)

// Second seed words of the random number generators.
const (
	seedElector   = 0x9e3779b9
	seedAdmission = 0x85ebca6b
	seedRollouts  = 0xc2b2ae35
	seedBootstrap = 0x27d4eb2f
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

// component is a goroutine of the instance that the supervisor runs.
type component struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (p component) Serve(ctx context.Context) error { return p.run(ctx) }

// String names the component in events.
func (p component) String() string { return p.name }

// Run serves until ctx ends, then finishes the requests that it has accepted and stops.
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
	ended := n.supervisorTree(listeners[2]).ServeBackground(work)
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	go func() { _ = ready.Serve(listeners[1]) }()
	metricsServer := &http.Server{Handler: n.serveMetrics(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = metricsServer.Serve(listeners[3]) }()
	if err := n.Clock.Err(); err != nil {
		n.event(event.ClockExcludesSuspensions, zap.Error(err))
	}
	go n.proxied.Run()
	n.event(event.Started, zap.String("node", s.Name), zap.Stringer("front", s.Front), zap.Int64("incarnation", n.incarnation()))
	clients := n.serveClients(ctx, listeners[0])
	<-ctx.Done()
	n.drain(clients)
	_ = ready.Close()
	_ = metricsServer.Close()
	stop()
	n.peers.Close()
	n.proxyPeers.Close()
	<-ended
	n.backends.CloseIdle()
	_ = n.injector.Shutdown()
	n.event(event.Stopped)
	return nil
}

func (n *Instance) supervisorTree(peers net.Listener) *suture.Supervisor {
	spec := suture.Spec{
		EventHook: n.onSupervisorEvent, Timeout: stopTimeout,
		FailureBackoff: failureBackoff, FailureThreshold: failuresToBackoff,
	}
	root := suture.New("front", spec)
	for _, p := range []component{
		{"state", n.state.Serve},
		{"follow store", n.followStore},
		{"ask peers", n.proveThroughPeers},
		{"versions", n.fetchVersions},
		{"register", n.register},
		{"peers", func(ctx context.Context) error { return n.peers.Serve(ctx, peers) }},
		{"share", n.shareState},
		{"tell", n.broadcastUses},
		{"notes", n.placer.sendNotes},
		{"plain notes", n.placer.sendPlainNotes},
		{"suspects", n.suspects.sendUpdates},
		{"elector", n.elector.Run},
		{"usage", n.reportUsage},
		{"open usage", n.saveOpenUsage},
		{"fleet", n.scaleEndpoints},
		{"roll-outs", n.leadRollouts},
		{"stream origins", n.streams.Run},
		{"versions of services", n.versionRecorder.Run},
		{"paths", n.checkPaths},
		{"upkeep", n.maintain},
		{"reload", n.reload},
	} {
		root.Add(p)
	}
	return root
}

func (n *Instance) onSupervisorEvent(e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServiceTerminate, suture.EventTypeServicePanic:
		n.event(event.ChildRestarted, zap.String("what", e.String()))
	}
}

const maintenanceInterval = time.Second

// maintain periodically closes unused connections and drops state of endpoints that are no longer
// in use.
func (n *Instance) maintain(ctx context.Context) error {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			now := n.Clock.Now()
			inUse := n.endpointsInUse()
			used := func(id string) bool { return inUse[id] }
			n.backends.CloseUnused(now, used)
			n.notices.Expire(n.isListedName(), now)
			n.limits.Expire(used, now)
			n.tracker.Forget(used)
			n.loads.Forget(used)
			n.placer.expire(used, now)
			n.observeScheduled(now)
			n.suspects.expire(used, now)
			n.streams.Maintain(now)
			n.peers.CloseIdle(now)
			n.proxyPeers.CloseIdle(now)
			n.proxy.Expire(now)
			n.paths.Forget(used)
			n.brittle.Expire(used, now)
			n.intake.Maintain(n.event)
			n.clients.Load().Apply(listen.LimitsOf(n.view.Load().Config))
		}
	}
}

// onResume handles the end of a stall, in which this process or its host did not run. Most state
// needs no handling, as its age shows that it has to be received again. Watches are restarted,
// because their connections may be dead, and the configuration and the registration are renewed
// at once.
func (n *Instance) onResume(w clock.Resumption) {
	n.event(event.ProcessResumed, zap.Duration("stood", w.Stalled), zap.Duration("suspended", w.Suspended), zap.Int("ended", w.Ended), zap.Duration("config_age", n.Clock.Since(n.view.Load().OwnConfirmedAt)))
	n.refresh()
}

// refresh restarts the watches, and makes this instance read the configuration and renew its
// registration at once.
func (n *Instance) refresh() {
	n.restartWatches()
	n.refreshed.Swap(newSignal()).fire()
}

// inOtherHall reports whether another instance's address is in another hall.
func (n *Instance) inOtherHall(addr netip.AddrPort) bool {
	hall, known := (*n.state.members.halls.Load())[addr]
	return known && hall != n.Settings.Hall
}

// peerTraffic returns the volume of calls to other instances.
func (n *Instance) peerTraffic() []metrics.Traffic {
	var out []metrics.Traffic
	for f, v := range n.peers.Traffic() {
		out = append(out, metrics.Traffic{Kind: f.Kind, CrossHall: f.CrossHall, Calls: v.Calls, Sent: v.Sent, Received: v.Received})
	}
	return out
}

// onNotice handles a new announcement that an endpoint made in an answer.
func (n *Instance) onNotice(endpoint registry.Endpoint, announced notice.Notice, until time.Time) {
	if announced.Leaving {
		n.event(event.FrontEndpointReportedLeaving, zap.String("server", endpoint.ID), zap.Bool("listed", n.endpointsInUse()[endpoint.ID]))
		n.state.send(announcedLeaving{endpoint.ID})
	}
	if announced.Backoff > 0 {
		n.event(event.FrontEndpointBackoff, zap.String("server", endpoint.ID), zap.Duration("rest", announced.Backoff), zap.Time("until", until))
	}
}

// endpointsInUse returns the ids of all listed endpoints, including those that only some requests
// may go to.
func (n *Instance) endpointsInUse() map[string]bool {
	return n.listedBy(func(s registry.Endpoint) string { return s.ID })
}

// isListedName returns a test for the store ids, which are the same for all incarnations, of the
// endpoints in use.
func (n *Instance) isListedName() func(name string) bool {
	names := n.listedBy(func(s registry.Endpoint) string { return s.StoreID() })
	return func(name string) bool { return names[name] }
}

// listedBy returns the set of keys that a function derives from the endpoints in use.
func (n *Instance) listedBy(by func(registry.Endpoint) string) map[string]bool {
	return lo.SliceToMap(n.view.Load().Listed, func(s registry.Endpoint) (string, bool) { return by(s), true })
}

// reload loads the settings again on request. Settings such as addresses cannot change while the
// process runs, so a change is only logged.
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
			n.event(event.SettingsReloaded, zap.Bool("changed", err == nil && s != n.Settings), zap.Error(err))
		}
	}
}

// leadRollouts runs the roll-outs while this instance is the leader.
func (n *Instance) leadRollouts(ctx context.Context) error {
	if !n.rollouts.Enabled() {
		<-ctx.Done()
		return ctx.Err()
	}
	l := rollctl.Leader{Host: rolloutHost{n}, Control: n.rollouts, Store: n.Store}
	return l.Run(ctx)
}
