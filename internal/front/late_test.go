package front

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// lateRequest is a request that a client sends while its instance stops.
type lateRequest struct {
	path     string
	kept     bool   // on a connection that was used before the stop
	part     string // in which the client pauses: "header", "body" or ""
	deadline time.Duration
}

func (q lateRequest) String() string {
	return fmt.Sprintf("%s/kept=%t/pause=%s/%s", q.path, q.kept, q.part, q.deadline)
}

// send sends a request to n0 at a time. It returns the status, 0 if no answer came though the instance had time to read some of
// the request, and -1 if the connection was refused or closed before.
func (q lateRequest) send(w *testCluster, id string, at time.Time) int {
	const pause, crossing = 120 * time.Millisecond, 10 * time.Millisecond
	connect := func() (io.ReadWriteCloser, *bufio.Reader) {
		c, err := w.mem.Site("client").Dial(context.Background(), addrOf(hostOf("n0"), frontPort))
		if err != nil {
			return nil, nil
		}
		return c, bufio.NewReader(c)
	}
	var c io.ReadWriteCloser
	var in *bufio.Reader
	if q.kept {
		c, in = connect()
		_, _ = fmt.Fprintf(c, "GET /none HTTP/1.1\r\nHost: %s\r\nId: %s/first\r\nKey: k1\r\n\r\n", testHost, id)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.Close {
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	time.Sleep(time.Until(at))
	if !q.kept {
		c, in = connect()
	}
	if c == nil {
		return -1
	}
	defer func() { _ = c.Close() }()
	closed := make(chan time.Time, 1)
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			closed <- time.Now()
			return
		}
		answered <- resp.StatusCode
	}()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nKey: k1\r\nDeadline: %d\r\nContent-Length: 40\r\n\r\n", q.path, testHost, id, q.deadline.Milliseconds())
	body := strings.Repeat("b", 40)
	first, rest := head+body, ""
	switch q.part {
	case "header":
		first, rest = head[:40], head[40:]+body
	case "body":
		first, rest = head+body[:20], body[20:]
	}
	sent := time.Now()
	_, _ = io.WriteString(c, first)
	if rest != "" {
		time.Sleep(pause)
		_, _ = io.WriteString(c, rest)
	}
	select {
	case status := <-answered:
		return status
	case at := <-closed:
		if at.Sub(sent) < crossing {
			return -1
		}
		return 0
	}
}

// plannedStop is a planned stop of an instance while clients send requests to n0.
type plannedStop struct {
	instances int
	work      time.Duration // of endpoints on a request
	from, to  time.Duration // of the requests, relative to the signal
	step      time.Duration // between requests of a kind; 0 for the usual one
	grace     time.Duration // 0 for the usual one
	relays    bool          // n0 has no paths to endpoints
	stops     string        // the instance that stops; n0 if empty
}

// play plays the stop, and reports requests without an answer, and those whose answer does not say what happened to them.
func (p plannedStop) play(t *testing.T) {
	t.Helper()
	runCluster(t, p.instances, func(_ *is.I, w *testCluster) {
		time.Sleep(4 * time.Second)
		if p.relays {
			for i := range w.endpoints {
				w.mem.Cut(w.instances["n0"].site, endpointID(i), true)
			}
			time.Sleep(6 * time.Second)
		}
		signal := time.Now().Add(3 * time.Second)
		var wait sync.WaitGroup
		var mu sync.Mutex
		outcomes := make(map[int]int)
		unanswered := make(map[lateRequest][]time.Duration)
		send := func(q lateRequest, after time.Duration) {
			id := fmt.Sprint("n0/", q, "/", after)
			status := q.send(w, id, signal.Add(after))
			runs := w.runsOf(id)
			mu.Lock()
			defer mu.Unlock()
			outcomes[status]++
			if status == 0 {
				unanswered[q] = append(unanswered[q], after)
			}
			if end := w.grace * 9 / 10; status == http.StatusBadGateway && time.Since(signal) < end {
				t.Errorf("request %s was broken off %s after the signal, before the end of the drain after %s", id, time.Since(signal), end)
			}
			if runs > 0 && (status < 0 || status == http.StatusServiceUnavailable) || runs > 1 && q.path == "/once/a" {
				t.Errorf("request %s ended with status %d after %d runs", id, status, runs)
			}
		}
		for after := p.from; after < p.to; after += cmp.Or(p.step, 150*time.Millisecond) {
			for _, path := range []string{"/safe/a", "/once/a"} {
				for _, part := range []string{"", "header", "body"} {
					for _, kept := range []bool{false, true} {
						for _, deadline := range []time.Duration{time.Second, 4 * time.Second, 11 * time.Second} {
							wait.Go(func() { send(lateRequest{path, kept, part, deadline}, after) })
						}
					}
				}
			}
		}
		time.Sleep(500 * time.Millisecond) // until the kept connections are open
		w.setWorkTime(p.work)
		time.Sleep(time.Until(signal))
		stopping := w.instances[cmp.Or(p.stops, "n0")]
		stopping.stop()
		<-stopping.done
		took := time.Since(signal)
		wait.Wait()
		time.Sleep(p.work) // the endpoints end
		t.Logf("%+v stopped after %s: %v", p, took, outcomes)
		if took > w.grace {
			t.Errorf("the stop took %s", took)
		}
		for q, after := range unanswered {
			t.Errorf("%+v: %s sent %v after the signal got no answer", p, q, after)
		}
	}, func(w *testCluster) {
		w.grace = cmp.Or(p.grace, w.grace)
		w.changeConfig = func(c *policy.Config) {
			for i := range c.Routes {
				c.Routes[i].Timeout = 12 * time.Second
			}
		}
	})
}

const (
	shortWork = 900 * time.Millisecond
	longWork  = 20 * time.Second // longer than any request may last

	stopBegins = 40 * time.Millisecond   // of requests that come during a stop: the first
	stopEnds   = 7500 * time.Millisecond // and the last
)

// Guards against a planned stop that reads some of a request and closes the connection without an answer.
func TestAPlannedStopAnswersEachRequestThatItReads(t *testing.T) {
	for _, instances := range []int{1, 2, 4} {
		plannedStop{instances: instances, work: shortWork, from: stopBegins, to: stopEnds}.play(t)
		if instances > 1 {
			plannedStop{instances: instances, work: longWork, from: stopBegins, to: stopEnds}.play(t)
		}
	}
}

// Guards against a planned stop without other instances that passes requests on and cuts them with no answer.
func TestAPlannedStopOfTheOnlyInstanceAnswersWhatItPassesOn(t *testing.T) {
	plannedStop{instances: 1, work: longWork, from: stopBegins, to: stopEnds}.play(t)
}

// Guards against requests from before the signal that outlast the grace period and get no answer at its end.
func TestAPlannedStopAnswersRequestsThatOutlastIt(t *testing.T) {
	for _, instances := range []int{1, 2} {
		plannedStop{instances: instances, work: longWork, from: -300 * time.Millisecond, to: -100 * time.Millisecond}.play(t)
	}
}

// Guards against a planned stop that waits for new connections beyond a short grace period.
func TestAPlannedStopEndsWithinAShortGracePeriod(t *testing.T) {
	for _, instances := range []int{1, 2} {
		plannedStop{instances: instances, work: longWork, from: -300 * time.Millisecond, to: 2500 * time.Millisecond, grace: 2 * time.Second}.play(t)
	}
}

// Guards against requests that get no answer because an instance stops that relays them, or the one that serves them.
func TestAPlannedStopAnswersRelayedRequests(t *testing.T) {
	for _, stops := range []string{"n0", "n1"} {
		plannedStop{instances: 3, work: longWork, from: -2 * time.Second, to: 4500 * time.Millisecond, step: 450 * time.Millisecond, relays: true, stops: stops}.play(t)
	}
}
