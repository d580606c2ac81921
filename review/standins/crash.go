package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// The deployment of the case: the model engines of bzl-lhr, which answer with neither a length nor chunks, behind
// three instances.
const (
	crashClients = 48
	crashPeriod  = 45 * time.Second
	// srv_crash, as the site names it: a share of the endpoints, down for some seconds, more than once.
	crashShare  = 0.25 // at most
	crashFor    = 4500 * time.Millisecond
	entryLapses = 3600 * time.Millisecond // three heartbeats
)

var crashTimes = []time.Duration{12 * time.Second, 24 * time.Second, 36 * time.Second}

// serveUnframed is the process of one endpoint. It prints its address, and answers each request with a stream that
// ends with its connection.
func serveUnframed(id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go answerUnframed(c, id)
	}
}

func answerUnframed(c net.Conn, id string) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	in := platformtest.ReadRequest(q.Header)
	if in.Expect != id {
		_, _ = io.WriteString(c, text(http.StatusMisdirectedRequest, platformtest.EndpointResponse{RequestID: in.ID, NotExecuted: true}, ""))
		return
	}
	h := http.Header{"Content-Type": {"text/event-stream"}, "Connection": {"close"}}
	platformtest.SetResponse(h, platformtest.EndpointResponse{RequestID: in.ID, Seal: "seal." + in.ID, Load: [3]int{1, 0, engineSlots}})
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = h.Write(&head)
	time.Sleep(firstEvent)
	if _, err := io.WriteString(c, head.String()+"\r\n"); err != nil {
		return
	}
	for n := 1; n <= eventCount; n++ {
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %d\n\n", n, in.ID, n); err != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// engineProcess is an endpoint whose process can be killed.
type engineProcess struct {
	play *play
	name string // without the number of its start
	hall string

	mu     sync.Mutex
	starts int       // guarded by mu
	cmd    *exec.Cmd // guarded by mu
	key    string    // of its entry; guarded by mu
}

func (e *engineProcess) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	id := fmt.Sprintf("%s-%d", e.name, e.starts)
	cmd := exec.Command(os.Args[0], "-endpoint", id)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return fmt.Errorf("%s did not start: %w", id, err)
	}
	e.cmd = cmd
	e.play.record.line("%s starts at %s", id, strings.TrimSpace(addr))
	e.key, err = e.play.register(id, "shelfcrank-pool", e.hall, strings.TrimSpace(addr), engineSlots)
	return err
}

func (e *engineProcess) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd == nil {
		return
	}
	_ = e.cmd.Process.Kill()
	_ = e.cmd.Wait()
	e.cmd = nil
}

// crash kills the process. Its entry lapses, and another incarnation starts.
func (e *engineProcess) crash() {
	e.kill()
	e.play.record.line("%s-%d is killed", e.name, e.starts)
	key := e.key
	time.AfterFunc(entryLapses, func() { e.play.store.Put(key, nil) })
	time.AfterFunc(crashFor, func() {
		if err := e.start(); err != nil {
			e.play.record.line("%v", err)
		}
	})
}

// pieces is what clients got.
type pieces struct {
	record *recorder

	mu       sync.Mutex
	whole    int // guarded by mu
	cut      int // broken off for the client to see; guarded by mu
	short    int // ended as complete before the last piece; guarded by mu
	unserved int // no stream; guarded by mu
}

// playCrash plays crashes of endpoints in the middle of streams that end with their connections. Rule ORDER: a
// stream ends as complete before its last piece.
func playCrash(ctx context.Context, p *play) (bool, error) {
	halls := []string{"a", "b", "c"}
	var engines []*engineProcess
	for n := range engineCount {
		e := &engineProcess{play: p, name: fmt.Sprintf("i-%d", n), hall: halls[n%len(halls)]}
		engines = append(engines, e)
		defer e.kill()
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := p.configure(restockConfig()); err != nil {
		return false, err
	}
	for _, hall := range halls {
		if _, err := p.start(ctx, hall); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(ctx); err != nil {
		return false, err
	}
	begin := time.Now()
	seen := &pieces{record: p.record}
	var clients sync.WaitGroup
	for n := range crashClients {
		first := begin.Add(clientPeriod * time.Duration(n) / crashClients)
		clients.Go(func() {
			for at := first; ctx.Err() == nil && at.Before(begin.Add(crashPeriod)); at = at.Add(clientPeriod) {
				time.Sleep(time.Until(at))
				seen.call(ctx, p.started[n%len(halls)], fmt.Sprintf("c%d-%d", n, int(at.Sub(first)/clientPeriod)))
			}
		})
	}
	if p.trouble {
		for k, at := range crashTimes {
			time.Sleep(time.Until(begin.Add(at)))
			most := int(math.Floor(crashShare * engineCount))
			for n := range most {
				go engines[(k*most+n)%engineCount].crash()
			}
		}
	}
	clients.Wait()
	return seen.judge(), nil
}

func restockConfig() policy.Config {
	return policy.Config{
		Version: 1, Limits: limits,
		Routes: []policy.Route{{
			Name: "restock-note", Host: "till.example", Prefix: "/restock/", Kind: policy.Streaming, Timeout: 15 * time.Second, TargetLatency: time.Second,
			TargetEventGap: 600 * time.Millisecond, Priority: 1, MaxAttempts: 1, Split: []policy.Share{{Service: "shelfcrank-pool", Weight: 1}},
		}},
		Services: []policy.Service{{
			Name: "shelfcrank-pool", HealthPath: "/health", MaxConnections: 250, Engine: &policy.Engine{Slots: engineSlots, CacheTokens: 587977, TokensPerEvent: 6},
		}},
		Accounts: []policy.Account{{Name: "stall", Keys: []string{"key-1"}}},
	}
}

// call requests a stream on a new connection and counts its pieces.
func (s *pieces) call(ctx context.Context, to *instance, id string) {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.at("front")+"/restock/note", io.MultiReader(strings.NewReader(strings.Repeat("b", 12000))))
	if err != nil {
		return
	}
	q.Host = "till.example"
	platformtest.SetRequest(q.Header, platformtest.ClientRequest{ID: id, Key: "key-1", Deadline: 15 * time.Second, Parts: []string{"a1", fmt.Sprintf("%x", id)}})
	s.record.line("%s sent to %s", id, to.name)
	single := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := single.Do(q)
	if err != nil || resp.StatusCode != http.StatusOK {
		s.count(&s.unserved, "%s is not served: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got := strings.Count(string(body), "data: ")
	switch {
	case err != nil:
		s.count(&s.cut, "%s is broken off after %d of %d pieces: %v", id, got, eventCount, err)
	case got < eventCount:
		s.count(&s.short, "ORDER: %s ends as complete after %d of %d pieces", id, got, eventCount)
	default:
		s.count(&s.whole, "%s got all %d pieces", id, got)
	}
}

func (s *pieces) count(what *int, format string, args ...any) {
	s.record.line(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	*what++
}

func (s *pieces) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.result("%d streams whole, %d broken off, %d not served", s.whole, s.cut, s.unserved)
	s.record.result("ORDER: %d streams ended as complete before their last piece", s.short)
	return s.short == 0
}
