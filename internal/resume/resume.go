// Package resume finds out which software version of a service began a stream that a client resumes, as the
// rest has to come from the same version.
//
// While a service has several versions, an instance that begins a stream sends its record to a few others,
// the holders. An instance at which a client resumes a stream looks for the record there. Without one, the
// stream goes on only if a single version may have begun it; a version is never guessed.
//
// Directory is safe for concurrent use.
package resume

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

const (
	// findTimeout bounds the wait for holders, while the client that resumes a stream waits.
	findTimeout = 250 * time.Millisecond
	// certainTimeout bounds it where a single version may have begun the stream as far as this instance knows.
	certainTimeout = 60 * time.Millisecond
	sendTimeout    = 400 * time.Millisecond // for records
	sendDelay      = 4 * time.Millisecond   // gathers records for a holder in one call
	retryInterval  = 100 * time.Millisecond // until records without a known holder are sent
	maxQueued      = 1 << 14                // records that wait to be sent
	defaultMost    = 1 << 15
	defaultLife    = 10 * time.Second
	// maxLife bounds how long a record of another instance is held.
	maxLife = 5 * time.Minute
)

// Caller makes calls to other instances.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call) (*peerpb.Answer, error)
}

// Options configure a Directory.
type Options struct {
	Peers  Caller
	Self   topology.Member
	Others func() []topology.Member // the other instances
	// Registered reports whether the others know this instance; nil if they always do.
	Registered func() bool
	// Current reports whether the versions that Versions observes are those that serve now.
	Current func(now time.Time) bool
	// List reads from the store the versions, by service, of all endpoints that accept requests.
	List func(ctx context.Context) (map[string][]string, error)

	Most  int           // records that are kept of own streams, and as many of others'; 0 is 32,768
	Life  time.Duration // from the first request of a stream until the last one that resumes it, at least; 0 is 10 s
	Clock *clock.Clock  // may be nil

	Store           Store   // holds what has to outlive all instances; nil for nothing
	Prefix          string  // of the keys that are written
	WritesPerSecond float64 // that the store accepts from all instances together; 0 if unknown
}

// Directory keeps and finds the records of streams.
type Directory struct {
	Options
	Versions *origin.Versions
	own      *origin.Table   // of streams that this instance began
	held     *origin.Table   // of others
	known    map[string]bool // instances at the last call of Maintain
	listed   listing
	archive  *archive
	ranked   rankedArchivers
	recorded func(ctx context.Context) (origin.Recorded, error) // reads what a Recorder wrote; nil if there is none
	appeared chan struct{}                                      // signals that a version serves that may not be recorded; capacity 1

	mu      sync.Mutex
	queued  []origin.Record // to be sent to their holders; guarded by mu
	toStore []origin.Record // to be sent to their archivers; guarded by mu
	sendDue chan struct{}   // signals Run; capacity 1
}

// New returns a directory.
func New(o Options) *Directory {
	o.Most, o.Life = cmp.Or(o.Most, defaultMost), cmp.Or(o.Life, defaultLife)
	return &Directory{
		Options: o, Versions: origin.NewVersions(o.Life), own: origin.NewTable(o.Most), held: origin.NewTable(o.Most),
		sendDue: make(chan struct{}, 1), appeared: make(chan struct{}, 1), listed: listing{reading: make(chan struct{}, 1)}, archive: newArchive(o),
	}
}

// Began records that a stream began, or went on, at this instance. Where its version may be in doubt later,
// the record is sent to the holders. Began does not wait for them.
func (d *Directory) Began(r origin.Record) {
	d.own.Put(r)
	if d.inDoubt(r.Service, d.Clock.Now()) {
		d.send(r)
	}
}

// Completed drops the record of a stream of which the client has got the end.
func (d *Directory) Completed(stream string) { d.own.Drop(stream) }

// Observe applies the versions, by service, of all endpoints that accept requests. The records of streams
// that began while their service had one version are sent to the holders once it has several.
func (d *Directory) Observe(serving map[string][]string, now time.Time) {
	split := d.Versions.Observe(serving, now)
	if _, since := d.Versions.Unrecorded(now); !since.IsZero() {
		signal(d.appeared)
	}
	if len(split) == 0 {
		return
	}
	for _, r := range d.own.All(now) {
		if slices.Contains(split, r.Service) {
			d.send(r)
		}
	}
}

// Maintain drops what is no longer needed, and sends records to instances that have become their holders by
// joining the fleet. It is called from time to time.
func (d *Directory) Maintain(now time.Time) {
	d.own.Expire(now)
	d.held.Expire(now)
	d.archive.forget(now)
	all := d.instances()
	joined := make(map[string]bool)
	for _, m := range all {
		joined[m.Name] = !d.known[m.Name]
	}
	d.known = lo.SliceToMap(all, func(m topology.Member) (string, bool) { return m.Name, true })
	if !slices.Contains(lo.Values(joined), true) {
		return
	}
	for _, r := range d.own.All(now) {
		if d.inDoubt(r.Service, now) && slices.ContainsFunc(origin.Holders(r.Stream, all), func(m topology.Member) bool { return joined[m.Name] }) {
			d.send(r)
		}
	}
}

// instances returns all instances.
func (d *Directory) instances() []topology.Member { return append(slices.Clone(d.Others()), d.Self) }

// registered returns the instances that all know. One that has just started and knows few others must not take
// duties that belong to one of many: all of a fleet may start at once.
func (d *Directory) registered() []topology.Member {
	if d.Registered != nil && !d.Registered() {
		return d.Others()
	}
	return d.instances()
}

// inDoubt reports whether more than one version of a service may have begun a stream.
func (d *Directory) inDoubt(service string, now time.Time) bool {
	versions, complete := d.Versions.Candidates(service, now)
	return len(versions) > 1 || !complete
}

// send queues a record for its holders and its archiver. Beyond maxQueued, the oldest records are dropped.
func (d *Directory) send(r origin.Record) {
	d.mu.Lock()
	d.queued = append(d.queued[max(0, len(d.queued)+1-maxQueued):], r)
	d.toStore = append(d.toStore[max(0, len(d.toStore)+1-maxQueued):], r)
	d.mu.Unlock()
	signal(d.sendDue)
}

// signal sends to a channel of capacity 1 that may have a value already.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// Run sends records to their holders until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	if d.Store != nil {
		calls.Go(func() { d.archive.run(ctx, d) })
	}
	var retry <-chan time.Time // for records that no holder was known for
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-retry:
		case <-d.sendDue:
			if !d.Clock.Sleep(ctx, sendDelay) {
				return ctx.Err()
			}
		}
		now := d.Clock.Now()
		batches, unreached, waiting := d.batches(now)
		retry = nil
		if waiting {
			retry = d.Clock.After(retryInterval)
		}
		for holder, records := range batches {
			m := &peerpb.Origins{Origins: lo.Map(records, func(r origin.Record, _ int) *peerpb.Origin { return encode(r, now) })}
			calls.Go(func() {
				// A record that is lost has further holders.
				if _, err := d.call(ctx, holder, &peerpb.Call{Body: &peerpb.Call_Origins{Origins: m}}, sendTimeout); err != nil {
					for _, r := range unreached[holder] {
						d.archive.add(r)
					}
				}
			})
		}
	}
}

// batches returns the queued records by the addresses of their holders and archivers, and by the address of the
// archiver those that this instance writes to the store if that one is not reached. Records without a holder, as
// this instance does not know the others yet, stay queued; waiting reports whether there are any.
func (d *Directory) batches(now time.Time) (out, unreached map[netip.AddrPort][]origin.Record, waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.instances()
	out, unreached = make(map[netip.AddrPort][]origin.Record), make(map[netip.AddrPort][]origin.Record)
	d.toStore = slices.DeleteFunc(d.toStore, func(r origin.Record) bool {
		switch archiver, self := d.writesFor(r.Stream, now); {
		case self:
			d.archive.add(r)
		case archiver.Name == "":
			return !now.Before(r.Until)
		default:
			out[archiver.Addr] = append(out[archiver.Addr], r)
			unreached[archiver.Addr] = append(unreached[archiver.Addr], r)
		}
		return true
	})
	d.queued = slices.DeleteFunc(d.queued, func(r origin.Record) bool {
		archiver, _ := d.writesFor(r.Stream, now)
		for _, m := range origin.Holders(r.Stream, all) {
			if m.Name != d.Self.Name && m.Name != archiver.Name {
				out[m.Addr] = append(out[m.Addr], r)
			}
		}
		return len(all) > 1 || !now.Before(r.Until)
	})
	return out, unreached, len(d.queued)+len(d.toStore) > 0
}

func (d *Directory) call(ctx context.Context, addr netip.AddrPort, call *peerpb.Call, timeout time.Duration) (*peerpb.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.Peers.Call(ctx, addr, call)
}

// ServeOrigins keeps records that another instance sent. It returns an error if this instance is to write some of them to the
// store and currently cannot.
func (d *Directory) ServeOrigins(m *peerpb.Origins, answer func(*peerpb.Answer) error) error {
	now := d.Clock.Now()
	declined := false
	for _, o := range m.Origins {
		r := decode(o, now)
		d.held.Put(r)
		if _, self := d.writesFor(r.Stream, now); self {
			if d.archive.takes(now) {
				d.archive.add(r)
			} else {
				declined = true
			}
		}
	}
	if declined {
		return fault.New(fault.StepStore, d.Self.Name, fault.KindRefused, fault.NotRun, "%w", errNotWriting)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// ServeFind answers another instance at which a client resumes a stream. It returns an error if this instance is to look the
// stream up in the store and cannot, so that the other one does not take its answer for that of the store.
func (d *Directory) ServeFind(ctx context.Context, m *peerpb.FindOrigin, answer func(*peerpb.Answer) error) error {
	now := d.Clock.Now()
	a := &peerpb.OriginAnswer{}
	r, ok := d.get(m.Stream, now)
	if !ok {
		a.Versions, a.Complete = d.candidates(m.Service, now)
		k := origin.Knowledge{Versions: a.Versions, Complete: a.Complete}
		if _, single := k.OnlyVersion(); !single && slices.ContainsFunc(d.archiversOf(m.Stream), d.isSelf) {
			var err error
			if r, ok, err = d.archived(ctx, m.Stream, now); err != nil {
				return fault.New(fault.StepStore, d.Self.Name, fault.KindBroken, fault.NotRun, "look up a stream: %w", err)
			}
		}
	}
	if ok {
		a = &peerpb.OriginAnswer{Origin: encode(r, now)}
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Origin{Origin: a}})
}

// get returns the record of a stream that is kept here.
func (d *Directory) get(stream string, now time.Time) (origin.Record, bool) {
	if r, ok := d.own.Get(stream, now); ok {
		return r, true
	}
	return d.held.Get(stream, now)
}

// candidates returns the versions of a service that may have begun a stream, as far as known here. complete
// reports whether no other version may have.
func (d *Directory) candidates(service string, now time.Time) (versions []string, complete bool) {
	versions, complete = d.Versions.Candidates(service, now)
	return versions, complete && d.Current(now)
}

func encode(r origin.Record, now time.Time) *peerpb.Origin {
	return &peerpb.Origin{Stream: r.Stream, Service: r.Service, Version: r.Version, Left: int64(r.Until.Sub(now))}
}

func decode(o *peerpb.Origin, now time.Time) origin.Record {
	return origin.Record{Stream: o.Stream, Service: o.Service, Version: o.Version, Until: now.Add(min(time.Duration(o.Left), maxLife))}
}

// Source tells how it is known where a stream began.
type Source string

// The sources.
const (
	Own         Source = "own record"
	Peer        Source = "record of another instance"
	Archived    Source = "record in the store"
	OnlyVersion Source = "only version of the service"
	Unknown     Source = "unknown"
)

// Found is where a stream began.
type Found struct {
	origin.Record
	Source   Source
	Versions []string // that may have begun the stream, if it has no record
	Asked    int      // other instances
	Answers  int      // of these; the rest counts only if the stream has no record
	Silent   []string // instances that did not answer, some of them if there are many
	Listed   bool     // the versions were read from the store
}

// Known reports whether it is known where the stream began.
func (f *Found) Known() bool { return f.Source != Unknown }

// Find returns where a stream of a service began that a client resumes. stream is empty if the client does not
// name it. The record may name another service than the given one.
func (d *Directory) Find(ctx context.Context, stream, service string) Found {
	now := d.Clock.Now()
	if r, ok := d.get(stream, now); ok && stream != "" {
		return Found{Record: r, Source: Own}
	}
	f := Found{Record: origin.Record{Stream: stream, Service: service}, Source: Unknown}
	known := origin.Knowledge{}
	known.Versions, known.Complete = d.candidates(service, now)
	timeout := findTimeout
	if _, ok := known.OnlyVersion(); ok {
		timeout = certainTimeout
	}
	asked, answers := d.ask(ctx, stream, service, timeout)
	f.Asked = len(asked)
	answered := make(map[string]bool)
	for a := range answers {
		f.Answers++
		answered[a.from] = true
		if a.Origin != nil {
			f.Record, f.Source = decode(a.Origin, now), Peer
			return f
		}
		known = known.With(origin.Knowledge{Versions: a.Versions, Complete: a.Complete})
	}
	f.Silent = silent(asked, answered)
	if _, ok := known.OnlyVersion(); ok && f.Answers < f.Asked {
		// One that did not answer may have begun the stream, at a version that this instance and those that answered,
		// out of step together, do not know.
		stored, err := d.listed.since(ctx, now, d)
		f.Listed = err == nil
		known = known.With(origin.Knowledge{Versions: stored[service]})
		known.Complete = known.Complete && err == nil
	}
	f.Versions = known.Versions
	if version, ok := known.OnlyVersion(); ok {
		f.Version, f.Source = version, OnlyVersion
		return f
	}
	archivers := d.archiversOf(stream)
	looked := slices.ContainsFunc(archivers, func(m topology.Member) bool { return answered[m.Name] })
	if !looked || slices.ContainsFunc(archivers, d.isSelf) {
		if r, ok, _ := d.archived(ctx, stream, now); ok {
			f.Record, f.Source = r, Archived
		}
	}
	return f
}

// answer is what another instance knows of a stream.
type answer struct {
	*peerpb.OriginAnswer
	from string // name of the instance
}

// ask asks other instances where a stream began: all of a small fleet, else the holders and the archivers. It sends the answers
// that come in time and closes the channel after the last one.
func (d *Directory) ask(ctx context.Context, stream, service string, timeout time.Duration) (asked []topology.Member, answers <-chan answer) {
	asked = d.Others()
	if len(asked) >= topology.SmallFleet {
		asked = append(origin.Holders(stream, d.instances()), d.archivers(d.Clock.Now()).Of(stream)...)
		asked = lo.Uniq(lo.Reject(asked, func(m topology.Member, _ int) bool { return m.Name == d.Self.Name }))
	}
	out := make(chan answer, len(asked))
	var calls sync.WaitGroup
	for _, m := range asked {
		calls.Go(func() {
			call := &peerpb.Call{Body: &peerpb.Call_FindOrigin{FindOrigin: &peerpb.FindOrigin{Stream: stream, Service: service}}}
			if a, err := d.call(ctx, m.Addr, call, timeout); err == nil && a.GetOrigin() != nil {
				out <- answer{a.GetOrigin(), m.Name}
			}
		})
	}
	go func() {
		calls.Wait()
		close(out)
	}()
	return asked, out
}

// maxSilent bounds the names of Found.Silent.
const maxSilent = 4

// silent returns the names of instances that were asked and did not answer, up to maxSilent.
func silent(asked []topology.Member, answered map[string]bool) (names []string) {
	for _, m := range asked {
		if !answered[m.Name] && len(names) < maxSilent {
			names = append(names, m.Name)
		}
	}
	return names
}

// listing is what the store held last, as read by Options.List and from the record. It belongs to the one that has sent
// to its channel.
type listing struct {
	reading  chan struct{} // capacity 1
	sentAt   time.Time
	versions map[string][]string // that serve or are recorded, by service
	err      error
}

// since returns a listing that was read after a time. Concurrent callers share a read, also one that fails.
func (l *listing) since(ctx context.Context, after time.Time, d *Directory) (map[string][]string, error) {
	select {
	case l.reading <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.reading }()
	if l.sentAt.After(after) {
		return l.versions, l.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findTimeout) // others wait for the read, too
	defer cancel()
	l.sentAt = d.Clock.Now()
	l.versions, l.err = d.stored(ctx)
	return l.versions, l.err
}

// stored returns the versions, by service, that serve or are recorded in the store: one that came and went unnoticed by
// this instance is recorded.
func (d *Directory) stored(ctx context.Context) (map[string][]string, error) {
	var recorded origin.Recorded
	var failed error
	var wait sync.WaitGroup
	if d.recorded != nil {
		wait.Go(func() { recorded, failed = d.recorded(ctx) })
	}
	listed, err := d.List(ctx)
	wait.Wait()
	if err := errors.Join(err, failed); err != nil {
		return nil, fmt.Errorf("read versions: %w", err)
	}
	all := make(map[string][]string)
	for _, from := range []map[string][]string{listed, recorded} {
		for service, versions := range from {
			all[service] = append(all[service], versions...)
		}
	}
	return all, nil
}
