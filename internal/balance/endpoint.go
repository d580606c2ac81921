package balance

import (
	"math"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// Parameters of the estimates of an endpoint.
const (
	failureHalfLife  = 4 * time.Second // of the failure rate; faults last seconds
	failureWeight    = 0.3             // weight of the newest result in the moving average of failures
	ejectAfter       = 3               // consecutive failures that eject an endpoint; they are rare by chance alone
	firstEjection    = 500 * time.Millisecond
	maxEjection      = 4 * time.Second  // ejections double up to this; longer ones would leave out endpoints that have recovered
	slowdownWeight   = 0.15             // weight of the newest response time in the moving average of the slowdown
	minSlowdown      = 0.7              // response times count as no less than this fraction of the expected time,
	maxSlowdown      = 8                // and as no more than this multiple of it
	slowdownHalfLife = 6 * time.Second  // of the slowdown: an endpoint that gets no requests could never show that it has recovered
	prefixTTL        = 20 * time.Second // how long an endpoint is assumed to keep a shared prompt prefix in its cache
	maxPrefixes      = 4096             // prefixes remembered for one endpoint
)

// endpointState is the state kept for one endpoint.
type endpointState struct {
	load                Load                      // of this instance's requests
	placed              Load                      // the part of load whose endpoint a hub chose
	unread              [policy.Priorities]unread // of this instance's requests, by priority level
	slowdown            float64
	slowdownUpdated     time.Time
	own                 ownFactor // used in place of slowdown where the endpoint reports its slowdown
	unprocessed         int       // sum of the requests in unread
	startedAt           time.Time // when the endpoint began with the prompt that it processes, as far as is known
	startSlowdown       float64   // reported then; 0 if none was
	failureRate         float64
	failureUpdated      time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	longPromptAt        time.Time            // when a long prompt was last known to be processed there
	prefixes            map[uint64]time.Time // hash of a shared prefix to the time it was last sent there
}

// slowdownAt returns the factor by which the endpoint is estimated to be slower than usual; 1 is
// usual.
func (s *endpointState) slowdownAt(now time.Time) float64 {
	return 1 + (s.slowdown-1)*math.Exp2(-float64(now.Sub(s.slowdownUpdated))/float64(slowdownHalfLife))
}

func (s *endpointState) failureRateAt(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureUpdated))/float64(failureHalfLife))
}

func (s *endpointState) addPrefix(hash uint64, now time.Time) {
	if len(s.prefixes) >= maxPrefixes {
		for h, at := range s.prefixes {
			if now.Sub(at) > prefixTTL/2 {
				delete(s.prefixes, h)
			}
		}
	}
	if len(s.prefixes) < maxPrefixes {
		s.prefixes[hash] = now
	}
}

func (s *endpointState) record(result Result, now time.Time) {
	failing := s.failureRateAt(now)
	s.failureUpdated = now
	if result == Answered {
		s.failureRate = failing * (1 - failureWeight)
		s.consecutiveFailures = 0
		s.ejectedUntil = time.Time{}
		return
	}
	s.failureRate = failing + failureWeight*(1-failing)
	s.consecutiveFailures++
	if s.consecutiveFailures >= ejectAfter {
		ejection := min(maxEjection, firstEjection<<min(s.consecutiveFailures-ejectAfter, 8))
		s.ejectedUntil = now.Add(ejection)
	}
}
