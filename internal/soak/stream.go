package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shelfcrank/shelfcrank/internal/check"
)

// eventCountKey begins the number of events in the body of a request that states it.
const eventCountKey = "events="

// eventCount returns the number of events in the response stream of a request: the number that the body
// states, or else one from minEvents to maxEvents-1. It depends on the body alone, so that the checker can tell a complete
// stream from a truncated one, whichever request takes it up.
func eventCount(body []byte) int {
	if _, rest, ok := bytes.Cut(body, []byte(eventCountKey)); ok {
		number, _, _ := bytes.Cut(rest, []byte(" "))
		if n, err := strconv.Atoi(string(number)); err == nil {
			return n
		}
	}
	return minEvents + int(xxhash.Sum64(body)%(maxEvents-minEvents))
}

// streamName returns the name that the events of a stream hold, from the checksum of its request's body.
func streamName(bodySum uint64) string { return strconv.FormatUint(bodySum, 16) }

// eventData returns the data of an event. It names the stream and what sent the event.
func eventData(stream, run, version string, n int) string {
	return fmt.Sprintf("%s %s %s %d", stream, run, version, n)
}

var errBadEvent = errors.New("not an event of this stream")

// parseEvent returns what sent an event with a number, if its data is that of a stream.
func parseEvent(data, stream string, n int) (run, version string, err error) {
	fields := strings.Fields(data)
	if len(fields) != 4 || fields[0] != stream || fields[3] != strconv.Itoa(n) {
		return "", "", errBadEvent
	}
	return fields[1], fields[2], nil
}

// Framings of streams.
const (
	chunked = iota
	withLength
	unframed // ends with its connection
	framings
)

// Shares of the events or streams that vary.
const (
	commentShare  = 0.1
	splitShare    = 0.1
	gatherShare   = 0.2
	lineEndShare  = 0.2 // streams with lines that end with CRLF
	repeatedShare = 0.3 // resumed streams that begin with events sent before
	maxRepeated   = 3
	maxSplitPause = 4 * time.Millisecond
)

// streamWriter writes the events of a call's stream.
type streamWriter struct {
	call    *call
	framing int
	eol     string
	events  []string // what is written for each event
	flush   *http.ResponseController
}

func newStreamWriter(c *call, after int) *streamWriter {
	s := &streamWriter{call: c, eol: "\n", flush: http.NewResponseController(c.w)}
	first := after + 1
	if c.endpoint.varied {
		if !c.whole {
			s.framing = rand.IntN(framings)
		}
		if rand.Float64() < lineEndShare {
			s.eol = "\r\n"
		}
		if after > 0 && rand.Float64() < repeatedShare {
			first = max(1, first-1-rand.IntN(maxRepeated))
		}
	}
	run := fmt.Sprintf("%s/%d", c.endpoint.id, c.arrival)
	for n := first; n <= c.events; n++ {
		s.events = append(s.events, s.comment()+fmt.Sprintf("id: %d%s", n, s.eol)+fmt.Sprintf("data: %s%s%s", eventData(c.name, run, c.endpoint.version, n), s.eol, s.eol))
	}
	return s
}

// comment returns a comment line, at times an event of its own, or nothing.
func (s *streamWriter) comment() string {
	switch {
	case !s.call.endpoint.varied || rand.Float64() >= commentShare:
		return ""
	case rand.IntN(2) == 0:
		return ": comment" + s.eol
	}
	return ": comment" + s.eol + s.eol
}

// setFraming sets the headers that frame the body.
func (s *streamWriter) setFraming(h http.Header) {
	switch s.framing {
	case withLength:
		h.Set("Content-Length", strconv.Itoa(len(strings.Join(s.events, ""))))
	case unframed:
		h.Set("Transfer-Encoding", "identity") // net/http then closes the connection at the end
	}
}

// write writes an event. It reports whether the next event may follow at once.
func (s *streamWriter) write(event string) (gathered bool, err error) {
	if s.call.endpoint.varied {
		switch x := rand.Float64(); {
		case x < splitShare:
			n := 1 + rand.IntN(len(event)-1)
			if _, err := io.WriteString(s.call.w, event[:n]); err != nil {
				return false, err
			}
			_ = s.flush.Flush()
			if err := s.call.wait(time.Duration(rand.Int64N(int64(maxSplitPause)))); err != nil {
				return false, err
			}
			event = event[n:]
		case x < splitShare+gatherShare:
			_, err := io.WriteString(s.call.w, event)
			return true, err
		}
	}
	if _, err := io.WriteString(s.call.w, event); err != nil {
		return false, err
	}
	return false, s.flush.Flush()
}

// breakOff ends the stream before an event is whole. Without framing only a reset shows that.
func (s *streamWriter) breakOff(event string) {
	if s.call.endpoint.varied {
		_, _ = io.WriteString(s.call.w, event[:rand.IntN(len(event))])
	}
	_ = s.flush.Flush()
	if s.framing != unframed {
		return
	}
	conn, _, err := http.NewResponseController(s.call.w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// stream writes server-sent events, starting after the Last-Event-Id of the request or a few events before.
func (c *call) stream() (int, uint64, error) {
	after, _ := strconv.Atoi(c.in.LastEventID) // 0 for a new stream, where it is empty
	if err := c.process(firstEventDelay); err != nil {
		return 0, 0, err
	}
	if rand.Float64() < c.behavior.fail {
		c.recordAnswer(http.StatusInternalServerError, 0)
		c.setHead()
		c.w.WriteHeader(http.StatusInternalServerError)
		return http.StatusInternalServerError, 0, nil
	}
	s := newStreamWriter(c, after)
	breaksAt := -1
	if !c.whole && rand.Float64() < c.behavior.loseAnswers {
		breaksAt = rand.IntN(c.events)
	}
	c.recordAnswer(http.StatusOK, 0)
	c.w.Header().Set("Content-Type", "text/event-stream")
	s.setFraming(c.w.Header())
	c.setHead()
	for n, event := range s.events {
		if n == breaksAt {
			s.breakOff(event)
			return http.StatusOK, 0, errTruncated
		}
		gathered, err := s.write(event)
		if err != nil {
			return http.StatusOK, 0, err
		}
		if gathered {
			continue
		}
		if err := c.process(eventInterval); err != nil {
			return http.StatusOK, 0, err
		}
	}
	return http.StatusOK, 0, nil
}

// readStream reads server-sent events until the stream ends. It records the event numbers, the runs that
// sent them, and whether any event had unexpected data. An event counts once its blank line has come.
func readStream(r io.Reader, a *check.Attempt) error {
	lines := bufio.NewReader(r)
	id, data := 0, ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(value)
		} else if value, ok := strings.CutPrefix(line, "data: "); ok {
			data = value
		} else if line == "" && data != "" {
			addEvent(a, id, data)
			data = ""
		}
	}
}

func addEvent(a *check.Attempt, n int, data string) {
	a.Events = append(a.Events, n)
	run, version, err := parseEvent(data, streamName(a.BodySum), n)
	if err != nil {
		a.BadEvent = true
		return
	}
	if last := len(a.Runs) - 1; last >= 0 && a.Runs[last].ID == run {
		a.Runs[last].Events++
		return
	}
	a.Runs = append(a.Runs, check.StreamRun{ID: run, Version: version, Events: 1})
}
