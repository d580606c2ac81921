// Package forward proxies client requests to endpoints.
//
// A request passes five steps: its headers and body are read and its route and client account
// are looked up (door.go), admission control checks the limit of the client account, an
// endpoint is chosen, an attempt is made (attempt.go), and the response is passed on (answer.go,
// stream.go). Where this instance has no path to an endpoint, another instance does the last three
// (proxy.go). An error response claims that the request was not run only when that is certain
// (refuse.go). No state of a request is kept after its response.
//
// Handler is safe for concurrent use.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/intake"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/payload"
	"github.com/shelfcrank/shelfcrank/internal/peerproxy"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/reach"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/resume"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
)

// Part is a piece of a prompt.
type Part = balance.Part

// Meta is what the headers of a client's request state.
type Meta struct {
	ID           string
	Key          string // API key; identifies the client account
	Timeout      time.Duration
	HasTimeout   bool // whether the client set Timeout
	HasTokens    bool // whether the client stated the two token counts
	PromptTokens int
	OutputTokens int // upper bound
	Parts        []Part
	LastEventID  string // of the last event that the client has, if it resumes a stream
	Resumes      string // ID of the request that the first event of that stream came with, if the client states it
}

// Outgoing holds the values that are sent to an endpoint as headers of a forwarded request.
type Outgoing struct {
	Endpoint    string
	Account     string
	Remaining   time.Duration // until the deadline of the request
	Priority    int           // 0 is the most urgent
	LastEventID string        // ID of the event after which a resumed stream continues
}

// Protocol maps the headers of requests and responses to and from Go values.
type Protocol interface {
	backend.Protocol
	Request(h http.Header) Meta
	Clean(h http.Header)       // removes headers that must not reach an endpoint
	CleanAnswer(h http.Header) // removes headers that must not reach a client
	Outgoing(h http.Header, o Outgoing)
	RetryAfter(h http.Header, wait time.Duration)
}

// View is an immutable snapshot of the state that requests are handled with.
type View struct {
	Config         *policy.Config                 // nil until a configuration has been read
	ConfirmedAt    time.Time                      // when the read was sent, by this instance or another, that last confirmed Config as the newest
	OwnConfirmedAt time.Time                      // the same for reads that this instance sent to the store itself
	KeysValidUntil time.Time                      // API keys are accepted until then, unless Config is confirmed again
	OutageUntil    time.Time                      // the store counts as down for all instances until then
	Listed         []registry.Endpoint            // all endpoints that are not shutting down, whether or not they may get requests
	Endpoints      map[string][]registry.Endpoint // endpoints that accept new requests, by service
	TrialEndpoints map[string][]registry.Endpoint // endpoints that get the trial share of a version being rolled out, by service
	Rollouts       map[string]rollout.Record      // state of each service's roll-out
	Instances      int                            // number of running instances, including this one
	ServesUntil    time.Time                      // requests in progress are cut off then, as this instance is shutting down; zero if it is not
}

// Admission checks requests against the limits of client accounts, and retries against the
// retry budgets of services. Both hold over all instances together.
type Admission interface {
	// Admit charges units to an account's limit. placed reports whether the request goes to
	// model endpoints, whose Placer may ask a hub that checks the limit again with what it knows of
	// the requests of other instances.
	Admit(a *policy.Account, units float64, placed bool, now time.Time) quota.Verdict
	// Refund gives back the units of a request that was not run.
	Refund(a *policy.Account, units float64)
	// FirstTry counts the first attempt of a request, which adds to the retry budget of its service.
	FirstTry(service string, now time.Time)
	// SecondTry takes a retry from the budget of a service and reports whether one was left.
	SecondTry(service string, now time.Time) bool
	// RecordRuns counts n runs of requests for the usage reports.
	RecordRuns(account string, n int64)
}

// Placer chooses an endpoint for a request and counts the request there until the ticket is
// done or until its deadline. Its errors are ErrNoEndpoint, ThrottledError, LimitError and
// OverloadError.
type Placer interface {
	Place(ctx context.Context, endpoints []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error)
}

// Origins knows at which software versions of their services streams began.
type Origins interface {
	// Began records where a stream began, or went on, before its first event is passed on.
	Began(r origin.Record)
	// Completed records that a stream was passed on to its end.
	Completed(stream string)
	// Find returns where a stream of a service began. stream is empty if the client does not name it.
	Find(ctx context.Context, stream, service string) resume.Found
}

// ErrNoEndpoint reports that no endpoint of a service accepts requests.
var ErrNoEndpoint = errors.New("no endpoint accepts requests")

// LimitError reports that a request is over the limit of its client account, as found by a hub,
// which sees more of the account's requests than this instance does.
type LimitError struct{ quota.Verdict }

// Error implements error.
func (e *LimitError) Error() string { return overLimit(e.Verdict) }

// ThrottledError reports that every endpoint of a service that accepts requests either requested a
// backoff of this instance or is at its rate limit.
type ThrottledError struct {
	Until time.Time // when the first of them accepts a request of this instance again
}

// Error implements error.
func (e *ThrottledError) Error() string {
	return "all endpoints requested a backoff or are at their rate limit until " + e.Until.Format(time.RFC3339Nano)
}

// Unwrap makes the error match ErrNoEndpoint.
func (e *ThrottledError) Unwrap() error { return ErrNoEndpoint }

// Proxy has requests served by other instances.
type Proxy interface {
	// Send returns the head of the response of the instance that serves a request. The error is
	// peerproxy.ErrNotTaken if none does; after another one the request may have run.
	Send(ctx context.Context, r *peerproxy.Request) (*peerproxy.Response, error)
}

// Paths tells which endpoints this instance has a path to.
type Paths interface {
	// Reachable returns those of the endpoints that can be connected to.
	Reachable(endpoints []registry.Endpoint) []registry.Endpoint
	// Lost reports whether this instance counts as cut off from all endpoints.
	Lost() bool
}

// Options configure a Handler.
type Options struct {
	Protocol  Protocol
	View      func() *View
	Backends  *backend.Client
	Paths     Paths // may be nil
	Proxy     Proxy // nil if there are no other instances
	Placer    Placer
	Admission Admission
	Origins   Origins
	// Quarantine tracks requests that are suspected of crashing endpoints.
	Quarantine Quarantine
	// Bodies bounds the memory of the bodies of requests; nil for no bound.
	Bodies *intake.Budget
	// Shares bounds the requests of a client account in progress; nil for no bound.
	Shares  *intake.Shares
	Clock   *clock.Clock // may be nil
	Log     *zap.Logger
	Metrics *metrics.Metrics
	// ConfigFreshFor is the time after the confirmation of a configuration within which a
	// route or an API key that it does not contain is definitely rejected. After it, such
	// requests get a temporary error instead.
	ConfigFreshFor time.Duration
	// Fingerprints tells whether requests get a fingerprint, by which hubs recognize repetitions.
	Fingerprints bool
}

// Handler is the http.Handler that forwards requests to endpoints.
type Handler struct {
	Options
}

// New returns a handler.
func New(o Options) *Handler {
	if o.Paths == nil {
		o.Paths = reach.New()
	}
	if o.Proxy == nil {
		o.Proxy = noProxy{}
	}
	if o.Bodies == nil {
		o.Bodies = intake.NewBudget(0)
	}
	return &Handler{o}
}

func (h *Handler) event(c event.Code, fields ...zap.Field) {
	event.Log(h.Log, c, fields...)
	h.Metrics.Event(int(c))
}

// request is the state of one request in progress.
type request struct {
	meta           Meta
	arrived        time.Time
	deadline       time.Time
	view           *View
	route          *policy.Route
	account        *policy.Account // nil on a public route
	service        string
	units          float64
	level          float64 // of the client account's limit, as this instance saw it when the request was admitted; units
	priority       int
	method         string
	uri            string
	host           string
	received       http.Header // as the client sent it
	header         http.Header // as endpoints get it, except for the headers set for each attempt
	body           payload.Payload
	memory         intake.Lease             // of the body
	client         *http.ResponseController // sets deadlines of the client's connection
	incoming       incoming                 // the body while it is read
	answerMemory   intake.Lease             // of a response that is buffered
	tried          []string                 // endpoints that it was sent to
	chosen         []string                 // endpoints that were chosen for it, whether or not they were reached
	mayHaveRun     bool                     // an endpoint may have run it
	fp             *quarantine.Fingerprint  // fingerprint for the quarantine; nil until it is needed
	partPrints     []quarantine.Fingerprint // fingerprints of the shared parts of the prompt; nil until they are needed
	answerBegun    bool                     // the endpoint of the current attempt has begun its answer
	returned       bool                     // the client returned after a refusal for lack of capacity
	outcomeUnknown bool                     // whether an endpoint crashed during the last run is not known
	relaysBroken   int                      // other instances that broke off before it is known which endpoint they sent it to
	brokenOffBy    []string                 // other instances that broke it off
	charged        int                      // attempts when the retry budget was last charged
	connectUntil   time.Time                // when the request is given up if no endpoint can be connected to; zero before the first failure
	counted        bool                     // a run was counted for the usage reports
	tryCounted     bool                     // an attempt was counted in the retry budget
	proxied        bool                     // another instance got it from the client, and charged it to the limit of the client account
	anyPath        bool                     // endpoints that count as unreachable may be tried
	lastEventID    string                   // ID of the last event passed on
	answered       bool                     // the response head was sent to the client
	unflushed      bool                     // some of a stream was written to the client since the last flush
	passage        passage                  // what was passed on of a stream
	passingSince   time.Time                // when a response that is not a stream was begun to be passed on
	clientWait     time.Duration            // time that the client took to accept the rest of a long one
	began          bool                     // the stream has begun, at version
	version        string                   // software version of the endpoints that the events of the stream come from
}

// connectFailed records that an endpoint could not be connected to.
func (q *request) connectFailed(now time.Time) {
	if q.connectUntil.IsZero() {
		q.connectUntil = now.Add(maxConnectTime)
	}
}

// attempts returns the number of endpoints that the request may have been sent to.
func (q *request) attempts() int { return len(q.tried) + q.relaysBroken }

// maxSharedParts bounds the shared parts of a prompt that are considered.
const maxSharedParts = 64

// sharedParts returns the IDs of the parts of the prompt that other requests may have as well: all but
// the last.
func (q *request) sharedParts() []string {
	if len(q.meta.Parts) < 2 {
		return nil
	}
	shared := q.meta.Parts[:len(q.meta.Parts)-1]
	return lo.Map(shared[:min(len(shared), maxSharedParts)], func(p Part, _ int) string { return p.ID })
}

func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}
