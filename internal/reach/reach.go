// Package reach tracks which endpoints an instance can connect to, and whether the instance has
// lost its own paths: then endpoints fail here that other instances reach.
//
// An endpoint counts as unreachable from a failed connection attempt on, until one succeeds. If
// several endpoints have failed in a row and none has been heard from since, the cause is more
// likely on this side, and all endpoints count as unreachable. Nothing ages out: probes, which Due
// schedules, end both states.
//
// The package is pure. Tracker is safe for concurrent use.
package reach

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/registry"
)

const (
	// lostAfter is the number of endpoints that have to fail in a row before the instance counts as
	// cut off. Several can be down at the same time, and an instance with few requests may try one after
	// the other.
	lostAfter = 6
	// ProbeInterval is the time between two probes of an unreachable endpoint, so that the end of a
	// partition is noticed well within a second.
	ProbeInterval = 200 * time.Millisecond
	// minProbes is how many endpoints are probed at a time while probes fail. The number doubles each
	// time that all succeed, so that a fleet of thousands of endpoints is reachable again in about a
	// second after a partition.
	minProbes = 8
	maxProbes = 512
	// silence is the time without anything from any endpoint, while responses are awaited, after which
	// endpoints are probed: on a path that drops packets, open connections fail only after seconds.
	silence = 250 * time.Millisecond
	// sampleSize is how many endpoints are probed to tell whether the instance is cut off.
	sampleSize = lostAfter
	// silenceInterval is the time between two such rounds of probes, if the endpoints turn out to be
	// reachable: prompts can take seconds to process.
	silenceInterval = time.Second
)

// Tracker is what one instance knows of its paths to endpoints.
type Tracker struct {
	marked     atomic.Int64 // number of unreachable endpoints
	inRow      atomic.Int64 // number of endpoints in failedInRow
	receivedAt atomic.Int64 // when anything last came from an endpoint, Unix nanoseconds
	awaitedAt  atomic.Int64 // since when at least one response is awaited, Unix nanoseconds
	awaited    atomic.Int64 // number of responses awaited
	listed     atomic.Int64 // number of endpoints listed

	mu          sync.Mutex
	unreachable map[string]time.Time // by endpoint ID, when it is probed next; guarded by mu
	failedInRow map[string]bool      // endpoints that became unreachable since one was last heard from; guarded by mu
	lost        bool                 // guarded by mu
	probes      int                  // of the next round; guarded by mu
	silentAt    time.Time            // of the last round of probes for silence; guarded by mu
}

// New returns a tracker by which all endpoints are reachable.
func New() *Tracker {
	return &Tracker{unreachable: make(map[string]time.Time), failedInRow: make(map[string]bool), probes: minProbes}
}

// Connected records that a connection to an endpoint was made and stayed open.
func (t *Tracker) Connected(endpoint string, now time.Time) {
	t.Received(now)
	if t.marked.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unreachable, endpoint)
	t.marked.Store(int64(len(t.unreachable)))
}

// Failed records that a connection to an endpoint could not be made, that a new one was closed before
// anything was received, or that an open one timed out.
func (t *Tracker) Failed(endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.unreachable[endpoint]
	t.unreachable[endpoint] = now.Add(ProbeInterval)
	t.marked.Store(int64(len(t.unreachable)))
	if known && !t.allFail(now) {
		return // that it still fails says nothing new about the paths of this instance
	}
	t.failedInRow[endpoint] = true
	t.inRow.Store(int64(len(t.failedInRow)))
	needed := lostAfter
	if n := int(t.listed.Load()); n > 0 {
		needed = min(needed, n)
	}
	t.lost = t.lost || len(t.failedInRow) >= needed
}

// allFail reports whether all listed endpoints are unreachable and nothing has come from any for some time: connections that
// were open may have lived on after each of them failed. mu is held.
func (t *Tracker) allFail(now time.Time) bool {
	return int64(len(t.unreachable)) >= t.listed.Load() && now.UnixNano()-t.receivedAt.Load() >= int64(silence)
}

// Received records that something came from an endpoint, which shows that the instance is not cut off.
func (t *Tracker) Received(now time.Time) {
	t.receivedAt.Store(now.UnixNano())
	if t.inRow.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.failedInRow)
	t.inRow.Store(0)
	if t.lost {
		t.lost = false
		for id := range t.unreachable {
			t.unreachable[id] = now // probed at once
		}
	}
}

// Sent records that a request was sent, whose response is awaited until Ended is called.
func (t *Tracker) Sent(now time.Time) {
	if t.awaited.Add(1) == 1 {
		t.awaitedAt.Store(now.UnixNano())
	}
}

// Ended records that no more is awaited of a response.
func (t *Tracker) Ended() { t.awaited.Add(-1) }

// Lost reports whether the instance counts as cut off from all endpoints, because several failed in
// a row.
func (t *Tracker) Lost() bool {
	if t.inRow.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Reachable returns those of the endpoints that count as reachable: none if the instance counts as
// cut off. It returns the same slice if all are reachable.
func (t *Tracker) Reachable(endpoints []registry.Endpoint) []registry.Endpoint {
	if t.marked.Load() == 0 {
		return endpoints
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost {
		return nil
	}
	isReachable := func(e registry.Endpoint) bool { _, failed := t.unreachable[e.ID]; return !failed }
	if !slices.ContainsFunc(endpoints, func(e registry.Endpoint) bool { return !isReachable(e) }) {
		return endpoints
	}
	return lo.Filter(endpoints, func(e registry.Endpoint, _ int) bool { return isReachable(e) })
}

// Unreachable returns how many of the listed endpoints count as unreachable, and the number listed.
func (t *Tracker) Unreachable() (unreachable, listed int) {
	listed = int(t.listed.Load())
	if t.Lost() {
		return listed, listed
	}
	return min(int(t.marked.Load()), listed), listed
}

// Due returns those of the listed endpoints that are to be probed now, and counts them as probed.
func (t *Tracker) Due(listed []registry.Endpoint, now time.Time) []registry.Endpoint {
	t.listed.Store(int64(len(listed)))
	silent := t.silentSince(now)
	if t.marked.Load() == 0 && !silent {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []registry.Endpoint
	for _, e := range listed {
		if at, failed := t.unreachable[e.ID]; failed && !now.Before(at) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b registry.Endpoint) int { return t.unreachable[a.ID].Compare(t.unreachable[b.ID]) })
	due = due[:min(len(due), t.probes)]
	silent = silent && now.Sub(t.silentAt) >= silenceInterval
	if silent {
		t.silentAt = now
	}
	if silent || t.lost { // if lost, nothing is sent to the others, which may be the ones that work
		due = append(due, t.sample(listed, "", now)...)
	}
	for _, e := range due {
		if _, failed := t.unreachable[e.ID]; failed {
			t.unreachable[e.ID] = now.Add(ProbeInterval)
		}
	}
	return due
}

// silentSince reports whether responses have been awaited for some time in which nothing came from
// any endpoint.
func (t *Tracker) silentSince(now time.Time) bool {
	if t.awaited.Load() <= 0 {
		return false
	}
	return now.UnixNano()-max(t.receivedAt.Load(), t.awaitedAt.Load()) >= int64(silence)
}

// Sample returns a few of the listed endpoints other than one, at another time others. They are
// endpoints that count as reachable, as far as there are any.
func (t *Tracker) Sample(listed []registry.Endpoint, except string, now time.Time) []registry.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.sample(listed, except, now)
	if len(out) > 0 {
		return out
	}
	return lo.Slice(lo.Reject(listed, func(e registry.Endpoint, _ int) bool { return e.ID == except }), 0, sampleSize)
}

// sample returns a few of the listed endpoints other than one that do not count as unreachable. mu is
// held.
func (t *Tracker) sample(listed []registry.Endpoint, except string, now time.Time) []registry.Endpoint {
	out := make([]registry.Endpoint, 0, sampleSize)
	if len(listed) == 0 {
		return out
	}
	first := int(now.UnixNano()/int64(time.Millisecond)) % len(listed)
	for i := range listed {
		e := listed[(first+i)%len(listed)]
		if _, failed := t.unreachable[e.ID]; !failed && e.ID != except && len(out) < sampleSize {
			out = append(out, e)
		}
	}
	return out
}

// Probed records how many of a round of probes succeeded.
func (t *Tracker) Probed(sent, succeeded int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if succeeded < sent {
		t.probes = minProbes
		return
	}
	t.probes = min(2*t.probes, maxProbes)
}

// Forget drops endpoints that are no longer listed.
func (t *Tracker) Forget(listed func(endpoint string) bool) {
	if t.marked.Load() == 0 && t.inRow.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.unreachable {
		if !listed(id) {
			delete(t.unreachable, id)
		}
	}
	for id := range t.failedInRow {
		if !listed(id) {
			delete(t.failedInRow, id)
		}
	}
	t.marked.Store(int64(len(t.unreachable)))
	t.inRow.Store(int64(len(t.failedInRow)))
	if len(t.failedInRow) == 0 {
		t.lost = false
	}
}
