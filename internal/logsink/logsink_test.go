package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
)

// stuck is a reader that has stopped reading until it is let go.
type stuck struct {
	resume chan struct{}
	got    bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.resume
	return s.got.Write(p)
}

func TestAReaderThatStopsReadingHoldsNobodyUp(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{resume: make(chan struct{})}
		s := New(out)
		for range 3 * queue {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		close(out.resume)
		synctest.Wait()
		s.Close()
		written, told := 0, 0
		for line := range strings.Lines(out.got.String()) {
			if line == "line\n" {
				written++
				continue
			}
			var n int
			_, err := fmt.Sscanf(line, `{"level":"warn","msg":"log lines dropped","lines":%d}`, &n)
			is.NoErr(err)
			told += n
		}
		is.True(written >= queue)
		is.Equal(written+told+int(s.Dropped()), 3*queue) // what was dropped is counted
	})
}
