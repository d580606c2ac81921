package front

import (
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/pace"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quota"
)

// Encoding and decoding of Share messages.

// useShares encodes uses of endpoints.
func useShares(uses map[string]balance.Load) []*peerpb.ServerShare {
	var out []*peerpb.ServerShare
	for id, use := range uses {
		out = append(out, &peerpb.ServerShare{Id: id, Open: int64(use.Open), Prompt: int64(use.Prompt), Holdup: use.Interference})
	}
	return out
}

// accountShares encodes the units admitted, quota levels and usage counts of client accounts.
func accountShares(admitted, levels map[string]float64, runs runCounts) []*peerpb.AccountShare {
	var out []*peerpb.AccountShare
	known := make(map[string]*peerpb.AccountShare)
	entry := func(name string) *peerpb.AccountShare {
		c := known[name]
		if c == nil {
			c = &peerpb.AccountShare{Name: name}
			known[name] = c
			out = append(out, c)
		}
		return c
	}
	for name, units := range admitted {
		entry(name).Admitted = units
	}
	for name, level := range levels {
		entry(name).Level = level
	}
	for key, count := range runs {
		c := entry(key.account)
		c.Windows = append(c.Windows, &peerpb.WindowCount{Window: key.window, Count: count})
	}
	return out
}

// serviceShares encodes the demand for services and this instance's own estimates of them.
func (n *Instance) serviceShares(demand map[string]balance.Demand) []*peerpb.ServiceShare {
	var out []*peerpb.ServiceShare
	estimates := n.tracker.Estimates()
	for name, d := range demand {
		out = append(out, serviceShare(name, d, estimates[name]))
	}
	return out
}

// serviceShare encodes the demand for one service and the estimate of it.
func serviceShare(name string, d balance.Demand, l balance.Estimate) *peerpb.ServiceShare {
	return &peerpb.ServiceShare{
		Name: name, Busy: d.Busy, Held: d.Held,
		PaceBase: l.Pace.Model.Base, PaceToken: l.Pace.Model.Token, PacePair: l.Pace.Model.Pair, PaceWeight: l.Pace.Weight,
		HoldRisk: l.Risk,
	}
}

// seasoned reports whether the sender of a share has run for so long that its quota levels are
// reliable.
func seasoned(s *peerpb.Share) bool { return ageOf(s) > quota.WarmUp }

// ageOf returns how long the sender of a share has run.
func ageOf(s *peerpb.Share) time.Duration { return time.Duration(s.Wall - s.Incarnation) }

// accountCounts decodes accountShares.
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

// updateOf decodes the endpoint and service part of a share.
func updateOf(s *peerpb.Share) balance.Update {
	demand, estimates := serviceUpdate(s.Services)
	return balance.Update{Loads: usesOf(s.Servers), Demand: demand, Estimates: estimates, LoadsOnly: s.Brief}
}

// usesOf decodes useShares.
func usesOf(servers []*peerpb.ServerShare) map[string]balance.Load {
	uses := make(map[string]balance.Load, len(servers))
	for _, endpoint := range servers {
		uses[endpoint.Id] = balance.Load{Open: int(endpoint.Open), Prompt: int(endpoint.Prompt), Interference: endpoint.Holdup}
	}
	return uses
}

// serviceUpdate decodes serviceShares into demand and estimates.
func serviceUpdate(services []*peerpb.ServiceShare) (map[string]balance.Demand, balance.Estimates) {
	demand, estimates := make(map[string]balance.Demand, len(services)), make(balance.Estimates, len(services))
	for _, service := range services {
		demand[service.Name] = balance.Demand{Busy: service.Busy, Held: service.Held}
		if service.PaceWeight > 0 || service.HoldRisk > 0 {
			estimates[service.Name] = balance.Estimate{
				Pace: pace.WeightedModel{
					Model:  pace.Model{Base: service.PaceBase, Token: service.PaceToken, Pair: service.PacePair},
					Weight: service.PaceWeight,
				},
				Risk: service.HoldRisk,
			}
		}
	}
	return demand, estimates
}
