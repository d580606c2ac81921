package experiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/endpoint"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// Quantiles holds quantiles and the maximum of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// quantiles returns the quantiles of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const perMs = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / perMs, P95: float64(h.ValueAtQuantile(95)) / perMs,
		P99: float64(h.ValueAtQuantile(99)) / perMs, Max: float64(h.Max()) / perMs,
	}
}

// StoreRate holds the calls per second to the key-value store.
type StoreRate struct {
	Read  float64 `json:"read"`
	Write float64 `json:"write"`
}

// Report holds the measurements of an experiment. All counts are taken by the
// callers and the stand-ins, never from counters of the measured system.
type Report struct {
	Deployment        string                         `json:"deployment"`
	Scenario          string                         `json:"scenario"`
	Policy            string                         `json:"policy"`
	Set               string                         `json:"set,omitempty"` // cells set in the table's default row
	Seed              uint64                         `json:"seed"`
	Seconds           int                            `json:"seconds"`
	Entries           int                            `json:"entries"`
	Processes         string                         `json:"processes"`
	Sent              int                            `json:"sent"`
	Answered          int                            `json:"answered"`
	Late              int                            `json:"late"`
	Failed            int                            `json:"failed"`
	RefusedNotRun     int                            `json:"refused_not_run"`
	Unknown           int                            `json:"may_have_run"`
	Lost              int                            `json:"lost"`
	Doubled           int                            `json:"doubled"`
	WrongAnswer       int                            `json:"wrong_answer"`
	CutByPlannedStop  int                            `json:"cut_by_planned_stop"`
	SentToLeaving     int                            `json:"sent_to_leaving_after_5s"`
	TTFT              Quantiles                      `json:"ttft_ms"`
	Overhead          Quantiles                      `json:"overhead_ms"`
	Service           Quantiles                      `json:"service_ms"`
	TokensPrompt      int                            `json:"tokens_prompt"`
	TokensRecomputed  int                            `json:"tokens_recomputed"`
	TokensOutput      int                            `json:"tokens_output"`
	KVMoves           int                            `json:"kv_moves"`
	Resumes           int                            `json:"resumes"`
	Cost              float64                        `json:"cost"`
	CostPer1000OnTime float64                        `json:"cost_per_1000_on_time"`
	TableInForce      Quantiles                      `json:"table_in_force_ms"`
	TableReverts      int                            `json:"table_reverts"`
	StoreCalls        StoreRate                      `json:"store_calls_per_s"`
	ControlBytes      float64                        `json:"control_bytes_per_s"` // mean per entry instance, before traffic
	ControlCPU        float64                        `json:"control_cpu_share"`   // of one core, mean per entry instance, before traffic
	CPU               float64                        `json:"cpu_share"`           // of one core, mean per entry instance, under traffic
	MemoryMB          float64                        `json:"memory_mb"`           // maximum over the entry instances, at the end
	ByClass           map[string]*traffic.ClassTally `json:"by_class"`
	Edits             *EditTally                     `json:"edits,omitempty"`
	Errors            []string                       `json:"errors,omitempty"`
}

// BenchOptions configures an experiment.
type BenchOptions struct {
	Deployment string
	Scenario   string
	Policy     string
	Seed       uint64
	Seconds    int
	Scale      float64      // factor applied to the request rates
	Entries    int          // overrides the deployment's if not 0
	Engines    int          // overrides the first model's if not 0
	Set        []table.Cell // cells to set in the table's default row
	Base       int          // first port
	KeepLogs   string       // directory for settings and logs of the processes; empty for a temporary one
}

// PolicyOnDemand names the baseline for costs: all engines run on on-demand
// instances, none on reclaimable ones, and the table's policy stays unset.
const PolicyOnDemand = "on-demand-only"

const (
	idleWindow            = 2 * time.Second
	viewSettleTime        = 2500 * time.Millisecond
	overheadProbeInterval = 50 * time.Millisecond
)

// benchRun is the state of a running experiment.
type benchRun struct {
	o        BenchOptions
	spec     *deployment.Spec
	procs    *Processes
	balancer *traffic.Balancer
	client   *traffic.Client
	report   *Report

	mu            sync.Mutex
	errors        []string                 // guarded by mu
	directLatency *hdrhistogram.Histogram  // guarded by mu
	viaEntry      *hdrhistogram.Histogram  // guarded by mu
	timeToInForce *hdrhistogram.Histogram  // guarded by mu
	lastRevisions map[int]observedRevision // guarded by mu
}

// observedRevision is the table revision that an instance last reported. A
// restarted process has another instance ID.
type observedRevision struct {
	instance string
	revision uint64
}

// Bench runs an experiment with the entry instances and the stand-ins in
// separate processes on loopback, and returns its measurements.
func Bench(ctx context.Context, o BenchOptions) (*Report, error) {
	spec, err := deployment.Load(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Entries > 0 {
		spec.Entries = o.Entries
	}
	if o.Engines > 0 {
		spec.Models[0].Engines = o.Engines
	}
	scenario, err := findScenario(o.Scenario)
	if err != nil {
		return nil, err
	}
	dir := o.KeepLogs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "shelfcrank-bench-"); err != nil {
			return nil, fmt.Errorf("bench: %w", err)
		}
		defer os.RemoveAll(dir)
	}
	cells := slices.Clone(o.Set)
	if o.Policy != PolicyOnDemand {
		cells = append(cells, table.Cell{Column: table.ColPolicy, Value: o.Policy})
	}
	procs, err := StartProcesses(spec, o.Base, o.Seed, dir, o.Policy == PolicyOnDemand, cells...)
	if err != nil {
		return nil, err
	}
	defer procs.Stop()
	transport := netx.Transport(netx.TCP{})
	b := &benchRun{
		o: o, spec: spec, procs: procs, balancer: traffic.NewBalancer(transport, procs.Callers(), o.Seed),
		directLatency: newHistogram(), viaEntry: newHistogram(), timeToInForce: newHistogram(), lastRevisions: make(map[int]observedRevision),
	}
	b.client = traffic.NewClient(transport, b.balancer)
	b.report = &Report{Deployment: o.Deployment, Scenario: o.Scenario, Policy: o.Policy, Set: fmt.Sprint(o.Set), Seed: o.Seed, Seconds: o.Seconds, Entries: spec.Entries, Processes: "separate"}
	if err := b.run(ctx, scenario); err != nil {
		return nil, err
	}
	return b.report, nil
}

// newHistogram returns a histogram for 1 µs to 300 s.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 300_000_000, 3) }

// run measures the idle instances, then sends the scenario's traffic and injects
// its faults, and fills in the report.
func (b *benchRun) run(ctx context.Context, s scenario) error {
	if err := WaitReady(ctx, b.balancer, b.spec.Entries); err != nil {
		return err
	}
	time.Sleep(viewSettleTime) // until all instances are in the view
	before := b.processUsages()
	bytesBefore := b.peerBytes(ctx)
	time.Sleep(idleWindow)
	b.report.ControlCPU = cpuShare(before, b.processUsages(), idleWindow)
	b.report.ControlBytes = (b.peerBytes(ctx) - bytesBefore) / idleWindow.Seconds() / float64(b.spec.Entries)
	truth0, err := b.procs.Truth(ctx)
	if err != nil {
		return err
	}
	side, stopSide := context.WithCancel(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { b.balancer.Run(side) })
	if s.name == "steady" { // in other scenarios the direct calls could go to leaving endpoints
		wait.Go(func() { b.probeOverhead(side) })
	}
	wait.Go(func() { b.probeTable(side, s.edits) })
	start := time.Now()
	length := time.Duration(b.o.Seconds) * time.Second
	wait.Go(func() { s.faults(side, b, length) })
	load := traffic.NewLoad(b.spec, b.client, b.o.Seed, func(class string) float64 { return b.o.Scale * s.scale(b.spec.Class(class)) })
	before = b.processUsages()
	tally := load.Run(ctx, start.Add(length))
	if b.o.Scale == 0 {
		sleepUnlessDone(ctx, length)
	}
	took := time.Since(start)
	b.report.CPU = cpuShare(before, b.processUsages(), took)
	stopSide()
	wait.Wait()
	truth, err := b.procs.Truth(ctx)
	if err != nil {
		return err
	}
	b.fillReport(tally, truth0, truth, took)
	return nil
}

// fillReport fills in the report from the callers' counts and from the
// stand-ins' counts before and after the traffic.
func (b *benchRun) fillReport(t *traffic.Tally, t0, t1 standin.Truth, took time.Duration) {
	r := b.report
	r.Sent, r.Answered, r.Late, r.Failed, r.RefusedNotRun, r.Unknown = t.Sent, t.Answered, t.Late, t.Failed, t.RefusedNotRun, t.Unknown
	r.Lost, r.WrongAnswer, r.Resumes, r.ByClass = t.Lost, t.WrongAnswer, t.Resumes, t.ByClass
	r.Doubled, r.SentToLeaving = t1.Doubled, t1.SentToLeavingAfter5
	r.TokensPrompt, r.TokensRecomputed = t1.TokensPrompt-t0.TokensPrompt, t1.TokensRecomputed-t0.TokensRecomputed
	r.TokensOutput, r.KVMoves = t1.TokensOutput-t0.TokensOutput, t1.KVMoves-t0.KVMoves
	r.Cost = t1.Cost - t0.Cost
	if r.Answered > 0 {
		r.CostPer1000OnTime = r.Cost / float64(r.Answered) * 1000
	}
	r.StoreCalls = StoreRate{float64(t1.StoreReads-t0.StoreReads) / took.Seconds(), float64(t1.StoreWrites-t0.StoreWrites) / took.Seconds()}
	r.TTFT, r.Service = quantiles(t.First), quantiles(t.Service)
	b.mu.Lock()
	defer b.mu.Unlock()
	d, v := quantiles(b.directLatency), quantiles(b.viaEntry)
	r.Overhead = Quantiles{P50: v.P50 - d.P50, P95: v.P95 - d.P95, P99: v.P99 - d.P99, Max: v.Max - d.Max}
	r.TableInForce = quantiles(b.timeToInForce)
	r.Errors = append(t.Errors, b.errors...)
	for i := range b.spec.Entries {
		if u, ok := b.procs.processUsage(i); ok {
			r.MemoryMB = max(r.MemoryMB, float64(u.memory)/(1<<20))
		}
	}
}

func (b *benchRun) addError(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errors = append(b.errors, fmt.Sprintf(format, args...))
}

func (b *benchRun) processUsages() map[int]usage {
	out := make(map[int]usage)
	for i := range b.spec.Entries {
		if u, ok := b.procs.processUsage(i); ok {
			out[i] = u
		}
	}
	return out
}

// cpuShare returns the mean CPU use, as a share of one core, of the instances
// that ran during the whole interval.
func cpuShare(before, after map[int]usage, took time.Duration) float64 {
	sum, n := 0.0, 0
	for i, u := range after {
		if v, ok := before[i]; ok && u.cpu >= v.cpu {
			sum += (u.cpu - v.cpu).Seconds() / took.Seconds()
			n++
		}
	}
	return sum / float64(max(1, n))
}

// peerBytes returns the sum of the bytes that the entry instances have sent to
// and received from each other.
func (b *benchRun) peerBytes(ctx context.Context) float64 {
	sum := 0.0
	for i := range b.spec.Entries {
		if s, err := b.procs.Status(ctx, i); err == nil {
			sum += float64(s.SentBytes + s.ReceivedBytes)
		}
	}
	return sum
}

// probeOverhead alternates short calls to an engine directly and through an
// entry instance, and records the time to the first token of each.
func (b *benchRun) probeOverhead(ctx context.Context) {
	set, err := b.spec.StandinSettings(b.o.Base, b.o.Seed)
	if err != nil {
		return
	}
	key := ""
	for _, a := range b.spec.Accounts {
		if !a.Operator {
			key = a.Key
		}
	}
	class := ""
	for _, c := range b.spec.Classes {
		if c.Model != "" && (class == "" || c.Priority > b.spec.Class(class).Priority) {
			class = c.Name
		}
	}
	priority := b.spec.Class(class).Priority
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("probe %d %d", b.o.Seed, n)
		place := set.Engine[n%len(set.Engine)]
		if took, ok := directCall(ctx, place.Addr, prompt, priority); ok {
			b.record(b.directLatency, took)
		}
		start := time.Now()
		o := b.client.Do(ctx, traffic.Call{Class: class, Key: key, Model: class, Prompt: prompt + " via", User: prompt, MaxTokens: 1, Deadline: start.Add(10 * time.Second)})
		if o.Complete {
			b.record(b.viaEntry, o.FirstAt.Sub(start))
		}
		select {
		case <-time.After(overheadProbeInterval):
		case <-ctx.Done():
		}
	}
}

func (b *benchRun) record(h *hdrhistogram.Histogram, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = h.RecordValue(max(1, took.Microseconds()))
}

// directCall requests one token from an engine and returns the time until it
// arrived.
func directCall(ctx context.Context, addr netip.AddrPort, prompt string, priority int) (time.Duration, bool) {
	c := directClient()
	start := time.Now()
	s, err := c.Generate(ctx, addr, generateRequest(prompt, priority), func(endpoint.Signals) {})
	if err != nil {
		return 0, false
	}
	defer s.Close()
	if _, err := s.Next(); err != nil {
		return 0, false
	}
	return time.Since(start), true
}
