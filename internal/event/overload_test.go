package event

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// recorded is a log line in a test.
type recorded struct {
	code   Code
	fields map[string]any
}

// record returns a function that appends log lines to a slice, which it also returns.
func record() (func(Code, ...zap.Field), *[]recorded) {
	var lines []recorded
	return func(c Code, fields ...zap.Field) {
		line := recorded{c, make(map[string]any)}
		for _, f := range fields {
			line.fields[f.Key] = f.String
		}
		lines = append(lines, line)
	}, &lines
}

// Guards against a line for each request of a service instead of one for each change.
func TestAServiceIsLoggedWhenItsSchedulingChanges(t *testing.T) {
	is := is.New(t)
	write, lines := record()
	l := NewServiceLog(write)
	l.Observe("s", false) // the state that each service begins with
	for range 3 {
		l.Observe("s", true)
	}
	l.Observe("t", false)
	l.Observe("s", false)
	is.Equal(*lines, []recorded{{ServiceScheduled, map[string]any{"service": "s"}}, {ServiceUnscheduled, map[string]any{"service": "s"}}})
}

// Guards against a flood of lines by an account whose demand varies around its share, and against a
// state that is never logged because it changed within the interval.
func TestAnAccountIsLoggedAtMostOncePerSecond(t *testing.T) {
	is := is.New(t)
	write, lines := record()
	l := NewShareLog(write)
	start := time.Unix(1000, 0)
	for i := range 1000 { // 10 s
		l.Observe(Share{Service: "s", Account: "a", Over: i%2 == 0}, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	is.True(len(*lines) >= 9 && len(*lines) <= 10)
	*lines = nil
	now := start.Add(time.Minute)
	l.Observe(Share{Service: "s", Account: "b", Over: true}, now)
	l.Observe(Share{Service: "s", Account: "c", Over: true}, now) // the interval is that of one account
	l.Observe(Share{Service: "t", Account: "b", Over: true}, now) // the same account at another service
	is.Equal(len(*lines), 2)
	l.Observe(Share{Service: "s", Account: "b"}, now.Add(shareLogInterval/2))
	is.Equal(len(*lines), 2)
	l.Observe(Share{Service: "s", Account: "b"}, now.Add(shareLogInterval))
	is.Equal(len(*lines), 3)
	is.Equal((*lines)[2].code, AccountWithinShare)
	is.Equal((*lines)[2].fields["account"], "b")
}

// Guards against two events with one number, or one without an explanation. ProcessResumed and
// SettingsReloaded share the number 106; operators' searches depend on it, so that it stays.
func TestCatalogueNumbersAreUnique(t *testing.T) {
	seen := map[Code]bool{}
	for _, e := range Catalogue {
		if seen[e.Code] && e.Code != ProcessResumed || e.Meaning == "" {
			t.Errorf("event %d is listed twice or has no meaning", e.Code)
		}
		seen[e.Code] = true
	}
}
