// Package rollout implements canary roll-outs: it moves a service's requests from one software
// version of its endpoints to another, at the operators' order, and rolls back if the new version
// serves callers worse.
//
// An order names the target version and the time that the roll-out may take. First the target is
// on trial and gets a small share of the requests. Each instance bounds that share of its own
// requests by itself (Exposure). All instances count the outcomes of both versions (Counts). One
// instance, the leader, compares the sums (Judge), decides how the roll-out goes on (Next), and
// writes that to the store (Record).
//
// The package does no I/O, starts no goroutine and reads no clock.
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
	Target   string         // version
	Revision store.Revision // of the order in the store; a newer order has a higher one
	Window   time.Duration  // that the roll-out may take, counted from when the order is first seen
}

// Phase is the phase of a roll-out.
type Phase string

// The phases. Trial and Shift are in progress, the others are final.
const (
	Trial      Phase = "trial"       // the target gets a small share of the requests
	Shift      Phase = "shift"       // all new requests go to the target, open ones end where they run
	Completed  Phase = "completed"   // only the target gets requests
	RolledBack Phase = "rolled_back" // the target gets no more requests
)

// Final reports whether a roll-out in this phase is over.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Record is the state of a roll-out in the store, as JSON. A later record of the same order never
// has an earlier phase. All times are wall-clock times.
type Record struct {
	Service  string
	Order    store.Revision // revision of the order
	Target   string
	Phase    Phase
	TrialEnd time.Time // earliest time at which the trial can succeed
	Deadline time.Time // when the roll-out should be over
	ShiftAt  time.Time // when the shift began; zero before
	Rejected []string  // versions that must not be used: rolled back, or superseded by another order while on trial
	Why      string    // reason for the phase, for operators
}

// Covers reports whether the record is of the order o or of a later one. If o was read in a later
// era of the store (after a restore) and has the same target, it is taken for the record's own
// order, written again by the operators.
func (r *Record) Covers(o Order) bool {
	return r.Order >= o.Revision || r.Order.Era() < o.Revision.Era() && r.Target == o.Target
}

// rank returns the position of a phase in a roll-out. The final phases rank the same.
func (p Phase) rank() int {
	switch p {
	case Trial:
		return 1
	case Shift:
		return 2
	}
	return 3
}

// After reports whether the record is of a later order than o, or of the same order in a later
// phase.
func (r *Record) After(o Record) bool {
	return r.Order > o.Order || r.Order == o.Order && r.Phase.rank() > o.Phase.rank()
}

// maxRejected is the greatest length of Record.Rejected. The oldest versions are dropped first.
const maxRejected = 8

// reject adds a version to those that must not be used.
func (r *Record) reject(version string) {
	if version == "" || slices.Contains(r.Rejected, version) {
		return
	}
	r.Rejected = append(slices.Clone(r.Rejected), version)
	if n := len(r.Rejected) - maxRejected; n > 0 {
		r.Rejected = r.Rejected[n:]
	}
}

// Current returns the roll-out that an instance follows: the last record, or the start of a trial if
// the order is newer. Either may be nil; the second result is false if both are.
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

// Arms are the endpoints of a service, divided by the requests that they get.
type Arms struct {
	Main     []registry.Endpoint // get all requests but the trial's share
	Trial    []registry.Endpoint // get the trial's share
	Replaced map[string]bool     // ids of the endpoints that the target replaces
	Bucket   map[string]uint8    // group that each endpoint of the target is counted in, by id
}

// minTrialEndpoints is the least number of endpoints on trial, if there are so many. With three, a
// single faulty endpoint can be distinguished from a bad version.
const minTrialEndpoints = 3

// Divide divides a service's endpoints as the phase of a roll-out requires.
//
// unconfirmed reports whether a version may be the target of an order that this instance has not
// read yet; its endpoints get no requests while there are others. share is the trial's share of the
// requests: the number of endpoints on trial is that share of the others' number, so that each gets
// the same load, and a version that fails under load does so on trial.
func Divide(endpoints []registry.Endpoint, r Record, share float64, unconfirmed func(version string) bool) Arms {
	arms := Arms{Replaced: make(map[string]bool), Bucket: make(map[string]uint8)}
	var target, held, rejected []registry.Endpoint
	for _, e := range endpoints {
		if r.Order != 0 && e.Version == r.Target {
			target = append(target, e)
			continue
		}
		arms.Replaced[e.ID] = true
		switch {
		case slices.Contains(r.Rejected, e.Version):
			rejected = append(rejected, e)
		case unconfirmed(e.Version):
			held = append(held, e)
		default:
			arms.Main = append(arms.Main, e)
		}
	}
	sortTarget(target, r)
	for i, e := range target {
		arms.Bucket[e.ID] = uint8(i % Buckets)
	}
	switch r.Phase {
	case Shift, Completed:
		arms.Main = firstNonEmpty(target, arms.Main, held, rejected)
	case Trial:
		arms.Main = firstNonEmpty(arms.Main, held)
		if len(arms.Main) > 0 {
			arms.Trial = target[:min(len(target), trialSize(len(arms.Main), share))]
		}
		arms.Main = firstNonEmpty(arms.Main, target, rejected)
	default:
		arms.Main = firstNonEmpty(arms.Main, held, target, rejected)
	}
	return arms
}

// firstNonEmpty returns the first list that is not empty. The last lists hold endpoints that should
// not be used but are better than none.
func firstNonEmpty(lists ...[]registry.Endpoint) []registry.Endpoint {
	for _, l := range lists {
		if len(l) > 0 {
			return l
		}
	}
	return nil
}

// trialSize returns the number of endpoints on trial for a number of others.
func trialSize(others int, share float64) int {
	return max(minTrialEndpoints, int(math.Ceil(share*float64(others))))
}

// sortTarget sorts the endpoints of the target, of which the first ones are on trial, by rendezvous
// hashing. The order is the same at all instances and differs between roll-outs.
func sortTarget(target []registry.Endpoint, r Record) {
	subject := xxhash.Sum64String(r.Service) ^ uint64(r.Order)
	slices.SortFunc(target, func(a, b registry.Endpoint) int {
		return cmp.Compare(rendezvous.Score(subject, b.ID), rendezvous.Score(subject, a.ID))
	})
}
