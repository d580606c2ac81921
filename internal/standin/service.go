package standin

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/endpoint"
)

// service stands in for a plain service. It runs up to a number of calls at
// once, takes a fixed time for each, and counts the runs of each call.
type service struct {
	w       *World
	place   Place
	workers chan struct{}
}

func newService(w *World, p Place) *service {
	return &service{w: w, place: p, workers: make(chan struct{}, max(1, w.set.Timing.ServiceWorkers))}
}

// Unrepeatable reports whether a path is one that must not run twice.
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
	s.w.announce(s.place.ID, rw.Header())
	if r.URL.Path == "/v1/report" {
		writeJSON(rw, endpoint.Report{Running: len(s.workers)})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxBody))
	if err != nil {
		return // the call did not arrive whole and is not run
	}
	s.w.arrived(s.place.ID)
	s.workers <- struct{}{}
	defer func() { <-s.workers }()
	path := strings.TrimPrefix(r.URL.Path, "/")
	s.w.ran(path+"\n"+string(body), Unrepeatable(path))
	time.Sleep(micros(s.w.set.Timing.ServiceUs))
	rw.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(rw, ServiceAnswer(path, string(body)))
}
