// Package netx abstracts the network. All components dial and listen through a
// Network, so that whole processes can run over TCP, or in tests over in-memory
// pipes in virtual time.
//
// TCP and Mem are safe for concurrent use.
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

// TCP is the TCP network of the operating system.
type TCP struct {
	Local netip.Addr // from which connections are made; if it is not valid, the system chooses
}

const (
	dialTimeout = 1500 * time.Millisecond
	// unackedTimeout is how long a connection may go without an acknowledgement, of sent bytes or of
	// probes, before it is closed. It detects a peer that is unreachable or without power, which sends
	// no reset. Linux applies it to keep-alive probes as well, whatever their count, and counts it from
	// the last time that anything was received: a connection is closed if the peer is silent from the
	// first probe on. Peers that are sound may be silent for a second or so.
	unackedTimeout = 2500 * time.Millisecond
	probeInterval  = time.Second // Linux counts it in whole seconds
	probeCount     = 2
)

// keepAlive detects an unreachable peer on a connection without unacknowledged data, such as
// one that only receives.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Listen implements Network.
func (TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	return net.Listen("tcp", addr.String())
}

// Dial implements Network.
func (t TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacked}
	if t.Local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.Local, 0))
	}
	return d.DialContext(ctx, "tcp", addr.String())
}

// limitUnacked sets TCP_USER_TIMEOUT, which limits how long a connection waits for
// acknowledgements.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 0x12 // TCP_USER_TIMEOUT, which package syscall does not define
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// LimitReceiveBuffer limits the bytes that the system holds for each connection accepted from now on and that were
// not read yet. Without it, the system may let them grow to several megabytes. Listeners without sockets are left
// as they are.
func LimitReceiveBuffer(l net.Listener, bytes int) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
	return errors.Join(err, failed)
}

const (
	maxIdlePerHost = 256
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10 // of a response; 10 MiB without it
)

// Transport returns an HTTP transport that dials through n. Hosts must be IP addresses with a
// port, since names are not resolved.
func Transport(n Network) *HTTPTransport {
	return &HTTPTransport{&http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			c, err := n.Dial(ctx, ap)
			if err != nil {
				return nil, err
			}
			return NewClientConn(c), nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}}
}
