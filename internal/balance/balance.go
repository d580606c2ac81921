// Package balance chooses the server that a request is sent to.
//
// The choice is a pure function of what is assumed about the servers: prompt
// tokens and requests on the way from this node and from the others, how fast
// and how reliable a server was of late, and which parts of the prompt it
// probably keeps. All nodes come to the same home for a shared prompt without
// talking, by rendezvous hashing.
//
// Tracker keeps those beliefs and is safe for concurrent use.
package balance

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/pace"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rendezvous"
)

// Part is a piece of a prompt, shared with other requests unless it is the
// last one.
type Part struct {
	ID     string
	Tokens int
}

// Request is what the choice needs to know of a request.
type Request struct {
	Service string
	Route   string
	ID      string
	Engine  bool // it goes to a model server
	Tokens  int  // prompt tokens
	Parts   []Part
	Avoid   []string // servers that already had the request
	Slots   int      // requests that a server of the service works on at once; 0 if the servers tell it
	Once    bool     // it must not be repeated, so that a failure is final
	Away    bool     // the home of its shared parts is not among the servers to choose from
	Account string   // client account, if it has a limit
	Units   float64  // of the account's limit; 0 if they were granted for an earlier try
	Trial   bool     // it goes to the version of the service that is on trial
}

// shared returns the tokens of the parts that other requests have as well, and
// the hash of them.
func (r *Request) shared() (tokens int, hash uint64) {
	if len(r.Parts) < 2 {
		return 0, 0
	}
	d := xxhash.New()
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write([]byte{0})
	}
	return tokens, d.Sum64()
}

// View is what is assumed of one server at the moment of a choice.
type View struct {
	Endpoint registry.Endpoint
	Open     float64       // requests on the way, from all nodes, as far as updates on them still say anything
	Prompt   int           // prompt tokens not read yet, from all nodes
	Holdup   float64       // how much the prompts not read yet hold up streams, from all nodes
	Slow     float64       // how its times compare with those of its like; 1 is usual
	Failing  float64       // share of failures of late, 0 to 1
	Resting  bool          // failed in a row: gets no work unless all others rest too
	Keeps    bool          // this node sent the shared parts there of late
	Work     time.Duration // usual time of a request at the service
	Pace     pace.Model    // of the service's model servers
	Risk     float64       // that streams there pause for too long beside a long prompt, 0 to 1
}

// Weights of the choice, as times. Each is argued in docs/design/platform.md.
const (
	failurePenalty = 600 * time.Millisecond // for a server that always fails
	onceFactor     = 3                      // a request that can't be repeated fears failure more
	homeShare      = 0.9                    // of the shared tokens that a home probably keeps
	crowdPenalty   = 4 * time.Millisecond   // for each request on the way at an engine
	fullPenalty    = 2 * time.Second        // for a server whose slots are all taken
	longPrompt     = 10_000                 // tokens from which reading a prompt holds up streams beside it
	mostHoldup     = 4.0
	longHoldup     = 0.5                    // from which a prompt counts as long
	holdsUp        = 60 * time.Millisecond  // for each stream that a long prompt would hold up, at full risk
	heldUp         = 250 * time.Millisecond // for a stream beside a long prompt, at full risk
	readAgain      = 2.0                    // for a prompt token that is kept elsewhere, times its reading: it is paid for beside the time
	spreadShare    = 0.5                    // the same for plain services, of the time of a request
	spread         = 25 * time.Millisecond  // at the most, drawn by request: nodes that decide at once see the same
)

// holdup is how much reading a prompt holds up the streams at its server, about
// 1 for a long one. A step takes longer with each token that is read against
// all those before it, so it grows with the square of the length.
func holdup(tokens int) float64 {
	x := float64(tokens) / longPrompt
	return min(mostHoldup, x*x)
}

// Choice is the outcome of a choice among servers.
type Choice struct {
	Index    int     // of the best server, -1 when there is none
	Uncached int     // prompt tokens that it probably has to read
	Cost     float64 // estimated wait there with penalties, in nanoseconds
}

// Subject returns a hash of what the request shares with others, or of its id
// if that is nothing: requests of one subject are best served together.
func (r *Request) Subject() uint64 {
	if shared, hash := r.shared(); shared > 0 {
		return hash
	}
	return xxhash.Sum64String(r.ID)
}

// Choose returns the best server.
func Choose(views []View, r *Request) Choice {
	shared, hash := r.shared()
	home := -1
	if shared > 0 && !r.Away {
		home = homeOf(views, r, hash)
	}
	best := Choice{Index: -1, Cost: math.Inf(1)}
	for i := range views {
		v := &views[i]
		if avoided(r, v.Endpoint.ID) {
			continue
		}
		uncached := r.Tokens
		if i == home || v.Keeps {
			uncached -= int(homeShare * float64(shared))
		}
		cost := v.cost(r, uncached)
		if r.Engine {
			cost += readAgain * float64(uncached) * v.Pace.Token
			cost += float64(spread) * draw(r, v)
		} else {
			cost += spreadShare * float64(v.Work) * draw(r, v)
		}
		if v.Resting {
			cost += float64(time.Hour)
		}
		if cost < best.Cost || cost == best.Cost && best.Index >= 0 && tie(r, v) > tie(r, &views[best.Index]) {
			best = Choice{i, uncached, cost}
		}
	}
	return best
}

// cost estimates how long a request would wait at a server, with a penalty for
// the risk that it fails there.
func (v *View) cost(r *Request, uncached int) float64 {
	slots := float64(cmp.Or(r.Slots, v.Endpoint.Slots))
	var t time.Duration
	if r.Engine {
		t = time.Duration(float64(v.Prompt+uncached)*v.Pace.Token + v.Open*float64(crowdPenalty))
		t += time.Duration(v.Risk * (holdup(r.Tokens)*v.Open*float64(holdsUp) + v.Holdup*float64(heldUp)))
	} else {
		t = time.Duration(float64(v.Work) * (1 + v.Open/max(1, slots)))
	}
	cost := float64(t) * v.Slow
	if slots > 0 && v.Open >= slots {
		cost += float64(fullPenalty) * (1 + v.Open - slots) / slots
	}
	fear := float64(failurePenalty) * v.Failing
	if r.Once {
		fear *= onceFactor
	}
	return cost + fear
}

func avoided(r *Request, id string) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// homeOf returns the server that a shared prompt lives at.
func homeOf(views []View, r *Request, hash uint64) int {
	best, most := -1, uint64(0)
	for i := range views {
		if views[i].Resting {
			continue
		}
		if s := rendezvous.Score(hash, views[i].Endpoint.ID); best < 0 || s > most {
			best, most = i, s
		}
	}
	return best
}

// draw returns a number from 0 to 1 that differs by request and server.
func draw(r *Request, v *View) float64 { return float64(tie(r, v)>>11) / (1 << 53) }

// tie spreads requests over servers that are equally good.
func tie(r *Request, v *View) uint64 {
	return rendezvous.Score(xxhash.Sum64String(r.ID), v.Endpoint.ID)
}
