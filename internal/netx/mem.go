package netx

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Mem is an in-memory network that connects named sites. Links between sites have
// a delay and can be cut; sites can be killed and frozen. Mem blocks on channels and
// timers only, so that it also works in virtual time, in a bubble of testing/synctest.
type Mem struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener // guarded by mu
	conns     map[*memConn]struct{}           // guarded by mu
	delay     func(from, to string) time.Duration
	cut       map[sitePair]bool     // guarded by mu
	refusing  map[sitePair]bool     // connections from one site to the other are refused; guarded by mu
	sites     map[string][]*memSite // guarded by mu
	frozen    map[string]bool       // by site; guarded by mu
}

// sitePair is one direction of the link between two sites.
type sitePair struct{ from, to string }

// NewMem returns a network without sites. delay returns the one-way delay between two sites.
func NewMem(delay func(from, to string) time.Duration) *Mem {
	return &Mem{
		listeners: make(map[netip.AddrPort]*memListener),
		conns:     make(map[*memConn]struct{}),
		delay:     delay,
		cut:       make(map[sitePair]bool),
		refusing:  make(map[sitePair]bool),
		sites:     make(map[string][]*memSite),
		frozen:    make(map[string]bool),
	}
}

// Site returns the network as used by a process at a site. It fails after the
// site is killed; a process that is restarted there must call Site again.
func (m *Mem) Site(name string) Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &memSite{mem: m, name: name}
	m.sites[name] = append(m.sites[name], s)
	return s
}

// Cut cuts the link between two sites in both directions, or restores it. Open
// connections stay open, but deliver nothing while the link is cut.
func (m *Mem) Cut(a, b string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[sitePair{a, b}] = cut
	m.cut[sitePair{b, a}] = cut
}

// Refuse makes new connections from one site to another fail at once, or lets them succeed
// again. Open connections are not affected.
func (m *Mem) Refuse(from, to string, refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusing[sitePair{from, to}] = refuse
}

// Reset closes all connections between two sites.
func (m *Mem) Reset(a, b string) {
	m.mu.Lock()
	var conns []*memConn
	for c := range m.conns {
		if c.site == a && c.peerSite == b || c.site == b && c.peerSite == a {
			conns = append(conns, c)
		}
	}
	m.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Kill closes all listeners and connections of a site, and makes its Networks fail.
func (m *Mem) Kill(site string) {
	m.mu.Lock()
	for _, s := range m.sites[site] {
		s.killed = true
	}
	delete(m.sites, site)
	var conns []*memConn
	for c := range m.conns {
		if c.site == site || c.peerSite == site {
			conns = append(conns, c)
		}
	}
	for a, l := range m.listeners {
		if l.site == site {
			delete(m.listeners, a)
			l.close()
		}
	}
	m.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Freeze stops the processes of a site from reading and connecting, or lets them continue.
// Data sent to or from the site in the meantime is delivered once the site continues.
func (m *Mem) Freeze(site string, frozen bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen[site] = frozen
}

func (m *Mem) isFrozen(site string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frozen[site]
}

// waitUnfrozen blocks while a site is frozen.
func (m *Mem) waitUnfrozen(site string) {
	for m.isFrozen(site) {
		time.Sleep(frozenPollInterval)
	}
}

func (m *Mem) isCut(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[sitePair{from, to}]
}

type memSite struct {
	mem    *Mem
	name   string
	killed bool // guarded by m.mu
}

func (s *memSite) Listen(addr netip.AddrPort) (net.Listener, error) {
	s.mem.mu.Lock()
	defer s.mem.mu.Unlock()
	if s.killed {
		return nil, errSiteKilled
	}
	if _, used := s.mem.listeners[addr]; used {
		return nil, fmt.Errorf("listen %s: address in use", addr)
	}
	l := &memListener{mem: s.mem, addr: addr, site: s.name, accept: make(chan net.Conn), done: make(chan struct{})}
	s.mem.listeners[addr] = l
	return l, nil
}

var (
	errRefused    = syscall.ECONNREFUSED
	errSiteKilled = errors.New("site was killed")
)

func (s *memSite) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	s.mem.waitUnfrozen(s.name)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.mem.mu.Lock()
	l, dead := s.mem.listeners[addr], s.killed
	refused := l == nil || s.mem.refusing[sitePair{s.name, l.site}]
	s.mem.mu.Unlock()
	if dead {
		return nil, errSiteKilled
	}
	if refused {
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
	if s.mem.isCut(s.name, l.site) {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
	toListener, toDialer := newPipe(), newPipe()
	dialer := &memConn{mem: s.mem, site: s.name, peerSite: l.site, in: toDialer, out: toListener, remote: addr}
	accepted := &memConn{mem: s.mem, site: l.site, peerSite: s.name, in: toListener, out: toDialer, remote: addr}
	dialer.peer, accepted.peer = accepted, dialer
	s.mem.mu.Lock()
	s.mem.conns[dialer] = struct{}{}
	s.mem.conns[accepted] = struct{}{}
	s.mem.mu.Unlock()
	select {
	case l.accept <- accepted:
		return dialer, nil
	case <-l.done:
		_ = dialer.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	case <-ctx.Done():
		_ = dialer.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

type memListener struct {
	mem    *Mem
	addr   netip.AddrPort
	site   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		l.mem.waitUnfrozen(l.site)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) close() { l.once.Do(func() { close(l.done) }) }

func (l *memListener) Close() error {
	l.mem.mu.Lock()
	if l.mem.listeners[l.addr] == l {
		delete(l.mem.listeners, l.addr)
	}
	l.mem.mu.Unlock()
	l.close()
	return nil
}

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// pipe is one direction of a connection, a queue of chunks of data.
type pipe struct {
	mu       sync.Mutex
	chunks   []chunk       // guarded by mu
	size     int           // unread bytes; guarded by mu
	closed   bool          // guarded by mu
	changed  chan struct{} // closed and replaced at each change; guarded by mu
	deadline time.Time     // read deadline; guarded by mu
}

// chunk is the data of one Write, or what is left to read of it.
type chunk struct {
	due  time.Time // from which the data can be read
	data []byte
}

const (
	pipeCapacity       = 256 << 10 // bytes
	cutPollInterval    = 50 * time.Millisecond
	frozenPollInterval = 5 * time.Millisecond
)

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

type memConn struct {
	mem            *Mem
	site, peerSite string
	in, out        *pipe
	peer           *memConn
	remote         netip.AddrPort
	closed         atomic.Bool // closed locally: reads fail at once, even if there is unread data

	mu            sync.Mutex
	writeDeadline time.Time // guarded by mu
}

func (c *memConn) Read(b []byte) (int, error) {
	p := c.in
	for {
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		p.mu.Lock()
		wait := time.Duration(-1)
		if len(p.chunks) > 0 {
			wait = max(0, time.Until(p.chunks[0].due))
			if wait == 0 && !c.mem.isCut(c.peerSite, c.site) && !c.mem.isFrozen(c.site) && !c.mem.isFrozen(c.peerSite) {
				n := p.read(b)
				p.mu.Unlock()
				return n, nil
			}
			wait = max(wait, time.Duration(0))
			if wait == 0 {
				wait = cutPollInterval
				if c.mem.isFrozen(c.site) || c.mem.isFrozen(c.peerSite) {
					wait = frozenPollInterval
				}
			}
		} else if p.closed && c.mem.isFrozen(c.site) {
			wait = frozenPollInterval
		} else if p.closed {
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed, deadline := p.changed, p.deadline
		p.mu.Unlock()
		if err := waitChanged(changed, deadline, wait); err != nil {
			return 0, err
		}
	}
}

func (p *pipe) read(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.signal()
	return n
}

// waitChanged waits until changed is closed or wait has passed. A negative wait has no limit.
// It returns os.ErrDeadlineExceeded if the deadline, unless zero, passes first.
func waitChanged(changed chan struct{}, deadline time.Time, wait time.Duration) error {
	var due <-chan time.Time
	if wait >= 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		due = t.C
	}
	var late <-chan time.Time
	if !deadline.IsZero() {
		left := time.Until(deadline)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		t := time.NewTimer(left)
		defer t.Stop()
		late = t.C
	}
	select {
	case <-changed:
	case <-due:
	case <-late:
		return os.ErrDeadlineExceeded
	}
	return nil
}

func (c *memConn) Write(b []byte) (int, error) {
	p := c.out
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return 0, syscall.EPIPE
		}
		if p.size < pipeCapacity {
			data := append([]byte(nil), b...)
			p.chunks = append(p.chunks, chunk{time.Now().Add(c.mem.delay(c.site, c.peerSite)), data})
			p.size += len(data)
			p.signal()
			p.mu.Unlock()
			return len(b), nil
		}
		changed := p.changed
		p.mu.Unlock()
		c.mu.Lock()
		deadline := c.writeDeadline
		c.mu.Unlock()
		if err := waitChanged(changed, deadline, -1); err != nil {
			return 0, err
		}
	}
}

func (c *memConn) Close() error {
	c.closed.Store(true)
	c.mem.mu.Lock()
	delete(c.mem.conns, c)
	delete(c.mem.conns, c.peer)
	c.mem.mu.Unlock()
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		p.closed = true
		p.signal()
		p.mu.Unlock()
	}
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return net.TCPAddrFromAddrPort(c.remote) }
func (c *memConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

func (c *memConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *memConn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	c.in.deadline = t
	c.in.signal()
	return nil
}

func (c *memConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.signal()
	return nil
}
