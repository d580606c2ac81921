package quota

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
)

// A hub of a large fleet sees a part of all requests before they are sent, while what
// an instance knows of the others is up to a second old. In a second each of hundreds
// of instances may admit a request of an account that turned hot: no one of them can
// tell. The hub can, since what it sees of an account is a sample of what all see.
const (
	blindFor   = 500 * time.Millisecond // what was admitted in that time is not in the levels yet
	trustAfter = 4.0                    // requests seen in it that tell half of what the others see: a single large one tells little
)

// sample is what a hub saw of an account in the time that the levels do not tell of.
type sample struct {
	units    decay.Rate
	requests decay.Rate
}

// unseen estimates what all hubs saw together of which the levels do not tell, if
// this one sees a share of all requests.
func (s *sample) unseen(share float64, now time.Time) float64 {
	units := s.units.At(blindFor, now) * blindFor.Seconds()
	requests := s.requests.At(blindFor, now) * blindFor.Seconds()
	others := max(0, 1/share-1)
	return units * (1 + others*requests/(requests+trustAfter))
}

// Confirm asks, at a hub, whether a request may be sent that another instance admitted
// on older news. share is the part of all requests that this hub sees.
func (l *Limiter) Confirm(name string, limit Limit, units, share float64, now time.Time) Verdict {
	if limit.Rate <= 0 {
		return Verdict{OK: true}
	}
	a := l.account(name)
	a.bucket.fill(limit.part(l.known()), now)
	left := a.bucket.level - a.sample.unseen(share, now)
	need := payShare * min(units, limit.Burst)
	if left < need {
		return l.beyondLimit(left, need, limit, now)
	}
	a.sample.units.Add(units, blindFor, now)
	a.sample.requests.Add(1, blindFor, now)
	return Verdict{OK: true, Level: left}
}
