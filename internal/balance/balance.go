// Package balance chooses the endpoint that a request is sent to.
//
// The choice is a pure function of what is known about the endpoints: prompt tokens and requests
// in progress from this instance and from the others, recent response times and failures, and
// which prompt prefixes an endpoint probably has in its cache. Each shared prefix has a home
// endpoint, chosen by rendezvous hashing, so that all instances choose the same one without
// communicating.
//
// Tracker maintains this state and is safe for concurrent use.
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

// Part is a piece of a prompt. All parts but the last are shared with other requests.
type Part struct {
	ID     string
	Tokens int
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Service       string
	Route         string
	ID            string
	Engine        bool // whether it goes to model endpoints
	Tokens        int  // prompt tokens
	Parts         []Part
	Avoid         []string // endpoints that were already tried
	Slots         int      // requests that an endpoint of the service handles at once; 0 if the endpoints state it
	NonIdempotent bool     // the request must not be repeated, so that a failure is final
	HomeElsewhere bool     // the home endpoint of its shared prefix is not among the candidates
	Account       string   // client account, if it has a limit
	Units         float64  // charged to the account's limit; 0 if they were charged for an earlier attempt
	Trial         bool     // it goes to the version of the service that is on trial
	Resumes       bool     // it is for the rest of a stream, which began at Version
	Version       string   // of the software of the endpoints that may serve it, with Resumes
	OutputTokens  int      // upper bound
	Priority      int      // 0 is the most urgent
	// Payer is the client account whose fair share the request counts for, whether or not it has a limit.
	Payer       string
	Fingerprint uint64    // the same for a repetition of the request by its client; 0 if unknown
	Target      time.Time // when the first event, or the answer, should come; zero if the route has no target
	Latest      time.Time // after which a first event is of no use to the client
	// NoRefusal is set if the request is not refused for lack of capacity: it was placed before, or its
	// instance does not understand such a refusal.
	NoRefusal bool
}

// shared returns the number of tokens of the shared prefix, which is all parts but the last, and
// its hash.
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

// Candidate is what is known of an endpoint at the moment of a choice.
type Candidate struct {
	Endpoint     registry.Endpoint
	Open         float64       // requests in progress, from all instances, as far as their reports are recent enough
	Prompt       int           // prompt tokens not processed yet, from all instances
	Interference float64       // by the prompts not processed yet with streams, from all instances; see func interference
	Slowdown     float64       // ratio of its response times to those expected; 1 is usual
	Reports      bool          // the endpoint reports its slowdown; Slowdown is that times the endpoint's own factor
	FailureRate  float64       // recent share of failures, from 0 to 1
	Ejected      bool          // after consecutive failures: gets no requests unless all others are ejected too
	HasPrefix    bool          // this instance recently sent the shared prefix there
	Work         time.Duration // mean response time of the service
	Pace         pace.Model    // of the service's model endpoints
	Risk         float64       // that streams there pause for too long beside a long prompt, from 0 to 1
}

// Weights of the choice, as times. The reasons for the values are in docs/design/platform.md.
const (
	failurePenalty      = 600 * time.Millisecond // for an endpoint that always fails
	nonIdempotentFactor = 3                      // multiplies the failure penalty of a request that can't be repeated
	homeCachedShare     = 0.9                    // of the shared tokens, probably cached at the home endpoint
	openPenalty         = 4 * time.Millisecond   // for each request in progress at a model endpoint
	fullPenalty         = 2 * time.Second        // for an endpoint whose slots are all taken
	longPromptTokens    = 10_000                 // tokens from which processing a prompt delays streams beside it
	maxInterference     = 4.0
	longInterference    = 0.5                    // from which a prompt counts as long
	delaysOthersPenalty = 60 * time.Millisecond  // for each stream that a long prompt would delay, at full risk
	delayedPenalty      = 250 * time.Millisecond // for a stream beside a long prompt, at full risk
	recomputeFactor     = 2.0                    // multiplies the processing time of uncached prompt tokens, on top of the waiting time: processing them costs money besides time
	plainJitterShare    = 0.5                    // random part of the cost at plain services, as a fraction of the response time
	reportedExponent    = 0.7                    // of a factor that includes a reported slowdown: if each request went to where it ends first, fast endpoints would have queues while slow ones are idle
	engineJitter        = 25 * time.Millisecond  // maximum random part of the cost at model endpoints: instances that decide at the same time have the same data
)

// interference returns how much the processing of a prompt delays the streams at its endpoint,
// about 1 for a long prompt. It grows with the square of the length: a processing step takes longer
// with each token, as attention covers all tokens before it.
func interference(tokens int) float64 {
	x := float64(tokens) / longPromptTokens
	return min(maxInterference, x*x)
}

// Choice is the result of a choice among endpoints.
type Choice struct {
	Index    int     // of the best candidate, -1 if there is none
	Uncached int     // prompt tokens that it probably has to process
	Cost     float64 // estimated waiting time there with penalties, in nanoseconds
}

// AffinityKey returns the hash of the shared prefix, or of the request's ID if it has none.
// Requests with one key are best handled by one endpoint.
func (r *Request) AffinityKey() uint64 {
	if shared, hash := r.shared(); shared > 0 {
		return hash
	}
	return xxhash.Sum64String(r.ID)
}

// Choose returns the candidate with the lowest cost.
func Choose(candidates []Candidate, r *Request) Choice {
	shared, hash := r.shared()
	home := -1
	if shared > 0 && !r.HomeElsewhere {
		home = homeOf(candidates, r, hash)
	}
	best := Choice{Index: -1, Cost: math.Inf(1)}
	for i := range candidates {
		v := &candidates[i]
		if avoided(r, v.Endpoint.ID) {
			continue
		}
		uncached := r.Tokens
		if i == home || v.HasPrefix {
			uncached -= int(homeCachedShare * float64(shared))
		}
		cost := v.cost(r, uncached)
		if r.Engine {
			cost += recomputeFactor * float64(uncached) * v.Pace.Token
			cost += float64(engineJitter) * jitter(r, v)
		} else {
			cost += plainJitterShare * float64(v.Work) * jitter(r, v)
		}
		if v.Ejected {
			cost += float64(time.Hour)
		}
		if cost < best.Cost || cost == best.Cost && best.Index >= 0 && tieBreak(r, v) > tieBreak(r, &candidates[best.Index]) {
			best = Choice{i, uncached, cost}
		}
	}
	return best
}

// cost estimates how long a request would wait at an endpoint, plus a penalty for the risk that
// it fails there.
func (v *Candidate) cost(r *Request, uncached int) float64 {
	slots := v.slots(r)
	var t time.Duration
	if r.Engine {
		t = time.Duration(float64(v.Prompt+uncached)*v.Pace.Token + v.Open*float64(openPenalty))
		t += time.Duration(v.Risk * (interference(r.Tokens)*v.Open*float64(delaysOthersPenalty) + v.Interference*float64(delayedPenalty)))
	} else {
		t = time.Duration(float64(v.Work) * (1 + v.Open/max(1, slots)))
	}
	slowdown := v.Slowdown
	if v.Reports {
		slowdown = math.Pow(slowdown, reportedExponent)
	}
	cost := float64(t) * slowdown
	if slots > 0 && v.Open >= slots {
		cost += float64(fullPenalty) * (1 + v.Open - slots) / slots
	}
	penalty := float64(failurePenalty) * v.FailureRate
	if r.NonIdempotent {
		penalty *= nonIdempotentFactor
	}
	return cost + penalty
}

// slots returns how many requests the endpoint handles at once; 0 if that is unknown.
func (v *Candidate) slots(r *Request) float64 { return float64(cmp.Or(r.Slots, v.Endpoint.Slots)) }

func avoided(r *Request, id string) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// homeOf returns the index of the home endpoint of a shared prefix, -1 if all are ejected.
func homeOf(candidates []Candidate, r *Request, hash uint64) int {
	best, most := -1, uint64(0)
	for i := range candidates {
		if candidates[i].Ejected {
			continue
		}
		if s := rendezvous.Score(hash, candidates[i].Endpoint.ID); best < 0 || s > most {
			best, most = i, s
		}
	}
	return best
}

// jitter returns a pseudorandom number from 0 to 1 that depends on the request and the endpoint.
func jitter(r *Request, v *Candidate) float64 { return float64(tieBreak(r, v)>>11) / (1 << 53) }

// tieBreak returns a hash that spreads requests over endpoints of equal cost.
func tieBreak(r *Request, v *Candidate) uint64 {
	return rendezvous.Score(xxhash.Sum64String(r.ID), v.Endpoint.ID)
}
