package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Kind is what an answer says about the rate limit of its endpoint.
type Kind int

// The kinds.
const (
	None    Kind = iota // the endpoint names no limit
	Named               // it names one
	Unknown             // the answer does not say: the limit known before holds
)

// Limit is the rate of requests that an endpoint accepts from all instances together.
// The zero value is no limit.
type Limit struct {
	Kind Kind
	Rate float64 // requests a second, if Kind is Named
}

// Parse reads a limit in requests a second, written as a decimal number. Text that is no
// such number is Unknown.
func Parse(text string) Limit {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case math.IsInf(rate, 1):
		return Limit{Named, math.MaxFloat64}
	case err != nil, math.IsNaN(rate), rate < 0:
		return Limit{Kind: Unknown}
	}
	return Limit{Named, rate}
}

// looserThan reports whether l admits more requests than m. Both are None or Named.
func (l Limit) looserThan(m Limit) bool {
	if m.Kind == None {
		return false
	}
	return l.Kind == None || l.Rate > m.Rate
}
