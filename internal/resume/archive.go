package resume

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/store"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	archivePrefix        = "streams/"
	minArchiveInterval   = 50 * time.Millisecond
	minArchiveRetry      = 300 * time.Millisecond // after a write that failed: the platform charges for each
	maxArchiveRetry      = 3 * time.Second
	archiveSlow          = 200 * time.Millisecond // without an answer to a write for this long, others write their own records
	archiveTimeout       = time.Second
	archiveWriteShare    = 0.1 // of the writes that the store accepts, for all archivers together
	defaultWrites        = 1000
	archiveReadInterval  = time.Second // between two reads for streams that the first one did not find
	archiveForgetAfter   = 10 * time.Second
	maxArchived          = 1 << 18 // streams that are read
	maxArchivedPerBatch  = 1 << 13 // so that a value stays well below a megabyte
	archiversAge         = 500 * time.Millisecond
	archiveLeaseRotation = 2 // leases within the life of a stream
)

// Store is where batches of records outlive all instances.
type Store interface {
	Writer
	Era() int64
	Range(ctx context.Context, prefix string) ([]store.Item, store.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
}

// archive writes batches of records to the store while a service has several versions, and reads them for
// streams that no instance has a record of.
type archive struct {
	store  Store
	prefix string // of the keys of all instances
	name   string // of this instance
	writes float64
	clock  *clock.Clock

	mu      sync.Mutex
	pending []origin.Record // to be written; guarded by mu
	sentAt  time.Time       // of the write that awaits its answer; zero if there is none; guarded by mu
	failed  bool            // the last write; guarded by mu

	// The following belong to run.
	lease    int64
	era      int64     // of the store, when the lease was granted
	rotateAt time.Time // when the next lease is due
	written  int       // batches

	read reading
}

// reading is what was read last. It belongs to the one that has sent to its channel.
type reading struct {
	busy   chan struct{} // capacity 1
	sentAt time.Time     // zero if nothing was read
	found  *origin.Archive
	err    error // of the last read
}

func newArchive(o Options) *archive {
	return &archive{store: o.Store, prefix: o.Prefix + archivePrefix, name: o.Self.Name, writes: o.WritesPerSecond, clock: o.Clock, read: reading{busy: make(chan struct{}, 1)}}
}

// add queues a record. Beyond maxQueued, the oldest records are dropped.
func (a *archive) add(r origin.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending[max(0, len(a.pending)+1-maxQueued):], r)
}

// errNotWriting reports that writes to the store fail, or are not answered.
var errNotWriting = errors.New("the store does not take records of this instance")

// takes reports whether this instance can be expected to write a record soon.
func (a *archive) takes(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.failed && (a.sentAt.IsZero() || now.Sub(a.sentAt) < archiveSlow)
}

// begin records that a write is sent.
func (a *archive) begin(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt = now
}

// end records the outcome of a write.
func (a *archive) end(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentAt, a.failed = time.Time{}, err != nil
}

// due returns the queued records of services in doubt, and drops those of streams that can no longer be resumed.
func (a *archive) due(inDoubt func(service string) bool, now time.Time) (due []origin.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = slices.DeleteFunc(a.pending, func(r origin.Record) bool {
		if !now.Before(r.Until) {
			return true
		}
		take := len(due) < maxArchivedPerBatch && inDoubt(r.Service)
		if take {
			due = append(due, r)
		}
		return take
	})
	return due
}

// interval returns the time between two writes, given the number of instances that write.
func (a *archive) interval(writers int) time.Duration {
	writes := a.writes
	if writes == 0 {
		writes = defaultWrites
	}
	return max(minArchiveInterval, time.Duration(float64(writers)/(archiveWriteShare*writes)*float64(time.Second)))
}

// run writes the queued records of services of which several versions may have begun a stream, until ctx ends.
func (a *archive) run(ctx context.Context, d *Directory) {
	pause, retry := minArchiveInterval, minArchiveRetry
	for a.clock.Sleep(ctx, pause) {
		now := a.clock.Now()
		pause = a.interval(d.writers(now))
		due := a.due(func(service string) bool {
			versions, _ := d.Versions.Candidates(service, now)
			return len(versions) > 1
		}, now)
		if len(due) == 0 {
			continue
		}
		a.begin(now)
		err := a.write(ctx, due, d.Versions.Life(), now)
		a.end(err)
		if err == nil {
			retry = minArchiveRetry
			continue
		}
		for _, r := range due {
			a.add(r)
		}
		pause, retry = retry, min(2*retry, maxArchiveRetry)
	}
}

// write writes a batch under a lease that lasts for the life of a stream at least.
func (a *archive) write(ctx context.Context, records []origin.Record, life time.Duration, now time.Time) error {
	value, err := origin.NewBatch(records).Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if a.lease == 0 || a.era != a.store.Era() || !now.Before(a.rotateAt) {
		a.lease = 0
		lease, _, err := a.store.Grant(ctx, life+life/archiveLeaseRotation)
		if err != nil {
			return fmt.Errorf("grant lease for batches: %w", err)
		}
		a.lease, a.era, a.rotateAt = lease, a.store.Era(), now.Add(life/archiveLeaseRotation)
	}
	a.written++
	_, err = a.store.Do(ctx, store.Txn{Put: []store.Put{{Key: fmt.Sprintf("%s%s/%x-%d", a.prefix, a.name, a.rotateAt.UnixNano(), a.written), Value: value, Lease: a.lease}}})
	if errors.Is(err, store.ErrNotFound) {
		a.lease = 0
	}
	if err != nil {
		return fmt.Errorf("write batch: %w", err)
	}
	return nil
}

// find returns where a stream began, as the store tells. Concurrent callers share a read, also one that fails.
func (a *archive) find(ctx context.Context, stream string, now time.Time) (service, version string, ok bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	select {
	case a.read.busy <- struct{}{}:
	case <-ctx.Done():
		return "", "", false, ctx.Err()
	}
	defer func() { <-a.read.busy }()
	fresh := a.read.sentAt.After(now) || a.read.err == nil && now.Sub(a.read.sentAt) < archiveReadInterval
	if a.read.found != nil {
		if service, version, ok = a.read.found.Find(stream); ok {
			return service, version, true, nil
		}
	}
	if fresh {
		return "", "", false, a.read.err
	}
	a.read.sentAt = a.clock.Now()
	read, stop := context.WithTimeout(context.WithoutCancel(ctx), findTimeout) // others wait for it, too
	defer stop()
	var items []store.Item
	if items, _, a.read.err = a.store.Range(read, a.prefix); a.read.err != nil {
		return "", "", false, a.read.err
	}
	a.read.found = origin.NewArchive(maxArchived)
	for _, item := range items {
		a.read.found.Add(item.Value)
	}
	service, version, ok = a.read.found.Find(stream)
	return service, version, ok, nil
}

// forget drops what was read if it is no longer asked for.
func (a *archive) forget(now time.Time) {
	select {
	case a.read.busy <- struct{}{}:
		if now.Sub(a.read.sentAt) >= archiveForgetAfter {
			a.read.found = nil
		}
		<-a.read.busy
	default:
	}
}

// rankedArchivers caches the archivers of the fleet, which are ranked among all instances.
type rankedArchivers struct {
	mu    sync.Mutex
	list  origin.Archivers // guarded by mu
	until time.Time        // guarded by mu
}

// archivers returns the archivers, as of less than archiversAge ago.
func (d *Directory) archivers(now time.Time) origin.Archivers {
	c := &d.ranked
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.list) == 0 || !now.Before(c.until) {
		c.list, c.until = origin.NewArchivers(d.registered()), now.Add(archiversAge)
	}
	return c.list
}

// archiversOf returns the instances that look up a stream in the store for others. This one may be among them before it
// is registered again after a start of all.
func (d *Directory) archiversOf(stream string) []topology.Member {
	return origin.NewArchivers(d.instances()).Of(stream)
}

func (d *Directory) isSelf(m topology.Member) bool { return m.Name == d.Self.Name }

// writesFor returns the instance that writes the record of a stream to the store, and whether it is this one. It
// returns none if no instance is registered.
func (d *Directory) writesFor(stream string, now time.Time) (archiver topology.Member, self bool) {
	if of := d.archivers(now).Of(stream); len(of) > 0 {
		archiver = of[0]
	}
	return archiver, archiver.Name == d.Self.Name
}

// writers returns how many instances write as this one does: the archivers, or all while an archiver leaves records to
// those that began the streams.
func (d *Directory) writers(now time.Time) int {
	archivers := d.archivers(now)
	if slices.ContainsFunc(archivers, d.isSelf) {
		return archivers.Writers()
	}
	return len(d.instances())
}

// archived returns the record of a stream that the store holds. The error is that of the read.
func (d *Directory) archived(ctx context.Context, stream string, now time.Time) (origin.Record, bool, error) {
	if stream == "" || d.Store == nil {
		return origin.Record{}, false, nil
	}
	service, version, ok, err := d.archive.find(ctx, stream, now)
	return origin.Record{Stream: stream, Service: service, Version: version, Until: now.Add(d.Versions.Life())}, ok, err
}
