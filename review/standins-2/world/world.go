//go:build review

// Package world has the stand-ins of the second review: the platform's store and API, servers, the operator and clients. It
// runs the project's own program as the deploy file does, a process an instance, each at a loopback address of its own.
package world

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
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

// Bounds are those of the site bzl-lhr, as the template of the deploy file names them.
const Bounds = `
[bounds]
revoke_ms = 5000
strict_revoke = true
config_ms = 2000
outer_ms = 5000
drain_ms = 2000
grace_s = 8
retry_ratio = 0.2
retry_slack = 58
retry_window_s = 10
quota_over = 0.1
quota_window_s = 8
quota_slack = 140000
lease_ms = 3000
usage_window_s = 5
usage_late_s = 10

[overload]
load_reports = true
admission = true
fair_shares = true
reservations = true
plain_hubs = true
`

// Record is the file of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	begin time.Time
	lines []line
}

type line struct {
	at   time.Time
	text string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{begin: time.Now()} }

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.AddAt(time.Now(), format, args...)
}

// AddAt adds a line about an earlier moment.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

// Write writes the lines in the order of their times.
func (r *Record) Write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	var b strings.Builder
	for _, l := range r.lines {
		fmt.Fprintf(&b, "%9.4f %s\n", l.at.Sub(r.begin).Seconds(), l.text)
	}
	return os.WriteFile(file, []byte(b.String()), 0o600)
}

// World is the platform around the instances.
type World struct {
	Store  *storetest.Store
	Record *Record
	Dir    string // temporary
	// OnClose, if set, ends what the world does not know of.
	OnClose func()

	net byte

	mu      sync.Mutex
	servers []*Server
	nodes   []*Node
	closers []io.Closer
}

// New returns a world without instances. Its addresses depend on the process, so that runs do not meet.
func New() (*World, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &World{Store: storetest.New(), Record: NewRecord(), Dir: dir, net: byte(1 + os.Getpid()%250)}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.Close()
		os.Exit(2)
	}()
	return w, nil
}

// Addr returns the n-th address.
func (w *World) Addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, byte(os.Getpid() / 250 % 250), byte(n)})
}

// Close ends all processes and stand-ins.
func (w *World) Close() {
	if w.OnClose != nil {
		w.OnClose()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.Wait(5 * time.Second)
	}
	for _, s := range w.servers {
		s.Stop()
	}
	for _, c := range w.closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(w.Dir)
}

// noCloud accepts all calls of the platform's API.
type noCloud struct{ w *World }

func (c noCloud) Usage(d duty.Token, window int64, counts map[string]int64) error {
	c.w.Record.Add("usage holder=%s token=%d window=%d counts=%v", d.Leader, d.Fence, window, counts)
	return nil
}

func (c noCloud) Scale(duty.Token, string, string, int, bool) error { return nil }

func (w *World) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	w.closers = append(w.closers, s)
	go func() { _ = s.Serve(l) }()
}

// Node is an instance.
type Node struct {
	Name string
	At   netip.Addr

	log    string
	file   string
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Ports of an instance.
const (
	FrontPort = 8221
	readyPort = 8224
	peerPort  = 7600
	storePort = 8225
	cloudPort = 8226
)

// Front returns the address for clients.
func (n *Node) Front() string { return netip.AddrPortFrom(n.At, FrontPort).String() }

// StartNode starts an instance of a hall with the command of the deploy file.
func (w *World) StartNode(name, hall string, at netip.Addr, bounds string) (*Node, error) {
	for port, h := range map[uint16]http.Handler{
		storePort: platformtest.StoreHandler(w.Store.Client(name)), cloudPort: platformtest.CloudHandler(noCloud{w}),
	} {
		l, err := net.Listen("tcp", netip.AddrPortFrom(at, port).String())
		if err != nil {
			return nil, err
		}
		w.serve(l, h)
	}
	text := fmt.Sprintf(`name = %q
hall = %q
region = "r1"
front_address = "%[3]s:%[4]d"
ready_address = "%[3]s:%[5]d"
peer_address = "%[3]s:%[6]d"
metrics_address = "%[3]s:9464"
store_address = "%[3]s:%[7]d"
cloud_address = "%[3]s:%[8]d"
store_writes_per_s = 400
memory_mb = 284
max_descriptors = 4100
cores = 0.4
%[9]s`, name, hall, at, FrontPort, readyPort, peerPort, storePort, cloudPort, bounds)
	n := &Node{Name: name, At: at, file: filepath.Join(w.Dir, name+".toml"), log: filepath.Join(w.Dir, name+".log")}
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n, n.Start()
}

// Start starts the process.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/shelfcrank", "serve", "-settings", n.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// Wait waits until the process has ended, and reports whether it did.
func (n *Node) Wait(most time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(most):
		return false
	}
}

// Log returns what the process wrote.
func (n *Node) Log() string {
	b, _ := os.ReadFile(n.log)
	return string(b)
}

// Ready waits until the instance answers its readiness check with 200.
func (n *Node) Ready(most time.Duration) bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + netip.AddrPortFrom(n.At, readyPort).String() + "/-/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// Configure writes a configuration as the operator does, and returns when the store had taken it.
func (w *World) Configure(c policy.Config) (time.Time, error) {
	key, value, err := platformtest.ConfigEntry(c)
	if err != nil {
		return time.Time{}, err
	}
	w.Store.Put(key, value)
	now := time.Now()
	w.Record.AddAt(now, "config version=%d acknowledged", c.Version)
	return now, nil
}

// Server is a server of a service: it takes one request at a time on a connection, works for a time, and answers.
type Server struct {
	ID, Service string
	Work        time.Duration
	Slots       int

	// OnRun is called when a request begins to run.
	OnRun func(s *Server, id string, r *http.Request)

	w     *World
	name  string
	hall  string
	addr  string
	slots chan struct{}

	mu          sync.Mutex
	http        *http.Server // guarded by mu
	key         string       // of its entry; guarded by mu
	incarnation int          // guarded by mu
	down        bool         // guarded by mu
}

// StartServer starts a server and writes its entry, which it writes again about every heartbeat.
func (w *World) StartServer(id, service, hall string, onRun func(s *Server, id string, r *http.Request)) (*Server, error) {
	s := &Server{
		ID: id, Service: service, Work: 15 * time.Millisecond, Slots: 6, OnRun: onRun, w: w,
		name: id, hall: hall, addr: netip.AddrPortFrom(w.Addr(200), 0).String(),
	}
	s.slots = make(chan struct{}, s.Slots)
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s, s.begin()
}

// Crash ends the server as the end of its process does: its connections are reset and its port refuses others. It says
// nothing to the store, where its entry goes after three heartbeats of silence.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	_ = s.http.Close()
	key := s.key
	time.AfterFunc(entryLapse, func() { s.w.Store.Put(key, nil) })
}

// Stop ends the server at the end of a run.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// entryLapse is three heartbeats.
const entryLapse = 3600 * time.Millisecond

// Restart starts the server again at its address, as a new incarnation with a new ID.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.ID = fmt.Sprintf("%s.%d", s.name, s.incarnation)
	return s.begin()
}

// begin listens and writes the entry. s.mu is held.
func (s *Server) begin() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.addr, s.down = l.Addr().String(), false
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 30 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		if t, ok := c.(*net.TCPConn); ok && state == http.StateNew {
			_ = t.SetLinger(0)
		}
	}}
	go func() { _ = s.http.Serve(l) }()
	key, value, err := platformtest.EndpointEntry(registry.Endpoint{
		ID: s.ID, Name: s.ID, Service: s.Service, Addr: netip.MustParseAddrPort(s.addr), Hall: s.hall, Version: "v1", Slots: s.Slots,
	})
	if err != nil {
		return err
	}
	s.key = key
	s.w.Store.Put(key, value)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in := platformtest.ReadRequest(r.Header)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	head := platformtest.EndpointResponse{RequestID: in.ID}
	s.mu.Lock()
	own := s.ID
	s.mu.Unlock()
	if in.Expect != own {
		head.Instance = own
		platformtest.SetResponse(w.Header(), head)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(in.Deadline):
		head.NotExecuted = true
		platformtest.SetResponse(w.Header(), head)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.OnRun(s, in.ID, r)
	time.Sleep(s.Work)
	head.Seal = "seal-" + own
	head.Load = [3]int{len(s.slots), 0, s.Slots}
	platformtest.SetResponse(w.Header(), head)
	_, _ = io.WriteString(w, in.ID+" by "+own)
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 if the connection ended without an answer
	Body   string
	Err    error
}

// Client sends requests to one instance over kept connections.
type Client struct {
	node *Node
	http *http.Client
}

// NewClient returns a client of an instance.
func NewClient(n *Node) *Client {
	return &Client{n, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}}
}

// Do sends one attempt.
func (c *Client) Do(method, host, path, id, key string, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Front()+path, http.NoBody)
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = host
	platformtest.SetRequest(req.Header, platformtest.ClientRequest{ID: id, Key: key, Deadline: deadline})
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Body: string(b), Err: err}
}

// ErrStart reports that a run could not start.
var ErrStart = errors.New("could not start")
