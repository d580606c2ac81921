// Package rendezvous implements rendezvous (highest random weight) hashing of keys to names. All
// that know the same names choose the same one for a key, and when a name is removed only its own
// keys move. The package is pure.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a name for the hash of a key. The name with the highest score owns
// the key.
func Score(key uint64, name string) uint64 { return ScoreOf(key, Hash(name)) }

// Hash returns the hash of a name for ScoreOf.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// ScoreOf is Score for the hash of a name, for callers that score many keys with the same names.
func ScoreOf(key, name uint64) uint64 {
	// The finalizer of MurmurHash3: each bit of the input changes half of the output bits on average.
	x := key ^ name
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Best returns the name that owns a key, "" if there are no names.
func Best(key uint64, names []string) string {
	if len(names) == 0 {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int { return compare(key, a, b) })
}

// Order returns the names by descending score for a key: each owns the key if those before it are
// removed.
func Order(key uint64, names []string) []string {
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int { return compare(key, a, b) })
	return ordered
}

// compare orders names by descending score for a key, and by name if the scores are equal.
func compare(key uint64, a, b string) int {
	return cmp.Or(cmp.Compare(Score(key, b), Score(key, a)), cmp.Compare(a, b))
}
