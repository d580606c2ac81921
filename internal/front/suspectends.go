package front

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// How an instance finds out which servers end, and under which requests.

// probeEvery is how often a server is looked at, at the most.
const probeEvery = 10 * time.Millisecond

// probe is a look whether a server has ended.
type probe struct {
	begun time.Time
	done  chan struct{} // closed when ended is set
	ended bool
}

// Broke implements forward.Quarantine. Servers that were to end anyhow are not counted:
// they cut off what ran too long.
func (s *suspects) Broke(ctx context.Context, server registry.Endpoint, f quarantine.Fingerprint, account string) (ended bool) {
	if !s.instance.takesWork(server) {
		return false
	}
	now := s.instance.Clock.Now()
	s.cutOff(server, f, account, now)
	if !s.hasEnded(ctx, server, now) {
		return false
	}
	s.broadcast(s.table.EndpointEnded(server.ID, s.instance.Clock.Now()))
	return true
}

// cutOff takes note of a run that was cut off.
func (s *suspects) cutOff(server registry.Endpoint, f quarantine.Fingerprint, account string, at time.Time) {
	s.broadcast(s.table.Broke(quarantine.Run{Fingerprint: f, Endpoint: server.ID, Name: server.StoreID(), Account: account}, at))
}

// Left implements forward.Quarantine. Whether the server ends is not looked at: it may do so
// later, and most do not. The next request that it refuses or its next entry tells.
func (s *suspects) Left(server registry.Endpoint, f quarantine.Fingerprint, account string) {
	if s.instance.takesWork(server) {
		s.cutOff(server, f, account, s.instance.Clock.Now())
	}
}

// takesWork reports whether a server is listed and has not said that it leaves.
func (n *Instance) takesWork(server registry.Endpoint) bool {
	_, listed := lo.Find(n.view.Load().Listed, func(s registry.Endpoint) bool { return s.ID == server.ID })
	return listed && !n.notices.Leaves(&server)
}

// hasEnded looks whether a server has ended that cut a run off at a time. All that it cut
// off at once share one look.
func (s *suspects) hasEnded(ctx context.Context, server registry.Endpoint, since time.Time) bool {
	s.mu.Lock()
	p := s.probes[server.ID]
	if p == nil || !p.found() && p.begun.Before(since) && s.instance.Clock.Since(p.begun) > probeEvery {
		p = &probe{begun: s.instance.Clock.Now(), done: make(chan struct{})}
		s.probes[server.ID] = p
		go func() {
			p.ended = s.instance.backends.ProbeEnded(context.WithoutCancel(ctx), server)
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

// found reports whether the look is over and found that the server has ended.
func (p *probe) found() bool {
	select {
	case <-p.done:
		return p.ended
	default:
		return false
	}
}

// Unreached implements forward.Quarantine.
func (s *suspects) Unreached(server registry.Endpoint) {
	if s.instance.takesWork(server) {
		s.broadcast(s.table.EndpointEnded(server.ID, s.instance.Clock.Now()))
	}
}

// CameThrough implements forward.Quarantine.
func (s *suspects) CameThrough(f quarantine.Fingerprint, server registry.Endpoint) {
	s.broadcast(s.table.CameThrough(f, server.ID, s.instance.Clock.Now()))
}

// endpointChanged takes changes of servers' entries in the store.
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
