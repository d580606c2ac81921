// Package rendezvous assigns things to names by highest random weight: all that
// know the same names choose the same, and when a name goes only what belonged
// to it moves. The package is pure.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the weight of a name for a thing, given by its hash. The name
// with the highest score has the thing.
func Score(thing uint64, name string) uint64 {
	// The finalizer of MurmurHash3: every bit of the input changes half of the output.
	x := thing ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
