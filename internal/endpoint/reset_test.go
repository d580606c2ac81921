package endpoint

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// Guards against a part of an answer without framing that passes for the whole one, as the write of the call meets the
// reset of the connection first, and the read that follows returns the end of the stream.
func TestAResetThatTheCallMeetsIsNotTheEndOfTheAnswer(t *testing.T) {
	for _, test := range []struct {
		err   error
		whole bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EPIPE, true}, // of a reset after the end of the stream
		{net.ErrClosed, true}, // the transport closes the connection when the answer has ended
	} {
		for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%v/%v", test.err, delay), func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					is := is.New(t)
					transport := netx.Transport(netxtest.Breaking{Answer: "HTTP/1.1 200 OK\r\n\r\npart", Err: test.err, Delay: delay})
					_, err := New(transport).Call(context.Background(), netip.MustParseAddrPort("10.0.0.1:80"), "pay", "text/plain", "k", make([]byte, 1<<20), ignoreSignals)
					time.Sleep(time.Second)
					if test.whole {
						is.NoErr(err)
						return
					}
					var f *fault.Error
					is.True(errors.As(err, &f))
					is.Equal(f.Run, fault.MayHaveRun)
				})
			})
		}
	}
}
