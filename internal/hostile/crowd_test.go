package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// smallInstance is what the instances of these tests have: less than those of the deployments, so that a small crowd
// is enough to pass it.
var smallInstance = limits{memoryMB: 64, descriptors: 512}

// bodies is the number of clients of a crowd that sends bodies. Their bodies of the allowed size take four times
// the memory of the instance.
const bodies = 64

// Guards against a crowd whose announced bodies, all but their last byte, are held until the process is over its
// memory.
func TestAnnouncedBodiesThatStayOpenEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(bodies, announced(crowdKey, maxBodyBytes, maxBodyBytes-1), reading)
	w.check()
}

// Guards against the same with bodies that come in large chunks.
func TestBodiesInLargeChunksThatStayOpenEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(bodies, chunked(crowdKey, len(piece), maxBodyBytes-len(piece)), reading)
	w.check()
}

// Guards against the same with bodies that come in very small chunks.
func TestBodiesInSmallChunksThatStayOpenEndAProcess(t *testing.T) {
	const chunk = 16
	w := newWorld(t, smallInstance)
	w.send(bodies, chunked(crowdKey, chunk, maxBodyBytes-chunk), reading)
	w.check()
}

// Guards against announced bodies far over the limit that are sent all the same: bytes that wait in sockets count
// as memory.
func TestAnnouncedBodiesOverTheLimitEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(bodies, announced(crowdKey, 64*maxBodyBytes, 4*maxBodyBytes), reading)
	w.check()
}

// Guards against bodies far over the limit that come in chunks, without an announced length.
func TestChunkedBodiesOverTheLimitEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(bodies, chunked(crowdKey, len(piece), 4*maxBodyBytes), reading)
	w.check()
}

// Guards against bodies of clients without a valid key that take memory.
func TestBodiesWithoutAKeyEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(bodies, chunked(unknownKey, len(piece), 4*maxBodyBytes), reading)
	w.check()
}

// Guards against clients that use all descriptors with connections on which they say nothing.
func TestSilentConnectionsTakeAllDescriptors(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(smallInstance.descriptors, func(net.Conn) error { return nil }, reading)
	w.check()
}

// Guards against requests that are refused before their body has come, and whose connection then stays open for
// the rest of the body, however long the client takes.
func TestRefusedRequestsWithoutTheirBodyTakeAllDescriptors(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(smallInstance.descriptors, announced(unknownKey, 1000, 999), reading)
	w.check()
}

// Guards against large headers that do not end.
func TestHeadersThatDoNotEndEndAProcess(t *testing.T) {
	w := newWorld(t, limits{memoryMB: 64, descriptors: 4096})
	line := "X-Filler: " + strings.Repeat("x", maxHeaderBytes) + "\r\n"
	w.send(3000, func(c net.Conn) error {
		_, err := io.WriteString(c, requestHead(safePath, crowdKey, line)[:maxHeaderBytes-600])
		return err
	}, reading)
	w.check()
}

// Guards against clients that do not read their answers, which the instance and its sockets then hold.
func TestUnreadAnswersEndAProcess(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(4*bodies, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := fmt.Fprint(c, requestHead(largePath, crowdKey, "Content-Length: 0\r\n")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1))
		return err
	}, notReading)
	w.check()
}

// Guards against bodies of a few bytes at a time that keep all connections to themselves.
func TestBodiesThatTrickleTakeAllConnections(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(smallInstance.descriptors, func(c net.Conn) error {
		_, err := io.WriteString(c, requestHead(safePath, crowdKey, "Transfer-Encoding: chunked\r\n"))
		return err
	}, func(ctx context.Context, c net.Conn) {
		for ctx.Err() == nil {
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return
			}
			sleep(ctx, 50*time.Millisecond)
		}
	})
	w.check()
}

// Guards against requests that are sent one after the other without reading any answer, until the sockets are full.
func TestPipelinedRequestsWithUnreadAnswersTakeAllConnections(t *testing.T) {
	for _, key := range []string{crowdKey, unknownKey} {
		t.Run(key, func(t *testing.T) { testPipelined(t, key) })
	}
}

func testPipelined(t *testing.T, key string) {
	w := newWorld(t, smallInstance)
	requests := strings.Repeat(requestHead(safePath, key, "Content-Length: 0\r\n"), 100)
	w.send(smallInstance.descriptors, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err := io.WriteString(c, requests)
		return err
	}, func(ctx context.Context, c net.Conn) {
		go func() {
			<-ctx.Done()
			_ = c.Close()
		}()
		for {
			if _, err := io.WriteString(c, requests); err != nil {
				return
			}
		}
	})
	w.check()
}

// Guards against one account whose requests, each within the limits, keep all connections until their deadlines.
func TestSlowRequestsOfOneAccountTakeAllConnections(t *testing.T) {
	w := newWorld(t, smallInstance)
	w.send(smallInstance.descriptors, func(c net.Conn) error {
		_, err := io.WriteString(c, requestHead(slowPath, crowdKey, "Content-Length: 0\r\n"))
		return err
	}, reading)
	before := w.answered.Load()
	w.check()
	if slow := w.answered.Load() - before; slow > 0 {
		t.Errorf("%d slow requests had ended before an ordinary one was answered", slow)
	}
}
