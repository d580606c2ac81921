package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/settings"
)

// Ports of an instance, at an address of its own.
const (
	frontPort = 8000 + iota
	readyPort
	peerPort
	metricsPort
	storePort // the store as this instance sees it
	cloudPort
)

// instance is a front instance, whichever process runs it.
type instance struct {
	name     string
	addr     netip.Addr
	settings settings.Front
	dir      string
	record   *recorder

	mu          sync.Mutex
	cmd         *exec.Cmd     // nil while none runs; guarded by mu
	ended       chan struct{} // closed once the process has ended; guarded by mu
	expected    bool          // its end was asked for; guarded by mu
	busy        bool          // a fault strikes it; guarded by mu
	ready       bool          // as the balancer sees it; guarded by mu
	missed      int           // questions in a row without a 200; guarded by mu
	incarnation int           // guarded by mu
}

// loopback returns an address for the n-th instance of this process.
func loopback(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(pid / 250 % 250), byte(1 + n)})
}

func newInstance(n int, s Scenario, dir string, record *recorder) *instance {
	addr := loopback(n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	name := fmt.Sprintf("front-%d", n)
	return &instance{
		name: name, addr: addr, dir: dir, record: record,
		settings: settings.Front{
			Name: name, Hall: hallOf(n, s), Region: "soak", Front: at(frontPort), Ready: at(readyPort), Peer: at(peerPort), Metrics: at(metricsPort),
			Store: at(storePort), Cloud: at(cloudPort), MemoryMB: 284, Bounds: bounds,
		},
	}
}

func hallOf(n int, s Scenario) string { return fmt.Sprintf("hall-%d", n%s.Halls) }

// at returns an address of the instance.
func (i *instance) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.addr, port) }

func (i *instance) logFile() string { return filepath.Join(i.dir, i.name+".log") }

// removeLog removes the log of an earlier run in the same folder, whose broken invariants are not
// those of this one.
func (i *instance) removeLog() error {
	if err := os.Remove(i.logFile()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("log of an earlier run: %w", err)
	}
	return nil
}

// start starts a process.
func (i *instance) start() error {
	file := filepath.Join(i.dir, i.name+".toml")
	text, err := toml.Marshal(i.settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", i.name, err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", i.name, err)
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	defer log.Close()
	cmd := exec.Command(self, "serve", "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.ended, i.expected = cmd, ended, false
	i.incarnation++
	i.mu.Unlock()
	go i.wait(cmd, ended)
	return nil
}

// wait waits for the end of a process, and records one that nobody asked for.
func (i *instance) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	expected := i.expected
	if i.cmd == cmd {
		i.cmd, i.ready = nil, false
	}
	i.mu.Unlock()
	close(ended)
	if !expected {
		i.record.exit(i.name, fmt.Sprintf("ended by itself: %v", err))
	}
}

// signal sends a signal to the process, if one runs; ends marks one that makes the process end.
func (i *instance) signal(s syscall.Signal, ends bool) (ended <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	i.expected = i.expected || ends
	_ = i.cmd.Process.Signal(s)
	return i.ended
}

// kill ends the process at once.
func (i *instance) kill() { <-i.signal(syscall.SIGKILL, true) }

// stop makes a planned stop, and reports one that takes longer than the grace.
func (i *instance) stop(grace time.Duration) {
	ended := i.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(grace + time.Second):
		i.record.exit(i.name, "was still there at the end of its grace")
		i.kill()
	}
}

// acquire reserves the instance for a fault; one is struck by one at a time.
func (i *instance) acquire() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy {
		return false
	}
	i.busy = true
	return true
}

func (i *instance) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.busy = false
}

// process returns the number of the present process, and whether the
// balancer sends new connections there.
func (i *instance) process() (incarnation int, ready bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation, i.ready
}

// The balancer's questions.
const (
	readyEvery   = time.Second
	readyTimeout = 500 * time.Millisecond
	missesToLose = 2
)

// watchReady asks whether the instance takes connections until ctx ends.
func (i *instance) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ok := false
		if resp, err := client.Get("http://" + i.at(readyPort).String() + "/"); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		i.mu.Lock()
		if ok {
			i.ready, i.missed = true, 0
		} else if i.missed++; i.missed >= missesToLose {
			i.ready = false
		}
		i.mu.Unlock()
		sleep(ctx, readyEvery)
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// invariantEvent marks the lines that say that a promise was broken.
const invariantEvent = `"event":901`

// brokenInvariants records the lines of the log that say so.
func (i *instance) brokenInvariants() error {
	lines, err := logLines(i.logFile(), func(line string) bool {
		return strings.Contains(line, invariantEvent) || strings.HasPrefix(line, "panic:")
	})
	if err != nil {
		return err
	}
	for _, line := range lines {
		i.record.exit(i.name, line)
	}
	return nil
}

const maxLogLine = 1 << 20

// logLines returns the lines of a log that match, none if there is no log.
func logLines(file string, match func(line string) bool) ([]string, error) {
	f, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	var out []string
	scan := bufio.NewScanner(f)
	scan.Buffer(nil, maxLogLine)
	for scan.Scan() {
		if match(scan.Text()) {
			out = append(out, scan.Text())
		}
	}
	return out, scan.Err()
}
