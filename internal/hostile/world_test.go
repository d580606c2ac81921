// Package hostile tests what instances withstand from clients and endpoints that don't behave. Each test starts the program
// itself on loopback addresses and sends a crowd of such clients to it, or broken answers. It checks what does not depend on the
// speed at which the tests run: that the process lives, that its memory and its open descriptors stay under a bound, and
// that an ordinary request is answered while the crowd is still there.
package hostile

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// program is the program under test, built by TestMain.
var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "shelfcrank")
	build := exec.Command("go", "build", "-o", program, "github.com/shelfcrank/shelfcrank")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the program:", err)
		return 1
	}
	return m.Run()
}

// Ports of the instance on its own loopback address.
const (
	frontPort = 8000 + iota
	readyPort
	peerPort
	metricsPort
)

// The configuration of the operator.
const (
	host       = "api.example"
	safePath   = "/api/call"
	largePath  = "/large/call" // answered with largeAnswer bytes
	slowPath   = "/slow/call"  // not answered before its deadline
	callerKey  = "key-caller"
	crowdKey   = "key-crowd"
	unknownKey = "key-of-nobody"

	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 4 << 20
	largeAnswer    = 8 << 20 // bytes
)

func operatorConfig() policy.Config {
	route := func(name, prefix string) policy.Route {
		return policy.Route{
			Name: name, Host: host, Prefix: prefix, Kind: policy.Safe, Timeout: 15 * time.Second, TargetLatency: time.Second,
			Priority: 1, MaxAttempts: 2, Split: []policy.Share{{Service: "api", Weight: 1}},
		}
	}
	return policy.Config{
		Version:  1,
		Limits:   policy.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []policy.Route{route("api", "/api/"), route("large", "/large/"), route("slow", "/slow/")},
		Services: []policy.Service{{Name: "api", HealthPath: "/health", MaxConnections: 1000}},
		Accounts: []policy.Account{{Name: "caller", Keys: []string{callerKey}}, {Name: "crowd", Keys: []string{crowdKey}}},
	}
}

// limits are what the platform gives an instance.
type limits struct {
	memoryMB    int
	descriptors int
}

// descriptorShare is the share of the descriptors that an instance may use at most.
const descriptorShare = 0.9

// world is one front instance with the platform and the endpoints around it.
type world struct {
	t      *testing.T
	limits limits
	addr   netip.Addr
	cmd    *exec.Cmd
	log    string
	exited chan struct{}
	stop   context.CancelFunc
	crowd  sync.WaitGroup
	store  *storetest.Store

	answered atomic.Int64 // slow requests that have ended at the endpoint

	mu          sync.Mutex
	memory      int64 // most memory seen, with the bytes in sockets that were not read; guarded by mu
	descriptors int   // most open descriptors seen; guarded by mu
}

// newWorld starts an instance and waits until it is ready.
func newWorld(t *testing.T, l limits) *world {
	t.Helper()
	store := storetest.New()
	w := &world{t: t, limits: l, addr: loopback(), exited: make(chan struct{}), store: store}
	storeAt := w.serve(platformtest.StoreHandler(store.Client("instances")))
	cloudAt := w.serve(platformtest.CloudHandler(cloud{}))
	endpointAt := w.serve(endpoint{"i-1", &w.answered})
	w.configure(operatorConfig())
	key, value, err := platformtest.EndpointEntry(registry.Endpoint{ID: "i-1", Service: "api", Hall: "a", Addr: endpointAt, Version: "v1", Slots: 1000})
	w.must(err)
	store.Put(key, value)

	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(w.addr, port) }
	w.start(settings.Front{
		Name: "front-a-1", Hall: "a", Region: "r", Front: at(frontPort), Ready: at(readyPort), Peer: at(peerPort), Metrics: at(metricsPort),
		Local: w.addr, Store: storeAt, Cloud: cloudAt, MemoryMB: l.memoryMB,
		Bounds: settings.Bounds{
			RevokeMs: 5000, ConfigMs: 2000, StoreRefusedExtraMs: 5000, DrainMs: 2000, GraceS: 8, RetryRatio: 0.2, RetrySlack: 56, RetryWindowS: 10,
			QuotaOver: 0.1, QuotaSlack: 140_000, QuotaWindowS: 8, LeaseMs: 3000, UsageWindowS: 5, UsageLateS: 10,
		},
	})
	w.awaitReady()
	return w
}

// loopback returns an address that concurrent runs rarely share.
func loopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(1 + pid%250), byte(pid / 250 % 250), 1})
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// configure writes a configuration to the store.
func (w *world) configure(c policy.Config) {
	w.t.Helper()
	key, value, err := platformtest.ConfigEntry(c)
	w.must(err)
	w.store.Put(key, value)
}

// serve serves a handler at a free port until the end of the test.
func (w *world) serve(h http.Handler) netip.AddrPort {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.t.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// start starts the program with a limit on its descriptors, and watches it until the end of the test.
func (w *world) start(s settings.Front) {
	w.t.Helper()
	text, err := toml.Marshal(s)
	w.must(err)
	w.startWith(text)
}

func (w *world) startWith(settingsFile []byte) {
	w.t.Helper()
	dir := w.t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	w.must(os.WriteFile(file, settingsFile, 0o600))
	w.log = filepath.Join(dir, "log")
	log, err := os.Create(w.log)
	w.must(err)
	defer log.Close()
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, w.limits.descriptors)
	w.cmd = exec.Command("sh", "-c", limit, program, "serve", "-settings", file)
	w.cmd.Stdout, w.cmd.Stderr = log, log
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.must(w.cmd.Start())
	go func() {
		_ = w.cmd.Wait()
		close(w.exited)
	}()
	var ctx context.Context
	ctx, w.stop = context.WithCancel(context.Background())
	go w.watch(ctx)
	w.t.Cleanup(func() {
		w.stop()
		_ = w.cmd.Process.Kill()
		<-w.exited
		w.crowd.Wait()
	})
}

// running reports whether the process runs.
func (w *world) running() bool {
	select {
	case <-w.exited:
		return false
	default:
		return true
	}
}

const sampleInterval = 10 * time.Millisecond

// watch samples the memory and the descriptors of the process.
func (w *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		w.sample()
		time.Sleep(sampleInterval)
	}
}

// sample records what the process uses now.
func (w *world) sample() {
	memory, descriptors := w.usage()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.memory, w.descriptors = max(w.memory, memory), max(w.descriptors, descriptors)
}

// usage returns what the process uses now.
func (w *world) usage() (memory int64, descriptors int) {
	memory = anonymousMemory(w.cmd.Process.Pid) + unreadBytes(w.addr)
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid))
	return memory, len(open)
}

// anonymousMemory returns the memory of a process that it does not share with files, in bytes; 0 if it has ended.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

const stateListening = "0A" // where the receive queue is a number of connections

// unreadBytes returns the bytes that have arrived at an address and that no process has read.
func unreadBytes(addr netip.Addr) int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	a := addr.As4()
	local := []byte(fmt.Sprintf("%02X%02X%02X%02X:", a[3], a[2], a[1], a[0]))
	var sum int64
	for line := range bytes.Lines(text) {
		f := bytes.Fields(line)
		if len(f) < 5 || !bytes.HasPrefix(f[1], local) || string(f[3]) == stateListening {
			continue
		}
		_, received, _ := strings.Cut(string(f[4]), ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// patience ends a test that hangs.
const patience = 90 * time.Second

// await calls f until it returns true.
func (w *world) await(what string, f func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(50 * time.Millisecond) {
		if !w.running() {
			w.t.Fatalf("the process has ended, waiting for %s\n%s", what, w.lastLines())
		}
		if time.Now().After(end) {
			w.t.Fatalf("waited in vain for %s\n%s", what, w.lastLines())
		}
	}
}

// lastLines returns the end of the log of the process.
func (w *world) lastLines() string {
	text, _ := os.ReadFile(w.log)
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}

func (w *world) awaitReady() {
	w.t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w.await("the instance to be ready", func() bool {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/", w.addr, readyPort))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// check checks the promises: the process lives, an ordinary request is answered, and neither memory nor
// descriptors have passed their bounds.
func (w *world) check() {
	w.t.Helper()
	w.sample()
	w.await("an answer to an ordinary request", w.call)
	w.checkBounds()
}

// checkBounds checks that the process lives and has not passed its bounds.
func (w *world) checkBounds() {
	w.t.Helper()
	w.sample()
	if !w.running() {
		w.t.Errorf("the process has ended\n%s", w.lastLines())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t.Logf("at most %d MiB and %d descriptors", w.memory>>20, w.descriptors)
	if most := int64(w.limits.memoryMB) << 20; w.memory > most {
		w.t.Errorf("the process took %d MiB of %d MiB", w.memory>>20, most>>20)
	}
	if most := int(descriptorShare * float64(w.limits.descriptors)); w.descriptors > most {
		w.t.Errorf("the process had %d descriptors open of %d, %d allowed", w.descriptors, w.limits.descriptors, most)
	}
}

var calls atomic.Int64

// call makes one ordinary request and reports whether it got the whole answer.
func (w *world) call() bool { return w.callWith(http.Header{}) }

// callWith is call with more header lines.
func (w *world) callWith(more http.Header) bool {
	id := fmt.Sprintf("call-%d", calls.Add(1))
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", w.addr, frontPort, safePath), strings.NewReader(strings.Repeat("b", 2000)))
	if err != nil {
		return false
	}
	r.Host = host
	platformtest.SetRequest(r.Header, platformtest.ClientRequest{ID: id, Key: callerKey, Deadline: 10 * time.Second})
	maps.Copy(r.Header, more)
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "answer to "+id
}

// client is one of the crowd: what it does on a connection. It returns when it has done that, or an error if the
// connection has broken.
type client func(c net.Conn) error

// hold is what a client does then, until the instance closes the connection or the test ends.
type hold func(ctx context.Context, c net.Conn)

// reading reads what comes and drops it.
func reading(_ context.Context, c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// notReading reads nothing.
func notReading(ctx context.Context, _ net.Conn) { <-ctx.Done() }

// send starts a crowd of n clients, and returns when each of them has done on a connection what it does. They go on
// until the test ends: one whose connection is closed connects again.
func (w *world) send(n int, do client, then hold) {
	w.t.Helper()
	var first sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	for range n {
		first.Add(1)
		w.crowd.Go(func() {
			done := sync.OnceFunc(first.Done)
			defer done()
			for ctx.Err() == nil && w.running() {
				w.visit(ctx, do, then, done)
				sleep(ctx, 200*time.Millisecond)
			}
		})
	}
	all := make(chan struct{})
	go func() {
		first.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-time.After(patience):
		w.t.Fatal("the crowd could not send")
	}
}

// visit connects once, and stays until the instance closes the connection.
func (w *world) visit(ctx context.Context, do client, then hold, done func()) {
	defer done()
	c, err := net.Dial("tcp", netip.AddrPortFrom(w.addr, frontPort).String())
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if do(c) != nil {
		return
	}
	done()
	then(ctx, c)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// requestHead returns the head of a request of the crowd, with the header lines that tell how its body comes.
func requestHead(path, key, framing string) string {
	h := http.Header{}
	platformtest.SetRequest(h, platformtest.ClientRequest{ID: fmt.Sprintf("crowd-%d", calls.Add(1)), Key: key, Deadline: 15 * time.Second})
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, host)
	_ = h.Write(&b)
	return b.String() + framing + "\r\n"
}

// piece is what bodies of the crowd consist of.
var piece = bytes.Repeat([]byte("x"), 64<<10)

// announced sends a request with a body of a stated length, of which it sends less.
func announced(key string, length, sent int) client { return announcedTo(safePath, key, length, sent) }

// announcedTo is announced for a path.
func announcedTo(path, key string, length, sent int) client {
	return func(c net.Conn) error {
		w := bufio.NewWriter(c)
		_, _ = w.WriteString(requestHead(path, key, fmt.Sprintf("Content-Length: %d\r\n", length)))
		for left := sent; left > 0; left -= len(piece) {
			if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
				return err
			}
		}
		return w.Flush()
	}
}

// chunked sends a request with a chunked body of a size that does not end.
func chunked(key string, chunk, size int) client {
	return func(c net.Conn) error {
		w := bufio.NewWriter(c)
		_, _ = w.WriteString(requestHead(safePath, key, "Transfer-Encoding: chunked\r\n"))
		for left := size; left > 0; left -= chunk {
			_, _ = fmt.Fprintf(w, "%x\r\n", chunk)
			_, _ = w.Write(piece[:chunk])
			if _, err := w.WriteString("\r\n"); err != nil {
				return err
			}
		}
		return w.Flush()
	}
}

// endpoint answers each request, after it has read all of it.
type endpoint struct {
	id   string
	slow *atomic.Int64 // slow requests that have ended
}

// ServeHTTP implements http.Handler.
func (e endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := platformtest.ReadRequest(r.Header)
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == slowPath {
		<-r.Context().Done()
		e.slow.Add(1)
		return
	}
	platformtest.SetResponse(w.Header(), platformtest.EndpointResponse{RequestID: in.ID, Seal: "seal." + in.ID})
	if strings.HasPrefix(r.URL.Path, "/large/") {
		w.Header().Set("Content-Length", strconv.Itoa(largeAnswer))
		for range largeAnswer / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
		return
	}
	_, _ = fmt.Fprintf(w, "answer to %s", in.ID)
}

// cloud takes the calls of the leader's duties.
type cloud struct{}

// Usage implements platformtest.Cloud.
func (cloud) Usage(duty.Token, int64, map[string]int64) error { return nil }

// Scale implements platformtest.Cloud.
func (cloud) Scale(duty.Token, string, string, int, bool) error { return nil }
