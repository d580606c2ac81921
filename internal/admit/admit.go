// Package admit holds an account's limits over all entry instances.
//
// Each instance takes a share of a limit that follows from the demand it sees
// against the demand the others reported: together they admit the limit, with
// no message per request. When the others are cut off, their reports lapse and
// each side of the cut admits at most the whole limit.
//
// The package is pure; a Limiter belongs to one goroutine at a time.
package admit

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Usage is the use of an account's limits.
type Usage struct {
	Account string
	Rate    float64 // requests per second asked for
	Tokens  float64 // tokens per second asked for
	Open    int     // requests open
}

// Verdict says whether a request is admitted.
type Verdict struct {
	OK      bool
	Limit   string    // name of the limit that is reached
	RetryAt time.Time // when to come back
}

const (
	demandWindow = time.Second     // over which demand is averaged
	burst        = 2 * time.Second // of the share that may be used at once
	leastShare   = 0.02            // share of an instance that saw no demand yet
)

// bucket is a token bucket filled at a rate that may change.
type bucket struct {
	level float64
	at    time.Time
}

// take takes n from the bucket, or returns when there will be enough.
func (b *bucket) take(n, rate float64, now time.Time) (time.Time, bool) {
	most := max(rate*burst.Seconds(), n)
	if b.at.IsZero() {
		b.level = most / 2
	} else {
		b.level = min(most, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
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
	requests bucket
	tokens   bucket
	askedReq decay.Rate // asked for, admitted or not
	askedTok decay.Rate
	open     int
}

// Limiter counts the use of limits by account.
type Limiter struct {
	accounts map[string]*account
}

// New returns an empty limiter.
func New() *Limiter { return &Limiter{accounts: make(map[string]*account)} }

// Admit asks for a request with so many tokens of work. others is what the
// other instances reported. An admitted request is ended by Done.
func (l *Limiter) Admit(a *table.Account, work int, others Usage, now time.Time) Verdict {
	acc, ok := l.accounts[a.Name]
	if !ok {
		acc = &account{}
		l.accounts[a.Name] = acc
	}
	acc.askedReq.Add(1, demandWindow, now)
	acc.askedTok.Add(float64(work), demandWindow, now)
	if a.LimitOpen > 0 && !acc.openFits(a.LimitOpen, others) {
		return Verdict{Limit: table.ColLimitOpen, RetryAt: now.Add(demandWindow)}
	}
	if a.LimitRate > 0 {
		rate := a.LimitRate * share(acc.askedReq.At(demandWindow, now), others.Rate)
		if at, ok := acc.requests.take(1, rate, now); !ok {
			return Verdict{Limit: table.ColLimitRate, RetryAt: at}
		}
	}
	if a.LimitToks > 0 {
		rate := a.LimitToks * share(acc.askedTok.At(demandWindow, now), others.Tokens)
		if at, ok := acc.tokens.take(float64(work), rate, now); !ok {
			return Verdict{Limit: table.ColLimitToks, RetryAt: at}
		}
	}
	acc.open++
	return Verdict{OK: true}
}

func (a *account) openFits(limit int, others Usage) bool {
	return a.open+others.Open < limit
}

func share(own, others float64) float64 {
	if own+others <= 0 {
		return leastShare
	}
	return max(leastShare, own/(own+others))
}

// Done ends an admitted request.
func (l *Limiter) Done(name string) {
	if acc, ok := l.accounts[name]; ok {
		acc.open--
	}
}

// Usage returns the use by account, for the other instances.
func (l *Limiter) Usage(now time.Time) []Usage {
	out := make([]Usage, 0, len(l.accounts))
	for name, acc := range l.accounts {
		out = append(out, Usage{
			Account: name, Rate: acc.askedReq.At(demandWindow, now), Tokens: acc.askedTok.At(demandWindow, now), Open: acc.open,
		})
	}
	return out
}

// busy is the rate of work, in tokens per second, from which an account counts
// as asking for a share.
const busy = 1.0

// OverShare reports whether an account asks for more work than its fair share:
// its demand by weight is above the mean of the accounts that ask for any.
func (l *Limiter) OverShare(name string, weight func(account string) float64, others map[string]Usage, now time.Time) bool {
	demand := make(map[string]float64)
	for account, u := range others {
		demand[account] += u.Tokens
	}
	for account, acc := range l.accounts {
		demand[account] += acc.askedTok.At(demandWindow, now)
	}
	work, shares := 0.0, 0.0
	for account, d := range demand {
		if d >= busy {
			work += d
			shares += weight(account)
		}
	}
	own := weight(name)
	if own <= 0 {
		return true
	}
	return shares > 0 && demand[name]/own > work/shares*overFactor
}

// overFactor leaves room for chance before an account counts as over its share.
const overFactor = 1.1
