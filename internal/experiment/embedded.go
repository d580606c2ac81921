// Package experiment runs deployments against stand-ins for the platform and the
// endpoints, and measures them: the demo in one process, the bench in separate
// processes. It also compares two versions of the product with an external bench
// program.
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

// Embedded is a deployment whose entry instances and stand-ins all run in this
// process.
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
	killed  sync.WaitGroup         // waits for killed instances to end
}

// embeddedEntry is a running entry instance. notHandedOver is set before done is
// closed.
type embeddedEntry struct {
	instance      *entry.Instance
	stop          context.CancelFunc
	done          chan struct{}
	notHandedOver int
}

// EmbeddedOptions configures an embedded deployment.
type EmbeddedOptions struct {
	Spec            *deployment.Spec
	Base            int                       // first port
	Site            func(string) netx.Network // returns the network of the instance or stand-in with this name
	Log             *zap.Logger
	Seed            uint64
	Switches        relay.Switches
	DefaultRowCells []table.Cell // cells to set in the default row of the initial table

	PeerTLS func(entry string) *tls.Config  // between entry instances; nil for plain text
	Clock   func(entry string) *clock.Clock // of each entry instance; nil for the monotonic time
}

// StartEmbedded starts the stand-ins and all entry instances.
func StartEmbedded(o EmbeddedOptions) (*Embedded, error) {
	set, err := o.Spec.StandinSettings(o.Base, o.Seed, o.DefaultRowCells...)
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
	set := e.Spec.EntrySettings(e.base, i)
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
			e.log.Error("entry instance failed", zap.Error(err))
		}
		ee.notHandedOver = left
	}()
	return nil
}

// Entry returns the i-th entry instance, or nil if it does not run.
func (e *Embedded) Entry(i int) *entry.Instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ee := e.entries[i]; ee != nil {
		return ee.instance
	}
	return nil
}

// StopEntry makes a planned stop of the i-th entry instance and returns the
// number of requests that it could not hand over.
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
	return ee.notHandedOver
}

// KillEntry simulates a crash of the i-th entry instance: it calls cut, which has
// to disconnect the instance from the network, then stops the instance in the
// background.
func (e *Embedded) KillEntry(i int, cut func(site string)) {
	e.mu.Lock()
	ee := e.entries[i]
	delete(e.entries, i)
	e.mu.Unlock()
	if ee == nil {
		return
	}
	cut(e.Spec.EntrySettings(e.base, i).Name)
	ee.stop()
	e.killed.Go(func() { <-ee.done })
}

// Stop stops all entry instances and the stand-ins, and waits for killed
// instances to end.
func (e *Embedded) Stop() {
	var wait sync.WaitGroup
	for i := range e.Spec.Entries {
		wait.Go(func() { e.StopEntry(i) })
	}
	wait.Wait()
	e.killed.Wait()
	e.World.Stop()
}

// Callers returns the addresses at which the entry instances accept callers.
func (e *Embedded) Callers() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range e.Spec.Entries {
		out = append(out, e.Spec.EntrySettings(e.base, i).Caller)
	}
	return out
}

const readyTimeout = 15 * time.Second

// WaitReady waits until the balancer finds n ready instances, or fails after
// readyTimeout.
func WaitReady(ctx context.Context, b *traffic.Balancer, n int) error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		if b.Probe(ctx) >= n {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("fewer than %d entry instances ready after %s", n, readyTimeout)
}

// WaitView waits until the view of every running entry instance has all of them
// as members and the instance's keeper is ready, or fails after readyTimeout.
func (e *Embedded) WaitView() error {
	limit := time.Now().Add(readyTimeout)
	for time.Now().Before(limit) {
		if e.viewsComplete() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry instances without a complete view after %s", readyTimeout)
}

func (e *Embedded) viewsComplete() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ee := range e.entries {
		v := ee.instance.Snapshot().View
		if v == nil || len(v.Members) < len(e.entries) || !ee.instance.Relay().ReplicaReady() {
			return false
		}
	}
	return true
}
