// Package admit enforces the limits of client accounts across all entry instances.
//
// Each instance enforces a share of a limit, proportional to the demand it
// measures relative to the demand that the other instances reported. Together the
// instances admit the configured limit without a message per request. When the
// other instances are unreachable their reports expire, so each side of a network
// partition admits at most the whole limit.
//
// The package performs no I/O and reads no clock. A Limiter is not safe for
// concurrent use.
package admit

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Usage is the demand of a client account on one or more entry instances, as
// measured against its limits.
type Usage struct {
	Account string
	Rate    float64 // requested requests per second, admitted or not
	Tokens  float64 // requested tokens per second, admitted or not
	Open    int     // requests in progress
}

// Verdict is the result of an admission check.
type Verdict struct {
	OK      bool
	Limit   string    // column name of the exceeded limit; empty if admitted
	RetryAt time.Time // earliest time at which a retry may be admitted
}

const (
	demandWindow = time.Second     // averaging window of the demand
	burstWindow  = 2 * time.Second // bucket capacity, as time at the refill rate
	minShare     = 0.02            // lower bound of the share of an instance, so that one without demand can admit its first requests
)

// bucket is a token bucket whose refill rate may differ on each call to take.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// take removes n tokens if the bucket holds them. Otherwise it reports false and
// the time at which it will hold n tokens at the given rate. A new bucket starts
// half full.
func (b *bucket) take(n, rate float64, now time.Time) (time.Time, bool) {
	capacity := max(rate*burstWindow.Seconds(), n)
	if b.updatedAt.IsZero() {
		b.level = capacity / 2
	} else {
		b.level = min(capacity, b.level+rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.level >= n {
		b.level -= n
		return now, true
	}
	if rate <= 0 {
		return now.Add(demandWindow), false
	}
	return now.Add(time.Duration((n - b.level) / rate * float64(time.Second))), false
}

type account struct {
	requests      bucket
	tokens        bucket
	requestDemand decay.Rate // requests per second, admitted or not
	tokenDemand   decay.Rate // tokens per second, admitted or not
	open          int
}

// Limiter tracks the demand and the open requests of each client account on this
// instance.
type Limiter struct {
	accounts map[string]*account
}

// New returns a limiter that tracks no client accounts.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account)} }

// Admit checks a request that needs work tokens against the limits of its client
// account, and counts it as demand whether or not it is admitted. others is the
// sum of the usage reported by the other instances. The caller must call Done when
// an admitted request ends.
func (l *Limiter) Admit(a *table.Account, work int, others Usage, now time.Time) Verdict {
	acc, ok := l.accounts[a.Name]
	if !ok {
		acc = &account{}
		l.accounts[a.Name] = acc
	}
	acc.requestDemand.Add(1, demandWindow, now)
	acc.tokenDemand.Add(float64(work), demandWindow, now)
	if a.LimitConcurrent > 0 && !acc.belowOpenLimit(a.LimitConcurrent, others) {
		return Verdict{Limit: table.ColLimitConcurrent, RetryAt: now.Add(demandWindow)}
	}
	if a.LimitRate > 0 {
		rate := a.LimitRate * share(acc.requestDemand.At(demandWindow, now), others.Rate)
		if at, ok := acc.requests.take(1, rate, now); !ok {
			return Verdict{Limit: table.ColLimitRate, RetryAt: at}
		}
	}
	if a.LimitTokens > 0 {
		rate := a.LimitTokens * share(acc.tokenDemand.At(demandWindow, now), others.Tokens)
		if at, ok := acc.tokens.take(float64(work), rate, now); !ok {
			return Verdict{Limit: table.ColLimitTokens, RetryAt: at}
		}
	}
	acc.open++
	return Verdict{OK: true}
}

func (a *account) belowOpenLimit(limit int, others Usage) bool {
	return a.open+others.Open < limit
}

// share returns the fraction of a limit that this instance enforces, given its own
// demand and the demand on the other instances.
func share(own, others float64) float64 {
	if own+others <= 0 {
		return minShare
	}
	return max(minShare, own/(own+others))
}

// Done marks an admitted request of the named client account as ended.
func (l *Limiter) Done(name string) {
	if acc, ok := l.accounts[name]; ok {
		acc.open--
	}
}

// Usage returns the usage of each client account on this instance, to be reported
// to the other instances.
func (l *Limiter) Usage(now time.Time) []Usage {
	out := make([]Usage, 0, len(l.accounts))
	for name, acc := range l.accounts {
		out = append(out, Usage{
			Account: name, Rate: acc.requestDemand.At(demandWindow, now), Tokens: acc.tokenDemand.At(demandWindow, now), Open: acc.open,
		})
	}
	return out
}

// activeDemand is the demand, in tokens per second, from which a client account
// counts as competing for capacity.
const activeDemand = 1.0

// OverShare reports whether the demand of a client account exceeds its fair share:
// its demand per unit of weight is more than overShareTolerance times the mean
// over all accounts with demand of at least activeDemand. others is the usage
// reported by the other instances, by account. An account whose weight is not
// positive is always over its share.
func (l *Limiter) OverShare(name string, weight func(account string) float64, others map[string]Usage, now time.Time) bool {
	demand := make(map[string]float64)
	for account, u := range others {
		demand[account] += u.Tokens
	}
	for account, acc := range l.accounts {
		demand[account] += acc.tokenDemand.At(demandWindow, now)
	}
	work, shares := 0.0, 0.0
	for account, d := range demand {
		if d >= activeDemand {
			work += d
			shares += weight(account)
		}
	}
	own := weight(name)
	if own <= 0 {
		return true
	}
	return shares > 0 && demand[name]/own > work/shares*overShareTolerance
}

// overShareTolerance keeps random variation in demand from putting an account
// over its share.
const overShareTolerance = 1.1
