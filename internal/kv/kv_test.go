package kv

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// Guards against the beginning of a value that passes for the whole value.
func TestAValueOverTheLimitIsNotCutToIt(t *testing.T) {
	for size, whole := range map[int]bool{maxValueBytes: true, maxValueBytes + 1: false, 4 * maxValueBytes: false} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", "1")
			_, _ = w.Write([]byte(strings.Repeat("x", size)))
		}))
		c := New(netip.MustParseAddrPort(srv.Listener.Addr().String()), netx.Transport(netx.TCP{}), TotalRateLimits)
		e, err := c.Get(context.Background(), "k")
		is.Equal(err == nil, whole)
		is.Equal(errors.Is(err, ErrUnavailable), !whole)
		is.True(!whole || len(e.Value) == size)
		srv.Close()
	}
}
