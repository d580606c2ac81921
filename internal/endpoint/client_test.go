package endpoint

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
)

func ignoreSignals(Signals) {}

// The signals in the headers of each response are observed, whatever its status, those of responses
// to load reports included.
func TestSignalsOfEndpointsAreObserved(t *testing.T) {
	for _, test := range []struct {
		status     int
		leaving    string
		retryAfter string
		want       notice.Notice
	}{
		{status: 200},
		{status: 200, leaving: "1", want: notice.Notice{Leaving: true}},
		{status: 500, leaving: "1", want: notice.Notice{Leaving: true}},
		{status: 503, leaving: "1", retryAfter: "2", want: notice.Notice{Leaving: true, Backoff: 2 * time.Second}},
		{status: 503, retryAfter: "0.5", want: notice.Notice{Backoff: 500 * time.Millisecond}},
		{status: 503, retryAfter: "soon"},
		{status: 429, retryAfter: "2"},
	} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.leaving != "" {
				w.Header().Set(LeavingHeader, test.leaving)
			}
			if test.retryAfter != "" {
				w.Header().Set("Retry-After", test.retryAfter)
			}
			w.WriteHeader(test.status)
		}))
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		var observed notice.Notice
		observe := func(s Signals) { observed = s.Notice }
		c := New(netx.Transport(netx.TCP{}))
		_, _ = c.Call(context.Background(), addr, "pay", "text/plain", "k", nil, observe)
		is.Equal(observed, test.want)
		observed = notice.Notice{}
		_, _ = c.Report(context.Background(), addr, 0, observe)
		is.Equal(observed, test.want)
		srv.Close()
	}
}

// The transport of net/http resends a POST that has an Idempotency-Key and no body when a reused
// connection breaks. The client must not send it twice.
func TestCallIsSentOnceWhenTheConnectionBreaks(t *testing.T) {
	for _, body := range []string{"", "pay 5"} {
		t.Run("body="+body, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if runs.Add(1) > 1 { // the first call leaves an idle connection that the second one reuses
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
			c := New(netx.Transport(netx.TCP{}))
			_, err := c.Call(context.Background(), addr, "pay", "text/plain", "k1", []byte(body), ignoreSignals)
			is.NoErr(err)
			_, err = c.Call(context.Background(), addr, "pay", "text/plain", "k2", []byte(body), ignoreSignals)
			is.True(err != nil)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
			is.Equal(runs.Load(), int64(2)) // not a third time
		})
	}
}

// Guards against the beginning of a long answer that is taken for the whole.
func TestAnAnswerOverTheLimitIsNotCutAndTakenForWhole(t *testing.T) {
	for _, size := range []int{maxAnswerBytes, maxAnswerBytes + 1} {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		a, err := New(netx.Transport(netx.TCP{})).Call(context.Background(), addr, "pay", "text/plain", "k", nil, ignoreSignals)
		if size > maxAnswerBytes {
			is.True(err != nil)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
		} else {
			is.NoErr(err)
			is.Equal(len(a.Body), size)
		}
		srv.Close()
	}
}

// Guards against the beginning of an answer that is taken for the whole, as its endpoint was killed and the answer has neither
// a length nor chunks.
func TestAnAnswerWithoutFramingWhoseEndpointEndsIsNotWhole(t *testing.T) {
	for _, ends := range []bool{false, true} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			for first := true; ; first = false {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					_ = c.Close()
					continue
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if first && ends {
					_ = l.Close()
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf")
				_ = c.Close()
			}
		}()
		a, err := New(netx.Transport(netx.TCP{})).Call(context.Background(), netip.MustParseAddrPort(l.Addr().String()), "pay", "text/plain", "k", nil, ignoreSignals)
		if ends {
			is.True(err != nil)
			is.Equal(fault.As(err).Run, fault.MayHaveRun)
		} else {
			is.NoErr(err)
			is.Equal(string(a.Body), "half")
		}
		_ = l.Close()
	}
}

func TestARefusedConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	srv.Close()
	_, err := New(netx.Transport(netx.TCP{})).Call(context.Background(), addr, "pay", "text/plain", "k", nil, ignoreSignals)
	is.Equal(fault.As(err).Run, fault.NotRun)
	is.Equal(fault.As(err).Kind, fault.KindRefused)
}

func TestAnEndpointAnnouncesARateLimit(t *testing.T) {
	for _, test := range []struct {
		status int
		header http.Header
		want   ratelimit.Limit
	}{
		{200, http.Header{RateLimitHeader: {"1.5"}}, ratelimit.Limit{Kind: ratelimit.Limited, Rate: 1.5}},
		{429, http.Header{RateLimitHeader: {"2"}}, ratelimit.Limit{Kind: ratelimit.Limited, Rate: 2}},
		{200, nil, ratelimit.Limit{}},
		{503, nil, ratelimit.Limit{Kind: ratelimit.Unknown}},
		{200, http.Header{RateLimitHeader: {"few"}}, ratelimit.Limit{Kind: ratelimit.Unknown}},
	} {
		is := is.New(t)
		is.Equal(signalsOf(&http.Response{StatusCode: test.status, Header: test.header}).RateLimit, test.want)
	}
}

// Any response to a report is decoded or refused with an error that says that nothing ran.
func FuzzReport(f *testing.F) {
	f.Add(`{"running":1,"queued_tokens":[1,2],"per_token_us":100,"first":3,"events":[{"block":7,"evicted":true}]}`)
	f.Add(`{"running":1e300}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		defer srv.Close()
		addr := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
		c := New(netx.Transport(netx.TCP{}))
		_, err := c.Report(context.Background(), addr, 0, ignoreSignals)
		if err != nil && fault.As(err).Run != fault.NotRun {
			t.Fatalf("a report that cannot be decoded gives error %v", err)
		}
	})
}
