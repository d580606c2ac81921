// Package netx is the network that every part dials and listens through, so
// that whole processes run over TCP or over in-memory pipes in virtual time.
//
// TCP is stateless; Mem is safe for concurrent use.
package netx

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
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
	// unackedTimeout is how long sent bytes may stay without an acknowledgement:
	// a peer behind a cut or without power says nothing.
	unackedTimeout = 2 * time.Second
	probeEvery     = time.Second
	probes         = 2
)

// keepAlive finds a silent peer on a connection that only reads.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probes}

// Listen implements Network.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacked}
	return d.DialContext(ctx, "tcp", addr.String())
}

// limitUnacked bounds how long a connection waits for acknowledgements.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 0x12 // not named by package syscall
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
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
