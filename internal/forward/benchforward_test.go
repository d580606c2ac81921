package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/notice"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// BenchmarkForward measures requests to an endpoint on loopback over a kept-alive connection.
func BenchmarkForward(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, "answer")
	}))
	defer endpoint.Close()
	addr := netip.MustParseAddrPort(endpoint.Listener.Addr().String())
	m, err := metrics.New(metrics.Gauges{Records: zero, Claims: zero, Table: zero, Members: zero})
	if err != nil {
		b.Fatal(err)
	}
	config, err := policy.New(policy.Config{
		Version: 1, Services: []policy.Service{{Name: "svc"}}, Accounts: []policy.Account{{Name: "north", Keys: []string{"k"}}},
		Routes: []policy.Route{{Name: "safe", Host: testHost, Prefix: "/safe/", Kind: policy.Safe, Timeout: 2 * time.Second, Split: []policy.Share{{Service: "svc", Weight: 1}}, MaxAttempts: 2}},
	})
	if err != nil {
		b.Fatal(err)
	}
	view := &View{Config: config, ConfirmedAt: time.Now(), KeysValidUntil: time.Now().Add(time.Hour), Endpoints: map[string][]registry.Endpoint{"svc": {{ID: "s0", Service: "svc", Addr: addr}}}, Instances: 1}
	c := clock.New(clock.System{})
	h := New(Options{
		Protocol: plainProtocol{}, View: func() *View { return view }, Backends: backend.New(backend.Options{Net: netx.TCP{}, Protocol: plainProtocol{}, Notices: notice.New(notice.Options{}), Limits: ratelimit.New(ratelimit.Options{}), Clock: c}),
		Placer: localPlacer{balance.NewTracker(nil)}, Admission: &fakeAdmission{budget: 5}, Quarantine: noQuarantine{}, Clock: c, Log: zap.NewNop(), Metrics: m,
		ConfigFreshFor: 2 * time.Second,
	})
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "http://"+testHost+"/safe/a", strings.NewReader("body"))
		r.Header.Set("Id", "7")
		r.Header.Set("Key", "k")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}
