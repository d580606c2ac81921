// Package tally sums what many instances count, through a few hubs.
//
// Each instance reports to one hub what it counted, and goes to another hub when that
// one does not answer. What is reported is the running total of all that was ever reported
// to this hub, never an increase: a message that is repeated, lost or late changes
// nothing in the end. Each count is reported to one hub, so that the sum over all hubs
// has it once. What a hub did not confirm is reported to the next one as well: it is
// then counted twice, until the first hub gets a report again or is forgotten.
//
// The package is pure; its types belong to one goroutine at a time.
package tally

import "maps"

// Number is what is counted.
type Number interface{ ~int64 | ~float64 }

// Counts are running totals by key.
type Counts[K comparable, V Number] map[K]V

// Source is one run of an instance: its counts begin anew with each start.
type Source struct {
	Instance    string
	Incarnation int64
}

// Ledger divides the running totals of one instance among the hubs that it reports to.
type Ledger[K comparable, V Number] struct {
	reported map[Source]Counts[K, V] // what each hub confirmed
}

// NewLedger returns a ledger of an instance that reported nothing yet.
func NewLedger[K comparable, V Number]() *Ledger[K, V] {
	return &Ledger[K, V]{reported: make(map[Source]Counts[K, V])}
}

// Offer returns what is to be reported to a hub: what it confirmed before, and that part
// of the instance's totals which no hub has confirmed. Keys that are not in the
// totals any more are not reported.
func (l *Ledger[K, V]) Offer(hub Source, total Counts[K, V]) Counts[K, V] {
	offer := maps.Clone(total)
	if offer == nil {
		offer = make(Counts[K, V])
	}
	for other, told := range l.reported {
		if other == hub {
			continue
		}
		for key, v := range told {
			if _, counted := offer[key]; counted {
				offer[key] -= v
			}
		}
	}
	return offer
}

// Confirmed notes that a hub has what it was offered.
func (l *Ledger[K, V]) Confirmed(hub Source, offer Counts[K, V]) { merge(l.reported, hub, offer) }

// Reported returns what a hub confirmed. It must not be changed.
func (l *Ledger[K, V]) Reported(hub Source) Counts[K, V] { return l.reported[hub] }

// Drop forgets keys that are not counted any more.
func (l *Ledger[K, V]) Drop(key func(K) bool) {
	for _, told := range l.reported {
		dropKeys(told, key)
	}
}

// Pool sums at a hub what the instances reported.
type Pool[K comparable, V Number] struct {
	reported map[Source]Counts[K, V] // newest of each instance
	sum      Counts[K, V]            // of all, those that are gone included
}

// NewPool returns an empty pool.
func NewPool[K comparable, V Number]() *Pool[K, V] {
	return &Pool[K, V]{reported: make(map[Source]Counts[K, V]), sum: make(Counts[K, V])}
}

// Take takes the totals that an instance reports.
func (p *Pool[K, V]) Take(from Source, totals Counts[K, V]) {
	before := p.reported[from]
	for key, v := range totals {
		p.sum[key] += v - before[key]
	}
	merge(p.reported, from, totals)
}

// Sum returns the sums over all instances that ever reported anything. They must not
// be changed.
func (p *Pool[K, V]) Sum() Counts[K, V] { return p.sum }

// Drop forgets keys that are not counted any more.
func (p *Pool[K, V]) Drop(key func(K) bool) {
	dropKeys(p.sum, key)
	for _, told := range p.reported {
		dropKeys(told, key)
	}
}

// merge puts counts in the place of older ones. A key that is not in them stays as it
// was: it may be reported again.
func merge[K comparable, V Number](all map[Source]Counts[K, V], of Source, newer Counts[K, V]) {
	if all[of] == nil {
		all[of] = make(Counts[K, V], len(newer))
	}
	maps.Copy(all[of], newer)
}

func dropKeys[K comparable, V Number](c Counts[K, V], key func(K) bool) {
	maps.DeleteFunc(c, func(k K, _ V) bool { return key(k) })
}
