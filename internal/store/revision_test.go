package store

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		draw := func(name string) (int64, int64, Revision) {
			era, number := rapid.Int64Range(0, 1<<eraBits-1).Draw(t, name+" era"), rapid.Int64Range(0, numberMask).Draw(t, name+" number")
			r, err := NewRevision(era, number)
			is.NoErr(err)
			return era, number, r
		}
		e1, n1, r1 := draw("a")
		e2, n2, r2 := draw("b")
		is.Equal(r1 < r2, e1 < e2 || e1 == e2 && n1 < n2)
		is.Equal(r1.Era(), e1)
		is.Equal(r1.Number(), n1)
		is.Equal(int64(float64(r1)), int64(r1)) // exact as a JSON number
	})
}

func TestARevisionOutOfRangeIsAnError(t *testing.T) {
	for _, bad := range [][2]int64{{-1, 0}, {0, -1}, {1 << eraBits, 0}, {0, numberMask + 1}} {
		if _, err := NewRevision(bad[0], bad[1]); err == nil {
			t.Errorf("era %d, number %d", bad[0], bad[1])
		}
	}
}
