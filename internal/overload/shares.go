package overload

import (
	"math"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/decay"
)

const (
	// levelInterval is how often the level of the shares is computed. It passes over all accounts;
	// the demands that it follows are averaged over 20 times as long.
	levelInterval = 50 * time.Millisecond

	// refreshed is the number of accounts whose demands are refreshed with the level, which bounds the
	// time of a decision. The demand of an account that sends is up to date anyway; among 333 accounts
	// that of another is 0.3 s old at most.
	refreshed = 64

	// shareDeviations is the number of standard deviations by which an account's demand has to differ
	// from its share for the account to count as over or within it. The requests of an account at a
	// hub are few: at 7 per second, the demand that is measured of a steady sender varies by a
	// quarter, and callers would be refused on the ground of chance.
	shareDeviations = 1
)

// account is the state of a client account at one service.
type account struct {
	name     string
	weight   float64
	lastSeen time.Time
	asked    decay.Rate // work asked for, admitted or not
	squares  decay.Rate // squares of the work asked for
	admitted accepted   // work admitted
	demand   float64    // work per second asked for, as of the latest request or refresh

	// unreserved is the time from which the next reservation keeps the account's reserved work within
	// half of its share.
	unreserved time.Time
}

// ask counts a request, or takes back the count if the work is negative.
func (a *account) ask(work float64, now time.Time) {
	addUpTo(&a.asked, work, now)
	addUpTo(&a.squares, work*math.Abs(work), now)
	a.demand = a.asked.At(averaging, now)
}

// demandDeviation returns the standard deviation of the measured demand of an account whose requests
// come independently of each other at a steady rate.
func (a *account) demandDeviation(now time.Time) float64 {
	return math.Sqrt(max(0, a.squares.At(averaging, now)) / (2 * averaging.Seconds()))
}

// shares divides the work that a service admits among client accounts, by weighted max-min fairness:
// an account gets what it asks for up to a level times its weight. The level is the same for all.
type shares struct {
	accounts map[string]*account
	list     []*account // the same accounts
	next     int        // index of the account to refresh next
	demands  []demand   // reused by update
	level    float64    // work per second per unit of weight; infinite if all demands are met
	updateAt time.Time  // when to compute the level next
}

func newShares() shares {
	return shares{accounts: make(map[string]*account), level: math.Inf(1)}
}

// account returns the state of an account that sent a request.
func (s *shares) account(name string, weight float64, now time.Time) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name}
		s.accounts[name] = a
		s.list = append(s.list, a)
	}
	a.weight, a.lastSeen = weight, now
	return a
}

// over reports whether an account asks for more than its share.
func (s *shares) over(a *account, now time.Time) bool {
	if math.IsInf(s.level, 1) {
		return false
	}
	excess := a.asked.At(averaging, now) - s.level*a.weight
	return excess > 0 && excess > shareDeviations*a.demandDeviation(now)
}

// within reports whether an account asks for less than its share. Between over and within, an account
// is neither restricted nor are others for its sake.
func (s *shares) within(a *account, now time.Time) bool {
	return a.asked.At(averaging, now)+shareDeviations*a.demandDeviation(now) <= s.level*a.weight
}

// used returns the fraction of its share that an account was admitted with requests that are at least
// as urgent as the given priority.
func (s *shares) used(a *account, priority int, now time.Time) float64 {
	return a.admitted.upTo(priority, now) / (s.level * a.weight)
}

// due reports whether to update the level.
func (s *shares) due(now time.Time) bool { return !now.Before(s.updateAt) }

// update computes the level for the work admitted of all accounts per second, and drops accounts that
// have sent nothing for a while.
func (s *shares) update(admitted float64, now time.Time) {
	s.updateAt = now.Add(levelInterval)
	s.refresh(now)
	s.demands = s.demands[:0]
	for _, a := range s.list {
		s.demands = append(s.demands, demand{a.demand, a.weight})
	}
	s.level = maxMinLevel(s.demands, admitted)
}

// refresh averages the demands of the next accounts in turn up to now.
func (s *shares) refresh(now time.Time) {
	for range min(refreshed, len(s.list)) {
		if s.next >= len(s.list) {
			s.next = 0
		}
		a := s.list[s.next]
		if now.Sub(a.lastSeen) < retention {
			a.demand = a.asked.At(averaging, now)
			s.next++
			continue
		}
		delete(s.accounts, a.name)
		last := len(s.list) - 1
		s.list[s.next], s.list[last] = s.list[last], nil
		s.list = s.list[:last]
	}
}

// demand is the work per second that an account asks for.
type demand struct{ work, weight float64 }

// maxMinLevel returns the level at which the accounts together get the total. It starts with the
// level at which no account asks for less than its share. Each pass gives what the accounts below
// the level leave unused to the others, which raises the level, until no more accounts are below.
// It changes the order of the demands.
func maxMinLevel(demands []demand, total float64) float64 {
	level := 0.0
	for {
		weight := 0.0
		for _, d := range demands {
			weight += d.weight
		}
		level = max(level, total/weight)
		above := demands[:0]
		for _, d := range demands {
			if d.work <= level*d.weight {
				total -= d.work
			} else {
				above = append(above, d)
			}
		}
		switch len(above) {
		case 0:
			return math.Inf(1)
		case len(demands):
			return level
		}
		demands = above
	}
}
