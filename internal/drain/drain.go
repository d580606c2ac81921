// Package drain plans what becomes of the streams on a model engine that is
// leaving: each finishes in time, takes its KV cache to another engine, or
// goes on elsewhere by recomputing.
//
// The package is pure.
package drain

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a stream on the engine that leaves.
type Stream struct {
	ID        string
	Remaining int // tokens still to be generated, at the most
	KVTokens  int // tokens in its KV cache
}

// Way is what becomes of a stream.
type Way int

// The ways.
const (
	Finish    Way = iota // stays and ends before the engine goes
	Move                 // its KV cache is imported by another engine
	Recompute            // another engine computes its tokens again
)

// Action is the plan for one stream.
type Action struct {
	ID  string
	Way Way
	At  time.Time // when to begin
}

// Limits is what bounds a plan.
type Limits struct {
	Deadline time.Time     // when the engine goes; zero when not known
	Step     time.Duration // time between two tokens
	KVRate   float64       // tokens of KV cache this instance can move per second
	MoveKV   bool
}

const (
	margin       = 300 * time.Millisecond // kept free before the deadline
	finishFactor = 1.3                    // by how much finishing may take longer than expected
	unknownLeft  = 10 * time.Second       // assumed notice when the deadline is not known
)

// Plan decides for each stream. Streams that will end in time stay. Of the
// others the largest caches move first, for they are the dearest to recompute
// and each token costs the same to move; what does not fit into the time left
// is recomputed, spread over the notice so that the receivers are not all
// asked at once.
func Plan(streams []Stream, l Limits, now time.Time) []Action {
	deadline := l.Deadline
	if deadline.IsZero() {
		deadline = now.Add(unknownLeft)
	}
	left := deadline.Sub(now) - margin
	streams = slices.Clone(streams)
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.KVTokens, a.KVTokens), cmp.Compare(a.ID, b.ID))
	})
	var actions []Action
	var rest []Stream
	begin := time.Duration(0)
	for _, s := range streams {
		need := time.Duration(float64(s.Remaining) * float64(l.Step) * finishFactor)
		if need < left && !l.Deadline.IsZero() {
			actions = append(actions, Action{s.ID, Finish, now})
			continue
		}
		takes := time.Duration(float64(s.KVTokens) / max(l.KVRate, 1) * float64(time.Second))
		if !l.MoveKV || begin+takes > left {
			rest = append(rest, s)
			continue
		}
		actions = append(actions, Action{s.ID, Move, now.Add(begin)})
		begin += takes
	}
	for i, s := range rest {
		at := now.Add(max(0, left) * time.Duration(i) / time.Duration(len(rest)))
		actions = append(actions, Action{s.ID, Recompute, at})
	}
	return actions
}
