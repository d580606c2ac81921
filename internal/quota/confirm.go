package quota

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
)

// In a large fleet, what an instance knows of the others is up to a second old. In that second
// each of hundreds of instances may admit a request of an account whose traffic has just risen,
// and none of them can detect that the sum is above the limit. A hub can: it sees a share of all
// requests before they are sent, which is a sample of the whole traffic of an account.
const (
	levelLag       = 500 * time.Millisecond // what was admitted within this time is not in the levels yet
	halfConfidence = 4.0                    // requests in a sample at which its extrapolation to the other hubs has half its full weight; a single large request is weak evidence
)

// sample holds rates of what a hub confirmed for an account, averaged over levelLag.
type sample struct {
	units    decay.Rate
	requests decay.Rate
}

// unaccounted estimates the units that all hubs together saw and that are not in the levels yet,
// given the share of all requests that this hub sees.
func (s *sample) unaccounted(share float64, now time.Time) float64 {
	units := s.units.At(levelLag, now) * levelLag.Seconds()
	requests := s.requests.At(levelLag, now) * levelLag.Seconds()
	others := max(0, 1/share-1)
	return units * (1 + others*requests/(requests+halfConfidence))
}

// Confirm decides at a hub whether a request may be sent that another instance admitted on older
// data (see AdmitProvisionally). share is the share of all requests that this hub sees.
func (l *Limiter) Confirm(name string, limit Limit, units, share float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{OK: true}
	}
	a := l.account(name)
	a.bucket.refill(limit.scaled(l.knownShare()), now)
	left := a.bucket.level - a.sample.unaccounted(share, now)
	need := minCoverage * min(units, limit.Burst)
	if left < need {
		return l.refuseOverLimit(left, need, limit, now)
	}
	a.sample.units.Add(units, levelLag, now)
	a.sample.requests.Add(1, levelLag, now)
	return Verdict{OK: true, Level: left}
}

// Withdraw takes back a confirmation for a request that is not sent. Without it, the request would
// count against the account for as long as the levels lag behind. It takes back no more than was
// confirmed: an account that has a limit elsewhere may have none here yet.
func (l *Limiter) Withdraw(name string, units float64, now time.Time) {
	if a := l.accounts[name]; a != nil {
		withdraw(&a.sample.units, units, now)
		withdraw(&a.sample.requests, 1, now)
	}
}

func withdraw(r *decay.Rate, n float64, now time.Time) {
	r.Add(-min(n, r.At(levelLag, now)*levelLag.Seconds()), levelLag, now)
}
