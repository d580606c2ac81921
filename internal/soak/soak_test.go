package soak

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

func TestASeedDrawsTheSameFaults(t *testing.T) {
	is := is.New(t)
	s, err := Default()
	is.NoErr(err)
	is.Equal(Schedule(s, 7), Schedule(s, 7))
	is.True(!slices.Equal(Schedule(s, 7), Schedule(s, 8)))
}

func TestLeavingAKindOutDoesNotChangeTheOthers(t *testing.T) {
	is := is.New(t)
	s, err := Default()
	is.NoErr(err)
	all := Schedule(s, 7)
	s.Select(nil, []Kind{Pause})
	is.Equal(Schedule(s, 7), slices.DeleteFunc(all, func(a Action) bool { return a.Kind == Pause }))
	s.Select([]Kind{Kill, Stop}, nil)
	for _, a := range Schedule(s, 7) {
		is.True(a.Kind == Kill || a.Kind == Stop)
	}
}

func TestFaultsEndBeforeTheRun(t *testing.T) {
	is := is.New(t)
	s, err := Default()
	is.NoErr(err)
	for seed := range uint64(100) {
		for _, a := range Schedule(s, seed) {
			is.True(a.At >= earliestFault && a.At+a.For < time.Duration(s.Seconds-faultFreeTail)*time.Second)
		}
	}
}

func TestEachKindIsDrawnByDefault(t *testing.T) {
	is := is.New(t)
	s, err := Default()
	is.NoErr(err)
	drawn := make(map[Kind]bool)
	for seed := range uint64(50) {
		for _, a := range Schedule(s, seed) {
			drawn[a.Kind] = true
		}
	}
	is.Equal(len(drawn), len(Kinds))
}

func TestInvalidScenariosAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"", "seconds = 60", "seconds = 10\ninstances = 3\nhalls = 1\nengines = 1\nservices = 1\nrate = 1.0", "seconds = 'x'",
		"seconds = 60\ninstances = 3\nhalls = 1\nengines = 1\nservices = 1\nrate = 1.0\n[[faults]]\nkind = 'rain'\nevery_s = 1.0",
		"seconds = 60\ninstances = 3\nhalls = 1\nengines = 1\nservices = 1\nrate = 1.0\n[[faults]]\nkind = 'kill'\nevery_s = 0.0",
	} {
		_, err := Parse([]byte(text))
		is.True(errors.Is(err, ErrScenario)) // text
	}
}

func TestTheLogOfAnEarlierRunIsNotRead(t *testing.T) {
	is := is.New(t)
	i := &instance{name: "n", dir: t.TempDir(), record: &recorder{}}
	is.NoErr(os.WriteFile(i.logFile(), []byte(invariantEvent+"\n"), 0o600))
	is.NoErr(i.removeLog())
	is.NoErr(i.recordInvariantViolations())
	is.Equal(len(i.record.history.Exits), 0)
	is.NoErr(i.removeLog()) // a missing log is no error
}

func TestAViolationIsExplained(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log := filepath.Join(dir, "n.log")
	is.NoErr(os.WriteFile(log, []byte("one\n{\"request\":\"q000007\"}\n"), 0o600))
	began := time.Now()
	r := &Report{
		Began: began, Logs: map[string]string{"n": log, "none": filepath.Join(dir, "none.log")},
		Actions:    []Action{{Kind: Kill, At: 4 * time.Second}, {Kind: Pause, At: 40 * time.Second}},
		Violations: []check.Violation{{Rule: "TWICE", At: began.Add(5 * time.Second), Text: "q000007 ran 2 times"}},
	}
	var out bytes.Buffer
	is.NoErr(Explain(&out, r))
	is.True(strings.Contains(out.String(), "5.00 s TWICE: q000007 ran 2 times"))
	is.True(strings.Contains(out.String(), "kill"))
	is.True(!strings.Contains(out.String(), "pause"))
	is.True(strings.Contains(out.String(), `n {"request":"q000007"}`))
	for _, name := range []string{"plot.png", "plot.svg"} {
		is.NoErr(Plot(filepath.Join(dir, name), r))
	}
}
