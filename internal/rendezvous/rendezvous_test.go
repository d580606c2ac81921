package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestOnlyWhatBelongedToANameMoves(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	count := make(map[string]int)
	for thing := range uint64(5000) {
		had := Best(thing, names)
		count[had]++
		if now := Best(thing, names[:4]); had != "e" {
			is.Equal(now, had)
		}
	}
	for _, name := range names {
		is.True(count[name] > 850 && count[name] < 1150) // even, for neighbouring hashes too
	}
	is.Equal(fmt.Sprint(Best(7, names)), Best(7, []string{"e", "d", "c", "b", "a"}))
}

func TestTheOrderStaysWhenANameGoes(t *testing.T) {
	is := is.New(t)
	names := []string{"h1", "h2", "h3", "h4"}
	first := Order(77, names)
	is.Equal(first, Order(77, []string{"h3", "h1", "h2", "h4"}))
	is.Equal(first[0], Best(77, names))
	for _, gone := range names { // only what belonged to a name that is gone moves
		var rest []string
		for _, name := range first {
			if name != gone {
				rest = append(rest, name)
			}
		}
		is.Equal(Order(77, rest), rest)
	}
	is.Equal(Best(77, nil), "")
}
