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

// world simulates the platform that the instances run on: the store, the cloud API and the
// endpoints.
type world struct {
	store         *storetest.Store
	writer        *writer
	record        *recorder
	instanceAt    func(addr netip.Addr) string // returns the instance that connects from an address
	servers       []*http.Server
	links         map[string]*link // from each instance to the store, by instance name
	platformLinks []*link          // from all instances to the store and the cloud API
	cloud         *cloud

	slots   int // of each endpoint
	streams Streams

	mu               sync.Mutex
	endpoints        []*endpoint        // neither leaving nor crashed; guarded by mu
	backups          []backup           // oldest first; guarded by mu
	partitions       map[netip.Addr]int // number of partitions in force, by address of the instance; guarded by mu
	endpointsStarted int                // number in the last endpoint ID; guarded by mu
	latestVersion    int                // of the engines' software; guarded by mu
	closed           bool               // guarded by mu
	wait             sync.WaitGroup
}

// cloud simulates the cloud API. It records the usage that leaders report.
type cloud struct {
	record *recorder
	down   atomic.Bool
}

var errCloudDown = errors.New("cloud API unavailable")

// Usage implements platformtest.Cloud.
func (c *cloud) Usage(d duty.Token, window int64, counts map[string]int64) error {
	if c.down.Load() {
		return errCloudDown
	}
	var text []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text = append(text, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	c.record.dutyCall(check.DutyCall{At: time.Now(), Holder: d.Leader, Fence: d.Fence, Window: window, Counts: strings.Join(text, ",")})
	return nil
}

// Scale implements platformtest.Cloud.
func (c *cloud) Scale(duty.Token, string, string, int, bool) error { return nil }

func newWorld(record *recorder, c Scenario) *world {
	s := storetest.New()
	return &world{store: s, writer: newWriter(s), links: make(map[string]*link), partitions: make(map[netip.Addr]int), record: record, cloud: &cloud{record: record}, slots: c.Slots, streams: c.Streams, latestVersion: max(1, c.Streams.Versions)}
}

// serveInstance serves the store and the cloud API to one instance, each behind a link of its own.
func (w *world) serveInstance(i *instance) error {
	for _, s := range []struct {
		port    uint16
		handler http.Handler
	}{
		{storePort, platformtest.StoreHandler(w.store.Client(i.name))},
		{cloudPort, platformtest.CloudHandler(w.cloud)},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for platform calls of %s: %w", i.name, err)
		}
		k, err := newLink(i.at(s.port).String(), netip.MustParseAddrPort(l.Addr().String()))
		if err != nil {
			_ = l.Close()
			return err
		}
		w.platformLinks = append(w.platformLinks, k)
		if s.port == storePort {
			w.links[i.name] = k
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: 5 * time.Second}
		w.servers = append(w.servers, server)
		go func() { _ = server.Serve(l) }()
	}
	return nil
}

// close shuts down the endpoints, links and HTTP servers, and waits for replacements in progress.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	all := slices.Clone(w.endpoints)
	w.mu.Unlock()
	for _, e := range all {
		e.stop()
	}
	for _, k := range w.platformLinks {
		k.close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.wait.Wait()
}

// versionName returns the name of a software version.
func versionName(n int) string { return fmt.Sprintf("v%d", n) }

// nextVersion returns the version of a release: a later one than any before, or the first.
func (w *world) nextVersion(back bool) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if back {
		return versionName(1)
	}
	w.latestVersion++
	return versionName(w.latestVersion)
}

// addEndpoint starts an endpoint of a service in a hall and registers it in the store. After close it
// does nothing.
func (w *world) addEndpoint(service, hall, version string) error {
	return w.addEndpointAt(nil, service, hall, version)
}

// addEndpointAt does the same behind the link of an endpoint that has ended.
func (w *world) addEndpointAt(k *link, service, hall, version string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.endpointsStarted++
	e := &endpoint{
		id: fmt.Sprintf("e-%03d", w.endpointsStarted), service: service, hall: hall, version: version, slots: w.slots, varied: w.streams.Varied, link: k,
		record: w.record, instanceAt: w.instanceAt, onCrash: w.crash,
	}
	if err := e.start(); err != nil {
		return err
	}
	for source, n := range w.partitions {
		e.link.cutOff(source, n > 0, false)
	}
	w.endpoints = append(w.endpoints, e)
	return w.putEntry(e)
}

// partition takes the paths of an instance to all endpoints, or restores them when the last of several
// partitions ends.
func (w *world) partition(source netip.Addr, cut, reset bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut {
		w.partitions[source]++
	} else {
		w.partitions[source]--
	}
	for _, e := range w.endpoints {
		e.link.cutOff(source, w.partitions[source] > 0, reset)
	}
}

// putEntry registers an endpoint in the store, or updates its registration.
func (w *world) putEntry(e *endpoint) error {
	key, value, err := platformtest.EndpointEntry(e.storeEntry())
	if err != nil {
		return err
	}
	w.writer.put(key, value)
	return nil
}

// dropEntry removes an endpoint's registration from the store.
func (w *world) dropEntry(e *endpoint) { w.writer.put(w.entryKey(e), nil) }

// entryKey returns the store key of an endpoint's registration, "" if it can't be encoded.
func (w *world) entryKey(e *endpoint) string {
	key, _, err := platformtest.EndpointEntry(e.storeEntry())
	if err != nil {
		return ""
	}
	return key
}

// pickEndpoint selects an endpoint for a fault. It returns nil if the endpoint is the last one of its
// service.
func (w *world) pickEndpoint(target uint64) *endpoint {
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

// endpointsOf returns the endpoints of a service that are neither leaving nor crashed.
func (w *world) endpointsOf(service string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lo.Filter(w.endpoints, func(e *endpoint, _ int) bool { return e.service == service })
}

// removeEndpoint takes an endpoint off the list of live ones, and reports whether it was on it.
func (w *world) removeEndpoint(e *endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := slices.Index(w.endpoints, e)
	if n < 0 {
		return false
	}
	w.endpoints = slices.Delete(w.endpoints, n, n+1)
	return true
}

// Timing of endpoints that leave or crash.
const (
	drainTime         = 4 * time.Second         // a leaving endpoint keeps its registration this long, and serves as long again without it
	heartbeatInterval = 1200 * time.Millisecond // the registration of a crashed endpoint is removed after three intervals
	restartDelay      = 2 * time.Second         // from the crash of an endpoint to the start of its replacement
)

// retire starts a replacement for an endpoint and makes the endpoint leave. With quiet set the
// endpoint announces that only in its responses, not in the store.
func (w *world) retire(ctx context.Context, e *endpoint, quiet bool) error {
	return w.replace(ctx, e, quiet, e.version)
}

// replace does the same with a replacement of another version.
func (w *world) replace(ctx context.Context, e *endpoint, quiet bool, version string) error {
	if !w.removeEndpoint(e) {
		return nil
	}
	if err := w.addEndpoint(e.service, e.hall, version); err != nil {
		return err
	}
	w.record.endpointEnds(e.id)
	e.updateBehavior(func(b *behavior) { b.leaving = true })
	if !quiet {
		if err := w.putEntry(e); err != nil {
			return err
		}
		w.record.leaving(e.id, time.Now())
	}
	sleep(ctx, drainTime)
	w.dropEntry(e)
	w.record.leaving(e.id, time.Now())
	sleep(ctx, drainTime)
	e.stop()
	return nil
}

// crash stops an endpoint without notice and starts a replacement some time later.
func (w *world) crash(e *endpoint) {
	if !w.removeEndpoint(e) {
		return
	}
	e.stop()
	w.wait.Go(func() {
		time.Sleep(restartDelay)
		_ = w.addEndpoint(e.service, e.hall, e.version) // on an error the run continues with one endpoint fewer
		time.Sleep(3*heartbeatInterval - restartDelay)
		w.dropEntry(e)
	})
}

// restartDelays are the times from the end of an endpoint's process to the start of another one at the same
// address, of which the target of the fault selects one. The last one is long enough for a new address.
var restartDelays = []time.Duration{0, 5 * time.Millisecond, 40 * time.Millisecond, restartDelay}

// end ends the process of an endpoint without notice and starts another endpoint.
func (w *world) end(ctx context.Context, e *endpoint, target uint64) {
	if !w.removeEndpoint(e) {
		return
	}
	target /= 1024 // the lower bits select the endpoint
	e.end(target%2 == 0, target/2%2 == 0)
	delay := restartDelays[target/4%uint64(len(restartDelays))]
	sleep(ctx, delay)
	k := e.link
	if delay == restartDelay {
		k.close()
		k = nil
	}
	_ = w.addEndpointAt(k, e.service, e.hall, e.version) // on an error the run continues with one endpoint fewer
	sleep(ctx, 3*heartbeatInterval-delay)
	w.dropEntry(e)
}
