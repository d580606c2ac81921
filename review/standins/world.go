package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// world is the platform with the front instances that run on it. All addresses are loopback addresses:
// each instance has one of its own, the others share one.
type world struct {
	program   string
	template  string // text
	dir       string // temporary
	record    *recorder
	store     *storetest.Store
	ports     map[string]int // of each instance: front, ready, peer
	network   [2]byte        // second and third byte of the addresses
	listening []*http.Server
	started   []*instance
	storeAt   string
	cloudAt   string
}

const metricsPort = 9464 // as the template says

func newWorld(program, template string, record *recorder) (*world, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, fmt.Errorf("read the template of the settings: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	w := &world{
		program: program, template: string(text), dir: dir, record: record, store: storetest.New(), ports: make(map[string]int),
		network: [2]byte{byte(10 + rand.IntN(200)), byte(rand.IntN(250))},
	}
	if w.storeAt, err = w.serve(platformtest.StoreHandler(w.store.Client("instances"))); err != nil {
		return nil, err
	}
	if w.cloudAt, err = w.serve(platformtest.CloudHandler(cloud{record})); err != nil {
		return nil, err
	}
	for _, name := range []string{"front", "ready", "peer"} {
		if w.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// freePort returns a port that is free at the moment.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// serve serves a handler at a free port and returns its address.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("serve: %w", err)
	}
	s := &http.Server{Handler: h}
	w.listening = append(w.listening, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// configure writes the operator's configuration to the store.
func (w *world) configure(c policy.Config) error {
	key, value, err := platformtest.ConfigEntry(c)
	if err != nil {
		return err
	}
	w.store.Put(key, value)
	return nil
}

// register writes the entry of an endpoint to the store, and returns its key.
func (w *world) register(id, service, hall, addr string, slots int) (key string, err error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", err
	}
	key, value, err := platformtest.EndpointEntry(registry.Endpoint{ID: id, Service: service, Hall: hall, Addr: at, Version: "v1", Slots: slots})
	if err != nil {
		return "", err
	}
	w.store.Put(key, value)
	return key, nil
}

// limits are those of the operator's configuration on the small deployments.
var limits = policy.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// close ends all that was started.
func (w *world) close() {
	for _, i := range w.started {
		i.end()
	}
	for _, s := range w.listening {
		_ = s.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// cloud takes the calls of the leader's duties and records them.
type cloud struct{ record *recorder }

// Usage implements platformtest.Cloud.
func (c cloud) Usage(d duty.Token, window int64, counts map[string]int64) error {
	c.record.line("platform: usage of window %d from %s with token %d: %v", window, d.Leader, d.Fence, counts)
	return nil
}

// Scale implements platformtest.Cloud.
func (c cloud) Scale(d duty.Token, service, hall string, desired int, _ bool) error {
	c.record.line("platform: %d of %s in %s ordered by %s with token %d", desired, service, hall, d.Leader, d.Fence)
	return nil
}

//go:embed settings.json
var settingsText string // what the platform knows of a process, as on the sheet of the small deployment

const memoryMB = 284 // of an instance, as in settings.json

var (
	optional = regexp.MustCompile(`(?m)^\{\{#.*\{\{/.*\}\}\n`) // what a small deployment does not have
	gap      = regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`)
)

// settings fills the template of the deploy file, as the platform does.
func (w *world) settings(i *instance) (string, error) {
	text := strings.NewReplacer(
		"NAME", i.name, "HALL", i.hall, "ADDRESS", i.addr.String(), "FRONT", i.at("front"), "READY", i.at("ready"),
		"PEER", strconv.Itoa(w.ports["peer"]), "STORE", w.storeAt, "CLOUD", w.cloudAt,
	).Replace(settingsText)
	var known any
	if err := json.Unmarshal([]byte(text), &known); err != nil {
		return "", fmt.Errorf("read what the platform knows: %w", err)
	}
	return gap.ReplaceAllStringFunc(optional.ReplaceAllString(w.template, ""), func(g string) string {
		value := known
		for part := range strings.SplitSeq(strings.Trim(g, "{}"), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[part]
			case []any:
				value = v[0]
			}
		}
		return fmt.Sprint(value)
	}), nil
}

// instance is a front instance. The platform starts its process again whenever it ends.
type instance struct {
	world *world
	name  string
	hall  string
	addr  netip.Addr

	mu      sync.Mutex
	process *os.Process // nil while none runs; guarded by mu
	ending  bool        // the case is over; guarded by mu
	done    chan struct{}
}

const restartDelay = 500 * time.Millisecond

// start adds an instance and starts its process.
func (w *world) start(ctx context.Context, hall string) (*instance, error) {
	n := len(w.started) + 1
	i := &instance{
		world: w, name: fmt.Sprintf("front-%s-%d", hall, n), hall: hall, addr: netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(n)}),
		done: make(chan struct{}),
	}
	if l, err := net.Listen("tcp", net.JoinHostPort(i.addr.String(), strconv.Itoa(metricsPort))); err != nil {
		return nil, fmt.Errorf("the address of %s is taken: %w", i.name, err)
	} else if err := l.Close(); err != nil {
		return nil, err
	}
	file := filepath.Join(w.dir, i.name+".toml")
	text, err := w.settings(i)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	w.started = append(w.started, i)
	go i.keepRunning(ctx, file)
	return i, nil
}

// at returns one of the instance's addresses.
func (i *instance) at(port string) string {
	return net.JoinHostPort(i.addr.String(), strconv.Itoa(i.world.ports[port]))
}

// keepRunning runs the process, and starts it again when it ends, until the case is over.
func (i *instance) keepRunning(ctx context.Context, settings string) {
	defer close(i.done)
	for {
		log, err := os.OpenFile(filepath.Join(i.world.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			i.world.record.line("%s: %v", i.name, err)
			return
		}
		cmd := exec.Command(i.world.program, "serve", "-settings", settings)
		cmd.Stdout, cmd.Stderr = log, log
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		i.mu.Lock()
		if i.ending {
			i.mu.Unlock()
			return
		}
		err = cmd.Start()
		if err == nil {
			i.process = cmd.Process
		}
		i.mu.Unlock()
		if err != nil {
			i.world.record.line("%s did not start: %v", i.name, err)
			return
		}
		i.world.record.line("%s started, process %d", i.name, cmd.Process.Pid)
		err = cmd.Wait()
		_ = log.Close()
		i.mu.Lock()
		i.process = nil
		ending := i.ending
		i.mu.Unlock()
		if ending || ctx.Err() != nil {
			return
		}
		i.world.record.line("%s ended: %v", i.name, err)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process, and reports whether one runs.
func (i *instance) signal(s syscall.Signal) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process != nil && i.process.Signal(s) == nil
}

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	i.ending = true
	if i.process != nil {
		_ = i.process.Kill()
	}
	i.mu.Unlock()
	select {
	case <-i.done:
	case <-time.After(5 * time.Second):
	}
}

// memory returns the process's own memory in bytes, without what it shares with files. It is 0 while no
// process runs.
func (i *instance) memory() int64 {
	i.mu.Lock()
	p := i.process
	i.mu.Unlock()
	if p == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid))
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

var errNotReady = errors.New("an instance was not ready in time")

// awaitReady waits until the readiness check of each instance succeeds.
func (w *world) awaitReady(ctx context.Context) error {
	ask := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	limit := time.Now().Add(20 * time.Second)
	for _, i := range w.started {
		for {
			if resp, err := ask.Get("http://" + i.at("ready") + "/-/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(limit) || ctx.Err() != nil {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // so that all know each other
	return nil
}
