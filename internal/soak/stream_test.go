package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// streamOnce returns what a client gets of a varied stream of four events after an event.
func streamOnce(t *testing.T, after string, b behavior) (check.Attempt, error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := &endpoint{id: "e-001", version: "v1", slots: 1, varied: true, record: &recorder{}}
		c := &call{endpoint: e, in: platformtest.EndpointRequest{ID: "q", LastEventID: after}, w: w, behavior: b, ctx: r.Context(), work: 0, events: 4, name: streamName(7)}
		e.record.arrival(check.Arrival{})
		if _, _, err := c.stream(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	a := check.Attempt{BodySum: 7}
	err = readStream(resp.Body, &a)
	return a, err
}

// Guards against variations of streams that a client can't read, or that look complete though they were cut off.
func TestVariedStreamsAreReadable(t *testing.T) {
	is := is.New(t)
	for range 200 {
		a, err := streamOnce(t, "", behavior{})
		is.NoErr(err)
		is.True(!a.BadEvent)
		is.Equal(a.Events, []int{1, 2, 3, 4})
		is.Equal(a.Runs, []check.StreamRun{{ID: "e-001/0", Version: "v1", Events: 4}})
		a, err = streamOnce(t, "2", behavior{})
		is.NoErr(err)
		is.Equal(a.Events[len(a.Events)-2:], []int{3, 4})
		a, err = streamOnce(t, "", behavior{loseAnswers: 1})
		is.True(err != nil)
		is.True(!a.BadEvent && len(a.Events) < 4)
	}
}

// Guards against events of other streams, and events that a broken connection cuts off, that count as received.
func TestEventsAreReadWhole(t *testing.T) {
	is := is.New(t)
	read := func(text string) check.Attempt {
		a := check.Attempt{BodySum: 7}
		is.NoErr(readStream(strings.NewReader(text), &a))
		return a
	}
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData("7", "r", "v1", n)) }
	is.Equal(read(event(1)+event(2)).Events, []int{1, 2})
	is.Equal(read(event(1)+strings.TrimSuffix(event(2), "\n")).Events, []int{1})
	is.True(!read(event(1)).BadEvent)
	is.True(read("id: 1\ndata: " + eventData("8", "r", "v1", 1) + "\n\n").BadEvent)
	is.True(read("id: 1\ndata: " + eventData("7", "r", "v1", 2) + "\n\n").BadEvent)
}

// Guards against an endpoint that ends but still accepts connections, or whose connections do not end as they should.
func TestTheEndOfAProcessEndsItsConnections(t *testing.T) {
	is := is.New(t)
	for _, reset := range []bool{false, true} {
		k := newEchoLink(t)
		c := dial(t, k)
		is.NoErr(roundTrip(c))
		k.refuse()
		k.sever(reset)
		_, err := bufio.NewReader(c).ReadByte()
		is.Equal(errors.Is(err, io.EOF), !reset)
		is.Equal(errors.Is(err, syscall.ECONNRESET), reset)
		_, err = net.DialTimeout("tcp", k.addr().String(), time.Second)
		is.True(errors.Is(err, syscall.ECONNREFUSED))
		is.NoErr(k.reopen(k.targetAddr()))
		is.NoErr(roundTrip(dial(t, k)))
	}
}

// Guards against the scenario of broken streams that no longer can be read.
func TestTheStreamsScenarioHasVersions(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("streams.toml")
	is.NoErr(err)
	s, err := Parse(text)
	is.NoErr(err)
	is.True(s.Streams.Versions > 1 && s.Streams.Varied)
}
