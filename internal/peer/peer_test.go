package peer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// mutableNetwork is a network whose connections can be muted: a muted one drops
// all data that is written to it, without a reset.
type mutableNetwork struct {
	netx.Network
	mutedUpTo atomic.Int64 // number of the last connection that drops data
	dialled   atomic.Int64 // connections dialled
}

func (n *mutableNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr)
	return &mutedConn{Conn: c, net: n, number: n.dialled.Add(1)}, err
}

type mutedConn struct {
	net.Conn
	net    *mutableNetwork
	number int64
}

// Write implements net.Conn. On a muted connection it drops the data and
// reports success.
func (c *mutedConn) Write(b []byte) (int, error) {
	if c.number <= c.net.mutedUpTo.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// bubble runs f in a bubble of virtual time. yamux keeps timers in a sync.Pool, which must not reach the next bubble; two
// garbage collections empty it.
func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	virtual.Test(t, f)
}

// doneHandler is a Handler that responds to each call at once.
type doneHandler struct{}

func (doneHandler) Handle(_ context.Context, _ *peerpb.Call, answer func(*peerpb.Answer) error) error {
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// A connection can stop delivering data without a reset, so that all calls on
// its session time out. After a second without a response the session is closed,
// and a new one works.
func TestAnUnresponsiveSessionIsReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		addr := netip.MustParseAddrPort("10.0.0.2:8002")
		l, err := mem.Site("b").Listen(addr)
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		server := New(mem.Site("b"), "b", nil, nil)
		server.SetHandler(doneHandler{})
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		network := &mutableNetwork{Network: mem.Site("a")}
		client := New(network, "a", nil, nil)
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
			defer cancel()
			_, err := client.Call(ctx, addr, &peerpb.Call{Body: &peerpb.Call_Share{Share: &peerpb.Share{}}})
			return err
		}
		is.NoErr(call())
		network.mutedUpTo.Store(network.dialled.Load())
		failed := 0
		for call() != nil {
			if failed++; failed > 10 {
				t.Fatal("the unresponsive session is still in use")
			}
		}
		is.Equal(failed, 3) // each times out after 0.4 s; the third fails after more than unresponsiveAfter
		is.Equal(network.dialled.Load(), int64(2))
		client.Close()
		stop()
		<-served
		time.Sleep(10 * time.Second)
	})
}
