package front

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// Times of the doors.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	headerBytes    = 16 << 10
	firstKnown     = 1500 * time.Millisecond // clients wait in the queue until the configuration and the servers are known
	quietAfter     = 2500 * time.Millisecond // no new connections come so long after a node is not ready
	drainShare     = 0.9                     // of the grace that requests may take to end
	lookWhileDrain = 50 * time.Millisecond
)

// serveClients begins to serve clients, by the limits of the configuration.
func (n *Instance) serveClients(ctx context.Context, l net.Listener) *http.Server {
	select {
	case <-n.knows:
	case <-ctx.Done():
	case <-n.Clock.After(firstKnown):
	}
	s := &http.Server{
		Handler: n.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	if c := n.view.Load().Config; c != nil {
		if c.Limits.HeaderTimeout > 0 {
			s.ReadHeaderTimeout = c.Limits.HeaderTimeout
		}
		if c.Limits.IdleTimeout > 0 {
			s.IdleTimeout = c.Limits.IdleTimeout
		}
		if c.Limits.HeaderBytes > 0 {
			s.MaxHeaderBytes = c.Limits.HeaderBytes
		}
	}
	go func() { _ = s.Serve(l) }()
	return s
}

// drain finishes what clients have sent. The node is not ready from now on, and
// answers close their connections; only when no new connections come is the
// door closed.
func (n *Instance) drain(clients *http.Server) {
	begun := n.Clock.Now()
	end := begun.Add(shareOf(drainShare, n.Settings.Bounds.Grace()))
	n.leaving.Store(true)
	n.state.send(leave{})
	n.event(event.Stopping, zap.Time("by", end))
	time.Sleep(quietAfter)
	ctx, cancel := context.WithTimeout(context.Background(), n.Clock.Until(end))
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		_ = clients.Close()
	}
}

// serveReady answers the platform's readiness check: whether this node takes connections.
func (n *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready(n.Clock.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether this node can serve as well as any: it is not stopping
// and reads the store, or no other node does either.
func (n *Instance) ready(now time.Time) bool {
	v := n.view.Load()
	if n.leaving.Load() || v.Config == nil {
		return false
	}
	return now.Sub(v.ReadAt) < readyFor || now.Before(v.OutageUntil)
}

func (n *Instance) serveMetrics() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.metrics.Handler())
	mux.HandleFunc("GET "+QuarantinePath, n.suspects.serveList)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{fingerprint}", n.suspects.serveLift)
	return mux
}
