// Package route decides which endpoint a request runs on.
//
// The package is pure: it reads the pool's loads, draws no random number and
// no time of its own, and keeps nothing. All entry instances come to the same
// home endpoints for a session without talking: weighted rendezvous hashing
// first picks halls, then endpoints within them, so that the cost of a decision
// grows with the halls and the endpoints of two halls, not with the fleet. An
// estimate of the time to the first token, and the price of recomputing what
// is not cached, choose among the homes and a few others drawn at random.
package route

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is what a decision needs to know of a request.
type Request struct {
	Session   uint64        // hash of what stays the same through a conversation
	Chain     []uint64      // block hashes of the prompt
	Tokens    int           // prompt tokens
	Priority  int           // 0 to 9
	Target    time.Duration // latency target of the class
	Recompute float64       // milliseconds of lateness per recomputed token
	Hall      string        // hall of the entry instance
	Draw      uint64        // random number drawn by the caller
	Avoid     []string      // endpoints that already failed the request
	Prefer    string        // endpoint that holds the request's KV cache
	Limits    Limits        // nil if no endpoint has a rate limit
}

// Limits tells whether this instance may send to an endpoint now by the rate limit that it
// names.
type Limits interface {
	Allows(key string, now time.Time) bool
}

// Accepts reports whether an endpoint takes calls of this instance now: it did not ask for rest
// and is not at its rate limit.
func (r *Request) Accepts(e *Endpoint, now time.Time) bool {
	return !e.AskedForRest(now) && (r.Limits == nil || r.Limits.Allows(e.Key, now))
}

// eligible reports whether an endpoint is a candidate for the request: it is not ejected and
// accepts it, and has not failed it already.
func (r *Request) eligible(e *Endpoint, now time.Time) bool {
	return !avoided(r, e.ID) && !e.Resting(now) && r.Accepts(e, now)
}

// Decision is an endpoint with what is expected of it.
type Decision struct {
	Endpoint   *Endpoint
	FirstToken time.Duration // estimate of the time to the first token
	Uncached   int           // prompt tokens that the endpoint will have to compute
}

// Policy chooses an endpoint of a pool. The second result is false when none
// can take the request.
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

// New returns the policy with this name; an unknown name gives the default.
func New(name string) Policy {
	switch name {
	case PolicyRoundRobin:
		return &roundRobin{}
	case PolicyLeastLoaded:
		return leastLoaded{}
	case PolicySessionHash:
		return sessionHash{}
	default:
		return homes{}
	}
}

// Weights and times of the default policy.
const (
	homeCount    = 3    // homes of a session: two in its first hall, one in its second
	sampleCount  = 3    // other endpoints looked at
	lateShare    = 0.6  // share of the target from which lateness is feared
	latePrice    = 10.0 // milliseconds of penalty per feared millisecond of lateness
	slowStart    = 5 * time.Second
	staleLoad    = 2 * time.Second // a report older than this makes an endpoint suspect
	stalePenalty = 500 * time.Millisecond
)

// homes is the default policy.
type homes struct{}

func (homes) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var best Decision
	bestScore := math.Inf(1)
	consider := func(e *Endpoint, atHome bool) {
		if e == nil || !r.eligible(e, now) {
			return
		}
		d := Estimate(e, r, now)
		if s := score(d, r, atHome); s < bestScore {
			best, bestScore = d, s
		}
	}
	if r.Prefer != "" {
		consider(p.Find(r.Prefer), true)
	}
	var home [homeCount]*Endpoint
	n := Homes(p, r.Session, home[:])
	for i, e := range home[:n] {
		consider(e, i == 0)
	}
	for i := range sampleCount {
		if p.Size > 0 {
			consider(p.at(int(mix(r.Draw, uint64(i))%uint64(p.Size))), false)
		}
	}
	if best.Endpoint == nil {
		return leastLoaded{}.Choose(p, r, now)
	}
	return best, true
}

// score is the price of a decision in milliseconds. What is computed away from
// the session's first home is paid for twice: the next turn comes in at another
// entry instance, which looks at the first home and may not know of this
// place yet, so that it will be computed again.
func score(d Decision, r *Request, atHome bool) float64 {
	ms := float64(d.FirstToken) / float64(time.Millisecond)
	late := ms - lateShare*float64(r.Target)/float64(time.Millisecond)
	s := ms + r.Recompute*float64(d.Uncached)
	if !atHome {
		s += r.Recompute * float64(d.Uncached)
	}
	if late > 0 {
		s += latePrice * late
	}
	return s
}

// Estimate returns what to expect of an endpoint: the prompt tokens queued at
// the request's priority or above, as last reported and less what was computed
// since, plus what this instance sent since, plus the uncached part of the
// prompt.
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
	if l.PerToken > 0 {
		queued = max(0, queued-int(age/l.PerToken))
	}
	queued += max(0, int(e.pending.Load()))
	first := time.Duration(queued+uncached)*l.PerToken + l.Step
	if age > staleLoad {
		first += stalePenalty
	}
	if fresh := now.Sub(e.JoinedAt); fresh < slowStart && e.Open() > 0 {
		first += time.Duration(e.Open()) * l.Step * time.Duration(slowStart-fresh) / slowStart
	}
	return Decision{Endpoint: e, FirstToken: first, Uncached: uncached}
}

// Homes writes the homes of a session into out and returns how many there are.
// The first ones are in the session's first hall, the last one in its second.
func Homes(p *Pool, session uint64, out []*Endpoint) int {
	first, second := rankHalls(p, session)
	n := 0
	if first >= 0 {
		a, b := rankEndpoints(p.Halls[first].Endpoints, session)
		n = put(out, n, a)
		n = put(out, n, b)
	}
	if second >= 0 {
		a, _ := rankEndpoints(p.Halls[second].Endpoints, session)
		n = put(out, n, a)
	}
	return n
}

func put(out []*Endpoint, n int, e *Endpoint) int {
	if e == nil || n >= len(out) {
		return n
	}
	out[n] = e
	return n + 1
}

// rankHalls returns the two best halls by rendezvous hashing weighted with
// their number of endpoints, so that each endpoint is home to as many sessions.
func rankHalls(p *Pool, session uint64) (first, second int) {
	first, second = -1, -1
	var firstScore, secondScore float64
	for i := range p.Halls {
		h := &p.Halls[i]
		u := (float64(mix(session, h.seed)>>11) + 0.5) / (1 << 53)
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

func rankEndpoints(endpoints []*Endpoint, session uint64) (first, second *Endpoint) {
	var firstScore, secondScore uint64
	for _, e := range endpoints {
		s := mix(session, e.seed)
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

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

func avoided(r *Request, id string) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}
