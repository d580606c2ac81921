package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/clocktest"
	"github.com/shelfcrank/shelfcrank/internal/duty"
	"github.com/shelfcrank/shelfcrank/internal/forward"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/ratelimit"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// testPlatform is a minimal platform protocol: plain header and key names, and values that are the
// JSON of the product's own types.
type testPlatform struct{}

func (testPlatform) Answer(status int, h http.Header) backend.Answer {
	a := backend.Answer{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	a.Notice.Leaving = h.Get("Leaving") != ""
	a.Brittle, _ = strconv.Atoi(h.Get("Brittle"))
	if text := h.Get("Limit"); text != "" {
		a.RateLimit = ratelimit.Parse(text)
	}
	if r := (loadreport.Report{}); h.Get("Load") != "" {
		_, err := fmt.Sscanf(h.Get("Load"), "%d,%d,%d,%g", &r.Running, &r.Waiting, &r.Slots, &r.Slowdown)
		a.Load, a.HasLoad = r, err == nil
	}
	if backoff, err := time.ParseDuration(h.Get("Rest")); err == nil && status == http.StatusServiceUnavailable {
		a.Notice.Backoff = backoff
	}
	return a
}

func (testPlatform) Request(h http.Header) forward.Meta {
	m := forward.Meta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last"), Resumes: h.Get("Resumes")}
	if n, err := strconv.Atoi(h.Get("Tokens")); err == nil {
		m.HasTokens, m.PromptTokens = true, n
	}
	for item := range strings.SplitSeq(h.Get("Parts"), ",") {
		if id, count, ok := strings.Cut(item, ":"); ok {
			n, _ := strconv.Atoi(count)
			m.Parts = append(m.Parts, forward.Part{ID: id, Tokens: n})
		}
	}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		m.Timeout, m.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	return m
}

func (testPlatform) Clean(h http.Header) { h.Del("Key"); h.Del("Connection"); h.Del("Content-Length") }
func (testPlatform) CleanAnswer(h http.Header) {
	h.Del("Connection")
	h.Del("Content-Length")
	h.Del("Transfer-Encoding")
}
func (testPlatform) Outgoing(h http.Header, o forward.Outgoing) {
	h.Set("Server", o.Endpoint)
	h.Set("Account", o.Account)
	if o.LastEventID != "" {
		h.Set("Last", o.LastEventID)
	}
}
func (testPlatform) RetryAfter(h http.Header, wait time.Duration) {
	h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
}

func (testPlatform) OperatorPrefix() string { return "op/" }
func (testPlatform) ConfigKey() string      { return "op/config" }
func (testPlatform) EndpointPrefix() string { return "server/" }
func (testPlatform) OwnPrefix() string      { return "own/" }
func (testPlatform) Config(value []byte) (*policy.Config, error) {
	var c policy.Config
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	return policy.New(c)
}

var errNoAddress = errors.New("no address")

func (testPlatform) EndpointID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }
func (testPlatform) Endpoint(id string, value []byte, _ time.Time) (registry.Endpoint, error) {
	var s registry.Endpoint
	err := json.Unmarshal(value, &s)
	s.ID, s.Name = registry.IncarnationID(id, s.StartedAt), id
	if err == nil && !s.Addr.IsValid() {
		err = errNoAddress
	}
	return s, err
}
func (testPlatform) Order(key string, value []byte) (rollout.Order, bool, error) {
	service, ok := strings.CutPrefix(key, "op/rollout/")
	var o rollout.Order
	err := json.Unmarshal(value, &o)
	o.Service = service
	return o, ok, err
}
func (testPlatform) Status(r rollout.Record) (string, []byte, error) {
	return "status/rollout/" + r.Service, []byte(r.Phase), nil
}

// cloud records the leader's usage reports and checks their order and consistency.
type cloud struct {
	mu         sync.Mutex
	windows    map[int64]map[string]int64
	fences     []store.Revision
	violations []string
	down       bool
}

func (c *cloud) ReportUsage(ctx context.Context, d duty.Token, window int64, counts map[string]int64) error {
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return duty.ErrRefused
	}
	if n := len(c.fences); n > 0 && d.Fence < c.fences[n-1] {
		c.violations = append(c.violations, fmt.Sprintf("fence %d after %d", d.Fence, c.fences[n-1]))
	}
	c.fences = append(c.fences, d.Fence)
	if old, ok := c.windows[window]; ok && !maps.Equal(old, counts) {
		c.violations = append(c.violations, fmt.Sprintf("window %d reported as %v and as %v", window, old, counts))
	}
	c.windows[window] = counts
	return ctx.Err()
}

func (c *cloud) Order(context.Context, duty.Token, string, string, int, bool) error { return nil }

// testCluster is a small deployment in virtual time.
type testCluster struct {
	t         *testing.T
	mem       *netx.Mem
	store     *storetest.Store
	cloud     *cloud
	instances map[string]*testInstance
	client    *http.Client
	log       *requestLog
	starts    int
	// lenientRevoke turns StrictRevoke off: revoked keys are accepted during an outage of the store
	// for all instances.
	lenientRevoke bool
	excused       func(request string) bool // whether the instance that got it was recently unable to read the store
	listDelay     time.Duration             // delay added to a listing of the endpoints
	rate          float64                   // limit of the client account, requests a second; 0 for none
	burst         float64
	quotaOver     float64              // share by which the requests in a window may exceed the limit
	changeConfig  func(*policy.Config) // changes each version of the configuration; may be nil
	moreRetries   float64              // beyond the usual slack of the retry budget
	storeWrites   int                  // writes a second that the store accepts, as the settings tell; 0 if they do not
	grace         time.Duration        // time from the signal of a planned stop until the process is killed

	mu          sync.Mutex
	runs        map[string]int       // by request id; guarded by mu
	workTime    time.Duration        // how long endpoints work on a request; guarded by mu
	lastRequest map[string]time.Time // time of the last request at each endpoint; guarded by mu
	slowSites   map[string]bool      // sites that messages reach after slowDelay; guarded by mu
	withdrawn   map[string]time.Time // since when an endpoint's entry forbids new requests; guarded by mu
	cancelled   map[string]time.Time // when work on a request was cancelled at its endpoint, by request id; guarded by mu
	violations  []string             // violations observed; guarded by mu

	rollouts   *rolloutEndpoints // set if the cluster has roll-outs
	statements *endpointNotices  // announcements that endpoints make in their answers, and their effects

	queues    *endpointQueues                  // if set, endpoints have slots and queues
	halls     int                              // number of halls that instances are spread over
	endpoints int                              // number of endpoints
	versions  []string                         // of the software of the endpoints; may be empty
	deaths    *endpointCrashes                 // endpoints that end while they work on a request
	limits    *rateLimits                      // rate limits that endpoints announce
	overload  settings.Overload                // settings of the instances
	brittle   *brittleEndpoints                // set if endpoints may become brittle
	uneven    *unevenEndpoints                 // set if endpoints process prompts at different speeds
	report    string                           // load that endpoints report in their answers; empty for none
	hosts     map[string]*clocktest.TimeSource // hosts of the instances if these can be suspended; else nil
	restarts  sync.WaitGroup                   // restarts of endpoints that ended
}

// slowDelay is longer than the time-out for offers of hubs.
const slowDelay = 2 * offerTimeout

// delay returns the latency of a message from one site to another.
func (w *testCluster) delay(_, to string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slowSites[to] {
		return slowDelay
	}
	return time.Millisecond
}

// slowDown delays every message to the instances by slowDelay.
func (w *testCluster) slowDown(names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.slowSites[w.instances[name].site] = true
	}
}

type testInstance struct {
	instance *Instance
	site     string
	stop     context.CancelFunc
	done     chan struct{}
}

const (
	testHost      = "shop.example"
	frontPort     = 8000
	readyPort     = 8001
	testEndpoints = 3
)

func newTestCluster(t *testing.T, instances int, options ...func(*testCluster)) *testCluster {
	t.Helper()
	w := &testCluster{
		t: t, store: storetest.New(), log: newRequestLog(t),
		cloud: &cloud{windows: make(map[int64]map[string]int64)}, instances: make(map[string]*testInstance),
		runs: make(map[string]int), cancelled: make(map[string]time.Time), workTime: 20 * time.Millisecond, lastRequest: make(map[string]time.Time), slowSites: make(map[string]bool), withdrawn: make(map[string]time.Time),
		statements: newEndpointNotices(), halls: 1, grace: 8 * time.Second, excused: func(string) bool { return false }, endpoints: testEndpoints, deaths: newEndpointCrashes(), limits: newRateLimits(),
	}
	w.mem = netx.NewMem(w.delay)
	for _, option := range options {
		option(w)
	}
	w.client = &http.Client{Transport: netx.Transport(w.mem.Site("client"))}
	w.configure(1, "k1", "k2")
	for i := range w.endpoints {
		w.startEndpoint(i)
	}
	for i := range instances {
		w.start(fmt.Sprint("n", i))
	}
	time.Sleep(time.Second)
	return w
}

// configure puts a version of the configuration in the store.
func (w *testCluster) configure(version int64, keys ...string) {
	route := func(name string, kind policy.Kind) policy.Route {
		return policy.Route{Name: name, Host: testHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 3 * time.Second, MaxAttempts: 2, Split: []policy.Share{{Service: "svc", Weight: 1}}}
	}
	c := policy.Config{
		Version: version, Routes: []policy.Route{route("once", policy.Unsafe), route("safe", policy.Safe)},
		Services: []policy.Service{{Name: "svc"}}, Accounts: []policy.Account{{Name: "north", Keys: keys, Rate: w.rate, Burst: w.burst}},
	}
	if version > 1 {
		c.Routes = append(c.Routes, route("new", policy.Safe))
	}
	if w.changeConfig != nil {
		w.changeConfig(&c)
	}
	value, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", value)
}

func endpointID(i int) string { return fmt.Sprint("s", i) }

// numberOf returns the number of an endpoint by its ID.
func numberOf(endpoint string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(endpoint, "s"))
	return n
}

// putEndpoint writes the entry of an endpoint, and returns its size.
func (w *testCluster) putEndpoint(i int, leaving bool) int {
	value, err := json.Marshal(registry.Endpoint{Service: "svc", Version: w.version(i), Addr: addrOf(100+i, 80), Hall: "z", Slots: w.queues.slotCount(), Leaving: leaving})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("server/"+endpointID(i), value)
	return len("server/"+endpointID(i)) + len(value)
}

func addrOf(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(host >> 8), byte(host)}), uint16(port))
}

func (w *testCluster) startEndpoint(i int) {
	w.listenAs(i)
	if w.endpoints > testEndpoints {
		w.putIncarnation(i, time.Now(), false)
		return
	}
	w.putEndpoint(i, false)
}

// listenAs starts the process of an endpoint.
func (w *testCluster) listenAs(i int) {
	l, err := w.mem.Site(endpointID(i)).Listen(addrOf(100+i, 80))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if w.survives(i, r) {
			w.handleRequest(endpointID(i), rw, r)
		}
	})}
	w.deaths.started(i, s)
	go func() { _ = s.Serve(l) }()
	w.t.Cleanup(func() { _ = s.Close() })
}

func (w *testCluster) handleRequest(endpoint string, rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Id")
	if r.Header.Get("Server") != endpoint {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.brittle.announce(rw.Header())
	if w.brittle != nil {
		w.queues.setQueue(w.brittle.queue())
	}
	if !w.queues.enter(endpoint) {
		rw.Header().Set("Id", id)
		rw.Header().Set("Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		if w.brittle.rejects(endpoint) {
			go w.crash(numberOf(endpoint), "", fallTime)
		}
		return
	}
	defer w.queues.leave(endpoint)
	excused := w.excused(id)
	w.mu.Lock()
	w.runs[id]++
	w.lastRequest[endpoint] = time.Now()
	if since := w.withdrawn[endpoint]; !since.IsZero() && time.Since(since) > w.drain() && !excused {
		w.violations = append(w.violations, fmt.Sprintf("%s reached %s %s after its entry forbade new requests", id, endpoint, time.Since(since)))
	}
	hold := w.workTime
	w.limits.arrives(endpoint, id, time.Now())
	w.violations = append(w.violations, w.statements.arrives(endpoint, id, w.drain(), time.Now())...)
	w.mu.Unlock()
	if status := w.statements.answer(endpoint, id, rw.Header(), time.Now()); status != 0 {
		w.limits.answers(endpoint, id, rw.Header(), time.Now())
		rw.WriteHeader(status)
		return
	}
	stop := context.AfterFunc(r.Context(), func() { w.recordCancelled(id) })
	defer stop()
	hold, fails := w.rollouts.serve(endpoint, r.URL.Path, hold)
	fails = fails || w.deaths.failedBeforeRun(id)
	time.Sleep(hold)
	w.rollouts.served(endpoint)
	rw.Header().Set("Id", id)
	rw.Header().Set("Seal", "of "+endpoint)
	if w.report != "" {
		rw.Header().Set("Load", w.report)
	}
	w.limits.answers(endpoint, id, rw.Header(), time.Now())
	if strings.HasPrefix(r.URL.Path, "/resume/") {
		w.streamEvents(endpoint, rw, r)
		return
	}
	if w.uneven != nil {
		w.uneven.serve(endpoint, r, rw)
		return
	}
	if fails {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(rw, "answer to "+id)
}

// drain returns the bound after which an endpoint that leaves gets no new requests.
func (w *testCluster) drain() time.Duration { return w.settings("n0", 1).Bounds.Drain() }

func (w *testCluster) settings(name string, host int) settings.Front {
	return settings.Front{
		Name: name, Hall: w.hall(host), Front: addrOf(host, frontPort), Ready: addrOf(host, readyPort), Peer: addrOf(host, 8002), Metrics: addrOf(host, 8003), StoreWritesPerSecond: float64(w.storeWrites), Overload: w.overload,
		Bounds: settings.Bounds{RevokeMs: 5000, StrictRevoke: !w.lenientRevoke, ConfigMs: 2000, StoreRefusedExtraMs: 5000, DrainMs: 2000, GraceS: w.grace.Seconds(), RetryRatio: 0.2, RetrySlack: 50 + w.moreRetries, RetryWindowS: 10, LeaseMs: 3000, UsageWindowS: 5, UsageLateS: 10, QuotaWindowS: 8, QuotaOver: w.quotaOver, ExposeShare: w.rollouts.share(), ExposeSlack: exposeSlack},
	}
}

// hall returns the hall of an instance.
func (w *testCluster) hall(host int) string { return "z" + strings.Repeat("z", host%w.halls) }

func hostOf(name string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "n"))
	return 1 + n
}

// slowListing is a store that delays listings of the endpoints.
type slowListing struct {
	Store
	delay time.Duration
}

func (s slowListing) Range(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	if prefix == (testPlatform{}).EndpointPrefix() {
		time.Sleep(s.delay)
	}
	return s.Store.Range(ctx, prefix)
}

func (w *testCluster) start(name string) {
	w.starts++
	site := fmt.Sprint(name, "-", w.starts)
	o := Options{
		Settings: w.settings(name, hostOf(name)), Net: w.mem.Site(site), Store: slowListing{w.store.Client(name), w.listDelay}, Cloud: w.cloud,
		Decoder: testPlatform{}, Protocol: testPlatform{}, Log: w.log.logger(name), Seed: uint64(w.starts),
	}
	if w.hosts != nil {
		w.hosts[name] = clocktest.New()
		o.Clock = clock.New(w.hosts[name])
		o.Cloud = suspendableCloud{w.cloud, w.hosts[name]}
	}
	n, err := New(o)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &testInstance{n, site, stop, make(chan struct{})}
	w.instances[name] = r
	go func() {
		defer close(r.done)
		if err := n.Run(ctx); err != nil {
			w.t.Error(err)
		}
	}()
}

// kill cuts instances off the network and the store at the same moment and then stops them, so that
// nothing they do while stopping is seen by others.
func (w *testCluster) kill(names ...string) {
	var killed []*testInstance
	for _, name := range names {
		r := w.instances[name]
		delete(w.instances, name)
		w.mem.Kill(r.site)
		w.store.SetFaults(name, storetest.Faults{Refuse: true})
		killed = append(killed, r)
	}
	for _, r := range killed {
		r.stop()
	}
	for _, r := range killed {
		<-r.done
	}
	for _, name := range names {
		w.store.SetFaults(name, storetest.Faults{})
	}
}

// setFaults sets the faults with which the store serves instances.
func (w *testCluster) setFaults(f storetest.Faults, names ...string) {
	for _, name := range names {
		w.store.SetFaults(name, f)
	}
}

// restart stops an instance gracefully and starts it again.
func (w *testCluster) restart(name string) {
	r := w.instances[name]
	r.stop()
	<-r.done
	w.start(name)
}

func (w *testCluster) close() {
	for _, r := range w.instances {
		r.stop()
	}
	for _, r := range w.instances {
		<-r.done
	}
	w.restarts.Wait()
	w.client.CloseIdleConnections()
	time.Sleep(10 * time.Second)
}

// ask sends a request to an instance and returns the status, 0 if there was no answer.
func (w *testCluster) ask(instance, path, key, id string) int {
	return w.askUntil(instance, path, key, id, 3*time.Second)
}

// askUntil is ask for a client that disconnects after stay.
func (w *testCluster) askUntil(instance, path, key, id string, stay time.Duration) int {
	return w.askWithDeadline(instance, path, key, id, stay, 2500*time.Millisecond)
}

// askWithin is ask with a deadline of the request, for a client that waits a second longer.
func (w *testCluster) askWithin(deadline time.Duration, instance, path, id string) int {
	return w.askWithDeadline(instance, path, "k1", id, deadline+time.Second, deadline)
}

func (w *testCluster) askWithDeadline(instance, path, key, id string, stay, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addrOf(hostOf(instance), frontPort).String()+path, io.MultiReader(strings.NewReader("body")))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Id", id)
	r.Header.Set("Key", key)
	r.Header.Set("Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := w.client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && (err != nil || string(body) != "answer to "+id) {
		w.t.Errorf("request %s got %q, %v", id, body, err)
	}
	return resp.StatusCode
}

func (w *testCluster) ready(instance string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addrOf(hostOf(instance), readyPort).String()+"/", nil)
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// recordCancelled records that work on a request was cancelled at its endpoint.
func (w *testCluster) recordCancelled(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled[id] = time.Now()
}

// cancelledAt returns when work on a request was cancelled; zero if it was not.
func (w *testCluster) cancelledAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled[id]
}

func (w *testCluster) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// startedRequests returns the number of requests that ran.
func (w *testCluster) startedRequests() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// setWorkTime sets how long endpoints setWorkTime on a request.
func (w *testCluster) setWorkTime(hold time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workTime = hold
}

// lastRequestAt returns when an endpoint got its last request.
func (w *testCluster) lastRequestAt(endpoint string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastRequest[endpoint]
}
