package route

import (
	"sync/atomic"
	"time"
)

// roundRobin chooses the eligible endpoints of a pool in turn.
type roundRobin struct {
	counter atomic.Uint64
}

func (rr *roundRobin) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	for range p.Size {
		e := p.at(int(rr.counter.Add(1) % uint64(p.Size)))
		if r.eligible(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return chooseIgnoringEjection(p, r, now)
}

// leastLoaded chooses the endpoint with the fewest sequences in progress. The load
// of an endpoint is the larger of its last report and this instance's own open
// requests. Ties are broken by the request's random number.
type leastLoaded struct{}

func (leastLoaded) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var best *Endpoint
	bestLoad := 0
	start := 0
	if p.Size > 0 {
		start = int(r.Random % uint64(p.Size))
	}
	for i := range p.Size {
		e := p.at((start + i) % p.Size)
		if !r.eligible(e, now) {
			continue
		}
		load := max(e.load.Load().Running, e.Open())
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	if best == nil {
		return chooseIgnoringEjection(p, r, now)
	}
	return Estimate(best, r, now), true
}

// sessionHash chooses the first eligible affinity endpoint of the session,
// whatever its load, and falls back to leastLoaded if none is eligible.
type sessionHash struct{}

func (sessionHash) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var affine [affinityCount]*Endpoint
	n := AffinityEndpoints(p, r.Session, affine[:])
	for _, e := range affine[:n] {
		if r.eligible(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return leastLoaded{}.Choose(p, r, now)
}

// chooseIgnoringEjection is the fallback when no endpoint is eligible. It also
// considers ejected endpoints, so that outlier ejection never makes a whole pool
// unavailable, but neither endpoints that already failed this request nor those
// that accept no calls.
func chooseIgnoringEjection(p *Pool, r *Request, now time.Time) (Decision, bool) {
	for i := range p.Size {
		e := p.at((int(r.Random%uint64(p.Size)) + i) % p.Size)
		if !avoided(r, e.ID) && r.Accepts(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return Decision{}, false
}

// ServicePolicy routes calls to plain services. Of serviceCandidates endpoints
// drawn at random it chooses the one with the shortest expected completion time,
// to which crossHallPenalty is added for an endpoint in another hall.
type ServicePolicy struct{}

// Choose implements Policy.
func (ServicePolicy) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	if p.Size == 0 {
		return Decision{}, false
	}
	var best *Endpoint
	bestWait := time.Duration(0)
	for i := range uint64(serviceCandidates) {
		e := p.at(int(mix(r.Random, i) % uint64(p.Size)))
		if !r.eligible(e, now) {
			continue
		}
		wait := time.Duration(e.meanCallTime.Load()) * time.Duration(e.Open()+1)
		if e.Hall != r.Hall {
			wait += crossHallPenalty
		}
		if best == nil || wait < bestWait {
			best, bestWait = e, wait
		}
	}
	if best == nil {
		return chooseIgnoringEjection(p, r, now)
	}
	return Decision{Endpoint: best, FirstToken: bestWait}, true
}

const (
	serviceCandidates = 3
	crossHallPenalty  = 2 * time.Millisecond // round trip between halls at their current distances
)
