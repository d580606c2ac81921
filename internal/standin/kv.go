package standin

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store simulates the platform's key-value service, with conditional writes, expiry and watches.
type store struct {
	world   *World
	mu      sync.Mutex
	keys    map[string]*value // guarded by mu
	changed chan struct{}     // closed and replaced at each write; guarded by mu
	rev     uint64            // guarded by mu
	reads   int               // guarded by mu
	writes  int               // guarded by mu
	log     []Write           // guarded by mu
}

// value is the present value of a key.
type value struct {
	data        []byte
	previous    []byte // the value before this one, returned by the fault StoreStale
	rev         uint64
	previousRev uint64
	expiresAt   time.Time
}

// Write is one entry of the store's log of successful writes.
type Write struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

func newStore(w *World) *store {
	return &store{world: w, keys: make(map[string]*value), changed: make(chan struct{})}
}

const maxValue = 1 << 20

// ServeHTTP implements http.Handler for /kv/KEY.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	f := s.world.Faults()
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
	if s.world.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Revision", strconv.FormatUint(rev, 10))
}

// write stores a value if the key's present revision is expect, where 0 means that the key does not
// exist. It returns the new revision, or false on a conflict.
func (s *store) write(key string, data []byte, expect uint64, lapse time.Time) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	old := s.live(key)
	if (old == nil && expect != 0) || (old != nil && old.rev != expect) {
		return 0, false
	}
	s.rev++
	v := &value{data: data, rev: s.rev, expiresAt: lapse}
	if old != nil {
		v.previous, v.previousRev = old.data, old.rev
	}
	s.keys[key] = v
	s.log = append(s.log, Write{key, s.rev, string(data)})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev, true
}

// live returns the value of a key, nil if it has none or the value has expired. Callers hold mu.
func (s *store) live(key string) *value {
	v := s.keys[key]
	if v != nil && !v.expiresAt.IsZero() && !time.Now().Before(v.expiresAt) {
		delete(s.keys, key)
		return nil
	}
	return v
}

// get returns the value of a key. With wait_ms set it first waits for up to that time for a
// revision greater than after.
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
		if wait == 0 || (v != nil && v.rev > after) || s.world.Faults().StoreDown {
			s.respond(rw, v)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			s.respond(rw, v)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) respond(rw http.ResponseWriter, v *value) {
	f := s.world.Faults()
	if f.StoreDown { // checked again since an outage also ends requests that wait
		http.Error(rw, "store down", http.StatusServiceUnavailable)
		return
	}
	if v == nil {
		http.Error(rw, "not found", http.StatusNotFound)
		return
	}
	data, rev := v.data, v.rev
	if f.StoreStale && v.previous != nil {
		data, rev = v.previous, v.previousRev
	}
	rw.Header().Set("Revision", strconv.FormatUint(rev, 10))
	_, _ = rw.Write(data)
}

// endWaits makes all waiting requests check the faults again, so that an outage ends them.
func (s *store) endWaits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
