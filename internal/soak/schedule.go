package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault. Its value is the name in scenario files and reports.
type Kind string

// The kinds of faults.
const (
	Stop              Kind = "stop"           // an instance is stopped with SIGTERM and restarted
	Kill              Kind = "kill"           // an instance is killed and restarted
	Pause             Kind = "pause"          // an instance's process is suspended
	StoreDown         Kind = "store-down"     // the store is unavailable to all
	StoreRefuses      Kind = "store-refuses"  // the store rejects the requests of an instance as busy
	StoreSlow         Kind = "store-slow"     // the store responds slowly
	StoreLosesAnswers Kind = "store-loses"    // the next writes of an instance take effect late and get no response
	StoreCompacts     Kind = "store-forgets"  // the store compacts its history
	StoreSilent       Kind = "store-silent"   // watches of an instance deliver no events
	CloudDown         Kind = "cloud-down"     // the cloud API fails all calls
	Configure         Kind = "configure"      // the operator writes a new version of the configuration
	Revoke            Kind = "revoke"         // the operator revokes a key of a client account
	Leave             Kind = "leave"          // an endpoint leaves and is replaced
	LeaveQuietly      Kind = "leave-quietly"  // as Leave, but announced only in the endpoint's responses
	Backoff           Kind = "rest"           // an endpoint refuses all requests and requests a backoff
	Limit             Kind = "limit"          // an endpoint announces a rate limit, and changes it
	Refuse            Kind = "refuse"         // an endpoint refuses some requests
	Fail              Kind = "fail"           // one endpoint or all of a service fail most requests
	Hang              Kind = "hang"           // an endpoint does not respond
	LoseAnswers       Kind = "lose-answers"   // an endpoint cuts off some responses
	Crash             Kind = "crash"          // an endpoint crashes and is replaced
	Deadly            Kind = "deadly"         // a request that crashes endpoints is sent repeatedly
	DeadlyPart        Kind = "deadly-part"    // new requests with one part of their prompt crash endpoints
	GiveUp            Kind = "give-up"        // some callers cancel their requests
	Burst             Kind = "burst"          // the request rate multiplies
	LinkSlow          Kind = "link-slow"      // a link to an endpoint or the store is delayed and throttled
	LinkReset         Kind = "link-reset"     // the connections of a link are reset, and new ones refused
	LinkSilent        Kind = "link-silent"    // a link forwards nothing in one direction
	StoreRestored     Kind = "store-restored" // the store is unavailable, then restored from a backup
	Partition         Kind = "partition"      // some or nearly all instances lose their paths to all endpoints
	Release           Kind = "release"        // engines are replaced by others of a later or an earlier software version
	End               Kind = "end"            // an endpoint's process ends, and another one starts, at times at the same address
	KillAll           Kind = "kill-all"       // all instances are killed at once and restarted, at times twice
	Garble            Kind = "garble"         // an endpoint sends bytes that belong to no request after some whole responses
	Overload          Kind = "overload"       // one client account or all send more long requests than the engines can serve
)

// Kinds lists all kinds of faults. Schedule seeds a kind's generator with its position here.
var Kinds = []Kind{
	Stop, Kill, Pause, StoreDown, StoreRefuses, StoreSlow, StoreLosesAnswers, StoreCompacts, StoreSilent, CloudDown, Configure, Revoke,
	Leave, LeaveQuietly, Backoff, Limit, Refuse, Fail, Hang, LoseAnswers, Crash, Deadly, GiveUp, Burst, LinkSlow, LinkReset, LinkSilent, StoreRestored, Overload, Partition, DeadlyPart, Release, End, KillAll, Garble,
}

// Action is one scheduled fault. At counts from the start of the traffic.
type Action struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target uint64        `json:"target"` // random number that selects the instance, endpoint or other target
}

// String formats the action with its time and duration, and the last three digits of its target.
func (a Action) String() string {
	return fmt.Sprintf("%6.2f s %s for %s (%d)", a.At.Seconds(), a.Kind, a.For.Round(time.Millisecond), a.Target%1000)
}

// earliestFault is the time before which no fault is injected.
const earliestFault = 3 * time.Second

// Schedule draws the faults of a run from the seed, ordered by time. Each kind has its own random
// generator, so that excluding one kind does not change the faults of the others.
func Schedule(s Scenario, seed uint64) []Action {
	var out []Action
	last := time.Duration(s.Seconds-faultFreeTail) * time.Second
	for _, f := range s.Faults {
		rnd := rand.New(rand.NewPCG(seed, uint64(slices.Index(Kinds, f.Kind))))
		for at := earliestFault; ; {
			at += time.Duration(rnd.ExpFloat64() * f.EveryS * float64(time.Second))
			length := time.Duration((0.3 + 1.4*rnd.Float64()) * f.ForS * float64(time.Second))
			target := rnd.Uint64()
			if at+length >= last {
				break
			}
			out = append(out, Action{f.Kind, at, length, target})
		}
	}
	slices.SortStableFunc(out, func(a, b Action) int { return cmp.Compare(a.At, b.At) })
	return out
}
