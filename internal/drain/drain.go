// Package drain plans how the streams on a leaving model engine are completed: a stream
// finishes before the engine stops, continues on another engine that imports its KV
// cache, or continues on another engine that recomputes its tokens.
//
// The package performs no I/O and reads no clock.
package drain

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a stream on the leaving engine.
type Stream struct {
	ID        string
	Remaining int // upper bound of the tokens still to be generated
	KVTokens  int // tokens in its KV cache
}

// Strategy is how a stream is completed.
type Strategy int

// Strategies for a stream.
const (
	Finish    Strategy = iota // the stream stays and ends before the engine stops
	Move                      // another engine imports its KV cache
	Recompute                 // another engine recomputes its tokens
)

// Action is the plan for one stream.
type Action struct {
	ID       string
	Strategy Strategy
	StartAt  time.Time
}

// Limits holds the constraints of a plan.
type Limits struct {
	Deadline          time.Time     // when the engine stops; zero if not known
	TokenInterval     time.Duration // time between two tokens of a stream
	KVTokensPerSecond float64       // KV cache tokens that this instance can move per second
	MoveKV            bool          // whether KV caches may be moved
}

// Parameters of a plan.
const (
	deadlineMargin   = 300 * time.Millisecond // left unused before the deadline
	finishTimeFactor = 1.3                    // allowance for streams that take longer than estimated
	assumedNotice    = 10 * time.Second       // time to the deadline if it is not known
)

// Plan returns an action for each stream. If the deadline is known, streams that will end
// before it stay. The caches of the others are moved one after the other, the largest
// first: moving costs the same per token, and large caches are the most expensive to
// recompute. Streams whose caches cannot be moved in the time left are recomputed,
// spread evenly over that time so that they do not all reach the other engines at once.
func Plan(streams []Stream, l Limits, now time.Time) []Action {
	deadline := l.Deadline
	if deadline.IsZero() {
		deadline = now.Add(assumedNotice)
	}
	left := deadline.Sub(now) - deadlineMargin
	streams = slices.Clone(streams)
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.KVTokens, a.KVTokens), cmp.Compare(a.ID, b.ID))
	})
	var actions []Action
	var recompute []Stream
	moveStart := time.Duration(0)
	for _, s := range streams {
		finishTime := time.Duration(float64(s.Remaining) * float64(l.TokenInterval) * finishTimeFactor)
		if finishTime < left && !l.Deadline.IsZero() {
			actions = append(actions, Action{s.ID, Finish, now})
			continue
		}
		moveTime := time.Duration(float64(s.KVTokens) / max(l.KVTokensPerSecond, 1) * float64(time.Second))
		if !l.MoveKV || moveStart+moveTime > left {
			recompute = append(recompute, s)
			continue
		}
		actions = append(actions, Action{s.ID, Move, now.Add(moveStart)})
		moveStart += moveTime
	}
	for i, s := range recompute {
		at := now.Add(max(0, left) * time.Duration(i) / time.Duration(len(recompute)))
		actions = append(actions, Action{s.ID, Recompute, at})
	}
	return actions
}
