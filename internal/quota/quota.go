// Package quota holds the client accounts' limits over all nodes together.
//
// Each node runs the token bucket of the whole system: it takes off what it
// admits at once, and what the others admitted when it learns of it. A level
// below zero is a debt that time pays, so that what was admitted on stale updates is
// made good. A node that is not seen is assumed to go on as before.
//
// The package is pure; a Limiter belongs to one goroutine at a time.
package quota

import (
	"time"
)

// Limit is a client account's limit in units; a Rate of 0 is no limit.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units above the rate
	Alone float64 // units that a node may use before the others know, however many they are
}

// Terms are by how much a window may go over a limit.
type Terms struct {
	Over   float64       // share of the limit
	Slack  float64       // units
	Window time.Duration // over which use is judged
}

// Parts of the terms that are used to refuse nothing below a limit; the rest
// covers what is admitted on stale updates.
const (
	overUsed      = 0.5
	slackForRate  = 0.3
	slackForBurst = 0.2
	slackAlone    = 0.2 // what one node may use of it before the others know
)

// Stretch returns the limit that is kept to.
func (t Terms) Stretch(l Limit) Limit {
	x := 1 + overUsed*t.Over
	return Limit{
		Rate:  x*l.Rate + slackForRate*t.Slack/max(t.Window, time.Second).Seconds(),
		Burst: x*l.Burst + slackForBurst*t.Slack,
		Alone: slackAlone * t.Slack,
	}
}

// Verdict says whether a request is admitted.
type Verdict struct {
	OK      bool
	Level   float64   // of the bucket, after the request; units
	Need    float64   // level that a refused request would have needed; 0 if the level was high enough
	Known   float64   // share of the nodes that the level counts the use of
	RetryAt time.Time // when to come back
}

const (
	updateDue  = 600 * time.Millisecond // a node is seen more often than this
	assumeMost = 10 * time.Second       // how long a silent node is assumed to go on
	// keepForgotten is how long totals of a node are kept that is no member any more:
	// longer than the store turns nodes away.
	keepForgotten = time.Minute
	rateWeight    = 0.3
	leastRetry    = 50 * time.Millisecond
	payShare      = 0.2 // of a request that the level has to cover: an account over its limit is refused large and small requests alike
)

// Season is how long after its start a node knows the levels well.
const Season = 3 * time.Second

// Update is what a node sends of itself.
type Update struct {
	Instance    string
	Incarnation int64              // a restarted node has a higher one
	Admitted    map[string]float64 // units by client account since it started
	Levels      map[string]float64 // of its buckets
	Seasoned    bool               // it has run for a Season
	Stands      int                // for how many nodes it speaks; 0 counts as 1
}

type bucket struct {
	level   float64
	at      time.Time
	adopted bool // the level was taken over from a node that knows it well
	filled  bool // it is filled some times a second
}

// fillMost is the longest time that a bucket is filled for at once. More has passed only if
// this node stood still, and the others may have used it.
const fillMost = time.Second

// fill brings the level up to now.
func (b *bucket) fill(limit Limit, now time.Time) {
	passed := now.Sub(b.at)
	if b.filled {
		passed = min(passed, fillMost)
	}
	b.level = min(limit.Burst, b.level+limit.Rate*passed.Seconds())
	b.at, b.filled = now, true
}

type account struct {
	bucket   bucket
	admitted float64 // by this node since it started
	fresh    float64 // admitted so shortly ago that the others don't know it
	freshAt  time.Time
	tightAt  time.Time // when the level was last too low for more than the even part
	sample   sample    // of what is asked for, at a hub
}

// Use of units that the others may use at the same time.
const (
	propagation = 250 * time.Millisecond // until all nodes know what one admitted
	freshShare  = 2.0                    // times its even part of the level that a node may use before
	calmLevel   = 0.5                    // of the burst: above it an account is well within its limit,
	calmAfter   = 6 * time.Second        // if it has been for so long: three times what updates of a large fleet take
)

// mayUse reports whether a node may use so many units before the others know
// of it. One request always may: else the largest would never be admitted. In a
// large fleet the even part of a small account is less than two requests, and they
// come in clumps: while the account is well within its limit, its part is as large
// as limit.Alone at least.
func (a *account) mayUse(units float64, limit Limit, nodes int, now time.Time) bool {
	if now.Sub(a.freshAt) > propagation {
		a.fresh, a.freshAt = 0, now
	}
	level := a.bucket.level + a.fresh
	spare := level - calmLevel*limit.Burst
	if spare < 0 {
		a.tightAt = now
	}
	even := freshShare / float64(max(1, nodes))
	may := even * level
	if now.Sub(a.tightAt) > calmAfter {
		may += min(spare, max(0, limit.Alone-even*limit.Burst))
	}
	return a.fresh == 0 || a.fresh+units <= may
}

// far is what another node said of one client account.
type far struct {
	admitted float64
	rate     float64 // units a second, of late
	assumed  float64 // taken off without an update; settled by the next one
}

type instance struct {
	incarnation int64
	forgotten   bool // it is no member; its totals are kept in case it is one again
	stands      int
	seenAt      time.Time
	accounts    map[string]*far
}

// Limiter counts the use of limits by client account.
type Limiter struct {
	start        time.Time // from which empty buckets fill
	accounts     map[string]*account
	instances    map[string]*instance
	count        int // of nodes that run, as far as is known
	ticked       time.Time
	since        time.Time        // first update of a node that knows the levels well
	resumedAt    time.Time        // when this node last stood still for long; zero if it never did
	resumeLimits map[string]Limit // that held then
}

// New returns the limiter of a node that starts now.
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

// Admit asks for a request of so many units.
func (l *Limiter) Admit(name string, limit Limit, units float64, now time.Time) Verdict {
	return l.admit(name, limit, units, true, now)
}

// AdmitForHub asks for a request that a hub confirms before it is sent, so that this
// node need not keep to its part of the limit. If no hub does, Alone has to be asked.
func (l *Limiter) AdmitForHub(name string, limit Limit, units float64, now time.Time) Verdict {
	return l.admit(name, limit, units, false, now)
}

// Alone asks whether a request that AdmitForHub admitted is within this node's part of
// the limit, where no hub answers.
func (l *Limiter) Alone(name string, limit Limit, units float64, now time.Time) Verdict {
	a := l.account(name)
	a.fresh -= units
	defer func() { a.fresh += units }()
	if limit.Rate > 0 && !a.mayUse(units, limit, l.count, now) {
		return l.beyondPart(a.bucket.level, now)
	}
	return Verdict{OK: true, Level: a.bucket.level}
}

func (l *Limiter) admit(name string, limit Limit, units float64, inPart bool, now time.Time) Verdict {
	a := l.account(name)
	if limit.Rate <= 0 {
		a.admitted += units
		return Verdict{OK: true}
	}
	a.bucket.fill(limit.part(l.known()), now)
	need := payShare * min(units, limit.Burst)
	if a.bucket.level < need {
		a.tightAt = now
		return l.beyondLimit(a.bucket.level, need, limit, now)
	}
	may := a.mayUse(units, limit, l.count, now)
	if inPart && !may {
		return l.beyondPart(a.bucket.level, now)
	}
	a.bucket.level -= units
	a.admitted += units
	a.fresh += units
	return Verdict{OK: true, Level: a.bucket.level}
}

// beyondLimit refuses a request that needs a higher level: it is to come back when that
// is reached.
func (l *Limiter) beyondLimit(level, need float64, limit Limit, now time.Time) Verdict {
	wait := time.Duration((need - level) / limit.Rate * float64(time.Second))
	return Verdict{Level: level, Need: need, Known: l.known(), RetryAt: now.Add(max(wait, leastRetry))}
}

// beyondPart refuses a request that is beyond this node's part of a limit: it is to come
// back when the others know what this node admitted.
func (l *Limiter) beyondPart(level float64, now time.Time) Verdict {
	return Verdict{Level: level, Known: l.known(), RetryAt: now.Add(propagation)}
}

// part returns the part of a limit that may be used by nodes that know of each
// other.
func (l Limit) part(share float64) Limit {
	l.Rate *= share
	return l
}

// SetInstances tells how many nodes run, this one included.
func (l *Limiter) SetInstances(count int) { l.count = count }

// known is the share of the nodes that this one is or has seen. The others
// admit their part unseen: after all were started anew, each knows only itself.
func (l *Limiter) known() float64 {
	known := 1
	for _, n := range l.instances {
		if !n.forgotten {
			known += n.stands
		}
	}
	return min(1, float64(known)/float64(max(1, l.count)))
}

// Return gives back the units of a request that did not run.
func (l *Limiter) Return(name string, units float64) {
	a := l.account(name)
	a.bucket.level += units
	a.admitted -= units
}

// Admitted returns the units that this node admitted since it started.
func (l *Limiter) Admitted() map[string]float64 {
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		out[name] = a.admitted
	}
	return out
}

// Fill brings the levels of all accounts up to now. An account that nobody asks for
// here would else be filled at once for all the time that others used it in, and its
// level be as high as if they had used it long ago. It is called some times a second.
func (l *Limiter) Fill(limits map[string]Limit, now time.Time) {
	share := l.known()
	for name, a := range l.accounts {
		if limit := limits[name]; limit.Rate > 0 {
			a.bucket.fill(limit.part(share), now)
		} else {
			a.bucket.filled = false
		}
	}
}

// Levels returns the levels of the buckets now, for a node that has just started.
// Accounts without a limit have none.
func (l *Limiter) Levels(limits map[string]Limit, now time.Time) map[string]float64 {
	// News of the others come off at once; what time adds has to be added as well.
	l.Fill(limits, now)
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		if limits[name].Rate > 0 {
			out[name] = a.bucket.level
		}
	}
	return out
}

// Apply takes the update of another node.
func (l *Limiter) Apply(news Update, now time.Time) {
	n, known := l.instances[news.Instance]
	if known && n.incarnation != news.Incarnation {
		l.Forget(news.Instance) // settles what it was assumed to admit while it was down
	}
	if !known || n.incarnation != news.Incarnation {
		n = &instance{incarnation: news.Incarnation, accounts: make(map[string]*far)}
		l.instances[news.Instance] = n
	}
	n.stands = max(1, news.Stands)
	since := now.Sub(n.seenAt).Seconds()
	counts := 1.0 // share of what it admitted that the levels would still show
	if n.forgotten {
		n.forgotten, counts = false, min(1, assumeMost.Seconds()/since)
	}
	for name, total := range news.Admitted {
		f := n.accounts[name]
		if f == nil {
			f = &far{}
			if !known {
				f.admitted = total // from before this node listened
			}
			n.accounts[name] = f
		}
		delta := total - f.admitted
		f.admitted = total
		if !n.seenAt.IsZero() && since > 0 {
			f.rate += rateWeight * (delta/since - f.rate)
		}
		l.account(name).bucket.level -= counts*delta - f.assumed
		f.assumed = 0
	}
	if news.Seasoned {
		l.adopt(news.Levels, now)
	}
	n.seenAt = now
	l.boundDebts(now)
}

// boundDebts bounds debts by one burst while updates after a standstill may come from nodes
// that stood still as well: they first pass on totals from before it, and then all that was
// admitted since, which time has paid for.
func (l *Limiter) boundDebts(now time.Time) {
	if l.resumedAt.IsZero() || now.Sub(l.resumedAt) > Season {
		return
	}
	for name, a := range l.accounts {
		a.bucket.level = max(a.bucket.level, -l.resumeLimits[name].Burst)
	}
}

// adopt takes over levels that this node cannot know yet.
func (l *Limiter) adopt(levels map[string]float64, now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}
	if now.Sub(l.since) > Season {
		return
	}
	for name, level := range levels {
		b := &l.account(name).bucket
		if b.adopted {
			continue
		}
		b.adopted = true
		b.at, b.level = now, level
	}
}

// Tick takes off what silent nodes are assumed to admit. It is called some
// times a second.
func (l *Limiter) Tick(now time.Time) {
	since := now.Sub(l.ticked)
	l.ticked = now
	for name, n := range l.instances {
		silent := now.Sub(n.seenAt)
		if n.forgotten && silent > keepForgotten {
			delete(l.instances, name)
		}
		if n.forgotten || silent < updateDue || silent > assumeMost {
			continue
		}
		for name, f := range n.accounts {
			units := f.rate * min(since, silent).Seconds()
			f.assumed += units
			l.account(name).bucket.level -= units
		}
	}
}

// Resume takes note that this node stood still for long. It begins with empty buckets, as at its
// start: the others may have used whatever time has added, and after all stood still each
// would use the whole of it. Of a debt one burst is kept: more is what the others admitted
// from time that this bucket never got.
func (l *Limiter) Resume(limits map[string]Limit, now time.Time) {
	for _, a := range l.accounts {
		a.bucket = bucket{level: min(0, a.bucket.level), at: now, filled: true}
		a.fresh, a.tightAt = 0, now
	}
	clear(l.instances)
	l.start, l.since = now, time.Time{}
	l.resumedAt, l.resumeLimits = now, limits
	l.boundDebts(now)
}

// DropWhere drops those nodes for which over returns true, with all they reported: others
// count what they admit. It is given when each was last seen.
func (l *Limiter) DropWhere(over func(node string, heardAt time.Time) bool) {
	for name, n := range l.instances {
		if over(name, n.seenAt) {
			l.Forget(name)
			delete(l.instances, name)
		}
	}
}

// Forget notes that a node is no member any more. What it was assumed to have admitted is
// given back. What it reported is kept for a while: it may only have been out of reach, and
// what it admitted meanwhile must count when it is seen again.
func (l *Limiter) Forget(name string) {
	n := l.instances[name]
	if n == nil {
		return
	}
	n.forgotten = true
	for name, f := range n.accounts {
		l.account(name).bucket.level += f.assumed
		f.assumed, f.rate = 0, 0
	}
}
