package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/shelfcrank/shelfcrank/internal/directory"
)

// Times of reading through the directory.
const (
	// fleetKnownBy is the age of an instance at which most instances that started at the same time
	// read through the directory, so that their number can be estimated.
	fleetKnownBy = 400 * time.Millisecond
	// callersKnownAfter is how long after the first answer of a holder most instances that started at
	// the same time read through it.
	callersKnownAfter = 300 * time.Millisecond
	// membersKnownBy is the age at which all instances that started at the same time have registered.
	membersKnownBy = 8 * time.Second

	directoryReadInterval = 500 * time.Millisecond // while nobody on the directory answers
	minDirectoryRetry     = 150 * time.Millisecond
	maxDirectoryRetry     = 500 * time.Millisecond
	directoryRetryJitter  = 0.5
)

// throughDirectory follows the store through an instance of the directory. It returns when the role
// of this instance is known or when nobody on the list answers.
func (s *follower) throughDirectory(ctx context.Context) {
	n := s.instance
	b := n.bootstrap
	if err := s.readDirectory(ctx); err != nil {
		n.Clock.Sleep(ctx, s.directoryRetry.NextBackOff())
		return
	}
	for _, m := range b.directory().Others(n.Settings.Name) {
		if s.follow(ctx, m, false) || n.mustReadStore() {
			return
		}
	}
	now := n.Clock.Now()
	if s.claimAt.IsZero() {
		s.claimAt = now.Add(s.claimDelay())
	}
	if !s.mayClaim(now) {
		pause := s.directoryRetry.NextBackOff()
		if wait := s.claimAt.Sub(now); wait > 0 {
			pause = wait
		}
		n.Clock.Sleep(ctx, pause)
		return
	}
	s.claimAt = time.Time{}
	if b.claim(ctx, n.Clock.Since(s.lastAnswer) > hubAnswerTimeout) {
		b.observeSize(max(1, n.state.members.count()))
	}
}

// readDirectory reads the directory if the latest known one is old. The first read may be stale, which
// suffices in a fleet that has run for a while.
func (s *follower) readDirectory(ctx context.Context) error {
	b, now := s.instance.bootstrap, s.instance.Clock.Now()
	first := s.directoryReadAt.IsZero()
	if len(b.directory()) > 0 && now.Sub(s.directoryReadAt) < directoryReadInterval {
		return nil
	}
	s.directoryReadAt = now
	if first {
		return b.peek(ctx)
	}
	return b.read(ctx)
}

// mayClaim reports whether this instance should claim a slot after nobody on the directory has
// answered. If there are others on the list, they may just have started too.
func (s *follower) mayClaim(now time.Time) bool {
	n := s.instance
	d := n.bootstrap.directory()
	if e, ok := d.Claim(n.self()); ok && e.Revision != 0 {
		return true // its own, from an earlier incarnation
	}
	return !now.Before(s.claimAt) && (len(d) == 0 || now.Sub(s.lastAnswer) > hubAnswerTimeout)
}

// assessFleet estimates the size of the fleet from the number of callers that a holder of a slot
// has, unless the members of a large fleet are known. It is called after each answer.
func (s *follower) assessFleet(ctx context.Context, callers int) {
	n := s.instance
	b := n.bootstrap
	if n.grouped() {
		b.observeSize(n.state.members.count())
		return
	}
	now := n.Clock.Now()
	if s.answeredAt.IsZero() {
		s.answeredAt = now
	}
	if n.Clock.Since(n.start) < fleetKnownBy || now.Sub(s.answeredAt) < callersKnownAfter {
		return
	}
	if n.Clock.Since(n.start) > membersKnownBy { // the estimate may have counted holders that had ended
		b.observeSize(n.state.members.count())
		return
	}
	if s.fleetSize > 0 {
		return
	}
	s.fleetSize = max(b.directory().FleetSize(callers), n.state.members.count())
	b.observeSize(s.fleetSize)
	if !b.directory().Candidate(s.fleetSize, s.random.Float64()) {
		return
	}
	// Long polls end at the same time at many instances, so the delay is not left to the next answer.
	if n.Clock.Sleep(ctx, s.claimDelay()) && b.read(ctx) == nil && b.directory().Crowded(s.fleetSize) {
		b.claim(ctx, false)
	}
}

// claimDelay returns how long to wait before a claim.
func (s *follower) claimDelay() time.Duration {
	return directory.ClaimDelay(s.instance.Settings.Cores, s.random.Float64())
}

// newDirectoryRetry returns the backoff of reads of the directory. It has jitter, as all instances of
// a fleet may have started at the same moment.
func newDirectoryRetry() *backoff.ExponentialBackOff {
	b := newBackoff(minDirectoryRetry, maxDirectoryRetry)
	b.RandomizationFactor = directoryRetryJitter
	return b
}

// newBootstrapRand returns the random number generator of claims.
func (n *Instance) newBootstrapRand() *rand.Rand { return rand.New(rand.NewPCG(n.Seed, seedBootstrap)) }
