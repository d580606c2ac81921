// Package netx is the network that every part dials and listens through, so
// that whole processes run over TCP or over in-memory pipes in virtual time.
//
// TCP is stateless; Mem is safe for concurrent use.
package netx

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Network dials and listens by IP address and port.
type Network interface {
	Listen(addr netip.AddrPort) (net.Listener, error)
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

// TCP is the operating system's network.
type TCP struct{}

const (
	dialTimeout = 1500 * time.Millisecond
	keepAlive   = 5 * time.Second
)

// Listen implements Network.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return d.DialContext(ctx, "tcp", addr.String())
}

const (
	idlePerHost = 256
	idleTimeout = 30 * time.Second
)

// Transport returns an HTTP transport that dials through n.
func Transport(n Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			return n.Dial(ctx, ap)
		},
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
