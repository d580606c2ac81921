package quarantine

import (
	"sync"
	"time"
)

// Permits holds the permits that this instance issues for the suspects assigned to it. There is at
// most one at a time for a suspect, so that it runs on one endpoint at a time. Permits is safe for
// concurrent use.
type Permits struct {
	mu   sync.Mutex
	held map[Fingerprint]permit // guarded by mu
}

type permit struct {
	holder string    // instance
	until  time.Time // when it expires, in case its holder fails
}

// NewPermits returns Permits of which none is held.
func NewPermits() *Permits { return &Permits{held: make(map[Fingerprint]permit)} }

// Acquire issues the permit for a request to the instance holder, valid until the given time. It
// returns false if the permit is held already, also by the same instance.
func (p *Permits) Acquire(f Fingerprint, holder string, until, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, held := p.held[f]; held && now.Before(h.until) {
		return false
	}
	p.held[f] = permit{holder, until}
	return true
}

// Release shortens the permit of an instance to end at the given time, unless it expires earlier.
func (p *Permits) Release(f Fingerprint, holder string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.held[f]; h.holder == holder && at.Before(h.until) {
		p.held[f] = permit{holder, at}
	}
}

// Expire removes expired permits.
func (p *Permits) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f, h := range p.held {
		if !now.Before(h.until) {
			delete(p.held, f)
		}
	}
}
