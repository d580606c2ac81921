package soak

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/topology"
	"github.com/shelfcrank/shelfcrank/internal/virtual"
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

// Guards against an overload scenario whose fleet is too small for hubs: without hubs no request is
// refused for lack of capacity.
func TestTheOverloadScenarioHasHubs(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("overload.toml")
	is.NoErr(err)
	s, err := Parse(text)
	is.NoErr(err)
	is.True(s.Instances > topology.SmallFleet)
	is.True(slices.ContainsFunc(s.Faults, func(f FaultRate) bool { return f.Kind == Overload }))
}

// Guards against endpoints that report a slowdown that they do not have, or for another share of the
// time than the deployments describe.
func TestEndpointsAreDisturbedAtTimes(t *testing.T) {
	is := is.New(t)
	start, disturbed, now := time.Unix(1000, 0), time.Duration(0), time.Unix(1000, 0)
	for now.Sub(start) < 10*disturbancePeriod {
		percent, stays := slowdownAt("e-001", now)
		is.True(stays > 0 && stays <= disturbancePeriod)
		before, _ := slowdownAt("e-001", now.Add(stays-1))
		after, _ := slowdownAt("e-001", now.Add(stays))
		is.Equal(before, percent) // stays so
		is.True(after != percent) // and changes then
		if percent == disturbedPace {
			disturbed += min(stays, start.Add(10*disturbancePeriod).Sub(now))
		}
		now = now.Add(stays)
	}
	is.Equal(disturbed, 10*disturbanceLength)
}

// The time that work takes at an endpoint is that of the slowdown which it reports.
func TestDisturbedEndpointsTakeLonger(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &call{endpoint: &endpoint{id: "e-001"}, ctx: t.Context(), work: 1}
		for percent := 0; percent != usualPace; { // until the end of a disturbance
			_, stays := slowdownAt("e-001", time.Now())
			time.Sleep(stays)
			percent, _ = slowdownAt("e-001", time.Now())
		}
		took := func(d time.Duration) time.Duration {
			began := time.Now()
			is.NoErr(c.process(d))
			return time.Since(began)
		}
		usual := disturbancePeriod - disturbanceLength
		is.Equal(took(usual-200*time.Millisecond), usual-200*time.Millisecond)
		is.Equal(took(400*time.Millisecond), 700*time.Millisecond) // 200 ms before the disturbance, and 200 ms that take 2.5 times as long
		is.Equal(took(40*time.Millisecond), 100*time.Millisecond)  // until its end
		c.work = longWork
		is.Equal(took(500*time.Millisecond), 2*time.Second)
	})
}

// Guards against endpoints that run more requests at a time than they have slots, or that lose a slot
// when a waiting request is canceled.
func TestEndpointsQueueRequests(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &endpoint{slots: 2}
		for range 2 {
			_, err := e.admit(t.Context())
			is.NoErr(err)
		}
		canceled, cancel := context.WithCancel(t.Context())
		results := make(chan error, maxWaiting)
		for i := range maxWaiting {
			ctx := t.Context()
			if i == 0 {
				ctx = canceled
			}
			go func() {
				_, err := e.admit(ctx)
				results <- err
			}()
			time.Sleep(time.Millisecond)
		}
		is.Equal(e.load(), [3]int{2, maxWaiting, 2})
		_, err := e.admit(t.Context())
		is.True(errors.Is(err, errFull))
		cancel()
		is.True(errors.Is(<-results, context.Canceled))
		is.Equal(e.load(), [3]int{2, maxWaiting - 1, 2})
		for n := range maxWaiting - 1 {
			e.releaseSlot()
			is.NoErr(<-results)
			is.Equal(e.load(), [3]int{2, maxWaiting - 2 - n, 2})
		}
		e.releaseSlot()
		e.releaseSlot()
		is.Equal(e.load(), [3]int{0, 0, 2})
	})
}

// Guards against refusals for lack of capacity that the checker does not see, and against other
// refusals that count as such.
func TestCapacityRefusalsAreReadFromTheLog(t *testing.T) {
	is := is.New(t)
	i := &instance{name: "n", dir: t.TempDir()}
	lines := []string{
		`{"msg":"request refused","request":"q1","status":503,"reason":"no capacity to meet the target","event":412}`,
		`{"msg":"request refused","request":"q2","status":429,"why":"over the limit of the client account","event":412}`,
		`{"msg":"request answered","request":"q3","reason":"in time","event":411}`,
		`{"msg":"request refused","request":"q4","status":503,"event":412,"reason":"no cap`,
	}
	is.NoErr(os.WriteFile(i.logFile(), []byte(strings.Join(lines, "\n")), 0o600))
	refused, err := i.capacityRefusals()
	is.NoErr(err)
	is.Equal(refused, map[string]bool{"q1": true})
	r := &recorder{}
	r.attempt(check.Attempt{ID: "q1"})
	r.attempt(check.Attempt{ID: "q2"})
	r.refusedForCapacity(refused)
	h := r.finish(check.Bounds{}, nil)
	is.True(h.Attempts[0].RefusedForCapacity)
	is.True(!h.Attempts[1].RefusedForCapacity)
}

// Guards against requests on connections of a process that has ended, which no instance sees and which count against the
// instance's next process.
func TestCallersDropTheConnectionsOfAProcessThatHasEnded(t *testing.T) {
	is := is.New(t)
	record := &recorder{}
	i := newInstance(200, Scenario{Halls: 1}, t.TempDir(), "", record)
	l, err := net.Listen("tcp", i.at(frontPort).String())
	is.NoErr(err)
	defer l.Close()
	c := &caller{traffic: newTraffic([]*instance{i}, nil, record, Streams{}, 1)}
	defer c.close()
	is.NoErr(c.connect())
	first := c.conn
	is.NoErr(c.connect())
	is.Equal(c.conn, first) // kept
	i.incarnation++
	is.NoErr(c.connect())
	is.True(c.conn != first)
	is.Equal(c.incarnation, i.incarnation)
}
