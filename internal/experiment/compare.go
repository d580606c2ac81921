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

// Play is one day with a seed at a site.
type Play struct {
	Site string // path of the site's sheet
	Day  string // name of a standard day, or path of one of one's own
	Seed int64
}

// String names the play.
func (p Play) String() string {
	return fmt.Sprintf("%s %s seed %d", sheetName(p.Site), sheetName(p.Day), p.Seed)
}

// PlayResult is what both versions earned in a play: shares of the credit, after
// prices.
type PlayResult struct {
	Play
	Before, After float64
}

// Summary tells how the second version differs from the first over several plays.
type Summary struct {
	Plays         int
	Before, After float64 // means
	Spread        float64 // standard deviation of the differences
	Error         float64 // standard error of their mean
}

// CompareOptions say what is played. The days are played by an outside bench, which
// builds the version in whose folder it is started and prints a table with a line
// for each day.
type CompareOptions struct {
	Bench         string // path of the bench
	Before, After string // folders of the two versions
	Plays         []Play
	Parallel      int    // plays at the same time; each takes two runs, one after the other
	Why           string // noted with each run
}

// ErrNoLine says that a run printed no figure for its day.
var ErrNoLine = errors.New("the bench printed no line for the day")

// Compare plays the same days and seeds with two versions of the product and calls
// told with each result, one at a time. A single day says little: its figure moves
// by some hundredths from run to run. Both versions of a play run one after the
// other, so that they meet about the same load. It goes on after failed plays and
// returns their errors together.
func Compare(ctx context.Context, o CompareOptions, told func(PlayResult)) error {
	var (
		mu   sync.Mutex // guards errs and told
		errs []error
		wait sync.WaitGroup
	)
	slots := make(chan struct{}, max(1, o.Parallel))
	for _, p := range o.Plays {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := playBoth(ctx, o, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				errs = append(errs, err)
				return
			}
			told(r)
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func playBoth(ctx context.Context, o CompareOptions, p Play) (PlayResult, error) {
	r := PlayResult{Play: p}
	var err error
	if r.Before, err = playOne(ctx, o, o.Before, p); err != nil {
		return r, err
	}
	r.After, err = playOne(ctx, o, o.After, p)
	return r, err
}

// playOne plays a day with the version in a folder.
func playOne(ctx context.Context, o CompareOptions, folder string, p Play) (float64, error) {
	args := []string{"run", p.Site, p.Day, "--seed", strconv.FormatInt(p.Seed, 10), "--jobs", "1", "--why", o.Why}
	run := exec.CommandContext(ctx, o.Bench, args...)
	run.Dir = folder
	out, runErr := run.CombinedOutput()
	worth, err := Worth(out, sheetName(p.Day))
	if err != nil {
		return 0, fmt.Errorf("%s in %s: %w", p, folder, errors.Join(err, runErr))
	}
	return worth, nil
}

// Columns of a line of the bench's table.
const (
	columnSizes = 1 // instances and endpoints, as 7/22
	columnWorth = 3
)

// Worth finds what a day earned in the bench's output.
func Worth(out []byte, day string) (float64, error) {
	lines := bufio.NewScanner(bytes.NewReader(out))
	for lines.Scan() {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnWorth || columns[0] != day || !strings.Contains(columns[columnSizes], "/") {
			continue
		}
		worth, err := strconv.ParseFloat(columns[columnWorth], 64)
		if err != nil {
			return 0, fmt.Errorf("read the worth of %s: %w", day, err)
		}
		return worth, nil
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read the bench's output: %w", err)
	}
	return 0, ErrNoLine
}

// Summarize returns the summary of results; the zero one without any.
func Summarize(results []PlayResult) Summary {
	n := float64(len(results))
	if n == 0 {
		return Summary{}
	}
	s := Summary{
		Plays:  len(results),
		Before: lo.SumBy(results, func(r PlayResult) float64 { return r.Before }) / n,
		After:  lo.SumBy(results, func(r PlayResult) float64 { return r.After }) / n,
	}
	if len(results) == 1 {
		return s
	}
	mean := s.After - s.Before
	squares := lo.SumBy(results, func(r PlayResult) float64 { return math.Pow(r.After-r.Before-mean, 2) })
	s.Spread = math.Sqrt(squares / (n - 1))
	s.Error = s.Spread / math.Sqrt(n)
	return s
}

func sheetName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }
