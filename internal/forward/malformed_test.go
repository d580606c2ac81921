package forward

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/netxtest"
)

// Guards against an answer whose head is none of the protocol and reaches the client, or ends its connection without an
// answer.
func TestAnAnswerWithAMalformedHeadDoesNotReachTheClient(t *testing.T) {
	plain := "Id: 7\r\nSeal: s\r\nContent-Length: 2\r\n\r\nno"
	stream := "Id: 7\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n" + threeEvents + thenClose
	for name, head := range netxtest.MalformedHeads {
		for _, test := range []struct {
			path    string
			scripts []string
			status  int
			body    string
			sent    int
		}{
			{"/once/a", []string{head + plain}, 502, "", 1},
			{"/safe/a", []string{head + plain, sealed(200, "hi")}, 200, "hi", 2},
			{"/stream/a", []string{head + stream}, 502, "", 1},
			{"/stream/a", []string{head + plain}, 502, "", 1},
			{"/resume/a", []string{events(1, 2, false), head + stream}, 200, threeEvents[:30], 2},
		} {
			t.Run(name+test.path, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 0, test.scripts...)
				rec, cut := w.ask(test.path, "k")
				is.Equal(rec.Code, test.status)
				is.Equal(rec.Body.String(), test.body)
				is.Equal(cut, test.path == "/resume/a")
				is.Equal(len(w.got), test.sent)
			})
		}
	}
}
