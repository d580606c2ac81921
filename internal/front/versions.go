package front

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/mirror"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// Intervals and time-outs for fetching a configuration from another instance.
const (
	versionCheckInterval = 300 * time.Millisecond
	versionGrace         = restoreSettleTime // how long the store has to deliver a later version that another instance holds
	startupPeriod        = 5 * time.Second   // how long after its start an instance counts as starting
	fetchTimeout         = time.Second
)

// peerConfig carries the configuration that another instance has in force.
type peerConfig struct {
	value []byte
	from  string
}

func (peerConfig) change() {}

// fetchVersions fetches newer configurations that only other instances have, until ctx ends.
func (n *Instance) fetchVersions(ctx context.Context) error {
	for n.Clock.Sleep(ctx, versionCheckInterval) {
		from, ok := n.versions.Missing(n.Clock.Now(), n.missingVersionGrace())
		if !ok {
			continue
		}
		value, err := n.fetchConfig(ctx, from)
		if err != nil {
			n.versions.Forget(from)
			n.event(event.ConfigRejected, zap.String("peer", from), zap.Error(err))
			continue
		}
		n.state.send(peerConfig{value, from})
	}
	return ctx.Err()
}

// missingVersionGrace returns how long to wait for the store to deliver a version that another
// instance has. An instance that starts after a restore of the store does not wait: it has only
// the configuration that the restored copy holds.
func (n *Instance) missingVersionGrace() time.Duration {
	if n.Store.Era() > 0 && n.Clock.Since(n.start) < startupPeriod {
		return 0
	}
	return versionGrace
}

// fetchConfig requests the configuration in force at another instance.
func (n *Instance) fetchConfig(ctx context.Context, from string) ([]byte, error) {
	for _, m := range n.state.members.list() {
		if m.Name != from {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		a, err := n.peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_FetchConfig{FetchConfig: &peerpb.FetchConfig{}}})
		if err != nil {
			return nil, fmt.Errorf("fetch configuration from %s: %w", from, err)
		}
		return mirror.Unpack(a.GetConfig().GetPacked())
	}
	return nil, fault.New(fault.StepPeer, from, fault.KindNotFound, fault.NotRun, "no longer a member")
}

// serveConfig answers with the configuration in force here.
func (n *Instance) serveConfig(answer func(*peerpb.Answer) error) error {
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Config{Config: &peerpb.ConfigAnswer{Packed: mirror.Pack(n.versions.Config())}}})
}

// applyPeerConfig puts a later version in force that the store does not have.
func (s *state) applyPeerConfig(c peerConfig) {
	next, err := s.instance.Decoder.Config(c.value)
	if err != nil {
		s.instance.versions.Forget(c.from)
		s.instance.event(event.ConfigRejected, zap.String("peer", c.from), zap.Error(err))
		return
	}
	if s.config != nil && next.Version <= s.config.Version {
		s.instance.versions.Forget(c.from)
		return
	}
	s.putInForce(next, c.value)
	s.behind = true
	s.instance.event(event.ConfigInForce, zap.Int64("version", next.Version), zap.String("peer", c.from))
}
