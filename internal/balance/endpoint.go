package balance

import (
	"math"
	"time"
)

// What is assumed of a server.
const (
	failureHalfLife = 4 * time.Second // until half of a failure is forgotten; faults last seconds
	failureWeight   = 0.3             // of the newest result
	restAfter       = 3               // failures in a row; chance alone makes them seldom
	restFirst       = 500 * time.Millisecond
	restMost        = 4 * time.Second  // rests double up to this: one that is well again is missed
	slowWeight      = 0.15             // of the newest time
	slowLeast       = 0.7              // times count as no less than this share of what is expected,
	slowMost        = 8                // and as no more than so many times
	slowHalfLife    = 6 * time.Second  // until half of what is assumed of a server's speed is forgotten: one that gets no work would never prove itself
	keepFor         = 20 * time.Second // how long a shared prompt is assumed to be kept
	keepMost        = 4096             // shared prompts remembered for one server
)

// endpointState is what is assumed of one server.
type endpointState struct {
	use       Use // from this node
	slow      float64
	slowAt    time.Time
	failing   float64
	failedAt  time.Time
	inRow     int
	restUntil time.Time
	longAt    time.Time            // when a long prompt was last known to be read there
	keeps     map[uint64]time.Time // hash of shared parts to when they were sent there last
}

// slowNow is how slow the server is assumed to be; 1 is usual.
func (s *endpointState) slowNow(now time.Time) float64 {
	return 1 + (s.slow-1)*math.Exp2(-float64(now.Sub(s.slowAt))/float64(slowHalfLife))
}

func (s *endpointState) failingAt(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp2(-float64(now.Sub(s.failedAt))/float64(failureHalfLife))
}

func (s *endpointState) remember(hash uint64, now time.Time) {
	if len(s.keeps) >= keepMost {
		for h, at := range s.keeps {
			if now.Sub(at) > keepFor/2 {
				delete(s.keeps, h)
			}
		}
	}
	if len(s.keeps) < keepMost {
		s.keeps[hash] = now
	}
}

func (s *endpointState) note(result Result, now time.Time) {
	failing := s.failingAt(now)
	s.failedAt = now
	if result == Answered {
		s.failing = failing * (1 - failureWeight)
		s.inRow = 0
		s.restUntil = time.Time{}
		return
	}
	s.failing = failing + failureWeight*(1-failing)
	s.inRow++
	if s.inRow >= restAfter {
		rest := min(restMost, restFirst<<min(s.inRow-restAfter, 8))
		s.restUntil = now.Add(rest)
	}
}
