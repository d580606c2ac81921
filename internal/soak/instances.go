package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/settings"
)

// Ports of an instance. Each instance has its own loopback address.
const (
	frontPort = 8000 + iota
	readyPort
	peerPort
	metricsPort
	storePort // proxy to the store, for this instance alone
	cloudPort
)

// instance is one front instance. Its process is replaced at each restart.
type instance struct {
	name     string
	addr     netip.Addr
	settings settings.Front
	dir      string
	program  string // executable; empty for the running one
	record   *recorder

	mu           sync.Mutex
	cmd          *exec.Cmd     // nil while none runs; guarded by mu
	exited       chan struct{} // closed once the process has exited; guarded by mu
	exitExpected bool          // the run has signaled the process to exit; guarded by mu
	faulted      bool          // reserved for a fault in progress; guarded by mu
	ready        bool          // the simulated balancer sends it new connections; guarded by mu
	failedProbes int           // consecutive readiness probes without status 200; guarded by mu
	incarnation  int           // number of process starts; guarded by mu
}

// loopback returns the address of the n-th instance. It depends on the process ID, so that
// concurrent runs rarely share addresses.
func loopback(n int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(pid / 250 % 250), byte(1 + n)})
}

func newInstance(n int, s Scenario, dir, program string, record *recorder) *instance {
	addr := loopback(n)
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(addr, port) }
	name := fmt.Sprintf("front-%d", n)
	return &instance{
		name: name, addr: addr, dir: dir, program: program, record: record,
		settings: settings.Front{
			Name: name, Hall: hallOf(n, s), Region: "soak", Front: at(frontPort), Ready: at(readyPort), Peer: at(peerPort), Metrics: at(metricsPort),
			Local: addr, Store: at(storePort), Cloud: at(cloudPort), MemoryMB: 284, Bounds: bounds,
			Overload: settings.Overload{LoadReports: true, Admission: true, FairShares: true, Reservations: true, PlainHubs: true},
		},
	}
}

func hallOf(n int, s Scenario) string { return fmt.Sprintf("hall-%d", n%s.Halls) }

// at returns the instance's address with a port.
func (i *instance) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.addr, port) }

func (i *instance) logFile() string { return filepath.Join(i.dir, i.name+".log") }

// removeLog removes the log that an earlier run left in the same directory. Otherwise the earlier
// run's invariant violations would be reported again.
func (i *instance) removeLog() error {
	if err := os.Remove(i.logFile()); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("remove log of an earlier run: %w", err)
	}
	return nil
}

// encodeSettings encodes settings without those that have their zero value: an earlier version of the program
// may not know them, and rejects unknown ones.
func encodeSettings(s settings.Front) ([]byte, error) {
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, err
	}
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		return nil, err
	}
	dropZeros(values)
	return toml.Marshal(values)
}

func dropZeros(values map[string]any) {
	maps.DeleteFunc(values, func(_ string, v any) bool {
		if table, ok := v.(map[string]any); ok {
			dropZeros(table)
			return len(table) == 0
		}
		return reflect.ValueOf(v).IsZero()
	})
}

// start writes the settings file and starts a new process of the instance.
func (i *instance) start() error {
	file := filepath.Join(i.dir, i.name+".toml")
	text, err := encodeSettings(i.settings)
	if err != nil {
		return fmt.Errorf("encode settings of %s: %w", i.name, err)
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return fmt.Errorf("write settings of %s: %w", i.name, err)
	}
	program := i.program
	if program == "" {
		if program, err = os.Executable(); err != nil {
			return fmt.Errorf("start %s: %w", i.name, err)
		}
	}
	log, err := os.OpenFile(i.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	defer log.Close()
	cmd := exec.Command(program, "serve", "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.exitExpected = cmd, ended, false
	i.incarnation++
	i.mu.Unlock()
	go i.wait(cmd, ended)
	return nil
}

// wait waits until a process exits, and records an unexpected exit.
func (i *instance) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	expected := i.exitExpected
	if i.cmd == cmd {
		i.cmd, i.ready = nil, false
	}
	i.mu.Unlock()
	close(ended)
	if !expected {
		i.record.exit(i.name, fmt.Sprintf("process exited unexpectedly: %v", err))
	}
}

// signal sends a signal to the process, if one is running. Set ends for signals that make the
// process exit. The returned channel is closed once it has exited.
func (i *instance) signal(s syscall.Signal, ends bool) (ended <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	i.exitExpected = i.exitExpected || ends
	_ = i.cmd.Process.Signal(s)
	return i.exited
}

// kill sends SIGKILL and waits until the process has exited.
func (i *instance) kill() { <-i.signal(syscall.SIGKILL, true) }

// stop sends SIGTERM. If the process has not exited one second after the grace period, stop
// records that and kills it.
func (i *instance) stop(grace time.Duration) {
	ended := i.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
	case <-time.After(grace + time.Second):
		i.record.exit(i.name, "process did not exit within its grace period after SIGTERM")
		i.kill()
	}
}

// acquireForFault reserves the instance for one process fault at a time. It returns false if the
// instance is reserved already.
func (i *instance) acquireForFault() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faulted {
		return false
	}
	i.faulted = true
	return true
}

func (i *instance) releaseFromFault() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faulted = false
}

// status returns the number of process starts so far, and whether the balancer sends the instance
// new connections.
func (i *instance) status() (incarnation int, ready bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.incarnation, i.ready
}

// Readiness probes of the simulated balancer.
const (
	probeInterval = time.Second
	probeTimeout  = 500 * time.Millisecond
	unreadyAfter  = 2 // failed probes in a row
)

// probeReadiness probes the readiness port periodically until ctx ends.
func (i *instance) probeReadiness(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		ok := false
		if resp, err := client.Get("http://" + i.at(readyPort).String() + "/"); err == nil {
			ok = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
		i.mu.Lock()
		if ok {
			i.ready, i.failedProbes = true, 0
		} else if i.failedProbes++; i.failedProbes >= unreadyAfter {
			i.ready = false
		}
		i.mu.Unlock()
		sleep(ctx, probeInterval)
	}
}

// sleep pauses for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// invariantEvent marks the log lines of violated invariants.
const invariantEvent = `"event":901`

// recordInvariantViolations records the log lines that report a violated invariant or a panic.
func (i *instance) recordInvariantViolations() error {
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

// refusalEvent marks the log lines of refused requests. Those refused for lack of capacity have a
// reason, which is a value of overload.Reason.
const refusalEvent = `"event":412`

// capacityRefusals returns the requests that the instance refused for lack of capacity, according to
// its log.
func (i *instance) capacityRefusals() (map[string]bool, error) {
	lines, err := logLines(i.logFile(), func(line string) bool {
		return strings.Contains(line, refusalEvent) && strings.Contains(line, `"reason":`)
	})
	if err != nil {
		return nil, err
	}
	refused := make(map[string]bool)
	for _, line := range lines {
		var entry struct{ Request, Reason string }
		if err := json.Unmarshal([]byte(line), &entry); err == nil && entry.Reason != "" { // a line may be cut off by a kill
			refused[entry.Request] = true
		}
	}
	return refused, nil
}

const maxLogLine = 1 << 20

// logLines returns the matching lines of a log file, and none if the file does not exist.
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
