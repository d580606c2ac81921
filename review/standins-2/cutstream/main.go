//go:build review

// Command cutstream freezes one of nine instances for some seconds, again and again, and lets three of eighteen model servers
// crash for good meanwhile, whose addresses go to servers of another service. The servers answer with streams that end with their connection.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
	"github.com/shelfcrank/shelfcrank/review/standins-2/world"
)

const (
	instances  = 9
	servers    = 18
	crashes    = 3 // replace_with_reuse, share 0.15
	cycles     = 13
	cycle      = 7 * time.Second
	freeze     = 3500 * time.Millisecond // node_freeze of the site file
	reuseAfter = 2 * time.Second         // reuse_after_s
	lapse      = 3600 * time.Millisecond // three heartbeats
	events     = 8
	deadline   = 15 * time.Second
	perSecond  = 8 // requests at each instance
	model      = "shelfcrank-pool"
	plain      = "till-api"
)

// server is a process that answers requests.
type server struct {
	id, service string
	addr        netip.AddrPort
	cmd         *exec.Cmd
}

type driver struct {
	w *world.World

	mu     sync.Mutex
	last   int // server
	serve  []*server
	all    []*server
	runs   map[string]string // the server that ran a request, by its ID
	broken int
	whole  int
	cut    int
	other  int
}

func main() { os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func play(record string, trouble bool) int {
	w, err := world.New()
	if err != nil {
		fmt.Println(err)
		return 2
	}
	d := &driver{w: w, runs: make(map[string]string)}
	w.OnClose = d.kill
	defer w.Close()
	if err := d.play(trouble); err != nil {
		fmt.Println(err)
		return 2
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	w.Record.Add("%d streams were whole, %d were seen to be cut, %d ended otherwise; %d ended as complete before their last event (ORDER)", d.whole, d.cut, d.other, d.broken)
	fmt.Println(d.broken, "streams ended as complete before their last event (ORDER);", d.whole, "were whole,", d.cut, "seen to be cut,", d.other, "ended otherwise")
	if err := w.Record.Write(record); err != nil {
		fmt.Println(err)
		return 2
	}
	if d.broken > 0 {
		return 1
	}
	return 0
}

func (d *driver) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.all {
		_ = s.cmd.Process.Kill()
	}
}

func (d *driver) play(trouble bool) error {
	_, err := d.w.Configure(policy.Config{
		Version: 1,
		Routes: []policy.Route{{
			Name: "bill-tag", Host: "h.example", Prefix: "/tag/", Kind: policy.Streaming, Timeout: deadline, TargetLatency: 600 * time.Millisecond, TargetEventGap: 600 * time.Millisecond,
			MaxAttempts: 1, Split: []policy.Share{{Service: model, Weight: 1}},
		}},
		Services: []policy.Service{
			{Name: model, HealthPath: "/health", MaxConnections: 250, Engine: &policy.Engine{Slots: 32, CacheTokens: 587977, TokensPerEvent: 6}},
			{Name: plain, HealthPath: "/health", MaxConnections: 110},
		},
		Accounts: []policy.Account{{Name: "t1", Keys: []string{"key-1"}}},
	})
	if err != nil {
		return err
	}
	for range servers {
		if err := d.start(model, netip.AddrPort{}); err != nil {
			return err
		}
	}
	var nodes []*world.Node
	for i := range instances {
		n, err := d.w.StartNode(fmt.Sprint("front-", i+1), fmt.Sprint("hall-", i%4), d.w.Addr(1+i), world.Bounds)
		if err != nil {
			return err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.Ready(10 * time.Second) {
			return fmt.Errorf("%s is not ready", n.Name)
		}
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() { d.traffic(n, stop) })
	}
	time.Sleep(2 * time.Second)
	for c := range cycles {
		begin := time.Now()
		if trouble {
			if err := d.strike(nodes[c%len(nodes)]); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(begin.Add(cycle)))
	}
	close(stop)
	wait.Wait()
	return nil
}

// strike freezes an instance and lets servers crash.
func (d *driver) strike(n *world.Node) error {
	begin := time.Now()
	n.Signal(syscall.SIGSTOP)
	d.w.Record.Add("%s is frozen", n.Name)
	time.Sleep(150 * time.Millisecond)
	d.mu.Lock()
	crashed := d.serve[:crashes]
	d.serve = d.serve[crashes:]
	d.mu.Unlock()
	for _, s := range crashed {
		_ = s.cmd.Process.Kill()
		_, _ = s.cmd.Process.Wait()
		d.w.Record.Add("server %s crashed", s.id)
		time.AfterFunc(lapse, func() { d.w.Store.Put(d.entry(s)) })
	}
	ended := time.Now()
	for range crashed { // others come, elsewhere
		if err := d.start(model, netip.AddrPort{}); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(ended.Add(reuseAfter)))
	for _, s := range crashed {
		if err := d.start(plain, s.addr); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(begin.Add(freeze)))
	n.Signal(syscall.SIGCONT)
	d.w.Record.Add("%s runs again", n.Name)
	return nil
}

// entry returns the key of the entry of a server, and no value, to remove it.
func (d *driver) entry(s *server) (key string, value []byte) {
	key, _, _ = platformtest.EndpointEntry(s.registration())
	return key, nil
}

func (s *server) registration() registry.Endpoint {
	return registry.Endpoint{ID: s.id, Name: s.id, Service: s.service, Addr: s.addr, Hall: "hall-0", Version: "v1", Slots: 32}
}

// start starts a server, at a new address unless one is given, and writes its entry.
func (d *driver) start(service string, addr netip.AddrPort) error {
	d.mu.Lock()
	d.last++
	n := d.last
	d.mu.Unlock()
	if !addr.IsValid() {
		addr = netip.AddrPortFrom(d.w.Addr(100), uint16(10000+n))
	}
	s := &server{id: fmt.Sprintf("i-%03d", n), service: service, addr: addr}
	s.cmd = exec.Command("target/review-2/streamer", addr.String(), s.id, fmt.Sprint(events))
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.all = append(d.all, s)
	if service == model {
		d.serve = append(d.serve, s)
	}
	d.mu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "listens" {
		return fmt.Errorf("server %s at %s: %q", s.id, addr, lines.Text())
	}
	go func() {
		for lines.Scan() {
			if id, ok := strings.CutPrefix(lines.Text(), "runs "); ok {
				d.w.Record.Add("server %s of %s runs %s", s.id, s.service, id)
				d.mu.Lock()
				d.runs[id] = s.id
				d.mu.Unlock()
			} else if id, ok := strings.CutPrefix(lines.Text(), "ended "); ok {
				d.w.Record.Add("server %s has sent all events of %s", s.id, id)
			}
		}
	}()
	key, value, err := platformtest.EndpointEntry(s.registration())
	if err != nil {
		return err
	}
	d.w.Store.Put(key, value)
	d.w.Record.Add("server %s of %s starts at %s", s.id, service, addr)
	return nil
}

// traffic sends requests to one instance.
func (d *driver) traffic(n *world.Node, stop chan struct{}) {
	c := world.NewClient(n)
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		id := fmt.Sprintf("%s-%04d", n.Name, i)
		wait.Go(func() {
			sent := time.Now()
			a := c.Do(http.MethodPost, "h.example", "/tag/"+id, id, "key-1", deadline)
			got := strings.Count(a.Body, "\n\n")
			d.mu.Lock()
			defer d.mu.Unlock()
			switch {
			case a.Status == http.StatusOK && a.Err == nil && got == events:
				d.whole++
			case a.Status == http.StatusOK && a.Err == nil:
				d.broken++
				d.w.Record.Add("BROKEN ORDER: the stream %s by server %s ended as complete at its client after %d of %d events", id, d.runs[id], got, events)
			case a.Status == http.StatusOK:
				d.cut++
			default:
				d.other++
			}
			d.w.Record.AddAt(sent, "request %s sent to %s: answer %d, %d events, error %v, after %d ms", id, n.Name, a.Status, got, a.Err, time.Since(sent).Milliseconds())
		})
	}
}
