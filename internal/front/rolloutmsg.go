package front

import (
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/rollctl"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/tally"
)

// Messages on roll-outs, encoded and decoded.

// rolloutShares encodes what is shared of roll-outs, nil if there are none.
func (n *Instance) rolloutShares(counts rollout.Counts, states []rollctl.State) *peerpb.Rollouts {
	out := &peerpb.Rollouts{
		Counts: countShares(counts),
		States: lo.Map(states, func(s rollctl.State, _ int) *peerpb.RolloutState {
			return &peerpb.RolloutState{Service: s.Service, Order: int64(s.Order), Phase: string(s.Phase), Open: s.Open, Instances: s.Instances}
		}),
		Permits: lo.Map(n.rollouts.Permits(), func(p rollctl.Permit, _ int) *peerpb.RolloutPermit {
			return &peerpb.RolloutPermit{Service: p.Service, Order: int64(p.Order), Number: p.Number}
		}),
	}
	if len(out.Counts)+len(out.States)+len(out.Permits) == 0 {
		return nil
	}
	return out
}

// ownRollouts is what this instance shares of itself.
func (n *Instance) ownRollouts(counts rollout.Counts) *peerpb.Rollouts {
	return n.rolloutShares(counts, n.rollouts.States(n.openRequests()))
}

// countShares writes counts, those of one key in one message.
func countShares(counts rollout.Counts) []*peerpb.RolloutCount {
	cells := make(map[rollout.Key]*peerpb.RolloutCount)
	for key, v := range counts {
		cell := key
		cell.What = 0
		c := cells[cell]
		if c == nil {
			c = &peerpb.RolloutCount{Service: key.Service, Order: int64(key.Order), Route: key.Route, Trial: key.Trial, Bucket: int32(key.Bucket)}
			cells[cell] = c
		}
		switch key.What {
		case rollout.Begun:
			c.Begun = v
		case rollout.Late:
			c.Late = v
		case rollout.Ended:
			c.Ended = v
		case rollout.Failed:
			c.Failed = v
		case rollout.Paced:
			c.Paced = v
		}
	}
	return lo.Values(cells)
}

// rolloutCounts reads what countShares wrote.
func rolloutCounts(shares []*peerpb.RolloutCount) rollout.Counts {
	out := make(rollout.Counts)
	for _, c := range shares {
		key := rollout.Key{Service: c.Service, Order: store.Revision(c.Order), Route: c.Route, Trial: c.Trial, Bucket: uint8(c.Bucket)}
		for what, v := range map[rollout.What]int64{
			rollout.Begun: c.Begun, rollout.Late: c.Late, rollout.Ended: c.Ended, rollout.Failed: c.Failed, rollout.Paced: c.Paced,
		} {
			key.What = what
			out[key] = v
		}
	}
	return out
}

// rolloutStates reads what instances do.
func rolloutStates(r *peerpb.Rollouts) []rollctl.State {
	return lo.Map(r.GetStates(), func(s *peerpb.RolloutState, _ int) rollctl.State {
		return rollctl.State{Service: s.Service, Order: store.Revision(s.Order), Phase: rollout.Phase(s.Phase), Open: s.Open, Instances: s.Instances}
	})
}

// applyPermits takes the leader's permits, whoever passes them on.
func (n *Instance) applyPermits(r *peerpb.Rollouts, now time.Time) {
	for _, p := range r.GetPermits() {
		n.rollouts.Permitted(rollctl.Permit{Service: p.Service, Order: store.Revision(p.Order), Number: p.Number}, now)
	}
}

// applyRollouts takes what another instance, or a hub for its group, shares of roll-outs.
func (n *Instance) applyRollouts(fleet rollctl.Fleet, s *peerpb.Share, now time.Time) {
	n.applyPermits(s.Rollouts, now)
	n.rollouts.Apply(fleet, tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, rolloutCounts(s.Rollouts.GetCounts()))
	n.rollouts.ApplyStates(s.Node, rolloutStates(s.Rollouts), now)
}

// groupStates sums what this hub and the instances that report to it do in roll-outs, but
// for one of these.
func (n *Instance) groupStates(reports map[string]reported, but string) []rollctl.State {
	states := n.rollouts.States(n.openRequests())
	for from, r := range reports {
		if from != but {
			states = rollctl.SumStates(states, r.rollouts)
		}
	}
	return states
}

// groupRollouts is what this hub shares of its group.
func (n *Instance) groupRollouts(reports map[string]reported) *peerpb.Rollouts {
	return n.rolloutShares(n.rollouts.Group(), n.groupStates(reports, ""))
}

// digestRollouts is what this hub reports of all groups, with their counts if they are
// asked for, but for the states of one instance.
func (n *Instance) digestRollouts(to string, reports map[string]reported, others map[string]peerGroup, counts bool) *peerpb.Rollouts {
	if !counts {
		return n.rolloutShares(nil, nil)
	}
	states := n.groupStates(reports, to)
	for _, other := range others {
		states = rollctl.SumStates(states, rolloutStates(other.share.Rollouts))
	}
	return n.rolloutShares(n.rollouts.AllCounts(), states)
}
