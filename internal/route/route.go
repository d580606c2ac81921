// Package route chooses the endpoint that a request runs on.
//
// The package performs no I/O, reads no clock and draws no random numbers; both are
// passed in. All entry instances compute the same affinity endpoints for a session
// without exchanging messages: weighted rendezvous hashing chooses halls first and
// then endpoints within them, so that the cost of a decision grows with the number
// of halls and the endpoints of two of them, not with the whole fleet. Among the
// affinity endpoints and a few others drawn at random, the default policy chooses
// by the estimated time to the first token and the cost of recomputing what is not
// cached.
package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request holds what a routing decision depends on.
type Request struct {
	Session          uint64        // hash of the session key, which is the same for all turns of a conversation
	Chain            []uint64      // hashes of the blocks of the prompt, in order
	Tokens           int           // prompt tokens
	Priority         int           // 0 to 9; 9 is the highest
	LatencyTarget    time.Duration // latency target of the request class
	RecomputePenalty float64       // milliseconds of penalty per prompt token that is not cached
	Hall             string        // hall of the entry instance
	Random           uint64        // random number; the caller draws it
	Avoid            []string      // IDs of endpoints that already failed the request
	Prefer           string        // ID of the endpoint that holds the request's KV cache, if any
	Limits           Limits        // nil if no endpoint has a rate limit
	Resumes          bool          // it is for the rest of an answer, which began at Version
	Version          string        // of the software of the endpoints that may serve it, with Resumes
}

// Limits holds the rate limits that endpoints set for the instances that call them.
type Limits interface {
	// Allows reports whether the rate limit of the endpoint with this key permits a
	// call from this instance now.
	Allows(key string, now time.Time) bool
}

// Accepts reports whether an endpoint accepts the request from this instance now: it is
// not in a backoff and not at its rate limit, and an answer that has begun goes on at the
// version that began it.
func (r *Request) Accepts(e *Endpoint, now time.Time) bool {
	return (!r.Resumes || e.Version == r.Version) && !e.InBackoff(now) && (r.Limits == nil || r.Limits.Allows(e.Key, now))
}

// eligible reports whether an endpoint is a candidate for the request: it accepts
// calls, is not ejected, and has not failed the request already.
func (r *Request) eligible(e *Endpoint, now time.Time) bool {
	return !avoided(r, e.ID) && !e.Unavailable(now) && r.Accepts(e, now)
}

// Decision is a chosen endpoint with the estimate it was chosen by.
type Decision struct {
	Endpoint   *Endpoint
	FirstToken time.Duration // estimated time to the first token, or of a service call to its completion
	Uncached   int           // prompt tokens that the endpoint has to compute
}

// Policy chooses an endpoint of a pool. Choose reports false when no endpoint can
// take the request.
type Policy interface {
	Choose(p *Pool, r *Request, now time.Time) (Decision, bool)
}

// Names of the policies.
const (
	PolicyDefault     = "default"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicySessionHash = "session-hash"
)

// New returns the policy with this name, or the default policy if there is none.
func New(name string) Policy {
	switch name {
	case PolicyRoundRobin:
		return &roundRobin{}
	case PolicyLeastLoaded:
		return leastLoaded{}
	case PolicySessionHash:
		return sessionHash{}
	default:
		return affinityPolicy{}
	}
}

// Parameters of the default policy.
const (
	affinityCount    = 3                      // affinity endpoints of a session: two in its first hall, one in its second
	randomCandidates = 3                      // further endpoints, drawn at random
	lateThreshold    = 0.6                    // fraction of the latency target above which an estimate is penalized because the target may be missed
	latePenaltyPerMs = 10.0                   // milliseconds of penalty per millisecond above the threshold
	slowStartWindow  = 5 * time.Second        // time after joining during which open requests add to the estimate
	staleReportAge   = 2 * time.Second        // age from which a load report is distrusted
	stalePenalty     = 500 * time.Millisecond // added to the estimate of an endpoint whose report is stale
)

// affinityPolicy is the default policy. It scores the endpoint that holds the
// request's KV cache, the affinity endpoints of the session and a few endpoints
// drawn at random, and chooses the one with the lowest score. It falls back to
// leastLoaded if none of them is eligible.
type affinityPolicy struct{}

func (affinityPolicy) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var best Decision
	bestScore := math.Inf(1)
	consider := func(e *Endpoint, primary bool) {
		if e == nil || !r.eligible(e, now) {
			return
		}
		d := Estimate(e, r, now)
		if s := score(d, r, primary); s < bestScore {
			best, bestScore = d, s
		}
	}
	if r.Prefer != "" {
		consider(p.Find(r.Prefer), true)
	}
	var affine [affinityCount]*Endpoint
	n := AffinityEndpoints(p, r.Session, affine[:])
	for i, e := range affine[:n] {
		consider(e, i == 0)
	}
	for i := range randomCandidates {
		if p.Size > 0 {
			consider(p.at(int(mix(r.Random, uint64(i))%uint64(p.Size))), false)
		}
	}
	if best.Endpoint == nil {
		return leastLoaded{}.Choose(p, r, now)
	}
	return best, true
}

// score returns the cost of a decision in milliseconds: the estimated time to the
// first token, a penalty for the prompt tokens to compute, and a penalty for an
// estimate near or above the latency target. primary reports whether the endpoint
// is the session's first affinity endpoint or already holds its KV cache. On any
// other endpoint the tokens to compute count twice: the next turn may arrive at
// another entry instance, which looks at the first affinity endpoint and may not
// know of the cache on this one, so the tokens would be computed again.
func score(d Decision, r *Request, primary bool) float64 {
	ms := float64(d.FirstToken) / float64(time.Millisecond)
	late := ms - lateThreshold*float64(r.LatencyTarget)/float64(time.Millisecond)
	s := ms + r.RecomputePenalty*float64(d.Uncached)
	if !primary {
		s += r.RecomputePenalty * float64(d.Uncached)
	}
	if late > 0 {
		s += latePenaltyPerMs * late
	}
	return s
}

// Estimate returns the expected time to the first token and the number of uncached
// prompt tokens if the request ran on e. The endpoint has to compute the prompt
// tokens that it last reported as queued at the request's priority or above, minus
// those computed since the report, plus those this instance has sent since, plus
// the uncached part of the prompt. An endpoint with a stale report or in slow start
// has time added.
func Estimate(e *Endpoint, r *Request, now time.Time) Decision {
	l := e.load.Load()
	uncached := r.Tokens
	if e.Blocks != nil && len(r.Chain) > 0 {
		held := e.Blocks.Held(r.Chain)
		uncached = max(0, r.Tokens-held*r.Tokens/len(r.Chain))
	}
	queued := 0
	for _, n := range l.QueuedTokens[min(max(r.Priority, 0), Priorities-1):] {
		queued += n
	}
	age := now.Sub(l.At)
	if l.PromptTokenTime > 0 {
		queued = max(0, queued-int(age/l.PromptTokenTime))
	}
	queued += max(0, int(e.pending.Load()))
	first := time.Duration(queued+uncached)*l.PromptTokenTime + l.TokenInterval
	if age > staleReportAge {
		first += stalePenalty
	}
	if joined := now.Sub(e.JoinedAt); joined < slowStartWindow && e.Open() > 0 {
		first += time.Duration(e.Open()) * l.TokenInterval * time.Duration(slowStartWindow-joined) / slowStartWindow
	}
	return Decision{Endpoint: e, FirstToken: first, Uncached: uncached}
}

// AffinityEndpoints writes the affinity endpoints of a session into out, up to its
// length, and returns their number. They are in order of preference: two in the
// session's first hall, then one in its second.
func AffinityEndpoints(p *Pool, session uint64, out []*Endpoint) int {
	first, second := rankHalls(p, session)
	n := 0
	if first >= 0 {
		a, b := rankEndpoints(p.Halls[first].Endpoints, session)
		n = appendIfRoom(out, n, a)
		n = appendIfRoom(out, n, b)
	}
	if second >= 0 {
		a, _ := rankEndpoints(p.Halls[second].Endpoints, session)
		n = appendIfRoom(out, n, a)
	}
	return n
}

// appendIfRoom sets out[n] to e and returns n+1, or returns n if e is nil or out is
// full.
func appendIfRoom(out []*Endpoint, n int, e *Endpoint) int {
	if e == nil || n >= len(out) {
		return n
	}
	out[n] = e
	return n + 1
}

// rankHalls returns the indices of the two highest-ranked halls for a session, or -1
// for a hall that does not exist. It uses rendezvous hashing weighted by the number
// of endpoints in a hall, so that each endpoint gets the same share of sessions.
func rankHalls(p *Pool, session uint64) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore float64
	for i := range p.Halls {
		h := &p.Halls[i]
		u := (float64(mix(session, h.hash)>>11) + 0.5) / (1 << 53)
		s := -float64(len(h.Endpoints)) / math.Log(u)
		switch {
		case first < 0 || s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, s
		case second < 0 || s > secondScore:
			second, secondScore = i, s
		}
	}
	return first, second
}

// rankEndpoints returns the two highest-ranked endpoints for a session by rendezvous
// hashing, or nil for one that does not exist.
func rankEndpoints(endpoints []*Endpoint, session uint64) (first, second *Endpoint) {
	var firstScore, secondScore uint64
	for _, e := range endpoints {
		s := mix(session, e.hash)
		switch {
		case first == nil || s > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = e, s
		case second == nil || s > secondScore:
			second, secondScore = e, s
		}
	}
	return first, second
}

// mix hashes two numbers into one.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// avoided reports whether the endpoint with this ID already failed the request.
func avoided(r *Request, id string) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
