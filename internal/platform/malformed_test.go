package platform

import (
	"context"
	"testing"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
)

// Guards against an answer of the platform whose head is none of the protocol and passes for an empty list.
func TestAnAnswerWithAMalformedHeadIsNone(t *testing.T) {
	for name, head := range netxtest.MalformedHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			transport := netx.Transport(netx.TCP{})
			defer transport.CloseIdleConnections()
			if list, err := New(netxtest.Serve(t, head+"Content-Length: 2\r\n\r\n[]"), transport).Instances(context.Background()); err == nil {
				t.Errorf("%d instances", len(list))
			}
			if _, err := New(netxtest.Serve(t, head+"Content-Length: 2\r\n\r\n{}"), transport).Notices(context.Background(), 0); err == nil {
				t.Error("notices")
			}
		})
	}
}
