// Package rendezvous assigns things to names by highest random weight: all that
// know the same names choose the same, and when a name goes only what belonged
// to it moves. The package is pure.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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

// Best returns the name that has a thing, "" if there are no names.
func Best(thing uint64, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return compare(thing, a, b) })
}

// Order returns the names in the order in which a thing belongs to them.
func Order(thing uint64, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int { return compare(thing, a, b) })
	return ordered
}

// compare orders the name with the higher score first.
func compare(thing uint64, a, b string) int {
	return cmp.Or(cmp.Compare(Score(thing, b), Score(thing, a)), cmp.Compare(a, b))
}
