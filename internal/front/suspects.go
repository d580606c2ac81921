package front

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Bounds of the suspects.
const (
	mostSuspects  = 4096                  // some 1.2 MB
	permitTimeout = 70 * time.Millisecond // as for an offer; the next one is asked then
	permitAsked   = 2                     // instances that are asked for a permit
)

// suspects knows the requests under which servers end, and broadcasts them to the other instances. It
// implements forward.Quarantine.
//
// What an instance sees goes at once to all that count: to all others in a small fleet, to
// the hubs in a large one. Hubs pass on to their instances those that may not run freely. One
// that missed an update, or has started since, is synced when it is next
// seen. Nothing is sent while no server ends.
type suspects struct {
	instance *Instance
	table    *quarantine.Table
	permits  *quarantine.Permits
	kick     chan struct{} // updates are there; has room for one

	mu     sync.Mutex
	probes map[string]*probe     // by id of the incarnation; guarded by mu
	peers  map[string]*syncState // by name of the instance; guarded by mu
}

func newSuspects(n *Instance) *suspects {
	return &suspects{
		instance: n, table: quarantine.New(quarantine.Options{Length: n.Settings.Quarantine(), Most: mostSuspects}),
		permits: quarantine.NewPermits(), kick: make(chan struct{}, 1), probes: make(map[string]*probe), peers: make(map[string]*syncState),
	}
}

var _ forward.Quarantine = (*suspects)(nil)

// Knows implements forward.Quarantine.
func (s *suspects) Knows(length int) bool { return s.table.Knows(length) }

// Allows implements forward.Quarantine.
func (s *suspects) Allows(f quarantine.Fingerprint) error {
	if v, until := s.table.Verdict(f, s.instance.Clock.Now()); v == quarantine.Refused {
		return s.refused(f, until)
	}
	return nil
}

func (s *suspects) refused(f quarantine.Fingerprint, until time.Time) error {
	return &quarantine.RefusedError{Fingerprint: f, Ends: s.table.Ends(f), Until: until}
}

// Enter implements forward.Quarantine.
func (s *suspects) Enter(ctx context.Context, f quarantine.Fingerprint, until time.Time) (leave func(decided bool), err error) {
	switch v, end := s.table.Verdict(f, s.instance.Clock.Now()); v {
	case quarantine.Refused:
		return nil, s.refused(f, end)
	case quarantine.Free:
		return nil, nil
	}
	until = until.Add(quarantine.Undecided)
	for _, owner := range s.owners(f) {
		granted, err := s.acquire(ctx, owner, f, until)
		if err != nil {
			continue // it may be gone
		}
		if !granted {
			break
		}
		if v, end := s.table.Verdict(f, s.instance.Clock.Now()); v == quarantine.Refused { // received while it was asked
			s.release(owner, f, true)
			return nil, s.refused(f, end)
		}
		return func(decided bool) { s.release(owner, f, decided) }, nil
	}
	return nil, s.refused(f, time.Time{})
}

// owners returns the instances that give the permit for a request, the first of them
// while it answers: one of all in a small fleet, of the hubs in a large one.
func (s *suspects) owners(f quarantine.Fingerprint) []topology.Member {
	all := s.counting()
	if s.instance.counts() {
		all = append(all, s.instance.self())
	}
	by := lo.KeyBy(all, func(m topology.Member) string { return m.Name })
	order := rendezvous.Order(f.Hash(), lo.Keys(by))
	return lo.Map(order[:min(permitAsked, len(order))], func(name string, _ int) topology.Member { return by[name] })
}

// counting returns the other instances that learn of all ends of servers.
func (s *suspects) counting() []topology.Member {
	members := s.instance.state.members
	if hubs := members.topology().Hubs; len(hubs) > 0 {
		return lo.Filter(hubs, func(m topology.Member, _ int) bool { return m.Name != s.instance.Settings.Name })
	}
	return membersOf(members.list())
}

// counts reports whether this instance learns of all ends of servers.
func (n *Instance) counts() bool {
	t := n.state.members.topology()
	return len(t.Hubs) == 0 || t.Self
}

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

// permitCall asks for a permit, or says that its run is done, and for how long it counts.
func permitCall(f quarantine.Fingerprint, left time.Duration, done bool) *peerpb.Call {
	return &peerpb.Call{Body: &peerpb.Call_Permit{Permit: &peerpb.Permit{
		Sum: f.Sum[:], Length: int64(f.Length), Left: int64(left), Done: done,
	}}}
}

// release gives a permit back. One whose run is not decided is kept until it is: else one
// run after the other begins while it is not yet known that servers end under each. One that
// is lost on the way lapses.
func (s *suspects) release(owner topology.Member, f quarantine.Fingerprint, decided bool) {
	var keep time.Duration
	if !decided {
		keep = quarantine.Undecided
	}
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

// servePermit answers an instance that asks for a permit, or gives it back.
func (s *suspects) servePermit(call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	q, now := call.GetPermit(), s.instance.Clock.Now()
	f, ok := wire.Fingerprint(q.Sum, q.Length)
	left := min(max(0, time.Duration(q.Left)), longestRun)
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

// longestRun bounds a permit: no request is allowed more time.
const longestRun = 10 * time.Minute

// tidy drops what no longer matters.
func (s *suspects) tidy(wanted func(server string) bool, now time.Time) {
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
