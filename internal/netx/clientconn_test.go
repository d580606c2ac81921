package netx

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// connectTo returns a connection to a peer that sends a byte, and does something with its end when it has received one.
func connectTo(t *testing.T, peer func(*net.TCPConn)) *ClientConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Write([]byte("x"))
		_, _ = c.Read(make([]byte, 1))
		peer(c.(*net.TCPConn))
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	client := NewClientConn(c)
	if _, err := io.ReadFull(client, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	return client
}

// Guards against a failure of the connection that is the end of the stream for the next read.
func TestEachReadReturnsTheFailureOfTheConnection(t *testing.T) {
	for name, write := range map[string]func(*ClientConn) error{
		"read first": func(*ClientConn) error { return nil },
		"write first": func(c *ClientConn) error {
			for {
				if _, err := c.Write(make([]byte, 64<<10)); err != nil {
					return err
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := connectTo(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
			if err := write(c); err != nil {
				is.True(errors.Is(err, syscall.ECONNRESET))
			}
			for range 3 {
				_, err := c.Read(make([]byte, 1))
				is.True(errors.Is(err, syscall.ECONNRESET))
			}
			_, err := c.Write([]byte("x"))
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// Guards against a write that waits for a peer which has ended its stream, and keeps the read of that end from returning.
func TestTheEndOfTheStreamEndsAWriteThatWaits(t *testing.T) {
	is := is.New(t)
	leave := make(chan struct{})
	defer close(leave)
	c := connectTo(t, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		<-leave
	})
	written := make(chan error)
	go func() {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				written <- err
				return
			}
		}
	}()
	b, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(len(b), 0)
	is.True(<-written != nil)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
