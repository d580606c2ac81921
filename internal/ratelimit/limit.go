package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Kind is what an answer states about the rate limit of its endpoint.
type Kind int

// The kinds.
const (
	Unlimited Kind = iota // the endpoint has no limit
	Limited               // the endpoint has the limit that the answer states
	Unknown               // the answer does not say, or cannot be read: the previous limit stays in force
)

// Limit is the rate of requests that an endpoint accepts from all instances together.
// The zero value is no limit.
type Limit struct {
	Kind Kind
	Rate float64 // requests per second, if Kind is Limited
}

// Parse parses a limit in requests per second, written as a decimal number. For any other text,
// and for negative numbers, it returns Unknown.
func Parse(text string) Limit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case math.IsInf(rate, 1):
		return Limit{Limited, math.MaxFloat64}
	case err != nil, math.IsNaN(rate), rate < 0:
		return Limit{Kind: Unknown}
	}
	return Limit{Limited, rate}
}

// looserThan reports whether l admits more requests than m. Neither may be Unknown.
func (l Limit) looserThan(m Limit) bool {
	if m.Kind == Unlimited {
		return false
	}
	return l.Kind == Unlimited || l.Rate > m.Rate
}
