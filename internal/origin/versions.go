package origin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Versions tracks which versions of each service may have begun a stream that can still be resumed:
// those that serve, and those that ended less than the longest life of a stream ago.
type Versions struct {
	mu       sync.Mutex
	life     time.Duration                   // from the first request of a stream until the last one that resumes it; guarded by mu
	since    time.Time                       // when Observe was first called; zero before; guarded by mu
	serving  map[string][]string             // by service; guarded by mu
	ended    map[string]map[string]time.Time // when versions were last known to serve, by service and version; guarded by mu
	recorded Recorded                        // what earlier instances saw; nil if not known; guarded by mu
	stored   bool                            // the store holds recorded; guarded by mu
	missing  time.Time                       // since when recorded lacks a version that serves; zero if it does not; guarded by mu
}

// Knowledge is what instances know of the versions of a service that may have begun a stream without a record.
type Knowledge struct {
	Versions []string // sorted
	Complete bool     // no other version may have
}

// With returns what an instance knows together with another one.
func (k Knowledge) With(other Knowledge) Knowledge {
	all := slices.Concat(k.Versions, other.Versions)
	slices.Sort(all)
	return Knowledge{Versions: slices.Compact(all), Complete: k.Complete || other.Complete}
}

// OnlyVersion returns the version that began the stream, if no other one may have.
func (k Knowledge) OnlyVersion() (version string, ok bool) {
	if !k.Complete || len(k.Versions) != 1 {
		return "", false
	}
	return k.Versions[0], true
}

// Recorded names, by service, the versions that may have begun a stream that can still be resumed, as the
// leader of the fleet keeps them in the store for instances that start.
type Recorded map[string][]string

// NewVersions returns a tracker for streams that can be resumed for a time after their first request.
func NewVersions(life time.Duration) *Versions {
	return &Versions{life: life, serving: make(map[string][]string), ended: make(map[string]map[string]time.Time)}
}

// Extend sets for how long streams can be resumed, if that is longer than before.
func (v *Versions) Extend(life time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.life = max(v.life, life)
}

// Life returns for how long streams can be resumed after their first request.
func (v *Versions) Life() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.life
}

// Observe applies the versions, by service, of all endpoints that accept requests. It returns the services
// that now have several versions and had one.
func (v *Versions) Observe(serving map[string][]string, now time.Time) (split []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since.IsZero() {
		v.since = now
	}
	for service, versions := range v.serving {
		for _, version := range versions {
			if !slices.Contains(serving[service], version) {
				v.end(service, version, now)
			}
		}
	}
	before := v.serving
	v.serving = serving
	for service := range serving {
		if old, known := before[service]; known && len(old) == 1 && len(v.candidates(service, now)) > 1 {
			split = append(split, service)
		}
	}
	return split
}

// end records that a version no longer serves. The caller holds v.mu.
func (v *Versions) end(service, version string, now time.Time) {
	if v.ended[service] == nil {
		v.ended[service] = make(map[string]time.Time)
	}
	v.ended[service][version] = now
}

// Interrupt starts the observation anew, as the list of endpoints was out of date for a time.
func (v *Versions) Interrupt(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.since.IsZero() {
		v.since = now
	}
}

// Restore applies what earlier instances recorded in the store. It counts for the time before the
// observation began only.
func (v *Versions) Restore(r Recorded) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recorded, v.stored = r, true
}

// RecordLost notes that the store does not hold what was recorded.
func (v *Versions) RecordLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stored = false
}

// NoRecord notes that the store never held a record, so that no stream began before this fleet started.
func (v *Versions) NoRecord() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recorded == nil {
		v.recorded = make(Recorded)
	}
	v.stored = false
}

// Unrecorded returns what is recorded together with the versions that serve, and since when it has been known
// that these are not all recorded: zero if they are, or if it is not known what is recorded.
func (v *Versions) Unrecorded(now time.Time) (r Recorded, since time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recorded == nil {
		return nil, time.Time{}
	}
	r = maps.Clone(v.recorded)
	lacks := false
	for service, versions := range v.serving {
		all := slices.Concat(r[service], versions)
		slices.Sort(all)
		all = slices.Compact(all)
		lacks = lacks || len(all) > len(r[service])
		r[service] = all
	}
	switch {
	case !lacks:
		v.missing = time.Time{}
	case v.missing.IsZero():
		v.missing = now
	}
	return r, v.missing
}

// Candidates returns, sorted, the versions of a service that may have begun a stream that can still be
// resumed. complete is false if others may have, before this instance knew the service.
func (v *Versions) Candidates(service string, now time.Time) (versions []string, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.candidates(service, now), !v.since.IsZero() && (v.recorded != nil || !v.recent(now))
}

// recent reports whether streams that can still be resumed may have begun before the observation. The
// caller holds v.mu.
func (v *Versions) recent(now time.Time) bool { return now.Sub(v.since) < v.life }

// candidates returns, sorted, the versions of a service as Candidates does. The caller holds v.mu.
func (v *Versions) candidates(service string, now time.Time) []string {
	out := slices.Clone(v.serving[service])
	for version, at := range v.ended[service] {
		if now.Sub(at) < v.life {
			out = append(out, version)
		}
	}
	if v.recent(now) {
		out = append(out, v.recorded[service]...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Record returns the versions of all services that the store should hold, and whether that differs from what
// it holds. There is nothing to record while it is not known what streams began at before the observation.
func (v *Versions) Record(now time.Time) (r Recorded, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.since.IsZero() || v.recorded == nil && v.recent(now) {
		return nil, false
	}
	v.adopt(now)
	v.expire(now)
	r = make(Recorded)
	for _, names := range []map[string]bool{keysOf(v.serving), keysOf(v.ended), keysOf(v.recorded)} {
		for service := range names {
			if versions := v.candidates(service, now); len(versions) > 0 {
				r[service] = versions
			}
		}
	}
	return r, !v.stored || !maps.EqualFunc(r, v.recorded, slices.Equal)
}

// adopt counts versions that only others observed and recorded as ended now. The caller holds v.mu.
func (v *Versions) adopt(now time.Time) {
	for service, versions := range v.recorded {
		for _, version := range versions {
			if _, ended := v.ended[service][version]; !ended && !slices.Contains(v.serving[service], version) {
				v.end(service, version, now)
			}
		}
	}
}

// expire forgets versions that ended so long ago that no stream of theirs can be resumed. The caller holds
// v.mu.
func (v *Versions) expire(now time.Time) {
	for service, versions := range v.ended {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) >= v.life })
		if len(versions) == 0 {
			delete(v.ended, service)
		}
	}
}

func keysOf[T any](m map[string]T) map[string]bool {
	out := make(map[string]bool, len(m))
	for k := range m {
		out[k] = true
	}
	return out
}
