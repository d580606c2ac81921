package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
)

// onceHandler accepts the stream of one call, echoes what comes on it, and refuses all others.
type onceHandler struct {
	doneHandler
	accepted chan struct{}
}

func (h onceHandler) HandleStream(_ context.Context, _ *peerpb.Call, stream net.Conn) bool {
	select {
	case h.accepted <- struct{}{}:
	default:
		_ = Refuse(stream, errors.New("full"))
		return true
	}
	if Accept(stream) == nil {
		_, _ = io.Copy(stream, stream)
	}
	return true
}

// Guards against instances that refuse requests and are taken for unresponsive, which cuts the requests that they serve.
func TestRefusalsDoNotEndTheSession(t *testing.T) {
	bubble(t, func(t *testing.T) {
		is := is.New(t)
		mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
		addr := netip.MustParseAddrPort("10.0.0.2:8002")
		l, err := mem.Site("b").Listen(addr)
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		server := New(mem.Site("b"), "b", nil, nil)
		server.SetHandler(onceHandler{accepted: make(chan struct{}, 1)})
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, l) }()
		client := New(mem.Site("a"), "a", nil, nil)
		call := &peerpb.Call{Body: &peerpb.Call_Proxy{Proxy: &peerpb.Proxy{}}}
		stream, err := client.Open(ctx, addr, call)
		is.NoErr(err)
		for range 4 {
			_, err := client.Open(ctx, addr, call)
			is.True(err != nil) // refused
			time.Sleep(unresponsiveAfter / 2)
		}
		_, err = io.WriteString(stream, "still open")
		is.NoErr(err)
		got := make([]byte, len("still open"))
		_, err = io.ReadFull(stream, got)
		is.NoErr(err)
		is.Equal(string(got), "still open")
		is.NoErr(stream.Close())
		client.Close()
		stop()
		<-served
		time.Sleep(10 * time.Second)
	})
}
