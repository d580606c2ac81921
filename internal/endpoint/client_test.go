package endpoint

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// The transport of net/http repeats a POST that has an Idempotency-Key and no
// body when a kept connection breaks. The client must not.
func TestCallIsSentOnceWhenTheConnectionBreaks(t *testing.T) {
	for _, body := range []string{"", "pay 5"} {
		t.Run("body="+body, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if runs.Add(1) > 1 { // the first call leaves a kept connection behind
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
			c := New(netx.Transport(netx.TCP{}))
			_, err := c.Call(context.Background(), addr, "pay", "text/plain", "k1", []byte(body))
			is.NoErr(err)
			_, err = c.Call(context.Background(), addr, "pay", "text/plain", "k2", []byte(body))
			is.True(err != nil)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.Equal(runs.Load(), int64(2)) // not a third time
		})
	}
}

func TestNothingListeningMeansNotRun(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	srv.Close()
	_, err := New(netx.Transport(netx.TCP{})).Call(context.Background(), addr, "pay", "text/plain", "k", nil)
	is.Equal(fault.As(err).Run, fault.NotRun)
	is.Equal(fault.As(err).Kind, fault.KindRefused)
}
