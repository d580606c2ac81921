// Package quota enforces the limits of client accounts over all instances together.
//
// Each instance keeps the token bucket of the whole system: it subtracts what it admits itself
// at once, and what the others admitted when it receives their updates. A level below zero is a
// debt that is paid off as the bucket refills, which makes up for requests that were admitted on
// stale updates. An instance that sends no updates is assumed to admit at the same rate as before.
//
// The package does no I/O and reads no clock. A Limiter must be used by one goroutine at a time.
package quota

import (
	"time"
)

// Limit is a client account's limit in units. A Rate of 0 means no limit.
type Limit struct {
	Rate           float64 // units per second
	Burst          float64 // size of the bucket in units
	LocalAllowance float64 // units that one instance may use before the others know of it, whatever the number of instances
}

// Tolerance is by how much the use within a window may exceed a limit.
type Tolerance struct {
	Ratio  float64       // as a share of the limit
	Slack  float64       // in units, on top of that
	Window time.Duration // over which use is measured
}

// Parts of the tolerance that raise the enforced limit, so that nothing below the configured
// limit is refused. The rest covers what is admitted on stale updates.
const (
	ratioPart      = 0.5
	slackRatePart  = 0.3
	slackBurstPart = 0.2
	slackLocalPart = 0.2 // what one instance may use before the others know of it
)

// EnforcedLimit returns the limit to enforce for a configured one.
func (t Tolerance) EnforcedLimit(l Limit) Limit {
	factor := 1 + ratioPart*t.Ratio
	return Limit{
		Rate:           factor*l.Rate + slackRatePart*t.Slack/max(t.Window, time.Second).Seconds(),
		Burst:          factor*l.Burst + slackBurstPart*t.Slack,
		LocalAllowance: slackLocalPart * t.Slack,
	}
}

// Verdict is the decision whether a request is admitted.
type Verdict struct {
	OK            bool
	Level         float64   // of the bucket in units, after an admitted request
	RequiredLevel float64   // level that a refused request would have needed; 0 if the level was high enough
	KnownShare    float64   // share of the instances whose use is counted in the level; set for a refused request
	RetryAt       time.Time // when a refused request may be retried
}

const (
	updateTimeout    = 600 * time.Millisecond // instances send updates more often than this; one whose last update is older counts as silent
	maxExtrapolation = 10 * time.Second       // how long a silent instance is assumed to admit at its last known rate
	// departedRetention is how long the totals of an instance are kept that is no longer a member.
	// It must be longer than an outage in which the store refuses instances.
	departedRetention = time.Minute
	rateSmoothing     = 0.3                    // weight of the newest sample in the moving average of a rate
	shortestSample    = 100 * time.Millisecond // updates that were held up on the way arrive together
	minRetryDelay     = 50 * time.Millisecond
	minCoverage       = 0.2 // share of a request's units that the level has to cover; it is low so that an account over its limit is refused large and small requests alike
)

// WarmUp is the time that an instance needs after its start until its levels are reliable.
const WarmUp = 3 * time.Second

// Update is what an instance, or a hub for a group of instances, reports to the others.
type Update struct {
	Instance      string
	Incarnation   int64              // increases with each restart of the instance
	Age           time.Duration      // since that start, for a group that of the hub or of the oldest instance; 0 if it is not known
	Admitted      map[string]float64 // units admitted since its start, by client account
	Levels        map[string]float64 // of its buckets, by client account
	WarmedUp      bool               // it has run for longer than WarmUp, so that Levels are reliable
	InstanceCount int                // number of instances that the update covers; 0 counts as 1
}

type bucket struct {
	level    float64
	at       time.Time
	adopted  bool      // the level was taken over from an instance that has warmed up
	periodic bool      // it is refilled several times a second, so that a longer gap is a stall of this process
	filled   bool      // it was refilled since its creation
	usedAt   time.Time // when the use of others was first subtracted; zero if the bucket was refilled before that
}

// maxRefill bounds the time for which a bucket is refilled in one call. A longer gap means that
// this process was stalled, and the other instances may have used what was added meanwhile.
const maxRefill = time.Second

// subtract subtracts what others used.
func (b *bucket) subtract(units float64, now time.Time) {
	if !b.filled && b.usedAt.IsZero() && units != 0 {
		b.usedAt = now
	}
	b.level -= units
}

// refill adds what the limit grants for the time since the last call.
func (b *bucket) refill(limit Limit, now time.Time) {
	passed := now.Sub(b.at)
	if b.periodic {
		passed = min(passed, maxRefill)
	}
	if !b.filled && !b.usedAt.IsZero() { // what others used was subtracted from a bucket that may have been full
		b.level += min(limit.Burst, limit.Rate*b.usedAt.Sub(b.at).Seconds())
		passed = now.Sub(b.usedAt)
	}
	b.level = min(limit.Burst, b.level+limit.Rate*passed.Seconds())
	b.at, b.periodic, b.filled = now, true, true
}

type account struct {
	bucket            bucket
	admitted          float64 // units admitted by this instance since its start
	used              bool    // this instance admitted requests
	unpropagated      float64 // units admitted so recently that the others do not know of them
	unpropagatedSince time.Time
	lastTight         time.Time // when the level was last below ampleLevel, or too low for a request
	sample            sample    // of the requests that Confirm accepted, at a hub
}

// Bounds for the units that an instance uses while the others may use the same ones.
const (
	propagationDelay = 250 * time.Millisecond // until all instances know what one admitted
	evenShareFactor  = 2.0                    // multiple of an even share of the level that an instance may use within propagationDelay
	ampleLevel       = 0.5                    // share of the burst; an account whose level stays above it is well within its limit
	ampleAfter       = 6 * time.Second        // how long it has to stay there; three times what updates take in a large fleet
)

// withinLocalShare reports whether this instance may use the units before the others know of it.
// A single request always may, or the largest ones would never be admitted. In a large fleet the
// even share of a small account is less than two requests, and requests come in bursts: while the
// account is well within its limit, the share is at least limit.LocalAllowance.
func (a *account) withinLocalShare(units float64, limit Limit, instances int, now time.Time) bool {
	if now.Sub(a.unpropagatedSince) > propagationDelay {
		a.unpropagated, a.unpropagatedSince = 0, now
	}
	level := a.bucket.level + a.unpropagated
	spare := level - ampleLevel*limit.Burst
	if spare < 0 {
		a.lastTight = now
	}
	even := evenShareFactor / float64(max(1, instances))
	allowed := even * level
	if now.Sub(a.lastTight) > ampleAfter {
		allowed += min(spare, max(0, limit.LocalAllowance-even*limit.Burst))
	}
	return a.unpropagated == 0 || a.unpropagated+units <= allowed
}

// remoteUsage is the use of one client account at another instance.
type remoteUsage struct {
	admitted     float64 // units, as last reported
	sampled      float64 // the same at the last sample of the rate
	rate         float64 // units per second, moving average
	extrapolated float64 // units subtracted since the last update for a silent instance; the next update replaces them
}

type instance struct {
	incarnation   int64
	departed      bool // no longer a member; its totals are kept in case it comes back
	instanceCount int  // number of instances that its updates cover
	lastUpdate    time.Time
	sampledAt     time.Time     // when rates were last sampled; zero before the first update
	sampledAge    time.Duration // of the instance then; 0 if unknown
	accounts      map[string]*remoteUsage
}

// Limiter decides which requests of client accounts this instance admits.
type Limiter struct {
	start         time.Time // from which new buckets, initially empty, are refilled
	accounts      map[string]*account
	instances     map[string]*instance
	instanceCount int // running instances, as far as this one knows
	lastTick      time.Time
	warmSince     time.Time        // first update of an instance that has warmed up
	activeAt      time.Time        // of the last call of ResetIfStalled; zero before the first
	resumedAt     time.Time        // end of the last long stall of this process; zero if there was none
	resumeLimits  map[string]Limit // limits in force at resumedAt
}

// New returns the limiter of an instance that starts now.
func New(now time.Time) *Limiter {
	return &Limiter{start: now, accounts: make(map[string]*account), instances: make(map[string]*instance)}
}

func (l *Limiter) account(name string) *account {
	a := l.accounts[name]
	if a == nil {
		a = &account{bucket: bucket{at: l.start}}
		l.accounts[name] = a
	}
	return a
}

// Admit decides whether to admit a request of so many units, and if so counts it.
func (l *Limiter) Admit(name string, limit Limit, units float64, now time.Time) Verdict {
	return l.admit(name, limit, units, true, now)
}

// AdmitProvisionally is Admit for a request that a hub confirms before it is sent, so that this
// instance need not keep to its share of the limit. If no hub answers, WithinLocalShare decides.
func (l *Limiter) AdmitProvisionally(name string, limit Limit, units float64, now time.Time) Verdict {
	return l.admit(name, limit, units, false, now)
}

// WithinLocalShare decides about a request that AdmitProvisionally admitted and that no hub
// answers for: it is admitted if it is within this instance's share of the limit.
func (l *Limiter) WithinLocalShare(name string, limit Limit, units float64, now time.Time) Verdict {
	a := l.account(name)
	a.unpropagated -= units
	defer func() { a.unpropagated += units }()
	if limit.Rate > 0 && !a.withinLocalShare(units, limit, l.instanceCount, now) {
		return l.refuseOverLocalShare(a.bucket.level, now)
	}
	return Verdict{OK: true, Level: a.bucket.level}
}

func (l *Limiter) admit(name string, limit Limit, units float64, localOnly bool, now time.Time) Verdict {
	a := l.account(name)
	if limit.Rate <= 0 {
		a.use(units)
		return Verdict{OK: true}
	}
	a.bucket.refill(limit.scaled(l.knownShare()), now)
	need := minCoverage * min(units, limit.Burst)
	if a.bucket.level < need {
		a.lastTight = now
		return l.refuseOverLimit(a.bucket.level, need, limit, now)
	}
	within := a.withinLocalShare(units, limit, l.instanceCount, now)
	if localOnly && !within {
		return l.refuseOverLocalShare(a.bucket.level, now)
	}
	a.bucket.level -= units
	a.use(units)
	a.unpropagated += units
	return Verdict{OK: true, Level: a.bucket.level}
}

// refuseOverLimit refuses a request that needs a higher level. It may be retried when the bucket
// has refilled to that level.
func (l *Limiter) refuseOverLimit(level, need float64, limit Limit, now time.Time) Verdict {
	wait := time.Duration((need - level) / limit.Rate * float64(time.Second))
	return Verdict{Level: level, RequiredLevel: need, KnownShare: l.knownShare(), RetryAt: now.Add(max(wait, minRetryDelay))}
}

// refuseOverLocalShare refuses a request that is beyond this instance's share of a limit. It may
// be retried when the others know what this instance admitted.
func (l *Limiter) refuseOverLocalShare(level float64, now time.Time) Verdict {
	return Verdict{Level: level, KnownShare: l.knownShare(), RetryAt: now.Add(propagationDelay)}
}

// scaled returns the limit with its rate multiplied by a share, for a group of instances that
// know each other and are that share of all.
func (l Limit) scaled(share float64) Limit {
	l.Rate *= share
	return l
}

// SetInstances sets the number of running instances, this one included.
func (l *Limiter) SetInstances(count int) { l.instanceCount = count }

// knownShare returns the share of all instances that consists of this one and those it has updates
// from. The use of the others is not visible here: after a restart of all instances, each knows
// only itself.
func (l *Limiter) knownShare() float64 {
	known := 1
	for _, n := range l.instances {
		if !n.departed {
			known += n.instanceCount
		}
	}
	return min(1, float64(known)/float64(max(1, l.instanceCount)))
}

// Refund gives back the units of an admitted request that did not run.
func (l *Limiter) Refund(name string, units float64) {
	a := l.account(name)
	a.bucket.level += units
	a.admitted -= units
}

// use counts units that this instance admitted.
func (a *account) use(units float64) {
	a.admitted += units
	a.used = true
}

// Admitted returns the units that this instance admitted since its start, by client account, for those
// of which it admitted requests.
func (l *Limiter) Admitted() map[string]float64 {
	out := make(map[string]float64)
	for name, a := range l.accounts {
		if a.used {
			out[name] = a.admitted
		}
	}
	return out
}

// Refill refills the buckets of all accounts up to now. It has to be called several times a
// second. Otherwise the bucket of an account without requests at this instance would be refilled in
// one step, after the use of the others was subtracted: a full bucket that they have just emptied
// would come out full again.
func (l *Limiter) Refill(limits map[string]Limit, now time.Time) {
	share := l.knownShare()
	for name, a := range l.accounts {
		if limit := limits[name]; limit.Rate > 0 {
			a.bucket.refill(limit.scaled(share), now)
		} else {
			a.bucket.periodic = false
		}
	}
}

// Levels returns the current levels of the buckets, for an instance that has just started.
// Accounts without a limit are left out.
func (l *Limiter) Levels(limits map[string]Limit, now time.Time) map[string]float64 {
	// Updates are subtracted at once, so that what time adds has to be added here as well.
	l.Refill(limits, now)
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if limits[name].Rate > 0 {
			out[name] = a.bucket.level
		}
	}
	return out
}

// Apply applies an update of another instance.
func (l *Limiter) Apply(update Update, now time.Time) {
	n, known := l.instances[update.Instance]
	if known && n.incarnation != update.Incarnation {
		l.MarkDeparted(update.Instance) // gives back what was extrapolated while it was down
	}
	if !known || n.incarnation != update.Incarnation {
		n = &instance{incarnation: update.Incarnation, accounts: make(map[string]*remoteUsage)}
		l.instances[update.Instance] = n
	}
	n.instanceCount = max(1, update.InstanceCount)
	since := now.Sub(n.lastUpdate).Seconds()
	period := n.sinceSample(update.Age, now)
	sample := period >= shortestSample
	counts := 1.0 // share of what it admitted meanwhile that still affects the levels
	if n.departed {
		n.departed, counts = false, min(1, maxExtrapolation.Seconds()/since)
	}
	for name, total := range update.Admitted {
		u := n.accounts[name]
		if u == nil {
			u = &remoteUsage{}
			if !known {
				u.admitted = total * l.unseenShare(update, now)
			}
			u.sampled = u.admitted
			n.accounts[name] = u
		}
		delta := total - u.admitted
		u.admitted = total
		if sample {
			u.rate += rateSmoothing * ((total-u.sampled)/period.Seconds() - u.rate)
			u.sampled = total
		}
		l.account(name).bucket.subtract(counts*delta-u.extrapolated, now)
		u.extrapolated = 0
	}
	if update.WarmedUp {
		l.adoptLevels(update.Levels, now)
	}
	n.lastUpdate = now
	if sample || n.sampledAt.IsZero() {
		n.sampledAt, n.sampledAge = now, update.Age
	}
	l.capDebts(now)
}

// sinceSample returns the time since rates were last sampled, 0 if they never were. What the ages of the instance tell
// counts if that is longer.
func (n *instance) sinceSample(age time.Duration, now time.Time) time.Duration {
	if n.sampledAt.IsZero() {
		return 0
	}
	period := now.Sub(n.sampledAt)
	if age > 0 && n.sampledAge > 0 {
		period = max(period, age-n.sampledAge)
	}
	return period
}

// unseenShare returns the share of the totals in the first update of an instance that it admitted
// before this instance started, and that therefore never affected the buckets here. Instances that
// start together serve requests before they know each other: what they admitted by then counts. An
// instance that has warmed up reports levels instead.
func (l *Limiter) unseenShare(update Update, now time.Time) float64 {
	if update.Age <= 0 || update.Age > WarmUp || update.WarmedUp {
		return 1
	}
	return max(0, 1-now.Sub(l.start).Seconds()/update.Age.Seconds())
}

// capDebts bounds debts by one burst for WarmUp after a stall of this process. Updates may then
// come from instances that were stalled as well: these first report totals from before the stall,
// and later all that was admitted since, for which the time of the stall has already paid.
func (l *Limiter) capDebts(now time.Time) {
	if l.resumedAt.IsZero() || now.Sub(l.resumedAt) > WarmUp {
		return
	}
	for name, a := range l.accounts {
		a.bucket.level = max(a.bucket.level, -l.resumeLimits[name].Burst)
	}
}

// adoptLevels takes over, once for each account, levels of an instance that has warmed up. It does
// nothing later than WarmUp after the first such update: this instance then knows the levels itself.
func (l *Limiter) adoptLevels(levels map[string]float64, now time.Time) {
	if !l.resumedAt.IsZero() && now.Sub(l.resumedAt) < updateTimeout {
		return // the update may be from before the stall
	}
	if l.warmSince.IsZero() {
		l.warmSince = now
	}
	if now.Sub(l.warmSince) > WarmUp {
		return
	}
	for name, level := range levels {
		b := &l.account(name).bucket
		if b.adopted {
			continue
		}
		b.adopted, b.filled = true, true
		b.at, b.level = now, level
	}
}

// Tick subtracts what silent instances are assumed to admit. It has to be called several times a
// second.
func (l *Limiter) Tick(now time.Time) {
	since := now.Sub(l.lastTick)
	l.lastTick = now
	for name, n := range l.instances {
		silent := now.Sub(n.lastUpdate)
		if n.departed && silent > departedRetention {
			delete(l.instances, name)
		}
		if n.departed || silent < updateTimeout || silent > maxExtrapolation {
			continue
		}
		for name, u := range n.accounts {
			units := u.rate * min(since, silent).Seconds()
			u.extrapolated += units
			l.account(name).bucket.level -= units
		}
	}
}

// stallTime is the shortest stall of this process after which its levels say too little of what the
// others admitted.
const stallTime = 2 * time.Second

// ResetIfStalled calls ResetAfterStall if this process has just resumed after a long stall. It has to be
// called several times a second, and before each use of the levels: requests that waited during the
// stall are admitted within milliseconds of its end.
func (l *Limiter) ResetIfStalled(limits map[string]Limit, now time.Time) {
	stalled := !l.activeAt.IsZero() && now.Sub(l.activeAt) >= stallTime
	l.activeAt = now
	if stalled {
		l.ResetAfterStall(limits, now)
	}
}

// ResetAfterStall empties the buckets after a long stall of this process, as at its start: the
// others may have used whatever was added meanwhile, and if all were stalled, each of them would
// use the whole of it. Of a debt at most one burst is kept: anything beyond is what the others
// admitted for time that this bucket was never refilled for.
func (l *Limiter) ResetAfterStall(limits map[string]Limit, now time.Time) {
	for _, a := range l.accounts {
		a.bucket = bucket{level: min(0, a.bucket.level), at: now, periodic: true, filled: true}
		a.unpropagated, a.lastTight = 0, now
	}
	clear(l.instances)
	l.start, l.warmSince = now, time.Time{}
	l.resumedAt, l.resumeLimits = now, limits
	l.capDebts(now)
}

// DropInstances removes the instances for which drop returns true, with all they reported. It is
// for those whose use is counted in the updates of others from now on. drop is called with the
// time of the last update.
func (l *Limiter) DropInstances(drop func(instance string, lastUpdate time.Time) bool) {
	for name, n := range l.instances {
		if drop(name, n.lastUpdate) {
			l.MarkDeparted(name)
			delete(l.instances, name)
		}
	}
}

// MarkDeparted records that an instance is no longer a member. What was extrapolated for it is
// given back. What it reported is kept for departedRetention: it may only have been unreachable,
// and what it admitted meanwhile must count when it comes back.
func (l *Limiter) MarkDeparted(name string) {
	n := l.instances[name]
	if n == nil {
		return
	}
	n.departed = true
	for name, u := range n.accounts {
		l.account(name).bucket.level += u.extrapolated
		u.extrapolated, u.rate = 0, 0
	}
}
