package rollctl

import (
	"maps"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// Permit is the leader's permission to send requests to a version on trial. A later permit of the
// same order has a higher number.
type Permit struct {
	Service string
	Order   store.Revision
	Number  int64
}

// State sums what one or more instances report of a roll-out: those that have the order in this
// phase.
type State struct {
	Service   string
	Order     store.Revision // revision of the order
	Phase     rollout.Phase
	Open      int64 // open requests on endpoints that the target replaces
	Instances int64 // number of instances in the sum
}

// peerStates are the states that an instance, or a hub for its group, last reported.
type peerStates struct {
	states []State
	at     time.Time // when they were received
}

// stateTTL is how long the states of an instance count after its last report.
const stateTTL = 3 * time.Second

// ApplyPermit applies a permit received at the time now, or issued by this instance as the leader.
// It ignores a permit of another order and one that is not newer than the last.
func (c *Control) ApplyPermit(p Permit, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[p.Service]
	if s == nil || s.record.Order != p.Order || p.Number <= s.permit.Number {
		return
	}
	s.permit, s.permitUntil = p, now.Add(permitTTL)
}

// Permits returns the newest permit of each trial, to be forwarded to other instances.
func (c *Control) Permits() []Permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Permit
	for _, s := range c.services {
		if s.permit.Number != 0 && s.record.Phase == rollout.Trial {
			out = append(out, s.permit)
		}
	}
	return out
}

// States returns this instance's state of each roll-out in progress, given the number of its open
// requests by endpoint.
func (c *Control) States(open map[string]int) []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []State
	for name, s := range c.services {
		if s.record.Order == 0 || s.record.Phase.Final() {
			continue
		}
		state := State{Service: name, Order: s.record.Order, Phase: s.record.Phase, Instances: 1}
		for id, n := range open {
			if s.arms.Replaced[id] {
				state.Open += int64(n)
			}
		}
		out = append(out, state)
	}
	return out
}

// ApplyStates records the states that an instance, or a hub for its group, reports.
func (c *Control) ApplyStates(from string, states []State, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[from] = peerStates{states, now}
}

// AllStates returns the sums of this instance's states and those reported within stateTTL.
func (c *Control) AllStates(own []State, now time.Time) []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.states, func(_ string, p peerStates) bool { return now.Sub(p.at) > stateTTL })
	sum := SumStates(nil, own)
	for _, p := range c.states {
		sum = SumStates(sum, p.states)
	}
	return sum
}

// SumStates adds states to the sums of the same service, order and phase, and returns the sums.
func SumStates(sums, more []State) []State {
next:
	for _, m := range more {
		for i := range sums {
			s := &sums[i]
			if s.Service == m.Service && s.Order == m.Order && s.Phase == m.Phase {
				s.Open += m.Open
				s.Instances += m.Instances
				continue next
			}
		}
		sums = append(sums, m)
	}
	return sums
}

// OwnCounts returns a copy of this instance's own counts.
func (c *Control) OwnCounts() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.own)
}

// OfferTo returns the part of this instance's counts to report to a hub, as tally.Ledger defines it.
func (c *Control) OfferTo(hub tally.Source) rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.TotalsFor(hub, c.own)
}

// Confirmed records that a hub has received the counts of an offer.
func (c *Control) Confirmed(hub tally.Source, offer rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Acknowledge(hub, offer)
}

// ApplyReport records, at a hub, the counts that an instance of its group reports.
func (c *Control) ApplyReport(from tally.Source, counts rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported.Apply(from, counts)
}

// GroupCounts returns, at a hub, the counts of its group, which includes the hub itself.
func (c *Control) GroupCounts() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groupLocked()
}

// groupLocked is GroupCounts for a caller that holds mu. This instance's own counts are treated as
// an offer to itself, so that counts which other hubs have confirmed are not counted twice.
func (c *Control) groupLocked() rollout.Counts {
	sum := c.ledger.TotalsFor(c.self, c.own)
	c.ledger.Acknowledge(c.self, sum) // copies sum, which is changed below
	for key, n := range c.reported.Sum() {
		sum[key] += n
	}
	return sum
}

// ApplyCounts records the counts that another instance shares: its own, or as a hub those of its
// group or of all instances. Empty counts are ignored.
func (c *Control) ApplyCounts(aggregation Aggregation, from tally.Source, counts rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(counts) == 0 {
		return // the sender has no roll-out; the counts that it shared before may still be needed
	}
	c.peerCounts[countSource{aggregation, from}] = counts
}

// countSource identifies who shared counts, and in which aggregation.
type countSource struct {
	aggregation Aggregation
	from        tally.Source
}

// Aggregation is how the counts of all instances are summed at an instance.
type Aggregation int

// The aggregations.
const (
	AllToAll   Aggregation = iota // every instance shares its counts with every other one
	AtHub                         // instances report to hubs, which share the sums of their groups; this instance is a hub
	ThroughHub                    // the same, but this instance is not a hub and gets the sum of all groups from its hub
)

// TotalCounts returns the counts of all instances for an order of a service.
func (c *Control) TotalCounts(aggregation Aggregation, serviceName string, order store.Revision) rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(rollout.Counts)
	add := func(counts rollout.Counts) {
		for key, n := range counts {
			if key.Service == serviceName && key.Order == order {
				sum[key] += n
			}
		}
	}
	switch aggregation {
	case AllToAll:
		add(c.own)
	case AtHub:
		add(c.groupLocked())
	}
	for source, counts := range c.peerCounts {
		if source.aggregation == aggregation {
			add(counts)
		}
	}
	return sum
}

// AllCounts returns, at a hub, the counts of all groups for all orders.
func (c *Control) AllCounts() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.groupLocked()
	for source, counts := range c.peerCounts {
		if source.aggregation != AtHub {
			continue
		}
		for key, n := range counts {
			sum[key] += n
		}
	}
	return sum
}
