// Package entry wires and runs an entry instance.
//
// A dependency injector builds the parts. A supervisor tree runs the clock, the
// control loop, the watchers of the platform, the peer connections and the
// background tasks for requests, and restarts a task that fails, with backoff.
// A watchdog reports a control loop that hangs. The HTTP server for callers
// runs outside the tree.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/control"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/kv"
	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/platform"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Options configure an entry instance.
type Options struct {
	Settings  settings.Entry
	Net       netx.Network
	Log       *zap.Logger
	Seed      uint64       // seed of the random numbers
	CallerTLS *tls.Config  // for the callers' listener; nil for plain text
	PeerTLS   *tls.Config  // for connections between entry instances; nil for plain text
	Clock     *clock.Clock // may be nil
	Switches  relay.Switches
}

// Instance is an entry instance. New makes one and Run serves with it.
type Instance struct {
	opts         Options
	id           string
	injector     do.Injector
	loop         *control.Loop
	peers        *peer.Transport
	relay        *relay.Relay
	gateway      *gateway.Gateway
	store        *kv.Client
	editor       *table.Editor
	platform     *platform.Client
	endpoints    *endpoint.Client
	transport    *netx.HTTPTransport
	metrics      *metrics.Metrics
	heartbeatSeq atomic.Uint64
	storeOK      atomic.Bool
	list         atomic.Pointer[[]platform.Instance]
	heartbeatNow chan struct{} // requests a heartbeat at once; capacity 1
	reclaimed    chan struct{} // closed when a reclaim notice for this instance has arrived
}

// ID returns the ID of the instance with this name that starts at this time. A later start under
// the same name has a higher ID.
func ID(name string, start time.Time) string {
	return name + "#" + strconv.FormatInt(start.UnixNano(), 36)
}

// New wires an entry instance; Run starts it.
func New(o Options) (*Instance, error) {
	i := &Instance{opts: o, id: ID(o.Settings.Name, o.Clock.Now()), injector: do.New(), heartbeatNow: make(chan struct{}, 1), reclaimed: make(chan struct{})}
	i.list.Store(&[]platform.Instance{})
	i.provide()
	var err error
	if i.metrics, err = do.Invoke[*metrics.Metrics](i.injector); err != nil {
		return nil, fmt.Errorf("wire entry instance: %w", err)
	}
	i.transport = do.MustInvoke[*netx.HTTPTransport](i.injector)
	i.loop = do.MustInvoke[*control.Loop](i.injector)
	i.peers = do.MustInvoke[*peer.Transport](i.injector)
	i.store = do.MustInvoke[*kv.Client](i.injector)
	i.platform = do.MustInvoke[*platform.Client](i.injector)
	i.endpoints = do.MustInvoke[*endpoint.Client](i.injector)
	i.editor = do.MustInvoke[*table.Editor](i.injector)
	i.relay = do.MustInvoke[*relay.Relay](i.injector)
	i.gateway = do.MustInvoke[*gateway.Gateway](i.injector)
	i.peers.SetHandler(i)
	i.storeOK.Store(true)
	return i, nil
}

func (i *Instance) provide() {
	o, s := i.opts, i.opts.Settings
	do.Provide(i.injector, func(do.Injector) (*netx.HTTPTransport, error) { return netx.Transport(o.Net), nil })
	do.Provide(i.injector, func(do.Injector) (*control.Loop, error) {
		return control.New(member.Member{ID: i.id, Name: s.Name, Hall: s.Hall, Addr: s.Peer}, o.Clock), nil
	})
	do.Provide(i.injector, func(do.Injector) (*peer.Transport, error) { return peer.New(o.Net, i.id, o.PeerTLS, o.Clock), nil })
	do.Provide(i.injector, func(in do.Injector) (*kv.Client, error) {
		return kv.New(s.Store, do.MustInvoke[*netx.HTTPTransport](in), kv.TotalRateLimits), nil
	})
	do.Provide(i.injector, func(in do.Injector) (*platform.Client, error) {
		return platform.New(s.List, do.MustInvoke[*netx.HTTPTransport](in)), nil
	})
	do.Provide(i.injector, func(in do.Injector) (*endpoint.Client, error) {
		return endpoint.New(do.MustInvoke[*netx.HTTPTransport](in)), nil
	})
	do.Provide(i.injector, func(in do.Injector) (*table.Editor, error) {
		return table.NewEditor(do.MustInvoke[*kv.Client](in), platform.KeyTable), nil
	})
	do.Provide(i.injector, func(do.Injector) (*metrics.Metrics, error) {
		return metrics.New(metrics.Gauges{
			Records: func() int64 { return int64(i.relay.Store().Len()) },
			Claims:  func() int64 { return int64(i.relay.Claims()) },
			Table:   func() int64 { return int64(i.loop.Snapshot().Self.TableRevision) },
			Members: func() int64 { return int64(len(i.loop.Snapshot().Members)) },
		})
	})
	do.Provide(i.injector, func(in do.Injector) (*relay.Relay, error) {
		return relay.New(relay.Options{
			Self: i.id, Hall: s.Hall, Log: o.Log, Clock: o.Clock, Seed: o.Seed, Switches: o.Switches,
			Peers:     do.MustInvoke[*peer.Transport](in),
			Endpoints: do.MustInvoke[*endpoint.Client](in),
			Control:   do.MustInvoke[*control.Loop](in),
			Metrics:   do.MustInvoke[*metrics.Metrics](in),
		}), nil
	})
	do.Provide(i.injector, func(in do.Injector) (*gateway.Gateway, error) {
		return gateway.New(gateway.Options{
			Snapshot: do.MustInvoke[*control.Loop](in).Snapshot,
			Relay:    do.MustInvoke[*relay.Relay](in),
			Operator: i, Ready: i.ready,
			Metrics: do.MustInvoke[*metrics.Metrics](in).Handler(), Clock: o.Clock,
		}), nil
	})
}

// InstanceID returns the instance's ID among its peers.
func (i *Instance) InstanceID() string { return i.id }

// Relay returns the relay, for tests and embedded instances.
func (i *Instance) Relay() *relay.Relay { return i.relay }

// Snapshot returns the newest published control state.
func (i *Instance) Snapshot() *control.Snapshot { return i.loop.Snapshot() }

func (i *Instance) event(c event.Code, fields ...zap.Field) {
	event.Log(i.opts.Log, c, fields...)
	i.metrics.Event(int(c))
}

const (
	stopTimeout       = 2 * time.Second
	headerTimeout     = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	shutdownTimeout   = time.Second
	failureBackoff    = 500 * time.Millisecond
	failuresToBackoff = 5
)

// Run serves until ctx ends or a reclaim notice for this instance arrives. Then it drains the
// instance and stops it. It returns the number of requests that could neither finish nor be handed
// over.
func (i *Instance) Run(ctx context.Context) (left int, err error) {
	callers, err := i.opts.Net.Listen(i.opts.Settings.Caller)
	if err != nil {
		return 0, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err := i.opts.Net.Listen(i.opts.Settings.Peer)
	if err != nil {
		_ = callers.Close()
		return 0, fmt.Errorf("listen for peers: %w", err)
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := i.supervisorTree(peers)
	ended := tree.ServeBackground(runCtx)
	httpSrv := i.serveCallers(callers)
	i.event(event.Started, zap.String("instance", i.id), zap.Stringer("callers", i.opts.Settings.Caller))
	select {
	case <-ctx.Done():
		i.loop.Send(runCtx, control.Leave{})
	case <-i.reclaimed:
	}
	<-i.leavingPublished(runCtx)
	by := i.loop.Snapshot().ReclaimDeadline
	i.event(event.Stopping, zap.Time("by", by))
	left = i.relay.Leave(runCtx, by)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	go i.relay.Close()
	_ = httpSrv.Shutdown(shutdownCtx)
	_ = httpSrv.Close()
	stop()
	i.peers.Close()
	<-ended
	i.relay.Close()
	i.transport.CloseIdleConnections()
	_ = i.injector.Shutdown()
	i.event(event.Stopped, zap.Int("left", left))
	return left, nil
}

// leavingPublished returns a channel that is closed once the published snapshot says that the instance is
// leaving, or ctx ends.
func (i *Instance) leavingPublished(ctx context.Context) <-chan struct{} {
	seen := make(chan struct{})
	go func() {
		defer close(seen)
		for !i.loop.Snapshot().Leaving && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}()
	return seen
}

func (i *Instance) serveCallers(l net.Listener) *http.Server {
	if err := netx.LimitReceiveBuffer(l, intake.UnreadBytes); err != nil {
		i.event(event.ReceiveBufferNotLimited, zap.Error(err))
	}
	s := &http.Server{
		Handler: i.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(i.opts.Log),
	}
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetHTTP2(true)
	s.Protocols.SetUnencryptedHTTP2(i.opts.CallerTLS == nil)
	if i.opts.CallerTLS != nil {
		s.TLSConfig = i.opts.CallerTLS
		go func() { _ = s.ServeTLS(l, "", "") }()
		return s
	}
	go func() { _ = s.Serve(l) }()
	return s
}

// child is a task that the supervisor runs.
type child struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (c child) Serve(ctx context.Context) error { return c.serve(ctx) }

// String returns the name of the task for events.
func (c child) String() string { return c.name }

func (i *Instance) supervisorTree(peers net.Listener) *suture.Supervisor {
	spec := suture.Spec{
		EventHook: i.logRestart, Timeout: stopTimeout,
		FailureBackoff: failureBackoff, FailureThreshold: failuresToBackoff,
	}
	group := func(name string, children ...child) *suture.Supervisor {
		s := suture.New(name, spec)
		for _, c := range children {
			s.Add(c)
		}
		return s
	}
	root := suture.New("entry", spec)
	root.Add(child{"clock", i.watchClock})
	root.Add(group("control",
		child{"loop", i.loop.Serve},
		child{"effects", func(ctx context.Context) error { return i.loop.Effects(ctx, i.applyEffect) }},
		child{"watchdog", func(ctx context.Context) error {
			return i.loop.Watchdog(ctx, func() { i.event(event.ControlLoopStalled) })
		}},
	))
	root.Add(group("platform",
		child{"table", i.watchTable},
		child{"list", i.readList},
		child{"notices", i.watchNotices},
		child{"view", i.proposeViews},
	))
	root.Add(group("peers",
		child{"listener", func(ctx context.Context) error { return i.peers.Serve(ctx, peers) }},
		child{"heartbeat", i.heartbeats},
		child{"reports", i.pollReports},
	))
	root.Add(group("requests",
		child{"news", i.relay.PushUpdates},
		child{"expiry", i.relay.Expire},
		child{"claims", i.relay.PullClaims},
	))
	return root
}

// watchClock runs the clock, which detects that this process was stalled or its host suspended and
// then ends the contexts whose deadline has passed meanwhile, and logs each such resumption.
// Received state needs no handling then: its age shows that it is stale and must be received again.
func (i *Instance) watchClock(ctx context.Context) error {
	c := i.opts.Clock
	if c == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := c.Err(); err != nil {
		i.event(event.ClockExcludesSuspensions, zap.Error(err))
	}
	return c.Run(ctx, func(resumption clock.Resumption) {
		i.event(event.ProcessResumed, zap.Duration("stood", resumption.Stalled), zap.Duration("suspended", resumption.Suspended), zap.Int("ended", resumption.Ended))
	})
}

func (i *Instance) logRestart(e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServiceTerminate, suture.EventTypeServicePanic:
		i.event(event.ChildRestarted, zap.String("what", e.String()))
	}
}

// applyEffect handles the effects of the control loop.
func (i *Instance) applyEffect(e control.Effect) {
	i.relay.ApplyEffect(e)
	switch e := e.(type) {
	case control.TableActivated:
		i.event(event.TableInForce, zap.Uint64("revision", e.Revision))
		i.requestHeartbeat()
	case control.ViewActivated:
		i.requestHeartbeat()
	case control.MemberChanged:
		i.memberChanged(e)
	case control.EndpointJoined:
		i.event(event.EndpointJoined, zap.String("endpoint", e.Endpoint.ID))
	case control.EndpointLeaving:
		i.requestHeartbeat()
	case control.EndpointRemoved:
		i.event(event.EndpointGone, zap.String("endpoint", e.Endpoint.ID))
	case control.SelfLeaving:
		i.requestHeartbeat()
		if !e.By.IsZero() {
			close(i.reclaimed)
		}
	}
}

func (i *Instance) memberChanged(e control.MemberChanged) {
	c := e.Change
	i.store.SetProcessCount(1 + len(i.loop.Snapshot().Members))
	code := event.PeerJoined
	switch {
	case c.StartedLeaving:
		code = event.PeerLeaving
	case c.Member.State == member.Dead:
		code = event.PeerDead
		i.peers.CloseSession(c.Member.Addr)
	case c.Member.State == member.Suspect:
		code = event.PeerSuspect
	}
	i.event(code, zap.String("peer", c.Member.ID))
}

func (i *Instance) requestHeartbeat() {
	select {
	case i.heartbeatNow <- struct{}{}:
	default:
	}
}

var errNotReady = errors.New("not ready")

// ready returns nil if this instance accepts requests, else an error that says why not.
func (i *Instance) ready() error {
	s := i.loop.Snapshot()
	switch {
	case s.Leaving:
		return fmt.Errorf("%w: leaving", errNotReady)
	case !i.loop.Alive(i.opts.Clock.Now()):
		return fmt.Errorf("%w: the control loop does not answer", errNotReady)
	case s.Table == nil:
		return fmt.Errorf("%w: no table received yet", errNotReady)
	case s.View == nil:
		return fmt.Errorf("%w: no view received yet", errNotReady)
	case len(s.Members) == 0 && len(control.Seeds(*i.list.Load(), i.opts.Settings.Name)) > 0:
		return fmt.Errorf("%w: no peer found yet", errNotReady)
	}
	return nil
}
