// Package soak runs real front instances against stand-ins of the platform, strikes them with
// overlapping faults, and checks every rule on what callers, endpoints, the store and the
// cloud saw.
//
// Instances are processes of this program on loopback addresses; the stand-ins and the callers
// run in the process of the soak, so that all times are of one clock. A seed draws the same
// faults at the same moments; what the processes make of them may differ.
package soak

import (
	_ "embed"
	"errors"
	"fmt"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Scenario says what a run plays.
type Scenario struct {
	Seconds   int         `toml:"seconds" json:"seconds"`
	Instances int         `toml:"instances" json:"instances"`
	Halls     int         `toml:"halls" json:"halls"`
	Engines   int         `toml:"engines" json:"engines"`   // endpoints that answer with streams
	Services  int         `toml:"services" json:"services"` // endpoints of short calls
	Rate      float64     `toml:"rate" json:"rate"`         // requests a second
	Faults    []FaultRate `toml:"faults" json:"-"`
}

// FaultRate is how often and for how long a kind of fault strikes.
type FaultRate struct {
	Kind   Kind    `toml:"kind"`
	EveryS float64 `toml:"every_s"` // mean time between two of them
	ForS   float64 `toml:"for_s"`   // mean length; 0 where the kind has none
}

//go:embed default.toml
var defaultScenario []byte

// Default returns the scenario that is played where no other one is given.
func Default() (Scenario, error) { return Parse(defaultScenario) }

// ErrScenario says that a scenario can't be played.
var ErrScenario = errors.New("invalid scenario")

// Parse reads a scenario.
func Parse(text []byte) (Scenario, error) {
	var s Scenario
	if err := toml.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	return s, s.check()
}

const (
	mostInstances = 200
	quietEnd      = 15 // seconds without faults at the end of a run
)

func (s *Scenario) check() error {
	switch {
	case s.Seconds <= quietEnd:
		return fmt.Errorf("%w: it has to take more than %d s", ErrScenario, quietEnd)
	case s.Instances < 1 || s.Instances > mostInstances:
		return fmt.Errorf("%w: 1 to %d instances", ErrScenario, mostInstances)
	case s.Halls < 1 || s.Engines < 1 || s.Services < 1 || s.Rate <= 0:
		return fmt.Errorf("%w: it needs a hall, endpoints of both kinds and requests", ErrScenario)
	}
	for _, f := range s.Faults {
		if !slices.Contains(Kinds, f.Kind) || f.EveryS <= 0 || f.ForS < 0 {
			return fmt.Errorf("%w: fault %q each %v s for %v s", ErrScenario, f.Kind, f.EveryS, f.ForS)
		}
	}
	return nil
}

// Select keeps some kinds of faults: those in only, or all if that is empty, without those in
// without.
func (s *Scenario) Select(only, without []Kind) {
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f FaultRate) bool {
		return len(only) > 0 && !slices.Contains(only, f.Kind) || slices.Contains(without, f.Kind)
	})
}
