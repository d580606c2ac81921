package backend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/fault"
)

// Guards against a field whose name begins with a blank and becomes a part of the field before, so that its client gets a
// header or a body that is not the endpoint's.
func TestAFieldThatBeginsWithABlankIsNotPartOfTheFieldBefore(t *testing.T) {
	const informational = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, before := range []string{"", informational} {
		for _, line := range []string{" X-Odd: 1", "\tX-Odd: 1", " Content-Length: 2", " ", "\t"} {
			for _, filler := range []int{0, 8 << 10} { // the head comes in several reads
				t.Run(fmt.Sprintf("%q/%d/%d", line, len(before), filler), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T, _ *is.I) {
						head := "HTTP/1.1 200 OK\r\nFiller: " + strings.Repeat("x", filler) + "\r\nId: 1\r\nSeal: s\r\nContent-Type: text/plain\r\n" + line + "\r\n\r\n"
						c, _ := startEndpoint(t, []string{before + head + "hi"}, []string{""})
						_, err := send(t, c, "1")
						if err == nil || fault.As(err).Run != fault.MayHaveRun {
							t.Errorf("error %v", err)
						}
						c.CloseIdle()
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}

// Guards against sound answers that count as malformed for blanks outside a head, or in the head before.
func TestBlanksThatBeginLinesOfABodyAreNoFields(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, is *is.I) {
		body := "\n a\n\tb\n c\n\n d"
		c, conns := startEndpoint(t, []string{
			answerTo("1", body), "HTTP/1.1 102 X\n\n" + answerTo("2", body), strings.ReplaceAll(answerTo("3", body), "\r\n", "\n"), answerTo("4", body),
		})
		for _, id := range []string{"1", "2", "3", "4"} {
			b, err := send(t, c, id)
			is.NoErr(err)
			is.Equal(b, body)
		}
		is.Equal(*conns, 1)
		c.CloseIdle()
	})
}
