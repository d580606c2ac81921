package soak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newEchoLink returns a link to a TCP echo service.
func newEchoLink(t *testing.T) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	k, err := newLink("127.0.0.1:0", netip.MustParseAddrPort(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		k.close()
		_ = l.Close()
	})
	return k
}

func dial(t *testing.T, k *link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", k.addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// roundTrip sends a byte through an echo link and waits for it to come back.
func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestALinkForwardsBytesInBothDirections(t *testing.T) {
	is := is.New(t)
	c := dial(t, newEchoLink(t))
	is.NoErr(roundTrip(c))
	is.NoErr(roundTrip(c))
}

func TestAStalledLinkForwardsHeldBytesOnceItRecovers(t *testing.T) {
	for _, s := range []linkState{{stallToTarget: true}, {stallFromTarget: true}} {
		is := is.New(t)
		k := newEchoLink(t)
		c := dial(t, k)
		is.NoErr(roundTrip(c))
		k.set(s)
		_, err := c.Write([]byte{1})
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = c.Read(make([]byte, 1))
		is.True(err != nil) // nothing came back
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		k.set(linkState{})
		_, err = io.ReadFull(c, make([]byte, 1))
		is.NoErr(err)
	}
}

func TestALinkIsResetAndRefusesConnections(t *testing.T) {
	is := is.New(t)
	k := newEchoLink(t)
	c := dial(t, k)
	is.NoErr(roundTrip(c))
	k.set(linkState{refuse: true})
	k.reset()
	is.True(roundTrip(c) != nil)
	again, err := net.Dial("tcp", k.addr().String())
	if err == nil {
		err = roundTrip(again)
		_ = again.Close()
	}
	is.True(err != nil)
	k.set(linkState{})
	is.NoErr(roundTrip(dial(t, k)))
}
