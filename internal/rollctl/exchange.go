package rollctl

import (
	"maps"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// Permit is the leader's word that a trial goes on. A later one of an order has a
// higher number.
type Permit struct {
	Service string
	Order   store.Revision
	Number  int64
}

// State is what instances do in a roll-out.
type State struct {
	Service   string
	Order     store.Revision
	Phase     rollout.Phase
	Open      int64 // requests that run on endpoints which the target replaces
	Instances int64 // that say so
}

// peerStates is what an instance, or a hub for its group, last reported.
type peerStates struct {
	states []State
	at     time.Time
}

// stateTTL is how long a report counts after which the instance is not seen again.
const stateTTL = 3 * time.Second

// Permitted takes a permit.
func (c *Control) Permitted(p Permit, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[p.Service]
	if s == nil || s.record.Order != p.Order || p.Number <= s.permit.Number {
		return
	}
	s.permit, s.permitUntil = p, now.Add(permitTTL)
}

// Permits returns the newest permits known, to be passed on.
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

// States returns what this instance does, given how many requests it has at each
// endpoint.
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

// ApplyStates takes what an instance, or a hub for its group, does.
func (c *Control) ApplyStates(from string, states []State, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[from] = peerStates{states, now}
}

// AllStates sums what this instance and those seen do.
func (c *Control) AllStates(own []State, now time.Time) []State {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.states, func(_ string, h peerStates) bool { return now.Sub(h.at) > stateTTL })
	sum := SumStates(nil, own)
	for _, h := range c.states {
		sum = SumStates(sum, h.states)
	}
	return sum
}

// SumStates adds states to sums of the same service, order and phase.
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

// Own returns what this instance counted.
func (c *Control) Own() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.own)
}

// OfferTo returns what is to be reported to a hub of this instance's counts.
func (c *Control) OfferTo(hub tally.Source) rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Offer(hub, c.own)
}

// Confirmed notes that a hub has what it was offered.
func (c *Control) Confirmed(hub tally.Source, offer rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Confirmed(hub, offer)
}

// Reported takes, at a hub, what an instance of its group counted.
func (c *Control) Reported(from tally.Source, told rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported.Take(from, told)
}

// Group returns, at a hub, what its group counted.
func (c *Control) Group() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.groupLocked()
}

// groupLocked is Group for a caller that holds mu.
func (c *Control) groupLocked() rollout.Counts {
	sum := c.ledger.Offer(c.self, c.own)
	c.ledger.Confirmed(c.self, sum) // which copies them
	for key, n := range c.reported.Sum() {
		sum[key] += n
	}
	return sum
}

// Apply takes what another instance, or a hub for its group or for all, counted.
func (c *Control) Apply(fleet Fleet, from tally.Source, told rollout.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(told) == 0 {
		return // it knows of no roll-out; what it reported before may still count
	}
	c.peerCounts[countSource{fleet, from}] = told
}

// countSource is who reported counts, and as what.
type countSource struct {
	fleet Fleet
	from  tally.Source
}

// Fleet says how the counts of a fleet come together at an instance.
type Fleet int

// The kinds of fleet, as an instance sees them.
const (
	Peers  Fleet = iota // all send to all
	AsHub               // instances report to hubs, and these to each other; this one is a hub
	ByHubs              // the same, and this one gets the sum from its hub
)

// TotalCounts returns the counts of all instances for an order.
func (c *Control) TotalCounts(fleet Fleet, serviceName string, order store.Revision) rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(rollout.Counts)
	add := func(told rollout.Counts) {
		for key, n := range told {
			if key.Service == serviceName && key.Order == order {
				sum[key] += n
			}
		}
	}
	switch fleet {
	case Peers:
		add(c.own)
	case AsHub:
		add(c.groupLocked())
	}
	for from, told := range c.peerCounts {
		if from.fleet == fleet {
			add(told)
		}
	}
	return sum
}

// AllCounts returns, at a hub, the counts of all groups.
func (c *Control) AllCounts() rollout.Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.groupLocked()
	for from, told := range c.peerCounts {
		if from.fleet != AsHub {
			continue
		}
		for key, n := range told {
			sum[key] += n
		}
	}
	return sum
}
