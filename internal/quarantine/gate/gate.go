// Package gate applies the decisions of a quarantine.Table to requests before they run.
package gate

import (
	"context"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
)

// Times of a wait for a decision.
const (
	poll         = 10 * time.Millisecond // between two looks at the table
	maxUndecided = 2 * quarantine.SettleTime
	// acquireInterval is the time between two tries to acquire the permit for a part of prompts while another run holds it.
	acquireInterval = 50 * time.Millisecond
)

// Gate is safe for concurrent use.
type Gate struct {
	Table *quarantine.Table
	Clock *clock.Clock
	// Broadcast logs changes of suspects and sends them to other instances.
	Broadcast func([]quarantine.Change)
}

// Admit decides how a request with these subjects may run now.
func (g *Gate) Admit(subjects []quarantine.Fingerprint) quarantine.Admission {
	now := g.Clock.Now()
	g.Broadcast(g.Table.NameParts(now))
	return g.Table.Admit(subjects, now)
}

// Wait is Admit, but waits for a moment in which runs elsewhere may clear subjects that are undecided. ok is
// false if ctx ends.
func (g *Gate) Wait(ctx context.Context, subjects []quarantine.Fingerprint) (a quarantine.Admission, ok bool) {
	until := g.Clock.Now().Add(maxUndecided)
	for a = g.Admit(subjects); a.Undecided && g.Clock.Now().Before(until); a = g.Admit(subjects) {
		if !g.Clock.Sleep(ctx, poll) {
			return a, false
		}
	}
	return a, true
}

// Enter decides whether a request with these subjects may run, and acquires the permits that it needs. It waits for a
// moment in which runs elsewhere may clear them: those that began before subjects were kept back, and the one that holds
// the permit for a part of the prompt. leave, which may be nil, is to be called when the run is over.
func (g *Gate) Enter(ctx context.Context, subjects []quarantine.Fingerprint, acquire Acquire) (leave func(decided bool), err error) {
	var release func(keep time.Duration)
	for until := g.Clock.Now().Add(maxUndecided); ; {
		a, ok := g.Wait(ctx, subjects)
		if !ok || a.Refused != nil || len(a.Serialized) == 0 {
			return nil, a.Refused
		}
		if release, err = g.acquireAll(a.Serialized, acquire); err == nil {
			break
		}
		if r, _ := quarantine.AsRefused(err); !r.Fingerprint.IsPart() || !g.Clock.Now().Before(until) || !g.Clock.Sleep(ctx, acquireInterval) {
			return nil, err
		}
	}
	if err := g.Admit(subjects).Refused; err != nil { // quarantined while permits were requested
		release(0)
		return nil, err
	}
	return func(decided bool) { release(keepAfter(decided)) }, nil
}

// Acquire acquires a permit for the run of a suspect. It returns nil if another run is in progress. keep is how long the
// permit is still held after its release.
type Acquire func(f quarantine.Fingerprint) (release func(keep time.Duration))

// keepAfter returns how long the permit of a run that is over is still held. Otherwise further runs would start before
// the end that it caused is known: where the outcome is known here, the other instances learn of it within SettleTime.
func keepAfter(decided bool) time.Duration {
	if decided {
		return quarantine.SettleTime
	}
	return quarantine.EndDetectionTimeout
}

// acquireAll acquires the permits for all suspects that a request has, or none. It returns an error if another run
// of one of them is in progress.
func (g *Gate) acquireAll(suspects []quarantine.Fingerprint, acquire Acquire) (release func(keep time.Duration), err error) {
	var releases []func(keep time.Duration)
	release = func(keep time.Duration) {
		for _, r := range releases {
			r(keep)
		}
	}
	for _, f := range suspects {
		r := acquire(f)
		if r == nil {
			release(0)
			return nil, g.Table.AnotherRuns(f)
		}
		releases = append(releases, r)
	}
	return release, nil
}
