package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
)

// anyInstance stands for all instances: a call does not name its sender.
const anyInstance = ""

// rateLimitContact is how long after an endpoint named a limit all instances keep to it.
const rateLimitContact = 3 * time.Second

// rateLimits are the limits that endpoints name in their answers, and what reached them.
type rateLimits struct {
	named   map[string]float64 // calls a second, by endpoint
	checker *check.RateLimits
}

func newRateLimits() rateLimits {
	return rateLimits{named: make(map[string]float64), checker: check.NewRateLimits(rateLimitContact)}
}

// announce names the limit of an endpoint in an answer.
func (l *rateLimits) announce(id string, h http.Header, now time.Time) {
	if rate, limited := l.named[id]; limited {
		h.Set(endpoint.RateLimitHeader, strconv.FormatFloat(rate, 'f', -1, 64))
		l.checker.Passed(id, anyInstance, now)
	}
}

// NameRateLimit makes an endpoint name a limit, in calls a second, from now on.
func (w *World) NameRateLimit(id string, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits.named[id] = rate
	w.limits.checker.Named(id, rate, time.Now())
}

// LiftRateLimit makes an endpoint name no limit any more.
func (w *World) LiftRateLimit(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.limits.named, id)
	w.limits.checker.Lifted(id, time.Now())
}

// RateLimitViolations returns the endpoints that got more than they accept.
func (w *World) RateLimitViolations() []check.Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.checker.Violations()
}
