package endpoint

import (
	"context"
	"net/netip"
	"testing"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
)

// Guards against an answer whose head is none of the protocol and passes for one.
func TestAnAnswerWithAMalformedHeadIsNone(t *testing.T) {
	for name, head := range netxtest.MalformedHeads {
		for _, rest := range []string{"Content-Length: 2\r\n\r\n{}", "\r\n{}", "Content-Length: 0\r\n\r\n"} {
			for what, call := range map[string]func(*Client, netip.AddrPort) error{
				"call": func(c *Client, addr netip.AddrPort) error {
					_, err := c.Call(context.Background(), addr, "pay", "text/plain", "k", []byte("body"), ignoreSignals)
					return err
				},
				"generate": func(c *Client, addr netip.AddrPort) error {
					s, err := c.Generate(context.Background(), addr, &Generate{}, ignoreSignals)
					if err == nil {
						s.Close()
					}
					return err
				},
				"import": func(c *Client, addr netip.AddrPort) error {
					_, err := c.Import(context.Background(), addr, Import{}, ignoreSignals)
					return err
				},
				"report": func(c *Client, addr netip.AddrPort) error {
					_, err := c.Report(context.Background(), addr, 0, ignoreSignals)
					return err
				},
			} {
				t.Run(what+"/"+name, func(t *testing.T) {
					t.Parallel()
					transport := netx.Transport(netx.TCP{})
					defer transport.CloseIdleConnections()
					err := call(New(transport), netxtest.Serve(t, head+rest))
					if err == nil || fault.As(err).Run != fault.MayHaveRun {
						t.Errorf("error %v", err)
					}
				})
			}
		}
	}
}
