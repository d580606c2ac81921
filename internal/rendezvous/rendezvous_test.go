package rendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func best(thing uint64, names []string) string {
	top := ""
	for _, name := range names {
		if top == "" || Score(thing, name) > Score(thing, top) {
			top = name
		}
	}
	return top
}

func TestOnlyWhatBelongedToANameMoves(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e"}
	count := make(map[string]int)
	for thing := range uint64(5000) {
		had := best(thing, names)
		count[had]++
		if now := best(thing, names[:4]); had != "e" {
			is.Equal(now, had)
		}
	}
	for _, name := range names {
		is.True(count[name] > 850 && count[name] < 1150) // even, for neighbouring hashes too
	}
	is.Equal(fmt.Sprint(best(7, names)), best(7, []string{"e", "d", "c", "b", "a"}))
}
