package check

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the rule RECOVER for partitions.
const (
	minPartitionedShare = 2.0 / 3 // of the share of first tries served at the other instances
	failuresAllowed     = 10      // first tries that may fail at the partitioned instances,
	failuresPerTry      = 1.0 / 50
)

// partitionSlice is the time within which first tries are compared. What the endpoints can serve may change from one to
// the next, as an overload begins and ends, and instances do not get the same share of their tries in each.
const partitionSlice = time.Second

// tries counts first tries, at the partitioned instances and at the others.
type tries struct{ sent, served [2]int }

// comparedTries are the first tries that are compared with each other. What a client account asks beyond its limit is
// refused at all instances, and not as often at each: such an account is compared with itself.
type comparedTries struct {
	slice   time.Duration // in partitionSlice since the partition began
	account string        // empty for all accounts without a limit
}

// checkPartitions checks the rule RECOVER for partitions: while some instances have no path to any
// endpoint, callers' first tries there are served nearly as often as at the others at the same time, from
// Bounds.Contact after the partition began. Only instances in touch count; a partition leaves an instance in touch.
func checkPartitions(x *index) (out []Violation) {
	instances := make(map[string]bool)
	for i := range x.Attempts {
		instances[x.Attempts[i].Instance] = true
	}
	limited := make(map[string]bool)
	for _, a := range x.Accounts {
		limited[a.Name] = true
	}
	for _, p := range x.Partitions {
		byAccount, bySlice := make(map[string]*tries), make(map[comparedTries]*tries)
		for i := range x.Attempts {
			a := &x.Attempts[i]
			at, ok := x.comparable(a, &p, instances)
			if !ok {
				continue
			}
			key := comparedTries{slice: a.SentAt.Sub(p.From) / partitionSlice}
			if limited[a.Account] {
				key.account = a.Account
			}
			if byAccount[key.account] == nil {
				byAccount[key.account] = &tries{}
			}
			if bySlice[key] == nil {
				bySlice[key] = &tries{}
			}
			for _, t := range []*tries{byAccount[key.account], bySlice[key]} {
				t.sent[at]++
				if success(a.Status) && a.Sealed && a.Complete {
					t.served[at]++
				}
			}
		}
		var all tries
		for account, t := range byAccount {
			if account != "" && t.sent[0] == 0 { // nobody knows how many were over the limit
				continue
			}
			for at := range t.sent {
				all.sent[at] += t.sent[at]
				all.served[at] += t.served[at]
			}
		}
		failed := all.sent[1] - all.served[1]
		if all.sent[0] == 0 || float64(failed) <= failuresAllowed+failuresPerTry*float64(all.sent[1]) {
			continue
		}
		expected := 0.0 // served, had the partitioned instances served as often as the others
		for key, t := range bySlice {
			at := t
			if at.sent[0] == 0 { // nothing to compare with at that time
				at = byAccount[key.account]
			}
			if at.sent[0] == 0 && key.account == "" {
				at = &all
			}
			if at.sent[0] > 0 {
				expected += float64(t.sent[1]) * share(at.served[0], at.sent[0])
			}
		}
		if float64(all.served[1]) < minPartitionedShare*expected {
			out = append(out, Violation{"RECOVER partition", p.To, fmt.Sprintf("%v had no path to endpoints and served %d of %d first tries, %.1f expected by what the others served at the same time (%d of %d in all)", p.Instances, all.served[1], all.sent[1], expected, all.served[0], all.sent[0])})
		}
	}
	return out
}

// comparable reports whether an attempt counts for a partition, and whether it was at one of the partitioned instances (1)
// or at another one (0).
func (x *index) comparable(a *Attempt, p *Partition, instances map[string]bool) (at int, ok bool) {
	if a.Retry || !a.AbandonedAt.IsZero() || a.SentAt.Before(p.From.Add(x.Bounds.Contact)) || a.SentAt.After(p.To) || !x.inTouch(a.Instance, a.SentAt, a.EndedAt) {
		return 0, false
	}
	if slices.Contains(p.Instances, a.Instance) {
		at = 1
	} else if x.partitioned(a.Instance, a.SentAt) {
		return 0, false // by another partition
	}
	return at, x.anyHasPaths(instances, a.SentAt) // otherwise nobody could serve it
}

func share(part, all int) float64 { return float64(part) / float64(all) }

// partitioned reports whether an instance had no path to endpoints at a moment.
func (x *index) partitioned(instance string, at time.Time) bool {
	return slices.ContainsFunc(x.Partitions, func(p Partition) bool {
		return slices.Contains(p.Instances, instance) && !at.Before(p.From) && !at.After(p.To)
	})
}

// anyHasPaths reports whether some instance had paths to endpoints at a moment.
func (x *index) anyHasPaths(instances map[string]bool, at time.Time) bool {
	for name := range instances {
		if !x.partitioned(name, at) {
			return true
		}
	}
	return false
}

// resetWhile reports whether the connections of an instance to endpoints were reset while an attempt was
// in progress.
func (x *index) resetWhile(instance string, a *Attempt) bool {
	return slices.ContainsFunc(x.Partitions, func(p Partition) bool {
		return slices.Contains(p.Instances, instance) && !p.ResetBy.Before(a.SentAt) && !p.From.After(a.EndedAt)
	})
}
