package front

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
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

// versions keeps the instances at the same version of the configuration where the store does
// not: it may have lost a version that is in force, so that an instance which starts reads an
// older one there. Instances advertise their versions, and one that has long been behind gets
// the configuration from the other. It is safe for concurrent use.
type versions struct {
	clock   *clock.Clock
	inForce atomic.Pointer[heldConfig]

	mu    sync.Mutex
	later laterVersion // guarded by mu
}

// heldConfig is the configuration in force, as the operators wrote it.
type heldConfig struct {
	version int64
	value   []byte
}

// laterVersion is the latest version that another instance advertised.
type laterVersion struct {
	version int64
	at      string    // instance
	since   time.Time // when a version after the one in force here was first advertised; zero if none is
}

func newVersions(c *clock.Clock) *versions {
	v := &versions{clock: c}
	v.inForce.Store(&heldConfig{})
	return v
}

// own returns the version in force here, 0 if there is none.
func (v *versions) own() int64 { return v.inForce.Load().version }

func (v *versions) hold(version int64, value []byte) { v.inForce.Store(&heldConfig{version, value}) }

// advertised takes the version that another instance has in force.
func (v *versions) advertised(from string, version int64, now time.Time) {
	if version <= v.own() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.later.since.IsZero() || v.later.version <= v.own() {
		v.later.since = now
	}
	v.later.version, v.later.at = max(version, v.later.version), from
}

// missing returns the instance to get a version from that has been missing here for a time.
func (v *versions) missing(now time.Time, after time.Duration) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.later.version <= v.own() || now.Sub(v.later.since) < after {
		return "", false
	}
	return v.later.at, true
}

// peerConfig brings the configuration that another instance has in force.
type peerConfig struct {
	value []byte
	from  string
}

func (peerConfig) change() {}

// fetchVersions gets versions that are missing here, until ctx ends.
func (n *Instance) fetchVersions(ctx context.Context) error {
	for n.Clock.Sleep(ctx, versionLook) {
		from, ok := n.versions.missing(n.Clock.Now(), n.versionPatience())
		if !ok {
			continue
		}
		value, err := n.fetchConfig(ctx, from)
		if err != nil {
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
	held := n.versions.inForce.Load()
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Config{Config: &peerpb.ConfigAnswer{Packed: mirror.Pack(held.value)}}})
}

// takePeerConfig puts a later version in force that the store does not have.
func (s *state) takePeerConfig(c peerConfig) {
	next, err := s.instance.Decoder.Config(c.value)
	if err != nil {
		s.instance.event(event.ConfigRejected, zap.String("peer", c.from), zap.Error(err))
		return
	}
	if s.config != nil && next.Version <= s.config.Version {
		return
	}
	s.putInForce(next, c.value)
	s.behind = true
	s.instance.event(event.ConfigInForce, zap.Int64("version", next.Version), zap.String("peer", c.from))
}
