package netx

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soundSilence is how long a sound peer may be silent and go on.
const soundSilence = 1400 * time.Millisecond

// silenceNoticed returns how long a peer has to be silent for a connection to be closed, if the silence
// begins right before the first probe is sent, by the rules of Linux: a connection is closed at the
// first probe that is due when the time-out has passed since anything was received.
func silenceNoticed(timeout, idle, interval time.Duration) time.Duration {
	at := idle + interval // one probe has been sent
	for at < timeout {
		at += interval
	}
	return at - idle
}

// Guards against connections that are closed because a sound peer was silent for a second.
func TestASilentSecondClosesNoConnection(t *testing.T) {
	is := is.New(t)
	l, err := TCP{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer l.Close()
	c, err := TCP{}.Dial(context.Background(), netip.MustParseAddrPort(l.Addr().String()))
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) }))
		is.NoErr(err)
		return value
	}
	const userTimeout = 0x12
	timeout := time.Duration(option(userTimeout)) * time.Millisecond
	idle := time.Duration(option(syscall.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(syscall.TCP_KEEPINTVL)) * time.Second
	is.True(silenceNoticed(timeout, idle, interval) >= soundSilence)
	is.True(timeout >= soundSilence)
	is.True(idle+silenceNoticed(timeout, idle, interval) <= 3*time.Second) // a cut is noticed in time
}

// Guards against sockets in which the system keeps megabytes that clients send and nobody reads.
func TestTheReceiveBufferOfAcceptedConnectionsIsLimited(t *testing.T) {
	is := is.New(t)
	const limit = 32 << 10
	l, err := TCP{}.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	defer l.Close()
	is.NoErr(LimitReceiveBuffer(l, limit))
	c, err := TCP{}.Dial(context.Background(), netip.MustParseAddrPort(l.Addr().String()))
	is.NoErr(err)
	defer c.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	raw, err := accepted.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	size := 0
	is.NoErr(raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size <= 2*limit) // Linux doubles it, for what it needs itself

	inMemory, err := NewMem(func(string, string) time.Duration { return 0 }).Site("a").Listen(netip.MustParseAddrPort("10.0.0.1:80"))
	is.NoErr(err)
	defer inMemory.Close()
	is.NoErr(LimitReceiveBuffer(inMemory, limit))
}
