package forward

import (
	"strconv"
	"time"

	"go.uber.org/zap"
)

// passage is what was passed on of a stream.
type passage struct {
	framing  string        // what marks the end of the last response that events came from; see backend.Response.Framing
	events   int           // that were passed on
	first    string        // ID of the first of them that has one
	noID     bool          // the last of them has no ID
	repeated int           // events that were not passed on, as they or later ones had been
	leftOut  int64         // numbers between the IDs of events that no event had
	firstAt  time.Time     // when the first event was passed on
	lastAt   time.Time     // when the last event was passed on
	longest  time.Duration // between two events
}

// passed records that an event was passed on to the client.
func (q *request) passed(id string, now time.Time) {
	p := &q.passage
	p.events++
	if p.firstAt.IsZero() {
		p.firstAt = now
	} else {
		p.longest = max(p.longest, now.Sub(p.lastAt))
	}
	p.lastAt = now
	p.noID = id == ""
	if p.noID {
		return
	}
	if p.first == "" {
		p.first = id
	}
	if n, last, ok := numbers(id, q.lastEventID); ok {
		p.leftOut += n - last - 1
	}
	q.lastEventID = id
}

// mayGoOn reports whether another response may go on with the stream. After an event without an ID, no endpoint can be told
// where to begin.
func (q *request) mayGoOn() bool { return !q.passage.noID }

// repeats reports whether an event, or a later one, was passed on before.
func (q *request) repeats(id string) bool {
	n, last, ok := numbers(id, q.lastEventID)
	if !ok || n > last {
		return false
	}
	q.passage.repeated++
	return true
}

// numbers returns the numbers that the IDs of an event and of the one before it are.
func numbers(id, last string) (n, before int64, ok bool) {
	n, err1 := strconv.ParseInt(id, 10, 64)
	before, err2 := strconv.ParseInt(last, 10, 64)
	return n, before, err1 == nil && err2 == nil
}

// passageFields returns what the log says of a stream.
func (q *request) passageFields() []zap.Field {
	p := &q.passage
	if p.framing == "" {
		return nil
	}
	fields := []zap.Field{
		zap.String("framing", p.framing), zap.Int("events", p.events), zap.String("first_event", p.first),
		zap.String("last_event", q.lastEventID), zap.Int("repeated", p.repeated), zap.Int64("left_out", p.leftOut),
	}
	if p.events > 0 {
		fields = append(fields, zap.Duration("first", p.firstAt.Sub(q.arrived)), zap.Duration("pause", p.longest))
	}
	return fields
}
