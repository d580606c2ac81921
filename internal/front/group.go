package front

import (
	"strings"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/tally"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// In a large fleet soft state goes up and down a tree: each instance reports to a
// hub, the hubs exchange the sums of their groups, and the answer to a report has
// what all the others counted. An instance speaks with one or two others whatever
// the size of the fleet. With all sending to all, updates of 295 instances were 7.4 s
// old; so they are some 0.8 s old.

// groupMark follows a hub's name where counts are those of its whole group, so that
// they are not taken for its own.
const groupMark = "/group"

func groupOf(hub string) string { return hub + groupMark }

func isGroup(name string) bool { return strings.HasSuffix(name, groupMark) }

// runKey names a count of usage.
type runKey struct {
	window  int64
	account string
}

type (
	unitCounts = tally.Counts[string, float64] // units admitted, by client account
	runCounts  = tally.Counts[runKey, int64]   // requests that began to run
)

// runsOf and windowsOf turn counts of usage from one form into the other.
func runsOf(windows map[int64]usage.Counts) runCounts {
	out := make(runCounts)
	for window, counts := range windows {
		for account, n := range counts {
			out[runKey{window, account}] = n
		}
	}
	return out
}

func windowsOf(runs runCounts) map[int64]usage.Counts {
	out := make(map[int64]usage.Counts)
	for key, n := range runs {
		if out[key.window] == nil {
			out[key.window] = make(usage.Counts)
		}
		out[key.window][key.account] = n
	}
	return out
}

// counters keeps the counts of an instance of a large fleet: what it reported to the hubs, what
// others reported to it as a hub, and what the groups of the hubs counted. It is guarded by
// the admission's mu.
type counters struct {
	units   *tally.Ledger[string, float64]
	runs    *tally.Ledger[runKey, int64]
	unitsIn *tally.Pool[string, float64]
	runsIn  *tally.Pool[runKey, int64]
	usage   *usage.Counter // by groups
}

func newCounters() *counters {
	return &counters{
		units: tally.NewLedger[string, float64](), runs: tally.NewLedger[runKey, int64](),
		unitsIn: tally.NewPool[string, float64](), runsIn: tally.NewPool[runKey, int64](), usage: usage.New(),
	}
}

// expire forgets counts of windows long before current.
func (b *counters) expire(current int64) {
	b.usage.Expire(current)
	old := func(k runKey) bool { return k.window < current-usage.KeepWindows }
	b.runs.Drop(old)
	b.runsIn.Drop(old)
}

// reported is what an instance last reported to this hub of what it is doing.
type reported struct {
	uses     map[string]balance.Use
	demand   map[string]balance.Demand
	risk     map[string]float64 // by service
	rollouts []rollctl.State
	limits   []ratelimit.Report
	at       time.Time
}

// reportCounts is how long a report counts that no other follows: the instance is
// gone, or reports elsewhere.
const reportCounts = 5 * reportEvery

// addUses adds uses to a sum.
func addUses(sum, more map[string]balance.Use) {
	for id, u := range more {
		sum[id] = sum[id].Plus(u)
	}
}

// addDemand adds demand to a sum.
func addDemand(sum, more map[string]balance.Demand) {
	for name, d := range more {
		sum[name] = sum[name].Plus(d)
	}
}
