// Package experiment runs deployments on stand-ins and measures them: the
// demo, embedded in one process, and the bench, in separate ones.
//
// A Run belongs to one goroutine; what it starts runs on its own.
package experiment

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/entry"
	"github.com/shelfcrank/shelfcrank/internal/netx"
	"github.com/shelfcrank/shelfcrank/internal/relay"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
	"github.com/shelfcrank/shelfcrank/internal/traffic"
)

// Embedded is a deployment whose parts all run in this process.
type Embedded struct {
	Spec  *deployment.Spec
	World *standin.World

	base     int
	site     func(string) netx.Network
	log      *zap.Logger
	switches relay.Switches
	seed     uint64
	peerTLS  func(entry string) *tls.Config
	clock    func(entry string) *clock.Clock

	mu      sync.Mutex
	entries map[int]*embeddedEntry // guarded by mu
	wait    sync.WaitGroup         // for killed instances
}

type embeddedEntry struct {
	instance *entry.Instance
	stop     context.CancelFunc
	done     chan struct{}
	left     int
}

// EmbeddedOptions are what an embedded deployment is made of.
type EmbeddedOptions struct {
	Spec     *deployment.Spec
	Base     int                       // first port
	Site     func(string) netx.Network // the network as seen from an instance
	Log      *zap.Logger
	Seed     uint64
	Switches relay.Switches
	System   []table.Cell // cells of the first table's default row

	PeerTLS func(entry string) *tls.Config  // between entry instances; nil for plain text
	Clock   func(entry string) *clock.Clock // of each entry instance; nil for the steady time
}

// StartEmbedded starts the stand-ins and all entry instances.
func StartEmbedded(o EmbeddedOptions) (*Embedded, error) {
	set, err := o.Spec.StandIns(o.Base, o.Seed, o.System...)
	if err != nil {
		return nil, err
	}
	e := &Embedded{Spec: o.Spec, base: o.Base, site: o.Site, log: o.Log, switches: o.Switches, seed: o.Seed, peerTLS: o.PeerTLS, clock: o.Clock, entries: make(map[int]*embeddedEntry)}
	e.World = standin.New(o.Site("platform"), o.Site, set)
	if err := e.World.Start(); err != nil {
		return nil, err
	}
	for i := range o.Spec.Entries {
		if err := e.StartEntry(i); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// StartEntry starts the i-th entry instance.
func (e *Embedded) StartEntry(i int) error {
	set := e.Spec.Entry(e.base, i)
	o := entry.Options{Settings: set, Net: e.site(set.Name), Log: e.log.Named(set.Name), Seed: e.seed + uint64(i), Switches: e.switches}
	if e.peerTLS != nil {
		o.PeerTLS = e.peerTLS(set.Name)
	}
	if e.clock != nil {
		o.Clock = e.clock(set.Name)
	}
	inst, err := entry.New(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ee := &embeddedEntry{instance: inst, stop: cancel, done: make(chan struct{})}
	e.mu.Lock()
	e.entries[i] = ee
	e.mu.Unlock()
	go func() {
		defer close(ee.done)
		left, err := inst.Run(ctx)
		if err != nil {
			e.log.Error("entry instance", zap.Error(err))
		}
		ee.left = left
	}()
	return nil
}

// Entry returns the i-th entry instance, or nil.
func (e *Embedded) Entry(i int) *entry.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ee := e.entries[i]; ee != nil {
		return ee.instance
	}
	return nil
}

// StopEntry stops the i-th entry instance as a planned stop does, and returns
// how many requests it could not hand over.
func (e *Embedded) StopEntry(i int) int {
	e.mu.Lock()
	ee := e.entries[i]
	delete(e.entries, i)
	e.mu.Unlock()
	if ee == nil {
		return 0
	}
	ee.stop()
	<-ee.done
	return ee.left
}

// KillEntry ends the i-th entry instance without notice: cut takes its network
// away first. What is left of the process is stopped in the background.
func (e *Embedded) KillEntry(i int, cut func(site string)) {
	e.mu.Lock()
	ee := e.entries[i]
	delete(e.entries, i)
	e.mu.Unlock()
	if ee == nil {
		return
	}
	cut(e.Spec.Entry(e.base, i).Name)
	ee.stop()
	e.wait.Go(func() { <-ee.done })
}

// Stop ends everything.
func (e *Embedded) Stop() {
	var wait sync.WaitGroup
	for i := range e.Spec.Entries {
		wait.Go(func() { e.StopEntry(i) })
	}
	wait.Wait()
	e.wait.Wait()
	e.World.Stop()
}

// Callers returns the addresses that callers reach the entry instances at.
func (e *Embedded) Callers() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range e.Spec.Entries {
		out = append(out, e.Spec.Entry(e.base, i).Caller)
	}
	return out
}

const readyWait = 15 * time.Second

// WaitReady waits until the balancer sees n ready instances and their view has
// all of them.
func WaitReady(ctx context.Context, b *traffic.Balancer, n int) error {
	limit := time.Now().Add(readyWait)
	for time.Now().Before(limit) {
		if b.Probe(ctx) >= n {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("fewer than %d entry instances ready after %s", n, readyWait)
}

// WaitView waits until every entry instance has a view of all of them.
func (e *Embedded) WaitView() error {
	limit := time.Now().Add(readyWait)
	for time.Now().Before(limit) {
		if e.viewWhole() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("no view of all entry instances after %s", readyWait)
}

func (e *Embedded) viewWhole() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ee := range e.entries {
		v := ee.instance.Snapshot().View
		if v == nil || len(v.Members) < len(e.entries) || !ee.instance.Relay().KeeperReady() {
			return false
		}
	}
	return true
}
