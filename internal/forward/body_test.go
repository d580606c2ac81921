package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// read reads a body as a handler does, with a limit.
func read(h *Handler, body io.Reader, announced int64, limit int64) (*request, *denial) {
	q := &request{view: &View{Config: &policy.Config{Limits: policy.Limits{BodyBytes: limit}}, Instances: 1}, deadline: time.Now().Add(time.Second), client: http.NewResponseController(httptest.NewRecorder())}
	r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/", io.NopCloser(body))
	r.ContentLength = announced
	return q, h.readRequest(context.Background(), q, r)
}

func newReader(memory int64) *Handler {
	return New(Options{Protocol: plainProtocol{}, Clock: clock.New(clock.System{}), Bodies: intake.NewBudget(memory)})
}

// Guards against bodies that are changed, cut off or let through over the limit by being read in pieces.
func TestABodyIsReadWholeWhateverItsPieces(t *testing.T) {
	const limit = 300_000
	h := newReader(1 << 20)
	for _, size := range []int{1, 2000, firstPiece - 1, firstPiece, firstPiece + 1, maxPiece, firstPiece + maxPiece, 2*maxPiece + 1, limit - 1, limit, limit + 1, 2 * limit} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i / 7)
		}
		for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "end with the data": iotest.DataErrReader} {
			for _, announced := range []int64{-1, int64(size)} {
				t.Run(fmt.Sprintf("%d %s %d", size, name, announced), func(t *testing.T) {
					is := is.New(t)
					q, d := read(h, wrap(bytes.NewReader(body)), announced, limit)
					defer q.memory.Release()
					if size > limit {
						is.Equal(d.status, http.StatusRequestEntityTooLarge)
						return
					}
					is.Equal(d, nil)
					is.True(bytes.Equal(q.body.AppendTo(nil), body))
				})
			}
		}
	}
	if h.Bodies.Used() != 0 {
		t.Errorf("%d bytes are held at the end", h.Bodies.Used())
	}
}

// Guards against a body of which less came than was announced, and that is sent on as if it were whole.
func TestABodyThatEndsEarlyIsNotSentOn(t *testing.T) {
	is := is.New(t)
	q, d := read(newReader(1<<20), bytes.NewReader(make([]byte, 999)), 1000, 2000)
	is.True(d.clientGone)
	is.Equal(q.body.Len(), 0)
}

// Guards against a refusal for lack of memory that claims less than it could: nothing of the request was sent.
func TestABodyWithoutMemoryIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 0, sealed(200, "hi"))
	w.handler.Bodies = intake.NewBudget(1)
	rec, _ := w.ask("/once/a", "k")
	is.Equal(rec.Code, http.StatusServiceUnavailable)
	is.True(rec.Header().Get("Retry-After") != "")
	is.Equal(rec.Header().Get("Connection"), "close")
	is.Equal(len(w.got), 0)
	is.Equal(w.handler.Bodies.Used(), int64(0))
	w.handler.Bodies = intake.NewBudget(4)
	rec, _ = w.ask("/once/a", "k")
	is.Equal(rec.Code, http.StatusOK)
	is.Equal(w.handler.Bodies.Used(), int64(0))
}

// Guards against a refused request that keeps its connection for as long as its client sends nothing more of the body.
func TestARefusalDoesNotWaitForTheBody(t *testing.T) {
	is := is.New(t)
	w := newFixture(t, 0, sealed(200, "hi"))
	w.handler.Clock = clock.New(clock.System{})
	s := httptest.NewServer(w.handler)
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /safe/a HTTP/1.1\r\nHost: %s\r\nKey: unknown\r\nContent-Length: 4\r\n\r\nbod", testHost)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed by the handler's side
}

// afterFirstWrite calls a function after the first write of a response.
type afterFirstWrite struct {
	*httptest.ResponseRecorder
	call func()
}

func (w *afterFirstWrite) Write(b []byte) (int, error) {
	n, err := w.ResponseRecorder.Write(b)
	if w.call != nil {
		w.call()
		w.call = nil
	}
	return n, err
}

// Guards against a request that is sent again without its body, or with another one, after the body was dropped: the
// stream has to break off then. With the body it is resumed.
func TestAStreamWhoseBodyWasDroppedIsNotSentAgain(t *testing.T) {
	for _, dropped := range []bool{true, false} {
		t.Run(fmt.Sprint("dropped ", dropped), func(t *testing.T) {
			is := is.New(t)
			w := newFixture(t, 0, events(1, 2, false), events(3, 4, true))
			w.handler.View().Config.Limits.BodyBytes = 1 << 20
			w.handler.Bodies = intake.NewBudget(1 << 20)
			var other intake.Lease
			rec := &afterFirstWrite{httptest.NewRecorder(), func() {
				now := time.Now()
				w.handler.Bodies.Open(&other, nil, now)
				if dropped {
					is.NoErr(other.Grow(context.Background(), 700<<10, now))
				}
			}}
			r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/resume/a", bytes.NewReader(make([]byte, 2*minSpare)))
			r.Header = http.Header{"Id": {"7"}, "Key": {"k"}, "Deadline": {"1500"}}
			cut := false
			func() {
				defer func() { cut = recover() != nil }()
				w.handler.ServeHTTP(rec, r)
			}()
			other.Release()
			is.Equal(cut, dropped)
			sent := 2
			if dropped {
				sent = 1
			}
			is.Equal(len(w.got), sent)
			is.Equal(w.handler.Bodies.Used(), int64(0))
		})
	}
}
