package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run, a line for each event with the seconds since the start. It is safe
// for concurrent use.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File      // guarded by mu
	out  *bufio.Writer // guarded by mu
}

func newRecorder(name string) (*recorder, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line adds a line.
func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// result adds a line, and prints it.
func (r *recorder) result(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
