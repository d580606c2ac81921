package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/shelfcrank/shelfcrank/internal/fault"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Tokens may arrive twice, late and from two endpoints. A reader must still get each
// position once and in order.
func TestAppendKeepsPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 50).Draw(t, "tokens")
		tokens := make([]string, n)
		for i := range tokens {
			tokens[i] = fmt.Sprint("t", i)
		}
		r := New(Request{ID: "a"}, "owner")
		for r.Position() < n {
			have := r.Position()
			from := rapid.IntRange(0, have).Draw(t, "from")
			to := rapid.IntRange(from, min(n, from+9)).Draw(t, "to")
			if err := r.Append(from, tokens[from:to]...); err != nil {
				t.Fatal(err)
			}
			if r.Position() < have {
				t.Fatal("the position decreased")
			}
			if to <= have { // make progress at least sometimes
				_ = r.Append(have, tokens[have])
			}
		}
		p, _ := r.Progress(0)
		for i, tok := range p.Tokens {
			if tok != tokens[i] {
				t.Fatalf("token %d is %q", i, tok)
			}
		}
	})
}

func TestAppendRefusesGapsChangesAndLateTokens(t *testing.T) {
	is := is.New(t)
	r := New(Request{ID: "a"}, "owner")
	is.NoErr(r.Append(0, "x", "y"))
	is.True(r.Append(3, "z") != nil) // a gap
	is.True(r.Append(1, "q") != nil) // a different token at the same position
	is.True(r.Finish(Result{Status: 200}))
	is.True(!r.Finish(Result{Failure: fault.New(fault.StepStream, "", fault.KindBroken, fault.Ran, "late")}))
	is.True(r.Append(2, "z") != nil) // after the end
	is.NoErr(r.Append(0, "x"))       // a repeated token is accepted
}

func TestTakeOverHasOneWinner(t *testing.T) {
	is := is.New(t)
	r := New(Request{ID: "a"}, "dead")
	is.True(r.TakeOver("dead", "b"))
	is.True(!r.TakeOver("dead", "c"))
	is.Equal(r.Owner(), "b")
}

func TestUpdatesAreSentUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	r := New(Request{ID: "a"}, "owner")
	r.SetHolder("h", 0)
	is.NoErr(r.Append(0, "x", "y"))
	u, pending := r.PendingUpdate()
	is.True(pending)
	is.Equal(u.Tokens, []string{"x", "y"})
	r.Acknowledge("other", u) // from a holder that was replaced
	_, pending = r.PendingUpdate()
	is.True(pending)
	r.Acknowledge("h", u)
	_, pending = r.PendingUpdate()
	is.True(!pending)
	r.Finish(Result{Status: 200})
	u, pending = r.PendingUpdate()
	is.True(pending)
	is.Equal(u.Result.Status, 200)
	is.True(!u.Fetched)
	r.MarkFetched()
	is.True(r.Acknowledge("h", u)) // another update is pending
	u, pending = r.PendingUpdate()
	is.True(pending && u.Fetched)
	is.True(!r.Acknowledge("h", u))
}

func TestExpiryKeepsNonRepeatableRequests(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	model := New(Request{ID: "m", Deadline: t0, ArrivedAt: t0.Add(-time.Minute), Repeatable: true}, "o")
	pay := New(Request{ID: "p", Deadline: t0, ArrivedAt: t0.Add(-time.Minute)}, "o")
	s.Add(model)
	s.Add(pay)
	pay.MarkFetched()
	is.Equal(len(s.Expired(t0.Add(time.Minute), 10*time.Minute)), 1)
	is.Equal(s.Expired(t0.Add(time.Minute), 10*time.Minute)[0], model)
	is.Equal(len(s.Expired(t0.Add(11*time.Minute), 10*time.Minute)), 2)
}
