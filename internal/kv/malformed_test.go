package kv

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
)

// Guards against an answer of the service whose head is none of the protocol and passes for a value, or for a write.
func TestAnAnswerWithAMalformedHeadIsNone(t *testing.T) {
	for name, head := range netxtest.MalformedHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := netx.Transport(netx.TCP{})
			defer transport.CloseIdleConnections()
			c := New(netxtest.Serve(t, head+"Revision: 3\r\nContent-Length: 2\r\n\r\nhi"), transport, TotalRateLimits)
			if e, err := c.Get(context.Background(), "a"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("read %q: %v", e.Value, err)
			}
			if rev, err := c.Put(context.Background(), "a", []byte("b"), 0, time.Time{}); !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("wrote revision %d: %v", rev, err)
			}
		})
	}
}
