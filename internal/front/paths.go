package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/peer"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// pathCheckInterval is how often probes of unreachable endpoints are due.
const pathCheckInterval = 100 * time.Millisecond

// checkPaths probes the endpoints that count as unreachable, and logs when this instance loses its
// paths to all endpoints and when it has one again.
func (n *Instance) checkPaths(ctx context.Context) error {
	var lostAt time.Time // zero while there are paths
	for n.Clock.Sleep(ctx, pathCheckInterval) {
		n.probePaths(ctx, n.paths.Due(n.view.Load().Listed, n.Clock.Now()))
		unreachable, listed := n.paths.Unreachable()
		switch lost := listed > 0 && unreachable == listed; {
		case lost && lostAt.IsZero():
			lostAt = n.Clock.Now()
			n.event(event.PathsLost, zap.Int("endpoints", listed), zap.Bool("in_row", n.paths.Lost()))
		case !lost && !lostAt.IsZero():
			n.event(event.PathsRestored, zap.Int("endpoints", listed), zap.Int("unreachable", unreachable), zap.Duration("for", n.Clock.Since(lostAt)))
			lostAt = time.Time{}
		}
	}
	return ctx.Err()
}

// probePaths connects to endpoints, all at the same time.
func (n *Instance) probePaths(ctx context.Context, endpoints []registry.Endpoint) {
	if len(endpoints) == 0 {
		return
	}
	var succeeded atomic.Int64
	var wait sync.WaitGroup
	for _, e := range endpoints {
		wait.Go(func() {
			if n.backends.ProbePath(ctx, e) {
				succeeded.Add(1)
			}
		})
	}
	wait.Wait()
	n.paths.Probed(len(endpoints), int(succeeded.Load()))
}

// others returns the other instances.
func (n *Instance) others() []topology.Member { return membersOf(n.state.members.list()) }

// HandleStream implements peer.StreamHandler. It serves a request of an instance that has no path to
// an endpoint.
func (n *Instance) HandleStream(_ context.Context, call *peerpb.Call, stream net.Conn) bool {
	request := peerproxy.FromCall(call, n.Clock.Now())
	if request == nil {
		return false
	}
	release, err := n.reserveProxied(request)
	if err != nil {
		_ = peer.Refuse(stream, err)
		return true
	}
	defer release()
	if err := peer.Accept(stream); err != nil {
		return true
	}
	n.event(event.ProxiedAccepted, zap.String("peer", call.From), zap.String("service", request.Service), zap.Time("deadline", request.Deadline), zap.Int("open", n.proxied.Open()))
	n.proxied.Serve(stream, request)
	return true
}

// reserveProxied reserves room for a request of another instance, if this one can serve it.
func (n *Instance) reserveProxied(r *peerproxy.Request) (release func(), err error) {
	if n.leaving.Load() {
		return nil, peerproxy.ErrLeaving
	}
	endpoints := n.view.Load().Endpoints[r.Service]
	if r.Resumes {
		endpoints = n.view.Load().EndpointsOf(r.Service, r.Version)
	}
	if len(n.available(n.paths.Reachable(endpoints), n.Clock.Now())) == 0 {
		return nil, peerproxy.ErrNoPath
	}
	return n.proxied.Reserve()
}
