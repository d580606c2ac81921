package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
)

// pipes accepts connections that a test makes.
type pipes struct{ made []net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	if len(p.made) == 0 {
		return nil, net.ErrClosed
	}
	c := p.made[0]
	p.made = p.made[1:]
	return c, nil
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return nil }

// connect makes a connection, and returns what the server gets of it; nil if it was refused.
func connect(s *Connections) (client, server net.Conn) {
	client, accepted := net.Pipe()
	server, err := s.Listener(&pipes{[]net.Conn{accepted}}).Accept()
	if err != nil {
		return client, nil
	}
	return client, server
}

// late returns a clock by which each new connection has had its time.
func late() func() time.Time {
	now := start
	return func() time.Time {
		now = now.Add(minFresh)
		return now
	}
}

// Guards against ordinary clients that are shut out by newcomers while a busy instance has not read their request yet.
func TestANewConnectionHasTimeForItsRequest(t *testing.T) {
	is := is.New(t)
	now := start
	s := NewConnections(ConnectionLimits{Open: 1}, func() time.Time { return now }, nil)
	client, server := connect(s)
	is.True(server != nil)
	now = now.Add(minFresh - 1)
	_, newcomer := connect(s)
	is.True(newcomer == nil)
	now = now.Add(1)
	_, newcomer = connect(s)
	is.True(newcomer != nil)
	is.True(isClosed(client))
}

// isClosed reports whether a connection was closed by the other end.
func isClosed(client net.Conn) bool {
	go func() { _, _ = client.Write([]byte("x")) }()
	_, err := client.Read(make([]byte, 1))
	return err != nil
}

// Guards against a crowd of connections that takes all descriptors, and against one that is closed although its
// request is in progress.
func TestConnectionsWithoutARequestGiveWayInTheirOrder(t *testing.T) {
	is := is.New(t)
	full := 0
	s := NewConnections(ConnectionLimits{Open: 5}, late(), func() { full++ })
	clients := make([]net.Conn, 5)
	servers := make([]net.Conn, 5)
	for i := range clients {
		clients[i], servers[i] = connect(s)
	}
	s.StateChanged(servers[0], http.StateActive) // 0 stays busy
	s.StateChanged(servers[1], http.StateActive)
	s.StateChanged(servers[1], http.StateIdle) // 1 is kept
	s.StateChanged(servers[2], http.StateActive)
	is.NoErr(servers[2].(*conn).CloseWrite()) // 2 is answered and about to be closed
	for _, want := range []int{2, 3, 4, 1} {
		_, server := connect(s)
		is.True(server != nil)
		s.StateChanged(server, http.StateActive)
		is.True(isClosed(clients[want]))
		is.Equal(s.Counts().Open, 5)
	}
	_, server := connect(s)
	is.True(server == nil)
	is.Equal(full, 1)
	is.Equal(s.Counts(), ConnectionCounts{Open: 5, Bytes: 5 * connectionBytes, Closed: 4, Refused: 1})
	is.NoErr(servers[0].Close())
	is.NoErr(servers[0].Close())
	is.Equal(s.Counts().Open, 4)
}

// Guards against headers that grow beyond the memory, and against counting a header after its request.
func TestHeadersTakeTheMemoryOfConnections(t *testing.T) {
	is := is.New(t)
	const header = 4 << 10
	s := NewConnections(ConnectionLimits{Bytes: 2*connectionBytes + headerCopies*header}, late(), nil)
	first, _ := connect(s)
	second, server := connect(s)
	read := func(n int) error {
		go func() { _, _ = second.Write(make([]byte, n)) }()
		_, err := server.Read(make([]byte, n))
		return err
	}
	is.NoErr(read(header))
	s.StateChanged(server, http.StateActive)
	is.NoErr(read(header)) // of the body
	s.StateChanged(server, http.StateIdle)
	is.NoErr(read(header))
	is.Equal(s.Counts().Closed, int64(0))
	is.NoErr(read(header)) // the first connection gives way
	is.True(isClosed(first))
	for range connectionBytes / header / headerCopies {
		_ = read(header)
	}
	is.Equal(s.Counts(), ConnectionCounts{Closed: 2}) // one alone that takes too much is closed too
	is.Equal(s.bytes, int64(0))
}

// Guards against idle connections whose requests all begin at once, and then take more memory than they may together.
func TestIdleConnectionsMakeRoomForTheRequestsOfOthers(t *testing.T) {
	is := is.New(t)
	const open = 6
	s := NewConnections(ConnectionLimits{Bytes: open * connectionBytes, Unread: connectionBytes}, late(), nil)
	servers := make([]net.Conn, open)
	for i := range servers {
		_, servers[i] = connect(s)
	}
	for i := range open / 2 {
		s.StateChanged(servers[open-1-i], http.StateActive)
		is.True(s.bytes <= s.limits.Bytes)
	}
	is.Equal(s.Counts().Open, open/2)
	for i := range servers {
		is.Equal(servers[i].(*conn).closed, i < open/2) // those that waited for longest
	}
}

// Guards against clients that do not read their answers and keep all connections, and against closing that of a client
// that reads slowly.
func TestConnectionsWhoseAnswersAreNotReadGiveWay(t *testing.T) {
	is := is.New(t)
	s := NewConnections(ConnectionLimits{Open: 3}, late(), nil)
	var wait sync.WaitGroup
	clients, servers := make([]net.Conn, 3), make([]net.Conn, 3)
	for i := range clients {
		clients[i], servers[i] = connect(s)
		s.StateChanged(servers[i], http.StateActive)
		if i > 0 { // 0 has not begun its answer
			wait.Go(func() { _, _ = servers[i].Write(make([]byte, 10*writePiece)) })
		}
	}
	reads := make([]uint64, 3)
	read := func(i int) { // and waits until the next piece is being written
		_, err := io.ReadFull(clients[i], make([]byte, writePiece))
		is.NoErr(err)
		reads[i]++
		for servers[i].(*conn).writes.Load() != 2*reads[i]+1 {
			time.Sleep(time.Millisecond)
		}
	}
	read(1)
	read(2)
	for range 3 {
		s.Sweep()
		read(1) // 2 reads nothing more
	}
	_, server := connect(s)
	is.True(server != nil)
	s.StateChanged(server, http.StateActive)
	_, err := clients[2].Read(make([]byte, 1))
	is.True(err != nil)
	read(1)
	_, server = connect(s)
	is.True(server == nil)
	for _, c := range clients {
		_ = c.Close()
	}
	wait.Wait()
}

// Guards against a line in the log for each connection of a crowd, and against a crowd that leaves none.
func TestClosedConnectionsAreLoggedTogether(t *testing.T) {
	is := is.New(t)
	i := New(Limits{Connections: 1}, late())
	lines := 0
	log := func(c event.Code, _ ...zap.Field) {
		is.Equal(c, event.ConnectionsClosed)
		lines++
	}
	i.Maintain(log)
	is.Equal(lines, 0)
	for range 10 {
		connect(i.Connections)
	}
	i.Maintain(log)
	i.Maintain(log)
	is.Equal(lines, 1)
}
