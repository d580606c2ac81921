package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/platform"
)

// publishLoop publishes the instance list at the interval in the settings until the world stops.
// While the fault ListFrozen is on it publishes nothing.
func (w *World) publishLoop() {
	for {
		w.mu.Lock()
		frozen := w.faults.ListFrozen
		w.mu.Unlock()
		if !frozen {
			w.publishList()
		}
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(millis(max(1, w.settings.Timing.ListLagMs))):
		}
	}
}

func (w *World) publishList() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.publishedList = w.publishedList[:0:0]
	for _, i := range w.instances {
		if i.goneAt.IsZero() {
			w.publishedList = append(w.publishedList, i.Instance)
		}
	}
}

// platformMux serves the platform's API (instance list and reclaim notices) and the control API of
// the simulation: ground truth, store log, faults, reclaim and kill.
func (w *World) platformMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := w.publishedList
		w.mu.Unlock()
		writeJSON(rw, list)
	})
	mux.HandleFunc("GET /notices", w.getNotices)
	mux.HandleFunc("GET /truth", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.Truth()) })
	mux.HandleFunc("GET /store-log", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.StoreLog()) })
	mux.HandleFunc("GET /faults", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.Faults()) })
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, r *http.Request) {
		f := w.Faults()
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetFaults(f)
	})
	mux.HandleFunc("POST /reclaim", w.postReclaim)
	mux.HandleFunc("POST /kill", func(_ http.ResponseWriter, r *http.Request) { w.Kill(r.URL.Query().Get("id")) })
	return mux
}

// postReclaim announces the reclaim of one instance or of a hall. Its query parameters are id or
// hall, entries=true to include the hall's entry instances, and notice_ms.
func (w *World) postReclaim(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ms, err := strconv.Atoi(q.Get("notice_ms"))
	if err != nil {
		http.Error(rw, "notice_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(millis(ms))
	if hall := q.Get("hall"); hall != "" {
		writeJSON(rw, w.ReclaimHall(hall, deadline, q.Get("entries") == "true"))
		return
	}
	w.Notice(q.Get("id"), deadline)
}

// getNotices returns the notices after number after. If there are none yet it waits for up to
// wait_ms for one.
func (w *World) getNotices(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(millis(wait))
	defer limit.Stop()
	for {
		w.mu.Lock()
		all, changed := w.notices, w.noticeAdded
		w.mu.Unlock()
		if len(all) > after {
			writeJSON(rw, platform.Notices{Next: len(all), Notices: all[max(0, after):]})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			writeJSON(rw, platform.Notices{Next: len(all)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}
