package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's key-value service.
type store struct {
	w       *World
	mu      sync.Mutex
	keys    map[string]*value // guarded by mu
	changed chan struct{}     // closed and replaced at each write; guarded by mu
	rev     uint64            // guarded by mu
	reads   int               // guarded by mu
	writes  int               // guarded by mu
	log     []Write           // guarded by mu
}

type value struct {
	data  []byte
	older []byte // the value before this one, for the fault that answers with it
	rev   uint64
	prev  uint64
	lapse time.Time
}

// Write is one entry of the store's own log.
type Write struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

func newStore(w *World) *store {
	return &store{w: w, keys: make(map[string]*value), changed: make(chan struct{})}
}

const maxValue = 1 << 20

// ServeHTTP implements http.Handler for /kv/KEY.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	f := s.w.Faults()
	if f.StoreSlowMs > 0 {
		time.Sleep(millis(f.StoreSlowMs))
	}
	if f.StoreDown {
		http.Error(rw, "store down", http.StatusServiceUnavailable)
		return
	}
	key := strings.TrimPrefix(r.URL.Path, "/kv/")
	if r.Method == http.MethodPut {
		s.put(rw, r, key)
		return
	}
	s.get(rw, r, key)
}

func (s *store) put(rw http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(data) > maxValue {
		http.Error(rw, "bad value", http.StatusRequestEntityTooLarge)
		return
	}
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	lapse, _ := time.Parse(time.RFC3339Nano, r.URL.Query().Get("lapse"))
	rev, ok := s.write(key, data, expect, lapse)
	if !ok {
		http.Error(rw, "conflict", http.StatusConflict)
		return
	}
	if s.w.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Revision", strconv.FormatUint(rev, 10))
}

func (s *store) write(key string, data []byte, expect uint64, lapse time.Time) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	old := s.live(key)
	if (old == nil && expect != 0) || (old != nil && old.rev != expect) {
		return 0, false
	}
	s.rev++
	v := &value{data: data, rev: s.rev, lapse: lapse}
	if old != nil {
		v.older, v.prev = old.data, old.rev
	}
	s.keys[key] = v
	s.log = append(s.log, Write{key, s.rev, string(data)})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev, true
}

// live returns the value of a key that has not lapsed. Callers hold mu.
func (s *store) live(key string) *value {
	v := s.keys[key]
	if v != nil && !v.lapse.IsZero() && !time.Now().Before(v.lapse) {
		delete(s.keys, key)
		return nil
	}
	return v
}

func (s *store) get(rw http.ResponseWriter, r *http.Request, key string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(millis(wait))
	defer limit.Stop()
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, changed := s.live(key), s.changed
		s.mu.Unlock()
		if wait == 0 || (v != nil && v.rev > after) || s.w.Faults().StoreDown {
			s.answer(rw, v)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			s.answer(rw, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) answer(rw http.ResponseWriter, v *value) {
	f := s.w.Faults()
	if f.StoreDown { // an outage ends the waiting watches too
		http.Error(rw, "store down", http.StatusServiceUnavailable)
		return
	}
	if v == nil {
		http.Error(rw, "not found", http.StatusNotFound)
		return
	}
	data, rev := v.data, v.rev
	if f.StoreOld && v.older != nil {
		data, rev = v.older, v.prev
	}
	rw.Header().Set("Revision", strconv.FormatUint(rev, 10))
	_, _ = rw.Write(data)
}

// wake ends the wait of all watches, as an outage does.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
