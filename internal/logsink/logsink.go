// Package logsink writes log lines without ever holding up who logs.
//
// Lines wait in a queue of bounded length for a goroutine that writes them. A
// line that finds the queue full is dropped and counted; the count is written
// as a line of its own when there is room again. Sink is safe for concurrent
// use.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	queue     = 1024
	closeWait = 200 * time.Millisecond
)

// Sink is an io.Writer of whole lines.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, queue), done: make(chan struct{}), stop: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It never waits and never fails.
func (s *Sink) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case s.lines <- line:
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped and not told of yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-s.stop:
			s.flush()
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	if n := s.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(s.out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = s.out.Write(line)
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}

// Close writes what waits, for a short time at most.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}
