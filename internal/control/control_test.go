package control

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/member"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

func TestWatchdogDetectsStalledLoop(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(member.Member{ID: "n#1", Name: "n"}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		var stalls atomic.Int64
		go func() { _ = l.Watchdog(ctx, func() { stalls.Add(1) }) }()
		running, stop := context.WithCancel(ctx)
		go func() { _ = l.Serve(running) }()
		time.Sleep(20 * time.Second)
		is.True(l.Alive(time.Now()))
		is.Equal(stalls.Load(), int64(0))
		stop() // the loop no longer processes events
		time.Sleep(20 * time.Second)
		is.True(!l.Alive(time.Now()))
		is.True(stalls.Load() > 0)
		cancel()
		synctest.Wait()
	})
}

func TestEffectsArriveInOrder(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(member.Member{ID: "n#1", Name: "n"}, nil)
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan Effect, 100)
		go func() { _ = l.Serve(ctx) }()
		go func() {
			_ = l.Effects(ctx, func(e Effect) {
				time.Sleep(time.Second) // a slow subscriber must not block the control loop
				got <- e
			})
		}()
		for i := range 5 {
			l.Send(ctx, HeartbeatReceived{Members: []member.Member{{ID: string(rune('a'+i)) + "#1", Name: string(rune('a' + i))}}})
		}
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(l.Snapshot().Members), 5)
		time.Sleep(10 * time.Second)
		is.True(len(got) >= 5)
		is.Equal((<-got).(MemberChanged).Change.Member.ID, "a#1")
		is.Equal((<-got).(MemberChanged).Change.Member.ID, "b#1")
		cancel()
		time.Sleep(time.Minute) // lets the subscriber finish its batch
	})
}
