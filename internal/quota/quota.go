// Package quota holds the tenants' limits over all nodes together.
//
// Each node runs the token bucket of the whole system: it takes off what it
// admits at once, and what the others admitted when it hears of it. A level
// below zero is a debt that time pays, so that what was admitted on old news is
// made good. A node that is not heard of is assumed to go on as before.
//
// The package is pure; a Limiter belongs to one goroutine at a time.
package quota

import (
	"time"
)

// Limit is a tenant's limit in units; a Rate of 0 is no limit.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units above the rate
}

// Verdict says whether a request is admitted.
type Verdict struct {
	OK      bool
	Level   float64   // of the bucket, after the request
	RetryAt time.Time // when to come back
}

const (
	newsDue     = 600 * time.Millisecond // a node is heard of more often than this
	assumeMost  = 10 * time.Second       // how long a silent node is assumed to go on
	rateWeight  = 0.3
	leastRetry  = 50 * time.Millisecond
	firstFilled = 0.6 // of the burst, at the start of a node
)

type bucket struct {
	level float64
	at    time.Time
	limit Limit
}

// fill brings the level up to now.
func (b *bucket) fill(limit Limit, now time.Time) {
	if b.at.IsZero() {
		b.level = limit.Burst * firstFilled
	} else {
		b.level = min(limit.Burst, b.level+limit.Rate*now.Sub(b.at).Seconds())
	}
	b.at, b.limit = now, limit
}

type account struct {
	bucket   bucket
	admitted float64 // by this node since it started
}

// far is what another node said of one tenant.
type far struct {
	admitted float64
	rate     float64 // units a second, of late
	assumed  float64 // taken off without news; settled by the next news
}

type node struct {
	incarnation int64
	heardAt     time.Time
	tenants     map[string]*far
}

// Limiter counts the use of limits by tenant.
type Limiter struct {
	tenants map[string]*account
	nodes   map[string]*node
	ticked  time.Time
}

// New returns an empty limiter.
func New() *Limiter {
	return &Limiter{tenants: make(map[string]*account), nodes: make(map[string]*node)}
}

func (l *Limiter) tenant(name string) *account {
	a := l.tenants[name]
	if a == nil {
		a = &account{}
		l.tenants[name] = a
	}
	return a
}

// Admit asks for a request of so many units.
func (l *Limiter) Admit(tenant string, limit Limit, units float64, now time.Time) Verdict {
	a := l.tenant(tenant)
	if limit.Rate <= 0 {
		a.admitted += units
		return Verdict{OK: true}
	}
	a.bucket.fill(limit, now)
	need := min(units, limit.Burst)
	if a.bucket.level < need {
		wait := time.Duration((need - a.bucket.level) / limit.Rate * float64(time.Second))
		return Verdict{Level: a.bucket.level, RetryAt: now.Add(max(wait, leastRetry))}
	}
	a.bucket.level -= units
	a.admitted += units
	return Verdict{OK: true, Level: a.bucket.level}
}

// Return gives back the units of a request that did not run.
func (l *Limiter) Return(tenant string, units float64) {
	a := l.tenant(tenant)
	a.bucket.level += units
	a.admitted -= units
}

// Admitted returns the units that this node admitted since it started.
func (l *Limiter) Admitted() map[string]float64 {
	out := make(map[string]float64, len(l.tenants))
	for name, a := range l.tenants {
		out[name] = a.admitted
	}
	return out
}

// Heard takes what another node admitted since it started.
func (l *Limiter) Heard(name string, incarnation int64, admitted map[string]float64, now time.Time) {
	n := l.nodes[name]
	first := n == nil
	if first || n.incarnation != incarnation {
		n = &node{incarnation: incarnation, tenants: make(map[string]*far)}
		l.nodes[name] = n
	}
	since := now.Sub(n.heardAt).Seconds()
	for tenant, total := range admitted {
		f := n.tenants[tenant]
		if f == nil {
			f = &far{}
			if first {
				f.admitted = total // from before this node listened
			}
			n.tenants[tenant] = f
		}
		delta := total - f.admitted
		f.admitted = total
		if !n.heardAt.IsZero() && since > 0 {
			f.rate += rateWeight * (delta/since - f.rate)
		}
		l.tenant(tenant).bucket.level -= delta - f.assumed
		f.assumed = 0
	}
	n.heardAt = now
}

// Tick takes off what silent nodes are assumed to admit. It is called some
// times a second.
func (l *Limiter) Tick(now time.Time) {
	since := now.Sub(l.ticked)
	l.ticked = now
	for _, n := range l.nodes {
		silent := now.Sub(n.heardAt)
		if silent < newsDue || silent > assumeMost {
			continue
		}
		for tenant, f := range n.tenants {
			units := f.rate * min(since, silent).Seconds()
			f.assumed += units
			l.tenant(tenant).bucket.level -= units
		}
	}
}

// Forget drops a node that is no member any more. What it was assumed to have
// admitted is given back.
func (l *Limiter) Forget(name string) {
	n := l.nodes[name]
	if n == nil {
		return
	}
	for tenant, f := range n.tenants {
		l.tenant(tenant).bucket.level += f.assumed
	}
	delete(l.nodes, name)
}
