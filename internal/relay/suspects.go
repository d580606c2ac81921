package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/fault"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quarantine/wire"
	"github.com/shelfcrank/shelfcrank/internal/record"
	"github.com/shelfcrank/shelfcrank/internal/route"
)

const (
	mostSuspects   = 4096
	mostLives      = 4096 // endpoints that were seen to end
	quarantineFor  = time.Minute
	suspectTimeout = 400 * time.Millisecond // for an update to arrive
	lookTimeout    = 200 * time.Millisecond // for a look whether an endpoint has ended
)

// suspects knows the model requests under which endpoints end, at this instance or another
// one. It is safe for concurrent use.
type suspects struct {
	table *quarantine.Table

	mu    sync.Mutex
	lives map[string]int // of each endpoint, by its id: how often it was seen to end; guarded by mu
}

func newSuspects() *suspects {
	return &suspects{
		table: quarantine.New(quarantine.Options{Length: quarantineFor, Most: mostSuspects}),
		lives: make(map[string]int),
	}
}

// life returns a name for the present incarnation of an endpoint.
func (s *suspects) life(e *route.Endpoint) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lifeLocked(e)
}

// lifeLocked is life for a caller that holds mu.
func (s *suspects) lifeLocked(e *route.Endpoint) string {
	return fmt.Sprintf("%s/%d", e.ID, s.lives[e.ID])
}

// over notes that the present incarnation of an endpoint has ended, unless another one is by
// now.
func (s *suspects) over(e *route.Endpoint, life string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifeLocked(e) == life {
		s.lives[e.ID]++
	}
}

// expire drops what no longer matters.
func (s *suspects) expire(now time.Time) {
	s.table.Expire(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lives) > mostLives {
		clear(s.lives)
	}
}

func fingerprint(rec *record.Record) quarantine.Fingerprint {
	return quarantine.Of("model", rec.Class, "", rec.Body)
}

// knows reports whether a request may be under suspicion, without working out its fingerprint.
func (s *suspects) knows(rec *record.Record) bool {
	return s.table.Knows(quarantine.Length("model", rec.Class, "", rec.Body))
}

// mayRun says why a request may not run now, or nil.
func (r *Relay) mayRun(rec *record.Record) *fault.Error {
	if !r.suspects.knows(rec) {
		return nil
	}
	verdict, until := r.suspects.table.Verdict(fingerprint(rec), r.Clock.Now())
	if verdict != quarantine.Refused {
		return nil
	}
	run := fault.MayHaveRun
	if !rec.Sent() {
		run = notRunIf(rec.Fresh)
	}
	return fault.New(fault.StepDispatch, "", fault.KindRefused, run, "endpoints end under this request").Retry(until)
}

// ran takes note how a run of a request at an incarnation of an endpoint ended.
func (r *Relay) ran(ctx context.Context, rec *record.Record, e *route.Endpoint, life string, err error) {
	switch {
	case err == nil:
		r.cameThrough(rec, life)
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		r.endpointEnded(e, life)
	case fault.As(err).Kind == fault.KindBroken:
		run := quarantine.Run{Fingerprint: fingerprint(rec), Endpoint: life, Name: e.ID, Account: rec.Account}
		r.broadcastSuspects(r.suspects.table.Broke(run, r.Clock.Now()))
		if r.hasEnded(ctx, e) {
			r.endpointEnded(e, life)
		}
	}
}

// endpointEnded takes note that an incarnation of an endpoint has ended.
func (r *Relay) endpointEnded(e *route.Endpoint, life string) {
	r.suspects.over(e, life)
	r.broadcastSuspects(r.suspects.table.EndpointEnded(life, r.Clock.Now()))
}

// hasEnded looks whether an endpoint's process has ended: its address refuses connections.
func (r *Relay) hasEnded(ctx context.Context, e *route.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	return errors.Is(r.Endpoints.Look(ctx, e.Addr), syscall.ECONNREFUSED)
}

// cameThrough takes note that an endpoint answered a request whole.
func (r *Relay) cameThrough(rec *record.Record, life string) {
	if r.suspects.knows(rec) {
		r.broadcastSuspects(r.suspects.table.CameThrough(fingerprint(rec), life, r.Clock.Now()))
	}
}

// broadcastSuspects logs changes and tells the other instances.
func (r *Relay) broadcastSuspects(changes []quarantine.Change) {
	for _, c := range changes {
		f := zap.Stringer("fingerprint", c.Suspect.Fingerprint)
		switch c.Kind {
		case quarantine.EndSeen:
			r.event(event.EndedUnder, f, zap.String("server", c.Endpoint), zap.Int("ends", len(c.Suspect.Ends)))
		case quarantine.Quarantined:
			r.event(event.Quarantined, f, zap.Time("until", c.Suspect.Until), zap.Int("strikes", c.Suspect.Strikes))
		case quarantine.Released:
			r.event(event.QuarantineOver, f, zap.String("server", c.Endpoint))
		}
	}
	own, heard := r.suspects.table.Updates()
	if len(own)+len(heard) == 0 {
		return
	}
	news := &peerpb.Suspects{Suspects: wire.Encode(own, r.Clock.Now())}
	for _, m := range r.snap().Members {
		if m.ID == r.Self {
			continue
		}
		r.wait.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, suspectTimeout)
			defer cancel()
			call := &peerpb.Call{Body: &peerpb.Call_Suspects{Suspects: news}} // a call belongs to its caller
			_, _ = r.Peers.Call(ctx, m.Addr, call)                            // an instance that misses it counts for itself
		})
	}
}

// applySuspects takes the update of another instance, which sent it to all, and passes nothing on.
func (r *Relay) applySuspects(news []*peerpb.Suspect) {
	now := r.Clock.Now()
	r.suspects.table.Apply(wire.Decode(news, now), now)
	r.suspects.table.Updates()
}
