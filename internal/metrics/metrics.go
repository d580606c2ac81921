// Package metrics defines the OpenTelemetry instruments of an instance and
// exports them in the Prometheus text format. It is safe for concurrent use.
package metrics

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metrics holds the instruments of one instance.
type Metrics struct {
	handler    http.Handler
	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	service    metric.Float64Histogram
	events     metric.Int64Counter
	resumes    metric.Int64Counter
	forwarded  metric.Float64Histogram

	refused           metric.Int64Counter
	returned          metric.Int64Counter
	servedAfterReturn metric.Int64Counter
	forecastError     metric.Float64Histogram
}

// Gauges are callbacks that supply current values when the metrics are exported.
type Gauges struct {
	Records func() int64     // number of request records
	Claims  func() int64     // number of claims, which prevent a second run of calls that must not be repeated
	Table   func() int64     // revision or version of the policy in force
	Members func() int64     // number of other known instances
	Traffic func() []Traffic // calls to other instances; may be nil
}

// Traffic is the total traffic of one kind of calls to other instances.
type Traffic struct {
	Kind      string
	CrossHall bool // to another hall
	Calls     int64
	Sent      int64 // bytes
	Received  int64 // bytes
}

var bucketsMs = []float64{1, 2, 4, 8, 16, 32, 64, 125, 250, 500, 1000, 2000, 4000, 8000, 16000, 32000}

// New returns the instruments of one instance, with gauges read from g.
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
	if err := m.registerOverload(meter); err != nil {
		return nil, err
	}
	if g.Traffic != nil {
		if err := registerTrafficCounters(meter, g.Traffic); err != nil {
			return nil, err
		}
	}
	return m, registerGauges(meter, g)
}

// registerTrafficCounters registers counters of the calls to other instances and their bytes,
// by kind of call and whether they go to another hall.
func registerTrafficCounters(meter metric.Meter, read func() []Traffic) error {
	for name, of := range map[string]func(Traffic) int64{
		"shelfcrank_peer_calls":          func(t Traffic) int64 { return t.Calls },
		"shelfcrank_peer_sent_bytes":     func(t Traffic) int64 { return t.Sent },
		"shelfcrank_peer_received_bytes": func(t Traffic) int64 { return t.Received },
	} {
		observe := func(_ context.Context, o metric.Int64Observer) error {
			for _, t := range read() {
				o.Observe(of(t), metric.WithAttributes(attribute.String("kind", t.Kind), attribute.Bool("other_hall", t.CrossHall)))
			}
			return nil
		}
		if _, err := meter.Int64ObservableCounter(name, metric.WithInt64Callback(observe)); err != nil {
			return err
		}
	}
	return nil
}

func registerGauges(meter metric.Meter, g Gauges) error {
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

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Request counts a request that has ended.
func (m *Metrics) Request(class, outcome string) {
	m.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("class", class), attribute.String("outcome", outcome)))
}

// FirstToken records the time to the first token of a model call.
func (m *Metrics) FirstToken(class string, took time.Duration) {
	m.firstToken.Record(context.Background(), milliseconds(took), metric.WithAttributes(attribute.String("class", class)))
}

// Service records the duration of a service call.
func (m *Metrics) Service(class string, took time.Duration) {
	m.service.Record(context.Background(), milliseconds(took), metric.WithAttributes(attribute.String("class", class)))
}

// Event counts a numbered event.
func (m *Metrics) Event(code int) {
	m.events.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("event", code)))
}

// Forwarded records the duration of a forwarded request. status is 0 if none was sent.
func (m *Metrics) Forwarded(route string, status int, took time.Duration) {
	m.forwarded.Record(context.Background(), milliseconds(took), metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status)))
}

// Resume counts a stream that was resumed at another endpoint.
func (m *Metrics) Resume(cause string) {
	m.resumes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

// Names of the metrics of overload control, as they are exported.
const (
	CapacityRefusals  = "shelfcrank_capacity_refusals"
	CapacityReturns   = "shelfcrank_capacity_returns"
	ServedAfterReturn = "shelfcrank_served_after_return"
	forecastErrorName = "shelfcrank_forecast_error"
)

func (m *Metrics) registerOverload(meter metric.Meter) error {
	var errs [4]error
	m.refused, errs[0] = meter.Int64Counter(CapacityRefusals, metric.WithDescription("Requests refused for lack of capacity, by service, route and client account."))
	m.returned, errs[1] = meter.Int64Counter(CapacityReturns, metric.WithDescription("Requests that were repeated after a refusal for lack of capacity."))
	m.servedAfterReturn, errs[2] = meter.Int64Counter(ServedAfterReturn, metric.WithDescription("Requests that were repeated after a refusal for lack of capacity and then served."))
	m.forecastError, errs[3] = meter.Float64Histogram(forecastErrorName, metric.WithUnit("ms"), metric.WithDescription("Absolute difference between the forecast and the actual time to the first event, by route and whether the event was later than forecast."), metric.WithExplicitBucketBoundaries(bucketsMs...))
	return errors.Join(errs[:]...)
}

// Source identifies the requests that the metrics of overload control count together.
type Source struct{ Service, Route, Account string }

func (s Source) attributes() metric.MeasurementOption {
	return metric.WithAttributes(attribute.String("service", s.Service), attribute.String("route", s.Route), attribute.String("account", s.Account))
}

// RefusedForCapacity counts a request that was refused for lack of capacity.
func (m *Metrics) RefusedForCapacity(s Source) {
	m.refused.Add(context.Background(), 1, s.attributes())
}

// Returned counts a request that its client repeated after a refusal for lack of capacity.
func (m *Metrics) Returned(s Source) { m.returned.Add(context.Background(), 1, s.attributes()) }

// ServedAfterReturn counts a request that was repeated after such a refusal and then served.
func (m *Metrics) ServedAfterReturn(s Source) {
	m.servedAfterReturn.Add(context.Background(), 1, s.attributes())
}

// ForecastError records by how much the first event of an admitted request was later than forecast,
// or earlier if late is negative. Both directions are recorded as absolute values, because the sum of
// a histogram must not decrease.
func (m *Metrics) ForecastError(route string, late time.Duration) {
	m.forecastError.Record(context.Background(), milliseconds(late.Abs()), metric.WithAttributes(attribute.String("route", route), attribute.Bool("late", late > 0)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
