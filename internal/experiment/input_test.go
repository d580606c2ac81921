package experiment

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// Invalid requests must get the right error status with the outcome not_run, and
// must not reach an endpoint.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	const completions, pay = "/v1/completions", "/v1/services/till/payment"
	const goodKey = "bazaar-anarkali-key"
	cases := []struct {
		name, path, key, body string
		header                http.Header
		status                int
	}{
		{"no key", completions, "", `{"model":"bill-tag","prompt":"x"}`, nil, 401},
		{"unknown key", completions, "wrong", `{"model":"bill-tag","prompt":"x"}`, nil, 401},
		{"broken JSON", completions, goodKey, `{"model":`, nil, 400},
		{"no prompt", completions, goodKey, `{"model":"bill-tag"}`, nil, 422},
		{"unknown model", completions, goodKey, `{"model":"none","prompt":"x"}`, nil, 404},
		{"unknown service", "/v1/services/none/x", goodKey, `x`, nil, 404},
		{"past deadline", pay, goodKey, `x`, http.Header{"Request-Deadline": {"1999-01-01T00:00:00Z"}}, 400},
		{"no deadline at all", pay, goodKey, `x`, http.Header{"Request-Deadline": {"soon"}}, 400},
		{"huge body", pay, goodKey, strings.Repeat("x", 2<<20), nil, 413},
	}
	runVirtual(t, func(t *testing.T) {
		is := is.New(t)
		c := newChaos(t, "bazaarline", 3, relay.Switches{})
		transport := netx.Transport(c.mem.Site("client"))
		h := &http.Client{Transport: transport, Timeout: time.Minute}
		is.NoErr(WaitReady(context.Background(), traffic.NewBalancer(transport, c.embedded.Callers(), 1), c.spec.Entries))
		base := "http://" + c.embedded.Callers()[0].String()
		for _, tt := range cases {
			req, err := http.NewRequest(http.MethodPost, base+tt.path, strings.NewReader(tt.body))
			is.NoErr(err)
			req.Header.Set("Content-Type", "application/json")
			for k, v := range tt.header {
				req.Header[k] = v
			}
			if tt.key != "" {
				req.Header.Set("Authorization", "Bearer "+tt.key)
			}
			resp, err := h.Do(req)
			if err != nil {
				t.Errorf("%s: %v", tt.name, err)
				continue
			}
			var p gateway.Problem
			if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
				t.Errorf("%s: %v", tt.name, err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.status || p.Run != "not_run" || resp.Header.Get("Request-Id") == "" {
				t.Errorf("%s: status %d, run %q, Request-Id %q; want %d not_run", tt.name, resp.StatusCode, p.Run, resp.Header.Get("Request-Id"), tt.status)
			}
		}
		slowCaller(t, c, h, base+pay, goodKey)
		if truth := c.embedded.World.Truth(); truth.ServiceRuns+truth.TokensPrompt > 0 {
			t.Errorf("an endpoint ran %d calls and %d prompt tokens", truth.ServiceRuns, truth.TokensPrompt)
		}
		transport.CloseIdleConnections()
		c.embedded.Stop()
	})
}

// slowCaller sends a request body at one byte per second and checks that the
// instance ends the request within 30 s.
func slowCaller(t *testing.T, c *chaos, h *http.Client, url, key string) {
	t.Helper()
	r, w := io.Pipe()
	c.wait.Go(func() {
		for range 60 {
			if _, err := w.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
		_ = w.Close()
	})
	req, err := http.NewRequest(http.MethodPost, url, r)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	resp, err := h.Do(req)
	_ = r.CloseWithError(io.ErrClosedPipe)
	if err == nil {
		if resp.StatusCode < http.StatusBadRequest {
			t.Errorf("slow caller: status %d", resp.StatusCode)
		}
		_ = resp.Body.Close()
	}
	if took := time.Since(start); took > 30*time.Second { // virtual time
		t.Errorf("slow caller held a connection for %s", took)
	}
	c.wait.Wait()
}
