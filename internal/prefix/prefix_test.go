package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestChainSharesExactlyTheCommonPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := rapid.IntRange(0, 6).Draw(t, "common")
		text := strings.Repeat("a", common*BlockBytes)
		a := Chain("m", text+strings.Repeat("b", BlockBytes))
		b := Chain("m", text+strings.Repeat("c", 2*BlockBytes))
		for i := range common {
			if a[i] != b[i] {
				t.Fatalf("block %d differs within the common prefix", i)
			}
		}
		if a[common] == b[common] {
			t.Fatalf("block %d is equal after the texts part", common)
		}
	})
}

func TestHeldFindsTheEndOfTheHeldPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := Chain("m", strings.Repeat("x", 20*BlockBytes))
		n := rapid.IntRange(0, 20).Draw(t, "held")
		x := NewIndex(100)
		x.Add(chain[:n]...)
		if got := x.Held(chain); got != n {
			t.Fatalf("held %d, want %d", got, n)
		}
	})
}

func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	x := NewIndex(100)
	for i := range uint64(10_000) {
		x.Add(i)
	}
	is.True(x.Len() <= 100)
	is.Equal(x.Held([]uint64{9_999}), 1) // the newest block stays
	is.Equal(x.Held([]uint64{1}), 0)     // the oldest was dropped
}
