package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPlanCoversEachStreamOnceWithinTheNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var streams []Stream
		for i := range rapid.IntRange(0, 40).Draw(t, "n") {
			streams = append(streams, Stream{
				ID:        fmt.Sprint(i),
				Remaining: rapid.IntRange(0, 5000).Draw(t, "remaining"),
				KVTokens:  rapid.IntRange(1, 50_000).Draw(t, "kv"),
			})
		}
		l := Limits{Deadline: t0.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "notice")) * time.Second), TokenInterval: 10 * time.Millisecond, KVTokensPerSecond: 20_000, MoveKV: rapid.Bool().Draw(t, "move")}
		seen := make(map[string]Action)
		moving := 0
		kv := make(map[string]int)
		for _, s := range streams {
			kv[s.ID] = s.KVTokens
		}
		for _, a := range Plan(streams, l, t0) {
			if _, twice := seen[a.ID]; twice {
				t.Fatalf("stream %s planned twice", a.ID)
			}
			seen[a.ID] = a
			if a.StartAt.Before(t0) || (a.StartAt.After(l.Deadline) && a.Strategy != Finish) {
				t.Fatalf("stream %s starts outside the notice period", a.ID)
			}
			if a.Strategy == Move {
				moving += kv[a.ID]
			}
		}
		if len(seen) != len(streams) {
			t.Fatalf("%d of %d streams planned", len(seen), len(streams))
		}
		if !l.MoveKV && moving > 0 {
			t.Fatal("plan moves KV caches although MoveKV is false")
		}
		if left := l.Deadline.Sub(t0).Seconds(); float64(moving) > left*l.KVTokensPerSecond {
			t.Fatalf("%d KV cache tokens cannot be moved in %v s", moving, left)
		}
	})
}

func TestShortStreamsStayAndTheLargestMoveFirst(t *testing.T) {
	is := is.New(t)
	l := Limits{Deadline: t0.Add(5 * time.Second), TokenInterval: 10 * time.Millisecond, KVTokensPerSecond: 10_000, MoveKV: true}
	plan := Plan([]Stream{{"short", 20, 30_000}, {"small", 1000, 5_000}, {"large", 1000, 40_000}, {"largest", 1000, 45_000}}, l, t0)
	strategy := make(map[string]Strategy)
	for _, a := range plan {
		strategy[a.ID] = a.Strategy
	}
	is.Equal(strategy["short"], Finish)
	is.Equal(strategy["largest"], Move)
	is.Equal(strategy["large"], Recompute) // no time left after moving the largest
	is.Equal(strategy["small"], Recompute) // 0.2 s are left, moving it takes 0.5 s
}
