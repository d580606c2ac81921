// Package tally sums counters of many instances through a few hubs.
//
// Each instance reports its counts to one hub, and switches to another hub when that one does not
// answer. A report holds running totals of everything ever reported to that hub rather than
// increments, so that repeated, lost or late messages do no lasting harm. Each count is reported to
// one hub only, so that the sum over all hubs contains it once. Counts that a hub did not
// acknowledge are reported to the next one as well. They may then be counted twice until the first
// hub receives a report again or is no longer summed.
//
// The package does no I/O. Its types must be used by one goroutine at a time.
package tally

import "maps"

// Number is the type of a count.
type Number interface{ ~int64 | ~float64 }

// Counts are running totals by key.
type Counts[K comparable, V Number] map[K]V

// Source identifies one incarnation of an instance. Counts begin at zero with each incarnation.
type Source struct {
	Instance    string
	Incarnation int64
}

// Reporter divides the running totals of one instance among the hubs that it reports to.
type Reporter[K comparable, V Number] struct {
	acknowledged map[Source]Counts[K, V] // totals that each hub acknowledged
}

// NewReporter returns the Reporter of an instance that has reported nothing yet.
func NewReporter[K comparable, V Number]() *Reporter[K, V] {
	return &Reporter[K, V]{acknowledged: make(map[Source]Counts[K, V])}
}

// TotalsFor returns the totals to report to a hub: those that it acknowledged before, plus the part
// of the instance's totals that no hub has acknowledged. Keys that are not in total are left out.
func (l *Reporter[K, V]) TotalsFor(hub Source, total Counts[K, V]) Counts[K, V] {
	report := maps.Clone(total)
	if report == nil {
		report = make(Counts[K, V])
	}
	for other, counts := range l.acknowledged {
		if other == hub {
			continue
		}
		for key, v := range counts {
			if _, counted := report[key]; counted {
				report[key] -= v
			}
		}
	}
	return report
}

// Acknowledge records that a hub received a report made by TotalsFor.
func (l *Reporter[K, V]) Acknowledge(hub Source, report Counts[K, V]) {
	merge(l.acknowledged, hub, report)
}

// Acknowledged returns the totals that a hub acknowledged. They must not be modified.
func (l *Reporter[K, V]) Acknowledged(hub Source) Counts[K, V] { return l.acknowledged[hub] }

// DropKeys removes the keys for which drop returns true.
func (l *Reporter[K, V]) DropKeys(drop func(K) bool) {
	for _, counts := range l.acknowledged {
		dropKeys(counts, drop)
	}
}

// Aggregator sums at a hub what instances reported.
type Aggregator[K comparable, V Number] struct {
	reported map[Source]Counts[K, V] // latest totals of each incarnation
	sum      Counts[K, V]            // over all incarnations, including ended ones
}

// NewAggregator returns an Aggregator without counts.
func NewAggregator[K comparable, V Number]() *Aggregator[K, V] {
	return &Aggregator[K, V]{reported: make(map[Source]Counts[K, V]), sum: make(Counts[K, V])}
}

// Apply applies the totals that an instance reports.
func (p *Aggregator[K, V]) Apply(from Source, totals Counts[K, V]) {
	previous := p.reported[from]
	for key, v := range totals {
		p.sum[key] += v - previous[key]
	}
	merge(p.reported, from, totals)
}

// Sum returns the sums over all incarnations that ever reported. They must not be modified.
func (p *Aggregator[K, V]) Sum() Counts[K, V] { return p.sum }

// DropKeys removes the keys for which drop returns true.
func (p *Aggregator[K, V]) DropKeys(drop func(K) bool) {
	dropKeys(p.sum, drop)
	for _, counts := range p.reported {
		dropKeys(counts, drop)
	}
}

// merge overwrites the counts of a source with newer ones. Keys that are missing in newer keep
// their counts, since they may be reported again.
func merge[K comparable, V Number](all map[Source]Counts[K, V], source Source, newer Counts[K, V]) {
	if all[source] == nil {
		all[source] = make(Counts[K, V], len(newer))
	}
	maps.Copy(all[source], newer)
}

func dropKeys[K comparable, V Number](counts Counts[K, V], drop func(K) bool) {
	maps.DeleteFunc(counts, func(k K, _ V) bool { return drop(k) })
}
