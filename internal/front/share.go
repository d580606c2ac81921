package front

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/pace"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/usage"
)

// Times of the exchange of soft state.
const (
	shareLeast   = 200 * time.Millisecond
	shareForNode = 25 * time.Millisecond // added for each node, so that a node's load stays the same as the fleet grows
	shareTimeout = 600 * time.Millisecond
	briefEvery   = 15 * time.Millisecond // at the most, news of a long prompt
	believeLeast = 2 * time.Second       // a node's word counts for so long, or for
	believeTimes = 3                     // so many exchanges
	briefMembers = 24                    // with more nodes, news wait for the next exchange
)

// shareState exchanges soft state with the other nodes. Of two nodes the one
// with the lower name asks, and is answered in kind.
func (n *Node) shareState(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	var mu sync.Mutex
	busy := make(map[string]bool) // guarded by mu
	begin := func(name string) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[name] {
			return false
		}
		busy[name] = true
		return true
	}
	for {
		if !sleep(ctx, n.sharePause(time.Now())) {
			return ctx.Err()
		}
		others := n.state.members.list()
		if len(others) == 0 {
			continue
		}
		mine := n.share()
		for _, other := range others {
			if n.Settings.Name > other.name || !begin(other.name) {
				continue
			}
			wait.Go(func() {
				n.exchange(ctx, other, mine)
				mu.Lock()
				delete(busy, other.name)
				mu.Unlock()
			})
		}
	}
}

// shareEvery is the time between two exchanges with each other node.
func (n *Node) shareEvery() time.Duration {
	return max(shareLeast, time.Duration(len(n.state.members.list()))*shareForNode)
}

// sharePause is the time until the next round of exchanges. A node that has just
// started knows nothing of the others and begins with short ones.
func (n *Node) sharePause(now time.Time) time.Duration {
	return min(n.shareEvery(), shareLeast+now.Sub(n.start))
}

// tellUses tells the other nodes at once when a long prompt was sent to a
// server: requests come in clumps, and nodes that decide at the same moment
// would all choose the same server.
func (n *Node) tellUses(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for kicked(ctx, n.tracker.Told()) {
		others := n.state.members.list()
		if len(others) <= briefMembers {
			mine := &peerpb.Share{Node: n.Settings.Name, Incarnation: n.incarnation(), Brief: true, Servers: n.serverShares()}
			for _, other := range others {
				wait.Go(func() { n.exchange(ctx, other, mine) })
			}
		}
		sleep(ctx, briefEvery)
	}
	return ctx.Err()
}

func (n *Node) serverShares() []*peerpb.ServerShare {
	var out []*peerpb.ServerShare
	for id, use := range n.tracker.Uses() {
		out = append(out, &peerpb.ServerShare{Id: id, Open: int64(use.Open), Prompt: int64(use.Prompt), Holdup: use.Holdup})
	}
	return out
}

func (n *Node) exchange(ctx context.Context, other member, mine *peerpb.Share) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	a, err := n.peers.Call(ctx, other.addr, &peerpb.Call{Body: &peerpb.Call_Share{Share: mine}})
	if err != nil {
		return // the member's age says so
	}
	if s := a.GetShare(); s != nil {
		n.heard(s)
	}
}

// serveShare takes another node's soft state and answers in kind.
func (n *Node) serveShare(s *peerpb.Share, answer func(*peerpb.Answer) error) error {
	n.heard(s)
	if s.Brief {
		return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Share{Share: n.share()}})
}

// share is what this node tells the others.
func (n *Node) share() *peerpb.Share {
	s := &peerpb.Share{
		Node: n.Settings.Name, Incarnation: n.incarnation(),
		Wall: n.clock.Own(time.Now()).UnixNano(), ServersAt: n.news.newest(),
	}
	a := n.admission
	a.mu.Lock()
	accounts := make(map[string]*peerpb.AccountShare)
	of := func(name string) *peerpb.AccountShare {
		c := accounts[name]
		if c == nil {
			c = &peerpb.AccountShare{Name: name}
			accounts[name] = c
			s.Accounts = append(s.Accounts, c)
		}
		return c
	}
	for name, units := range a.quota.Admitted() {
		of(name).Admitted = units
	}
	for name, level := range a.levels(time.Now()) {
		of(name).Level = level
	}
	for w, counts := range a.usage.Own() {
		for name, count := range counts {
			c := of(name)
			c.Windows = append(c.Windows, &peerpb.WindowCount{Window: w, Count: count})
		}
	}
	a.mu.Unlock()
	s.Servers = n.serverShares()
	lessons := n.tracker.Lessons()
	for name, demand := range n.tracker.Demand(time.Now()) {
		l := lessons[name]
		s.Services = append(s.Services, &peerpb.ServiceShare{
			Name: name, Busy: demand.Busy, Held: demand.Held,
			PaceBase: l.Pace.Model.Base, PaceToken: l.Pace.Model.Token, PacePair: l.Pace.Model.Pair, PaceWeight: l.Pace.Weight,
			HoldRisk: l.Risk,
		})
	}
	return s
}

// heard takes what another node tells.
func (n *Node) heard(s *peerpb.Share) {
	now := time.Now()
	n.state.members.heard(s.Node, now)
	n.heardUses(s, now)
	if s.Brief {
		return
	}
	if n.news.behind(s.ServersAt, now) {
		n.event(event.WatchSilent, zap.String("peer", s.Node), zap.Int64("revision", s.ServersAt))
		n.rewatch()
	}
	if c := n.clock.Heard(s.Node, time.Unix(0, s.Wall), now); c != 0 {
		n.event(event.ClockCorrected, zap.Duration("by", c), zap.String("peer", s.Node))
	}
	news := quota.News{
		Node: s.Node, Incarnation: s.Incarnation, Seasoned: time.Duration(s.Wall-s.Incarnation) > quota.Season,
		Admitted: make(map[string]float64, len(s.Accounts)), Levels: make(map[string]float64, len(s.Accounts)),
	}
	windows := make(map[int64]usage.Counts)
	for _, c := range s.Accounts {
		news.Admitted[c.Name], news.Levels[c.Name] = c.Admitted, c.Level
		for _, w := range c.Windows {
			if windows[w.Window] == nil {
				windows[w.Window] = make(usage.Counts)
			}
			windows[w.Window][c.Name] = w.Count
		}
	}
	n.admission.mu.Lock()
	n.admission.quota.Heard(news, now)
	n.admission.usage.Heard(s.Node, s.Incarnation, windows)
	n.admission.mu.Unlock()
}

func (n *Node) heardUses(s *peerpb.Share, now time.Time) {
	uses := make(map[string]balance.Use, len(s.Servers))
	for _, server := range s.Servers {
		uses[server.Id] = balance.Use{Open: int(server.Open), Prompt: int(server.Prompt), Holdup: server.Holdup}
	}
	demand := make(map[string]balance.Demand, len(s.Services))
	lessons := make(balance.Lessons, len(s.Services))
	for _, service := range s.Services {
		demand[service.Name] = balance.Demand{Busy: service.Busy, Held: service.Held}
		if service.PaceWeight > 0 || service.HoldRisk > 0 {
			lessons[service.Name] = balance.Lesson{
				Pace: pace.Opinion{
					Model:  pace.Model{Base: service.PaceBase, Token: service.PaceToken, Pair: service.PacePair},
					Weight: service.PaceWeight,
				},
				Risk: service.HoldRisk,
			}
		}
	}
	news := balance.News{Uses: uses, Demand: demand, Lessons: lessons, Brief: s.Brief}
	n.tracker.Heard(s.Node, news, now.Add(max(believeLeast, believeTimes*n.shareEvery())), now)
}
