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

// admission enforces rate limits and retry budgets and counts usage for the requests of
// this instance. It is safe for concurrent use and implements forward.Admission.
type admission struct {
	instance   *Instance
	retryTerms retry.Limits
	quotaTerms quota.Tolerance

	mu              sync.Mutex
	limitsConfig    *policy.Config           // from which limitsByAccount was computed; guarded by mu
	limitsByAccount map[string]quota.Limit   // guarded by mu
	rand            *rand.Rand               // guarded by mu
	quota           *quota.Limiter           // guarded by mu
	budgets         map[string]*retry.Budget // by service; guarded by mu
	usage           *usage.Counter           // guarded by mu
	counters        *counters                // counts by hub group, used in a fleet with hubs; guarded by mu
}

func newAdmission(n *Instance) *admission {
	b := n.Settings.Bounds
	return &admission{
		instance: n, rand: rand.New(rand.NewPCG(n.Seed, seedAdmission)), quota: quota.New(n.start), budgets: make(map[string]*retry.Budget), usage: usage.New(), counters: newCounters(),
		quotaTerms: quota.Tolerance{Ratio: b.QuotaOver, Slack: b.QuotaSlack, Window: b.QuotaWindow()},
		retryTerms: retry.Limits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow()},
	}
}

// limiter returns the limiter, whose levels are emptied first if this process has just resumed after a
// long stall. The caller holds mu.
func (a *admission) limiter(now time.Time) *quota.Limiter {
	a.quota.ResetIfStalled(a.currentLimits(), now)
	return a.quota
}

// Admit implements forward.Admission.
func (a *admission) Admit(c *policy.Account, units float64, placed bool, now time.Time) quota.Verdict {
	placed = placed && a.instance.grouped()
	a.mu.Lock()
	defer a.mu.Unlock()
	if placed {
		return a.limiter(now).AdmitProvisionally(c.Name, a.limitOf(c), units, now)
	}
	return a.limiter(now).Admit(c.Name, a.limitOf(c), units, now)
}

// admitWithoutHub decides whether a request may be sent although no hub confirmed it. It
// admits requests of 0 units without a check.
func (a *admission) admitWithoutHub(account string, units float64, now time.Time) quota.Verdict {
	if units == 0 {
		return quota.Verdict{OK: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter(now).WithinLocalShare(account, a.currentLimits()[account], units, now)
}

// confirmAtHub checks, on a hub, whether the limit of a client account allows a request
// that another instance admitted. It admits requests of 0 units without a check.
func (a *admission) confirmAtHub(account string, units float64, now time.Time) quota.Verdict {
	hubs := len(a.instance.state.members.topology().Hubs)
	if units == 0 || hubs == 0 {
		return quota.Verdict{OK: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter(now).Confirm(account, a.currentLimits()[account], units, 1/float64(hubs), now)
}

// withdrawAtHub takes back a confirmation of confirmAtHub for a request that is not sent.
func (a *admission) withdrawAtHub(account string, units float64, now time.Time) {
	if units == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter(now).Withdraw(account, units, now)
}

// limitOf returns the limit enforced for a client account: the configured one, stretched by
// the tolerance of the settings.
func (a *admission) limitOf(c *policy.Account) quota.Limit {
	limit := quota.Limit{Rate: c.Rate, Burst: c.Burst}
	if c.Rate > 0 {
		limit = a.quotaTerms.EnforcedLimit(limit)
	}
	return limit
}

// currentLimits returns the enforced limits by client account for the configuration in
// force. The caller holds mu.
func (a *admission) currentLimits() map[string]quota.Limit {
	config := a.instance.view.Load().Config
	if config == nil || config == a.limitsConfig {
		return a.limitsByAccount
	}
	a.limitsConfig, a.limitsByAccount = config, make(map[string]quota.Limit, len(config.Accounts))
	for i := range config.Accounts {
		a.limitsByAccount[config.Accounts[i].Name] = a.limitOf(&config.Accounts[i])
	}
	return a.limitsByAccount
}

// levels returns the token bucket levels of the client accounts. The caller holds mu.
func (a *admission) levels(now time.Time) map[string]float64 {
	return a.limiter(now).Levels(a.currentLimits(), now)
}

// Refund implements forward.Admission.
func (a *admission) Refund(c *policy.Account, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.Refund(c.Name, units)
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
	instances := a.instance.view.Load().Instances
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget(service).RecordRequest(a.retryTerms, instances, now)
}

// SecondTry implements forward.Admission.
func (a *admission) SecondTry(service string, now time.Time) bool {
	instances := a.instance.view.Load().Instances
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.budget(service).Take(a.retryTerms, instances, a.rand.Float64(), now)
}

// RecordRuns implements forward.Admission.
func (a *admission) RecordRuns(account string, count int64) {
	if account == "" {
		return
	}
	w := usage.WindowOf(a.instance.walltime.At(a.instance.Clock.Now()), a.instance.Settings.Bounds.UsageWindow())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.Add(w, account, count)
}

// tick refills the token buckets and expires old counts; instances is the number of
// running instances. It is called periodically.
func (a *admission) tick(instances int, now time.Time) {
	w := usage.WindowOf(a.instance.walltime.At(now), a.instance.Settings.Bounds.UsageWindow())
	grouped := a.instance.grouped()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter(now).SetInstances(instances)
	a.quota.Refill(a.currentLimits(), now)
	a.quota.DropInstances(func(name string, seenAt time.Time) bool {
		return isGroup(name) != grouped || grouped && now.Sub(seenAt) > groupTimeout
	})
	a.quota.Tick(now)
	a.usage.Expire(w)
	a.counters.expire(w)
}

// groupTimeout is how long after its last update a group is considered gone: its hub died
// or is no longer a hub, and its instances report to other hubs. The units that it was
// assumed to have admitted in the meantime are returned to the buckets.
const groupTimeout = 3 * time.Second

// grouped reports whether the fleet is large enough to have hubs, so that instances
// exchange counts by hub group.
func (n *Instance) grouped() bool { return len(n.state.members.topology().Hubs) > 0 }

// forget drops what a peer reported, both for itself and for its group.
func (a *admission) forget(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quota.MarkDeparted(name)
	a.quota.MarkDeparted(groupName(name))
}

// counter returns the usage counts of all instances. In a fleet with hubs these are counts
// by group; a hub updates its own group first. The caller holds mu.
func (a *admission) counter() *usage.Counter {
	n := a.instance
	if !n.grouped() {
		return a.usage
	}
	if n.state.members.topology().IsHub {
		a.counters.usage.Apply(groupName(n.Settings.Name), n.incarnation(), windowsOf(n.groupRuns()))
	}
	return a.counters.usage
}

// sum returns the usage counts of a window over all instances.
func (a *admission) sum(window int64, accounts []string) usage.Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counter().Sum(window, accounts)
}

// records returns the usage counts of the given window and all later ones.
func (a *admission) records(from int64) []usage.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counter().Records(a.instance.Settings.Name, a.instance.incarnation(), from)
}

// restore merges counts read back from the store. They are by group or by instance,
// depending on whether the fleet had hubs when they were written.
func (a *admission) restore(records []usage.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	name, run := a.instance.Settings.Name, a.instance.incarnation()
	groups, instances := lo.FilterReject(records, func(r usage.Record, _ int) bool { return isGroup(r.Instance) })
	a.usage.Restore(instances, name, run)
	a.counters.usage.Restore(groups, groupName(name), run)
}
