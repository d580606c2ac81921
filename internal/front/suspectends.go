package front

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// This file detects which endpoints end, and which requests were running on them.

// probeInterval is the minimum time between two probes of an endpoint.
const probeInterval = 10 * time.Millisecond

// probe checks whether an endpoint has ended.
type probe struct {
	startedAt time.Time
	done      chan struct{} // closed when ended is set
	ended     bool
}

// RunAborted implements forward.Quarantine. Endpoints that are leaving are ignored: they end as
// planned and interrupt the requests that are still running.
func (s *suspects) RunAborted(ctx context.Context, endpoint registry.Endpoint, r quarantine.Run) (ended bool) {
	if !s.instance.acceptsWork(endpoint) {
		return false
	}
	now := s.instance.Clock.Now()
	s.recordInterrupted(endpoint, r, now)
	if !s.hasEnded(ctx, endpoint, now) {
		return false
	}
	s.broadcast(s.table.EndpointEnded(endpoint.ID, s.instance.Clock.Now()))
	return true
}

// recordInterrupted records a run that was interrupted, by the endpoint or by the client.
func (s *suspects) recordInterrupted(endpoint registry.Endpoint, r quarantine.Run, at time.Time) {
	r.Endpoint, r.Name = endpoint.ID, endpoint.StoreID()
	s.broadcast(s.table.RunInterrupted(r, at))
}

// RunCancelled implements forward.Quarantine. The endpoint is not probed: it may end only later, and
// most endpoints do not. A later connection failure or the endpoint's next entry in the
// store shows it.
func (s *suspects) RunCancelled(endpoint registry.Endpoint, r quarantine.Run) {
	if s.instance.acceptsWork(endpoint) {
		s.recordInterrupted(endpoint, r, s.instance.Clock.Now())
	}
}

// acceptsWork reports whether an endpoint is listed and has not announced that it leaves.
func (n *Instance) acceptsWork(endpoint registry.Endpoint) bool {
	_, listed := lo.Find(n.view.Load().Listed, func(s registry.Endpoint) bool { return s.ID == endpoint.ID })
	return listed && !n.notices.Leaves(&endpoint)
}

// hasEnded probes whether an endpoint that interrupted a run at the time since has ended.
// Runs interrupted at about the same time share one probe.
func (s *suspects) hasEnded(ctx context.Context, endpoint registry.Endpoint, since time.Time) bool {
	s.mu.Lock()
	p := s.probes[endpoint.ID]
	if p == nil || !p.foundEnded() && p.startedAt.Before(since) && s.instance.Clock.Since(p.startedAt) > probeInterval {
		p = &probe{startedAt: s.instance.Clock.Now(), done: make(chan struct{})}
		s.probes[endpoint.ID] = p
		go func() {
			ctx := context.WithoutCancel(ctx)
			p.ended = s.instance.backends.ProbeEnded(ctx, endpoint) && s.instance.reachesOthers(ctx, endpoint)
			close(p.done)
		}()
	}
	s.mu.Unlock()
	select {
	case <-p.done:
		return p.ended
	case <-ctx.Done():
		return false
	}
}

// foundEnded reports whether the probe has finished and found that the endpoint has ended.
func (p *probe) foundEnded() bool {
	select {
	case <-p.done:
		return p.ended
	default:
		return false
	}
}

// ConnectionRefused implements forward.Quarantine.
func (s *suspects) ConnectionRefused(endpoint registry.Endpoint) {
	if !s.instance.acceptsWork(endpoint) || s.table.KnownEnded(endpoint.ID) {
		return
	}
	go func() {
		if s.instance.reachesOthers(context.Background(), endpoint) {
			s.broadcast(s.table.EndpointEnded(endpoint.ID, s.instance.Clock.Now()))
		}
	}()
}

// reachesOthers reports whether this instance has a path to an endpoint other than one that refused a
// connection. If it has none, the refusal says nothing about that endpoint: the paths are lost on this
// side. The instance may also find all endpoints ended; the store tells which did. The result is true if
// there is no other endpoint.
func (n *Instance) reachesOthers(ctx context.Context, refused registry.Endpoint) bool {
	others := n.paths.Sample(n.view.Load().Listed, refused.ID, n.Clock.Now())
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(others))
	for _, e := range others {
		go func() { results <- n.backends.ProbePath(ctx, e) }()
	}
	for range others {
		if <-results {
			return true
		}
	}
	return false
}

// AnswerBegun implements forward.Quarantine.
func (s *suspects) AnswerBegun(parts []quarantine.Fingerprint, endpoint registry.Endpoint) {
	s.broadcast(s.table.ClearParts(parts, endpoint.ID, s.instance.Clock.Now()))
}

// RunCompleted implements forward.Quarantine.
func (s *suspects) RunCompleted(f quarantine.Fingerprint, endpoint registry.Endpoint) {
	s.broadcast(s.table.ClearSuspect(f, endpoint.ID, s.instance.Clock.Now()))
}

// endpointChanged handles changes of endpoints' entries in the store.
func (s *suspects) endpointChanged(c registry.Event, now time.Time) {
	switch c.Change {
	case registry.Gone:
		if !c.Endpoint.Leaving {
			s.broadcast(s.table.EndpointEnded(c.Endpoint.ID, now))
		}
	case registry.Restarted:
		s.broadcast(s.table.EndpointRestarted(c.Endpoint.StoreID(), c.Endpoint.ID, now))
	}
}
