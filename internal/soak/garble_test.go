package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// Guards against garbled responses that are not whole, that no extra bytes follow, or whose connection serves no further
// request.
func TestGarbledResponsesAreWholeAndKeepTheirConnection(t *testing.T) {
	is := is.New(t)
	e := &endpoint{
		id: "e-001", service: plainService, slots: 1, record: &recorder{}, behavior: behavior{garble: 1},
		instanceAt: func(netip.Addr) string { return "n" },
	}
	is.NoErr(e.start())
	defer e.stop()
	conn, err := net.Dial("tcp", e.link.addr().String())
	is.NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(conn)
	for n := range 20 {
		id := fmt.Sprintf("q%06d", n)
		req, err := http.NewRequest(http.MethodGet, "http://h/price/x", http.NoBody)
		is.NoErr(err)
		platformtest.SetRequest(req.Header, platformtest.ClientRequest{ID: id})
		platformtest.SetExpect(req.Header, e.id)
		is.NoErr(req.Write(conn))
		resp, err := http.ReadResponse(r, req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(body), id+" answered"))
		is.Equal(platformtest.ReadResponse(resp.Header).RequestID, id)
		_, err = r.Peek(1) // the first of the extra bytes
		is.NoErr(err)
		time.Sleep(maxExtraDelay)
		_, err = r.Discard(r.Buffered())
		is.NoErr(err)
	}
}
