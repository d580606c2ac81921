package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func TestRemovingANameMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	count := make(map[string]int)
	for key := range uint64(5000) {
		owner := Best(key, names)
		count[owner]++
		if now := Best(key, names[:4]); owner != "e" {
			is.Equal(now, owner)
		}
	}
	for _, name := range names {
		is.True(count[name] > 850 && count[name] < 1150) // even, also for neighbouring hashes
	}
	is.Equal(fmt.Sprint(Best(7, names)), Best(7, []string{"e", "d", "c", "b", "a"}))
}

func TestTheOrderStaysWhenANameGoes(t *testing.T) {
	is := is.New(t)
	names := []string{"h1", "h2", "h3", "h4"}
	first := Order(77, names)
	is.Equal(first, Order(77, []string{"h3", "h1", "h2", "h4"}))
	is.Equal(first[0], Best(77, names))
	for _, gone := range names { // removing a name moves only its own keys
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
