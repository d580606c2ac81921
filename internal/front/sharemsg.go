package front

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/pace"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
)

// What a Share says, written and read.

// useShares writes uses of servers.
func useShares(uses map[string]balance.Use) []*peerpb.ServerShare {
	var out []*peerpb.ServerShare
	for id, use := range uses {
		out = append(out, &peerpb.ServerShare{Id: id, Open: int64(use.Open), Prompt: int64(use.Prompt), Holdup: use.Holdup})
	}
	return out
}

// accountShares encodes what is shared of the client accounts.
func accountShares(admitted, levels map[string]float64, runs runCounts) []*peerpb.AccountShare {
	var out []*peerpb.AccountShare
	known := make(map[string]*peerpb.AccountShare)
	of := func(name string) *peerpb.AccountShare {
		c := known[name]
		if c == nil {
			c = &peerpb.AccountShare{Name: name}
			known[name] = c
			out = append(out, c)
		}
		return c
	}
	for name, units := range admitted {
		of(name).Admitted = units
	}
	for name, level := range levels {
		of(name).Level = level
	}
	for key, count := range runs {
		c := of(key.account)
		c.Windows = append(c.Windows, &peerpb.WindowCount{Window: key.window, Count: count})
	}
	return out
}

// serviceShares encodes what is shared of services: demand, and what this node
// learned itself.
func (n *Instance) serviceShares(demand map[string]balance.Demand) []*peerpb.ServiceShare {
	var out []*peerpb.ServiceShare
	lessons := n.tracker.Estimates()
	for name, d := range demand {
		out = append(out, serviceShare(name, d, lessons[name]))
	}
	return out
}

// serviceShare encodes what is shared of one service.
func serviceShare(name string, d balance.Demand, l balance.Estimate) *peerpb.ServiceShare {
	return &peerpb.ServiceShare{
		Name: name, Busy: d.Busy, Held: d.Held,
		PaceBase: l.Pace.Model.Base, PaceToken: l.Pace.Model.Token, PacePair: l.Pace.Model.Pair, PaceWeight: l.Pace.Weight,
		HoldRisk: l.Risk,
	}
}

// seasoned reports whether the sender of a share knows the levels of limits well.
func seasoned(s *peerpb.Share) bool { return time.Duration(s.Wall-s.Incarnation) > quota.Season }

// accountCounts reads what accountShares wrote.
func accountCounts(accounts []*peerpb.AccountShare) (admitted, levels map[string]float64, runs runCounts) {
	admitted, levels, runs = make(map[string]float64, len(accounts)), make(map[string]float64, len(accounts)), make(runCounts)
	for _, c := range accounts {
		admitted[c.Name], levels[c.Name] = c.Admitted, c.Level
		for _, w := range c.Windows {
			runs[runKey{w.Window, c.Name}] = w.Count
		}
	}
	return admitted, levels, runs
}

// updateOf decodes what a share says of servers and services.
func updateOf(s *peerpb.Share) balance.Update {
	demand, lessons := serviceUpdate(s.Services)
	return balance.Update{Uses: usesOf(s.Servers), Demand: demand, Estimates: lessons, UsesOnly: s.Brief}
}

// usesOf reads what useShares wrote.
func usesOf(servers []*peerpb.ServerShare) map[string]balance.Use {
	uses := make(map[string]balance.Use, len(servers))
	for _, server := range servers {
		uses[server.Id] = balance.Use{Open: int(server.Open), Prompt: int(server.Prompt), Holdup: server.Holdup}
	}
	return uses
}

// serviceUpdate reads demand and lessons of services.
func serviceUpdate(services []*peerpb.ServiceShare) (map[string]balance.Demand, balance.Estimates) {
	demand, lessons := make(map[string]balance.Demand, len(services)), make(balance.Estimates, len(services))
	for _, service := range services {
		demand[service.Name] = balance.Demand{Busy: service.Busy, Held: service.Held}
		if service.PaceWeight > 0 || service.HoldRisk > 0 {
			lessons[service.Name] = balance.Estimate{
				Pace: pace.Opinion{
					Model:  pace.Model{Base: service.PaceBase, Token: service.PaceToken, Pair: service.PacePair},
					Weight: service.PaceWeight,
				},
				Risk: service.HoldRisk,
			}
		}
	}
	return demand, lessons
}
