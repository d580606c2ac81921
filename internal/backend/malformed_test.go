package backend

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/netxtest"
)

// Guards against an answer whose head is none of the protocol and passes for one, or for a refusal, on a new connection and
// on a kept one.
func TestAnAnswerWithAMalformedHeadIsNone(t *testing.T) {
	for name, head := range netxtest.MalformedHeads {
		for _, kept := range []bool{false, true} {
			for _, rest := range []string{"Id: 2\r\nSeal: s\r\nContent-Length: 2\r\n\r\nhi", "Id: 2\r\nNot-Run: 1\r\nRunning: 9\r\nContent-Length: 0\r\n\r\n"} {
				t.Run(name, func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T, is *is.I) {
						scripts := [][]string{{head + rest}, {answerTo("3", "three")}}
						if kept {
							scripts[0] = []string{answerTo("1", "one"), head + rest}
						}
						c, conns := startEndpoint(t, scripts...)
						if kept {
							_, err := send(t, c, "1")
							is.NoErr(err)
						}
						_, err := send(t, c, "2")
						is.True(err != nil)
						is.Equal(fault.As(err).Run, fault.MayHaveRun)
						is.True(c.loads.State("s", c.clock.Now()).Report.Running != 9) // what it states counts for nothing
						b, err := send(t, c, "3")
						is.NoErr(err)
						is.Equal(b, "three")
						is.Equal(*conns, 2) // the connection is not used again
						c.CloseIdle()
					})
				})
			}
		}
	}
}
