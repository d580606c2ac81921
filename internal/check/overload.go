package check

import (
	"fmt"
	"math"
	"slices"
)

// checkUnsent checks the rule UNSENT: nothing of a request that was refused for lack of capacity was
// sent to an endpoint, whether or not the request is idempotent.
func checkUnsent(x *index) (out []Violation) {
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if n := len(x.arrivals[a.ID]); a.RefusedForCapacity && n > 0 {
			out = append(out, Violation{"UNSENT", a.EndedAt, fmt.Sprintf("%s was refused by %s for lack of capacity, but reached %d endpoints", a.ID, a.Instance, n)})
		}
	}
	return out
}

// Bounds of the rule SHARE.
const (
	farAboveShare = 3.0 // multiple of the requests of another account from which an account counts as far above its share
	shareSigmas   = 3.0 // standard deviations of the refusals of an account that are chance
	shareSlack    = 2.0 // refusals allowed in addition, for accounts with few requests
)

// checkShare checks the rule SHARE: in an overload by one client account, the requests of an account
// that stays within its limit and sends far fewer are not refused for lack of capacity more often.
//
// If both accounts were refused with the same probability, the number of refusals would exceed the
// expected one by more than shareSigmas standard deviations once in 740 cases; shareSlack covers the
// small numbers for which the normal approximation does not hold.
func checkShare(x *index) (out []Violation) {
	for _, o := range x.Overloads {
		if o.Account == "" {
			continue
		}
		uses := x.capacityUses(o)
		heavy := uses[o.Account]
		if heavy == nil {
			continue
		}
		for name, u := range uses {
			if name == o.Account || float64(heavy.sent) < farAboveShare*float64(u.sent) || !x.withinLimit(name, u, o) {
				continue
			}
			if allowed := allowedRefusals(*u, *heavy); float64(u.refused) > allowed {
				out = append(out, Violation{"SHARE", o.To, fmt.Sprintf("%s had %d of %d requests refused for lack of capacity, %s %d of %d: at most %.1f expected", name, u.refused, u.sent, o.Account, heavy.refused, heavy.sent, allowed)})
			}
		}
	}
	slices.SortFunc(out, byTime)
	return out
}

// capacityUse counts the requests of a client account to a service during an overload.
type capacityUse struct {
	sent, refused int
	units         float64
}

// capacityUses returns the requests during an overload by client account. Retries are requests of
// their own: each of them can be refused.
func (x *index) capacityUses(o Overload) map[string]*capacityUse {
	uses := make(map[string]*capacityUse)
	for i := range x.Attempts {
		a := &x.Attempts[i]
		if a.Service != o.Service || a.SentAt.Before(o.From) || a.SentAt.After(o.To) {
			continue
		}
		u := uses[a.Account]
		if u == nil {
			u = &capacityUse{}
			uses[a.Account] = u
		}
		u.sent++
		u.units += a.Units
		if a.RefusedForCapacity {
			u.refused++
		}
	}
	return uses
}

// withinLimit reports whether an account stayed within its limit during an overload.
func (x *index) withinLimit(name string, u *capacityUse, o Overload) bool {
	for _, account := range x.Accounts {
		if account.Name == name && account.Rate > 0 {
			return u.units <= account.Rate*o.To.Sub(o.From).Seconds()+account.Burst
		}
	}
	return true
}

// allowedRefusals returns how many refusals of an account are consistent with the probability with
// which the requests of the heavy account were refused.
func allowedRefusals(u, heavy capacityUse) float64 {
	p := float64(heavy.refused+1) / float64(heavy.sent+2) // never 0 or 1, so that few requests leave it uncertain
	n := float64(u.sent)
	return n*p + shareSigmas*math.Sqrt(n*p*(1-p)) + shareSlack
}
