package overload

import (
	"fmt"
	"testing"
	"time"
)

const (
	fits   = 0.85            // the load that fits, of what the endpoints can process
	settle = 3 * time.Second // not counted, while the first queues form
)

var everything = Options{FairShares: true, Reservations: true}

// forSeeds runs a test with several seeds, all of which are kept.
func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { test(t, seed) })
	}
}

// uniform plays a load at which all accounts send the same multiple of what fits.
func uniform(t *testing.T, seed uint64, factor float64) *model {
	m := newModel(seed, everything, fits, 20*time.Second, evenSenders(16, factor)).run()
	m.report(t)
	return m
}

// report fails the test for decisions that are wrong under any load.
func (m *model) report(t *testing.T) {
	t.Helper()
	for _, f := range m.faults[:min(len(m.faults), 3)] {
		t.Error(f)
	}
}

func ofPriority(p int) func(*call) bool    { return func(c *call) bool { return c.kind.priority == p } }
func ofSender(i int) func(*call) bool      { return func(c *call) bool { return c.sender == i } }
func notOfSender(i int) func(*call) bool   { return func(c *call) bool { return c.sender != i } }
func thatWait(waits bool) func(*call) bool { return func(c *call) bool { return c.waits == waits } }

// Guards against goodput that collapses under load: endpoints busy with requests that come too late.
func TestGoodputAtThreeTimesTheLoadThatFits(t *testing.T) {
	const slack = 0.95
	forSeeds(t, func(t *testing.T, seed uint64) {
		usual := uniform(t, seed, 1).outcome(settle)
		high := uniform(t, seed, 3).outcome(settle)
		t.Logf("in time: %d requests, %.0f tokens; at three times the load %d, %.0f", usual.inTime, usual.work, high.inTime, high.work)
		if float64(high.inTime) < slack*float64(usual.inTime) || high.work < slack*usual.work {
			t.Errorf("served in time: %d requests, %.0f tokens; at three times the load %d, %.0f", usual.inTime, usual.work, high.inTime, high.work)
		}
	})
}

// Guards against a lower rank of urgent requests: those refused for their account's share, or queued
// behind less urgent ones.
func TestMostUrgentRequestsAreServedInTime(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		o := uniform(t, seed, 3).outcome(settle, ofPriority(0))
		t.Logf("lost %.4f, not in time %.4f of %d", o.lost(), o.late(), o.calls)
		if o.late() >= 0.02 {
			t.Errorf("%.3f of %d were not served in time: %v", o.late(), o.calls, o.reasons)
		}
	})
}

// Guards against an order in which less urgent requests are served more often.
func TestUrgentRequestsAreServedNoLessOften(t *testing.T) {
	for _, factor := range []float64{1.2, 1.5, 2, 3} {
		t.Run(fmt.Sprint("load ", factor), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				m := uniform(t, seed, factor)
				var lost [3]float64
				for p := range lost {
					lost[p] = m.outcome(settle, ofPriority(p)).lost()
				}
				t.Logf("lost %.3f", lost)
				if lost[0] > lost[1]+0.01 || lost[1] > lost[2]+0.01 {
					t.Errorf("lost by priority: %.3f", lost)
				}
			})
		})
	}
}

// Guards against an account that takes the capacity of those within their limits.
func TestAccountsWithinTheirLimitsAreServed(t *testing.T) {
	t.Run("small", func(t *testing.T) { sixfold(t, 1./16, kind{}) })
	t.Run("large", func(t *testing.T) { sixfold(t, 0.25, kind{}) })
	t.Run("least urgent requests only", func(t *testing.T) { sixfold(t, 0.25, kinds[2]) })
}

// Guards against an account that takes the capacity of others by the priority of its requests.
func TestAccountsAreServedBesideOneWithUrgentRequestsOnly(t *testing.T) {
	sixfold(t, 0.25, kinds[0])
}

// sixfold plays a load that fits, of which one account has the given share, and in which this account
// sends six times as much from 5 s on. If a kind is given, the account sends only this one.
func sixfold(t *testing.T, share float64, only kind) {
	const burst = 5 * time.Second
	forSeeds(t, func(t *testing.T, seed uint64) {
		senders := evenSenders(16, 1)
		for i := range senders[1:] {
			senders[1+i].share = (1 - share) / 15
		}
		senders[0].share, senders[0].kind = share, only
		senders[0].factor = func(at time.Duration) float64 {
			if at > burst {
				return 6
			}
			return 1
		}
		m := newModel(seed, everything, fits, 30*time.Second, senders).run()
		m.report(t)
		others, own := m.outcome(burst, notOfSender(0)), m.outcome(burst, ofSender(0))
		t.Logf("lost %.3f, not in time %.3f; the account with six times its load lost %.3f", others.lost(), others.late(), own.lost())
		if others.lost() >= 0.05 {
			t.Errorf("lost %.3f of %d: %v", others.lost(), others.calls, others.reasons)
		}
	})
}

// Guards against shares that follow what accounts send. Of four accounts, one is within its limit, and
// the others send 2, 6 and 6 times as much.
func TestAccountsOverTheirSharesGetEqualShares(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		senders := evenSenders(4, 1)
		for i, factor := range []float64{1, 2, 6, 6} {
			senders[i].factor = func(time.Duration) float64 { return factor }
		}
		m := newModel(seed, everything, fits, 20*time.Second, senders).run()
		m.report(t)
		var work [4]float64
		for _, c := range m.calls {
			if c.came > settle && c.served {
				work[c.sender] += c.request.Work
			}
		}
		lost := m.outcome(settle, ofSender(0)).lost()
		t.Logf("work %.0f, lost within the limit %.3f", work, lost)
		if lost > 0.15 {
			t.Errorf("the account within its limit lost %.3f", lost)
		}
		if work[1] < 0.5*work[2] || work[1] < 0.5*work[3] {
			t.Errorf("work served of accounts with 1, 2, 6 and 6 times the usual load: %.0f", work)
		}
	})
}

// Guards against times to return that are no use to those who follow them.
func TestClientsThatReturnAsToldAreServed(t *testing.T) {
	for _, factor := range []float64{1.2, 1.5, 2, 3} {
		t.Run(fmt.Sprint("load ", factor), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				m := newModel(seed, everything, fits, time.Minute, evenSenders(16, factor)).run()
				m.report(t)
				o := m.outcome(settle)
				t.Logf("told %d, %d reserved; served %d, %d", o.advised, o.reserved, o.advisedServed, o.kept)
				if float64(o.advisedServed) < 0.8*float64(o.advised) {
					t.Errorf("of %d that returned as told %d were served", o.advised, o.advisedServed)
				}
			})
		})
	}
}

// Guards against a reward for clients that return at once.
func TestClientsThatDoNotWaitGainNothing(t *testing.T) {
	for _, factor := range []float64{1.2, 1.5, 2, 3} {
		t.Run(fmt.Sprint("load ", factor), func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				m := uniform(t, seed, factor)
				waiting, others := m.outcome(settle, thatWait(true)), m.outcome(settle, thatWait(false))
				t.Logf("lost by those that wait %.3f, by the others %.3f", waiting.lost(), others.lost())
				if others.lost() < waiting.lost() {
					t.Errorf("lost by those that wait %.3f, by the others %.3f", waiting.lost(), others.lost())
				}
			})
		})
	}
}

// Guards against state of a burst that outlasts it: shares, reservations or rates.
func TestABurstThatEndsLeavesNoRefusals(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		const end = 10 * time.Second
		senders := evenSenders(16, 1)
		for i := range senders {
			senders[i].factor = func(at time.Duration) float64 {
				if at > 5*time.Second && at < end {
					return 4
				}
				return 0.6
			}
		}
		m := newModel(seed, everything, fits, 20*time.Second, senders).run()
		m.report(t)
		if o := m.outcome(6*time.Second, func(c *call) bool { return c.came < end && c.refused != "" }); o.calls < 1000 {
			t.Errorf("only %d were refused in the burst", o.calls)
		}
		if o := m.outcome(end+2*time.Second, func(c *call) bool { return c.refused != "" }); o.calls > 0 {
			t.Errorf("%d of those that came 2 s after the burst or later were refused", o.calls)
		}
	})
}

// Guards against refusals under a load that fits.
func TestALoadThatFitsIsAdmitted(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		m := uniform(t, seed, 0.7)
		if o := m.outcome(0, func(c *call) bool { return c.refused != "" }); o.calls > 0 {
			t.Errorf("%d were refused", o.calls)
		}
	})
}
