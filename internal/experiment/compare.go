package experiment

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/samber/lo"
)

// Case is one day of the external bench program, run with one seed at one site.
type Case struct {
	Site string // path of the site description
	Day  string // name of a standard day, or path of a day description
	Seed int64
}

// String returns the names of the site and the day, and the seed.
func (c Case) String() string {
	return fmt.Sprintf("%s %s seed %d", baseName(c.Site), baseName(c.Day), c.Seed)
}

// CaseResult holds the worth of both versions in a case, as the bench program
// reports it: the share of the credit earned, after prices.
type CaseResult struct {
	Case
	Before, After float64
}

// Summary describes the difference between two versions over several cases.
type Summary struct {
	Cases         int
	Before, After float64 // means
	Spread        float64 // standard deviation of the differences
	Error         float64 // standard error of the mean difference
}

// CompareOptions configures a comparison of two versions. An external bench
// program runs the days: it builds the version in the directory that it is started
// in, and prints a table with a line for each day.
type CompareOptions struct {
	Bench         string // path of the bench program
	Before, After string // directories of the two versions
	Cases         []Case
	Parallel      int    // number of concurrent cases; the two runs of a case are sequential
	Reason        string // reason recorded by the bench program with each run
}

// ErrNoResult means that the output of a run has no line for its day.
var ErrNoResult = errors.New("the bench program printed no result for the day")

// Compare runs the same cases with two versions of the product and calls onResult
// with each result, one at a time. A single case is not conclusive: its result
// varies by some hundredths between runs. Both versions of a case run one after
// the other, so that the load on the host is about the same for both. Compare
// continues after failed cases and returns their errors joined.
func Compare(ctx context.Context, o CompareOptions, onResult func(CaseResult)) error {
	var (
		mu   sync.Mutex // guards errs and calls of onResult
		errs []error
		wait sync.WaitGroup
	)
	slots := make(chan struct{}, max(1, o.Parallel))
	for _, p := range o.Cases {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := runBothVersions(ctx, o, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			onResult(r)
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func runBothVersions(ctx context.Context, o CompareOptions, p Case) (CaseResult, error) {
	r := CaseResult{Case: p}
	var err error
	if r.Before, err = runVersion(ctx, o, o.Before, p); err != nil {
		return r, err
	}
	r.After, err = runVersion(ctx, o, o.After, p)
	return r, err
}

// runVersion runs a case with the version in dir and returns its worth.
func runVersion(ctx context.Context, o CompareOptions, dir string, p Case) (float64, error) {
	args := []string{"run", p.Site, p.Day, "--seed", strconv.FormatInt(p.Seed, 10), "--jobs", "1", "--why", o.Reason}
	run := exec.CommandContext(ctx, o.Bench, args...)
	run.Dir = dir
	out, runErr := run.CombinedOutput()
	worth, err := ParseWorth(out, baseName(p.Day))
	if err != nil {
		return 0, fmt.Errorf("%s in %s: %w", p, dir, errors.Join(err, runErr))
	}
	return worth, nil
}

// Column indexes in a line of the bench program's table.
const (
	columnSizes = 1 // numbers of instances and endpoints, such as 7/22
	columnWorth = 3
)

// ParseWorth returns the worth of a day from the bench program's output, or
// ErrNoResult if the output has no line for the day.
func ParseWorth(out []byte, day string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnWorth || columns[0] != day || !strings.Contains(columns[columnSizes], "/") {
			continue
		}
		worth, err := strconv.ParseFloat(columns[columnWorth], 64)
		if err != nil {
			return 0, fmt.Errorf("parse the worth of %s: %w", day, err)
		}
		return worth, nil
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read the bench program's output: %w", err)
	}
	return 0, ErrNoResult
}

// Summarize returns the summary of results. Without results it is the zero
// Summary; Spread and Error need at least two.
func Summarize(results []CaseResult) Summary {
	n := float64(len(results))
	if n == 0 {
		return Summary{}
	}
	s := Summary{
		Cases:  len(results),
		Before: lo.SumBy(results, func(r CaseResult) float64 { return r.Before }) / n,
		After:  lo.SumBy(results, func(r CaseResult) float64 { return r.After }) / n,
	}
	if len(results) == 1 {
		return s
	}
	mean := s.After - s.Before
	squares := lo.SumBy(results, func(r CaseResult) float64 { return math.Pow(r.After-r.Before-mean, 2) })
	s.Spread = math.Sqrt(squares / (n - 1))
	s.Error = s.Spread / math.Sqrt(n)
	return s
}

// baseName returns the name of a description without directory and extension.
func baseName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }
