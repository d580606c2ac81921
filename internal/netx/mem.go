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

// Mem is an in-memory network of sites. Links between sites have a delay, can
// of testing/synctest.
type Mem struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener // guarded by mu
	conns     map[*memConn]struct{}           // guarded by mu
	delay     func(from, to string) time.Duration
	cut       map[link]bool         // guarded by mu
	sites     map[string][]*memSite // guarded by mu
	frozen    map[string]bool       // by site; guarded by mu
}

type link struct{ from, to string }

// NewMem returns a network whose one-way delays are given by delay.
func NewMem(delay func(from, to string) time.Duration) *Mem {
	return &Mem{
		listeners: make(map[netip.AddrPort]*memListener),
		conns:     make(map[*memConn]struct{}),
		delay:     delay,
		cut:       make(map[link]bool),
		sites:     make(map[string][]*memSite),
		frozen:    make(map[string]bool),
	}
}

// Site returns the network as seen from a site. After the site is killed it
// carries nothing; a process that starts there again asks for a new one.
func (m *Mem) Site(name string) Network {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &memSite{m: m, name: name}
	m.sites[name] = append(m.sites[name], s)
	return s
}

// Cut parts two sites, both ways, or joins them again. Open connections stay
// and carry nothing while the sites are parted.
func (m *Mem) Cut(a, b string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[link{a, b}] = cut
	m.cut[link{b, a}] = cut
}

// Kill closes the listeners and connections of a site, at once and for good.
func (m *Mem) Kill(site string) {
	m.mu.Lock()
	for _, s := range m.sites[site] {
		s.dead = true
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

// Freeze stops the processes of a site from reading and connecting, or lets them go on. What
// others send meanwhile waits for them; what they write, for their going on.
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

// awaitThaw returns once a site is not frozen.
func (m *Mem) awaitThaw(site string) {
	for m.isFrozen(site) {
		time.Sleep(thawPoll)
	}
}

func (m *Mem) parted(from, to string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[link{from, to}]
}

type memSite struct {
	m    *Mem
	name string
	dead bool // guarded by m.mu
}

func (s *memSite) Listen(addr netip.AddrPort) (net.Listener, error) {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.dead {
		return nil, errDead
	}
	if _, used := s.m.listeners[addr]; used {
		return nil, fmt.Errorf("listen %s: address in use", addr)
	}
	l := &memListener{m: s.m, addr: addr, site: s.name, accept: make(chan net.Conn), done: make(chan struct{})}
	s.m.listeners[addr] = l
	return l, nil
}

var (
	errRefused = syscall.ECONNREFUSED
	errDead    = errors.New("this site was killed")
)

func (s *memSite) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	s.m.awaitThaw(s.name)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.m.mu.Lock()
	l, dead := s.m.listeners[addr], s.dead
	s.m.mu.Unlock()
	if dead {
		return nil, errDead
	}
	if l == nil {
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
	if s.m.parted(s.name, l.site) {
		<-ctx.Done()
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
	there, back := newPipe(), newPipe()
	local := &memConn{m: s.m, site: s.name, peerSite: l.site, in: back, out: there, remote: addr}
	far := &memConn{m: s.m, site: l.site, peerSite: s.name, in: there, out: back, remote: addr}
	local.other, far.other = far, local
	s.m.mu.Lock()
	s.m.conns[local] = struct{}{}
	s.m.conns[far] = struct{}{}
	s.m.mu.Unlock()
	select {
	case l.accept <- far:
		return local, nil
	case <-l.done:
		_ = local.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	case <-ctx.Done():
		_ = local.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, ctx.Err())
	}
}

type memListener struct {
	m      *Mem
	addr   netip.AddrPort
	site   string
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		l.m.awaitThaw(l.site)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) close() { l.once.Do(func() { close(l.done) }) }

func (l *memListener) Close() error {
	l.m.mu.Lock()
	if l.m.listeners[l.addr] == l {
		delete(l.m.listeners, l.addr)
	}
	l.m.mu.Unlock()
	l.close()
	return nil
}

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// pipe is one direction of a connection: chunks with the time from which they
// can be read.
type pipe struct {
	mu       sync.Mutex
	chunks   []chunk       // guarded by mu
	size     int           // guarded by mu
	closed   bool          // guarded by mu
	changed  chan struct{} // closed and replaced at each change; guarded by mu
	deadline time.Time     // read deadline; guarded by mu
}

type chunk struct {
	due  time.Time
	data []byte
}

const (
	pipeCapacity = 256 << 10
	cutPoll      = 50 * time.Millisecond
	thawPoll     = 5 * time.Millisecond
)

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

type memConn struct {
	m              *Mem
	site, peerSite string
	in, out        *pipe
	other          *memConn
	remote         netip.AddrPort
	closed         atomic.Bool // closed from this side: its reads end at once

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
			if wait == 0 && !c.m.parted(c.peerSite, c.site) && !c.m.isFrozen(c.site) && !c.m.isFrozen(c.peerSite) {
				n := p.take(b)
				p.mu.Unlock()
				return n, nil
			}
			wait = max(wait, time.Duration(0))
			if wait == 0 {
				wait = cutPoll
				if c.m.isFrozen(c.site) || c.m.isFrozen(c.peerSite) {
					wait = thawPoll
				}
			}
		} else if p.closed && c.m.isFrozen(c.site) {
			wait = thawPoll
		} else if p.closed {
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed, deadline := p.changed, p.deadline
		p.mu.Unlock()
		if err := waitFor(changed, deadline, wait); err != nil {
			return 0, err
		}
	}
}

func (p *pipe) take(b []byte) int {
	n := copy(b, p.chunks[0].data)
	p.chunks[0].data = p.chunks[0].data[n:]
	if len(p.chunks[0].data) == 0 {
		p.chunks = p.chunks[1:]
	}
	p.size -= n
	p.signal()
	return n
}

// waitFor returns when changed is closed, wait has passed (if not negative),
// or with an error at the deadline.
func waitFor(changed chan struct{}, deadline time.Time, wait time.Duration) error {
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
			return 0, io.ErrClosedPipe
		}
		if p.size < pipeCapacity {
			data := append([]byte(nil), b...)
			p.chunks = append(p.chunks, chunk{time.Now().Add(c.m.delay(c.site, c.peerSite)), data})
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
		if err := waitFor(changed, deadline, -1); err != nil {
			return 0, err
		}
	}
}

func (c *memConn) Close() error {
	c.closed.Store(true)
	c.m.mu.Lock()
	delete(c.m.conns, c)
	delete(c.m.conns, c.other)
	c.m.mu.Unlock()
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
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}
