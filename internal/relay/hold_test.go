package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/claim"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/record"
)

func answerOf(outcome peerpb.HoldAnswer_Outcome, owner, attempt string, done bool) replicaAnswer {
	return replicaAnswer{answer: &peerpb.HoldAnswer{Outcome: outcome, Owner: owner, Attempt: attempt, Done: done}}
}

func TestVoteCounts(t *testing.T) {
	const (
		held     = peerpb.HoldAnswer_HELD
		taken    = peerpb.HoldAnswer_TAKEN
		unknown  = peerpb.HoldAnswer_UNKNOWN
		notReady = peerpb.HoldAnswer_NOT_READY
	)
	for _, tt := range []struct {
		name    string
		answers []replicaAnswer
		final   bool
		follow  bool // another attempt's answer is followed
	}{
		{"another attempt has the majority of votes", []replicaAnswer{answerOf(taken, "b", "b/1", false), answerOf(taken, "b", "b/1", false)}, true, true},
		{"another attempt ran", []replicaAnswer{answerOf(taken, "b", "b/1", true)}, true, true},
		{"two attempts share the votes", []replicaAnswer{answerOf(taken, "b", "b/1", false), answerOf(taken, "c", "c/1", false)}, false, false},
		{"an abandoned own attempt", []replicaAnswer{answerOf(taken, "a", "a/1", false), answerOf(taken, "a", "a/1", false)}, false, false},
		{"an own attempt that ran", []replicaAnswer{answerOf(taken, "a", "a/1", true)}, true, true},
		{"claims may be lost", []replicaAnswer{answerOf(unknown, "", "", false), answerOf(unknown, "", "", false)}, true, false},
		{"one granted, others silent", []replicaAnswer{answerOf(held, "", "", false), {}, {}}, false, false},
		{"not ready yet", []replicaAnswer{answerOf(notReady, "", "", false), answerOf(notReady, "", "", false)}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b := voteCount{self: "a", taken: make(map[string]int)}
			for _, a := range tt.answers {
				b.count(a)
			}
			r := &Relay{}
			final, err := r.afterLostVote(record.New(record.Request{ID: "k"}, "a"), make([]claim.Member, claim.GroupSize), b)
			is.Equal(final, tt.final)
			is.Equal(err == error(errTaken), tt.follow)
		})
	}
}
