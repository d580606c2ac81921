package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkState holds the faults injected into a link. The zero value forwards bytes at once.
type linkState struct {
	delay           time.Duration // added to each chunk
	bytesPerSecond  int           // 0 means unlimited
	stallToTarget   bool          // bytes for the target are held back
	stallFromTarget bool          // bytes from the target are held back
	refuse          bool          // new connections are reset
}

// link is a TCP proxy on loopback in front of one target address. It delays, throttles, stalls or
// resets the traffic to that address.
type link struct {
	address netip.AddrPort // that the link listens on

	mu       sync.Mutex
	listener net.Listener          // guarded by mu
	target   netip.AddrPort        // guarded by mu
	state    linkState             // guarded by mu
	sources  map[string]netip.Addr // by the address that a proxied connection comes from at the target; guarded by mu
	cut      map[netip.Addr]bool   // sources whose new connections are reset; guarded by mu
	changed  chan struct{}         // closed and replaced at each change of state; guarded by mu
	conns    map[*net.TCPConn]bool // both ends of each proxied connection; guarded by mu
	closed   bool                  // guarded by mu
}

// newLink starts a proxy from listen to target. Port 0 in listen picks a free port.
func newLink(listen string, target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	k := &link{address: netip.MustParseAddrPort(l.Addr().String()), listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool), cut: make(map[netip.Addr]bool), sources: make(map[string]netip.Addr)}
	go k.serve(l)
	return k, nil
}

// addr returns the address that the link listens on.
func (k *link) addr() netip.AddrPort { return k.address }

// refuse closes the listener, so that connections are refused as if no process had the address.
func (k *link) refuse() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
}

// sever closes all open connections, as the end of a process does, or resets them.
func (k *link) sever(reset bool) {
	if reset {
		k.reset()
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.Close()
	}
}

// reopen listens at the same address again after refuse, for another target.
func (k *link) reopen(target netip.AddrPort) error {
	l, err := net.Listen("tcp", k.address.String())
	if err != nil {
		return fmt.Errorf("link to %s: %w", target, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return l.Close()
	}
	k.listener, k.target = l, target
	go k.serve(l)
	return nil
}

// targetAddr returns where connections are forwarded to.
func (k *link) targetAddr() netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.target
}

// set replaces the injected faults, also for open connections.
func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *link) current() (linkState, <-chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state, k.changed, k.closed
}

// cutOff resets new connections from a source, and its open ones if reset is set, or accepts them again.
func (k *link) cutOff(source netip.Addr, cut, reset bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut[source] = cut
	if !cut || !reset {
		return
	}
	for c := range k.conns {
		if sourceOf(c) == source {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// refuses reports whether a new connection is reset.
func (k *link) refuses(c *net.TCPConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.refuse || k.cut[sourceOf(c)]
}

// setSource records where a connection at the target comes from; the invalid address removes it.
func (k *link) setSource(at string, source netip.Addr) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !source.IsValid() {
		delete(k.sources, at)
		return
	}
	k.sources[at] = source
}

// sourceAt returns where a connection at the target comes from.
func (k *link) sourceAt(remote string) netip.Addr {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.sources[remote]
}

// sourceOf returns the address that a connection comes from.
func sourceOf(c *net.TCPConn) netip.Addr {
	return c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
}

// close stops listening and resets all connections.
func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	close(k.changed)
	k.changed = make(chan struct{})
	_ = k.listener.Close()
	k.mu.Unlock()
	k.reset()
}

// reset resets all open connections.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

func (k *link) track(c *net.TCPConn, on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on {
		k.conns[c] = true
	} else {
		delete(k.conns, c)
	}
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		near := c.(*net.TCPConn)
		if k.refuses(near) {
			_ = near.SetLinger(0)
			_ = near.Close()
			continue
		}
		go k.proxy(near)
	}
}

const linkDialTimeout = 2 * time.Second

// proxy forwards one connection in both directions until either side closes it.
func (k *link) proxy(near *net.TCPConn) {
	defer near.Close()
	c, err := net.DialTimeout("tcp", k.targetAddr().String(), linkDialTimeout)
	if err != nil {
		_ = near.SetLinger(0) // pass the failed connection on as a reset
		return
	}
	far := c.(*net.TCPConn)
	defer far.Close()
	for _, end := range []*net.TCPConn{near, far} {
		k.track(end, true)
		defer k.track(end, false)
	}
	k.setSource(far.LocalAddr().String(), sourceOf(near))
	defer k.setSource(far.LocalAddr().String(), netip.Addr{})
	done := make(chan struct{}, 2)
	go func() { k.forward(far, near, func(s linkState) bool { return s.stallToTarget }); done <- struct{}{} }()
	go func() { k.forward(near, far, func(s linkState) bool { return s.stallFromTarget }); done <- struct{}{} }()
	<-done // the first direction to end closes both
}

const linkBufferSize = 16 << 10

// forward copies bytes in one direction, delayed as the link's state says.
func (k *link) forward(to, from *net.TCPConn, silent func(linkState) bool) {
	buf := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !k.awaitTransfer(n, silent) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF && !errors.Is(err, net.ErrClosed) {
				_ = to.SetLinger(0) // pass a reset on as a reset
			}
			return
		}
	}
}

// awaitTransfer blocks for the time that the link takes to transfer n bytes, and for as long as the
// direction is stalled. It returns false once the link is closed.
func (k *link) awaitTransfer(n int, silent func(linkState) bool) bool {
	for {
		s, changed, closed := k.current()
		switch {
		case closed:
			return false
		case silent(s):
			<-changed
			continue
		}
		wait := s.delay
		if s.bytesPerSecond > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(s.bytesPerSecond)
		}
		if wait > 0 {
			time.Sleep(wait)
		}
		return true
	}
}
