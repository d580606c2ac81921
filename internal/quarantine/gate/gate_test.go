package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// suspectGate returns a gate by which requests with the part "p" run one at a time, as does the request f.
func suspectGate(now time.Time) (g *Gate, f, part quarantine.Fingerprint) {
	g = &Gate{Table: quarantine.New(quarantine.Options{Length: time.Minute, MaxSuspects: 100}), Broadcast: func([]quarantine.Change) {}}
	f, part = quarantine.Fingerprint{Length: 7}, quarantine.OfPart("p")
	for _, endpoint := range []string{"e1", "e2"} {
		g.Table.RunInterrupted(quarantine.Run{Fingerprint: f, Endpoint: endpoint, Name: endpoint, Parts: []string{"p"}}, now)
		g.Table.EndpointEnded(endpoint, now)
	}
	return g, f, part
}

// Guards against sound requests that are refused because another one with the same part of their prompt runs, which is
// about to clear the part.
func TestARequestWaitsForTheRunThatClearsAPartOfItsPrompt(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _, part := suspectGate(time.Now())
		time.Sleep(quarantine.SettleTime)
		time.AfterFunc(100*time.Millisecond, func() { g.Table.ClearSuspect(part, "e3", time.Now()) })
		began, asked := time.Now(), 0
		leave, err := g.Enter(context.Background(), []quarantine.Fingerprint{part}, func(quarantine.Fingerprint) func(time.Duration) {
			asked++
			return nil // the other run holds the permit
		})
		is.NoErr(err)
		is.True(leave == nil) // no permit is needed
		is.True(time.Since(began) <= 100*time.Millisecond+acquireInterval)
		is.True(asked <= 4)
	})
}

// Guards against requests that wait for as long as a run hangs, and against repetitions of a suspect request that wait at all.
func TestARequestIsRefusedWhereTheOtherRunDecidesNothing(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, f, part := suspectGate(time.Now())
		time.Sleep(quarantine.SettleTime)
		enter := func(subject quarantine.Fingerprint) time.Duration {
			began := time.Now()
			_, err := g.Enter(context.Background(), []quarantine.Fingerprint{subject}, func(quarantine.Fingerprint) func(time.Duration) { return nil })
			_, refused := quarantine.AsRefused(err)
			is.True(refused)
			return time.Since(began)
		}
		is.True(enter(part) <= maxUndecided+acquireInterval)
		is.Equal(enter(f), time.Duration(0))
	})
}

// Guards against a second run of a part that is not cleared, before the first gives its permit back.
func TestARequestThatWaitedNeedsThePermit(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _, part := suspectGate(time.Now())
		time.Sleep(quarantine.SettleTime)
		free, released := time.Now().Add(120*time.Millisecond), 0
		leave, err := g.Enter(context.Background(), []quarantine.Fingerprint{part}, func(quarantine.Fingerprint) func(time.Duration) {
			if time.Now().Before(free) {
				return nil
			}
			return func(time.Duration) { released++ }
		})
		is.NoErr(err)
		is.True(!time.Now().Before(free))
		leave(true)
		is.Equal(released, 1)
	})
}

// Guards against a request that has waited for a permit and then runs before it is known whether the last end names its part.
func TestARequestThatWaitedForAPermitWaitsForTheDecisionAsWell(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _, part := suspectGate(time.Now())
		time.Sleep(quarantine.SettleTime)
		began := time.Now()
		ends := began.Add(maxUndecided - acquireInterval - time.Millisecond) // not at the instant of a poll
		time.AfterFunc(ends.Sub(began), func() {
			g.Table.RunInterrupted(quarantine.Run{Endpoint: "e3", Name: "e3", Parts: []string{"p"}}, time.Now())
			g.Table.EndpointEnded("e3", time.Now())
		})
		leave, err := g.Enter(context.Background(), []quarantine.Fingerprint{part}, func(quarantine.Fingerprint) func(time.Duration) {
			if !time.Now().After(ends) {
				return nil
			}
			return func(time.Duration) {}
		})
		is.True(!time.Now().Before(ends.Add(quarantine.SettleTime)))
		is.True(err != nil || leave != nil)
	})
}

// Guards against a run of a suspect that begins before the end which the run before it caused is known at all instances.
func TestAPermitIsHeldUntilTheOutcomeOfItsRunIsKnown(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, f, _ := suspectGate(time.Now())
		var kept []time.Duration
		acquire := func(quarantine.Fingerprint) func(time.Duration) {
			return func(keep time.Duration) { kept = append(kept, keep) }
		}
		for _, decided := range []bool{true, false} {
			leave, err := g.Enter(context.Background(), []quarantine.Fingerprint{f}, acquire)
			is.NoErr(err)
			leave(decided)
		}
		first := true
		_, err := g.Enter(context.Background(), []quarantine.Fingerprint{f, f}, func(f quarantine.Fingerprint) func(time.Duration) {
			if first {
				first = false
				return acquire(f)
			}
			return nil
		})
		is.True(err != nil)
		is.Equal(kept, []time.Duration{quarantine.SettleTime, quarantine.EndDetectionTimeout, 0}) // the last did not run
	})
}
