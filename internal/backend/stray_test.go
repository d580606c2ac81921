package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/netx"
)

// strayRefusal looks like a refusal, and names no request.
const strayRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRunning: 9\r\nContent-Length: 0\r\n\r\n"

// Guards against bytes that belong to no request and pass for the refusal of the next one: its client would be told
// that it has not run, and send it again.
func TestAResponseThatNamesNoRequestIsNotTheNextOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		c, conns := startEndpoint(t, []string{answerTo("1", "one"), strayRefusal + answerTo("2", "two")}, []string{answerTo("3", "three")})
		_, err := send(t, c, "1")
		is.NoErr(err)
		resp, err := c.Send(context.Background(), call("2"))
		is.NoErr(err)
		is.True(!resp.Answer.NotRun)
		b, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(b), "two")
		resp.Close()
		is.Equal(c.loads.State("s", time.Now()).Report, loadreport.Report{}) // what it states counts for nothing
		_, err = send(t, c, "3")
		is.NoErr(err)
		is.Equal(*conns, 2) // the connection is not used again
		c.CloseIdle()
	})
}

// Guards against the same where the answer of the request does not come after it.
func TestARequestWithoutAResponseThatNamesItMayHaveRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		for _, kept := range []bool{true, false} {
			c := startAnswering(t, func(id string) (string, bool) {
				if id == "first" {
					return answerTo("first", "one"), false
				}
				return strayRefusal, kept // on a new connection, nothing else is waited for
			})
			if kept {
				_, err := send(t, c, "first")
				is.NoErr(err)
			}
			begin := time.Now()
			_, err := send(t, c, "2")
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.True(time.Since(begin) < time.Second)
			c.CloseIdle()
		}
	})
}

// startAnswering starts an endpoint that gives each request the answer that a function returns, and closes the
// connection then if it says so.
func startAnswering(t *testing.T, answer func(id string) (text string, closes bool)) *Client {
	t.Helper()
	mem := netx.NewMem(func(string, string) time.Duration { return time.Millisecond })
	l, err := mem.Site("endpoint").Listen(endpointAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for closes := false; !closes; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			var text string
			text, closes = answer(req.Header.Get("Id"))
			_, _ = io.WriteString(c, text)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return newClient(mem)
}

// stray returns bytes that belong to no request, as a faulty endpoint may send them before, in place of or after a
// response.
func stray(rnd *rand.Rand) string {
	status := []string{"200 OK", "400 Bad Request", "408 Request Timeout", "421 Misdirected Request", "429 Too Many Requests", "500 X", "503 Service Unavailable"}[rnd.IntN(7)]
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", status)
	for _, line := range []string{"Not-Run: 1\r\n", "Seal: s\r\n", "Running: 9\r\n", "Connection: close\r\n"} {
		if rnd.IntN(2) == 0 {
			b.WriteString(line)
		}
	}
	if rnd.IntN(3) == 0 {
		b.WriteString("Id: another\r\n")
	}
	switch rnd.IntN(5) {
	case 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n")
	case 1:
		b.WriteString("\r\nstray") // to the end of the connection
	case 2:
		return b.String()[:rnd.IntN(b.Len())]
	default:
		b.WriteString("Content-Length: 5\r\n\r\nstray")
	}
	return b.String()
}

// Guards against foreign answers and false claims over many exchanges with endpoints that run each request, and send
// bytes that belong to none.
func TestRandomStrayBytesNeverPassForAnAnswer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		own, exchanges := 0, 0
		for seed := range uint64(250) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			ran := make(map[string]bool)
			c := startAnswering(t, func(id string) (string, bool) {
				ran[id] = true
				own := answerTo(id, "answer "+id)
				switch rnd.IntN(6) {
				case 0, 1:
					return stray(rnd) + own, false
				case 2:
					return stray(rnd), true
				case 3:
					return own + stray(rnd), false
				}
				return own, rnd.IntN(8) == 0
			})
			for n := range 4 {
				exchanges++
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				resp, err := c.Send(ctx, call(fmt.Sprint(n)))
				if err == nil {
					is.True(!resp.Answer.NotRun) // the endpoint runs them all
					is.Equal(resp.Answer.RequestID, fmt.Sprint(n))
					b, err := io.ReadAll(resp)
					if err == nil {
						is.Equal(string(b), fmt.Sprint("answer ", n))
						own++
					}
					resp.Close()
				} else if fault.As(err).Run == fault.NotRun {
					time.Sleep(time.Second)
					is.True(!ran[fmt.Sprint(n)])
				}
				cancel()
			}
			c.CloseIdle()
		}
		is.Equal(exchanges, 1000)
		is.True(own > 500) // the others have no answer, or one behind bytes that don't end
	})
}
