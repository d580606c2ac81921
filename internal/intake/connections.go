package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// connectionBytes is the memory of a connection on which nothing happens, in bytes: its goroutine, buffers and
// what the system keeps of it.
const connectionBytes = 24 << 10

// headerCopies is how often the bytes of a header are in memory at a time: as they came, and as they were parsed.
const headerCopies = 2

// ConnectionLimits bound the connections of clients. Zero stands for no bound.
type ConnectionLimits struct {
	Open   int   // connections open at a time
	Bytes  int64 // memory of the connections with the headers of their requests
	Unread int64 // bytes that the system may hold of a connection whose request is in progress
}

// minFresh is how long a new connection may take until its first request has come, before it gives way to another one.
// A busy instance may take some time itself until it has read a request.
const minFresh = 500 * time.Millisecond

// Connections bounds the connections of clients to a listener. When there is no room for one more, the connection on
// which no request is in progress and that was not used for longest is closed: at first those whose last request was
// answered and that are about to be closed, then those on which no request came in half a second, then those kept for the
// next request, then those whose client does not read its answer. While requests are in progress on all of them, the
// newcomer is closed.
//
// It is safe for concurrent use.
type Connections struct {
	limits ConnectionLimits
	now    func() time.Time
	// onFull is called when a newcomer is closed because requests are in progress on all connections.
	onFull func()

	mu      sync.Mutex
	open    int               // guarded by mu
	bytes   int64             // guarded by mu
	byPhase [phases]list.List // of *conn, those first that have been in the phase for longest; guarded by mu
	counts  ConnectionCounts  // guarded by mu
}

// ConnectionCounts tells what Connections did.
type ConnectionCounts struct {
	Open    int   // connections open now
	Bytes   int64 // counted for them now
	Closed  int64 // connections closed so far to make room for others
	Refused int64 // newcomers closed so far
}

// phase is what a connection is used for. Connections are closed in this order to make room for others; those with
// a request in progress only if their client does not read the answer.
type phase int

const (
	phaseAnswered phase = iota // the last request was answered, and the connection is about to be closed
	phaseFresh                 // no request has come yet
	phaseKept                  // it waits for the next request
	phaseBusy                  // a request is in progress
	phases
)

// NewConnections returns a table without connections. now tells the time. onFull is called when a newcomer is closed, as
// no other connection gives way; it must not block, and may be nil.
func NewConnections(l ConnectionLimits, now func() time.Time, onFull func()) *Connections {
	return &Connections{limits: l, now: now, onFull: onFull}
}

// Counts returns what happened so far.
func (s *Connections) Counts() ConnectionCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Open, c.Bytes = s.open, s.bytes
	return c
}

// Listener returns a listener that accepts the connections of l within the limits. The server that uses it has to
// call StateChanged.
func (s *Connections) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.connections.add(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// StateChanged is a hook for http.Server.ConnState.
func (s *Connections) StateChanged(c net.Conn, state http.ConnState) {
	k, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		k.enter(phaseBusy)
	case http.StateIdle:
		k.enter(phaseKept)
	}
}

// conn is a connection that is counted.
type conn struct {
	net.Conn
	connections *Connections

	// Guarded by connections.mu.
	phase  phase
	due    time.Time     // the first request of a fresh connection
	place  *list.Element // in connections.byPhase; nil once closed
	bytes  int64
	closed bool
	// seenWrites is writes at the last Sweep, and stalledSweeps how many in a row found the same write in progress.
	seenWrites    uint64
	stalledSweeps int

	writes atomic.Uint64 // counts the beginnings and ends of writes: odd during one
}

// add counts a new connection. It returns nil if there is no room for it.
func (s *Connections) add(raw net.Conn) *conn {
	s.mu.Lock()
	for !s.fits(1, connectionBytes) && s.closeOne(nil) {
	}
	if !s.fits(1, connectionBytes) {
		s.counts.Refused++
		s.mu.Unlock()
		if s.onFull != nil {
			s.onFull()
		}
		return nil
	}
	defer s.mu.Unlock()
	c := &conn{Conn: raw, connections: s, phase: phaseFresh, due: s.now().Add(minFresh), bytes: connectionBytes}
	s.open++
	s.bytes += c.bytes
	c.place = s.byPhase[phaseFresh].PushBack(c)
	return c
}

// fits reports whether there is room for more connections and bytes. s.mu is held.
func (s *Connections) fits(open int, bytes int64) bool {
	return (s.limits.Open <= 0 || s.open+open <= s.limits.Open) && (s.limits.Bytes <= 0 || s.bytes+bytes <= s.limits.Bytes)
}

// closeOne closes the connection that gives way first, other than keep, and reports whether there is one. s.mu is held.
func (s *Connections) closeOne(keep *conn) bool {
	for p := range phaseBusy {
		for e := s.byPhase[p].Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if p == phaseFresh && s.now().Before(c.due) {
				break // so are the others, which are newer
			}
			if c != keep {
				s.giveWay(c)
				return true
			}
		}
	}
	var longest *conn
	for e := s.byPhase[phaseBusy].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.stalledSweeps > 0 && (longest == nil || c.stalledSweeps > longest.stalledSweeps) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	s.giveWay(longest)
	return true
}

// giveWay closes a connection to make room for others. s.mu is held.
func (s *Connections) giveWay(c *conn) {
	s.counts.Closed++
	s.remove(c)
	_ = c.Conn.Close()
}

// Sweep finds the connections whose client does not read: where the same write is in progress as at the last call. It
// is called in intervals of a second or so.
func (s *Connections) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.byPhase[phaseBusy].Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now := c.writes.Load(); now == c.seenWrites && now%2 == 1 {
			c.stalledSweeps++
		} else {
			c.seenWrites, c.stalledSweeps = now, 0
		}
	}
}

// remove stops counting a connection. s.mu is held.
func (s *Connections) remove(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	s.open--
	s.bytes -= c.bytes
	s.unlist(c)
}

// unlist takes a connection from the list of its phase. s.mu is held.
func (s *Connections) unlist(c *conn) {
	if c.place != nil {
		s.byPhase[c.phase].Remove(c.place)
		c.place = nil
	}
}

// enter changes the phase of a connection.
func (c *conn) enter(p phase) {
	s := c.connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return
	}
	s.unlist(c)
	c.phase = p
	c.place = s.byPhase[p].PushBack(c)
	if p == phaseBusy {
		for !s.fits(0, s.limits.Unread) && s.closeOne(c) { // those that wait make room for what this one may send
		}
		c.grow(s.limits.Unread)
	} else {
		c.grow(connectionBytes - c.bytes)
	}
}

// grow changes the memory that is counted for a connection. connections.mu is held.
func (c *conn) grow(n int64) {
	c.bytes += n
	c.connections.bytes += n
}

// Read implements net.Conn. While no request is in progress, what is read is a header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// received counts what was read of a header. It returns false if the connection was closed for lack of room.
func (c *conn) received(n int) bool {
	s := c.connections
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed || c.phase == phaseBusy {
		return !c.closed
	}
	more := int64(headerCopies * n)
	for !s.fits(0, more) && s.closeOne(c) {
	}
	if !s.fits(0, more) {
		s.giveWay(c)
		return false
	}
	c.grow(more)
	return true
}

// writePiece is how much is written at once, in bytes. A client on a slow line reads that much between two calls of
// Sweep.
const writePiece = 16 << 10

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writes.Add(1)
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		c.writes.Add(1)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite tells the client that nothing more comes. The server does this before it closes a connection.
func (c *conn) CloseWrite() error {
	c.enter(phaseAnswered)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets how the connection is closed, as for a net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(sec)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	s := c.connections
	s.mu.Lock()
	s.remove(c)
	s.mu.Unlock()
	return c.Conn.Close()
}
