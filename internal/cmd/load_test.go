package cmd

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/metrics"
)

// Guards against a command that does not find the metrics under the names and labels with which an
// instance exports them.
func TestLoadShowsTheExportedCounters(t *testing.T) {
	is := is.New(t)
	zero := func() int64 { return 0 }
	m, err := metrics.New(metrics.Gauges{Records: zero, Claims: zero, Table: zero, Members: zero})
	is.NoErr(err)
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")

	var out, errOut bytes.Buffer
	is.Equal(Main([]string{"load", "-addr", addr, "-json"}, &out, &errOut), exitOK)
	is.Equal(out.String(), "[]\n") // no request was refused yet

	north := metrics.Source{Service: "llm", Route: "chat", Account: "north"}
	m.RefusedForCapacity(north)
	m.RefusedForCapacity(north)
	m.Returned(north)
	m.RefusedForCapacity(metrics.Source{Service: "llm", Route: "batch", Account: "south"})
	m.ServedAfterReturn(metrics.Source{Service: "llm", Route: "batch", Account: "south"})
	out.Reset()
	is.Equal(Main([]string{"load", "-addr", addr}, &out, &errOut), exitOK)
	is.Equal(strings.Fields(out.String()), strings.Fields(`
		SERVICE ROUTE ACCOUNT REFUSED RETURNED SERVED AFTER RETURN
		llm batch south 1 0 1
		llm chat north 2 1 0`))
	is.Equal(Main([]string{"load", "-addr", "nowhere"}, &out, &errOut), exitUsage)
}
