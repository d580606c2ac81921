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

// blockedWriter is an output that blocks until resume is closed.
type blockedWriter struct {
	resume chan struct{}
	got    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.resume
	return s.got.Write(p)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{resume: make(chan struct{})}
		s := New(out)
		for range 3 * queueLength {
			_, err := s.Write([]byte("line\n"))
			is.NoErr(err)
		}
		close(out.resume)
		synctest.Wait()
		s.Close()
		written, dropped := 0, 0
		for line := range strings.Lines(out.got.String()) {
			if line == "line\n" {
				written++
				continue
			}
			var n int
			_, err := fmt.Sscanf(line, `{"level":"warn","msg":"log lines dropped","lines":%d}`, &n)
			is.NoErr(err)
			dropped += n
		}
		is.True(written >= queueLength)
		is.Equal(written+dropped+int(s.Dropped()), 3*queueLength) // each line is written or counted as dropped
	})
}
