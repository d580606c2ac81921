package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/retry"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// admission counts requests for all goroutines that serve clients. It
// implements forward.Admission.
type admission struct {
	instance *Instance
	terms    retry.Terms
	limits   quota.Terms

	mu        sync.Mutex
	limitsOf  *policy.Config           // that byAccount was worked out for; guarded by mu
	byAccount map[string]quota.Limit   // guarded by mu
	rand      *rand.Rand               // guarded by mu
	quota     *quota.Limiter           // guarded by mu
	budgets   map[string]*retry.Budget // by service; guarded by mu
	usage     *usage.Counter           // guarded by mu
	counters  *counters                // counts of the groups of a large fleet; guarded by mu
}

func newAdmission(n *Instance) *admission {
	b := n.Settings.Bounds
	return &admission{
		instance: n, rand: rand.New(rand.NewPCG(n.Seed, seedAdmission)), quota: quota.New(n.start), budgets: make(map[string]*retry.Budget), usage: usage.New(), counters: newCounters(),
		limits: quota.Terms{Over: b.QuotaOver, Slack: b.QuotaSlack, Window: b.QuotaWindow()},
		terms:  retry.Terms{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow()},
	}
}

// Admit implements forward.Admission.
func (a *admission) Admit(c *policy.Account, units float64, placed bool, now time.Time) quota.Verdict {
	placed = placed && a.instance.grouped()
	a.mu.Lock()
	defer a.mu.Unlock()
	if placed {
		return a.quota.AdmitForHub(c.Name, a.limit(c), units, now)
	}
	return a.quota.Admit(c.Name, a.limit(c), units, now)
}

// alone asks whether a request that no hub confirmed may be sent all the same. Nothing
// is asked for with 0 units.
func (a *admission) alone(account string, units float64, now time.Time) quota.Verdict {
	if units == 0 {
		return quota.Verdict{OK: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quota.Alone(account, a.limitsNow()[account], units, now)
}

// confirm asks, at a hub, whether the limit of a client account bears a request that
// another instance admitted. Nothing is asked for with 0 units.
func (a *admission) confirm(account string, units float64, now time.Time) quota.Verdict {
	hubs := len(a.instance.state.members.topology().Hubs)
	if units == 0 || hubs == 0 {
		return quota.Verdict{OK: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.quota.Confirm(account, a.limitsNow()[account], units, 1/float64(hubs), now)
}

// limit returns what a client account is kept to.
func (a *admission) limit(c *policy.Account) quota.Limit {
	limit := quota.Limit{Rate: c.Rate, Burst: c.Burst}
	if c.Rate > 0 {
		limit = a.limits.Stretch(limit)
	}
	return limit
}

// limitsNow returns what the client accounts of the configuration in force are kept
// to. The caller holds mu.
func (a *admission) limitsNow() map[string]quota.Limit {
	config := a.instance.view.Load().Config
	if config == nil || config == a.limitsOf {
		return a.byAccount
	}
	a.limitsOf, a.byAccount = config, make(map[string]quota.Limit, len(config.Accounts))
	for i := range config.Accounts {
		a.byAccount[config.Accounts[i].Name] = a.limit(&config.Accounts[i])
	}
	return a.byAccount
}

// levels returns how much of their limits the client accounts have left. The
// caller holds mu.
func (a *admission) levels(now time.Time) map[string]float64 {
	return a.quota.Levels(a.limitsNow(), now)
}

// Return implements forward.Admission.
func (a *admission) Return(c *policy.Account, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Return(c.Name, units)
}

func (a *admission) budget(service string) *retry.Budget {
	b := a.budgets[service]
	if b == nil {
		b = &retry.Budget{}
		a.budgets[service] = b
	}
	return b
}

// FirstTry implements forward.Admission.
func (a *admission) FirstTry(service string, now time.Time) {
	nodes := a.instance.view.Load().Instances
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget(service).Sent(a.terms, nodes, now)
}

// SecondTry implements forward.Admission.
func (a *admission) SecondTry(service string, now time.Time) bool {
	nodes := a.instance.view.Load().Instances
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget(service).Take(a.terms, nodes, a.rand.Float64(), now)
}

// Began implements forward.Admission.
func (a *admission) Began(account string, count int64) {
	if account == "" {
		return
	}
	w := usage.WindowOf(a.instance.walltime.At(a.instance.Clock.Now()), a.instance.Settings.Bounds.UsageWindow())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.Add(w, account, count)
}

// tick lets time pass; nodes is how many run.
func (a *admission) tick(nodes int, now time.Time) {
	w := usage.WindowOf(a.instance.walltime.At(now), a.instance.Settings.Bounds.UsageWindow())
	grouped := a.instance.grouped()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.SetInstances(nodes)
	a.quota.Fill(a.limitsNow(), now)
	a.quota.DropWhere(func(node string, heardAt time.Time) bool {
		return isGroup(node) != grouped || grouped && now.Sub(heardAt) > groupGone
	})
	a.quota.Tick(now)
	a.usage.Expire(w)
	a.counters.expire(w)
}

// groupGone is how long after its last word a group is taken to be gone: its hub
// died or is none any more, and its instances report elsewhere. What it was assumed
// to admit until then is given back.
const groupGone = 3 * time.Second

// grouped reports whether the fleet is so large that counts are reported by groups.
func (n *Instance) grouped() bool { return len(n.state.members.topology().Hubs) > 0 }

// resume takes note that this node stood still for long.
func (a *admission) resume(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Resume(a.limitsNow(), now)
}

func (a *admission) forget(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Forget(node)
	a.quota.Forget(groupOf(node))
}

// counter returns the counts of all nodes, with this hub's own group brought up to
// now. The caller holds mu.
func (a *admission) counter() *usage.Counter {
	n := a.instance
	if !n.grouped() {
		return a.usage
	}
	if n.state.members.topology().Self {
		a.counters.usage.Apply(groupOf(n.Settings.Name), n.incarnation(), windowsOf(n.groupRuns()))
	}
	return a.counters.usage
}

// sum returns the counts of a window over all nodes.
func (a *admission) sum(window int64, accounts []string) usage.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counter().Sum(window, accounts)
}

// records returns the counts from a window on.
func (a *admission) records(from int64) []usage.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counter().Records(a.instance.Settings.Name, a.instance.incarnation(), from)
}

// recall takes counts that were kept in the store: of groups or of single nodes, as
// the fleet was when they were kept.
func (a *admission) recall(records []usage.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name, run := a.instance.Settings.Name, a.instance.incarnation()
	groups, nodes := lo.FilterReject(records, func(r usage.Record, _ int) bool { return isGroup(r.Instance) })
	a.usage.Recall(nodes, name, run)
	a.counters.usage.Recall(groups, groupOf(name), run)
}
