package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/registry"
)

// Quarantine holds back requests that are suspected of crashing endpoints, as a whole or for a part of
// their prompts. What is suspect is identified by fingerprints.
type Quarantine interface {
	// MaySuspect reports whether a request of this length may be under suspicion. The
	// fingerprint is computed only then.
	MaySuspect(length int) bool
	// MaySuspectParts reports whether any part of prompts is under suspicion.
	MaySuspectParts() bool
	// Enter acquires the permits that a request with these subjects needs to run until a deadline. It may
	// wait for a moment in which runs elsewhere may clear them. The caller calls leave, which may be nil,
	// when the run is over; decided reports whether its outcome is known. The error is a
	// *quarantine.RefusedError if the request must not run.
	Enter(ctx context.Context, subjects []quarantine.Fingerprint, until time.Time) (leave func(decided bool), err error)
	// Check tests again whether the request may run, right before it is sent.
	Check(subjects []quarantine.Fingerprint) error
	// RunAborted records that an endpoint aborted a run, and probes whether its process has ended.
	// ended is also false if the endpoint was shutting down anyway or if the probe was inconclusive.
	RunAborted(ctx context.Context, s registry.Endpoint, r quarantine.Run) (ended bool)
	// RunCancelled records that a run was cancelled because its client disconnected or its deadline
	// passed.
	RunCancelled(s registry.Endpoint, r quarantine.Run)
	// ConnectionRefused records that an endpoint's address refused a connection.
	ConnectionRefused(s registry.Endpoint)
	// AnswerBegun records that an endpoint began an answer on parts of a prompt.
	AnswerBegun(parts []quarantine.Fingerprint, s registry.Endpoint)
	// RunCompleted records that an endpoint completed a run.
	RunCompleted(f quarantine.Fingerprint, s registry.Endpoint)
}

// length returns the length of the request as it is counted for its fingerprint.
func (q *request) length() int {
	if q.fp != nil {
		return q.fp.Length
	}
	return quarantine.Length(q.method, q.host, q.uri, q.body.Len())
}

// fingerprint returns a hash of what an endpoint receives of the request, computed once.
func (q *request) fingerprint() quarantine.Fingerprint {
	if q.fp == nil {
		f := quarantine.Of(q.method, q.host, q.uri, q.body)
		q.fp = &f
	}
	return *q.fp
}

// parts returns the fingerprints of the shared parts of the prompt, computed once.
func (q *request) parts() []quarantine.Fingerprint {
	if q.partPrints == nil {
		q.partPrints = lo.Map(q.sharedParts(), func(id string, _ int) quarantine.Fingerprint { return quarantine.OfPart(id) })
	}
	return q.partPrints
}

// subjects returns what of the request may be suspect: its own fingerprint and those of the shared parts of its
// prompt. It computes none of them while nothing like them is under suspicion.
func (h *Handler) subjects(q *request) (out []quarantine.Fingerprint) {
	if h.Quarantine.MaySuspect(q.length()) {
		out = append(out, q.fingerprint())
	}
	if h.Quarantine.MaySuspectParts() {
		out = append(out, q.parts()...)
	}
	return out
}

// acquirePermit asks the quarantine whether the request may be tried, and returns a denial if not.
func (h *Handler) acquirePermit(ctx context.Context, q *request) (leave func(decided bool), d *denial) {
	if ctx.Err() != nil {
		return nil, nil // mayTry returns the denial for a client that disconnected
	}
	subjects := h.subjects(q)
	if len(subjects) == 0 {
		return nil, nil
	}
	leave, err := h.Quarantine.Enter(ctx, subjects, q.deadline)
	if err != nil {
		return nil, h.quarantined(q, err)
	}
	return leave, nil
}

// quarantined is the denial for a request that the quarantine refused.
func (h *Handler) quarantined(q *request, err error) *denial {
	d := &denial{
		status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "endpoints crashed while running this request", wait: waitRetry, err: err,
	}
	r, ok := quarantine.AsRefused(err)
	if !ok {
		return d
	}
	d.fields = []zap.Field{zap.Stringer("fingerprint", r.Fingerprint)}
	if r.Part != "" {
		d.why = "endpoints crashed while running requests with a part of this prompt"
		d.fields = append(d.fields, zap.String("part", r.Part))
	}
	if !r.Until.IsZero() {
		d.wait = h.Clock.Until(r.Until)
	}
	return d
}

// stillAllowed asks the quarantine again, after an endpoint was chosen and before anything is sent.
func (h *Handler) stillAllowed(q *request) *denial {
	if subjects := h.subjects(q); len(subjects) > 0 {
		if err := h.Quarantine.Check(subjects); err != nil {
			return h.quarantined(q, err)
		}
	}
	return nil
}

// currentRun returns the run in progress of the request.
func (q *request) currentRun() quarantine.Run {
	r := quarantine.Run{Fingerprint: q.fingerprint(), Account: q.accountName()}
	if !q.answerBegun {
		r.Parts = q.sharedParts()
	}
	return r
}

// beginAnswer records that the endpoint has begun its answer, which no part of the prompt that crashes
// endpoints lets it do.
func (h *Handler) beginAnswer(q *request, endpoint registry.Endpoint) {
	q.answerBegun = true
	if h.Quarantine.MaySuspectParts() {
		h.Quarantine.AnswerBegun(q.parts(), endpoint)
	}
}

// runAborted records that the run of the request was cut off, by the endpoint or because the client
// disconnected or the deadline passed.
func (h *Handler) runAborted(ctx context.Context, q *request, endpoint registry.Endpoint) {
	if ctx.Err() != nil {
		h.runCancelled(q, endpoint)
		return
	}
	q.outcomeUnknown = !h.Quarantine.RunAborted(ctx, endpoint, q.currentRun())
}

// runCancelled records that the run of the request was cancelled. The endpoint may still crash
// because of it shortly after the client has disconnected.
func (h *Handler) runCancelled(q *request, endpoint registry.Endpoint) {
	q.outcomeUnknown = true
	h.Quarantine.RunCancelled(endpoint, q.currentRun())
}

// runCompleted records that an endpoint completed the request, if the response proves that it
// was run.
func (h *Handler) runCompleted(q *request, endpoint registry.Endpoint, resp *backend.Response) {
	if !provesRun(resp) {
		return
	}
	if !q.answerBegun {
		h.beginAnswer(q, endpoint)
	}
	if h.Quarantine.MaySuspect(q.length()) {
		h.Quarantine.RunCompleted(q.fingerprint(), endpoint)
	}
}

// provesRun reports whether a response proves that the endpoint ran the request and survived it.
// An error response does not: an endpoint may fail a request before running it, and each such
// response would lift the suspicion from a request that other endpoints crash on.
func provesRun(resp *backend.Response) bool {
	return resp.Status < http.StatusInternalServerError && !claimsNotRun(resp.Status) && !resp.Answer.NotRun
}
