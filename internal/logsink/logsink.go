// Package logsink writes log lines without blocking the code that logs.
//
// Lines are put into a bounded queue and written by a goroutine. If the queue
// is full, the line is dropped and counted. The count is written as a line of
// its own before the next line. Sink is safe for concurrent use.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queueLength  = 1024
	closeTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer that queues log lines. Each Write must be one whole line.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stopped chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queueLength), stopped: make(chan struct{}), stop: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never blocks and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that have not been reported in the log yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.stopped)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-s.stop:
			s.flush()
			return
		}
	}
}

func (s *Sink) writeLine(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = s.out.Write(line)
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}

// Close writes the queued lines and stops the sink. It waits for 200 ms at most, so that an
// output that blocks does not delay the end of the process.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.stopped:
	case <-time.After(closeTimeout):
	}
}
