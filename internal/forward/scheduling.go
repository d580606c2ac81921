package forward

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/policy"
)

// OverloadError reports that a request was refused for lack of capacity before any endpoint got a
// part of it, with the inputs of the decision.
type OverloadError struct {
	Hub       string // the hub that refused it
	Reason    string
	RetryAt   time.Time     // when the client should return; zero if the hub gave no time
	FirstAt   time.Time     // when the first event, or the answer, would have come
	Occupancy float64       // share of the slots of the hub's endpoints that were taken
	Waiting   int           // requests that waited for a slot there
	ReportAge time.Duration // of the endpoint's load report that counted; 0 if there was none
	Returned  bool          // the client returned after a refusal
	Reserved  bool          // capacity is reserved for the client at RetryAt
}

// Error implements error.
func (e *OverloadError) Error() string { return "refused for lack of capacity: " + e.Reason }

// Unwrap makes the error match ErrNoEndpoint.
func (e *OverloadError) Unwrap() error { return ErrNoEndpoint }

// overloadDenial is the denial for a request that was refused for lack of capacity. If the hub gave
// no time, the client gets a wait of the usual length: without one it would return at once. It differs
// from client to client, as those refused at one moment would return at one, and is no longer than a
// client waits, which is a third of the time that it has left.
func (h *Handler) overloadDenial(q *request, e *OverloadError) *denial {
	h.Metrics.RefusedForCapacity(q.source())
	if e.Returned {
		h.Metrics.Returned(q.source())
	}
	wait := spread(min(waitNoEndpoint, h.Clock.Until(q.deadline)/3), q.meta.ID)
	var retry time.Duration
	if !e.RetryAt.IsZero() {
		retry = max(minOverloadWait, h.Clock.Until(e.RetryAt))
		wait = retry
	}
	return &denial{
		status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "no capacity", wait: wait,
		fields: []zap.Field{
			zap.String("reason", e.Reason), zap.Int("priority", q.priority),
			zap.Duration("forecast", e.FirstAt.Sub(q.arrived)), zap.Duration("target", q.route.TargetLatency),
			zap.Float64("occupancy", e.Occupancy), zap.Int("waiting", e.Waiting), zap.Duration("report_age", e.ReportAge),
			zap.Duration("retry", retry), zap.Bool("returned", e.Returned), zap.String("hub", e.Hub),
		},
	}
}

// spread returns a time between half of the given one and all of it, by the ID of a request.
func spread(wait time.Duration, id string) time.Duration {
	half := max(minOverloadWait, wait/2)
	return half + time.Duration(xxhash.Sum64String(id)%uint64(half))
}

// source identifies the request in the metrics of overload control.
func (q *request) source() metrics.Source {
	return metrics.Source{Service: q.service, Route: q.route.Name, Account: q.accountName()}
}

// placedAfterReturn counts a request that was placed after its client had returned from a refusal.
func (h *Handler) placedAfterReturn(q *request) {
	h.Metrics.Returned(q.source())
	q.returned = true
}

// compareForecast compares the time of the first event, or of the response of a plain service, with the hub's
// forecast, if there was one.
func (h *Handler) compareForecast(q *request, ticket *balance.Ticket) {
	if !ticket.FirstAt.IsZero() {
		h.Metrics.ForecastError(q.route.Name, h.Clock.Since(ticket.FirstAt))
	}
}

// minOverloadWait is the shortest wait that the Retry-After header, which has three decimals, can
// express. If the time to return has passed before the refusal is sent, the client may return now.
const minOverloadWait = time.Millisecond

// setScheduling sets the properties of a request by which hubs decide whether they have the capacity
// for it.
func (h *Handler) setScheduling(b *balance.Request, q *request) {
	b.Priority, b.Payer, b.OutputTokens = q.priority, q.accountName(), q.meta.OutputTokens
	b.NoRefusal = len(q.chosen) > 0 || q.answered
	if q.route.TargetLatency > 0 {
		b.Target = q.arrived.Add(q.route.TargetLatency)
	}
	b.Latest = q.deadline
	if q.route.Kind == policy.Streaming && q.route.MaxSilence > 0 {
		if silent := q.arrived.Add(q.route.MaxSilence); silent.Before(b.Latest) {
			b.Latest = silent
		}
	}
	if h.Fingerprints && !b.NoRefusal {
		b.Fingerprint = q.repetitionHash()
	}
}

// repetitionHash returns a hash by which a hub recognizes a client's repetition of a refused request.
// It leaves out what a repetition changes: the request ID and the deadline. A collision only gives
// one request the place of another. It is never 0.
func (q *request) repetitionHash() uint64 {
	d := xxhash.New()
	last := ""
	if n := len(q.meta.Parts); n > 0 {
		last = q.meta.Parts[n-1].ID
	}
	for _, text := range []string{q.accountName(), q.method, q.host, q.uri, last} {
		writeNumber(d, uint64(len(text))) // so that the boundaries count
		_, _ = d.WriteString(text)
	}
	writeNumber(d, uint64(q.meta.PromptTokens))
	writeNumber(d, uint64(q.meta.OutputTokens))
	_, _ = q.body.WriteTo(d)
	return max(1, d.Sum64())
}

func writeNumber(d *xxhash.Digest, n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = d.Write(b[:])
}
