package check

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testBounds = Bounds{
	Contact: contact, Drain: 2 * time.Second, Revoke: 5 * time.Second, Config: 2 * time.Second, RollbackTolerance: 250 * time.Millisecond,
	Grace: 8 * time.Second, Recover: 12 * time.Second, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, QuotaTolerance: 0.1, QuotaWindow: 8 * time.Second,
}

// attempt returns a request that succeeded within 20 ms, and its arrival at the endpoint.
func attempt(id string, ms int) (Attempt, Arrival) {
	return Attempt{
			ID: id, Instance: "n", Route: "r", Service: "s", Account: "a", Method: "POST", URI: "/r/", BodySum: 7, Units: 1, Deadline: time.Second,
			MaxAttempts: 2, SentAt: at(ms), EndedAt: at(ms + 20), Status: 200, Sealed: true, ResponseID: id, ResponseSum: 9, Complete: true,
		}, Arrival{
			Request: id, Endpoint: "e", Service: "s", At: at(ms + 5), Method: "POST", URI: "/r/", BodySum: 7, Account: "a", Deadline: 990 * time.Millisecond,
			Ran: true, EndedAt: at(ms + 15), Status: 200, ResponseSum: 9,
		}
}

// add records a request and its arrival after applying change to them.
func (h *History) add(id string, ms int, change func(a *Attempt, r *Arrival)) {
	a, r := attempt(id, ms)
	if change != nil {
		change(&a, &r)
	}
	h.Attempts = append(h.Attempts, a)
	h.Arrivals = append(h.Arrivals, r)
}

// addArrival records another arrival of a request.
func (h *History) addArrival(id string, ms int, change func(r *Arrival)) {
	_, r := attempt(id, ms)
	if change != nil {
		change(&r)
	}
	h.Arrivals = append(h.Arrivals, r)
}

// addMany records n requests, one every 10 ms.
func (h *History) addMany(prefix string, n, fromMs int, change func(a *Attempt, r *Arrival)) {
	for i := range n {
		h.add(fmt.Sprint(prefix, i), fromMs+10*i, change)
	}
}

func idempotent(a *Attempt, _ *Arrival) { a.Idempotent = true }

// scenarios holds for each rule a history just within its bound, and one just beyond it.
var scenarios = map[string]struct{ below, above func(h *History) }{
	"MIXED": {
		func(h *History) {
			h.add("early", 0, func(a *Attempt, _ *Arrival) { a.ResponseSum, a.Complete = 1, false })
		},
		func(h *History) { h.add("other", 0, func(a *Attempt, _ *Arrival) { a.ResponseSum = 1 }) },
	},
	"ORDER": {
		func(h *History) {
			h.add("s", 0, func(a *Attempt, _ *Arrival) {
				a.Stream, a.EventCount, a.Events, a.Complete = true, 3, []int{1, 2}, false
			})
		},
		func(h *History) {
			h.add("s", 0, func(a *Attempt, _ *Arrival) { a.Stream, a.EventCount, a.Events = true, 3, []int{1, 2} })
		},
	},
	"ORDER versions": {
		func(h *History) { h.addMixedStreams(2) },
		func(h *History) { h.addMixedStreams(3) },
	},
	"REFUSED": {
		func(h *History) {
			h.add("x", 0, func(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 503, false, false })
		},
		func(h *History) { h.add("x", 0, func(a *Attempt, _ *Arrival) { a.Status, a.Sealed = 503, false }) },
	},
	"UNSENT": {
		func(h *History) {
			h.add("sent", 0, nil)
			h.addRefusedForCapacity("a", "x", 1, 1)
		},
		func(h *History) {
			h.add("x", 0, func(a *Attempt, r *Arrival) { a.RefusedForCapacity, r.Ran = true, false })
		},
	},
	"SHARE": {
		// An account of which 49 of 98 requests were refused: of 20 requests, 10 + 3 * 2.24 + 2 refusals are allowed.
		func(h *History) { h.addOverload(18, 20) },
		func(h *History) { h.addOverload(19, 20) },
	},
	"UNASKED": {
		func(h *History) { h.add("x", 0, nil) },
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Account = "b" }) },
	},
	"TWICE": {
		func(h *History) {
			h.add("x", 0, nil)
			h.addArrival("x", 30, func(r *Arrival) { r.Ran = false })
		},
		func(h *History) {
			h.add("x", 0, nil)
			h.addArrival("x", 30, nil)
		},
	},
	"ROUTE": {
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Service, r.Ran = "t", false }) },
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Service = "t" }) },
	},
	"BUDGET attempts": {
		func(h *History) {
			h.addTooManyAttempts(3)
			for i := range 20 { // streams that are resumed after their endpoints ended
				id := fmt.Sprint("resumed", i)
				h.add(id, 500, func(a *Attempt, _ *Arrival) { a.Idempotent = true })
				h.addArrival(id, 505, func(r *Arrival) { r.Endpoint = "f" })
				h.addArrival(id, 510, func(r *Arrival) { r.Endpoint, r.Stopped, r.Aborted = "g", true, true })
			}
		},
		func(h *History) { h.addTooManyAttempts(4) },
	},
	"BUDGET deadline": {func(h *History) { h.addLateDeadlines(20) }, func(h *History) { h.addLateDeadlines(21) }},
	"BUDGET retries":  {func(h *History) { h.addRetries(30) }, func(h *History) { h.addRetries(31) }},
	"BUDGET rest":     {func(h *History) { h.addDuringPause(2) }, func(h *History) { h.addDuringPause(3) }},
	"BUDGET part":     {func(h *History) { h.addDeadlyPart(3) }, func(h *History) { h.addDeadlyPart(4) }},
	"BUDGET deadly":   {func(h *History) { h.addFatal(3) }, func(h *History) { h.addFatal(4) }},
	"LIMIT":           {func(h *History) { h.addRateLimited(11) }, func(h *History) { h.addRateLimited(12) }},
	"GONE": {
		func(h *History) { h.addAbandoned(1, 3) },
		func(h *History) { h.addAbandoned(2, 3) },
	},
	"DRAIN store": {
		func(h *History) {
			h.Leavings = []Leaving{{"e", at(0)}}
			h.add("x", 1990, nil)
		},
		func(h *History) {
			h.Leavings = []Leaving{{"e", at(0)}}
			h.add("x", 2000, nil)
		},
	},
	"DRAIN answer": {
		func(h *History) {
			h.Announcements = []Announcement{{Endpoint: "e", Instance: "n", At: at(0), Leaving: true}}
			h.add("x", 1990, nil)
			h.add("y", 2000, func(a *Attempt, _ *Arrival) { a.Instance = "m" })
		},
		func(h *History) {
			h.Announcements = []Announcement{{Endpoint: "e", Instance: "n", At: at(0), Leaving: true}}
			h.add("x", 2000, nil)
		},
	},
	"CONFIG keys": {
		func(h *History) { h.add("x", 5000, func(a *Attempt, _ *Arrival) { a.KeyRevoked = at(0) }) },
		func(h *History) { h.add("x", 5001, func(a *Attempt, _ *Arrival) { a.KeyRevoked = at(0) }) },
	},
	"CONFIG old":  {func(h *History) { h.addUnknownRoute(2000) }, func(h *History) { h.addUnknownRoute(2001) }},
	"CONFIG back": {func(h *History) { h.addConfigRollback(250) }, func(h *History) { h.addConfigRollback(251) }},
	"DENIED": {
		func(h *History) { h.addMany("d", 5, 0, deniedRequest) },
		func(h *History) { h.addMany("d", 6, 0, deniedRequest) },
	},
	"QUOTA": {
		func(h *History) { h.addUsage(99) },
		func(h *History) { h.addUsage(100) },
	},
	"ONE": {
		func(h *History) {
			h.DutyCalls = []DutyCall{{at(0), "n", 1, 5, "a=1"}, {at(10), "n", 1, 5, "a=1"}, {at(20), "m", 2, 6, "a=1"}}
		},
		func(h *History) {
			h.DutyCalls = []DutyCall{{at(0), "n", 1, 5, "a=1"}, {at(10), "n", 1, 5, "a=2"}}
		},
	},
	"LOST": {
		func(h *History) {
			h.Disruptions = []Disruption{{"n", "stop", true, at(0), at(3000)}}
			h.add("x", 10, func(a *Attempt, r *Arrival) { a.Status, a.Complete, r.Aborted = 0, false, true })
			h.add("y", 8001, func(a *Attempt, _ *Arrival) { a.Status, a.Complete = 0, false })
			h.Partitions = []Partition{{Instances: []string{"n"}, From: at(4010), ResetBy: at(4010), To: at(5000)}}
			h.add("reset", 4000, func(a *Attempt, _ *Arrival) { a.Status, a.Complete = 0, false })
			h.add("served by m", 2000, func(a *Attempt, r *Arrival) { a.Status, a.Complete, r.Via = 0, false, "m" })
			killed := h.Attempts[len(h.Attempts)-1].EndedAt.Add(-time.Millisecond)
			h.Disruptions = append(h.Disruptions, Disruption{"m", "kill", false, killed, killed.Add(time.Second)})
		},
		func(h *History) {
			h.Disruptions = []Disruption{{"n", "stop", true, at(0), at(3000)}}
			h.Partitions = []Partition{{Instances: []string{"n"}, From: at(7990), ResetBy: at(7999), To: at(9000)}}
			h.add("x", 8000, func(a *Attempt, _ *Arrival) { a.Status, a.Complete = 0, false })
		},
	},
	"LOST streams": {
		func(h *History) { h.addTakenUp(12, 6) },
		func(h *History) { h.addTakenUp(12, 5) },
	},
	"RECOVER":           {func(h *History) { h.addAfterFault(25) }, func(h *History) { h.addAfterFault(24) }},
	"RECOVER partition": {func(h *History) { h.addPartitioned(20) }, func(h *History) { h.addPartitioned(21) }},
	"FAULT": {
		func(h *History) { h.add("x", 0, nil) },
		func(h *History) { h.Exits = []Exit{{"n", at(0), "ended with status 2"}} },
	},
}

// addPartitioned records a partition of the instance m, during which n of 60 first tries there fail and
// all at the instance n succeed. A retry, a request from before the bound and one after the partition
// fail too.
func (h *History) addPartitioned(n int) {
	h.Partitions = []Partition{{Instances: []string{"m"}, From: at(0), To: at(10_000)}}
	failed := func(a *Attempt, r *Arrival) { a.Instance, a.Status, a.Sealed, r.Ran = "m", 503, false, false }
	h.addMany("other", 100, 4000, nil)
	h.addMany("served", 60-n, 4000, func(a *Attempt, _ *Arrival) { a.Instance = "m" })
	h.addMany("failed", n, 4000, failed)
	h.add("early", 2999, failed)
	h.add("late", 10_001, failed)
	h.add("retry", 5000, func(a *Attempt, r *Arrival) { failed(a, r); a.Retry = true })
}

// deniedRequest makes a request one that the instance itself rejected with status 401.
func deniedRequest(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 401, false, false }

// addTooManyAttempts records n requests that each reach three endpoints; the route allows two.
func (h *History) addTooManyAttempts(n int) {
	h.addMany("x", n, 0, idempotent)
	for i := range n {
		for j := range 2 {
			h.addArrival(fmt.Sprint("x", i), 100, func(r *Arrival) { r.Endpoint = fmt.Sprint("f", j) })
		}
	}
}

// addLateDeadlines records n requests with a deadline longer than the caller's, and 60 correct ones.
func (h *History) addLateDeadlines(n int) {
	h.addMany("x", n, 0, func(_ *Attempt, r *Arrival) { r.Deadline = 1501 * time.Millisecond })
	h.addMany("y", 60, 0, nil)
}

// addRetries records 100 requests, n of which are retried: 0.2 x 100 + 10 retries are allowed.
func (h *History) addRetries(n int) {
	h.addMany("x", 100, 0, idempotent)
	for i := range n {
		h.addArrival(fmt.Sprint("x", i), 1000+i, nil)
	}
}

// addDuringPause records n requests during a pause, and some just before and after it.
func (h *History) addDuringPause(n int) {
	h.Announcements = []Announcement{{Endpoint: "e", Instance: "n", At: at(0), BackoffUntil: at(3000)}}
	h.addMany("before", 3, 400, nil)
	h.addMany("x", n, 600, nil)
	h.addMany("after", 3, 3000, nil)
}

// addFatal records three requests with the same content during which the endpoint crashed, and n more after the contact time.
func (h *History) addFatal(n int) {
	for i := range 3 {
		h.add(fmt.Sprint("end", i), i, func(_ *Attempt, r *Arrival) { r.Crashed, r.BodySum = true, 1 })
	}
	h.addMany("soon", 5, 100, func(_ *Attempt, r *Arrival) { r.BodySum = 1 })
	h.addMany("late", n, 4000, func(_ *Attempt, r *Arrival) { r.BodySum = 1 })
}

// addDeadlyPart records new requests with one part of their prompt under which five endpoints crash, and n that are sent
// after that.
func (h *History) addDeadlyPart(n int) {
	body := uint64(100)
	with := func(crashed bool) func(*Attempt, *Arrival) {
		return func(_ *Attempt, r *Arrival) {
			body++
			r.Crashed, r.DeadlyPart, r.BodySum = crashed, "p", body
		}
	}
	h.addMany("end", 5, 0, with(true))
	h.addMany("soon", 5, 100, with(false))
	h.addMany("late", n, 4000, with(false))
}

// addRateLimited records n requests under a limit of one per second.
func (h *History) addRateLimited(n int) {
	h.RateChanges = []RateChange{{"e", at(0), true, 1}}
	h.Announcements = []Announcement{{Endpoint: "e", Instance: "n", At: at(100), RateLimit: true}}
	h.addMany("x", n, 5000, nil)
}

// addAbandoned records requests that their callers abandoned; the first ones are executed for too
// long afterwards.
func (h *History) addAbandoned(overrunning, rest int) {
	for i := range overrunning + rest {
		h.add(fmt.Sprint("x", i), 0, func(a *Attempt, r *Arrival) {
			a.Idempotent, a.AbandonedAt, r.EndedAt = true, at(100), at(600)
			if i < overrunning {
				r.EndedAt = at(601)
			}
		})
	}
}

// addUnknownRoute records a 404 for a route some time after the configuration with it was
// acknowledged.
func (h *History) addUnknownRoute(ms int) {
	h.Configs = []Config{{5, at(-40), at(0)}}
	h.add("x", ms, func(a *Attempt, r *Arrival) { a.RouteAddedIn, a.Status, a.Sealed, r.Ran = 5, 404, false, false })
}

// addConfigRollback records a 404 for a route some time after the instance had served it.
func (h *History) addConfigRollback(ms int) {
	h.Configs = []Config{{5, at(-40), at(0)}}
	h.add("seen", 0, func(a *Attempt, _ *Arrival) { a.RouteAddedIn, a.EndedAt = 5, at(20) })
	h.add("x", 20+ms, func(a *Attempt, r *Arrival) { a.RouteAddedIn, a.Status, a.Sealed, r.Ran = 5, 404, false, false })
}

// addUsage records n requests of an account with a rate of 10 per second and a burst of 10, so that
// 99 are allowed in 8 s, tolerance included.
func (h *History) addUsage(n int) {
	h.Accounts = []Account{{"a", 10, 10}}
	h.addMany("x", n, 0, nil)
}

// addRefusedForCapacity records sent requests of an account, of which the first ones were refused for
// lack of capacity.
func (h *History) addRefusedForCapacity(account, prefix string, refused, sent int) {
	for i := range sent {
		a, _ := attempt(fmt.Sprint(prefix, i), 10*i)
		a.Account = account
		if i < refused {
			a.Status, a.Sealed, a.RefusedForCapacity = 503, false, true
		}
		h.Attempts = append(h.Attempts, a)
	}
}

// addOverload records an overload by one account, half of whose 98 requests were refused, and the
// requests of another account meanwhile.
func (h *History) addOverload(refused, sent int) {
	h.Overloads = []Overload{{"s", "heavy", at(0), at(2000)}}
	h.addRefusedForCapacity("heavy", "h", 49, 98)
	h.addRefusedForCapacity("light", "l", refused, sent)
}

// addAfterFault records 100 requests after a fault, of which the first ones succeed.
func (h *History) addAfterFault(served int) {
	h.Disruptions = []Disruption{{"n", "kill", false, at(0), at(1000)}}
	h.addMany("x", served, 14_000, nil)
	h.addMany("y", 100-served, 14_000, func(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 503, false, false })
}

func TestRulesAtTheirBounds(t *testing.T) {
	for _, rule := range Rules {
		t.Run(rule.Name, func(t *testing.T) {
			is := is.New(t)
			p, ok := scenarios[rule.Name]
			is.True(ok) // each rule needs a scenario
			below, above := &History{Bounds: testBounds, EndedAt: at(60_000)}, &History{Bounds: testBounds, EndedAt: at(60_000)}
			p.below(below)
			p.above(above)
			is.Equal(rule.Check(newIndex(below)), nil)
			found := rule.Check(newIndex(above))
			is.True(len(found) > 0)
			is.True(strings.HasPrefix(rule.Name, found[0].Rule))
		})
	}
}

func TestDisruptedInstanceIsExemptFromTimeBounds(t *testing.T) {
	is := is.New(t)
	for _, rule := range []string{"DRAIN store", "DRAIN answer", "BUDGET rest", "LIMIT", "CONFIG old", "GONE", "BUDGET deadline"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), Disruptions: []Disruption{{"n", "pause", false, at(0), at(9000)}}}
		scenarios[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.Equal(r.Check(newIndex(h)), nil) // rule
			}
		}
	}
	for _, rule := range []string{"TWICE", "REFUSED", "MIXED", "ORDER", "QUOTA", "CONFIG keys", "UNASKED"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), Disruptions: []Disruption{{"n", "pause", false, at(0), at(9000)}}}
		scenarios[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.True(len(r.Check(newIndex(h))) > 0) // these rules exempt no disruption
			}
		}
	}
}

func TestRequestOverFaultyLinkMayBeLate(t *testing.T) {
	is := is.New(t)
	for _, rule := range []string{"DRAIN store", "DRAIN answer", "BUDGET rest", "LIMIT", "BUDGET deadline", "GONE"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), LinkFaults: []LinkFault{{"e", at(-1), at(6000)}}}
		scenarios[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.Equal(r.Check(newIndex(h)), nil) // rule
			}
		}
	}
}

func TestDutyCallOfEarlierHolderIsReported(t *testing.T) {
	is := is.New(t)
	h := &History{Bounds: testBounds, DutyCalls: []DutyCall{{at(0), "n", 1, 5, "a=1"}, {at(10), "m", 2, 6, "a=1"}, {at(20), "n", 1, 7, "a=1"}}}
	is.Equal(len(checkSingleHolder(newIndex(h))), 1)
	h.Disruptions = []Disruption{{"n", "pause", false, at(0), at(15)}}
	is.Equal(len(checkSingleHolder(newIndex(h))), 0)
	h.Disruptions[0].From, h.Disruptions[0].To = at(-1000), at(-281)
	is.Equal(len(checkSingleHolder(newIndex(h))), 1)
}

// Guards against a repeatable request that was executed although its caller was told by 429 or 503 that
// it was not. Other statuses guarantee that only for requests that are not idempotent.
func TestRefusalOfAnIdempotentRequest(t *testing.T) {
	is := is.New(t)
	for status, want := range map[int]int{429: 1, 503: 1, 408: 0, 502: 0} {
		h := &History{Bounds: testBounds}
		h.add("x", 0, func(a *Attempt, _ *Arrival) { a.Idempotent, a.Status, a.Sealed = true, status, false })
		is.Equal(len(checkRefused(newIndex(h))), want)
	}
}

// Guards against an account that is compared although it is not within its limit, or although the
// other account is not far above its share.
func TestShareComparesOnlyAccountsWithinTheirLimit(t *testing.T) {
	is := is.New(t)
	planted := func(change func(h *History)) []Violation {
		h := &History{Bounds: testBounds}
		h.addOverload(20, 20)
		change(h)
		return checkShare(newIndex(h))
	}
	is.Equal(len(planted(func(*History) {})), 1)
	is.Equal(len(planted(func(h *History) { h.Accounts = []Account{{"light", 5, 10}} })), 1)      // 20 units allowed in 2 s
	is.Equal(len(planted(func(h *History) { h.Accounts = []Account{{"light", 5, 9}} })), 0)       // 19
	is.Equal(len(planted(func(h *History) { h.Overloads[0].Account = "" })), 0)                   // all accounts sent the burst
	is.Equal(len(planted(func(h *History) { h.Overloads[0].Service = "t" })), 0)                  // another service
	is.Equal(len(planted(func(h *History) { h.addRefusedForCapacity("light", "m", 13, 13) })), 0) // 98 requests are less than 3 times 33
}

// Guards against a rule that has no row in docs/proofs.md.
func TestRulesAreListedInProofs(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/proofs.md")
	is.NoErr(err)
	for _, rule := range Rules {
		if !strings.Contains(string(text), "| "+rule.Name+" |") {
			t.Errorf("docs/proofs.md has no row for %s", rule.Name)
		}
	}
}

// Guards against a stop that is excused by the failure of an instance that did not serve the request, or failed before
// it did.
func TestOnlyAFailureOfTheInstanceThatServesARequestExcusesAStop(t *testing.T) {
	for _, failed := range []string{"l", "m"} {
		var h History
		h.Bounds = testBounds
		h.Disruptions = []Disruption{{"n", "stop", true, at(0), at(3000)}}
		h.add("x", 2000, func(a *Attempt, r *Arrival) { a.Status, a.Complete, r.Via = 0, false, "m" })
		from := h.Attempts[0].EndedAt.Add(-time.Millisecond)
		if failed == "m" {
			from = h.Arrivals[0].At.Add(-time.Millisecond)
		}
		h.Disruptions = append(h.Disruptions, Disruption{failed, "kill", false, from, from.Add(time.Second)})
		if out := checkLost(newIndex(&h)); len(out) != 1 {
			t.Errorf("%s failed: violations %v", failed, out)
		}
	}
}

// Guards against first tries in an overload, which nobody serves, that count against a partition because the other
// instances got more of their tries after it; and against a partition that hides in one.
func TestAPartitionIsComparedAtTheSameTime(t *testing.T) {
	is := is.New(t)
	unserved := func(instance string) func(a *Attempt, r *Arrival) {
		return func(a *Attempt, r *Arrival) { a.Instance, a.Status, a.Sealed, r.Ran = instance, 503, false, false }
	}
	overload := func() *History {
		h := &History{Bounds: testBounds, EndedAt: at(60_000)}
		h.Partitions = []Partition{{Instances: []string{"m"}, From: at(0), To: at(10_000)}}
		h.addMany("overload others", 40, 4000, unserved("n"))
		h.addMany("overload", 40, 4000, unserved("m"))
		h.addMany("later others", 60, 6000, nil)
		return h
	}
	is.Equal(len(checkPartitions(newIndex(overload()))), 0)
	h := overload()
	h.addMany("later", 12, 6000, unserved("m"))
	is.Equal(len(checkPartitions(newIndex(h))), 1)
	h = overload()
	h.addMany("alone", 30, 8000, unserved("m")) // at a time when the others got nothing
	is.Equal(len(checkPartitions(newIndex(h))), 1)
}

// Guards against a partition that looks worse than it is because the others got no tries of the account that asks beyond
// its limit, and against one that hides in the refusals of that account.
func TestAnAccountWithALimitIsComparedWithItselfInAPartition(t *testing.T) {
	is := is.New(t)
	of := func(instance, account string, status int) func(a *Attempt, r *Arrival) {
		return func(a *Attempt, r *Arrival) {
			a.Instance, a.Account, a.Status = instance, account, status
			a.Sealed, r.Ran = status == 200, status == 200
		}
	}
	overLimit := func() *History {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), Accounts: []Account{{"busy", 10, 10}}}
		h.Partitions = []Partition{{Instances: []string{"m"}, From: at(0), To: at(10_000)}}
		h.addMany("others", 2, 4000, of("n", "a", 200))
		h.addMany("served", 60, 4000, of("m", "a", 200))
		h.addMany("busy", 60, 4000, of("m", "busy", 429))
		return h
	}
	is.Equal(len(checkPartitions(newIndex(overLimit()))), 0)
	h := overLimit()
	h.addMany("unserved", 31, 5000, of("m", "a", 503)) // 60 of 91
	is.Equal(len(checkPartitions(newIndex(h))), 1)
	h = overLimit()
	h.addMany("busy others", 30, 5000, of("n", "busy", 200)) // served there, and never where the partition is
	is.Equal(len(checkPartitions(newIndex(h))), 1)
}
