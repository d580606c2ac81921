package quarantine

import (
	"sync"
	"time"
)

// Permits are given by the instance that a suspect belongs to, one at a time for each, so
// that it runs at one place at a time.
type Permits struct {
	mu   sync.Mutex
	held map[Fingerprint]permit // guarded by mu
}

type permit struct {
	holder string    // instance
	until  time.Time // when it lapses: its holder may be gone
}

// NewPermits returns permits of which none is held.
func NewPermits() *Permits { return &Permits{held: make(map[Fingerprint]permit)} }

// Acquire gives an instance the permit for a request until a time, unless it is held.
func (p *Permits) Acquire(f Fingerprint, holder string, until, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, held := p.held[f]; held && now.Before(h.until) {
		return false
	}
	p.held[f] = permit{holder, until}
	return true
}

// Release ends an instance's permit at a time, unless it lapses before.
func (p *Permits) Release(f Fingerprint, holder string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.held[f]; h.holder == holder && at.Before(h.until) {
		p.held[f] = permit{holder, at}
	}
}

// Expire drops permits that have lapsed.
func (p *Permits) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f, h := range p.held {
		if !now.Before(h.until) {
			delete(p.held, f)
		}
	}
}
