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

// Times of getting a configuration from another instance.
const (
	versionLook  = 300 * time.Millisecond
	versionAfter = rewriteWithin   // that another instance has a later version which the store does not bring here
	versionStart = 5 * time.Second // an instance counts as starting
	fetchTimeout = time.Second
)

// peerConfig brings the configuration that another instance has in force.
type peerConfig struct {
	value []byte
	from  string
}

func (peerConfig) change() {}

// fetchVersions gets versions that are missing here, until ctx ends.
func (n *Instance) fetchVersions(ctx context.Context) error {
	for n.Clock.Sleep(ctx, versionLook) {
		from, ok := n.versions.Missing(n.Clock.Now(), n.versionPatience())
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

// versionPatience returns how long the store is given to bring a version that another instance
// has. Where it was restored, an instance that starts knows only what the store still has.
func (n *Instance) versionPatience() time.Duration {
	if n.Store.Era() > 0 && n.Clock.Since(n.start) < versionStart {
		return 0
	}
	return versionAfter
}

// fetchConfig asks an instance for the configuration in force there.
func (n *Instance) fetchConfig(ctx context.Context, from string) ([]byte, error) {
	for _, m := range n.state.members.list() {
		if m.Name != from {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		a, err := n.peers.Call(ctx, m.Addr, &peerpb.Call{Body: &peerpb.Call_FetchConfig{FetchConfig: &peerpb.FetchConfig{}}})
		if err != nil {
			return nil, fmt.Errorf("get the configuration from %s: %w", from, err)
		}
		return mirror.Unpack(a.GetConfig().GetPacked())
	}
	return nil, fault.New(fault.StepPeer, from, fault.KindNotFound, fault.NotRun, "no member any more")
}

// serveConfig answers with the configuration in force here.
func (n *Instance) serveConfig(answer func(*peerpb.Answer) error) error {
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Config{Config: &peerpb.ConfigAnswer{Packed: mirror.Pack(n.versions.Value())}}})
}

// takePeerConfig puts a later version in force that the store does not have.
func (s *state) takePeerConfig(c peerConfig) {
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
