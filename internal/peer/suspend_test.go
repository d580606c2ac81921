package peer

import (
	"context"
	"errors"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// suspendingHandler is a Handler that suspends the calling instance before it
// responds.
type suspendingHandler struct {
	doneHandler
	callerClock *clocktest.TimeSource
	duration    time.Duration
}

func (s *suspendingHandler) Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	s.callerClock.SkipSuspended(s.duration)
	return s.doneHandler.Handle(ctx, call, answer)
}

// The timer of a call's context stops while the instance is suspended. So a
// response from before a suspension could be accepted after it, such as a permit
// that has expired meanwhile.
func TestAResponseFromBeforeASuspensionIsDiscarded(t *testing.T) {
	// yamux keeps timers in a global sync.Pool. A timer of an earlier synctest bubble
	// must not be used in this one; two garbage collections empty the pool.
	runtime.GC()
	runtime.GC()
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		addr := netip.MustParseAddrPort("10.0.0.2:8002")
		l, err := mem.Site("b").Listen(addr)
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		handler := &suspendingHandler{callerClock: clocktest.New()}
		server := New(mem.Site("b"), "b", nil, nil)
		server.SetHandler(handler)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		client := New(mem.Site("a"), "a", nil, clock.New(handler.callerClock))
		for _, d := range []time.Duration{0, 100 * time.Millisecond, 5 * time.Second} {
			handler.duration = d
			call, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			_, err = client.Call(call, addr, &peerpb.Call{Body: &peerpb.Call_Permit{Permit: &peerpb.Permit{}}})
			cancel()
			is.Equal(errors.Is(err, errLateResponse), d > 400*time.Millisecond)
		}
		client.Close()
		stop()
		<-served
		time.Sleep(time.Minute)
	})
}
