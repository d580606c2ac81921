package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	Stop         Kind = "stop"           // an instance gets SIGTERM and starts again
	Kill         Kind = "kill"           // an instance is killed and starts again
	Pause        Kind = "pause"          // an instance stands still
	StoreDown    Kind = "store-down"     // the store answers nobody
	StoreRefuses Kind = "store-refuses"  // the store turns an instance away
	StoreSlow    Kind = "store-slow"     // the store takes long
	StoreLoses   Kind = "store-loses"    // writes of an instance are done late and not answered
	StoreForgets Kind = "store-forgets"  // the store drops its history
	StoreSilent  Kind = "store-silent"   // watches of an instance report nothing
	CloudDown    Kind = "cloud-down"     // the cloud refuses all calls
	Configure    Kind = "configure"      // a new version of the configuration
	Revoke       Kind = "revoke"         // a key is taken away
	Leave        Kind = "leave"          // an endpoint leaves and another one starts
	LeaveQuietly Kind = "leave-quietly"  // an endpoint says that it leaves in its answers alone
	Rest         Kind = "rest"           // an endpoint refuses work and asks for rest
	Limit        Kind = "limit"          // an endpoint names a rate limit, which changes
	Refuse       Kind = "refuse"         // an endpoint refuses part of its requests
	Fail         Kind = "fail"           // an endpoint, or all of a service, fail most of their requests
	Hang         Kind = "hang"           // an endpoint does not answer
	LoseAnswers  Kind = "lose-answers"   // an endpoint breaks off part of its answers
	Crash        Kind = "crash"          // an endpoint ends, and another one starts
	Deadly       Kind = "deadly"         // a request comes again and again under which endpoints end
	GiveUp       Kind = "give-up"        // callers leave before their answer
	Burst        Kind = "burst"          // several times the requests
	LinkSlow     Kind = "link-slow"      // a link to an endpoint or the store delays and throttles
	LinkReset    Kind = "link-reset"     // its connections are reset, and new ones refused
	LinkSilent   Kind = "link-silent"    // it carries nothing one way
	Restored     Kind = "store-restored" // the store is away, and comes back from an older copy
)

// Kinds are all kinds of faults.
var Kinds = []Kind{
	Stop, Kill, Pause, StoreDown, StoreRefuses, StoreSlow, StoreLoses, StoreForgets, StoreSilent, CloudDown, Configure, Revoke,
	Leave, LeaveQuietly, Rest, Limit, Refuse, Fail, Hang, LoseAnswers, Crash, Deadly, GiveUp, Burst, LinkSlow, LinkReset, LinkSilent, Restored,
}

// Action is one fault of a run. Times are since the start of the traffic.
type Action struct {
	Kind   Kind          `json:"kind"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
	Target uint64        `json:"target"` // draws what it strikes
}

// String returns the action with its time.
func (a Action) String() string {
	return fmt.Sprintf("%6.2f s %s for %s (%d)", a.At.Seconds(), a.Kind, a.For.Round(time.Millisecond), a.Target%1000)
}

// Times between which faults strike.
const firstFault = 3 * time.Second

// Schedule draws the faults of a run, in the order of time. Kinds are drawn apart from each
// other, so that leaving one out does not change the others.
func Schedule(s Scenario, seed uint64) []Action {
	var out []Action
	last := time.Duration(s.Seconds-quietEnd) * time.Second
	for _, f := range s.Faults {
		rnd := rand.New(rand.NewPCG(seed, uint64(slices.Index(Kinds, f.Kind))))
		for at := firstFault; ; {
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
