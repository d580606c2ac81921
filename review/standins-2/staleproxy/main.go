//go:build review

// Command staleproxy moves a route between two services while the store turns two instances of nine away. Then all servers of
// the service that the route uses now crash. Requests at the other instances are passed to another instance then, which
// may be one with the earlier configuration.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/review/standins-2/world"
)

const (
	cycles       = 6
	cycle        = 11 * time.Second
	instances    = 9
	turnedAway   = 2  // of the instances, share 0.33 rounded down
	serversEach  = 4  // of each service
	perSecond    = 10 // requests at each instance
	slack        = 250 * time.Millisecond
	deadline     = 1500 * time.Millisecond
	routeTimeout = 1500 * time.Millisecond
)

type sent struct {
	at    time.Time
	node  string
	round int // of the configuration that was acknowledged last
}

type run struct {
	at      time.Time
	service string
	server  string
}

type checker struct {
	mu     sync.Mutex
	sent   map[string]sent
	runs   map[string][]run
	acks   []time.Time // when each configuration was acknowledged
	before []time.Time // when each was sent
}

func service(round int) string { return []string{"svc-a", "svc-b"}[round%2] }

func config(round int) policy.Config {
	c := policy.Config{
		Version: int64(10 + 3*round),
		Routes: []policy.Route{{
			Name: "moved", Host: "h.example", Prefix: "/moved/", Kind: policy.Safe, Timeout: routeTimeout, TargetLatency: 300 * time.Millisecond,
			MaxAttempts: 2, Split: []policy.Share{{Service: service(round), Weight: 1}},
		}},
		Services: []policy.Service{{Name: "svc-a", HealthPath: "/health", MaxConnections: 110}, {Name: "svc-b", HealthPath: "/health", MaxConnections: 110}},
		Accounts: []policy.Account{{Name: "t1", Keys: []string{"key-1"}}},
	}
	return c
}

func main() {
	os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func play(record string, trouble bool) int {
	w, err := world.New()
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer w.Close()
	k := &checker{sent: make(map[string]sent), runs: make(map[string][]run)}
	begun := func(s *world.Server, id string, _ *http.Request) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.runs[id] = append(k.runs[id], run{time.Now(), s.Service, s.ID})
	}
	if err := k.configure(w, 0); err != nil {
		fmt.Println(err)
		return 2
	}
	all := make(map[string][]*world.Server)
	for _, name := range []string{"svc-a", "svc-b"} {
		for i := range serversEach {
			s, err := w.StartServer(fmt.Sprintf("i-%s-%d", name[4:], i), name, fmt.Sprint("hall-", i%4), begun)
			if err != nil {
				fmt.Println(err)
				return 2
			}
			all[name] = append(all[name], s)
		}
	}
	var nodes []*world.Node
	for i := range instances {
		n, err := w.StartNode(fmt.Sprint("front-", i+1), fmt.Sprint("hall-", i%4), w.Addr(1+i), world.Bounds)
		if err != nil {
			fmt.Println(err)
			return 2
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.Ready(10 * time.Second) {
			fmt.Println(n.Name, "is not ready")
			return 2
		}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() { k.traffic(w, n, stop) })
	}
	time.Sleep(time.Second)
	for round := 1; round <= cycles; round++ {
		begin := time.Now()
		if trouble {
			for _, n := range nodes[instances-turnedAway:] {
				w.Store.SetFaults(n.Name, storetest.Faults{Refuse: true})
				w.Record.Add("the store turns %s away (503)", n.Name)
			}
		}
		time.Sleep(500 * time.Millisecond)
		if err := k.configure(w, round); err != nil {
			fmt.Println(err)
			return 2
		}
		time.Sleep(600 * time.Millisecond)
		if trouble {
			w.Record.Add("all servers of %s crash", service(round))
			for _, s := range all[service(round)] {
				s.Crash()
			}
			time.Sleep(3 * time.Second)
			for _, s := range all[service(round)] {
				if err := s.Restart(); err != nil {
					fmt.Println(err)
					return 2
				}
			}
			w.Record.Add("they are back as new incarnations")
			time.Sleep(time.Second)
			for _, n := range nodes[instances-turnedAway:] {
				w.Store.ClearFaults(n.Name)
				w.Record.Add("the store serves %s", n.Name)
			}
		}
		time.Sleep(time.Until(begin.Add(cycle)))
	}
	close(stop)
	wait.Wait()
	broken := k.check(w, nodes[instances-turnedAway:])
	for _, n := range nodes {
		w.Record.Add("%s: %d requests passed on by it were served by another instance, it accepted %d", n.Name, strings.Count(n.Log(), `"event":415`), strings.Count(n.Log(), `"event":417`))
	}
	if err := w.Record.Write(record); err != nil {
		fmt.Println(err)
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}

func (k *checker) configure(w *world.World, round int) error {
	before := time.Now()
	at, err := w.Configure(config(round))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.before, k.acks = append(k.before, before), append(k.acks, at)
	return err
}

// traffic sends requests to one instance.
func (k *checker) traffic(w *world.World, n *world.Node, stop chan struct{}) {
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
		id := fmt.Sprintf("%s-%05d", n.Name, i)
		wait.Go(func() {
			now := time.Now()
			k.mu.Lock()
			k.sent[id] = sent{now, n.Name, len(k.acks) - 1}
			k.mu.Unlock()
			a := c.Do("GET", "h.example", "/moved/"+id, id, "key-1", deadline)
			k.mu.Lock()
			runs := fmt.Sprint(k.runs[id])
			if r := k.runs[id]; len(r) > 0 {
				runs = ""
				for _, one := range r {
					runs += fmt.Sprintf(" run by %s of %s at +%d ms", one.server, one.service, one.at.Sub(now).Milliseconds())
				}
			}
			k.mu.Unlock()
			w.Record.AddAt(now, "request %s sent to %s: answer %d after %d ms,%s", id, n.Name, a.Status, time.Since(now).Milliseconds(), runs)
		})
	}
}

// check counts the requests at instances that the store served throughout, which were run by the service of the earlier
// configuration although they were sent later than the slack after the instance had a request run by that of the newer one.
func (k *checker) check(w *world.World, turnedAway []*world.Node) (broken int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	effect := make(map[string]time.Time) // of a round at an instance: when a server saw it first
	for id, s := range k.sent {
		for _, r := range k.runs[id] {
			if r.service != service(s.round) || s.at.Before(k.acks[s.round]) {
				continue
			}
			key := fmt.Sprint(s.node, " ", s.round)
			if at, ok := effect[key]; !ok || r.at.Before(at) {
				effect[key] = r.at
			}
		}
	}
	for id, s := range k.sent {
		if slices.ContainsFunc(turnedAway, func(n *world.Node) bool { return n.Name == s.node }) {
			continue
		}
		for _, r := range k.runs[id] {
			if s.round+1 < len(k.before) && r.at.After(k.before[s.round+1]) {
				continue // the next configuration may be in force
			}
			at, ok := effect[fmt.Sprint(s.node, " ", s.round)]
			if r.service != service(s.round) && ok && s.at.Sub(at) > slack {
				broken++
				w.Record.AddAt(s.at, "BROKEN CONFIG: request %s, sent to %s %d ms after version %d was acknowledged and %d ms after a server saw its effect by way of %s, was run by %s of %s",
					id, s.node, s.at.Sub(k.acks[s.round]).Milliseconds(), config(s.round).Version, s.at.Sub(at).Milliseconds(), s.node, r.server, r.service)
			}
		}
	}
	w.Record.Add("%d requests were handled by an earlier configuration (CONFIG)", broken)
	fmt.Println(broken, "requests were handled by an earlier configuration (CONFIG)")
	return broken
}
