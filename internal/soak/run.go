package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/check"
	"github.com/shelfcrank/shelfcrank/internal/storetest"
)

// Options configure a run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	Actions  []Action  // faults to inject; nil means the schedule drawn from Seed
	Dir      string    // for settings and log files
	Program  string    // of the instances; empty for the running one
	Progress io.Writer // receives a progress line every few seconds; may be nil
}

// Report is the result of a run.
type Report struct {
	Seed       uint64            `json:"seed"`
	Scenario   Scenario          `json:"scenario"`
	Actions    []Action          `json:"actions"`
	Seconds    []Second          `json:"seconds"`
	Attempts   int               `json:"attempts"`
	Arrivals   int               `json:"arrivals"`
	Served     int               `json:"served"`
	Refused    int               `json:"refused"`
	Overload   int               `json:"refused_for_capacity"` // those of Refused for which the instances logged this reason
	Failed     int               `json:"failed"`
	TakeUps    check.TakeUps     `json:"take_ups"`
	Violations []check.Violation `json:"violations"`
	Began      time.Time         `json:"began"` // start of the traffic
	Logs       map[string]string `json:"-"`     // log file by instance name
}

// run is the state of a run in progress.
type run struct {
	Options
	record    *recorder
	world     *world
	operator  *operator
	traffic   *traffic
	instances []*instance
	faults    sync.WaitGroup // faults in progress and the background goroutines
}

// Timing of a run.
const (
	startTimeout     = 10 * time.Second // for all instances to become ready
	progressInterval = 5 * time.Second
)

// Run starts the instances and the simulated platform, sends traffic, injects the faults and checks
// the recorded history. It stops when ctx ends. It terminates only processes that it started.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Actions == nil {
		o.Actions = Schedule(o.Scenario, o.Seed)
	}
	r, err := newRun(o)
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return nil, err
	}
	live, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, i := range r.instances {
		go i.probeReadiness(live)
	}
	if err := r.awaitReady(live); err != nil {
		return nil, err
	}
	r.execute(ctx)
	return r.report(ctx)
}

func newRun(o Options) (*run, error) {
	record := &recorder{}
	r := &run{Options: o, record: record, world: newWorld(record, o.Scenario)}
	for n := range o.Scenario.Instances {
		r.instances = append(r.instances, newInstance(n, o.Scenario, o.Dir, o.Program, record))
	}
	r.operator = newOperator(r.world.writer, record, o.Scenario, o.Seed)
	r.traffic = newTraffic(r.instances, r.operator, record, o.Scenario.Streams, o.Seed)
	r.world.instanceAt = r.instanceAt
	if err := r.operator.configure(); err != nil {
		return r, err
	}
	for n := range o.Scenario.Engines + o.Scenario.Services {
		service, version := engineService, versionName(1+n%max(1, o.Scenario.Streams.Versions))
		if n >= o.Scenario.Engines {
			service, version = plainService, versionName(1)
		}
		if err := r.world.addEndpoint(service, hallOf(n, o.Scenario), version); err != nil {
			return r, err
		}
	}
	for _, i := range r.instances {
		if err := i.removeLog(); err != nil {
			return r, err
		}
		if err := r.world.serveInstance(i); err != nil {
			return r, err
		}
	}
	for _, i := range r.instances {
		if err := i.start(); err != nil {
			return r, err
		}
	}
	return r, nil
}

// instanceAt returns the name of the instance with an address, "" if there is none.
func (r *run) instanceAt(addr netip.Addr) string {
	for _, i := range r.instances {
		if i.addr == addr {
			return i.name
		}
	}
	return ""
}

// close kills all instances and shuts the simulated platform down.
func (r *run) close() {
	var wait sync.WaitGroup
	for _, i := range r.instances {
		wait.Go(i.kill)
	}
	wait.Wait()
	r.world.close()
}

var errNotReady = errors.New("not all instances became ready in time")

func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		ready := 0
		for _, i := range r.instances {
			if _, ok := i.status(); ok {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return errNotReady
}

// Stops may last until the grace period ends if requests are long, and the rule RECOVER is about the
// requests after that.
const (
	recoveryTime = 3 * time.Second  // for which there is traffic in which the system must have recovered
	maxExtension = 10 * time.Second // of a run, to that end
)

// execute sends traffic and injects the scheduled faults until the run's time is over, or until
// recoveryTime after the system must have recovered from the last fault.
func (r *run) execute(outer context.Context) {
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	begin := time.Now()
	r.faults.Go(func() {
		defer cancel()
		end := begin.Add(time.Duration(r.Scenario.Seconds) * time.Second)
		sleep(ctx, time.Until(end))
		recovered := r.record.lastDisruption().Add(checkBounds().Recover + recoveryTime)
		sleep(ctx, min(time.Until(recovered), maxExtension))
	})
	r.faults.Go(func() { r.progress(ctx, begin) })
	r.faults.Go(func() { r.world.takeBackups(ctx) })
	r.faults.Go(func() {
		for _, a := range r.Actions {
			sleep(ctx, time.Until(begin.Add(a.At)))
			if ctx.Err() != nil {
				return
			}
			r.faults.Go(func() { r.inject(ctx, a) })
		}
	})
	r.traffic.run(ctx, outer, r.Scenario.Rate)
	r.faults.Wait()
}

func (r *run) progress(ctx context.Context, begin time.Time) {
	if r.Progress == nil {
		return
	}
	for {
		sleep(ctx, progressInterval)
		if ctx.Err() != nil {
			return
		}
		served, refused, failed := sum(r.traffic.totals())
		fmt.Fprintf(r.Progress, "%4.0f s: %d served, %d refused, %d failed\n", time.Since(begin).Seconds(), served, refused, failed)
	}
}

func sum(seconds []Second) (served, refused, failed int) {
	for _, s := range seconds {
		served, refused, failed = served+s.Served, refused+s.Refused, failed+s.Failed
	}
	return served, refused, failed
}

// report checks the recorded history and returns the results. It fails if ctx has ended, since the
// run is then incomplete.
func (r *run) report(ctx context.Context) (*Report, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	out := &Report{Seed: r.Seed, Scenario: r.Scenario, Actions: r.Actions, Seconds: r.traffic.totals(), Began: r.traffic.startedAt, Logs: make(map[string]string)}
	for _, i := range r.instances {
		if err := i.recordInvariantViolations(); err != nil {
			return nil, err
		}
		refused, err := i.capacityRefusals()
		if err != nil {
			return nil, err
		}
		r.record.refusedForCapacity(refused)
		out.Logs[i.name] = i.logFile()
		out.Overload += len(refused)
	}
	h := r.record.finish(checkBounds(), r.operator.accounts())
	out.Served, out.Refused, out.Failed = sum(out.Seconds)
	out.Attempts, out.Arrivals = len(h.Attempts), len(h.Arrivals)
	out.Violations, out.TakeUps = check.Run(h), check.CountTakeUps(h)
	return out, nil
}

// TempDir creates a temporary directory for the files of a run. Calling remove deletes it.
func TempDir() (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "shelfcrank-soak-")
	if err != nil {
		return "", nil, fmt.Errorf("create run directory: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// lateWriteDelay is how long after its request a write without a response takes effect.
const lateWriteDelay = time.Second

// storeFaults maps kinds of faults to the faults injected into the store, for one instance or all.
var storeFaults = map[Kind]storetest.Faults{
	StoreDown:         {Down: true},
	StoreRefuses:      {Refuse: true},
	StoreSlow:         {Slow: 300 * time.Millisecond},
	StoreLosesAnswers: {LoseNext: 3, LateBy: lateWriteDelay},
	StoreSilent:       {WatchSilent: true},
}
