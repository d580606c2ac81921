package route

import (
	"sync/atomic"
	"time"
)

// roundRobin takes the endpoints in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (rr *roundRobin) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	for range p.Size {
		e := p.at(int(rr.next.Add(1) % uint64(p.Size)))
		if r.eligible(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return anyOf(p, r, now)
}

// leastLoaded takes the endpoint with the fewest sequences, as last reported
// or as sent by this instance.
type leastLoaded struct{}

func (leastLoaded) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var best *Endpoint
	bestLoad := 0
	start := 0
	if p.Size > 0 {
		start = int(r.Draw % uint64(p.Size))
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
		return anyOf(p, r, now)
	}
	return Estimate(best, r, now), true
}

// sessionHash always takes the first home of the session.
type sessionHash struct{}

func (sessionHash) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	var home [homeCount]*Endpoint
	n := Homes(p, r.Session, home[:])
	for _, e := range home[:n] {
		if r.eligible(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return leastLoaded{}.Choose(p, r, now)
}

// anyOf is the floor of outlier ejection: when all endpoints rest, one that
// did not fail this very request is tried all the same, unless it accepts no calls.
func anyOf(p *Pool, r *Request, now time.Time) (Decision, bool) {
	for i := range p.Size {
		e := p.at((int(r.Draw%uint64(p.Size)) + i) % p.Size)
		if !avoided(r, e.ID) && r.Accepts(e, now) {
			return Estimate(e, r, now), true
		}
	}
	return Decision{}, false
}

// ServicePolicy routes calls to plain services: the hall of the entry instance
// first, then the least expected finish of two drawn at random.
type ServicePolicy struct{}

// Choose implements Policy.
func (ServicePolicy) Choose(p *Pool, r *Request, now time.Time) (Decision, bool) {
	if p.Size == 0 {
		return Decision{}, false
	}
	var best *Endpoint
	bestWait := time.Duration(0)
	for i := range uint64(serviceSamples) {
		e := p.at(int(mix(r.Draw, i) % uint64(p.Size)))
		if !r.eligible(e, now) {
			continue
		}
		wait := time.Duration(e.ewma.Load()) * time.Duration(e.Open()+1)
		if e.Hall != r.Hall {
			wait += otherHall
		}
		if best == nil || wait < bestWait {
			best, bestWait = e, wait
		}
	}
	if best == nil {
		return anyOf(p, r, now)
	}
	return Decision{Endpoint: best, FirstToken: bestWait}, true
}

const (
	serviceSamples = 3
	otherHall      = 2 * time.Millisecond // there and back, at today's distances
)
