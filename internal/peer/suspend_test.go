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

// suspendsAsker answers each call, while the machine of whoever asks is suspended.
type suspendsAsker struct {
	done
	machine *clocktest.Machine
	d       time.Duration
}

func (s *suspendsAsker) Handle(ctx context.Context, call *peerpb.Call, answer func(*peerpb.Answer) error) error {
	s.machine.Skip(s.d)
	return s.done.Handle(ctx, call, answer)
}

// An instance took what another one had told it before a suspension for news, such as a permit
// that had lapsed: the time of the call stood still with the machine.
func TestAnAnswerFromBeforeASuspensionIsNone(t *testing.T) {
	// yamux keeps timers in a pool that outlives a bubble and must not be used in the next; two
	// collections empty it.
	runtime.GC()
	runtime.GC()
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		addr := netip.MustParseAddrPort("10.0.0.2:8002")
		l, err := mem.Site("b").Listen(addr)
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		asker := &suspendsAsker{machine: clocktest.New()}
		server := New(mem.Site("b"), "b", nil, nil)
		server.SetHandler(asker)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		client := New(mem.Site("a"), "a", nil, clock.New(asker.machine))
		for _, d := range []time.Duration{0, 100 * time.Millisecond, 5 * time.Second} {
			asker.d = d
			call, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
			_, err = client.Call(call, addr, &peerpb.Call{Body: &peerpb.Call_Permit{Permit: &peerpb.Permit{}}})
			cancel()
			is.Equal(errors.Is(err, errLate), d > 400*time.Millisecond)
		}
		client.Close()
		stop()
		<-served
		time.Sleep(time.Minute)
	})
}
