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

// This file encodes and decodes the roll-out parts of peer messages.

// encodeRollouts encodes counts, states and the known permits; nil if there are none.
func (n *Instance) encodeRollouts(counts rollout.Counts, states []rollctl.State) *peerpb.Rollouts {
	out := &peerpb.Rollouts{
		Counts: encodeRolloutCounts(counts),
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

// ownRollouts encodes this instance's own counts and states.
func (n *Instance) ownRollouts(counts rollout.Counts) *peerpb.Rollouts {
	return n.encodeRollouts(counts, n.rollouts.States(n.openRequests()))
}

// encodeRolloutCounts encodes counts, with one message for all kinds of counts of a key.
func encodeRolloutCounts(counts rollout.Counts) []*peerpb.RolloutCount {
	cells := make(map[rollout.Key]*peerpb.RolloutCount)
	for key, v := range counts {
		cell := key
		cell.Counter = 0
		c := cells[cell]
		if c == nil {
			c = &peerpb.RolloutCount{Service: key.Service, Order: int64(key.Order), Route: key.Route, Trial: key.Trial, Bucket: int32(key.Bucket)}
			cells[cell] = c
		}
		switch key.Counter {
		case rollout.Started:
			c.Begun = v
		case rollout.SlowStart:
			c.Late = v
		case rollout.Ended:
			c.Ended = v
		case rollout.Failed:
			c.Failed = v
		case rollout.SlowStream:
			c.Paced = v
		}
	}
	return lo.Values(cells)
}

// decodeRolloutCounts is the inverse of encodeRolloutCounts.
func decodeRolloutCounts(shares []*peerpb.RolloutCount) rollout.Counts {
	out := make(rollout.Counts)
	for _, c := range shares {
		key := rollout.Key{Service: c.Service, Order: store.Revision(c.Order), Route: c.Route, Trial: c.Trial, Bucket: uint8(c.Bucket)}
		for what, v := range map[rollout.Counter]int64{
			rollout.Started: c.Begun, rollout.SlowStart: c.Late, rollout.Ended: c.Ended, rollout.Failed: c.Failed, rollout.SlowStream: c.Paced,
		} {
			key.Counter = what
			out[key] = v
		}
	}
	return out
}

// decodeRolloutStates decodes the roll-out states of one or more instances.
func decodeRolloutStates(r *peerpb.Rollouts) []rollctl.State {
	return lo.Map(r.GetStates(), func(s *peerpb.RolloutState, _ int) rollctl.State {
		return rollctl.State{Service: s.Service, Order: store.Revision(s.Order), Phase: rollout.Phase(s.Phase), Open: s.Open, Instances: s.Instances}
	})
}

// applyPermits applies the roll-out leader's permits, which any peer may relay.
func (n *Instance) applyPermits(r *peerpb.Rollouts, now time.Time) {
	for _, p := range r.GetPermits() {
		n.rollouts.ApplyPermit(rollctl.Permit{Service: p.Service, Order: store.Revision(p.Order), Number: p.Number}, now)
	}
}

// applyRollouts applies the roll-out part of a peer's share, or of another hub's share for its
// group.
func (n *Instance) applyRollouts(fleet rollctl.Aggregation, s *peerpb.Share, now time.Time) {
	n.applyPermits(s.Rollouts, now)
	n.rollouts.ApplyCounts(fleet, tally.Source{Instance: s.Node, Incarnation: s.Incarnation}, decodeRolloutCounts(s.Rollouts.GetCounts()))
	n.rollouts.ApplyStates(s.Node, decodeRolloutStates(s.Rollouts), now)
}

// groupStates sums the roll-out states of this hub and of the instances that report to it,
// leaving out one of these.
func (n *Instance) groupStates(reports map[string]instanceReport, except string) []rollctl.State {
	states := n.rollouts.States(n.openRequests())
	for from, r := range reports {
		if from != except {
			states = rollctl.SumStates(states, r.rollouts)
		}
	}
	return states
}

// groupRollouts encodes the counts and states of this hub's group.
func (n *Instance) groupRollouts(reports map[string]instanceReport) *peerpb.Rollouts {
	return n.encodeRollouts(n.rollouts.GroupCounts(), n.groupStates(reports, ""))
}

// digestRollouts encodes roll-outs for the digest sent to one instance: only the permits, or
// with counts set also the counts and states of all groups, leaving out that instance's own
// state.
func (n *Instance) digestRollouts(to string, reports map[string]instanceReport, others map[string]peerGroup, counts bool) *peerpb.Rollouts {
	if !counts {
		return n.encodeRollouts(nil, nil)
	}
	states := n.groupStates(reports, to)
	for _, other := range others {
		states = rollctl.SumStates(states, decodeRolloutStates(other.share.Rollouts))
	}
	return n.encodeRollouts(n.rollouts.AllCounts(), states)
}
