package soak

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkState is how a link carries bytes. The zero value carries them at once.
type linkState struct {
	delay     time.Duration // of each piece
	perSecond int           // bytes; 0 is no limit
	silentTo  bool          // nothing reaches the target
	silentOf  bool          // nothing comes back
	refuses   bool          // new connections are reset
}

// link is a loopback proxy before one address. All that is sent to the address goes through it.
type link struct {
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex
	state   linkState     // guarded by mu
	changed chan struct{} // closed and made anew with each change; guarded by mu
	conns   map[*net.TCPConn]bool
	closed  bool // guarded by mu
}

// newLink listens at an address, or at any if that has no port, and leads to a target.
func newLink(listen string, target netip.AddrPort) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	k := &link{listener: l, target: target, changed: make(chan struct{}), conns: make(map[*net.TCPConn]bool)}
	go k.serve()
	return k, nil
}

// addr returns the address of the near end.
func (k *link) addr() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

// set changes how the link carries bytes.
func (k *link) set(s linkState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *link) now() (linkState, <-chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state, k.changed, k.closed
}

// close ends the link and all its connections.
func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	_ = k.listener.Close()
	k.reset()
}

// reset resets all connections.
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

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // closed
		}
		near := c.(*net.TCPConn)
		if s, _, _ := k.now(); s.refuses {
			_ = near.SetLinger(0)
			_ = near.Close()
			continue
		}
		go k.carry(near)
	}
}

const linkDialTimeout = 2 * time.Second

// carry carries one connection until an end closes.
func (k *link) carry(near *net.TCPConn) {
	defer near.Close()
	c, err := net.DialTimeout("tcp", k.target.String(), linkDialTimeout)
	if err != nil {
		_ = near.SetLinger(0) // as the target refuses
		return
	}
	far := c.(*net.TCPConn)
	defer far.Close()
	for _, end := range []*net.TCPConn{near, far} {
		k.track(end, true)
		defer k.track(end, false)
	}
	done := make(chan struct{}, 2)
	go func() { k.pump(far, near, func(s linkState) bool { return s.silentTo }); done <- struct{}{} }()
	go func() { k.pump(near, far, func(s linkState) bool { return s.silentOf }); done <- struct{}{} }()
	<-done // an end that closed one direction gets no more of the other
}

const linkChunk = 16 << 10

// pump carries bytes one way. While that way is silent they wait.
func (k *link) pump(to, from *net.TCPConn, silent func(linkState) bool) {
	buf := make([]byte, linkChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !k.hold(n, silent) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.SetLinger(0) // a reset is passed on as one
			}
			return
		}
	}
}

// hold waits for as long as the link takes for some bytes. It returns false once the link is
// closed.
func (k *link) hold(n int, silent func(linkState) bool) bool {
	for {
		s, changed, closed := k.now()
		switch {
		case closed:
			return false
		case silent(s):
			<-changed
			continue
		}
		wait := s.delay
		if s.perSecond > 0 {
			wait += time.Duration(n) * time.Second / time.Duration(s.perSecond)
		}
		if wait > 0 {
			time.Sleep(wait)
		}
		return true
	}
}
