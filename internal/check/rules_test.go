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
	Contact: contact, Drain: 2 * time.Second, Revoke: 5 * time.Second, Config: 2 * time.Second, RollbackOver: 250 * time.Millisecond,
	Grace: 8 * time.Second, Recover: 12 * time.Second, RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second, QuotaOver: 0.1, QuotaWindow: 8 * time.Second,
}

// attempt returns a request that was answered at once, and its run.
func attempt(id string, ms int) (Attempt, Arrival) {
	return Attempt{
			ID: id, Instance: "n", Route: "r", Service: "s", Account: "a", Method: "POST", URI: "/r/", BodySum: 7, Units: 1, Deadline: time.Second,
			MaxAttempts: 2, SentAt: at(ms), EndedAt: at(ms + 20), Status: 200, Sealed: true, AnswerID: id, AnswerSum: 9, Whole: true,
		}, Arrival{
			Request: id, Endpoint: "e", Service: "s", At: at(ms + 5), Method: "POST", URI: "/r/", BodySum: 7, Account: "a", Deadline: 990 * time.Millisecond,
			Ran: true, EndedAt: at(ms + 15), Status: 200, AnswerSum: 9,
		}
}

// add records a request and its run, each changed by a function.
func (h *History) add(id string, ms int, change func(a *Attempt, r *Arrival)) {
	a, r := attempt(id, ms)
	if change != nil {
		change(&a, &r)
	}
	h.Attempts = append(h.Attempts, a)
	h.Arrivals = append(h.Arrivals, r)
}

// again records a further arrival of a request.
func (h *History) again(id string, ms int, change func(r *Arrival)) {
	_, r := attempt(id, ms)
	if change != nil {
		change(&r)
	}
	h.Arrivals = append(h.Arrivals, r)
}

// many records n requests, one each 10 ms.
func (h *History) many(prefix string, n, fromMs int, change func(a *Attempt, r *Arrival)) {
	for i := range n {
		h.add(fmt.Sprint(prefix, i), fromMs+10*i, change)
	}
}

func idempotent(a *Attempt, _ *Arrival) { a.Idempotent = true }

// planted are histories that a rule accepts, and ones with a violation just beyond its bound.
var planted = map[string]struct{ below, above func(h *History) }{
	"MIXED": {
		func(h *History) {
			h.add("early", 0, func(a *Attempt, _ *Arrival) { a.AnswerSum, a.Whole = 1, false })
		},
		func(h *History) { h.add("other", 0, func(a *Attempt, _ *Arrival) { a.AnswerSum = 1 }) },
	},
	"ORDER": {
		func(h *History) {
			h.add("s", 0, func(a *Attempt, _ *Arrival) {
				a.Stream, a.Pieces, a.Events, a.Whole = true, 3, []int{1, 2}, false
			})
		},
		func(h *History) {
			h.add("s", 0, func(a *Attempt, _ *Arrival) { a.Stream, a.Pieces, a.Events = true, 3, []int{1, 2} })
		},
	},
	"REFUSED": {
		func(h *History) {
			h.add("x", 0, func(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 503, false, false })
		},
		func(h *History) { h.add("x", 0, func(a *Attempt, _ *Arrival) { a.Status, a.Sealed = 503, false }) },
	},
	"UNASKED": {
		func(h *History) { h.add("x", 0, nil) },
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Account = "b" }) },
	},
	"TWICE": {
		func(h *History) {
			h.add("x", 0, nil)
			h.again("x", 30, func(r *Arrival) { r.Ran = false })
		},
		func(h *History) {
			h.add("x", 0, nil)
			h.again("x", 30, nil)
		},
	},
	"ROUTE": {
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Service, r.Ran = "t", false }) },
		func(h *History) { h.add("x", 0, func(_ *Attempt, r *Arrival) { r.Service = "t" }) },
	},
	"BUDGET attempts": {func(h *History) { h.overTried(3) }, func(h *History) { h.overTried(4) }},
	"BUDGET deadline": {func(h *History) { h.overdue(20) }, func(h *History) { h.overdue(21) }},
	"BUDGET retries":  {func(h *History) { h.repeated(30) }, func(h *History) { h.repeated(31) }},
	"BUDGET rest":     {func(h *History) { h.rested(2) }, func(h *History) { h.rested(3) }},
	"BUDGET deadly":   {func(h *History) { h.deadly(3) }, func(h *History) { h.deadly(4) }},
	"LIMIT":           {func(h *History) { h.limited(11) }, func(h *History) { h.limited(12) }},
	"GONE": {
		func(h *History) { h.left(1, 3) },
		func(h *History) { h.left(2, 3) },
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
			h.Statements = []Statement{{Endpoint: "e", Instance: "n", At: at(0), Leaving: true}}
			h.add("x", 1990, nil)
			h.add("y", 2000, func(a *Attempt, _ *Arrival) { a.Instance = "m" })
		},
		func(h *History) {
			h.Statements = []Statement{{Endpoint: "e", Instance: "n", At: at(0), Leaving: true}}
			h.add("x", 2000, nil)
		},
	},
	"CONFIG keys": {
		func(h *History) { h.add("x", 5000, func(a *Attempt, _ *Arrival) { a.KeyRevoked = at(0) }) },
		func(h *History) { h.add("x", 5001, func(a *Attempt, _ *Arrival) { a.KeyRevoked = at(0) }) },
	},
	"CONFIG old":  {func(h *History) { h.probed(2000) }, func(h *History) { h.probed(2001) }},
	"CONFIG back": {func(h *History) { h.wentBack(250) }, func(h *History) { h.wentBack(251) }},
	"DENIED": {
		func(h *History) { h.many("d", 5, 0, deniedRequest) },
		func(h *History) { h.many("d", 6, 0, deniedRequest) },
	},
	"QUOTA": {
		func(h *History) { h.used(99) },
		func(h *History) { h.used(100) },
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
			h.add("x", 10, func(a *Attempt, r *Arrival) { a.Status, a.Whole, r.Broke = 0, false, true })
			h.add("y", 8001, func(a *Attempt, _ *Arrival) { a.Status, a.Whole = 0, false })
		},
		func(h *History) {
			h.Disruptions = []Disruption{{"n", "stop", true, at(0), at(3000)}}
			h.add("x", 8000, func(a *Attempt, _ *Arrival) { a.Status, a.Whole = 0, false })
		},
	},
	"RECOVER": {func(h *History) { h.recovered(25) }, func(h *History) { h.recovered(24) }},
	"FAULT": {
		func(h *History) { h.add("x", 0, nil) },
		func(h *History) { h.Exits = []Exit{{"n", at(0), "ended with status 2"}} },
	},
}

func deniedRequest(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 401, false, false }

func (h *History) overTried(n int) {
	h.many("x", n, 0, idempotent)
	for i := range n {
		for j := range 2 {
			h.again(fmt.Sprint("x", i), 100, func(r *Arrival) { r.Endpoint = fmt.Sprint("f", j) })
		}
	}
}

func (h *History) overdue(n int) {
	h.many("x", n, 0, func(_ *Attempt, r *Arrival) { r.Deadline = 1501 * time.Millisecond })
	h.many("y", 60, 0, nil)
}

// repeated records 100 requests, of which some are repeated: 0.2 x 100 + 10 are allowed.
func (h *History) repeated(n int) {
	h.many("x", 100, 0, idempotent)
	for i := range n {
		h.again(fmt.Sprint("x", i), 1000+i, nil)
	}
}

func (h *History) rested(n int) {
	h.Statements = []Statement{{Endpoint: "e", Instance: "n", At: at(0), RestUntil: at(3000)}}
	h.many("before", 3, 400, nil)
	h.many("x", n, 600, nil)
	h.many("after", 3, 3000, nil)
}

func (h *History) deadly(n int) {
	for i := range 3 {
		h.add(fmt.Sprint("end", i), i, func(_ *Attempt, r *Arrival) { r.Crashed, r.BodySum = true, 1 })
	}
	h.many("soon", 5, 100, func(_ *Attempt, r *Arrival) { r.BodySum = 1 })
	h.many("late", n, 4000, func(_ *Attempt, r *Arrival) { r.BodySum = 1 })
}

func (h *History) limited(n int) {
	h.RateChanges = []RateChange{{"e", at(0), true, 1}}
	h.Statements = []Statement{{Endpoint: "e", Instance: "n", At: at(100), RateLimit: true}}
	h.many("x", n, 5000, nil)
}

// left records callers that give up, of whose requests some are worked on for too long.
func (h *History) left(working, rest int) {
	for i := range working + rest {
		h.add(fmt.Sprint("x", i), 0, func(a *Attempt, r *Arrival) {
			a.Idempotent, a.LeftAt, r.EndedAt = true, at(100), at(600)
			if i < working {
				r.EndedAt = at(601)
			}
		})
	}
}

func (h *History) probed(ms int) {
	h.Configs = []Config{{5, at(-40), at(0)}}
	h.add("x", ms, func(a *Attempt, r *Arrival) { a.Since, a.Status, a.Sealed, r.Ran = 5, 404, false, false })
}

func (h *History) wentBack(ms int) {
	h.Configs = []Config{{5, at(-40), at(0)}}
	h.add("seen", 0, func(a *Attempt, _ *Arrival) { a.Since, a.EndedAt = 5, at(20) })
	h.add("x", 20+ms, func(a *Attempt, r *Arrival) { a.Since, a.Status, a.Sealed, r.Ran = 5, 404, false, false })
}

// used records requests of an account that may run 10 a second and 10 beside: 99 in 8 s.
func (h *History) used(n int) {
	h.Accounts = []Account{{"a", 10, 10}}
	h.many("x", n, 0, nil)
}

// recovered records 100 requests after a fault, of which some are served.
func (h *History) recovered(served int) {
	h.Disruptions = []Disruption{{"n", "kill", false, at(0), at(1000)}}
	h.many("x", served, 14_000, nil)
	h.many("y", 100-served, 14_000, func(a *Attempt, r *Arrival) { a.Status, a.Sealed, r.Ran = 503, false, false })
}

func TestEachRuleReportsWhatIsBeyondItsBound(t *testing.T) {
	for _, rule := range Rules {
		t.Run(rule.Name, func(t *testing.T) {
			is := is.New(t)
			p, ok := planted[rule.Name]
			is.True(ok) // a rule without a planted violation
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

func TestADisturbedInstanceIsExcusedFromBoundsOnTime(t *testing.T) {
	is := is.New(t)
	for _, rule := range []string{"DRAIN store", "DRAIN answer", "BUDGET rest", "LIMIT", "CONFIG old", "GONE", "BUDGET deadline"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), Disruptions: []Disruption{{"n", "pause", false, at(0), at(9000)}}}
		planted[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.Equal(r.Check(newIndex(h)), nil) // rule
			}
		}
	}
	for _, rule := range []string{"TWICE", "REFUSED", "MIXED", "ORDER", "QUOTA", "CONFIG keys", "UNASKED"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), Disruptions: []Disruption{{"n", "pause", false, at(0), at(9000)}}}
		planted[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.True(len(r.Check(newIndex(h))) > 0) // these bind always
			}
		}
	}
}

func TestARequestOverAHarmedLinkMayBeLate(t *testing.T) {
	is := is.New(t)
	for _, rule := range []string{"DRAIN store", "DRAIN answer", "BUDGET rest", "LIMIT", "BUDGET deadline", "GONE"} {
		h := &History{Bounds: testBounds, EndedAt: at(60_000), HeldUp: []HeldUp{{"e", at(-1), at(6000)}}}
		planted[rule].above(h)
		for _, r := range Rules {
			if r.Name == rule {
				is.Equal(r.Check(newIndex(h)), nil) // rule
			}
		}
	}
}

func TestARepeatedDutyCallOfAnEarlierHolderIsReported(t *testing.T) {
	is := is.New(t)
	h := &History{Bounds: testBounds, DutyCalls: []DutyCall{{at(0), "n", 1, 5, "a=1"}, {at(10), "m", 2, 6, "a=1"}, {at(20), "n", 1, 7, "a=1"}}}
	is.Equal(len(one(newIndex(h))), 1)
	h.Disruptions = []Disruption{{"n", "pause", false, at(0), at(15)}}
	is.Equal(len(one(newIndex(h))), 0)
	h.Disruptions[0].From, h.Disruptions[0].To = at(-1000), at(-281)
	is.Equal(len(one(newIndex(h))), 1)
}

// Each rule has a row in docs/proofs.md that names its checker.
func TestEachRuleHasARowInTheProofs(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/proofs.md")
	is.NoErr(err)
	for _, rule := range Rules {
		if !strings.Contains(string(text), "| "+rule.Name+" |") {
			t.Errorf("docs/proofs.md has no row for %s", rule.Name)
		}
	}
}
