package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// mutable is a network whose open connections can be made silent, without a reset.
type mutable struct {
	netx.Network
	muted atomic.Int64 // connections dialled before this number are silent
	count atomic.Int64 // of connections dialled
}

func (m *mutable) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := m.Network.Dial(ctx, addr)
	return &mutedConn{Conn: c, net: m, number: m.count.Add(1)}, err
}

type mutedConn struct {
	net.Conn
	net    *mutable
	number int64
}

// Write implements net.Conn: what a silent connection is given is lost.
func (c *mutedConn) Write(b []byte) (int, error) {
	if c.number <= c.net.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// done answers each call.
type done struct{}

func (done) Handle(_ context.Context, _ *peerpb.Call, answer func(*peerpb.Answer) error) error {
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// A session whose connection went silent is given up after a second of calls without
// an answer, and a new one works.
func TestASilentSessionIsGivenUp(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		addr := netip.MustParseAddrPort("10.0.0.2:8002")
		l, err := mem.Site("b").Listen(addr)
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		server := New(mem.Site("b"), "b", nil, nil)
		server.SetHandler(done{})
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		network := &mutable{Network: mem.Site("a")}
		client := New(network, "a", nil, nil)
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, addr, &peerpb.Call{Body: &peerpb.Call_Share{Share: &peerpb.Share{}}})
			return err
		}
		is.NoErr(call())
		network.muted.Store(network.count.Load())
		failed := 0
		for call() != nil {
			if failed++; failed > 10 {
				t.Fatal("the silent session is used on")
			}
		}
		is.Equal(failed, 3) // 0.4 s each
		is.Equal(network.count.Load(), int64(2))
		client.Close()
		stop()
		<-served
		time.Sleep(10 * time.Second)
	})
}
