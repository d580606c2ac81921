package peerproxy

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
	"github.com/shelfcrank/shelfcrank/internal/topology"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// Guards against a response of another instance whose head is none of the protocol and passes for one, or for a refusal.
func TestAResponseWithAMalformedHeadIsNone(t *testing.T) {
	for name, head := range netxtest.MalformedHeads {
		for _, rest := range []string{"Content-Length: 2\r\n\r\nhi", DeclinedHeader + ": 1\r\nContent-Length: 0\r\n\r\n"} {
			t.Run(name, func(t *testing.T) {
				virtual.Test(t, func(t *testing.T) {
					others := []topology.Member{{Name: "i0", Hall: "h0", Addr: netip.MustParseAddrPort("10.0.0.1:8002")}}
					c := NewClient(ClientOptions{Peers: cutting(head + rest), Others: func() []topology.Member { return others }, Hall: "h0", Log: zap.NewNop()})
					resp, err := c.Send(context.Background(), request("1", "body"))
					if err == nil {
						t.Errorf("status %d", resp.StatusCode)
						resp.Close()
					} else if err == nil || fault.As(err).Run != fault.MayHaveRun {
						t.Errorf("error %v", err)
					}
					time.Sleep(time.Second)
				})
			})
		}
	}
}
