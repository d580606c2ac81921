package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/endpoint"
)

// service simulates a plain service. It runs a limited number of calls at once, takes a fixed time
// for each, and counts the runs of each call.
type service struct {
	world   *World
	spec    InstanceSpec
	workers chan struct{}
}

func newService(w *World, p InstanceSpec) *service {
	return &service{world: w, spec: p, workers: make(chan struct{}, max(1, w.settings.Timing.ServiceWorkers))}
}

// Unrepeatable reports whether a call to a path must not run twice.
func Unrepeatable(path string) bool {
	for _, p := range []string{"unlock", "receipt", "payment"} {
		if strings.Contains(path, p) {
			return true
		}
	}
	return false
}

const maxBody = 1 << 20

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	s.world.setStateHeaders(s.spec.ID, rw.Header())
	if r.URL.Path == "/v1/report" {
		writeJSON(rw, endpoint.Report{Running: len(s.workers)})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil {
		return // truncated request: not run
	}
	s.world.recordArrival(s.spec.ID)
	s.workers <- struct{}{}
	defer func() { <-s.workers }()
	path := strings.TrimPrefix(r.URL.Path, "/")
	s.world.recordRun(path+"\n"+string(body), Unrepeatable(path))
	time.Sleep(micros(s.world.settings.Timing.ServiceUs))
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(rw, ServiceAnswer(path, string(body)))
}
