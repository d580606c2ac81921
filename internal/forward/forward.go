// Package forward takes a client's request through to a server's answer.
//
// A request passes five steps: the door (door.go) reads and identifies it,
// admission checks its client account's limit, a server is chosen, an attempt is made
// (attempt.go), and the answer is passed on (answer.go, stream.go). A refusal
// says "not run" only when that is certain (refuse.go). Nothing is kept of a
// request once it is answered.
//
// Handler is safe for concurrent use.
package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/backend"
	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/clock"
	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/metrics"
	"github.com/shelfcrank/shelfcrank/internal/policy"
	"github.com/shelfcrank/shelfcrank/internal/quarantine"
	"github.com/shelfcrank/shelfcrank/internal/quota"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/rollout"
)

// Part is a piece of a prompt.
type Part = balance.Part

// Meta is what a client says of its request.
type Meta struct {
	ID           string
	Key          string // names the client account
	Allowed      time.Duration
	HasDeadline  bool // Allowed was told
	HasTokens    bool // the two below were told
	PromptTokens int
	OutputTokens int // at the most
	Parts        []Part
	LastEventID  string
}

// Outgoing is what a server is told of a request.
type Outgoing struct {
	Endpoint    string
	Account     string
	Left        time.Duration // until the answer is of no use
	Priority    int           // 0 is the most urgent
	LastEventID string        // the event after which a stream goes on
}

// Protocol reads and writes the headers of requests and answers.
type Protocol interface {
	backend.Protocol
	Request(h http.Header) Meta
	Clean(h http.Header)       // removes what is not for a server
	CleanAnswer(h http.Header) // removes what is not for a client
	Outgoing(h http.Header, o Outgoing)
	RetryAfter(h http.Header, wait time.Duration)
}

// View is the immutable state that requests are decided by.
type View struct {
	Config      *policy.Config                 // nil until one is known
	ProvedAt    time.Time                      // sending of the read, of this node or another, that last showed Config to be the newest
	ReadAt      time.Time                      // the same for this node's own way to the store
	KeysUntil   time.Time                      // until when keys are honoured unless Config is proved again
	OutageUntil time.Time                      // until when the store counts as down for all nodes
	Listed      []registry.Endpoint            // all that do not leave, whichever requests they may get
	Endpoints   map[string][]registry.Endpoint // that take new work, by service
	Trial       map[string][]registry.Endpoint // that take the share of a version on trial, by service
	Rollouts    map[string]rollout.Record      // how far each service's roll-out is
	Instances   int                            // that run, this one included
	Leaving     bool                           // this node is stopping
}

// Admission counts requests against the limits of client accounts and the budgets of
// second tries, over all nodes.
type Admission interface {
	// Admit asks for units of an account's limit. placed says that the request is for
	// servers that a Placer may choose by what others see of the account.
	Admit(a *policy.Account, units float64, placed bool, now time.Time) quota.Verdict
	Return(a *policy.Account, units float64)
	FirstTry(service string, now time.Time)
	SecondTry(service string, now time.Time) bool
	Began(account string, n int64)
}

// Placer chooses a server for a request and counts the request there until the
// ticket is done or a deadline. Its errors are ErrNoServer and LimitError.
type Placer interface {
	Place(ctx context.Context, servers []registry.Endpoint, r *balance.Request, until, now time.Time) (*balance.Ticket, error)
}

// ErrNoEndpoint says that no server takes work for a service.
var ErrNoEndpoint = errors.New("no server takes work")

// LimitError says that the limit of the client account does not bear the request,
// as a hub found that sees more of the account's requests than this node.
type LimitError struct{ quota.Verdict }

// Error implements error.
func (e *LimitError) Error() string { return overLimit(e.Verdict) }

// ClosedError says that all servers of a service that take work asked this node for rest or
// are at their rate limit.
type ClosedError struct {
	Until time.Time // when the first of them takes a request of this node again
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "all servers asked for rest or are at their rate limit until " + e.Until.Format(time.RFC3339Nano)
}

// Unwrap says that no server takes work.
func (e *ClosedError) Unwrap() error { return ErrNoEndpoint }

// Options are what a handler is made of.
type Options struct {
	Protocol  Protocol
	View      func() *View
	Backends  *backend.Client
	Placer    Placer
	Admission Admission
	// Quarantine knows the requests under which servers end.
	Quarantine Quarantine
	Clock      *clock.Clock // may be nil
	Log        *zap.Logger
	Metrics    *metrics.Metrics
	// CertainFor is how long after the proof of a configuration it is certain
	// enough to deny a route or a key by it.
	CertainFor time.Duration
}

// Handler forwards requests.
type Handler struct {
	Options
}

// New returns a handler.
func New(o Options) *Handler { return &Handler{o} }

func (h *Handler) event(c event.Code, fields ...zap.Field) {
	event.Log(h.Log, c, fields...)
	h.Metrics.Event(int(c))
}

// request is one request on its way.
type request struct {
	meta      Meta
	arrived   time.Time
	deadline  time.Time
	view      *View
	route     *policy.Route
	account   *policy.Account // nil on a public route
	service   string
	units     float64
	level     float64 // of the client account's limit, as this instance knew it once the request was admitted; units
	priority  int
	method    string
	uri       string
	host      string
	header    http.Header // as the servers get it, but for what each is told
	body      []byte
	tried     []string                // servers that it was sent to
	avoid     []string                // servers that were chosen for it, reached or not
	mayRun    bool                    // a server may have run it
	hash      *quarantine.Fingerprint // of the request; nil until it is needed
	undecided bool                    // it is not known whether a server ended under its last run
	counted   bool                    // a run of it was counted for the usage reports
	event     string                  // id of the last event passed on
	answered  bool                    // the head of an answer was passed on
	first     time.Time               // when the first event was passed on
	lastAt    time.Time               // when the last event was passed on
	pause     time.Duration           // the longest between two events
}

// passed notes that an event was passed on.
func (q *request) passed(now time.Time) {
	if q.first.IsZero() {
		q.first = now
	} else {
		q.pause = max(q.pause, now.Sub(q.lastAt))
	}
	q.lastAt = now
}

func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}
