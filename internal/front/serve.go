package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/listen"
	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// Time-outs and limits of the listeners.
const (
	headerTimeout      = 3 * time.Second         // of the readiness check and the metrics
	initialSyncTimeout = 1500 * time.Millisecond // how long clients wait in the listener's queue until the configuration and the endpoints are known
	drainDelay         = 2500 * time.Millisecond // time after an instance is not ready until no new connections arrive
	drainShare         = 0.9                     // share of the grace period in which requests may finish
	drainMargin        = 100 * time.Millisecond  // before the end of that time, and after it, so that responses sent then still arrive
)

// serveClients starts the client listener with the limits of the configuration.
func (n *Instance) serveClients(ctx context.Context, l net.Listener) *listen.Acceptor {
	if err := netx.LimitReceiveBuffer(l, intake.UnreadBytes); err != nil {
		n.event(event.ReceiveBufferNotLimited, zap.Error(err))
	}
	select {
	case <-n.synced:
	case <-ctx.Done():
	case <-n.Clock.After(initialSyncTimeout):
	}
	s := listen.New(n.intake.Connections.Listener(l), n.handler, n.intake.Connections.StateChanged)
	s.Apply(listen.LimitsOf(n.view.Load().Config))
	n.clients.Store(s)
	return s
}

// drain finishes the requests of clients. From now on the instance is not ready, answers close their connections, and
// requests that may not end in time are refused; the listener is closed when no new connections are expected.
func (n *Instance) drain(clients *listen.Acceptor) {
	begun := n.Clock.Now()
	end := begun.Add(fractionOf(drainShare, n.Settings.Bounds.Grace()))
	n.leaving.Store(true)
	n.state.send(drainStarted{servesUntil: end.Add(-drainMargin)})
	n.proxied.Refuse()
	n.event(event.Stopping, zap.Time("by", end))
	time.Sleep(min(drainDelay, n.Clock.Until(end)))
	ctx, cancel := context.WithTimeout(context.Background(), n.Clock.Until(end))
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { n.proxied.Shutdown(ctx) })
	if err := clients.Shutdown(ctx); err != nil {
		clients.Abort(forward.ErrShutdown, drainMargin)
	}
	wait.Wait()
}

// serveReady answers the readiness check by which the platform decides whether this instance gets new connections.
func (n *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready(n.Clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether this instance can serve as well as any other: it is not stopping, and
// either reads the store or no other instance can read it.
func (n *Instance) ready(now time.Time) bool {
	return !n.leaving.Load() && n.view.Load().Config != nil && n.isCurrent(now)
}

// isCurrent reports whether the view is that of the store, or of the time at which the store went down for all
// instances.
func (n *Instance) isCurrent(now time.Time) bool {
	v := n.view.Load()
	return now.Sub(v.OwnConfirmedAt) < readyProofAge || now.Before(v.OutageUntil)
}

func (n *Instance) serveMetrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET "+QuarantinePath, n.suspects.serveList)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", n.suspects.serveLift)
	return mux
}
