package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
)

// anyInstance is the instance name given to the checker, since calls do not identify their sender.
const anyInstance = ""

// rateLimitDelay is how long after an endpoint advertised a limit all instances must keep to it.
const rateLimitDelay = 3 * time.Second

// rateLimits holds the rate limits that endpoints advertise in their answers, and the checker that
// verifies that callers keep to them.
type rateLimits struct {
	advertised map[string]float64 // calls per second, by endpoint
	checker    *check.RateLimits
}

func newRateLimits() rateLimits {
	return rateLimits{advertised: make(map[string]float64), checker: check.NewRateLimits(rateLimitDelay)}
}

// setHeader sets the rate limit header of an answer, if the endpoint has a limit.
func (l *rateLimits) setHeader(id string, h http.Header, now time.Time) {
	if rate, limited := l.advertised[id]; limited {
		h.Set(endpoint.RateLimitHeader, strconv.FormatFloat(rate, 'f', -1, 64))
		l.checker.Forwarded(id, anyInstance, now)
	}
}

// SetRateLimit makes an endpoint advertise a rate limit, in calls per second, in its answers.
func (w *World) SetRateLimit(id string, rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rateLimits.advertised[id] = rate
	w.rateLimits.checker.Announced(id, rate, time.Now())
}

// ClearRateLimit makes an endpoint stop advertising a rate limit.
func (w *World) ClearRateLimit(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.rateLimits.advertised, id)
	w.rateLimits.checker.Removed(id, time.Now())
}

// RateLimitViolations returns the violations of advertised rate limits.
func (w *World) RateLimitViolations() []check.Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rateLimits.checker.Violations()
}
