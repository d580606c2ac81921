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

// checkPartitions checks the rule RECOVER for partitions: while some instances have no path to any
// endpoint, callers' first tries there are served nearly as often as at the others, from Bounds.Contact
// after the partition began. Only instances in touch count; a partition leaves an instance in touch.
func checkPartitions(x *index) (out []Violation) {
	instances := make(map[string]bool)
	for i := range x.Attempts {
		instances[x.Attempts[i].Instance] = true
	}
	for _, p := range x.Partitions {
		var sent, served [2]int
		for i := range x.Attempts {
			a := &x.Attempts[i]
			if a.Retry || !a.AbandonedAt.IsZero() || a.SentAt.Before(p.From.Add(x.Bounds.Contact)) || a.SentAt.After(p.To) || !x.inTouch(a.Instance, a.SentAt, a.EndedAt) {
				continue
			}
			at := 0
			if slices.Contains(p.Instances, a.Instance) {
				at = 1
			} else if x.partitioned(a.Instance, a.SentAt) {
				continue // by another partition
			}
			if !x.anyHasPaths(instances, a.SentAt) {
				continue // nobody could serve it
			}
			sent[at]++
			if success(a.Status) && a.Sealed && a.Complete {
				served[at]++
			}
		}
		failed := sent[1] - served[1]
		if sent[0] == 0 || float64(failed) <= failuresAllowed+failuresPerTry*float64(sent[1]) {
			continue
		}
		if share(served[1], sent[1]) < minPartitionedShare*share(served[0], sent[0]) {
			out = append(out, Violation{"RECOVER partition", p.To, fmt.Sprintf("%v had no path to endpoints and served %d of %d first tries, the others %d of %d", p.Instances, served[1], sent[1], served[0], sent[0])})
		}
	}
	return out
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
