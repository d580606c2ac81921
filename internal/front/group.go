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

// In a large fleet, soft state is aggregated in a tree: each instance reports to a hub, the hubs
// exchange the sums of their groups, and the answer to a report holds the counts of all others.
// An instance communicates with one or two others, whatever the size of the fleet. If all 295
// instances of a fleet exchange with each other, updates are 7.4 s old; with the tree, about
// 0.8 s.

// groupSuffix is appended to a hub's name to form the source name for the counts of its whole
// group, as distinct from its own counts.
const groupSuffix = "/group"

func groupName(hub string) string { return hub + groupSuffix }

func isGroup(name string) bool { return strings.HasSuffix(name, groupSuffix) }

// runKey is the key of a usage count.
type runKey struct {
	window  int64
	account string
}

type (
	unitCounts = tally.Counts[string, float64] // units admitted, by client account
	runCounts  = tally.Counts[runKey, int64]   // requests that started to run
)

// runsOf and windowsOf convert usage counts between a flat map and one map for each window.
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

// counters holds the counts of an instance of a large fleet: those that it reported to hubs, those
// that others reported to it as a hub, and those of the hubs' groups. It is guarded by the
// admission's mu.
type counters struct {
	units         *tally.Reporter[string, float64]
	runs          *tally.Reporter[runKey, int64]
	reportedUnits *tally.Aggregator[string, float64]
	reportedRuns  *tally.Aggregator[runKey, int64]
	usage         *usage.Counter // by group
	changes       tally.Changes  // of the units of all groups, for digests
}

func newCounters() *counters {
	return &counters{
		units: tally.NewReporter[string, float64](), runs: tally.NewReporter[runKey, int64](),
		reportedUnits: tally.NewAggregator[string, float64](), reportedRuns: tally.NewAggregator[runKey, int64](), usage: usage.New(),
	}
}

// expire drops counts of windows before the retention period that ends with the window current.
func (b *counters) expire(current int64) {
	b.usage.Expire(current)
	old := func(k runKey) bool { return k.window < current-usage.RetainedWindows }
	b.runs.DropKeys(old)
	b.reportedRuns.DropKeys(old)
}

// instanceReport is the latest report of an instance to this hub, without its counts.
type instanceReport struct {
	uses      map[string]balance.Load
	demand    map[string]balance.Demand
	risk      map[string]float64 // by service
	rollouts  []rollctl.State
	limits    []ratelimit.Report
	at        time.Time
	startedAt time.Time // of the instance
}

// reportTTL is how long a report is valid without a newer one: after that the instance is gone or
// reports to another hub.
const reportTTL = 5 * reportInterval

func addUses(sum, more map[string]balance.Load) {
	for id, u := range more {
		sum[id] = sum[id].Plus(u)
	}
}

func addDemand(sum, more map[string]balance.Demand) {
	for name, d := range more {
		sum[name] = sum[name].Plus(d)
	}
}
