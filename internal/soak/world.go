package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
	"github.com/shelfcrank/shelfcrank/platform/platformtest"
)

// world is the platform around the instances: its store, cloud and endpoints.
type world struct {
	store    *storetest.Store
	writer   *writer
	record   *recorder
	sender   func(request string) string
	servers  []*http.Server
	links    map[string]*link // of instances to the store
	platform []*link          // to the store and the cloud
	cloud    *cloud

	mu        sync.Mutex
	endpoints []*endpoint // that take work; guarded by mu
	backups   []backup    // guarded by mu
	started   int         // endpoints so far; guarded by mu
	ended     bool        // guarded by mu
	wait      sync.WaitGroup
}

// cloud records the calls of duties.
type cloud struct {
	record *recorder
	down   atomic.Bool
}

var errCloudDown = errors.New("the cloud is down")

// Usage implements platformtest.Cloud.
func (c *cloud) Usage(d duty.Token, window int64, counts map[string]int64) error {
	if c.down.Load() {
		return errCloudDown
	}
	var text []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text = append(text, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	c.record.dutyCall(check.DutyCall{At: time.Now(), Holder: d.Holder, Fence: d.Fence, Window: window, Counts: strings.Join(text, ",")})
	return nil
}

// Scale implements platformtest.Cloud.
func (c *cloud) Scale(duty.Token, string, string, int, bool) error { return nil }

func newWorld(record *recorder) *world {
	s := storetest.New()
	return &world{store: s, writer: newWriter(s), links: make(map[string]*link), record: record, cloud: &cloud{record: record}}
}

// serve serves the store and the cloud as an instance sees them.
func (w *world) serve(i *instance) error {
	for _, s := range []struct {
		port    uint16
		handler http.Handler
	}{
		{storePort, platformtest.StoreHandler(w.store.Client(i.name))},
		{cloudPort, platformtest.CloudHandler(w.cloud)},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("serve the platform for %s: %w", i.name, err)
		}
		k, err := newLink(i.at(s.port).String(), netip.MustParseAddrPort(l.Addr().String()))
		if err != nil {
			_ = l.Close()
			return err
		}
		w.platform = append(w.platform, k)
		if s.port == storePort {
			w.links[i.name] = k
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
		w.servers = append(w.servers, server)
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// close ends all stand-ins.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	all := slices.Clone(w.endpoints)
	w.mu.Unlock()
	for _, e := range all {
		e.end()
	}
	for _, k := range w.platform {
		k.close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.wait.Wait()
}

// add starts an endpoint of a service in a hall.
func (w *world) add(service, hall string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	w.started++
	e := &endpoint{id: fmt.Sprintf("e-%03d", w.started), service: service, hall: hall, record: w.record, sender: w.sender, crashed: w.crashed}
	if err := e.start(); err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, e)
	return w.put(e)
}

// put writes the entry of an endpoint.
func (w *world) put(e *endpoint) error {
	key, value, err := platformtest.ServerEntry(e.entry())
	if err != nil {
		return err
	}
	w.writer.put(key, value)
	return nil
}

// drop drops the entry of an endpoint.
func (w *world) drop(e *endpoint) { w.writer.put(w.keyOf(e), nil) }

// keyOf returns the key of an endpoint's entry, "" if it has none.
func (w *world) keyOf(e *endpoint) string {
	key, _, err := platformtest.ServerEntry(e.entry())
	if err != nil {
		return ""
	}
	return key
}

// pick returns an endpoint that takes work, nil if there are too few to spare one.
func (w *world) pick(target uint64) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[target%uint64(len(w.endpoints))]
	same := 0
	for _, other := range w.endpoints {
		if other.service == e.service {
			same++
		}
	}
	if same < 2 {
		return nil
	}
	return e
}

// of returns the endpoints of a service that take work.
func (w *world) of(service string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Filter(w.endpoints, func(e *endpoint, _ int) bool { return e.service == service })
}

// remove takes an endpoint out of those that take work, and reports whether it was among them.
func (w *world) remove(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := slices.Index(w.endpoints, e)
	if n < 0 {
		return false
	}
	w.endpoints = slices.Delete(w.endpoints, n, n+1)
	return true
}

// Times of endpoints that end.
const (
	linger    = 4 * time.Second         // a leaving endpoint serves on for so long
	heartbeat = 1200 * time.Millisecond // after three of them the entry of a crashed endpoint goes
	restarts  = 2 * time.Second         // a crashed endpoint is replaced after it
)

// leave makes an endpoint leave and starts another one. A quiet one says so in its answers
// alone.
func (w *world) leave(ctx context.Context, e *endpoint, quiet bool) error {
	if !w.remove(e) {
		return nil
	}
	if err := w.add(e.service, e.hall); err != nil {
		return err
	}
	e.change(func(b *behavior) { b.leaving = true })
	if !quiet {
		if err := w.put(e); err != nil {
			return err
		}
		w.record.leaving(e.id, time.Now())
	}
	sleep(ctx, linger)
	w.drop(e)
	w.record.leaving(e.id, time.Now())
	sleep(ctx, linger)
	e.end()
	return nil
}

// crashed ends an endpoint without notice and starts another one in its place.
func (w *world) crashed(e *endpoint) {
	if !w.remove(e) {
		return
	}
	e.end()
	w.wait.Go(func() {
		time.Sleep(restarts)
		_ = w.add(e.service, e.hall) // no address is left: the run goes on with fewer
		time.Sleep(3*heartbeat - restarts)
		w.drop(e)
	})
}
