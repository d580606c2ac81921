// Package rollout moves a service's requests from one software version of its
// endpoints to another, at the operators' order, and back if the new version serves
// callers worse.
//
// An order names the new version and when the move has to be over. While the new
// version is on trial it gets a small share of the requests (Exposure), so few that
// the bound on what a bad version may get holds at each instance by itself. The
// outcomes of both versions are counted by all instances (Counts), and one instance
// judges by the sums (Judge) and says how the roll-out goes on (Next). What it says
// lasts as a Record in the store.
//
// The package is pure: it has no clock, goroutine or network of its own.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
	"github.com/shelfcrank/shelfcrank/internal/store"
)

// Order is the operators' order to move a service to a version.
type Order struct {
	Service  string
	Target   string
	Revision store.Revision // of the order in the store: newer orders have higher ones
	Window   time.Duration  // that the operators give; it becomes a deadline when the order is first seen
}

// Phase is how far a roll-out is.
type Phase string

// The phases. Trial and Shift are under way, the others final.
const (
	Trial      Phase = "trial"       // the target gets a small share of the requests
	Shift      Phase = "shift"       // all new requests go to the target, older ones end where they run
	Completed  Phase = "completed"   // only the target is used
	RolledBack Phase = "rolled_back" // the target is not used any more
)

// Final reports whether a roll-out in this phase is over.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Record is what lasts of a roll-out in the store. A newer one of the same order never
// has an earlier phase.
type Record struct {
	Service  string
	Order    store.Revision // of the order
	Target   string
	Phase    Phase
	TrialEnd time.Time // when the trial has to be judged, of the day
	Deadline time.Time // when the roll-out should be over, of the day
	ShiftAt  time.Time // when the shift began, of the day; zero before
	Rejected []string  // versions that are not to be used: rolled back, or replaced by another order while on trial
	Why      string    // of the phase, for operators
}

// Covers reports whether the record is of an order, or of a later one. An order for the same
// target that is read in a later era of the store is the one that the record is of, written
// again.
func (r *Record) Covers(o Order) bool {
	return r.Order >= o.Revision || r.Order.Era() < o.Revision.Era() && r.Target == o.Target
}

// rank orders phases: those of a roll-out never go back.
func (p Phase) rank() int {
	switch p {
	case Trial:
		return 1
	case Shift:
		return 2
	}
	return 3
}

// After reports whether the record is of a later order than another one, or of the same in a
// later phase.
func (r *Record) After(o Record) bool {
	return r.Order > o.Order || r.Order == o.Order && r.Phase.rank() > o.Phase.rank()
}

// mostRejected bounds the versions that a record remembers as rejected.
const mostRejected = 8

// reject adds a version to those that are not to be used.
func (r *Record) reject(version string) {
	if version == "" || slices.Contains(r.Rejected, version) {
		return
	}
	r.Rejected = append(slices.Clone(r.Rejected), version)
	if n := len(r.Rejected) - mostRejected; n > 0 {
		r.Rejected = r.Rejected[n:]
	}
}

// Current returns the roll-out that an instance goes by: the record, or the beginning
// of a trial if it knows of an order that is newer. Either may be nil; the second
// result is false if both are.
func Current(order *Order, last *Record) (Record, bool) {
	switch {
	case order == nil && last == nil:
		return Record{}, false
	case order == nil || last != nil && last.Covers(*order):
		return *last, true
	}
	next := Record{Service: order.Service, Order: order.Revision, Target: order.Target, Phase: Trial, Why: "ordered"}
	if last != nil {
		next.Rejected = slices.DeleteFunc(slices.Clone(last.Rejected), func(v string) bool { return v == order.Target })
		if last.Phase == Trial && last.Target != order.Target {
			next.reject(last.Target)
		}
	}
	return next, true
}

// Arms are the endpoints of a service, divided by version.
type Arms struct {
	Main  []registry.Endpoint // that get all requests but the trial's
	Trial []registry.Endpoint // that get the trial's share
	Old   map[string]bool     // ids of those that the target replaces
	Group map[string]uint8    // ids of those of the target, to the group that each is counted in
}

// leastTrial is the number of endpoints that a trial needs, if there are so many: a
// the others distinguish a single sick one from a bad version.
const leastTrial = 3

// Divide divides a service's endpoints as a roll-out asks for. unproved says of a
// version that it may be one that an order names of which this instance has not read
// yet; such a one gets nothing as long as there are others. share is the share of the
// requests that a trial gets: they go to no more endpoints than that share of those
// there are, so that each has as much to do as the others, and a version that fails
// under load does so while it is on trial.
func Divide(servers []registry.Endpoint, r Record, share float64, unproved func(version string) bool) Arms {
	arms := Arms{Old: make(map[string]bool), Group: make(map[string]uint8)}
	var target, unknown, rejected []registry.Endpoint
	for _, s := range servers {
		if r.Order != 0 && s.Version == r.Target {
			target = append(target, s)
			continue
		}
		arms.Old[s.ID] = true
		switch {
		case slices.Contains(r.Rejected, s.Version):
			rejected = append(rejected, s)
		case unproved(s.Version):
			unknown = append(unknown, s)
		default:
			arms.Main = append(arms.Main, s)
		}
	}
	rank(target, r)
	for i, s := range target {
		arms.Group[s.ID] = uint8(i % Buckets)
	}
	switch r.Phase {
	case Shift, Completed:
		arms.Main = firstOf(target, arms.Main, unknown, rejected)
	case Trial:
		arms.Main = firstOf(arms.Main, unknown)
		if len(arms.Main) > 0 {
			arms.Trial = target[:min(len(target), trialSize(len(arms.Main), share))]
		}
		arms.Main = firstOf(arms.Main, target, rejected)
	default:
		arms.Main = firstOf(arms.Main, unknown, target, rejected)
	}
	return arms
}

// firstOf returns the first list that has anything in it: endpoints that should not be
// used are better than none.
func firstOf(lists ...[]registry.Endpoint) []registry.Endpoint {
	for _, l := range lists {
		if len(l) > 0 {
			return l
		}
	}
	return nil
}

// trialSize returns the number of endpoints of a trial beside so many others.
func trialSize(others int, share float64) int {
	return max(leastTrial, int(math.Ceil(share*float64(others))))
}

// rank orders the endpoints of the target: the first ones are on trial. All instances
// order them alike, and each roll-out differently.
func rank(target []registry.Endpoint, r Record) {
	subject := xxhash.Sum64String(r.Service) ^ uint64(r.Order)
	slices.SortFunc(target, func(a, b registry.Endpoint) int {
		return cmp.Compare(rendezvous.Score(subject, b.ID), rendezvous.Score(subject, a.ID))
	})
}
