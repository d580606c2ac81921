package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const benchTable = `built in 5.5 s
day                  own/srv  score  worth served refused failed  weakest part
trouble-1              77/65   0.81  0.474  0.911   0.004  0.016  worst windows 0.46
worth 0.474 = whole day 0.911
`

func TestParseWorth(t *testing.T) {
	is := is.New(t)
	worth, err := ParseWorth([]byte(benchTable), "trouble-1")
	is.NoErr(err)
	is.Equal(worth, 0.474)
	_, err = ParseWorth([]byte(benchTable), "trouble-2")
	is.True(errors.Is(err, ErrNoResult))
	_, err = ParseWorth([]byte("trouble-1 7/22 1.0 none"), "trouble-1")
	is.True(err != nil)
}

func TestSummarize(t *testing.T) {
	is := is.New(t)
	is.Equal(Summarize(nil), Summary{})
	s := Summarize([]CaseResult{{Before: 0.5, After: 0.52}, {Before: 0.4, After: 0.44}})
	is.Equal(s.Cases, 2)
	is.True(math.Abs(s.Before-0.45) < 1e-9)
	is.True(math.Abs(s.After-0.48) < 1e-9)
	is.True(math.Abs(s.Spread-0.01414) < 1e-4)
	is.True(math.Abs(s.Error-0.01) < 1e-4)
	is.Equal(Summarize([]CaseResult{{Before: 0.5, After: 0.6}}).Spread, 0.0) // a single case has no spread
}

// The bench program is a script that reports the worth written in a file in the
// version's directory, and fails without that file.
func TestCompareRunsBothVersions(t *testing.T) {
	is := is.New(t)
	bench := filepath.Join(t.TempDir(), "bench")
	script := "#!/bin/sh\n[ -f worth ] || exit 3\necho \"quiet-1 7/22 1.00 $(cat worth) 0.9\"\n"
	is.NoErr(os.WriteFile(bench, []byte(script), 0o755))
	folder := func(worth string) string {
		dir := t.TempDir()
		if worth != "" {
			is.NoErr(os.WriteFile(filepath.Join(dir, "worth"), []byte(worth), 0o644))
		}
		return dir
	}
	o := CompareOptions{Bench: bench, Before: folder("0.5"), After: folder("0.6"), Parallel: 2}
	for seed := range int64(5) {
		o.Cases = append(o.Cases, Case{"a/site.toml", "quiet-1", seed})
	}
	var got []CaseResult
	is.NoErr(Compare(context.Background(), o, func(r CaseResult) { got = append(got, r) }))
	is.Equal(len(got), 5)
	is.Equal(fmt.Sprintf("%.1f %.1f", got[0].Before, got[0].After), "0.5 0.6")
	is.Equal(got[0].Case.String()[:13], "site quiet-1 ")

	o.After = folder("") // its runs print nothing
	err := Compare(context.Background(), o, func(CaseResult) { t.Error("got a result from a run that printed none") })
	is.True(errors.Is(err, ErrNoResult))
}
