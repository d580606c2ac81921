// Package directory is the list, kept in the store, of a few instances that read the store for
// others. An instance that starts reads only this list, whose size does not grow with the fleet, and
// learns everything else through one of the instances on it.
//
// A list has a fixed number of slots, each held by one instance at most. Slots are claimed when
// nobody on the list answers, or when those that answer have too many callers. All instances of a
// fleet may start at the same moment without knowing each other, so claims are delayed at random
// such that few are made at once, whatever the size of the fleet.
//
// The package is pure.
package directory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	// Slots is the number of slots.
	Slots = 16
	// CallersPerHolder is how many instances read through one holder before another slot is claimed.
	CallersPerHolder = 64
)

// Entry is a slot that an instance holds.
type Entry struct {
	Slot     int
	Holder   topology.Member
	Revision store.Revision // of the slot's item
}

// Directory is a list of held slots, in no particular order.
type Directory []Entry

// Encode returns the value of a slot that m holds.
func Encode(m topology.Member) ([]byte, error) { return json.Marshal(m) }

// Key returns the key of a slot below the directory's prefix.
func Key(slot int) string { return strconv.Itoa(slot) }

// Decode decodes a slot from its key, without the directory's prefix, and its value.
func Decode(key string, b []byte, at store.Revision) (Entry, error) {
	slot, err := strconv.Atoi(key)
	if err != nil || slot < 0 || slot >= Slots {
		return Entry{}, fmt.Errorf("slot %q of the directory does not exist", key)
	}
	var holder topology.Member
	if err := json.Unmarshal(b, &holder); err != nil {
		return Entry{}, fmt.Errorf("decode slot %d of the directory: %w", slot, err)
	}
	if err := holder.Validate(); err != nil {
		return Entry{}, fmt.Errorf("slot %d of the directory: %w", slot, err)
	}
	return Entry{Slot: slot, Holder: holder, Revision: at}, nil
}

// Others returns the holders other than self, in an order that differs from instance to instance.
func (d Directory) Others(self string) []topology.Member {
	var others []topology.Member
	for _, e := range d {
		if e.Holder.Name != self {
			others = append(others, e.Holder)
		}
	}
	slices.SortFunc(others, func(a, b topology.Member) int {
		return cmp.Compare(topology.PairHash(self, a.Name), topology.PairHash(self, b.Name))
	})
	return slices.CompactFunc(others, func(a, b topology.Member) bool { return a.Name == b.Name })
}

// Claim returns the slot that an instance should claim, as an entry whose revision the slot's item
// must still have, 0 if it must not exist: the slot that the instance already holds, else a free
// one. It reports false if all slots are held by others.
func (d Directory) Claim(self topology.Member) (Entry, bool) {
	held := make(map[int]bool)
	for _, e := range d {
		if e.Holder.Name == self.Name {
			return Entry{e.Slot, self, e.Revision}, true
		}
		held[e.Slot] = true
	}
	first := int(topology.PairHash(self.Name, "slot") % Slots)
	for i := range Slots {
		if slot := (first + i) % Slots; !held[slot] {
			return Entry{Slot: slot, Holder: self}, true
		}
	}
	return Entry{}, false
}

// Replace returns the slot that an instance should take over from a holder that does not answer.
func (d Directory) Replace(self topology.Member) (Entry, bool) {
	if len(d) == 0 {
		return Entry{}, false
	}
	e := d[topology.PairHash(self.Name, "slot")%uint64(len(d))]
	return Entry{e.Slot, self, e.Revision}, true
}

// FleetSize estimates the number of instances that read through the directory, from the number of
// callers that one holder has.
func (d Directory) FleetSize(callers int) int { return len(d) * (1 + callers) }

// Crowded reports whether another slot should be claimed in a fleet of the given size.
func (d Directory) Crowded(instances int) bool { return d.missing(instances) > 0 }

// missing returns how many more slots should be claimed in a fleet of the given size.
func (d Directory) missing(instances int) int {
	return min(Slots, (instances+CallersPerHolder-1)/CallersPerHolder) - len(d)
}

// candidatesPerSlot is how many instances become candidates for a missing slot, so that some of them
// have much processor time.
const candidatesPerSlot = 4

// Candidate reports whether an instance of a fleet of the given size should try to claim one of the
// missing slots. random is a random number from 0 to 1.
func (d Directory) Candidate(instances int, random float64) bool {
	return random*float64(instances) < float64(candidatesPerSlot*d.missing(instances))
}

// Times of a claim, counted from when the need for it arises.
const (
	// weakDelay is how much later an instance without processor time claims than one with a whole core.
	weakDelay = 250 * time.Millisecond
	// claimSpread is the time over which instances with equal processor time spread their claims. It
	// is many times what a claim takes.
	claimSpread = 200 * time.Millisecond
	// spreadRate is the growth of the number of claims over claimSpread, as the exponent of e. Up to
	// e^spreadRate instances, few claim first, and the number that claim within the time that a
	// claim takes does not depend on the size of the fleet.
	spreadRate = 8.0
)

// ClaimDelay returns how long an instance waits before it claims a slot. random is a random number
// from 0 to 1. Instances with more processor time claim earlier.
func ClaimDelay(cores, random float64) time.Duration {
	weak := time.Duration((1 - min(max(cores, 0), 1)) * float64(weakDelay))
	return weak + time.Duration(math.Log1p(random*math.Expm1(spreadRate))/spreadRate*float64(claimSpread))
}

// registrationShare is the share of the store's writes that registrations of a fleet that starts may
// take.
const (
	registrationShare     = 0.3
	writesPerRegistration = 2
)

// RegistrationSpread returns the time over which the instances of a fleet spread their
// registrations, given how many writes a second the store accepts.
func RegistrationSpread(instances int, writesPerSecond float64) time.Duration {
	if instances <= topology.SmallFleet {
		return 0
	}
	return time.Duration(float64(instances*writesPerRegistration) / (registrationShare * writesPerSecond) * float64(time.Second))
}

// Apply returns the directory after a change of one slot: entry replaces the slot's earlier one, or
// clears the slot if its holder has no name. A change that is older than the slot's entry is ignored.
func (d Directory) Apply(entry Entry) Directory {
	if lo.ContainsBy(d, func(e Entry) bool { return e.Slot == entry.Slot && e.Revision > entry.Revision }) {
		return d
	}
	next := lo.Reject(d, func(e Entry, _ int) bool { return e.Slot == entry.Slot })
	if entry.Holder.Name != "" {
		next = append(next, entry)
	}
	return next
}
