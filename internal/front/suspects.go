package front

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/gate"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Limits and timeouts for suspect requests.
const (
	maxSuspects      = 4096                  // about 1.2 MB
	permitTimeout    = 70 * time.Millisecond // then the next candidate is asked
	permitCandidates = 2                     // instances asked in turn for a permit
)

// suspects tracks the requests that were running on endpoints when these ended, and shares
// them with the other instances. It implements forward.Quarantine.
//
// An instance sends what it sees at once to the peers that track all ends: to all peers in a
// small fleet, to the hubs in a large one. Hubs forward to their group only the suspects
// that are restricted. A peer that missed an update or has restarted gets everything when it
// is next seen. Nothing is sent while no endpoint ends.
type suspects struct {
	instance      *Instance
	table         *quarantine.Table
	gate          *gate.Gate
	permits       *quarantine.Permits
	updatesQueued chan struct{} // signals sendUpdates; capacity 1

	mu     sync.Mutex
	probes map[string]*probe     // by id of the endpoint's incarnation; guarded by mu
	peers  map[string]*syncState // by name of the peer; guarded by mu
}

func newSuspects(n *Instance) *suspects {
	s := &suspects{
		instance: n, table: quarantine.New(quarantine.Options{Length: n.Settings.Quarantine(), MaxSuspects: maxSuspects}),
		permits: quarantine.NewPermits(), updatesQueued: make(chan struct{}, 1), probes: make(map[string]*probe), peers: make(map[string]*syncState),
	}
	s.gate = &gate.Gate{Table: s.table, Clock: n.Clock, Broadcast: s.broadcast}
	return s
}

var _ forward.Quarantine = (*suspects)(nil)

// MaySuspect implements forward.Quarantine.
func (s *suspects) MaySuspect(length int) bool { return s.table.MaybeSuspect(length) }

// MaySuspectParts implements forward.Quarantine.
func (s *suspects) MaySuspectParts() bool { return s.table.MaybeSuspectPart() }

// Check implements forward.Quarantine.
func (s *suspects) Check(subjects []quarantine.Fingerprint) error {
	return s.gate.Admit(subjects).Refused
}

// Enter implements forward.Quarantine. A suspect that may run in one place at a time first
// needs a permit from the instance that owns its fingerprint.
func (s *suspects) Enter(ctx context.Context, subjects []quarantine.Fingerprint, until time.Time) (leave func(decided bool), err error) {
	return s.gate.Enter(ctx, subjects, func(f quarantine.Fingerprint) func(time.Duration) {
		return s.acquireFromOwners(ctx, f, until.Add(quarantine.EndDetectionTimeout))
	})
}

// acquireFromOwners acquires the permit for a suspect. It returns nil if that is not granted.
func (s *suspects) acquireFromOwners(ctx context.Context, f quarantine.Fingerprint, until time.Time) (release func(keep time.Duration)) {
	for _, owner := range s.owners(f) {
		granted, err := s.acquire(ctx, owner, f, until)
		if err != nil {
			continue // the owner may be gone; ask the next one
		}
		if !granted {
			return nil
		}
		return func(keep time.Duration) { s.release(owner, f, keep) }
	}
	return nil
}

// owners returns the instances to ask for a permit, in order; the second is asked only if
// the first does not answer. Rendezvous hashing of the fingerprint picks them from all
// instances in a small fleet and from the hubs in a large one.
func (s *suspects) owners(f quarantine.Fingerprint) []topology.Member {
	all := s.peersTrackingEnds()
	if s.instance.tracksEnds() {
		all = append(all, s.instance.self())
	}
	by := lo.KeyBy(all, func(m topology.Member) string { return m.Name })
	order := rendezvous.Order(f.Hash(), lo.Keys(by))
	return lo.Map(order[:min(permitCandidates, len(order))], func(name string, _ int) topology.Member { return by[name] })
}

// peersTrackingEnds returns the peers that are sent all ends of endpoints: all peers in a
// small fleet, the other hubs in a large one.
func (s *suspects) peersTrackingEnds() []topology.Member {
	members := s.instance.state.members
	if hubs := members.topology().Hubs; len(hubs) > 0 {
		return lo.Filter(hubs, func(m topology.Member, _ int) bool { return m.Name != s.instance.Settings.Name })
	}
	return membersOf(members.list())
}

// tracksEnds reports whether this instance is sent all ends of endpoints.
func (n *Instance) tracksEnds() bool {
	t := n.state.members.topology()
	return len(t.Hubs) == 0 || t.IsHub
}

// acquire asks an owner for a permit to run a request until a time.
func (s *suspects) acquire(ctx context.Context, owner topology.Member, f quarantine.Fingerprint, until time.Time) (bool, error) {
	now := s.instance.Clock.Now()
	if owner.Name == s.instance.Settings.Name {
		return s.permits.Acquire(f, owner.Name, until, now), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	a, err := s.instance.peers.Call(ctx, owner.Addr, permitCall(f, until.Sub(now), false))
	if err != nil {
		return false, err
	}
	return a.GetPermit().GetGranted(), nil
}

// permitCall builds the call that acquires a permit, or with done set releases it. left is
// how long the permit lasts from now; on a release, how long it is still held.
func permitCall(f quarantine.Fingerprint, left time.Duration, done bool) *peerpb.Call {
	return &peerpb.Call{Body: &peerpb.Call_Permit{Permit: &peerpb.Permit{
		Sum: f.Sum[:], Length: int64(f.Length), Left: int64(left), Done: done,
	}}}
}

// release gives a permit back, which is held for keep from now. If the release is lost, the permit expires.
func (s *suspects) release(owner topology.Member, f quarantine.Fingerprint, keep time.Duration) {
	if owner.Name == s.instance.Settings.Name {
		s.permits.Release(f, owner.Name, s.instance.Clock.Now().Add(keep))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
		defer cancel()
		_, _ = s.instance.peers.Call(ctx, owner.Addr, permitCall(f, keep, true))
	}()
}

// servePermit answers a peer that acquires or releases a permit.
func (s *suspects) servePermit(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q, now := call.GetPermit(), s.instance.Clock.Now()
	f, ok := wire.DecodeFingerprint(q.Sum, q.Length)
	left := min(max(0, time.Duration(q.Left)), maxPermit)
	granted := false
	switch {
	case !ok:
	case q.Done:
		s.permits.Release(f, call.From, now.Add(left))
	default:
		v, _ := s.table.Verdict(f, now)
		granted = v != quarantine.Refused && s.permits.Acquire(f, call.From, now.Add(left), now)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Permit{Permit: &peerpb.PermitAnswer{Granted: granted}}})
}

// maxPermit bounds how long a permit lasts; no request may take longer.
const maxPermit = 10 * time.Minute

// expire drops expired suspects and permits, probes of endpoints no longer wanted, and the
// sync state of peers that left.
func (s *suspects) expire(wanted func(endpoint string) bool, now time.Time) {
	s.table.Expire(now)
	s.permits.Expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.probes {
		if !wanted(id) {
			delete(s.probes, id)
		}
	}
	members := make(map[string]bool)
	for _, m := range s.instance.state.members.list() {
		members[m.Name] = true
	}
	for name := range s.peers {
		if !members[name] {
			delete(s.peers, name)
		}
	}
}
