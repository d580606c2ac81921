package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exported returns the metrics in the Prometheus text format.
func exported(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// newTestMetrics returns instruments whose gauges are all 0.
func newTestMetrics(is *is.I) *Metrics {
	zero := func() int64 { return 0 }
	m, err := New(Gauges{Records: zero, Claims: zero, Table: zero, Members: zero})
	is.NoErr(err)
	return m
}

// Guards against counters of overload control that are not separated by service, route and account.
func TestRefusalsAreCountedBySource(t *testing.T) {
	is := is.New(t)
	m := newTestMetrics(is)
	a, b := Source{"llm", "chat", "north"}, Source{"llm", "chat", "south"}
	m.RefusedForCapacity(a)
	m.RefusedForCapacity(a)
	m.RefusedForCapacity(b)
	m.Returned(a)
	m.ServedAfterReturn(b)
	text := exported(m)
	for _, want := range []string{
		CapacityRefusals + `_total{account="north",`, CapacityReturns + `_total{account="north",`, ServedAfterReturn + `_total{account="south",`,
		`route="chat",service="llm"} 2`, `route="chat",service="llm"} 1`,
	} {
		is.True(strings.Contains(text, want)) // want
	}
	is.True(!strings.Contains(text, CapacityReturns+`_total{account="south"`))
}

// Guards against a histogram whose sum decreases, which Prometheus takes for a restart: forecasts
// are wrong in both directions.
func TestForecastErrorsAreSeparatedByDirection(t *testing.T) {
	is := is.New(t)
	m := newTestMetrics(is)
	m.ForecastError("chat", 100*time.Millisecond)
	m.ForecastError("chat", -30*time.Millisecond)
	m.ForecastError("chat", -20*time.Millisecond)
	var sums []string
	for line := range strings.Lines(exported(m)) {
		if strings.HasPrefix(line, forecastErrorName+"_milliseconds_sum") {
			sums = append(sums, strings.TrimSpace(line))
		}
	}
	is.Equal(len(sums), 2)
	is.True(strings.Contains(sums[0], `late="false"`) && strings.HasSuffix(sums[0], " 50"))
	is.True(strings.Contains(sums[1], `late="true"`) && strings.HasSuffix(sums[1], " 100"))
}
