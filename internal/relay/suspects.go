package relay

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/prefix"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/eventlog"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/gate"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

const (
	maxSuspects          = 4096
	maxIncarnationCounts = 4096 // endpoints whose ended incarnations are counted
	quarantineDuration   = time.Minute
	suspectsCallTimeout  = 400 * time.Millisecond // for a call that sends an update to another instance
	probeTimeout         = 200 * time.Millisecond // for the probe whether an endpoint has ended
)

// suspects holds the model requests that are suspected of crashing endpoints, because endpoints
// ended while they ran, at this instance or another one. It is safe for concurrent use.
type suspects struct {
	table *quarantine.Table
	gate  *gate.Gate // set by the relay

	mu   sync.Mutex
	ends map[string]int // number of ends that were seen of each endpoint, by its id; guarded by mu
}

func newSuspects() *suspects {
	return &suspects{
		table: quarantine.New(quarantine.Options{Length: quarantineDuration, MaxSuspects: maxSuspects}),
		ends:  make(map[string]int),
	}
}

// incarnation returns an id for the current incarnation of an endpoint. Incarnations are counted by the
// ends that this instance has seen.
func (s *suspects) incarnation(e *route.Endpoint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationLocked(e)
}

// incarnationLocked is incarnation for a caller that holds mu.
func (s *suspects) incarnationLocked(e *route.Endpoint) string {
	return fmt.Sprintf("%s/%d", e.ID, s.ends[e.ID])
}

// recordEnd records that an incarnation of an endpoint has ended, unless it is no longer the current
// one.
func (s *suspects) recordEnd(e *route.Endpoint, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnationLocked(e) == incarnation {
		s.ends[e.ID]++
	}
}

// expire drops expired suspects, and all incarnation counts when there are too many.
func (s *suspects) expire(now time.Time) {
	s.table.Expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ends) > maxIncarnationCounts {
		clear(s.ends)
	}
}

func fingerprint(rec *record.Record) quarantine.Fingerprint {
	return quarantine.Of("model", rec.Class, "", payload.Of(rec.Body))
}

// maxSharedParts bounds the parts of a prompt that are considered.
const maxSharedParts = 64

// sharedParts returns IDs of the parts of a prompt that other requests may share: its prefixes of whole blocks.
func sharedParts(rec *record.Record) []string {
	prompt := string(rec.Body)
	shared := prefix.Chain(rec.Target, prompt[:max(0, len(prompt)-1)]) // the end of a prompt is its own
	return lo.Map(shared[:min(len(shared), maxSharedParts)], func(hash uint64, _ int) string { return strconv.FormatUint(hash, 16) })
}

// partFingerprints returns the fingerprints of the shared parts of a prompt; none while no part is a suspect.
func (s *suspects) partFingerprints(rec *record.Record) []quarantine.Fingerprint {
	if !s.table.MaybeSuspectPart() {
		return nil
	}
	return lo.Map(sharedParts(rec), func(id string, _ int) quarantine.Fingerprint { return quarantine.OfPart(id) })
}

// subjects returns what of a request may be suspect: its own fingerprint and those of the parts of its prompt.
func (s *suspects) subjects(rec *record.Record) []quarantine.Fingerprint {
	out := s.partFingerprints(rec)
	if s.maybeSuspect(rec) {
		out = append(out, fingerprint(rec))
	}
	return out
}

// maybeSuspect reports whether a request may be a suspect, by its length alone: computing the fingerprint
// of a long body is expensive.
func (s *suspects) maybeSuspect(rec *record.Record) bool {
	return s.table.MaybeSuspect(quarantine.Length("model", rec.Class, "", len(rec.Body)))
}

// checkQuarantine returns an error if a request is quarantined and may not run now, else nil. It waits for a
// moment in which runs elsewhere may clear the request.
func (r *Relay) checkQuarantine(ctx context.Context, rec *record.Record) *fault.Error {
	subjects := r.suspects.subjects(rec)
	if len(subjects) == 0 {
		return nil
	}
	a, _ := r.suspects.gate.Wait(ctx, subjects) // the caller handles the end of ctx
	refused, ok := quarantine.AsRefused(a.Refused)
	if !ok {
		return nil
	}
	run := fault.MayHaveRun
	if !rec.Sent() {
		run = notRunIf(rec.GeneratedID)
	}
	return fault.New(fault.StepDispatch, "", fault.KindRefused, run, "quarantined: %w", refused).WithRetryAt(refused.Until)
}

// answerBegun records that an endpoint has begun an answer, which clears the parts of the prompt.
func (r *Relay) answerBegun(rec *record.Record, incarnation string) {
	if parts := r.suspects.partFingerprints(rec); len(parts) > 0 {
		r.broadcastSuspects(r.suspects.table.ClearParts(parts, incarnation, r.Clock.Now()))
	}
}

// recordRun records how the run of a request at an incarnation of an endpoint ended, for the detection of
// requests that crash endpoints. begun tells whether the endpoint had begun its answer. A run that was
// cancelled here does not count, and a refused connection means that the endpoint's process has ended.
func (r *Relay) recordRun(ctx context.Context, rec *record.Record, e *route.Endpoint, incarnation string, begun bool, err error) {
	switch {
	case err == nil:
		r.runCompleted(rec, incarnation)
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		r.endpointEnded(e, incarnation)
	case fault.As(err).Kind == fault.KindBroken:
		run := quarantine.Run{Fingerprint: fingerprint(rec), Endpoint: incarnation, Name: e.ID, Account: rec.Account}
		if !begun {
			run.Parts = sharedParts(rec)
		}
		r.broadcastSuspects(r.suspects.table.RunInterrupted(run, r.Clock.Now()))
		if r.hasEnded(ctx, e) {
			r.endpointEnded(e, incarnation)
		}
	}
}

// endpointEnded records that an incarnation of an endpoint has ended, and broadcasts the suspects
// that this changes.
func (r *Relay) endpointEnded(e *route.Endpoint, incarnation string) {
	r.suspects.recordEnd(e, incarnation)
	r.broadcastSuspects(r.suspects.table.EndpointEnded(incarnation, r.Clock.Now()))
}

// hasEnded probes whether an endpoint's process has ended, which is so if its address refuses
// connections.
func (r *Relay) hasEnded(ctx context.Context, e *route.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(r.Endpoints.Probe(ctx, e.Addr), syscall.ECONNREFUSED)
}

// runCompleted records that an endpoint answered a request completely, which clears a suspect.
func (r *Relay) runCompleted(rec *record.Record, incarnation string) {
	if r.suspects.maybeSuspect(rec) {
		r.broadcastSuspects(r.suspects.table.ClearSuspect(fingerprint(rec), incarnation, r.Clock.Now()))
	}
}

// broadcastSuspects logs changes of suspects and sends the pending updates to all other instances
// in the background.
func (r *Relay) broadcastSuspects(changes []quarantine.Change) {
	for _, c := range changes {
		if code, fields, ok := eventlog.Event(c); ok {
			r.event(code, fields...)
		}
	}
	own, received := r.suspects.table.Updates()
	if len(own)+len(received) == 0 {
		return
	}
	update := wire.Encode(own, r.Clock.Now())
	for _, m := range r.snapshot().Members {
		if m.ID == r.Self {
			continue
		}
		r.wait.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, suspectsCallTimeout)
			defer cancel()
			call := &peerpb.Call{Body: &peerpb.Call_Suspects{Suspects: update}} // one message per call, since the peer client sets fields of it
			_, _ = r.Peers.Call(ctx, m.Addr, call)                              // no retry: an instance that misses the update still counts the ends that it sees itself
		})
	}
}

// applySuspects applies the update of another instance. It forwards nothing, since the sender sends
// its updates to all instances.
func (r *Relay) applySuspects(update *peerpb.Suspects) {
	now := r.Clock.Now()
	r.suspects.table.Apply(wire.Decode(update, now), now)
	r.suspects.table.Updates()
}
