// Package soak implements the soak test: it runs real front instances against a simulated platform,
// injects overlapping faults, and checks every rule on the events observed by callers, endpoints,
// the store and the cloud.
//
// Instances are processes of this program on loopback addresses. The simulated platform and the
// callers run in the process of the soak test, so that all timestamps come from one clock. A seed
// determines which faults are injected and when; the timing inside the processes still varies.
package soak

import (
	_ "embed"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Scenario configures the size of the deployment, the traffic and the faults of a run.
type Scenario struct {
	Seconds   int         `toml:"seconds" json:"seconds"`
	Instances int         `toml:"instances" json:"instances"`
	Halls     int         `toml:"halls" json:"halls"`
	Engines   int         `toml:"engines" json:"engines"`   // endpoints that respond with streams
	Services  int         `toml:"services" json:"services"` // endpoints that respond without streams
	Slots     int         `toml:"slots" json:"slots"`       // of each endpoint; defaultSlots if absent
	Rate      float64     `toml:"rate" json:"rate"`         // requests per second
	Streams   Streams     `toml:"streams" json:"streams"`
	Faults    []FaultRate `toml:"faults" json:"-"`
}

// Streams configures the streams of a run. The zero value is that of a service with one software version,
// whose endpoints send short streams, one event a write.
type Streams struct {
	Versions   int     `toml:"versions" json:"versions"`       // of the engines' software at the start; 1 if absent
	MeanEvents int     `toml:"mean_events" json:"mean_events"` // of a stream; minEvents to maxEvents-1 if absent
	TimeoutS   float64 `toml:"timeout_s" json:"timeout_s"`     // of the routes; defaultStreamTimeout if absent
	TakeUps    int     `toml:"take_ups" json:"take_ups"`       // answered attempts to take a broken stream up; defaultTakeUps if absent
	Varied     bool    `toml:"varied" json:"varied"`           // framing, writes and format of streams vary
}

// FaultRate is how often a kind of fault is injected and how long it lasts.
type FaultRate struct {
	Kind   Kind    `toml:"kind"`
	EveryS float64 `toml:"every_s"` // mean time between two injections
	ForS   float64 `toml:"for_s"`   // mean duration; 0 for kinds without one
}

//go:embed default.toml
var defaultScenario []byte

// Default returns the built-in scenario.
func Default() (Scenario, error) { return Parse(defaultScenario) }

// ErrScenario is returned for an invalid scenario.
var ErrScenario = errors.New("invalid scenario")

// Parse decodes and validates a scenario in TOML.
func Parse(text []byte) (Scenario, error) {
	s := Scenario{Slots: defaultSlots}
	if err := toml.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return s, s.check()
}

const (
	maxInstances  = 200
	defaultSlots  = 16
	faultFreeTail = 15 // seconds without faults at the end of a run, in which the system recovers
)

func (s *Scenario) check() error {
	switch {
	case s.Seconds <= faultFreeTail:
		return fmt.Errorf("%w: seconds must be greater than %d", ErrScenario, faultFreeTail)
	case s.Instances < 1 || s.Instances > maxInstances:
		return fmt.Errorf("%w: instances must be between 1 and %d", ErrScenario, maxInstances)
	case s.Halls < 1 || s.Engines < 1 || s.Services < 1 || s.Slots < 1 || s.Rate <= 0:
		return fmt.Errorf("%w: halls, engines, services, slots and rate must be positive", ErrScenario)
	}
	if s.Streams.Versions < 0 || s.Streams.MeanEvents < 0 || s.Streams.TakeUps < 0 || s.Streams.TimeoutS < 0 {
		return fmt.Errorf("%w: versions, mean_events, take_ups and timeout_s must not be negative", ErrScenario)
	}
	for _, f := range s.Faults {
		if !slices.Contains(Kinds, f.Kind) || f.EveryS <= 0 || f.ForS < 0 {
			return fmt.Errorf("%w: fault %q with every_s = %v, for_s = %v: need a known kind, every_s > 0 and for_s >= 0", ErrScenario, f.Kind, f.EveryS, f.ForS)
		}
	}
	return nil
}

// Select filters the faults by kind. It keeps the kinds in only, or all kinds if only is empty, and
// then removes the kinds in without.
func (s *Scenario) Select(only, without []Kind) {
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f FaultRate) bool {
		return len(only) > 0 && !slices.Contains(only, f.Kind) || slices.Contains(without, f.Kind)
	})
}
