// Package metrics has the instruments of an entry instance, by OpenTelemetry,
// exported in the Prometheus text format. It is safe for concurrent use.
package metrics

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the instruments.
type Metrics struct {
	handler    http.Handler
	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	service    metric.Float64Histogram
	events     metric.Int64Counter
	resumes    metric.Int64Counter
	forwarded  metric.Float64Histogram
}

// Gauges are read when the metrics are exported.
type Gauges struct {
	Records func() int64
	Claims  func() int64
	Table   func() int64
	Members func() int64
	Traffic func() []Traffic // may be nil
}

// Traffic is what one kind of calls to other instances took.
type Traffic struct {
	Kind     string
	Crosses  bool // to another hall
	Calls    int64
	Sent     int64 // bytes
	Received int64 // bytes
}

var bucketsMs = []float64{1, 2, 4, 8, 16, 32, 64, 125, 250, 500, 1000, 2000, 4000, 8000, 16000, 32000}

// New returns the instruments of one entry instance.
func New(g Gauges) (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg))
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("shelfcrank")
	m := &Metrics{handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{})}
	var errs [6]error
	m.requests, errs[0] = meter.Int64Counter("shelfcrank_requests", metric.WithDescription("Requests ended, by class and outcome."))
	m.firstToken, errs[1] = meter.Float64Histogram("shelfcrank_first_token", metric.WithUnit("ms"), metric.WithExplicitBucketBoundaries(bucketsMs...))
	m.service, errs[2] = meter.Float64Histogram("shelfcrank_service", metric.WithUnit("ms"), metric.WithExplicitBucketBoundaries(bucketsMs...))
	m.events, errs[3] = meter.Int64Counter("shelfcrank_events", metric.WithDescription("Numbered events, by number."))
	m.resumes, errs[4] = meter.Int64Counter("shelfcrank_resumes", metric.WithDescription("Streams that went on at another endpoint, by cause."))
	m.forwarded, errs[5] = meter.Float64Histogram("shelfcrank_forwarded", metric.WithUnit("ms"), metric.WithDescription("Time to the end of forwarded requests, by route and status."), metric.WithExplicitBucketBoundaries(bucketsMs...))
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	if g.Traffic != nil {
		if err := trafficCounters(meter, g.Traffic); err != nil {
			return nil, err
		}
	}
	return m, gauges(meter, g)
}

// trafficCounters exports what instances exchange, by kind of call and whether it
// goes to another hall.
func trafficCounters(meter metric.Meter, read func() []Traffic) error {
	for name, of := range map[string]func(Traffic) int64{
		"shelfcrank_peer_calls":          func(t Traffic) int64 { return t.Calls },
		"shelfcrank_peer_sent_bytes":     func(t Traffic) int64 { return t.Sent },
		"shelfcrank_peer_received_bytes": func(t Traffic) int64 { return t.Received },
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			for _, t := range read() {
				o.Observe(of(t), metric.WithAttributes(attribute.String("kind", t.Kind), attribute.Bool("other_hall", t.Crosses)))
			}
			return nil
		}
		if _, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

func gauges(meter metric.Meter, g Gauges) error {
	for name, read := range map[string]func() int64{
		"shelfcrank_records":        g.Records,
		"shelfcrank_claims":         g.Claims,
		"shelfcrank_table_revision": g.Table,
		"shelfcrank_members":        g.Members,
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}
		if _, err := meter.Int64ObservableGauge(name, metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Request counts a request that ended.
func (m *Metrics) Request(class, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.String("outcome", outcome)))
}

// FirstToken notes the time to the first token of a model call.
func (m *Metrics) FirstToken(class string, took time.Duration) {
	m.firstToken.Record(context.Background(), inMs(took), metric.WithAttributes(attribute.String("class", class)))
}

// Service notes the time of a service call.
func (m *Metrics) Service(class string, took time.Duration) {
	m.service.Record(context.Background(), inMs(took), metric.WithAttributes(attribute.String("class", class)))
}

// Event counts a numbered event.
func (m *Metrics) Event(code int) {
	m.events.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("event", code)))
}

// Forwarded notes the end of a forwarded request; status is 0 when none was sent.
func (m *Metrics) Forwarded(route string, status int, took time.Duration) {
	m.forwarded.Record(context.Background(), inMs(took), metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status)))
}

// Resume counts a stream that went on at another endpoint.
func (m *Metrics) Resume(cause string) {
	m.resumes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
