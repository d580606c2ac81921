//go:build review

// Command streamer is a model server, a process of its own: it answers each request with a stream of events that has neither a
// length nor chunks and ends with its connection. It tells on its standard output what it runs.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// A stream, as of the sheet's shorter classes.
const (
	firstEvent = 200 * time.Millisecond
	pause      = 100 * time.Millisecond
)

func main() {
	address, id := os.Args[1], os.Args[2]
	events, err := strconv.Atoi(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	fmt.Println("listens")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c, id, events)
	}
}

func serve(c net.Conn, id string, events int) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	in := platformtest.ReadRequest(req.Header)
	head := platformtest.EndpointResponse{RequestID: in.ID}
	if in.Expect != id {
		head.Instance = id
		_, _ = c.Write(headOf("421 Misdirected Request", head, "Content-Length: 0"))
		return
	}
	fmt.Println("runs", in.ID)
	time.Sleep(firstEvent)
	head.Seal = "seal-" + id
	text := headOf("200 OK", head, "Content-Type: text/event-stream")
	for n := 1; n <= events; n++ {
		text = fmt.Appendf(text, "id: %d\ndata: event %d of %d by %s\n\n", n, n, events, id)
		if _, err := c.Write(text); err != nil {
			return
		}
		text = nil
		if n < events {
			time.Sleep(pause)
		}
	}
	fmt.Println("ended", in.ID)
}

func headOf(status string, head platformtest.EndpointResponse, more string) []byte {
	h := make(http.Header)
	platformtest.SetResponse(h, head)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n%s\r\nConnection: close\r\n", status, more)
	_ = h.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
